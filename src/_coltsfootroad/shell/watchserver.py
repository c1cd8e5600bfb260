"""Answers watch requests of gateways and relays in a control process."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import attrs

from _coltsfootroad.control import outcomes
from _coltsfootroad.control import watchcache
from _coltsfootroad.control import watching
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import leaderpoller

# Upper bound of the time that a response without changes is held back.
MAX_HOLD_S = 5.0
# With less time left, the response is sent without another check.
MIN_HOLD_S = 0.001

WatchRequest = watching.Watch | watching.RelayWatch
# Answers as the leader, or with `NotLeader` if this process does not lead.
AnswerAsLeader = Callable[[WatchRequest], Awaitable[object]]


class WatchServer:
    """Answers as the leader or from the watch cache, once there are changes.

    Attributes:
        changed: Set when the response to a held request may have changed.
    """

    def __init__(
        self,
        watch_cache: watchcache.WatchCache,
        answer_as_leader: AnswerAsLeader,
    ):
        self.watch_cache = watch_cache
        self.answer_as_leader = answer_as_leader
        self.leader_poller: leaderpoller.LeaderPoller | None = None
        self.changed = asyncio.Event()

    def wake_watches(self) -> None:
        """Check all held requests again."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, request: WatchRequest) -> object:
        """Return the response; one without changes is held back.

        It is held for the time that the request allows, up to `MAX_HOLD_S`.
        """
        end = clocks.boot_time() + min(request.wait_s, MAX_HOLD_S)
        while True:
            changed = self.changed
            answer = await self.answer_now(request)
            remaining_s = end - clocks.boot_time()
            is_empty = isinstance(answer, watching.News) and answer.is_empty
            if not is_empty or remaining_s < MIN_HOLD_S:
                return answer
            request = without_report(request)
            await wait_for_event(changed, remaining_s)

    async def answer_now(self, request: WatchRequest) -> object:
        """Return a response as the leader, else from the watch cache.

        Only the leader answers a relay's request: the proof of freshness that
        a relay forwards has to come from the leader itself.
        """
        answer = await self.answer_as_leader(request)
        is_not_leader = isinstance(answer, outcomes.NotLeader)
        if not is_not_leader or isinstance(request, watching.RelayWatch):
            return answer
        cached = self.watch_cache.on_watch(request, clocks.boot_time())
        self.leader_poller.schedule_report()
        if isinstance(cached, outcomes.NotLeader):
            return answer
        return cached


def without_report(request: WatchRequest) -> WatchRequest:
    """Return a request without the report, which has been applied already."""
    if isinstance(request, watching.RelayWatch):
        return attrs.evolve(
            request, attached=(), detached=(), complete=False, announcements=()
        )
    return attrs.evolve(request, announcements=())


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> None:
    """Wait until an event is set or the time-out expires."""
    try:
        await asyncio.wait_for(event.wait(), timeout_s)
    except TimeoutError:
        return
