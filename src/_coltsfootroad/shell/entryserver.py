"""Runs an entry's core on the event loop: executes its actions and timers."""

import asyncio
import contextlib
import random

import attrs

from _coltsfootroad.control import messages
from _coltsfootroad.control import outcomes
from _coltsfootroad.core import actions
from _coltsfootroad.core import addresses
from _coltsfootroad.core import calls
from _coltsfootroad.core import counters as counters_lib
from _coltsfootroad.core import entry as entry_lib
from _coltsfootroad.core import errors
from _coltsfootroad.core import request as request_lib
from _coltsfootroad.core import servicekind
from _coltsfootroad.shell import clientmemory
from _coltsfootroad.shell import clientserver
from _coltsfootroad.shell import dispatchnotes
from _coltsfootroad.shell import dumps
from _coltsfootroad.shell import endpointclient
from _coltsfootroad.shell import entryapi
from _coltsfootroad.shell import links
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import metrics as metrics_lib
from _coltsfootroad.shell import operatorapi
from _coltsfootroad.shell import settings as settings_lib
from _coltsfootroad.shell import web

LOG = logs.logger("entry")
HEARTBEAT_TIMEOUT_S = 2.0
CONTROL_CALL_TIMEOUT_S = 3.0
SETTLE_RETRY_DELAY_S = 0.5
# How long a response may wait until the control plane has stored the outcome.
# Without a response from it, the caller's response goes first.
MAX_SETTLE_WAIT_S = 0.3
# Part of the time until its deadline for which a response may wait.
MAX_SETTLE_WAIT_SHARE = 0.5
MIN_TIMER_DELAY_S = 0.001
MAX_BODY_BYTES = 32 * 1024 * 1024


@attrs.define
class ResponseChannel:
    """Passes the core's events for one request to its HTTP handler.

    Attributes:
        events: Output, end or failure of the request, in order.
        sent_text: Output that the caller has been sent.
        started_at: When the request was submitted.
        first_token_at: When its first output arrived, None before it.
    """

    events: asyncio.Queue = attrs.Factory(asyncio.Queue)
    sent_text: list[bytes] = attrs.Factory(list)
    started_at: float = 0.0
    first_token_at: float | None = None


@attrs.frozen(eq=False)
class Settling:
    """A report of a claim's outcome that has not been acknowledged.

    Attributes:
        done: Completes once the control plane has stored the outcome.
        wait_until: Loop time until which the response may wait for it.
    """

    done: asyncio.Future
    wait_until: float


class EntryServer:
    """An entry with its sockets, timers and connections."""

    def __init__(
        self,
        settings: settings_lib.EntrySettings,
        incarnation: int,
        control: links.ControlClient,
        client: endpointclient.EndpointClient,
        metrics: metrics_lib.Metrics,
        clients: clientmemory.ClientMemory,
    ):
        self.settings = settings
        self.clients = clients
        self.control = control
        self.client = client
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()
        self.core = entry_lib.EntryCore(
            settings.entry, incarnation, random.Random()
        )
        self.channels: dict[str, ResponseChannel] = {}
        self.tasks: set[asyncio.Task] = set()
        self.unsettled_claims = 0
        # Reports of outcomes whose requests have not been responded to.
        self.settling: dict[str, Settling] = {}
        self.heartbeat_requested = asyncio.Event()
        self.timer: asyncio.TimerHandle | None = None
        self.notes = dispatchnotes.DispatchNoteExchange(
            settings.peer_listen,
            self.core.owner,
            self.on_dispatch_note,
            settings.peer_connection_limit,
        )
        self.http_server = None
        self.admin_server = None
        self.fatal_error: asyncio.Future = self.loop.create_future()
        self.stop_requested: asyncio.Future = self.loop.create_future()
        self.ttft = metrics.histogram(
            "colts_entry_ttft_seconds", "Time to first token"
        )
        self.register_metrics()

    # --- lifecycle -------------------------------------------------------

    @property
    def member(self) -> addresses.Member:
        """Return the record of this entry in the control plane."""
        return addresses.Member(
            entry=self.settings.entry,
            incarnation=self.core.incarnation,
            address=self.settings.advertise or self.settings.listen,
            peer_address=self.settings.peer_listen,
            availability_zone=self.settings.availability_zone,
        )

    async def start(self, listen_admin: bool = True) -> None:
        """Open the sockets; start the heartbeats and timers."""
        app = operatorapi.make_application(entryapi.routes(self))
        self.http_server = clientserver.listen(
            app, self.settings.listen, MAX_BODY_BYTES, self.clients
        )
        if listen_admin:
            routes = web.admin_routes(
                self.settings.admin_token, self.dump, self.metrics
            )
            arguments = {"token": self.settings.admin_token, "server": self}
            routes.append((r"/admin/drain", DrainHandler, arguments))
            self.admin_server = clientserver.listen(
                operatorapi.make_application(routes),
                self.settings.admin_listen,
                MAX_BODY_BYTES,
                self.clients,
            )
        await self.notes.start()
        self.spawn(self.send_heartbeats())
        self.run_timers()
        LOG.info(
            "entry {} listens on {}", self.core.owner, self.settings.listen
        )

    async def drain(self) -> None:
        """Finish the requests in flight within the grace period, then stop."""
        self.run_core(self.core.begin_drain, self.loop.time())
        LOG.info("entry {} is draining", self.core.owner)
        end = self.loop.time() + self.settings.shutdown_grace_s
        while self.loop.time() < end and not self.is_drained():
            await asyncio.sleep(0.05)
        await self.stop()

    def is_drained(self) -> bool:
        """Return whether no request, cancel or claim is pending."""
        is_busy = self.channels or self.unsettled_claims
        return self.core.is_drained(self.loop.time()) and not is_busy

    async def stop(self) -> None:
        """Close all sockets and connections, and cancel all tasks."""
        for server in (self.http_server, self.admin_server):
            if server is not None:
                server.stop()
        if self.timer is not None:
            self.timer.cancel()
        for task in list(self.tasks):
            task.cancel()
        await self.notes.stop()
        await self.control.close()
        LOG.info("entry {} stopped", self.core.owner)

    def spawn(self, coroutine) -> None:
        """Run a coroutine as a task; an exception in it ends the process."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)

    def on_task_done(self, task: asyncio.Task) -> None:
        """Drop a finished task; treat an exception as a broken invariant."""
        self.tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        LOG.critical("stopping on a fault: {!r}", task.exception())
        if not self.fatal_error.done():
            self.fatal_error.set_exception(task.exception())

    # --- core ------------------------------------------------------------

    def run_core(self, method, *arguments) -> None:
        """Call a method of the core and execute the actions it returns."""
        try:
            requested_actions = method(*arguments)
        except errors.BrokenInvariantError as error:
            LOG.critical("stopping on a broken invariant: {}", error)
            if not self.fatal_error.done():
                self.fatal_error.set_exception(error)
            return
        for action in requested_actions:
            self.execute(action)
        if self.core.syncing.wants_sync:
            self.heartbeat_requested.set()
        self.schedule_timer()

    def run_timers(self) -> None:
        """Run the core's due timers."""
        self.timer = None
        self.run_core(self.core.tick, self.loop.time())

    def schedule_timer(self) -> None:
        """Set the timer to the core's next due time."""
        now = self.loop.time()
        due_at = max(self.core.next_wake(now), now + MIN_TIMER_DELAY_S)
        if self.timer is not None:
            if self.timer.when() <= due_at:
                return
            self.timer.cancel()
        self.timer = self.loop.call_at(due_at, self.run_timers)

    def execute(self, action: actions.Action) -> None:
        """Start an action of the core."""
        match action:
            case actions.Dispatch():
                self.dispatch(action)
            case actions.DispatchNote():
                self.notes.send_soon(action)
            case actions.Emit() | actions.Finish() | actions.Fail():
                self.respond(action)
            case actions.Cancel():
                self.spawn(self.cancel(action))
            case actions.TakeClaim():
                self.spawn(self.acquire_claim(action))
            case actions.SettleClaim():
                self.begin_settling(action)
            case actions.Reprioritise():
                self.spawn(self.reprioritise(action))
            case actions.ReserveGroup():
                self.spawn(self.reserve_group(action))
            case actions.ReleaseGroup():
                release = calls.release_call(action)
                self.spawn(self.control.call(release, CONTROL_CALL_TIMEOUT_S))

    def submit(self, request: request_lib.Request) -> ResponseChannel:
        """Submit a request to the core; return the channel of its events."""
        channel = ResponseChannel(started_at=self.loop.time())
        self.channels[request.request_id] = channel
        self.run_core(self.core.submit, request, self.loop.time())
        return channel

    def send_to_caller(self, action) -> None:
        """Pass an event to the channel of its request."""
        channel = self.channels.get(action.request_id)
        if channel is None:
            return
        if isinstance(action, actions.Emit):
            channel.sent_text.append(action.chunk.data)
            if channel.first_token_at is None:
                channel.first_token_at = self.loop.time()
                self.ttft.record(channel.first_token_at - channel.started_at)
        channel.events.put_nowait(action)

    def close_channel(self, request_id: str) -> None:
        """Close the channel of a caller that has its response or is gone."""
        if self.channels.pop(request_id, None) is not None:
            self.run_core(
                self.core.on_caller_gone, request_id, self.loop.time()
            )

    # --- endpoints -------------------------------------------------------

    def address_of(self, endpoint: str) -> str | None:
        """Return the address of an endpoint, None if it is unknown."""
        view = self.core.view(endpoint)
        return view.announcement.address if view is not None else None

    def dispatch(self, dispatch: actions.Dispatch) -> None:
        """Start all parts of an attempt."""
        plain = servicekind.ServiceKind.PLAIN
        for part in dispatch.parts:
            if dispatch.request.kind is plain:
                self.spawn(self.call_service(dispatch))
            else:
                self.spawn(self.generate(dispatch, part))

    def report_failed_attempt(
        self,
        dispatch: actions.Dispatch,
        part: actions.Part,
        fault: entry_lib.Fault,
    ) -> None:
        """Report a failed attempt to the core."""
        LOG.debug(
            "attempt {} of {} at {} failed: {}",
            dispatch.attempt,
            dispatch.request.request_id,
            part.endpoint,
            fault.value,
        )
        self.run_core(
            self.core.on_attempt_failed,
            part.endpoint,
            dispatch.request.request_id,
            dispatch.attempt,
            fault,
            self.loop.time(),
        )

    async def generate(
        self, dispatch: actions.Dispatch, part: actions.Part
    ) -> None:
        """Run one part of an attempt on an engine."""
        address = self.address_of(part.endpoint)
        remaining_s = dispatch.deadline_at - self.loop.time()
        if address is None or remaining_s <= 0:
            self.report_failed_attempt(dispatch, part, entry_lib.Fault.NOT_SENT)
            return

        def on_chunk(chunk: request_lib.Chunk) -> None:
            self.run_core(
                self.core.on_chunk,
                part.endpoint,
                dispatch.request.request_id,
                dispatch.attempt,
                chunk,
                self.loop.time(),
            )

        fault = await self.client.generate(
            address,
            dispatch,
            part,
            self.core.owner,
            self.resume_text(dispatch),
            remaining_s,
            on_chunk,
        )
        if fault is not None:
            self.report_failed_attempt(dispatch, part, fault)

    def resume_text(self, dispatch: actions.Dispatch) -> str:
        """Return the output sent so far, which a resumed attempt continues."""
        channel = self.channels.get(dispatch.request.request_id)
        if channel is None or not dispatch.resume_offset:
            return ""
        return b"".join(channel.sent_text).decode(errors="replace")

    async def call_service(self, dispatch: actions.Dispatch) -> None:
        """Send one request to a plain service."""
        part = dispatch.parts[0]
        address = self.address_of(part.endpoint)
        remaining_s = dispatch.deadline_at - self.loop.time()
        if address is None or remaining_s <= 0:
            self.report_failed_attempt(dispatch, part, entry_lib.Fault.NOT_SENT)
            return
        outcome = await self.client.call(address, dispatch, remaining_s)
        if outcome.is_error():
            self.report_failed_attempt(dispatch, part, outcome.error)
            return
        self.run_core(
            self.core.on_answer,
            part.endpoint,
            dispatch.request.request_id,
            dispatch.attempt,
            outcome.ok,
            self.loop.time(),
        )

    async def cancel(self, action: actions.Cancel) -> None:
        """Cancel an attempt; the core repeats this until it is confirmed."""
        address = self.address_of(action.endpoint)
        view = self.core.view(action.endpoint)
        if address is None or view is None:
            return
        is_plain = view.announcement.kind is servicekind.ServiceKind.PLAIN
        if not is_plain and not await self.client.cancel(address, action):
            return
        self.run_core(
            self.core.on_cancel_confirmed,
            action.endpoint,
            action.request_id,
            action.attempt,
            self.loop.time(),
        )

    async def reprioritise(self, action: actions.Reprioritise) -> None:
        """Change the priority of an attempt on an engine."""
        address = self.address_of(action.endpoint)
        if address is not None:
            await self.client.reprioritise(address, action)

    def on_dispatch_note(self, note: actions.DispatchNote) -> None:
        """Pass a dispatch note of another entry to the core."""
        self.run_core(self.core.on_note, note, self.loop.time())

    # --- control plane ---------------------------------------------------

    async def send_heartbeats(self) -> None:
        """Send heartbeats until the process ends."""
        while True:
            self.heartbeat_requested.clear()
            await self.send_heartbeat()
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(
                    self.heartbeat_requested.wait(),
                    self.settings.sync_interval_s,
                )

    async def send_heartbeat(self) -> None:
        """Send one heartbeat and apply the reply."""
        requested_at = self.loop.time()
        request = self.core.sync_request(self.member, requested_at)
        answer = await self.control.call(request, HEARTBEAT_TIMEOUT_S)
        if answer.is_error():
            LOG.warning("heartbeat failed: {}", answer.error.message)
            return
        if not isinstance(answer.ok, messages.SyncReply):
            LOG.warning("heartbeat refused: {}", answer.ok)
            return
        version = self.core.freshness.version
        self.run_core(
            self.core.on_sync,
            request,
            answer.ok,
            requested_at,
            self.loop.time(),
        )
        self.notes.update_peers(self.core.freshness.members)
        if self.core.freshness.version != version:
            LOG.info("configuration {} in force", self.core.freshness.version)

    async def acquire_claim(self, action: actions.TakeClaim) -> None:
        """Request a claim; without an answer the core requests it again."""
        request = action.request
        message = calls.claim_call(action, self.loop.time())
        answer = await self.control.call(message, CONTROL_CALL_TIMEOUT_S)
        if answer.is_ok() and isinstance(answer.ok, messages.ClaimAnswer):
            self.run_core(
                self.core.on_claim,
                request.request_id,
                answer.ok,
                self.loop.time(),
            )

    def respond(
        self, action: actions.Emit | actions.Finish | actions.Fail
    ) -> None:
        """Send to the caller; the end waits for the report of the outcome."""
        settling = None
        if not isinstance(action, actions.Emit):
            settling = self.settling.pop(action.request_id, None)
        if settling is None:
            self.send_to_caller(action)
        else:
            self.spawn(self.send_once_settled(action, settling))

    def begin_settling(self, action: actions.SettleClaim) -> None:
        """Report how a claim ended before its request is responded to."""
        self.unsettled_claims += 1
        now = self.loop.time()
        left_s = max(0.0, action.request.deadline_at - now)
        settling = Settling(
            self.loop.create_future(),
            now + min(MAX_SETTLE_WAIT_S, MAX_SETTLE_WAIT_SHARE * left_s),
        )
        self.settling[action.request.request_id] = settling
        self.spawn(self.settle_claim(action, settling.done))

    async def settle_claim(
        self, action: actions.SettleClaim, done: asyncio.Future
    ) -> None:
        """Report how a claim ended; repeat until it is acknowledged."""
        message = calls.settle_call(action)
        started_at = self.loop.time()
        try:
            while True:
                answer = await self.control.call(
                    message, CONTROL_CALL_TIMEOUT_S
                )
                if answer.is_ok() and isinstance(answer.ok, outcomes.Done):
                    done.set_result(None)
                    LOG.info(
                        "claim of {} settled after {:.3f} s, ran: {}",
                        action.request.request_id,
                        self.loop.time() - started_at,
                        action.ran.value,
                    )
                    return
                await asyncio.sleep(SETTLE_RETRY_DELAY_S)
        finally:
            self.unsettled_claims -= 1

    async def send_once_settled(
        self, action: actions.Finish | actions.Fail, settling: Settling
    ) -> None:
        """Respond once a resend through any entry would get the outcome.

        A resend that comes before gets "in progress" although the caller of the
        first one has its response.
        """
        wait_s = settling.wait_until - self.loop.time()
        await asyncio.wait([settling.done], timeout=max(0.0, wait_s))
        if not settling.done.done():
            LOG.warning(
                "response to {} sent before its outcome was stored",
                action.request_id,
            )
        self.send_to_caller(action)

    async def reserve_group(self, action: actions.ReserveGroup) -> None:
        """Reserve a group of engines; the core repeats this by a timer."""
        message = calls.reserve_call(action)
        answer = await self.control.call(message, CONTROL_CALL_TIMEOUT_S)
        if answer.is_ok() and isinstance(answer.ok, messages.GroupAnswer):
            self.run_core(self.core.on_group, answer.ok, self.loop.time())

    # --- state dump and metrics ------------------------------------------

    def dump(self) -> bytes:
        """Return the process state as JSON, for operators."""
        return dumps.to_json(
            {
                "settings": self.settings,
                "owner": self.core.owner,
                "clients": self.clients.dump(),
                "freshness": self.core.freshness,
                "counters": self.core.counters,
                "draining": self.core.draining,
                "flights": self.core.flights.flights,
                "limits": self.core.limits,
                "pools": self.core.pools,
                "queues": self.core.dispatcher.queues,
                "bands": self.core.dispatcher.bands_by_service,
                "releases": len(self.core.releaser.pending),
                "unsettled": self.unsettled_claims,
            }
        )

    def register_metrics(self) -> None:
        """Register the metrics of this entry."""
        core = self.core
        for field in attrs.fields(counters_lib.Counters):
            self.metrics.counter(
                f"colts_entry_{field.name}",
                f"Requests or events: {field.name.replace('_', ' ')}",
                counter_reader(core.counters, field.name),
            )
        gauge = self.metrics.gauge
        gauge(
            "colts_entry_in_flight",
            "Requests admitted and not ended",
            lambda: len(core.flights.flights),
        )
        gauge(
            "colts_entry_config_version",
            "Configuration version in force",
            lambda: core.freshness.version,
        )
        gauge(
            "colts_entry_fenced",
            "1 while the entry cannot prove that it is current",
            lambda: not core.freshness.is_current(self.loop.time()),
        )
        gauge(
            "colts_entry_releasing",
            "Cancels that no engine has confirmed yet",
            lambda: len(core.releaser.pending),
        )


class DrainHandler(web.AdminHandler):
    """Shuts the entry down gracefully, as SIGTERM does."""

    def post(self):
        """Start draining; send how long published addresses remain valid."""
        if not self.server.stop_requested.done():
            self.server.stop_requested.set_result(True)
        validity = self.server.core.config.fleet.address_validity_s
        self.send_value({"draining": True, "accepts_for_s": validity})


def counter_reader(counters: counters_lib.Counters, name: str):
    """Return a function that reads one counter."""
    return lambda: getattr(counters, name)
