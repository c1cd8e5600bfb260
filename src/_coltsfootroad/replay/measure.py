"""Computes the measures of a replay."""

import attrs
import numpy

from _coltsfootroad.core import errors
from _coltsfootroad.core import lengths
from _coltsfootroad.replay import simcallers
from _coltsfootroad.replay import world as world_lib

CLASS_NAMES = (
    *(name for name, _ in lengths.REPORT_CLASSES),
    lengths.LONGEST_CLASS,
)
# Longer requests are the ones whose effect on short requests is the slowdown.
LONG_TOKENS = lengths.REPORT_CLASSES[1][1]
DIGITS = 4


@attrs.frozen(kw_only=True)
class Report:
    """The measures of one policy on one trace.

    Attributes:
        policy: Name of the policy.
        requests: Requests in the trace.
        finished: Requests with a complete answer.
        refused_not_run: Requests refused and certainly not run.
        failed: All other requests.
        ttft_p50_s: Median time to first token per length class, seconds.
        ttft_p95_s: 95th percentile of the same.
        short_slowdown_p95: Time to first token of short requests, divided by
            that in a replay without long requests, 95th percentile.
        retries: Retries of all entries.
        runs_over_one: Non-idempotent requests that ran more than once.
        kv_left: KV cache tokens still held after the replay.
        ends: End of each request, for expected outcomes.
        rans: Whether each failed request ran, as reported to its caller.
    """

    policy: str
    requests: int
    finished: int
    refused_not_run: int
    failed: int
    ttft_p50_s: dict[str, float]
    ttft_p95_s: dict[str, float]
    short_slowdown_p95: float | None = None
    retries: int = 0
    runs_over_one: int = 0
    kv_left: int = 0
    ends: dict[str, str] = attrs.Factory(dict)
    rans: dict[str, str] = attrs.Factory(dict)

    def to_document(self) -> dict:
        """Return the measures that `colts-replay --json` prints."""
        document = attrs.asdict(self)
        del document["ends"]
        del document["rans"]
        return document


def percentile(values: list[float], percent: float) -> float:
    """Return a percentile of values, rounded."""
    return round(float(numpy.percentile(values, percent)), DIGITS)


def first_token_times(world: world_lib.World) -> dict[str, float]:
    """Return the time to first token of each request that has one."""
    return {
        name: record.first_token_s
        for name, record in world.callers.records.items()
        if record.first_token_s is not None
    }


def percentile_by_class(
    world: world_lib.World, percent: float
) -> dict[str, float]:
    """Return a percentile of times to first token per length class."""
    times_by_class: dict[str, list[float]] = {}
    for name, seconds in first_token_times(world).items():
        tokens = world.callers.records[name].request.prompt_tokens
        times_by_class.setdefault(lengths.report_class(tokens), []).append(
            seconds
        )
    return {
        name: percentile(times_by_class[name], percent)
        for name in CLASS_NAMES
        if name in times_by_class
    }


def slowdown(
    world: world_lib.World, without_long: world_lib.World
) -> float | None:
    """Return the 95th percentile of the slowdown of short requests."""
    baseline = first_token_times(without_long)
    short = lengths.REPORT_CLASSES[0][1]
    ratios = [
        seconds / baseline[name]
        for name, seconds in first_token_times(world).items()
        if name in baseline
        and world.callers.records[name].request.prompt_tokens <= short
    ]
    return percentile(ratios, 95) if ratios else None


def end_code(record: simcallers.RequestRecord) -> str:
    """Return the end of a request as one word."""
    if record.finished:
        return "finished"
    if record.failure is not None:
        return record.failure.code.value
    return "cut_off" if record.cut_off else "never"


def is_refused(record: simcallers.RequestRecord) -> bool:
    """Return whether a request was refused and certainly did not run."""
    failure = record.failure
    return failure is not None and failure.ran is errors.Ran.NO


def make_report(
    policy: str, world: world_lib.World, without_long: world_lib.World | None
) -> Report:
    """Return the measures of a finished replay."""
    records = world.callers.records.values()
    finished = sum(1 for r in records if r.finished)
    refused = sum(1 for r in records if is_refused(r))
    non_idempotent_requests = [
        r.request for r in records if r.request.non_idempotent
    ]
    keys = {r.idempotency_key or r.request_id for r in non_idempotent_requests}
    return Report(
        policy=policy,
        requests=len(world.callers.records),
        finished=finished,
        refused_not_run=refused,
        failed=len(world.callers.records) - finished - refused,
        ttft_p50_s=percentile_by_class(world, 50),
        ttft_p95_s=percentile_by_class(world, 95),
        short_slowdown_p95=slowdown(world, without_long)
        if without_long
        else None,
        retries=sum(
            e.core.counters.retries for e in world.entries.by_name.values()
        ),
        runs_over_one=sum(
            1 for key in keys if world.endpoints.runs.get(key, 0) > 1
        ),
        kv_left=world.endpoints.kv_held(),
        ends={name: end_code(r) for name, r in world.callers.records.items()},
        rans={
            name: r.failure.ran.value
            for name, r in world.callers.records.items()
            if r.failure is not None
        },
    )
