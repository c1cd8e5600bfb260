"""Endpoints of a soak: they note what runs and misbehave when told to."""

import asyncio
from collections.abc import Callable
import random
import time

import attrs

from _coltsfootroad.control import messages
from _coltsfootroad.control import outcomes
from _coltsfootroad.core import registry
from features.soak import audit
from features.soak import proxy as proxy_lib
from features.support import gatewaybed

SERVICE = "shop"
ANNOUNCE_EVERY_S = 0.6
ANNOUNCE_TIMEOUT_S = 1.0
MISBEHAVING_SHARE = 0.4
WORK_S = (0.002, 0.06)
MS = 1000
EVENT_GAP_S = 0.03
# A request with such a body ends the endpoint that runs it, after a moment.
POISON = b"poison"
POISON_RUNS_S = 0.03
POISONED_S = 1.0
NOT_RUN = ("reject",)
STREAM_WAYS = ("fail", "reject", "reset", "stall", "die_in_event")
PLAIN_WAYS = (
    "fail",
    "reject",
    "reset",
    "truncate",
    "misattribute",
    "unsigned",
    "twice",
)


class SoakEndpoint(gatewaybed.ScriptedEndpoint):
    """Answers with what names the request and the endpoint."""

    def __init__(
        self, name: str, start: str, book: audit.Book, rng: random.Random
    ):
        super().__init__(name, [])
        # The name may be that of an earlier start; this one's mark is not.
        self.start_mark = start
        self.book = book
        self.rng = rng
        self.way = ""
        # Share of requests that it rejects as it is full.
        self.shed_share = 0.0
        self.disturbed_until = 0.0
        self.writers: set[asyncio.StreamWriter] = set()
        # Called when a poison request runs here.
        self.on_poison = lambda: None

    async def serve(self, reader, writer):
        """Serve a connection and know of it."""
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def serve_one(self, reader, writer):
        """Run one request, unless it is meant for another endpoint."""
        seen = await self.read_request(reader)
        request = seen.headers.get("x-request-id", "")
        if request:
            self.book.arrivals.append((request, time.monotonic()))
        if seen.headers.get("x-expected-endpoint", self.name) != self.name:
            writer.write(
                self.head(
                    seen.headers,
                    "Content-Length: 0",
                    "X-Not-Run: 1",
                    status="421 Other",
                )
            )
            return True
        if seen.body.startswith(POISON):
            self.book.poisoned[seen.body].append(time.monotonic())
            await asyncio.sleep(POISON_RUNS_S)
            self.on_poison()
            return False
        streams = "/stream/" in seen.line
        way = self.draw_way(STREAM_WAYS if streams else PLAIN_WAYS)
        if way not in NOT_RUN:
            self.note(seen, sound=not way)
        await self.pause(seen.headers, self.rng.uniform(*WORK_S))
        act = getattr(
            self, "do_" + (way or ("stream" if streams else "answer"))
        )
        return await act(seen.headers, reader, writer)

    def draw_way(self, possible: tuple[str, ...]) -> str:
        """Return how to misbehave this time, empty for not at all."""
        if self.rng.random() < self.shed_share:
            return "reject"
        if not self.way or self.rng.random() > MISBEHAVING_SHARE:
            return ""
        return self.way if self.way in possible else "reset"

    def note(self, seen: gatewaybed.Seen, sound: bool) -> None:
        """Note that a request began to run."""
        now = time.monotonic()
        self.book.runs.append(
            audit.Run(
                request=seen.headers.get("x-request-id", ""),
                endpoint=self.start_mark,
                at=now,
                sound=sound and now > self.disturbed_until,
            )
        )

    async def pause(self, headers, seconds: float) -> None:
        """Wait, and note if that takes longer than it should."""
        due = time.monotonic() + seconds
        await asyncio.sleep(seconds)
        self.book.lateness.note(headers.get("x-request-id", ""), due)

    def body(self, headers):
        """Return an answer that belongs to one request alone."""
        request = headers.get("x-request-id", "")
        return audit.answer_body(request, self.start_mark)

    def event(self, headers, number):
        """Return an event that belongs to one request alone."""
        return audit.event(headers.get("x-request-id", ""), number)

    async def do_stream(self, headers, _, writer):
        """Send the events one by one."""
        first = int(headers.get("last-event-id", 0)) + 1
        writer.write(self.head(headers, "Transfer-Encoding: chunked"))
        for number in range(first, audit.EVENTS + 1):
            gatewaybed.write_chunk(writer, self.event(headers, number))
            await writer.drain()
            await self.pause(headers, EVENT_GAP_S)
        writer.write(b"0\r\n\r\n")
        return True

    def break_off(self) -> None:
        """Crash: end all connections and listen no more."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


@attrs.define(eq=False)
class Place:
    """An address at which one endpoint after another lives."""

    number: int
    book: audit.Book
    link: object
    rng: random.Random
    proxy: proxy_lib.Proxy | None = None
    endpoint: SoakEndpoint | None = None
    generation: int = 0
    seq: int = 0
    incarnation: int = registry.NO_INCARNATION
    state: registry.EndpointState = registry.EndpointState.SERVING
    announcer: asyncio.Task | None = None
    poisoned: asyncio.Task | None = None
    # Counts what an endpoint ran lately as disturbed.
    unsound: Callable[[str, float], None] = lambda endpoint, seconds: None

    @property
    def keeps_name(self) -> bool:
        """Return whether each start here has the name of the one before."""
        return self.number % 2 == 0

    async def begin(self) -> None:
        """Start an endpoint at the same address, under a new name or not.

        One that keeps its name states when it started and counts anew.
        """
        before = self.announcement() if self.endpoint else None
        self.generation += 1
        mark = f"e{self.number}-{self.generation}"
        name = mark
        if self.keeps_name:
            name = f"e{self.number}"
            self.seq = 0
            self.incarnation = int(time.time() * MS)
        endpoint = SoakEndpoint(name, mark, self.book, self.rng)
        endpoint.on_poison = self.end_by_poison
        # A fault that comes meanwhile meets the endpoint before this one.
        await endpoint.start()
        self.endpoint = endpoint
        host, port = self.endpoint.address.rsplit(":", 1)
        target = (host, int(port))
        if self.proxy is None:
            self.proxy = proxy_lib.Proxy(target)
            await self.proxy.start()
        self.proxy.target = target
        self.state = registry.EndpointState.SERVING
        self.announcer = asyncio.ensure_future(self.announce_on())
        if before is not None:
            # A heartbeat of the one before that was late on its way.
            await self.tell(before)

    def announcement(self) -> registry.Announcement:
        """Return what the endpoint says of itself next."""
        self.seq += 1
        return registry.Announcement(
            endpoint=self.endpoint.name,
            incarnation=self.incarnation,
            seq=self.seq,
            service=SERVICE,
            address=self.proxy.address,
            state=self.state,
        )

    async def tell(self, announcement: registry.Announcement) -> bool:
        """Announce once; return whether it was acknowledged."""
        message = messages.Announce(announcement=announcement)
        answer = await self.link.call(message, ANNOUNCE_TIMEOUT_S)
        return answer.is_ok() and isinstance(answer.ok, outcomes.Done)

    async def announce_on(self) -> None:
        """Announce until cancelled."""
        while True:
            await self.tell(self.announcement())
            await asyncio.sleep(ANNOUNCE_EVERY_S)

    async def leave(self) -> None:
        """Announce leaving, serve on for the agreed time, sign off, end."""
        self.announcer.cancel()
        self.state = registry.EndpointState.LEAVING
        endpoint = self.endpoint
        for _ in range(5):
            if await self.tell(self.announcement()):
                self.book.left[endpoint.start_mark] = time.monotonic()
                break
        await asyncio.sleep(audit.DRAIN_S + audit.SLACK_S)
        await self.tell(registry.sign_off_announcement(endpoint.name))
        endpoint.server.close()

    async def crash(self, down_s: float) -> None:
        """End without a word; another one takes the address later."""
        self.announcer.cancel()
        self.endpoint.break_off()
        await asyncio.sleep(down_s)

    def end_by_poison(self) -> None:
        """End as a process does that crashes; another one starts later."""
        if self.poisoned is None or self.poisoned.done():
            self.poisoned = asyncio.ensure_future(self.restart_poisoned())

    async def restart_poisoned(self) -> None:
        """End with the address closed, and start there again."""
        self.unsound(self.endpoint.start_mark, POISONED_S + WORK_S[1])
        self.announcer.cancel()
        self.endpoint.break_off()
        await self.proxy.close()
        await asyncio.sleep(POISONED_S)
        await self.proxy.start()
        await self.begin()

    async def close(self) -> None:
        """End everything."""
        self.announcer.cancel()
        self.endpoint.break_off()
        await self.proxy.close()
