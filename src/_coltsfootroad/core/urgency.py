"""The rank of a request at an engine whose batch is full.

The pattern it answers: more short requests than slots for some seconds.
Served in turn, every one of them waits and all are late. Those that can
still be on time go first; the ones that cannot are late anyway, and lose
nothing more by a little more waiting.
"""

from _coltsfootroad.core import routes

# Aims in seconds and the rank of a request that can still meet its own;
# short aims go first, as a place in the queue is a small part of long ones.
RANKS = ((0.5, 1), (2.0, 2))
LONG_TARGET_RANK = 3
# Behind all that can be on time, still before what has no rank at all.
LATE_RANK = 4


def engine_rank(
    route: routes.Route, waited_s: float, predicted_s: float
) -> int:
    """Return the rank, 0 first, of a request that has waited so long."""
    if waited_s + predicted_s > route.target_s:
        return LATE_RANK
    for aim_s, rank in RANKS:
        if route.target_s <= aim_s:
            return rank
    return LONG_TARGET_RANK
