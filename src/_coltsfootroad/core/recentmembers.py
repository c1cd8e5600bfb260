"""Tracks which gateways were members, or may have been, within a time span.

Gateways learn of changes at different times and may learn of several at once,
so one gateway may never see a list of members that another one acted on. A
response of control names every gateway whose entry has changed since the one
before, also one that was lost and is back. A named gateway counts as possibly
present and as possibly absent for the whole span. Every list that was in force
within the span then lies between the two sets that this module computes.
"""

import bisect
from collections.abc import Collection
from collections.abc import Iterable

import attrs

from _coltsfootroad.core import addresses
from _coltsfootroad.core import rotation

FOREVER = float("inf")
NEVER = float("-inf")


@attrs.define
class Presence:
    """When a gateway was a member that takes new requests.

    Attributes:
        zone: Availability zone, None if it was lost before it was known.
        certain_since: Start of the time in which it surely was a member,
            `FOREVER` if it is none.
        possible_until: End of the time in which it may have been a member,
            `FOREVER` if it is one.
    """

    zone: str | None
    certain_since: float = FOREVER
    possible_until: float = FOREVER

    @property
    def is_present(self) -> bool:
        """Return whether it is a member now."""
        return self.possible_until == FOREVER


@attrs.frozen
class RotationBounds:
    """Gateways in rotation in every, and in any, list of the span.

    Attributes:
        certain: In rotation by all lists.
        possible: In rotation by at least one list, perhaps.
        until: Time at which these sets change without further news.
    """

    certain: frozenset[str] = frozenset()
    possible: tuple[str, ...] = ()
    until: float = FOREVER


@attrs.define
class RecentMembers:
    """The members of the last `span_s` seconds.

    Attributes:
        span_s: Length of the span, which ends now.
        presences: Presence by gateway.
    """

    span_s: float
    presences: dict[str, Presence] = attrs.Factory(dict)
    cached: RotationBounds | None = None

    def learn(
        self,
        changed: Iterable[addresses.Member],
        lost: Iterable[str],
        is_whole: bool,
        known: Collection[str],
        now: float,
    ) -> None:
        """Apply changes; `known` are all members after them.

        A response with the whole state does not name what changed before it,
        so that nobody is surely present from then on.
        """
        changed, lost = tuple(changed), tuple(lost)
        if not changed and not lost and not is_whole:
            return
        self.cached = None
        if is_whole:
            for presence in self.presences.values():
                if presence.is_present:
                    presence.certain_since = now
        for name in lost:
            self.presences.setdefault(name, Presence(None))
            self.end(name, now)
        for member in changed:
            presence = Presence(member.availability_zone, now)
            self.presences[member.entry] = presence
            if member.leaving:
                self.end(member.entry, now)
        for name, presence in self.presences.items():
            if presence.is_present and name not in known:
                self.end(name, now)

    def end(self, name: str, now: float) -> None:
        """Record that a gateway is no member from now on."""
        self.presences[name].certain_since = FOREVER
        self.presences[name].possible_until = now

    def bounds(self, now: float) -> RotationBounds:
        """Return the gateways in rotation within the span that ends now."""
        if self.cached is None or now >= self.cached.until:
            self.cached = self.compute_bounds(now)
        return self.cached

    def compute_bounds(self, now: float) -> RotationBounds:
        """Compute the bounds; forget gateways that left before the span."""
        start = now - self.span_s
        for name, presence in list(self.presences.items()):
            if presence.possible_until <= start:
                del self.presences[name]
        zones = {p.zone for p in self.presences.values()} - {None}
        certain: set[str] = set()
        # A gateway of an unknown zone may have been in rotation in any zone.
        possible = {n for n, p in self.presences.items() if p.zone is None}
        for zone in zones:
            found_certain, found_possible = self.zone_bounds(zone, start)
            certain |= found_certain
            possible |= found_possible
        changes = [
            time + self.span_s
            for p in self.presences.values()
            for time in (p.certain_since, p.possible_until)
            if start < time < FOREVER
        ]
        return RotationBounds(
            frozenset(certain),
            tuple(sorted(possible)),
            min(changes, default=FOREVER),
        )

    def zone_bounds(self, zone: str, start: float) -> tuple[set, set]:
        """Return the names surely and possibly in rotation in a zone."""
        ranks = {
            name: rotation.name_rank(name)
            for name, p in self.presences.items()
            if p.zone in (zone, None)
        }
        certain = {n for n in ranks if self.presences[n].certain_since <= start}
        certain_ranks = sorted(ranks[name] for name in certain)
        all_ranks = sorted(ranks.values())
        # The rank within a list is at most the rank within all possible
        # members, and at least the rank within the certain ones.
        least_count = rotation.zone_count(len(certain))
        most_count = rotation.zone_count(len(ranks))
        return (
            {
                name
                for name in certain
                if bisect.bisect_left(all_ranks, ranks[name]) < least_count
            },
            {
                name
                for name, rank in ranks.items()
                if bisect.bisect_left(certain_ranks, rank) < most_count
            },
        )
