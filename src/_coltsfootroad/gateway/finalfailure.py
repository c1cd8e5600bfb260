"""Sends the final response of a request that no endpoint serves."""

import attrs

from _coltsfootroad.core import errors
from _coltsfootroad.core import fairadmission
from _coltsfootroad.gateway import admission
from _coltsfootroad.gateway import engines
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import logs

LOG = logs.logger("request")
# Stated when no endpoint is reachable: a restarted endpoint announces itself
# within a second, and callers retry only once.
NO_ENDPOINT_RETRY_AFTER_S = 0.2
# Stated when this gateway reaches no endpoint and knows no gateway that does; a
# lost path is probed this often.
UNREACHABLE_RETRY_AFTER_S = 0.5
# Callers retry after at most this share of their remaining time.
UNMEETABLE_RETRY_SHARE = 1 / 3


@attrs.define(eq=False)
class FinalFailure:
    """Refuses or fails one exchange, as "not run" only if that is proven.

    Attributes:
        exchange: The exchange; its request must be admitted before use.
    """

    exchange: object

    def refuse(self, failure: errors.Failure) -> None:
        """Respond with a failure that the gateway itself reports."""
        exchange = self.exchange
        exchange.reply.refuse(failure, exchange.route.name)

    def send(self, reason: str) -> None:
        """Respond after the last send, or without one if none is possible."""
        exchange = self.exchange
        if exchange.reply.streaming:
            exchange.reply.abort_stream(reason)
        elif exchange.error_response is not None:
            LOG.info(
                "endpoint's error response forwarded",
                request=exchange.request_id,
                status=exchange.error_response.status,
                reason=reason,
            )
            exchange.reply.complete(exchange.error_response)
        elif exchange.sends.runs:
            self.refuse(
                errors.Failure(
                    errors.ErrorCode.ENDPOINT_FAILED,
                    reason,
                    errors.Ran.UNKNOWN,
                )
            )
        else:
            self.refuse(
                admission.refusal(
                    errors.ErrorCode.NO_ENDPOINT,
                    reason,
                    NO_ENDPOINT_RETRY_AFTER_S,
                )
            )

    def send_unreachable(self) -> None:
        """Refuse a request whose service no known gateway reaches."""
        exchange = self.exchange
        if exchange.reply.streaming or exchange.budget.arrivals:
            self.send("no endpoint of the service is reached")
            return
        self.refuse(
            admission.refusal(
                errors.ErrorCode.ENDPOINTS_UNREACHABLE,
                f"no endpoint of {exchange.service.name!r} is reached",
                UNREACHABLE_RETRY_AFTER_S,
            )
        )

    def send_evacuated(self) -> None:
        """Refuse a request that only evacuated zones could serve."""
        exchange = self.exchange
        service = exchange.service.name
        reason = (
            f"all endpoints of {service!r} lie in evacuated zones:"
            f" {sorted(exchange.gateway.endpoints.evacuated_zones)}"
        )
        has_output = exchange.reply.streaming or exchange.error_response
        if has_output or exchange.sends.runs:
            self.send(reason)
            return
        remaining_s = exchange.deadline - clocks.boot_time()
        self.refuse(
            admission.refusal(
                errors.ErrorCode.ZONES_EVACUATED,
                reason,
                exchange.gateway.evacuation.retry_after_s(remaining_s),
            )
        )

    def send_cold(self, retry_after_s: float) -> None:
        """Refuse a request whose service has only cold endpoints at a limit."""
        exchange = self.exchange
        if exchange.reply.streaming or exchange.budget.arrivals:
            self.send("all endpoints of the service are cold and at a limit")
            return
        self.refuse(
            admission.refusal(
                errors.ErrorCode.ENDPOINTS_COLD,
                f"all endpoints of {exchange.service.name!r} are cold and get"
                " as many requests as they can handle",
                retry_after_s,
            )
        )

    def shed(self, choice: engines.Choice, retry_after_s: float) -> None:
        """Refuse a request that would only lengthen a queue."""
        self.refuse(
            admission.refusal(
                errors.ErrorCode.QUEUE_FULL,
                f"{choice.late_waiting} late requests wait at"
                f" {choice.batch_slots} places, the first event is predicted"
                f" after {choice.predicted_s:.2f} s",
                retry_after_s,
            )
        )

    def refuse_scarce(self, refusal: fairadmission.Refusal) -> None:
        """Refuse a request for which capacity does not suffice."""
        if refusal.reason is fairadmission.Reason.SHARE:
            code = errors.ErrorCode.RATE_LIMITED
            text = (
                f"the workspace used {refusal.used_s:.1f} engine-seconds of"
                f" {refusal.allowed_s:.1f}, and capacity is scarce"
            )
        else:
            code = errors.ErrorCode.DEADLINE_UNREACHABLE
            text = "the first event is predicted after the deadline"
        self.refuse(admission.refusal(code, text, refusal.retry_after_s))

    def refuse_unmeetable(self, choice: engines.Choice, left_s: float) -> None:
        """Refuse a call that no endpoint can answer before its deadline."""
        reason = (
            f"{left_s:.3f} s are left, a call takes {choice.least_s:.3f} s at"
            f" the least with {choice.load} in flight"
        )
        exchange = self.exchange
        if exchange.sends.count:
            self.send(reason)
            return
        retry_after_s = min(choice.least_s, left_s * UNMEETABLE_RETRY_SHARE)
        self.refuse(
            admission.refusal(
                errors.ErrorCode.DEADLINE_UNREACHABLE, reason, retry_after_s
            )
        )

    def on_deadline(self) -> None:
        """Respond to a request whose deadline has passed."""
        exchange = self.exchange
        if exchange.reply.streaming:
            exchange.reply.abort_stream("the time is over")
            return
        if not exchange.sends.count and not exchange.forwarding.tried:
            self.refuse(
                admission.refusal(
                    errors.ErrorCode.UNAVAILABLE, "the time is over"
                )
            )
            return
        self.refuse(
            errors.Failure(
                errors.ErrorCode.DEADLINE_EXCEEDED,
                "the time is over",
                errors.Ran.UNKNOWN,
            )
        )
