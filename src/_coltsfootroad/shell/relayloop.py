"""Keeps a relay's copy current by asking the leader, again and again."""

import asyncio
from collections.abc import Callable

from _coltsfootroad.control import watchcache
from _coltsfootroad.control import watching
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import links
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import traffic

LOG = logs.logger("relay")
# An answer without news comes after this time: what gateways are told proves
# a version that is hardly older.
HOLD_S = 0.4
# How much longer than it is held back an answer may take on its way.
TRAVEL_S = 0.4
# Pause after an answer: one that brings a change each 60 ms is enough.
MIN_PAUSE_S = 0.02
FAILURE_PAUSE_S = 0.05
# Gateways that come and go within this time are told to the leader together.
REPORT_S = 0.03


class RelayLoop:
    """Asks for news and reports gateways, while another process leads."""

    def __init__(
        self,
        watch_cache: watchcache.WatchCache,
        link: links.GrpcControlLink,
        leads: Callable[[], bool],
        on_news: Callable[[], None],
        broken: asyncio.Future,
        replicas: Callable[[], tuple[str, ...]] = tuple,
    ):
        self.watch_cache = watch_cache
        self.link = link
        self.leads = leads
        self.on_news = on_news
        self.broken = broken
        # Replicas that this process knows otherwise than by the link.
        self.replicas = replicas
        self.connected = False
        self.report_planned = False
        self.tasks: set[asyncio.Task] = set()

    def start(self) -> None:
        """Begin to ask."""
        self.spawn(self.run())

    def spawn(self, work) -> None:
        """Run something until it ends or this loop stops."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.note_end)

    def note_end(self, task: asyncio.Task) -> None:
        """Stop the process if a task ended by a fault of ours."""
        self.tasks.discard(task)
        fault = None if task.cancelled() else task.exception()
        if fault is not None and not self.broken.done():
            self.broken.set_exception(fault)

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            answered = not self.leads() and await self.ask(HOLD_S)
            traffic.PROCESS.log(clocks.boot_time())
            await asyncio.sleep(MIN_PAUSE_S if answered else FAILURE_PAUSE_S)

    async def ask(self, wait_s: float) -> bool:
        """Ask once; return whether a leader answered."""
        self.link.learn(self.replicas())
        requested_at = clocks.boot_time()
        next_request = self.watch_cache.next_request(requested_at, wait_s)
        answer = await self.link.call(next_request, wait_s + TRAVEL_S)
        news = answer.ok if answer.is_ok() else None
        if self.leads() or not isinstance(news, watching.News):
            self.note_link(False, describe(answer))
            return False
        self.note_link(True, news.epoch)
        before = (
            self.watch_cache.fleet_state.last_revision,
            self.watch_cache.routes.version,
        )
        self.watch_cache.apply_response(
            next_request, news, requested_at, clocks.boot_time()
        )
        self.link.learn(news.replicas)
        if before != (
            self.watch_cache.fleet_state.last_revision,
            self.watch_cache.routes.version,
        ):
            self.on_news()
        return True

    def plan_report(self) -> None:
        """Tell the leader soon what is not to wait for the next answer."""
        if self.watch_cache.has_unreported_changes and not self.report_planned:
            self.report_planned = True
            self.spawn(self.report())

    async def report(self) -> None:
        """Tell the leader of gateways that came or went."""
        await asyncio.sleep(REPORT_S)
        self.report_planned = False
        if (
            not self.leads()
            and self.watch_cache.has_unreported_changes
            and self.connected
        ):
            await self.ask(0.0)

    def note_link(self, connected: bool, detail: str) -> None:
        """Log each lost or regained leader once."""
        if connected != self.connected:
            text = "leader regained" if connected else "leader lost"
            LOG.info(
                text, detail=detail, version=self.watch_cache.routes.version
            )
        self.connected = connected

    def stop(self) -> None:
        """Stop asking."""
        for task in self.tasks:
            task.cancel()


def describe(answer) -> str:
    """Return what came in place of news, for the log."""
    if answer.is_error():
        return answer.error.message
    return type(answer.ok).__name__
