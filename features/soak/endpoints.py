"""Endpoints of a soak that record each run and can be made to misbehave."""

import asyncio
from collections.abc import Callable
import random
import time

import attrs

from _coltsfootroad.control import messages
from _coltsfootroad.control import outcomes
from _coltsfootroad.core import promptparts
from _coltsfootroad.core import registry
from features.soak import audit
from features.soak import plan
from features.soak import proxy as proxy_lib
from features.support import gatewaybed

SERVICE = "shop"
ANNOUNCE_INTERVAL_S = 0.6
ANNOUNCE_TIMEOUT_S = 1.0
MISBEHAVIOUR_PROBABILITY = 0.4
SERVICE_TIME_RANGE_S = (0.002, 0.06)
MS_PER_S = 1000
EVENT_INTERVAL_S = 0.03
# A request whose body starts with this crashes the endpoint that runs it,
# POISON_RUN_S after it begins to run.
POISON = b"poison"
POISON_RUN_S = 0.03
POISON_DOWNTIME_S = 1.0
# Time for the end of a connection to pass the proxy.
CLOSE_TRANSIT_S = 0.002
MODES_NOT_RUN = ("reject",)
STREAM_MODES = ("fail", "reject", "reset", "stall", "die_in_event")
PLAIN_MODES = (
    "fail",
    "reject",
    "reset",
    "truncate",
    "misattribute",
    "unsigned",
    "twice",
)


class SoakEndpoint(gatewaybed.ScriptedEndpoint):
    """Sends responses that name the request and the endpoint incarnation."""

    def __init__(
        self,
        name: str,
        incarnation_id: str,
        observed: audit.Observations,
        rng: random.Random,
    ):
        super().__init__(name, [])
        # The name may be shared with an earlier incarnation; the id is unique.
        self.incarnation_id = incarnation_id
        self.observed = observed
        self.rng = rng
        self.mode = ""
        # Fraction of requests rejected as if the endpoint were full.
        self.shed_fraction = 0.0
        self.zone = ""
        self.disturbed_until = 0.0
        self.writers: set[asyncio.StreamWriter] = set()
        # Connections that were accepted just before a crash are served after it.
        self.has_crashed = False
        # Called when a poison request runs on this endpoint.
        self.on_poison = lambda: None

    async def serve(self, reader, writer):
        """Serve a connection and track its writer."""
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def serve_one(self, reader, writer):
        """Run one request, unless it is addressed to another endpoint."""
        seen = await self.read_request(reader)
        request = seen.headers.get("x-request-id", "")
        if request:
            self.observed.arrivals.append((request, time.monotonic()))
        self.observed.zone_arrivals[self.zone].append(time.monotonic())
        if "x-deadline-ms" in seen.headers:
            left_s = int(seen.headers["x-deadline-ms"]) / MS_PER_S
            self.observed.offers.append(
                audit.Offer(request=request, left_s=left_s)
            )
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
            self.observed.poison_runs[seen.body].append(time.monotonic())
            await asyncio.sleep(POISON_RUN_S)
            self.on_poison()
            return False
        streams = "/stream/" in seen.line
        parts = promptparts.shared_parts(
            seen.headers.get(plan.PARTS_HEADER.lower(), "")
        )
        poison = [p for p in parts if p.startswith(plan.POISON_PART)]
        if poison:
            return await self.crash_in_answer(seen, writer, poison[0])
        mode = self.draw_mode(STREAM_MODES if streams else PLAIN_MODES)
        if mode not in MODES_NOT_RUN:
            self.record_run(seen, undisturbed=not mode)
        await self.pause(seen.headers, self.rng.uniform(*SERVICE_TIME_RANGE_S))
        respond = getattr(
            self, "do_" + (mode or ("stream" if streams else "answer"))
        )
        kept_open = await respond(seen.headers, reader, writer)
        is_open = not self.has_crashed and not writer.is_closing()
        if not mode and is_open:
            self.observed.responses.append(
                audit.Response(request=request, at=time.monotonic())
            )
        return kept_open

    async def crash_in_answer(
        self, seen: gatewaybed.Seen, writer, part: str
    ) -> bool:
        """Begin an answer in one of three ways, then crash."""
        self.observed.part_runs[part].append(time.monotonic())
        await asyncio.sleep(POISON_RUN_S)
        framing = self.rng.choice(("", "Transfer-Encoding: chunked", "close"))
        event = self.event(seen.headers, 1)
        if framing == "close":
            writer.write(self.head(seen.headers, "Connection: close") + event)
        elif framing:
            writer.write(self.head(seen.headers, framing))
            gatewaybed.write_chunk(writer, event[:-1])
        await writer.drain()
        if framing == "close":
            # The connection ends as if the response were whole.
            self.writers.discard(writer)
            writer.close()
            await asyncio.sleep(CLOSE_TRANSIT_S)
        self.on_poison()
        return False

    def draw_mode(self, possible: tuple[str, ...]) -> str:
        """Return how to misbehave for one request; empty for not at all."""
        if self.rng.random() < self.shed_fraction:
            return "reject"
        if not self.mode or self.rng.random() > MISBEHAVIOUR_PROBABILITY:
            return ""
        return self.mode if self.mode in possible else "reset"

    def record_run(self, seen: gatewaybed.Seen, undisturbed: bool) -> None:
        """Record that a request began to run."""
        now = time.monotonic()
        self.observed.runs.append(
            audit.Run(
                request=seen.headers.get("x-request-id", ""),
                endpoint=self.incarnation_id,
                at=now,
                undisturbed=undisturbed and now > self.disturbed_until,
            )
        )

    async def pause(self, headers, seconds: float) -> None:
        """Sleep, and record a delay if the wake-up is late."""
        due_at = time.monotonic() + seconds
        await asyncio.sleep(seconds)
        self.observed.lateness.record_if_late(
            headers.get("x-request-id", ""), due_at
        )

    def body(self, headers):
        """Return a response body that is unique to the request."""
        request = headers.get("x-request-id", "")
        return audit.response_body(request, self.incarnation_id)

    def event(self, headers, number):
        """Return a stream event that is unique to the request."""
        return audit.stream_event(headers.get("x-request-id", ""), number)

    async def do_stream(self, headers, _, writer):
        """Send the stream's events one by one."""
        first = int(headers.get("last-event-id", 0)) + 1
        writer.write(self.head(headers, "Transfer-Encoding: chunked"))
        for number in range(first, audit.STREAM_EVENTS + 1):
            gatewaybed.write_chunk(writer, self.event(headers, number))
            await writer.drain()
            await self.pause(headers, EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")
        return True

    def abort(self) -> None:
        """Crash: abort all connections and stop listening."""
        self.has_crashed = True
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


@attrs.define(eq=False)
class EndpointSlot:
    """An address at which successive endpoint incarnations run."""

    number: int
    observed: audit.Observations
    link: object
    rng: random.Random
    proxy: proxy_lib.Proxy | None = None
    endpoint: SoakEndpoint | None = None
    generation: int = 0
    seq: int = 0
    incarnation: int = registry.NO_INCARNATION
    state: registry.EndpointState = registry.EndpointState.SERVING
    zone: str = ""
    announcer: asyncio.Task | None = None
    poison_restart: asyncio.Task | None = None
    # Marks the recent runs of an endpoint as disturbed.
    mark_runs_disturbed: Callable[[str, float], None] = (
        lambda endpoint, seconds: None
    )

    @property
    def keeps_name(self) -> bool:
        """Return whether all incarnations at this address share one name."""
        return self.number % 2 == 0

    async def start(self) -> None:
        """Start the next endpoint incarnation at this address.

        An endpoint that keeps its name announces a new incarnation number and
        restarts its sequence numbers.
        """
        last_announcement = self.announcement() if self.endpoint else None
        self.generation += 1
        incarnation_id = f"e{self.number}-{self.generation}"
        name = incarnation_id
        if self.keeps_name:
            name = f"e{self.number}"
            self.seq = 0
            self.incarnation = int(time.time() * MS_PER_S)
        endpoint = SoakEndpoint(name, incarnation_id, self.observed, self.rng)
        endpoint.on_poison = self.crash_on_poison
        endpoint.zone = self.zone
        # Until the new endpoint has started, faults affect the previous one.
        await endpoint.start()
        self.endpoint = endpoint
        host, port = self.endpoint.address.rsplit(":", 1)
        target = (host, int(port))
        if self.proxy is None:
            self.proxy = proxy_lib.Proxy(target)
            await self.proxy.start()
        self.proxy.target = target
        self.state = registry.EndpointState.SERVING
        self.announcer = asyncio.ensure_future(self.announce_loop())
        if last_announcement is not None:
            # A delayed announcement of the previous incarnation.
            await self.announce(last_announcement)

    def announcement(self) -> registry.Announcement:
        """Return the endpoint's next announcement."""
        self.seq += 1
        return registry.Announcement(
            endpoint=self.endpoint.name,
            incarnation=self.incarnation,
            seq=self.seq,
            service=SERVICE,
            address=self.proxy.address,
            availability_zone=self.zone,
            state=self.state,
        )

    async def announce(self, announcement: registry.Announcement) -> bool:
        """Send one announcement; return whether it was acknowledged."""
        message = messages.Announce(announcement=announcement)
        answer = await self.link.call(message, ANNOUNCE_TIMEOUT_S)
        return answer.is_ok() and isinstance(answer.ok, outcomes.Done)

    async def announce_loop(self) -> None:
        """Announce the endpoint periodically until cancelled."""
        while True:
            await self.announce(self.announcement())
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def leave(self) -> None:
        """Announce leaving, serve for the drain period, sign off and close."""
        self.announcer.cancel()
        self.state = registry.EndpointState.LEAVING
        endpoint = self.endpoint
        for _ in range(5):
            if await self.announce(self.announcement()):
                self.observed.left_at[endpoint.incarnation_id] = (
                    time.monotonic()
                )
                break
        await asyncio.sleep(audit.DRAIN_PERIOD_S + audit.TIME_TOLERANCE_S)
        await self.announce(registry.sign_off_announcement(endpoint.name))
        endpoint.server.close()

    async def crash(self, down_s: float) -> None:
        """Crash without signing off, and stay down for `down_s`."""
        self.announcer.cancel()
        self.endpoint.abort()
        await asyncio.sleep(down_s)

    def crash_on_poison(self) -> None:
        """Crash because of a poison request and schedule the restart."""
        if self.poison_restart is None or self.poison_restart.done():
            self.poison_restart = asyncio.ensure_future(
                self.restart_after_poison()
            )

    async def restart_after_poison(self) -> None:
        """Crash, refuse connections for POISON_DOWNTIME_S, then restart."""
        self.mark_runs_disturbed(
            self.endpoint.incarnation_id,
            POISON_DOWNTIME_S + SERVICE_TIME_RANGE_S[1],
        )
        self.announcer.cancel()
        self.endpoint.abort()
        await self.proxy.close()
        await asyncio.sleep(POISON_DOWNTIME_S)
        await self.proxy.start()
        await self.start()

    async def close(self) -> None:
        """Stop announcing and close the endpoint and its proxy."""
        self.announcer.cancel()
        self.endpoint.abort()
        await self.proxy.close()
