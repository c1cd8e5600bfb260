"""Selects the gateways in rotation, to which callers are sent.

Gateways may be many and small, each with less than one request a second. Every
gateway that takes requests has to know the sends of the others, so the cost of
that exchange grows with the square of the gateways in rotation. A share of the
gateways, chosen by rendezvous hashing, carries the same requests. When one is
lost, another replaces it within the time of a membership lease.
"""

from collections.abc import Iterable
import math

import attrs

from _coltsfootroad.core import addresses
from _coltsfootroad.core import fanout
from _coltsfootroad.core import hashing
from _coltsfootroad.core import members as members_lib

# Gateways in rotation in an availability zone of any size: three of four can
# carry the callers of a lost one, and small deployments use all.
MIN_PER_ZONE = 4
# Share of a zone's gateways in rotation. It suits gateways with less than one
# request a second each; deployments with more need a larger share.
ROTATION_SHARE = 1 / 6
RANK_KEY = "rotation"
# Share of a common limit that is split between the gateways in rotation. The
# others get requests only from callers with outdated addresses; they split the
# remainder, as the sum must stay within the limit.
ROTATION_LIMIT_SHARE = 0.85


def choose(members: Iterable[addresses.Member]) -> tuple[addresses.Member, ...]:
    """Return the gateways in rotation, deterministic in the members.

    A gateway that leaves or is lost is replaced by the next one by rank; all
    others stay.
    """
    zones = fanout.group_by_zone(m for m in members if not m.leaving)
    chosen = []
    for found in zones.values():
        found.sort(key=rank)
        chosen.extend(found[: zone_count(len(found))])
    return tuple(chosen)


def zone_count(size: int) -> int:
    """Return how many gateways of a zone with `size` are in rotation."""
    return max(MIN_PER_ZONE, math.ceil(ROTATION_SHARE * size))


def rank(member: addresses.Member) -> int:
    """Return the rank of a gateway in its zone; the lowest comes first."""
    return name_rank(member.entry)


def name_rank(gateway: str) -> int:
    """Return the rank of a gateway in its zone by its name."""
    return hashing.stable_hash(gateway, RANK_KEY)


@attrs.define
class Rotation:
    """The gateways in rotation, recomputed when the members change."""

    members: members_lib.MemberView
    seen_changes: int = -1
    chosen: tuple[addresses.Member, ...] = ()

    def current(self) -> tuple[addresses.Member, ...]:
        """Return the gateways in rotation."""
        if self.seen_changes != self.members.changes:
            self.seen_changes = self.members.changes
            self.chosen = choose(self.members.known.values())
        return self.chosen

    def includes(self, gateway: str) -> bool:
        """Return whether a gateway is in rotation."""
        return any(member.entry == gateway for member in self.current())

    def limit_share(self, gateway: str) -> float:
        """Return a gateway's share, 0 to 1, of a limit common to all."""
        used = {member.entry for member in self.current()}
        others = len(self.members.known.keys() - used)
        share = ROTATION_LIMIT_SHARE if others else 1.0
        if gateway in used:
            return share / len(used)
        return (1.0 - share) / max(1, others) if used else 1.0
