"""Keeps the sends of one request to cold endpoints within their limit."""

import asyncio

import attrs

from _coltsfootroad.core import addresses
from _coltsfootroad.core import coldlimit
from _coltsfootroad.core import endpointset
from _coltsfootroad.core import sends as sends_lib
from _coltsfootroad.gateway import engines
from _coltsfootroad.gateway import peerforwarding
from _coltsfootroad.gateway import responses
from _coltsfootroad.gateway import upstream
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import logs

LOG = logs.logger("request")
# Longest wait for an own part of the limit. A longer one makes the response
# late, and a caller of a stream disconnects after 2 s without an event.
MAX_WAIT_S = 0.5
# Added to the time at which a part is free, as timers may fire early.
WAKE_MARGIN_S = 0.002
# Blocked endpoints whose senders are considered for forwarding.
MAX_FORWARD_ENDPOINTS = 8
# Part of a caller's remaining time that a stated delay may take.
MAX_RETRY_AFTER_FRACTION = 1 / 3


class ColdHeaderSink(upstream.ResponseSink):
    """Reads the cold header of a genuine response and passes it on."""

    def __init__(self, sink: responses.BufferedResponse, known, cold_endpoints):
        self.sink = sink
        self.known = known
        self.cold_endpoints = cold_endpoints

    def on_head(self, status, reason, headers):
        """Apply the header, then pass the head on."""
        is_accepted = self.sink.on_head(status, reason, headers)
        if self.sink.genuine and status != responses.MISDIRECTED:
            self.cold_endpoints.learn_from_response(
                self.known,
                headers.get(self.sink.names.cold_ms, ""),
                clocks.boot_time(),
            )
        return is_accepted

    def on_data(self, data):
        """Pass a chunk on."""
        return self.sink.on_data(data)

    def body_limit(self):
        """Return the limit of the sink."""
        return self.sink.body_limit()

    @property
    def fault(self):
        """Return why the response was abandoned."""
        return self.sink.fault

    @fault.setter
    def fault(self, fault):
        self.sink.fault = fault


@attrs.define(eq=False)
class ColdAdmission:
    """Applies the limit of cold endpoints to one exchange.

    Attributes:
        exchange: The exchange; its request must be admitted before use.
        held: Windows in which the current send is pending.
        blocked: Cold endpoints that kept the last choice from succeeding.
    """

    exchange: object
    held: tuple[coldlimit.SendWindow, ...] = ()
    blocked: list[endpointset.KnownEndpoint] = attrs.Factory(list)

    @property
    def cold(self):
        """Return the gateway's cold endpoints."""
        return self.exchange.gateway.cold

    @property
    def is_limited(self) -> bool:
        """Return whether the service limits requests to cold endpoints."""
        return self.exchange.service.cold_per_s > 0

    # --- one send -----------------------------------------------------------

    def hold(self, choice: engines.Choice) -> None:
        """Reserve room for a send until it is made or given up."""
        if self.is_limited:
            self.held = tuple(
                self.cold.limit.window(known.incarnation_key)
                for known in (choice.endpoint, *choice.helpers)
            )
            for window in self.held:
                window.pending += 1

    def release(self) -> None:
        """End the reservation of the current send."""
        held, self.held = self.held, ()
        for window in held:
            window.pending -= 1

    def may_send(self, choice: engines.Choice) -> bool:
        """Return whether a send may start now, and charge it if so."""
        exchange = self.exchange
        if not self.is_limited:
            return exchange.budget.charge()
        self.release()
        now = clocks.boot_time()
        chosen = (choice.endpoint, *choice.helpers)
        for known in chosen:
            if not self.cold.may_send(known, now):
                self.on_not_allowed(known, now)
                return False
        if not exchange.budget.charge():
            return False
        for known in chosen:
            is_helper = known is not choice.endpoint
            self.cold.record(known, exchange.service.name, now, is_helper)
            if known.cold_slowdown:
                self.log("cold endpoint used", self.cold.inputs(known, now))
        return True

    def on_not_allowed(
        self, known: endpointset.KnownEndpoint, now: float
    ) -> None:
        """Record that a send is given up; it counts for no limit of sends."""
        exchange = self.exchange
        exchange.sends.count -= 1
        self.cold.counts["not_allowed"][exchange.service.name] += 1
        self.log(
            "cold endpoint not used",
            {
                **self.cold.inputs(known, now),
                "is_current": exchange.gateway.endpoints.is_current(known),
                "proof_age_s": round(now - self.cold.limit.proved_at, 3),
            },
        )

    async def call(
        self,
        choice: engines.Choice,
        pool: upstream.EndpointPool,
        request: upstream.UpstreamRequest,
        sink: responses.BufferedResponse,
        observer: upstream.ConnectObserver,
    ) -> upstream.CallEnd:
        """Send to the chosen endpoint and read its response."""
        return await pool.call(
            request,
            ColdHeaderSink(sink, choice.endpoint, self.cold)
            if self.is_limited
            else sink,
            self.exchange.route.idempotent,
            self.exchange.gateway.evacuation.send_check(self.exchange, choice),
            observer,
        )

    # --- no endpoint is usable ----------------------------------------------

    def is_blocked(self, now: float) -> bool:
        """Return whether only the limit of cold endpoints prevents a send."""
        exchange = self.exchange
        self.blocked = exchange.gateway.chooser.blocked_endpoints(
            exchange.service, now
        )
        return bool(self.blocked)

    async def go_on(self, now: float) -> sends_lib.Outcome | None:
        """Wait, forward or refuse; return the outcome, None if refused."""
        exchange = self.exchange
        service = exchange.service.name
        wait_s = self.own_wait_s(now)
        left_s = exchange.deadline - now
        if wait_s <= min(MAX_WAIT_S, left_s - exchange.least_response_s()):
            await self.wait(wait_s, now)
            return sends_lib.Outcome.NOT_RUN
        peer = self.choose_sender(now)
        if peer is not None:
            self.cold.counts["forwarded"][service] += 1
            self.log_blocked("forwarded for cold endpoints", wait_s, now)
            return await exchange.forwarding.forward(peer)
        self.cold.counts["refused"][service] += 1
        self.log_blocked("cold endpoints at limit", wait_s, now)
        retry_after_s = min(
            wait_s, min(self.cold.remaining_s(k, now) for k in self.blocked)
        )
        exchange.final_failure.send_cold(
            min(retry_after_s, MAX_RETRY_AFTER_FRACTION * max(0.0, left_s))
        )
        return None

    def own_wait_s(self, now: float) -> float:
        """Return the seconds until a part of the limit is free for this one.

        Requests that wait already come first.
        """
        free_at = sorted(
            time
            for known in self.blocked
            for time in self.cold.limit.free_at(
                known.incarnation_key, self.cold.limit_of(known), now
            )
        )
        ahead = self.cold.waiting[self.exchange.service.name]
        if ahead < len(free_at):
            return free_at[ahead] - now + WAKE_MARGIN_S
        return coldlimit.PERIOD_S + coldlimit.TRANSIT_S

    async def wait(self, wait_s: float, now: float) -> None:
        """Wait for a part of the limit."""
        service = self.exchange.service.name
        self.cold.counts["waited"][service] += 1
        self.log_blocked("waits for cold endpoint", wait_s, now)
        self.cold.waiting[service] += 1
        try:
            await asyncio.sleep(max(WAKE_MARGIN_S, wait_s))
        finally:
            self.cold.waiting[service] -= 1

    def choose_sender(self, now: float) -> addresses.Member | None:
        """Return a gateway with a part of the limit, None if none is left."""
        exchange = self.exchange
        gateway, tried = exchange.gateway, exchange.forwarding.tried
        is_forwarded = bool(exchange.request.forwarded_by)
        if is_forwarded or len(tried) >= peerforwarding.MAX_GATEWAYS:
            return None
        members = {m.entry: m for m in gateway.view.rotation.current()}
        names = {
            name
            for known in self.blocked[:MAX_FORWARD_ENDPOINTS]
            for name in coldlimit.senders(known.incarnation_key, list(members))
        }
        backed_off_until = gateway.peers.backed_off_until
        return gateway.peers.choose(
            (
                members[name]
                for name in sorted(names - tried)
                if backed_off_until.get(name, now) <= now
                and not gateway.load.is_partitioned(
                    name, exchange.service.name, now
                )
            ),
            tried,
            now,
        )

    def log_blocked(self, event: str, wait_s: float, now: float) -> None:
        """Log a decision on a request that no endpoint may get now."""
        self.log(
            event,
            {
                "wait_s": round(wait_s, 3),
                "waiting": self.cold.waiting[self.exchange.service.name],
                "cold": len(self.blocked),
                "first": self.cold.inputs(self.blocked[0], now),
            },
        )

    def log(self, event: str, inputs: dict[str, object]) -> None:
        """Log a decision with its inputs."""
        LOG.info(
            event,
            request=self.exchange.request_id,
            service=self.exchange.service.name,
            **inputs,
        )
