"""Chooses the gateway through which a request reaches an endpoint."""

import collections
from collections.abc import Iterable
import random

import attrs

from _coltsfootroad.core import addresses

# Requests that a gateway of the own zone may have more in flight than one of
# another zone, as traffic between zones is expensive.
SAME_ZONE_ADVANTAGE = 8
# A gateway that could not take a request is avoided for this long.
BACKOFF_S = 1.0


@attrs.define
class PeerChooser:
    """Spreads forwarded requests over other gateways, nearest first.

    Attributes:
        gateway: Name of this gateway.
        zone: Availability zone of this gateway.
        rng: Breaks ties.
        in_flight: Forwarded requests in flight by gateway.
        backed_off_until: End of the backoff by gateway.
    """

    gateway: str
    zone: str
    rng: random.Random
    in_flight: collections.Counter = attrs.Factory(collections.Counter)
    backed_off_until: dict[str, float] = attrs.Factory(dict)

    def choose(
        self,
        members: Iterable[addresses.Member],
        tried: set[str],
        now: float,
    ) -> addresses.Member | None:
        """Return the least used gateway, None if none is left.

        `tried` holds the gateways that could not take this request.
        """
        usable = [
            member
            for member in members
            if member.entry != self.gateway
            and member.entry not in tried
            and not member.leaving
        ]
        rested = [
            member
            for member in usable
            if self.backed_off_until.get(member.entry, now) <= now
        ]
        return min(rested or usable, key=self.rank, default=None)

    def rank(self, member: addresses.Member) -> tuple[int, float]:
        """Return the rank of a gateway; the lowest comes first."""
        is_remote = member.availability_zone != self.zone
        penalty = SAME_ZONE_ADVANTAGE if is_remote else 0
        return self.in_flight[member.entry] + penalty, self.rng.random()

    def back_off(self, gateway: str, now: float) -> None:
        """Avoid a gateway that could not take a request."""
        self.backed_off_until = {
            name: until
            for name, until in self.backed_off_until.items()
            if until > now
        }
        self.backed_off_until[gateway] = now + BACKOFF_S
