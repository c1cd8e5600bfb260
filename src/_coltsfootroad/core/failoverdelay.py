"""How long to wait for a silent endpoint before another one is tried.

The pattern it answers: an endpoint goes dark in the middle of its work, and
neither a reset nor an end says so. Callers leave after a pause of a few
times their aim, so half of that is spent on the first endpoint and the rest
is left for the second, which reads the prompt again.
"""

from _coltsfootroad.core import routes

# Callers of a stream leave after a pause of the longest of these.
MIN_CALLER_TIMEOUT_S = 2.0
CALLER_TIMEOUT_TARGETS = 4.0
CALLER_TIMEOUT_GAPS = 8.0
# Part of that time, or of a call's timeout, given to the first endpoint.
FIRST_ENDPOINT_SHARE = 0.5
# A prediction may err by this factor before the endpoint counts as silent.
# Under overload every answer is slow; turning away from slow endpoints then
# sends the same work once more to engines that are as busy.
PREDICTION_ERROR_FACTOR = 3.0


def caller_timeout_s(route: routes.Route) -> float:
    """Return the longest pause that a stream's caller bears."""
    return max(
        MIN_CALLER_TIMEOUT_S,
        CALLER_TIMEOUT_TARGETS * route.target_s,
        CALLER_TIMEOUT_GAPS * route.gap_target_s,
    )


def failover_after_s(route: routes.Route, expected_s: float) -> float:
    """Return after how much silence to turn to another endpoint.

    `expected_s` is the predicted time to the next sign of life.
    """
    if route.kind is not routes.RequestKind.STREAM:
        return FIRST_ENDPOINT_SHARE * route.timeout_s
    first_s = FIRST_ENDPOINT_SHARE * caller_timeout_s(route)
    return max(first_s, PREDICTION_ERROR_FACTOR * expected_s)
