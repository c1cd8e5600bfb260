"""Chooses the receivers of a gateway's summaries, and which of them forward.

Each request is published several times to every gateway in use. Traffic between
availability zones is expensive and a zone has many gateways, so one copy goes
to each other zone, whose receiver forwards it within the zone. The traffic
between zones then depends only on the number of zones.
"""

from collections.abc import Iterable

import attrs

from _coltsfootroad.core import addresses
from _coltsfootroad.core import hashing

FANOUT_KEY = "fanout"


@attrs.frozen
class Delivery:
    """One copy of a message; with `pass_on` the receiver forwards it.

    The receiver forwards the message to the other gateways of its zone.
    """

    to: addresses.Member
    pass_on: bool = False


def deliveries(
    receivers: Iterable[addresses.Member],
    sender: str,
    zone: str,
    fanout_round: int,
) -> list[Delivery]:
    """Return the copies of a message of a `sender` in `zone` to all receivers.

    Each `fanout_round` selects other forwarding gateways, so that a frozen or
    partitioned one hides a sender from its zone for one round only.
    """
    found = []
    key = f"{FANOUT_KEY}/{sender}/{fanout_round}"
    for receiver_zone, members in group_by_zone(receivers).items():
        if receiver_zone == zone or len(members) == 1:
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
    """Return members by availability zone."""
    zones: dict[str, list[addresses.Member]] = {}
    for member in members:
        zones.setdefault(member.availability_zone, []).append(member)
    return zones
