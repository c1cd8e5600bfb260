"""Writes what became of a soak's requests, second by second."""

import collections
import pathlib

from features.soak import audit

FILE = "seconds.csv"
HEADER = "second,sent,served,not_run,broken,slowest_s"


def write(book: audit.Book, path: pathlib.Path) -> None:
    """Write a line for each second in which a request began."""
    if not book.outcomes:
        return
    first = min(outcome.began for outcome in book.outcomes)
    seconds: dict[int, list[audit.Outcome]] = collections.defaultdict(list)
    for outcome in book.outcomes:
        seconds[int(outcome.began - first)].append(outcome)
    lines = [line_of(second, seconds[second]) for second in sorted(seconds)]
    path.write_text("\n".join([HEADER, *lines]) + "\n")


def line_of(second: int, outcomes: list[audit.Outcome]) -> str:
    """Return the line of the requests that began in one second."""
    served = sum(200 <= o.status < 300 and o.whole for o in outcomes)
    not_run = sum(o.status in audit.NOT_RUN_STATUSES for o in outcomes)
    broken = sum(o.status == 0 or not o.whole for o in outcomes)
    slowest_s = max(o.ended - o.began for o in outcomes)
    return (
        f"{second},{len(outcomes)},{served},{not_run},{broken},{slowest_s:.2f}"
    )
