"""Ranks requests in the queue of an engine whose batch is full.

In a burst of more short requests than batch slots, first-in first-out order
makes all of them late. Requests that can still meet their target are served
first; those that cannot are late in any case and lose little by waiting longer.
"""

from _coltsfootroad.core import routes

# Latency targets in seconds, and the ranks of requests with at most that target
# that can still meet it. Short targets go first: the wait for one more request
# is a small part of a long target.
RANKS = ((0.5, 1), (2.0, 2))
LONG_TARGET_RANK = 3
# After all requests that can meet their target, but before unranked requests.
LATE_RANK = 4


def engine_rank(
    route: routes.Route, waited_s: float, predicted_s: float
) -> int:
    """Return the rank of a request; engines serve lower ranks first."""
    if waited_s + predicted_s > route.target_s:
        return LATE_RANK
    for max_target_s, rank in RANKS:
        if route.target_s <= max_target_s:
            return rank
    return LONG_TARGET_RANK
