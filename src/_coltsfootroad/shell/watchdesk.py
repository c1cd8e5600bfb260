"""Answers the watches of gateways and relays in a process of control."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import attrs

from _coltsfootroad.control import outcomes
from _coltsfootroad.control import watchcache
from _coltsfootroad.control import watching
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import relayloop

# An answer may be held back this long at most, whatever the asker wants.
MAX_HOLD_S = 5.0
# Less than this is not worth another look.
MIN_HOLD_S = 0.001

Question = watching.Watch | watching.RelayWatch
# Returns the answer of this process as the leader, or who leads instead.
AskLeader = Callable[[Question], Awaitable[object]]


class WatchDesk:
    """Answers as the leader or from the copy, once there is news."""

    def __init__(
        self, watch_cache: watchcache.WatchCache, ask_leader: AskLeader
    ):
        self.watch_cache = watch_cache
        self.ask_leader = ask_leader
        self.relay: relayloop.RelayLoop | None = None
        self.changed = asyncio.Event()

    def wake(self) -> None:
        """Let all that wait look again."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, question: Question) -> object:
        """Return the answer; one without news is held back for a while."""
        end = clocks.boot_time() + min(question.wait_s, MAX_HOLD_S)
        while True:
            changed = self.changed
            answer = await self.answer_now(question)
            left_s = end - clocks.boot_time()
            empty = isinstance(answer, watching.News) and answer.is_empty
            if not empty or left_s < MIN_HOLD_S:
                return answer
            question = without_report(question)
            await wait_for_event(changed, left_s)

    async def answer_now(self, question: Question) -> object:
        """Return the leader's answer if this process leads, else a relay's.

        A relay's question is for the leader alone: what it is told has to be
        proved by the leader itself.
        """
        answer = await self.ask_leader(question)
        not_leader = isinstance(answer, outcomes.NotLeader)
        if not not_leader or isinstance(question, watching.RelayWatch):
            return answer
        relayed = self.watch_cache.on_watch(question, clocks.boot_time())
        self.relay.plan_report()
        if isinstance(relayed, outcomes.NotLeader):
            return answer
        return relayed


def without_report(question: Question) -> Question:
    """Return a question whose report has been taken the first time."""
    if isinstance(question, watching.RelayWatch):
        return attrs.evolve(
            question, attached=(), detached=(), complete=False, announcements=()
        )
    return attrs.evolve(question, announcements=())


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> None:
    """Wait until an event is set or the time is over."""
    try:
        await asyncio.wait_for(event.wait(), timeout_s)
    except TimeoutError:
        return
