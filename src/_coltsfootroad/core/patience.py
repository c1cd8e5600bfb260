"""How long to wait for a silent endpoint before another one is tried.

The pattern it answers: an endpoint goes dark in the middle of its work, and
neither a reset nor an end says so. Callers leave after a pause of a few
times their aim, so half of that is spent on the first endpoint and the rest
is left for the second, which reads the prompt again.
"""

from _coltsfootroad.core import routes

# Callers of a stream leave after a pause of the longest of these.
CALLER_PAUSE_S = 2.0
CALLER_TARGETS = 4.0
CALLER_GAPS = 8.0
# Part of that time, or of a call's timeout, given to the first endpoint.
FIRST_SHARE = 0.5
# A prediction may err by this factor before the endpoint counts as silent.
# Under overload every answer is slow; turning away from slow endpoints then
# sends the same work once more to engines that are as busy.
PREDICTION_FACTOR = 3.0


def caller_patience_s(route: routes.Route) -> float:
    """Return the longest pause that a stream's caller bears."""
    return max(
        CALLER_PAUSE_S,
        CALLER_TARGETS * route.target_s,
        CALLER_GAPS * route.gap_target_s,
    )


def switch_after_s(route: routes.Route, expected_s: float) -> float:
    """Return after how much silence to turn to another endpoint.

    `expected_s` is the predicted time to the next sign of life.
    """
    if route.kind is not routes.RequestKind.STREAM:
        return FIRST_SHARE * route.timeout_s
    first_s = FIRST_SHARE * caller_patience_s(route)
    return max(first_s, PREDICTION_FACTOR * expected_s)
