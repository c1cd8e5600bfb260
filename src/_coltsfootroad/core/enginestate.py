"""What an engine is believed to do, from the work that it was sent."""

from collections.abc import Iterable

import attrs

from _coltsfootroad.core import enginemodel
from _coltsfootroad.core import routes
from _coltsfootroad.core import work as work_lib

# Share of the longest pause that a pass may take by prediction.
GAP_MARGIN = 0.85
NEVER = float("-inf")


@attrs.frozen
class ProtectedStream:
    """A stream that is on time so far, and what a long pause would cost."""

    gap_target_s: float
    value: float


def value_lost(protected: list[ProtectedStream], gap_s: float) -> float:
    """Return what is lost by a pause."""
    return sum(stake.value for stake in protected if stake.gap_target_s < gap_s)


@attrs.define
class EngineState:
    """What an engine is believed to do now.

    Attributes:
        endpoint: Its name.
        near: Whether it is in the gateway's availability zone.
        pace: How many times slower than stated it works.
        writers: Streams that it writes.
        free_at: When it will have read all that it was sent.
        reading_s: Seconds of reading that are left.
        running: Requests that it batches or that wait there.
        ahead: Those of them that a request which can be on time waits for.
        helping: Parts that it reads for other engines.
        kv_used: Tokens that those requests fill at most.
        pause_s: Seconds of a pass without any reading.
        bare_stakes: What its streams lose by pauses longer than that.
        stakes: Those of them that the reading which is left does not harm.
        coming: Requests whose answers it will write once they are read.
        coming_stakes: What those lose by long pauses.
    """

    endpoint: str
    in_gateway_zone: bool = True
    slowdown: float = 1.0
    decoding: list[work_lib.Work] = attrs.Factory(list)
    prefill_done_at: float = NEVER
    prefill_left_s: float = 0.0
    running: int = 0
    requests_ahead: int = 0
    helper_parts: int = 0
    kv_used: int = 0
    gap_s: float = 0.0
    on_time: list[ProtectedStream] = attrs.Factory(list)
    protected: list[ProtectedStream] = attrs.Factory(list)
    prefilling: list[work_lib.Work] = attrs.Factory(list)
    prefilling_protected: list[ProtectedStream] = attrs.Factory(list)

    def update_gaps(self, spec: routes.EngineSpec) -> None:
        """Work out the pauses that its streams have without further work.

        Done once for each change of its work, as each of the many comparisons
        of a choice asks.
        """
        context = sum(work.prompt_tokens for work in self.decoding)
        bare_s = enginemodel.pass_s(spec, len(self.decoding), context)
        self.gap_s = self.slowdown * bare_s
        self.on_time = [
            ProtectedStream(work.gap_target_s, work.value)
            for work in self.decoding
            if work.gap_target_s >= self.gap_s
        ]
        self.prefilling_protected = [
            ProtectedStream(work.gap_target_s, work.value)
            for work in self.prefilling
            if work.gap_target_s
        ]

    def advance_to(self, now: float) -> None:
        """Note what is left to be read at a time."""
        self.prefill_left_s = max(0.0, self.prefill_done_at - now)
        self.protected = self.on_time
        if self.prefill_left_s:
            gap_s = self.gap_s + self.prefill_left_s
            self.protected = [
                stake for stake in self.on_time if stake.gap_target_s >= gap_s
            ]

    def value_lost_by(self, extra_s: float) -> float:
        """Return the value that streams lose by `extra_s` more reading.

        What is read already when a stream begins does not hold it up, so
        those that are still to come meet only what is added now.
        """
        lost = 0.0
        if self.protected:
            after = (self.gap_s + self.prefill_left_s + extra_s) / GAP_MARGIN
            lost += value_lost(self.protected, after)
        if self.prefilling_protected:
            after = (self.gap_s + extra_s) / GAP_MARGIN
            lost += value_lost(self.prefilling_protected, after)
        return lost


def engine_state(
    endpoint: str,
    works: Iterable[work_lib.Work],
    spec: routes.EngineSpec,
    now: float,
    in_gateway_zone: bool = True,
    slowdown: float = 1.0,
) -> EngineState:
    """Return the state of an engine from the work that was sent to it."""
    state = EngineState(endpoint, in_gateway_zone, slowdown)
    works = list(works)
    for work in works:
        state.kv_used += work.kv_tokens
        if work.leads:
            state.running += 1
            state.requests_ahead += work.writing or not work.late
            (state.decoding if work.writing else state.prefilling).append(work)
        elif not work.writing:
            state.helper_parts += 1
    state.prefill_done_at = prefill_done_at(works, spec, slowdown)
    state.update_gaps(spec)
    state.advance_to(now)
    return state


def prefill_done_at(
    works: Iterable[work_lib.Work],
    spec: routes.EngineSpec,
    slowdown: float = 1.0,
) -> float:
    """Return when an engine will have read what it was sent.

    It reads one part after the other, so each begins when the one before
    it has ended. Counted as if all began when they were sent, a few long
    ones at one engine looked read while most of them still waited.
    """
    found = NEVER
    unread = [work for work in works if not work.writing]
    for work in sorted(unread, key=lambda w: w.sent_at):
        whole = enginemodel.prefill_s(spec, work.prompt_tokens, work.parts)
        found = max(found, work.sent_at) + slowdown * whole
    return found


def remaining_prefill_s(
    works: Iterable[work_lib.Work],
    spec: routes.EngineSpec,
    now: float,
    slowdown: float = 1.0,
) -> float:
    """Return for how long an engine will still read what it was sent."""
    return max(0.0, prefill_done_at(works, spec, slowdown) - now)
