"""What an engine is believed to do, from the work that it was sent."""

from collections.abc import Iterable

import attrs

from _coltsfootroad.core import enginemodel
from _coltsfootroad.core import routes
from _coltsfootroad.core import work as work_lib

# Share of the longest pause that a pass may take by prediction.
PAUSE_MARGIN = 0.85
NEVER = float("-inf")


@attrs.frozen
class Stake:
    """A stream that is on time so far, and what a long pause would cost."""

    gap_target_s: float
    value: float


def lost_above(stakes: list[Stake], pause_s: float) -> float:
    """Return what is lost by a pause."""
    return sum(stake.value for stake in stakes if stake.gap_target_s < pause_s)


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
    near: bool = True
    pace: float = 1.0
    writers: list[work_lib.WorkItem] = attrs.Factory(list)
    free_at: float = NEVER
    reading_s: float = 0.0
    running: int = 0
    ahead: int = 0
    helping: int = 0
    kv_used: int = 0
    pause_s: float = 0.0
    bare_stakes: list[Stake] = attrs.Factory(list)
    stakes: list[Stake] = attrs.Factory(list)
    coming: list[work_lib.WorkItem] = attrs.Factory(list)
    coming_stakes: list[Stake] = attrs.Factory(list)

    def foresee(self, spec: routes.EngineSpec) -> None:
        """Work out the pauses that its streams have without further work.

        Done once for each change of its work, as each of the many comparisons
        of a choice asks.
        """
        context = sum(work.prompt_tokens for work in self.writers)
        bare_s = enginemodel.pass_s(spec, len(self.writers), context)
        self.pause_s = self.pace * bare_s
        self.bare_stakes = [
            Stake(work.gap_target_s, work.value)
            for work in self.writers
            if work.gap_target_s >= self.pause_s
        ]
        self.coming_stakes = [
            Stake(work.gap_target_s, work.value)
            for work in self.coming
            if work.gap_target_s
        ]

    def look(self, now: float) -> None:
        """Note what is left to be read at a time."""
        self.reading_s = max(0.0, self.free_at - now)
        self.stakes = self.bare_stakes
        if self.reading_s:
            pause_s = self.pause_s + self.reading_s
            self.stakes = [
                stake
                for stake in self.bare_stakes
                if stake.gap_target_s >= pause_s
            ]

    def harm(self, extra_s: float) -> float:
        """Return the value that streams lose by `extra_s` more reading.

        What is read already when a stream begins does not hold it up, so
        those that are still to come meet only what is added now.
        """
        lost = 0.0
        if self.stakes:
            after = (self.pause_s + self.reading_s + extra_s) / PAUSE_MARGIN
            lost += lost_above(self.stakes, after)
        if self.coming_stakes:
            after = (self.pause_s + extra_s) / PAUSE_MARGIN
            lost += lost_above(self.coming_stakes, after)
        return lost


def engine_state(
    endpoint: str,
    works: Iterable[work_lib.WorkItem],
    spec: routes.EngineSpec,
    now: float,
    near: bool = True,
    pace: float = 1.0,
) -> EngineState:
    """Return the state of an engine from the work that was sent to it."""
    state = EngineState(endpoint, near, pace)
    works = list(works)
    for work in works:
        state.kv_used += work.kv_tokens
        if work.leads:
            state.running += 1
            state.ahead += work.writing or not work.late
            (state.writers if work.writing else state.coming).append(work)
        elif not work.writing:
            state.helping += 1
    state.free_at = free_at(works, spec, pace)
    state.foresee(spec)
    state.look(now)
    return state


def free_at(
    works: Iterable[work_lib.WorkItem],
    spec: routes.EngineSpec,
    pace: float = 1.0,
) -> float:
    """Return when an engine will have read what it was sent.

    It reads one part after the other, so each begins when the one before
    it has ended. Counted as if all began when they were sent, a few long
    ones at one engine looked read while most of them still waited.
    """
    found = NEVER
    unread = [work for work in works if not work.writing]
    for work in sorted(unread, key=lambda w: w.sent_at):
        whole = enginemodel.read_s(spec, work.prompt_tokens, work.parts)
        found = max(found, work.sent_at) + pace * whole
    return found


def reading_left_s(
    works: Iterable[work_lib.WorkItem],
    spec: routes.EngineSpec,
    now: float,
    pace: float = 1.0,
) -> float:
    """Return for how long an engine will still read what it was sent."""
    return max(0.0, free_at(works, spec, pace) - now)
