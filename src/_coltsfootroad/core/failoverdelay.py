"""Computes how long to wait for a silent endpoint before failing over.

An endpoint can stop responding in the middle of a request without closing its
connection. Callers disconnect after a pause of a few times their latency
target. Half of that time is allowed for the first endpoint, and the rest is
left for a second one, which has to prefill the prompt again.
"""

import attrs

from _coltsfootroad.core import routes

# Callers of a stream disconnect after the longest of these pauses: seconds,
# multiples of the target for the first event, multiples of the gap target.
MIN_CALLER_TIMEOUT_S = 2.0
CALLER_TIMEOUT_TARGETS = 4.0
CALLER_TIMEOUT_GAPS = 8.0
# Share of that pause, or of a call's timeout, allowed for the first endpoint.
FIRST_ENDPOINT_SHARE = 0.5
# Factor by which a predicted time may be exceeded before failing over. Under
# overload every endpoint is slow, and failing over then adds the same work to
# an engine that is as busy.
PREDICTION_ERROR_FACTOR = 3.0
NEVER = float("-inf")


def caller_timeout_s(route: routes.Route) -> float:
    """Return the pause in seconds after which a stream's caller disconnects."""
    return max(
        MIN_CALLER_TIMEOUT_S,
        CALLER_TIMEOUT_TARGETS * route.target_s,
        CALLER_TIMEOUT_GAPS * route.gap_target_s,
    )


def failover_after_s(route: routes.Route, expected_s: float) -> float:
    """Return the seconds of silence after which to try another endpoint.

    `expected_s` is the predicted time to the next event.
    """
    if route.kind is not routes.RequestKind.STREAM:
        return FIRST_ENDPOINT_SHARE * route.timeout_s
    first_s = FIRST_ENDPOINT_SHARE * caller_timeout_s(route)
    return max(first_s, PREDICTION_ERROR_FACTOR * expected_s)


@attrs.define
class SilenceLimit:
    """Limits the silence of one send by the prefill known at its endpoint.

    An engine emits no event while it prefills a long part, and its work items
    end with the prefill. The latest predicted end is kept, since a stream that
    waited for a part must not be failed over in the moment in which it ends.

    Attributes:
        route: Route of the request.
        prefill_done_at: Latest predicted end of the endpoint's prefill.
    """

    route: routes.Route
    prefill_done_at: float = NEVER

    def observe_prefill(self, left_s: float, now: float) -> None:
        """Record the predicted remaining prefill of the endpoint."""
        if left_s > 0:
            self.prefill_done_at = max(self.prefill_done_at, now + left_s)

    def allowed_s(self, last_activity_at: float, expected_s: float) -> float:
        """Return the seconds of silence after which to try another endpoint.

        `last_activity_at` is the time of the last event, or of the send.
        """
        prefill_s = max(0.0, self.prefill_done_at - last_activity_at)
        return max(
            failover_after_s(self.route, expected_s),
            prefill_s + failover_after_s(self.route, 0.0),
        )
