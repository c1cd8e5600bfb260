"""Keeps a relay's watch cache current by polling the leader."""

import asyncio
from collections.abc import Callable

from _coltsfootroad.control import watchcache
from _coltsfootroad.control import watching
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import links
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import traffic

LOG = logs.logger("relay")
# How long the leader holds a poll without changes. It bounds the age of the
# proof that a relay serves the current version.
POLL_HOLD_S = 0.4
# Time that a poll may take on the network, beyond its hold.
POLL_TRANSIT_S = 0.4
# Pause after a response: one with changes about every 60 ms is enough.
POLL_PAUSE_S = 0.02
POLL_FAILURE_PAUSE_S = 0.05
# Gateways that attach or detach within this time are reported together.
REPORT_DELAY_S = 0.03


class LeaderPoller:
    """Polls for changes and reports gateways, while another process leads.

    Args:
        watch_cache: Builds the requests and applies the responses.
        control_client: Calls the leader.
        is_leading: Returns whether this process leads; it does not poll then.
        on_change: Called after a response that changed the watch cache.
        fatal_error: Set if a task of the poller fails; ends the process.
        replica_addresses: Returns addresses of replicas that this process
            knows from other sources than the control client.
    """

    def __init__(
        self,
        watch_cache: watchcache.WatchCache,
        control_client: links.GrpcControlClient,
        is_leading: Callable[[], bool],
        on_change: Callable[[], None],
        fatal_error: asyncio.Future,
        replica_addresses: Callable[[], tuple[str, ...]] = tuple,
    ):
        self.watch_cache = watch_cache
        self.control_client = control_client
        self.is_leading = is_leading
        self.on_change = on_change
        self.fatal_error = fatal_error
        self.replica_addresses = replica_addresses
        self.is_connected = False
        self.is_report_scheduled = False
        self.tasks: set[asyncio.Task] = set()

    def start(self) -> None:
        """Start polling."""
        self.spawn(self.run())

    def spawn(self, coroutine) -> None:
        """Run a coroutine until it ends or the poller stops."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)

    def on_task_done(self, task: asyncio.Task) -> None:
        """Stop the process if a task ended with an exception."""
        self.tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None and not self.fatal_error.done():
            self.fatal_error.set_exception(error)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            answered = not self.is_leading() and await self.poll(POLL_HOLD_S)
            traffic.PROCESS.log_if_due(clocks.boot_time())
            await asyncio.sleep(
                POLL_PAUSE_S if answered else POLL_FAILURE_PAUSE_S
            )

    async def poll(self, wait_s: float) -> bool:
        """Poll once; return whether a leader responded."""
        self.control_client.add_addresses(self.replica_addresses())
        requested_at = clocks.boot_time()
        request = self.watch_cache.next_request(requested_at, wait_s)
        answer = await self.control_client.call(
            request, wait_s + POLL_TRANSIT_S
        )
        news = answer.ok if answer.is_ok() else None
        if self.is_leading() or not isinstance(news, watching.News):
            self.log_connection_change(False, describe_failure(answer))
            return False
        self.log_connection_change(True, news.epoch)
        before = (
            self.watch_cache.fleet_state.last_revision,
            self.watch_cache.routes.version,
        )
        self.watch_cache.apply_response(
            request, news, requested_at, clocks.boot_time()
        )
        self.control_client.add_addresses(news.replicas)
        if before != (
            self.watch_cache.fleet_state.last_revision,
            self.watch_cache.routes.version,
        ):
            self.on_change()
        return True

    def schedule_report(self) -> None:
        """Schedule a report of changes that must not wait for the next poll."""
        if (
            self.watch_cache.has_unreported_changes
            and not self.is_report_scheduled
        ):
            self.is_report_scheduled = True
            self.spawn(self.report())

    async def report(self) -> None:
        """Report gateways that attached or detached to the leader."""
        await asyncio.sleep(REPORT_DELAY_S)
        self.is_report_scheduled = False
        if (
            not self.is_leading()
            and self.watch_cache.has_unreported_changes
            and self.is_connected
        ):
            await self.poll(0.0)

    def log_connection_change(self, connected: bool, detail: str) -> None:
        """Log each loss and recovery of the connection to the leader once."""
        if connected != self.is_connected:
            text = "leader regained" if connected else "leader lost"
            LOG.info(
                text, detail=detail, version=self.watch_cache.routes.version
            )
        self.is_connected = connected

    def stop(self) -> None:
        """Stop polling."""
        for task in self.tasks:
            task.cancel()


def describe_failure(answer) -> str:
    """Return the error or type of a response other than `News`."""
    if answer.is_error():
        return answer.error.message
    return type(answer.ok).__name__
