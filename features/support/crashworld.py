"""A simulated fleet of gateways and engines that crash under certain requests.

The gateways' own code runs in virtual time: exchanges, choice of endpoints,
crash detection and the exchange with the control plane. Engines, connections
and callers are simulated here.
"""

import asyncio
import collections
import contextlib
import itertools
from unittest import mock

import attrs
from tornado import httputil

from _coltsfootroad.core import fingerprints
from _coltsfootroad.core import registry
from _coltsfootroad.core import routes
from _coltsfootroad.gateway import admission
from _coltsfootroad.gateway import endpointprobe
from _coltsfootroad.gateway import exchange as exchange_lib
from _coltsfootroad.gateway import upstream
from features.support import gatewaybed
from features.support import relayworld
from features.support import virtualloop

# The requirement: all connected processes know of the third crash within this
# time, and send the request at most so many times after that.
CONTACT_S = 3.0
ALLOWED_RETRIES = 3
CRASHES_BEFORE = 3
# How long an engine runs a poison request before it crashes, and any other one.
CRASH_AFTER_S = 0.08
SERVE_S = 0.15
RESTART_S = 3.5
SERVICE = "shop"
POISON = b"poison"


@attrs.define(eq=False)
class Engine:
    """An engine at one address; each incarnation has its own name."""

    address: str
    starts: int = 1
    up: bool = True
    dark: bool = False
    calls: dict[asyncio.Future, None] = attrs.Factory(dict)

    @property
    def name(self) -> str:
        """Return the name of the current incarnation."""
        return f"engine-{self.address}-{self.starts}"

    def end_calls(self) -> None:
        """End all calls as lost connections."""
        for call in list(self.calls):
            if not call.done():
                call.set_result(upstream.CallEnd.LOST)


@attrs.define(eq=False)
class WorldPool:
    """Simulates a gateway's connection pool for one address."""

    world: "CrashWorld"
    address: str

    async def call(
        self, request, sink, _reuse, may_send, observer=None
    ) -> upstream.CallEnd:
        """Deliver a request to the engine that listens on the address."""
        await asyncio.sleep(relayworld.ONE_WAY_DELAY_S)
        engine = self.world.engines[self.address]
        if observer is not None:
            observer.on_ended(connect_failure(engine))
        if not engine.up or engine.dark:
            return upstream.CallEnd.NOT_SENT
        if not may_send():
            return upstream.CallEnd.NOT_ALLOWED
        headers = httputil.HTTPHeaders(
            {
                "X-Request-Id": request.headers["X-Request-Id"],
                "X-Signature": engine.name,
            }
        )
        if request.headers["X-Expected-Endpoint"] != engine.name:
            sink.on_head(421, "Misdirected", headers)
            return upstream.CallEnd.COMPLETE
        self.world.note_send(request.body)
        call = self.world.loop.create_future()
        engine.calls[call] = None
        running = asyncio.ensure_future(self.world.run_at(engine, request.body))
        try:
            await asyncio.wait(
                [running, call], return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            running.cancel()
            engine.calls.pop(call, None)
        if call.done():
            return call.result()
        sink.on_head(200, "OK", headers)
        sink.on_data(gatewaybed.event(1))
        return upstream.CallEnd.COMPLETE

    def close(self) -> None:
        """Do nothing; there are no real connections."""


@attrs.define(eq=False)
class PeerPool:
    """Simulates the connections of a gateway to another one."""

    world: "CrashWorld"
    gateway: object

    async def call(
        self, request, sink, _reuse, may_send, _observer=None
    ) -> upstream.CallEnd:
        """Serve a forwarded request at the other gateway."""
        if not may_send():
            return upstream.CallEnd.NOT_ALLOWED
        await asyncio.sleep(relayworld.ONE_WAY_DELAY_S)
        names = self.gateway.dialect.names
        connection = await self.world.serve(
            self.gateway,
            admission.CallerRequest(
                httputil.RequestStartLine(
                    request.method, request.target, "HTTP/1.1"
                ),
                request.headers,
                request.body,
                self.world.now,
                request.headers[names.forwarded_by],
            ),
        )
        if not connection.status:
            return upstream.CallEnd.LOST
        headers = httputil.HTTPHeaders(connection.headers)
        sink.on_head(connection.status, "", headers)
        sink.on_data(connection.body)
        return upstream.CallEnd.COMPLETE

    def close(self) -> None:
        """Do nothing; there are no real connections."""


def connect_failure(engine: Engine) -> upstream.ConnectFailure | None:
    """Return why a connection to an engine fails, None if it does not."""
    if engine.dark:
        return upstream.ConnectFailure.UNANSWERED
    return None if engine.up else upstream.ConnectFailure.REFUSED


class CallerConnection:
    """Records the response of a gateway."""

    def __init__(self):
        self.status = 0
        self.body = b""
        self.headers = {}
        self.stream = mock.Mock()

    def write_headers(self, start, headers, body=None):
        """Record status and headers."""
        self.status = start.code
        self.headers = dict(headers.get_all())
        self.body = body or b""
        return done()

    def write(self, data):
        """Record a chunk of the body."""
        self.body += data
        return done()

    def finish(self):
        """Ignore the end of the response."""

    def close(self):
        """Record that the connection was closed."""
        self.status = 0


def key_of(workspace: str) -> str:
    """Return the API key of a workspace."""
    return f"key-of-{workspace}"


def holders(*workspaces: str) -> tuple[routes.KeyHolder, ...]:
    """Return the key holders of some workspaces."""
    return tuple(
        routes.KeyHolder(workspace=name, keys=(key_of(name),))
        for name in workspaces
    )


def fingerprint(body: bytes, kind: str) -> fingerprints.Fingerprint:
    """Return a request's fingerprint as gateways compute it."""
    return fingerprints.compute(
        "POST", gatewaybed.HOST, f"/{kind}/x", "acme", body
    )


def done() -> asyncio.Future:
    """Return a completed future."""
    future = asyncio.get_running_loop().create_future()
    future.set_result(None)
    return future


class CrashWorld(relayworld.World):
    """A fleet whose engines crash under requests with certain bodies."""

    def __init__(self, loop, seed: int, engines: int):
        super().__init__(loop, seed)
        self.ids = itertools.count(1)
        self.engines = {
            f"10.1.0.{number}:1": Engine(f"10.1.0.{number}:1")
            for number in range(1, engines + 1)
        }
        # The kind of each poison request, by body.
        self.poisons: dict[bytes, str] = {}
        self.fixed = False
        # Requests under which engines break all connections but keep running.
        self.spoiled: set[bytes] = set()
        self.serve_s: dict[bytes, float] = {}
        self.arrivals: collections.Counter = collections.Counter()
        self.sent: dict[bytes, list[float]] = collections.defaultdict(list)
        self.crashed: dict[bytes, list[float]] = collections.defaultdict(list)
        # Counts of proper requests, which crash no engine: sent, answered,
        # refused.
        self.proper: collections.Counter = collections.Counter()
        self.tasks: set[asyncio.Task] = set()

    def spawn(self, coroutine) -> None:
        """Run a coroutine in the background."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.end_task)

    def end_task(self, task: asyncio.Task) -> None:
        """Report the exception of a background task to the test."""
        self.tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None and not self.broken.done():
            self.broken.set_exception(error)

    # --- gateways and engines ----------------------------------------------

    def add_gateway(self, name: str, zone: str) -> None:
        """Start or restart a gateway."""
        super().add_gateway(name, zone)
        gateway = self.gateways[name]
        gateway.start_up.done = True
        gateway.rng.seed(self.rng.random())
        gateway.pool = self.pool

    def pool(self, address: str) -> "WorldPool | PeerPool":
        """Return the simulated pool of an engine's or gateway's address."""
        for gateway in self.gateways.values():
            if gateway.settings.listen == address:
                return PeerPool(self, gateway)
        return WorldPool(self, address)

    def renew_endpoints(self) -> None:
        """Announce all running engines."""
        for engine in self.engines.values():
            if engine.up:
                self.announce_engine(engine)

    def announce_engine(
        self, engine: Engine, state=registry.EndpointState.SERVING
    ) -> None:
        """Announce an engine to the leader."""
        leader = self.leader()
        if leader is None:
            return
        announcement = registry.Announcement(
            endpoint=engine.name,
            incarnation=registry.NO_INCARNATION,
            seq=next(self.seqs),
            service=SERVICE,
            address=engine.address,
            state=state,
        )
        leader.coordinator.record_announcement(announcement, 8.0, self.now)
        leader.watch_server.wake_watches()

    async def run_at(self, engine: Engine, body: bytes) -> None:
        """Run a request until it completes or crashes the engine."""
        if body in self.spoiled:
            await asyncio.sleep(CRASH_AFTER_S)
            engine.end_calls()
        if body not in self.poisons or self.fixed:
            await asyncio.sleep(self.serve_s.get(body, SERVE_S))
            return
        await asyncio.sleep(CRASH_AFTER_S)
        self.crashed[body].append(self.now)
        self.crash(engine)
        await asyncio.sleep(SERVE_S)

    def crash(self, engine: Engine) -> None:
        """End an engine's process and schedule its restart."""
        engine.up = False
        engine.end_calls()
        self.spawn(self.restart(engine))

    async def restart(self, engine: Engine) -> None:
        """Restart an engine under another name."""
        await asyncio.sleep(RESTART_S)
        engine.starts += 1
        engine.up = True
        self.announce_engine(engine)

    async def probe(
        self, address: str, _timeout_s: float = 0.0
    ) -> endpointprobe.ListenerState:
        """Return the result of a connection attempt to an engine."""
        await asyncio.sleep(2 * relayworld.ONE_WAY_DELAY_S)
        engine = self.engines[address]
        if engine.dark:
            return endpointprobe.ListenerState.SILENT
        if engine.up:
            return endpointprobe.ListenerState.OPEN
        return endpointprobe.ListenerState.CLOSED

    # --- callers -----------------------------------------------------------

    def note_send(self, body: bytes) -> None:
        """Record that a request has reached an engine."""
        self.arrivals[body] += 1
        if body in self.poisons:
            self.sent[body].append(self.now)

    async def ask(
        self,
        body: bytes,
        kind: str = "safe",
        gateway=None,
        key: str = gatewaybed.KEY,
    ) -> CallerConnection:
        """Send a request to a given or random gateway; return the response."""
        gateway = gateway or self.rng.choice(list(self.gateways.values()))
        request = admission.CallerRequest(
            httputil.RequestStartLine("POST", f"/{kind}/x", "HTTP/1.1"),
            httputil.HTTPHeaders(
                {
                    "Host": gatewaybed.HOST,
                    "X-Request-Id": f"r-{next(self.ids)}",
                    "X-Deadline-Ms": "5000",
                    "X-Api-Key": key,
                }
            ),
            body,
            self.now,
        )
        return await self.serve(gateway, request)

    async def serve(
        self, gateway, request: admission.CallerRequest
    ) -> CallerConnection:
        """Serve a request at a gateway; return the response."""
        connection = CallerConnection()
        exchange = exchange_lib.Exchange(gateway, connection, request)
        gateway.running.add(exchange)
        try:
            await exchange.run()
        finally:
            gateway.running.discard(exchange)
        return connection

    async def repeat_poison(self, body: bytes, every_s: float) -> None:
        """Send a poison request periodically, each time as a new attempt."""
        kind = self.rng.choice(("safe", "stream"))
        self.poisons[body] = kind
        while True:
            self.spawn(self.ask(body, kind))
            await asyncio.sleep(every_s)

    async def send_proper(self, body: bytes) -> None:
        """Send a proper request; retry once if it fails."""
        self.proper["asked"] += 1
        for _ in range(2):
            answer = await self.ask(body)
            if answer.status == 200:
                break
            if b"quarantine" in answer.body:
                self.proper["ended in quarantine"] += 1
        self.proper["ended"] += 1
        self.proper["answered"] += answer.status == 200

    async def load(self, every_s: float) -> None:
        """Send proper requests periodically, each with a different body."""
        for number in itertools.count():
            self.spawn(self.send_proper(b"proper %d" % number))
            await asyncio.sleep(every_s)

    # --- checks ----------------------------------------------------

    def late_sends(self, body: bytes) -> list[float]:
        """Return the sends of a poison request that the requirement limits."""
        crashed = sorted(self.crashed[body])
        if len(crashed) < CRASHES_BEFORE:
            return []
        known_at = crashed[CRASHES_BEFORE - 1] + CONTACT_S
        return [at for at in self.sent[body] if at > known_at]

    def check_poisons(self) -> None:
        """Check that no poison request is sent more often than allowed."""
        for body in self.poisons:
            late = self.late_sends(body)
            assert len(late) <= ALLOWED_RETRIES, (
                f"{body!r} reached engines {len(late)} times after its"
                f" third crash was known; {len(self.crashed[body])} crashes"
            )

    def stop(self) -> None:
        """Cancel all tasks."""
        super().stop()
        for task in self.tasks:
            task.cancel()


@contextlib.contextmanager
def fleet(gateways: int = 9, engines: int = 16, seed: int = 1):
    """Yield a world with a running fleet, and a function to run coroutines."""
    with virtualloop.virtual_time() as loop:
        world = CrashWorld(loop, seed, engines)
        with mock.patch.object(endpointprobe, "probe", world.probe):
            loop.run_until_complete(world.begin(gateways))
            loop.run_until_complete(world.run(2.0))
            for gateway in world.gateways.values():
                gatewaybed.settle_share(gateway, 1 / gateways)
            # The leader must have led for as long as the gateways have run.
            world.leader().coordinator.retry_lender.started_at = float("-inf")
            try:
                yield world, loop.run_until_complete
            finally:
                world.stop()
