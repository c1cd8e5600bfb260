"""Which gateways callers are sent to: a part of them, by rendezvous.

The pattern it answers: many small gateways, each with less than a request a
second. Whoever takes requests has to know what the others have sent, so the
work of telling grows with the square of the gateways in use. A part of the
gateways carries the same requests; the others take over within the time of a
membership lease when one is lost.
"""

from collections.abc import Iterable
import math

import attrs

from _coltsfootroad.core import addresses
from _coltsfootroad.core import fanout
from _coltsfootroad.core import hashing
from _coltsfootroad.core import members as members_lib

# In use in each availability zone whatever its size: losing one of four
# leaves room for its callers, and small deployments use all they have.
MIN_PER_ZONE = 4
# Part of a zone's gateways in use. Small gateways see less than a request a
# second each; deployments with more requests for each need more of them.
ROTATION_SHARE = 1 / 6
RANK_KEY = "rotation"
# What the gateways in use share of a limit that is split between gateways.
# The others see a request only from callers with an old answer; they share
# the rest, as all together must stay within the limit.
ROTATION_LIMIT_SHARE = 0.85


def choose(members: Iterable[addresses.Member]) -> tuple[addresses.Member, ...]:
    """Return the gateways in use; the same from the same members.

    A gateway that leaves or is lost gives its place to the next by rank and
    moves nobody else's.
    """
    zones = fanout.by_zone(m for m in members if not m.leaving)
    chosen = []
    for found in zones.values():
        count = max(MIN_PER_ZONE, math.ceil(ROTATION_SHARE * len(found)))
        found.sort(key=rank)
        chosen.extend(found[:count])
    return tuple(chosen)


def rank(member: addresses.Member) -> int:
    """Return the place of a gateway in its zone's order; low is first."""
    return hashing.stable_hash(member.entry, RANK_KEY)


@attrs.define
class Rotation:
    """The gateways in use, worked out again when the members change."""

    members: members_lib.MemberView
    seen: int = -1
    chosen: tuple[addresses.Member, ...] = ()

    def current(self) -> tuple[addresses.Member, ...]:
        """Return the gateways in use now."""
        if self.seen != self.members.changes:
            self.seen = self.members.changes
            self.chosen = choose(self.members.known.values())
        return self.chosen

    def includes(self, gateway: str) -> bool:
        """Return whether callers are sent to a gateway."""
        return any(member.entry == gateway for member in self.current())

    def limit_share(self, gateway: str) -> float:
        """Return a gateway's part, 0 to 1, of a limit that all share."""
        used = {member.entry for member in self.current()}
        others = len(self.members.known.keys() - used)
        part = ROTATION_LIMIT_SHARE if others else 1.0
        if gateway in used:
            return part / len(used)
        return (1.0 - part) / max(1, others) if used else 1.0
