"""Limits the requests of all gateways to cold endpoints, without messages.

A cold endpoint crashes well above the rate that its service states; a zone of
them may come back at once. For each incarnation, the first `SENDERS` gateways
in rotation by rendezvous hashing may send, each up to a fixed part of the limit
in any second. Gateways hold different lists of members for up to the staleness
bound of their proofs. Each therefore uses the lowest place that it had in any
list that may have been in force within that time, so that the parts in use at
one time never add up to more than the limit.
"""

import math

import attrs

from _coltsfootroad.core import hashing
from _coltsfootroad.core import recentmembers

# Gateways that send to one incarnation. With one, its loss would leave the
# endpoint unused for the span of `RecentMembers`; with many, each has too
# little to be of use.
SENDERS = 3
PERIOD_S = 1.0
# Longest time from the permission to send to the arrival. The permission is
# asked for on an open connection, so this is transit, 2 ms within a site. The
# part of the limit that can be used is 1 / (1 + TRANSIT_S), which is to be at
# least 90%.
TRANSIT_S = 0.08
# A helper engine is asked by the engine that leads the prompt, so its request
# arrives later, by a pass of that engine.
HELPER_TRANSIT_S = 0.5
# Factor on the predicted times of a cold endpoint until its pace is learned.
# The slow engines of the users' deployments take 3 to 5 times as long.
COLD_SLOWDOWN = 3.0
# Windows of endpoints without recent sends are dropped beyond this number.
MAX_WINDOWS = 4_096
SENDER_KEY = "cold"


def whole_limit(cold_per_s: float, overrun: float, slack: float) -> int:
    """Return the requests per second that all gateways may send together."""
    return math.floor(cold_per_s * overrun + slack)


def quota(limit: int, place: int, gateways: int) -> int:
    """Return the part of the limit of the sender at a place, 0 first.

    Parts differ by one request at most and add up to the limit. They never grow
    with the place or the number of gateways in rotation.
    """
    count = min(SENDERS, gateways)
    if place >= count:
        return 0
    return (limit + count - 1 - place) // count


def score(endpoint_key: str, gateway: str) -> int:
    """Return the rendezvous score of a gateway for an incarnation."""
    return hashing.stable_hash(endpoint_key, gateway, SENDER_KEY)


def senders(endpoint_key: str, gateways: list[str]) -> list[str]:
    """Return the senders among gateways, the largest part first."""
    ranked = sorted(gateways, key=lambda g: score(endpoint_key, g))
    return ranked[: -SENDERS - 1 : -1]


@attrs.define
class SendWindow:
    """Own sends to one incarnation that may still arrive with a new one.

    Attributes:
        leaves: Times at which the sends no longer count.
        pending: Sends that were chosen and not made yet.
    """

    leaves: list[float] = attrs.Factory(list)
    pending: int = 0

    def used(self, now: float) -> int:
        """Return the number of sends that count now."""
        self.leaves = [time for time in self.leaves if time > now]
        return len(self.leaves)

    def free_at(self, quota_: int, now: float) -> list[float]:
        """Return the times at which the sends that count make room."""
        surplus = self.used(now) + self.pending - quota_
        return sorted(self.leaves)[max(0, surplus) :]


@attrs.define
class ColdLimit:
    """Decides whether this gateway may send to a cold endpoint now.

    Attributes:
        gateway: Name of this gateway.
        staleness_bound_s: Age from which the proof of the members is too old.
        recent: Members within the staleness bound and one period.
        proved_at: Time of the newest proof that the members are current.
        places: Cached places by endpoint key, for the current bounds.
        windows: Own sends by endpoint key.
    """

    gateway: str
    staleness_bound_s: float
    recent: recentmembers.RecentMembers = attrs.field(init=False)
    proved_at: float = float("-inf")
    places: dict[str, int] = attrs.Factory(dict)
    placed_by: recentmembers.RotationBounds | None = None
    windows: dict[str, SendWindow] = attrs.Factory(dict)

    def __attrs_post_init__(self):
        self.recent = recentmembers.RecentMembers(
            self.staleness_bound_s + PERIOD_S + HELPER_TRANSIT_S
        )

    def confirm(self, proved_at: float) -> None:
        """Record that all changes until a time are known."""
        self.proved_at = max(self.proved_at, proved_at)

    def place(self, endpoint_key: str, now: float) -> int:
        """Return the lowest place of this gateway, `SENDERS` if it has none."""
        if now - self.proved_at >= self.staleness_bound_s:
            return SENDERS
        bounds = self.recent.bounds(now)
        if bounds is not self.placed_by:
            self.placed_by = bounds
            self.places.clear()
        if self.gateway not in bounds.certain:
            return SENDERS
        if endpoint_key not in self.places:
            own = score(endpoint_key, self.gateway)
            self.places[endpoint_key] = sum(
                score(endpoint_key, other) > own for other in bounds.possible
            )
        return min(SENDERS, self.places[endpoint_key])

    def quota(self, endpoint_key: str, limit: int, now: float) -> int:
        """Return how many requests a second this gateway may send."""
        place = self.place(endpoint_key, now)
        return quota(limit, place, len(self.recent.bounds(now).possible))

    def window(self, endpoint_key: str) -> SendWindow:
        """Return the own sends to an incarnation."""
        return self.windows.setdefault(endpoint_key, SendWindow())

    def may_choose(self, endpoint_key: str, limit: int, now: float) -> bool:
        """Return whether a request may choose the endpoint now."""
        quota_ = self.quota(endpoint_key, limit, now)
        if not quota_:
            return False
        window = self.window(endpoint_key)
        return window.used(now) + window.pending < quota_

    def may_send(self, endpoint_key: str, limit: int, now: float) -> bool:
        """Return whether a request may be sent to the endpoint now."""
        quota_ = self.quota(endpoint_key, limit, now)
        return self.window(endpoint_key).used(now) < quota_

    def record(self, endpoint_key: str, now: float, is_helper: bool) -> None:
        """Count a request that is sent now."""
        if len(self.windows) >= MAX_WINDOWS:
            self.windows = {
                key: window
                for key, window in self.windows.items()
                if window.used(now) or window.pending
            }
        transit_s = HELPER_TRANSIT_S if is_helper else TRANSIT_S
        window = self.window(endpoint_key)
        window.leaves.append(now + PERIOD_S + transit_s)

    def free_at(self, endpoint_key: str, limit: int, now: float) -> list[float]:
        """Return the times at which further requests may be sent."""
        quota_ = self.quota(endpoint_key, limit, now)
        if not quota_:
            return []
        return self.window(endpoint_key).free_at(quota_, now)
