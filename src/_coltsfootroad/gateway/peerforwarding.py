"""Forwards requests between gateways while a service is not reached.

A request goes to the other gateway's listener for callers, with the caller's
own key, so that path needs no trust of its own. A header marks it as forwarded;
such a request is never forwarded again. A caller that sets the header itself
only gives up being forwarded.
"""

import contextlib

import attrs
import msgspec

from _coltsfootroad.core import addresses
from _coltsfootroad.core import errors
from _coltsfootroad.core import sends as sends_lib
from _coltsfootroad.gateway import forwarding
from _coltsfootroad.gateway import responses
from _coltsfootroad.gateway import upstream
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import logs

LOG = logs.logger("request")
# Gateways that one request is forwarded to, one after the other.
MAX_GATEWAYS = 3
# Refusals of a gateway that sent nothing to an endpoint; another gateway may be
# able to serve the request.
NOTHING_SENT = (
    errors.ErrorCode.ENTRY_FENCED.value,
    errors.ErrorCode.ENTRY_DRAINING.value,
    errors.ErrorCode.UNAVAILABLE.value,
    errors.ErrorCode.ENDPOINTS_UNREACHABLE.value,
    errors.ErrorCode.ENDPOINTS_COLD.value,
)


class WireFailure(msgspec.Struct):
    """The part of a failure body that decides about another send."""

    code: str


class WireFailureBody(msgspec.Struct):
    """The JSON body of a refusal."""

    error: WireFailure


DECODER = msgspec.json.Decoder(WireFailureBody)


@attrs.define(eq=False)
class PeerForwarding:
    """Forwards one exchange's request while its service is not reached.

    Attributes:
        exchange: The exchange; its request must be admitted before use.
        tried: Gateways that the request was sent to.
    """

    exchange: object
    tried: set[str] = attrs.Factory(set)

    @property
    def is_partitioned(self) -> bool:
        """Return whether this gateway does not reach the request's service."""
        exchange = self.exchange
        if exchange.has_only_evacuated():
            # No other gateway may send it to an endpoint either.
            return False
        return exchange.gateway.reach.is_partitioned_from(exchange.service.name)

    def is_unreachable(self) -> bool:
        """Return whether no endpoint can be reached from this gateway.

        Endpoints that were not tried since the path was lost, such as a new
        incarnation, are left to requests that nobody forwarded: the gateway
        that forwards may know another one that reaches the service.
        """
        if not self.is_partitioned:
            return False
        exchange = self.exchange
        untested = exchange.gateway.reach.untested_endpoints(
            exchange.service.name
        )
        return bool(exchange.request.forwarded_by) or not untested

    def allowed_attempts(self) -> int:
        """Return at how many endpoints the request may run."""
        exchange = self.exchange
        attempts = exchange.route.attempts
        if not exchange.request.forwarded_by:
            return attempts
        left = exchange.request.stated_number(
            exchange.names.attempts_left, attempts
        )
        return min(attempts, left)

    def record_received(self) -> None:
        """Count and log a request that another gateway has forwarded."""
        exchange = self.exchange
        exchange.gateway.forwards["received"] += 1
        LOG.info(
            "request from gateway",
            request=exchange.request_id,
            gateway=exchange.request.forwarded_by,
            service=exchange.service.name,
            attempts=exchange.sends.attempts,
            version=exchange.gateway.view.version,
        )

    def choose(self, now: float) -> addresses.Member | None:
        """Return the gateway to forward to, None if the request is not."""
        exchange = self.exchange
        if not self.is_partitioned or exchange.request.forwarded_by:
            return None
        if len(self.tried) >= MAX_GATEWAYS:
            return None
        gateway = exchange.gateway
        service = exchange.service.name
        return gateway.peers.choose(
            (
                member
                for member in gateway.view.rotation.current()
                if not gateway.load.is_partitioned(member.entry, service, now)
            ),
            self.tried,
            now,
        )

    async def forward(self, peer: addresses.Member) -> sends_lib.Outcome:
        """Send the request to another gateway and return the outcome."""
        exchange = self.exchange
        gateway = exchange.gateway
        started_at = clocks.boot_time()
        self.tried.add(peer.entry)
        LOG.info(
            "forwarded",
            request=exchange.request_id,
            service=exchange.service.name,
            gateway=peer.entry,
            send=exchange.sends.count + len(self.tried),
            tokens=exchange.prompt_tokens(),
            version=gateway.view.version,
            partitioned_s=round(
                started_at
                - gateway.reach.partitioned_at(exchange.service.name),
                3,
            ),
        )
        sink = exchange.make_sink()
        gateway.forwards["sent"] += 1
        gateway.peers.in_flight[peer.entry] += 1
        try:
            end = await gateway.pool(peer.address).call(
                forwarding.forwarded_request(exchange, started_at),
                sink,
                exchange.route.idempotent,
                exchange.budget.charge,
            )
        finally:
            gateway.peers.in_flight[peer.entry] -= 1
        outcome = self.classify_outcome(end, sink)
        LOG.info(
            "forward ended",
            request=exchange.request_id,
            gateway=peer.entry,
            outcome=outcome.value,
            end=end.value,
            status=sink.status,
            took_s=round(clocks.boot_time() - started_at, 3),
            first_event_s=exchange.reply.first_event_s,
        )
        is_faulty = end is upstream.CallEnd.MALFORMED
        if outcome is sends_lib.Outcome.NOT_RUN or is_faulty:
            gateway.peers.back_off(peer.entry, clocks.boot_time())
        elif outcome is sends_lib.Outcome.ANSWERED:
            gateway.forwards["answered"] += 1
            exchange.reply.complete(sink)
        return outcome

    def classify_outcome(
        self, end: upstream.CallEnd, sink: responses.BufferedResponse
    ) -> sends_lib.Outcome:
        """Return the outcome of a forwarded send.

        The other gateway may use all attempts that are left, so nothing is
        sent again after its connection was lost.
        """
        sends = self.exchange.sends
        if end in upstream.NOTHING_SENT:
            return sends_lib.Outcome.NOT_RUN
        is_complete = (
            end is upstream.CallEnd.COMPLETE and sink.is_body_complete()
        )
        if is_complete and sink.genuine:
            if refused_unsent(sink):
                self.exchange.budget.on_not_arrived()
                return sends_lib.Outcome.NOT_RUN
            if sends.runs and sink.status in responses.NOT_RUN_STATUSES:
                # The other gateway knows nothing of the earlier sends, one of
                # which may have run, so its refusal must not be forwarded.
                return sends_lib.Outcome.NOT_RUN
            return sends_lib.Outcome.ANSWERED
        sends.runs = max(sends.runs + 1, sends.attempts)
        return sends_lib.Outcome.LOST


def refused_unsent(sink: responses.BufferedResponse) -> bool:
    """Return whether a gateway refused a request before any send."""
    is_endpoints = sink.names.signature in sink.headers
    if is_endpoints or sink.status not in responses.NOT_RUN_STATUSES:
        return False
    with contextlib.suppress(msgspec.MsgspecError):
        code = DECODER.decode(sink.body).error.code
        return code in NOTHING_SENT
    return False
