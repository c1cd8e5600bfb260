"""A simulated fleet whose engines crash under parts of prompts.

No two of the requests with such a part are alike: their contents and callers
differ, and each has proper requests beside it that share all its other parts.
"""

import asyncio
import collections
from collections.abc import Iterable
import contextlib
import enum
from unittest import mock

import attrs
from tornado import httputil

from _coltsfootroad.core import routes
from _coltsfootroad.gateway import admission
from _coltsfootroad.gateway import names as names_lib
from _coltsfootroad.gateway import upstream
from features.support import crashworld
from features.support import gatewaybed
from features.support import relayworld

# Marks requests of callers that state harmless parts and crash engines.
HIDDEN_CAUSE_HEADER = "X-Hidden-Cause"
PARTS_HEADER = names_lib.HeaderNames().prompt_parts
# The requirement: all connected processes know of the fifth crash within
# `crashworld.CONTACT_S`, and after that send at most so many requests.
CRASHES_BEFORE = 5
ALLOWED_SENDS = 3
# From this long after the fifth crash, proper requests are served at least
# `MIN_SERVED_SHARE` as often as before.
PROPER_DELAY_S = 2 * crashworld.CONTACT_S
MIN_SERVED_SHARE = 0.5
MIN_PROPER_COUNT = 20
WORKSPACES = ("acme", "other", "third", "fourth", "evil")
# Time from the first event of a proper answer to its end.
EVENTS_S = 0.6


class CrashMode(enum.Enum):
    """What callers see of an answer whose engine crashes."""

    SILENT = "before it answers"
    RESET = "inside an event"
    CLOSED = "after an event, by closing the connection"


@attrs.frozen(kw_only=True)
class Caller:
    """A caller's kind of request.

    Attributes:
        workspace: Workspace of its key.
        parts: Shared parts of its prompts; a tuple of alternatives may stand
            for a part, one of which is chosen for each request.
        kind: Route that it uses.
        every_s: Interval between its requests.
        body: Content of all its requests, None for one of its own each.
        attempts: Times that it sends a request that fails.
        is_poison: Whether its requests crash engines whatever their parts.
    """

    workspace: str
    parts: tuple[str | tuple[str, ...], ...]
    kind: str = "stream"
    every_s: float = 0.2
    body: bytes | None = None
    attempts: int = 2
    is_poison: bool = False

    def all_parts(self) -> list[str]:
        """Return all parts that a request may have."""
        return [
            name
            for part in self.parts
            for name in ([part] if isinstance(part, str) else part)
        ]


class PartPool(crashworld.WorldPool):
    """Delivers requests to engines that stream their answers."""

    async def call(self, request, sink, reuse, may_send, observer=None):
        """Deliver a request to the engine that listens on the address."""
        await asyncio.sleep(relayworld.ONE_WAY_DELAY_S)
        world = self.world
        engine = world.engines[self.address]
        if observer is not None:
            observer.on_ended(crashworld.connect_failure(engine))
        if not engine.up:
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
        causes = world.causes(request)
        for cause in causes:
            world.sends[cause].append(world.now)
        call = world.loop.create_future()
        engine.calls[call] = None
        running = asyncio.ensure_future(
            self.crash(engine, sink, headers, causes)
            if causes and not world.fixed
            else self.answer(sink, headers)
        )
        try:
            await asyncio.wait(
                [running, call], return_when=asyncio.FIRST_COMPLETED
            )
            return running.result() if running.done() else call.result()
        finally:
            running.cancel()
            engine.calls.pop(call, None)

    async def answer(self, sink, headers) -> upstream.CallEnd:
        """Answer with one event, and end some time later."""
        await asyncio.sleep(crashworld.SERVE_S)
        sink.on_head(200, "OK", headers)
        sink.on_data(gatewaybed.event(1))
        await asyncio.sleep(EVENTS_S)
        sink.on_data(gatewaybed.event(2))
        return upstream.CallEnd.COMPLETE

    async def crash(self, engine, sink, headers, causes) -> upstream.CallEnd:
        """Begin an answer and crash the engine."""
        world = self.world
        await asyncio.sleep(crashworld.CRASH_AFTER_S)
        if world.mode is not CrashMode.SILENT:
            sink.on_head(200, "OK", headers)
            event = gatewaybed.event(1)
            is_closed = world.mode is CrashMode.CLOSED
            sink.on_data(event if is_closed else event[:-1])
        if engine.up:
            for cause in causes:
                world.crashes[cause].append(world.now)
            world.crash(engine)
        if world.mode is CrashMode.CLOSED:
            return upstream.CallEnd.COMPLETE
        return upstream.CallEnd.LOST


class PartWorld(crashworld.CrashWorld):
    """A fleet whose engines crash under parts of prompts, or whole contents.

    Attributes:
        poison_parts: Parts that crash engines.
        poison_bodies: Contents that crash engines.
        mode: What callers see of a crash.
        sends: Times at which requests reached engines, by cause of crashes.
        crashes: Times of crashes by cause.
        first_tries: Time and success of each first try, by caller.
    """

    def __init__(self, loop, seed: int, engines: int):
        super().__init__(loop, seed, engines)
        self.poison_parts: set[str] = set()
        self.poison_bodies: set[bytes] = set()
        self.mode = CrashMode.RESET
        self.sends: dict = collections.defaultdict(list)
        self.crashes: dict = collections.defaultdict(list)
        self.first_tries: dict = collections.defaultdict(list)

    def config(self, version: int) -> routes.RouteConfig:
        """Return the routes of a version, with a key of each workspace."""
        return gatewaybed.config(
            version, holders=crashworld.holders(*WORKSPACES)
        )

    def pool(self, address: str):
        """Return the simulated pool of an engine's or gateway's address."""
        pool = super().pool(address)
        if isinstance(pool, crashworld.PeerPool):
            return pool
        return PartPool(self, address)

    def causes(self, request) -> list:
        """Return what crashes an engine that runs a request."""
        text = request.headers.get(PARTS_HEADER, "")
        ids = [entry.partition(":")[0] for entry in text.split(",")][:-1]
        found = [part for part in ids if part in self.poison_parts]
        if HIDDEN_CAUSE_HEADER in request.headers:
            found.append(HIDDEN_CAUSE_HEADER)
        if request.body in self.poison_bodies:
            found.append(request.body)
        return found

    async def send(self, caller: Caller) -> None:
        """Send a request of a caller, again if it fails."""
        number = next(self.ids)
        body = caller.body or b"body %d" % number
        chosen = [
            part if isinstance(part, str) else self.rng.choice(part)
            for part in caller.parts
        ]
        if chosen or caller.body is None:
            chosen.append(f"{number:08x}")
        # The count of tokens is no part of the identity.
        text = ",".join(f"{part}:{800 + number % 7}" for part in chosen)
        sent_at = self.now
        for attempt in range(caller.attempts):
            answer = await self.ask_with_parts(caller, body, text)
            if not attempt:
                is_whole = answer.status == 200 and b"id: 2" in answer.body
                self.first_tries[caller].append((sent_at, is_whole))
            if answer.status == 200:
                return
            delay_s = float(answer.headers.get("Retry-After", 0.0))
            if delay_s > 1.0:
                return
            await asyncio.sleep(max(0.05, delay_s))

    async def ask_with_parts(
        self, caller: Caller, body: bytes, text: str, gateway=None
    ) -> crashworld.CallerConnection:
        """Send one attempt to a given or random gateway."""
        gateway = gateway or self.rng.choice(list(self.gateways.values()))
        request = admission.CallerRequest(
            httputil.RequestStartLine("POST", f"/{caller.kind}/x", "HTTP/1.1"),
            httputil.HTTPHeaders(
                {
                    "Host": gatewaybed.HOST,
                    "X-Request-Id": f"r-{next(self.ids)}",
                    "X-Deadline-Ms": "5000",
                    "X-Api-Key": crashworld.key_of(caller.workspace),
                    PARTS_HEADER: text,
                }
                | ({HIDDEN_CAUSE_HEADER: "1"} if caller.is_poison else {})
            ),
            body,
            self.now,
        )
        return await self.serve(gateway, request)

    async def repeat(self, caller: Caller) -> None:
        """Send requests of a caller periodically."""
        while True:
            self.spawn(self.send(caller))
            await asyncio.sleep(caller.every_s * self.rng.uniform(0.5, 1.5))

    # --- checks ----------------------------------------------------------

    def fifth_crash_at(self, cause) -> float | None:
        """Return the time of the fifth crash by a cause, None before it."""
        crashed = sorted(self.crashes[cause])
        if len(crashed) < CRASHES_BEFORE:
            return None
        return crashed[CRASHES_BEFORE - 1]

    def late_sends(self, cause) -> list[float]:
        """Return the sends that the requirement limits."""
        fifth_at = self.fifth_crash_at(cause)
        if fifth_at is None:
            return []
        known_at = fifth_at + crashworld.CONTACT_S
        return [at for at in self.sends[cause] if at > known_at]

    def check_sends(self) -> None:
        """Check that no part reaches engines more often than allowed."""
        assert any(self.crashes.values()), "no engine crashed"
        for cause in list(self.sends):
            late = self.late_sends(cause)
            assert len(late) <= ALLOWED_SENDS, (
                f"{cause!r} reached engines {len(late)} times after its fifth"
                f" crash was known; {len(self.crashes[cause])} crashes"
            )

    def served_share(
        self, caller: Caller, start: float, end: float = float("inf")
    ) -> float | None:
        """Return the share of first tries served, None if there are few."""
        served = [
            whole for at, whole in self.first_tries[caller] if start <= at < end
        ]
        if len(served) < MIN_PROPER_COUNT:
            return None
        return sum(served) / len(served)

    def check_served(self, callers: Iterable[Caller]) -> None:
        """Check that proper callers are served after the fifth crash."""
        crashed = sorted(at for times in self.crashes.values() for at in times)
        known = [self.fifth_crash_at(cause) or 0.0 for cause in self.crashes]
        start = max([crashed[-1] if not any(known) else 0.0, *known])
        for caller in callers:
            before = self.served_share(caller, 0.0, crashed[0] - EVENTS_S)
            after = self.served_share(caller, start + PROPER_DELAY_S)
            if before is None or after is None:
                continue
            assert after >= MIN_SERVED_SHARE * before, (
                f"{caller} is served {after:.2f} of its first tries,"
                f" {before:.2f} before the crashes"
            )


@contextlib.contextmanager
def fleet(gateways: int = 9, engines: int = 16, seed: int = 1):
    """Yield a world with a running fleet, and a function to run coroutines."""
    with (
        mock.patch.object(crashworld, "CrashWorld", PartWorld),
        crashworld.fleet(gateways, engines, seed) as (world, run),
    ):
        yield world, run
