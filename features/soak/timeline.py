"""Writes the outcomes of a soak's requests per second as CSV."""

import collections
import pathlib

from features.soak import audit

FILE = "seconds.csv"
HEADER = "second,sent,served,not_run,broken,slowest_s"


def write(observed: audit.Observations, path: pathlib.Path) -> None:
    """Write a row for each second in which a request was sent."""
    if not observed.outcomes:
        return
    first = min(outcome.started_at for outcome in observed.outcomes)
    seconds: dict[int, list[audit.Outcome]] = collections.defaultdict(list)
    for outcome in observed.outcomes:
        seconds[int(outcome.started_at - first)].append(outcome)
    lines = [format_row(second, seconds[second]) for second in sorted(seconds)]
    path.write_text("\n".join([HEADER, *lines]) + "\n")


def format_row(second: int, outcomes: list[audit.Outcome]) -> str:
    """Return the CSV row of the requests that were sent in one second."""
    served = sum(200 <= o.status < 300 and o.complete for o in outcomes)
    not_run = sum(o.status in audit.NOT_RUN_STATUSES for o in outcomes)
    broken = sum(o.status == 0 or not o.complete for o in outcomes)
    slowest_s = max(o.ended_at - o.started_at for o in outcomes)
    return (
        f"{second},{len(outcomes)},{served},{not_run},{broken},{slowest_s:.2f}"
    )
