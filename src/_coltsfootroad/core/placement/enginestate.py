"""Estimates the state of an engine from the work that was sent to it."""

from collections.abc import Iterable

import attrs

from _coltsfootroad.core import routes
from _coltsfootroad.core.placement import enginemodel
from _coltsfootroad.core.placement import work as work_lib

# Share of a gap target that a predicted pass may take.
GAP_MARGIN = 0.85
NEVER = float("-inf")


@attrs.frozen
class ProtectedStream:
    """A stream that is on time, and the value of keeping it so."""

    gap_target_s: float
    value: float


def value_lost(protected: list[ProtectedStream], gap_s: float) -> float:
    """Return the value of the streams whose gap target a gap exceeds."""
    return sum(
        stream.value for stream in protected if stream.gap_target_s < gap_s
    )


@attrs.define
class EngineState:
    """The estimated state of an engine.

    Attributes:
        endpoint: Name of the engine.
        in_gateway_zone: Whether it is in the gateway's availability zone.
        slowdown: Factor by which it is slower than its specification.
        decoding: Streams that it decodes.
        prefill_done_at: Time at which its pending prefill ends.
        prefill_left_s: Seconds of pending prefill.
        running: Requests that it batches or queues.
        requests_ahead: Requests that precede a new one that is not late.
        helper_parts: Parts that it prefills for other engines.
        kv_used: KV cache tokens that all its work needs at most.
        gap_s: Seconds of a pass without prefill.
        on_time: Streams whose gap target is at least `gap_s`.
        protected: Those of `on_time` that the pending prefill does not delay
            beyond their gap target.
        prefilling: Requests that it will decode after their prefill.
        prefilling_protected: Those of `prefilling` with a gap target.
    """

    endpoint: str
    in_gateway_zone: bool = True
    slowdown: float = 1.0
    decoding: list[work_lib.WorkItem] = attrs.Factory(list)
    prefill_done_at: float = NEVER
    prefill_left_s: float = 0.0
    running: int = 0
    requests_ahead: int = 0
    helper_parts: int = 0
    kv_used: int = 0
    gap_s: float = 0.0
    on_time: list[ProtectedStream] = attrs.Factory(list)
    protected: list[ProtectedStream] = attrs.Factory(list)
    prefilling: list[work_lib.WorkItem] = attrs.Factory(list)
    prefilling_protected: list[ProtectedStream] = attrs.Factory(list)

    def update_gaps(self, spec: routes.EngineSpec) -> None:
        """Compute the gaps of its streams without further work.

        Done once per change of its work, as a choice compares many states.
        """
        context = sum(work.prompt_tokens for work in self.decoding)
        pass_s = enginemodel.pass_s(spec, len(self.decoding), context)
        self.gap_s = self.slowdown * pass_s
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
        """Update the pending prefill to a time."""
        self.prefill_left_s = max(0.0, self.prefill_done_at - now)
        self.protected = self.on_time
        if self.prefill_left_s:
            gap_s = self.gap_s + self.prefill_left_s
            self.protected = [
                stream
                for stream in self.on_time
                if stream.gap_target_s >= gap_s
            ]

    def value_lost_by(self, extra_s: float) -> float:
        """Return the value that streams lose by `extra_s` of further prefill.

        Prefill that ends before a stream begins does not delay it, so only the
        added prefill affects the streams that are still to begin.
        """
        lost = 0.0
        if self.protected:
            longest_gap_s = (
                self.gap_s + self.prefill_left_s + extra_s
            ) / GAP_MARGIN
            lost += value_lost(self.protected, longest_gap_s)
        if self.prefilling_protected:
            longest_gap_s = (self.gap_s + extra_s) / GAP_MARGIN
            lost += value_lost(self.prefilling_protected, longest_gap_s)
        return lost


def engine_state(
    endpoint: str,
    works: Iterable[work_lib.WorkItem],
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
    works: Iterable[work_lib.WorkItem],
    spec: routes.EngineSpec,
    slowdown: float = 1.0,
) -> float:
    """Return the time at which an engine ends its pending prefill.

    An engine prefills one part after the other. If each were counted from
    the time at which it was sent, several long prompts on one engine would
    look done while most of them are still queued.
    """
    done_at = NEVER
    pending = [work for work in works if not work.writing]
    for work in sorted(pending, key=lambda w: w.sent_at):
        prefill_s = enginemodel.prefill_s(spec, work.prompt_tokens, work.parts)
        done_at = max(done_at, work.sent_at) + slowdown * prefill_s
    return done_at


def remaining_prefill_s(
    works: Iterable[work_lib.WorkItem],
    spec: routes.EngineSpec,
    now: float,
    slowdown: float = 1.0,
) -> float:
    """Return the seconds of pending prefill of an engine."""
    return max(0.0, prefill_done_at(works, spec, slowdown) - now)
