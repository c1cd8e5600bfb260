"""Who gets a copy of what a gateway tells the others, and who passes it on.

The pattern it answers: each request is told to every gateway in use, several
times. Bytes between availability zones are dear and a zone holds many gateways,
so one copy goes to each other zone, whose receiver passes it on inside. What a
request costs between zones then depends on the zones alone.
"""

from collections.abc import Iterable

import attrs

from _coltsfootroad.core import addresses
from _coltsfootroad.core import hashing

FANOUT_KEY = "fanout"


@attrs.frozen
class Delivery:
    """One copy of a message; `pass_on` asks to spread it inside the zone."""

    to: addresses.Member
    pass_on: bool = False


def deliveries(
    receivers: Iterable[addresses.Member], sender: str, zone: str, turn: int
) -> list[Delivery]:
    """Return the copies that tell all receivers what a `sender` in `zone` says.

    `turn` draws anew who passes on: one that is frozen or cut off keeps its
    zone from hearing a sender for one turn only.
    """
    found = []
    key = f"{FANOUT_KEY}/{sender}/{turn}"
    for their_zone, members in group_by_zone(receivers).items():
        if their_zone == zone or len(members) == 1:
            found += [Delivery(member) for member in members]
        else:
            first = min(
                members, key=lambda m: hashing.stable_hash(m.entry, key)
            )
            found.append(Delivery(first, pass_on=True))
    return found


def group_by_zone(
    members: Iterable[addresses.Member],
) -> dict[str, list[addresses.Member]]:
    """Return members by their availability zone."""
    zones: dict[str, list[addresses.Member]] = {}
    for member in members:
        zones.setdefault(member.availability_zone, []).append(member)
    return zones
