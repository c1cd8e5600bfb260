"""Chooses the entries that callers should use."""

import attrs

from _coltsfootroad.core import hashing

SAME_ZONE_WEIGHT = 4
OTHER_ZONE_WEIGHT = 1
MAX_ADDRESSES = 4


@attrs.frozen(kw_only=True)
class Member:
    """One entry as known to the control plane.

    Attributes:
        entry: Name of the entry.
        incarnation: Number that grows with every start.
        address: `ip:port` for callers.
        peer_address: `ip:port` for other processes of the system.
        availability_zone: Availability zone in which it runs.
        leaving: Whether it is draining.
        partitioned: Whether it reaches no endpoint of any service.
        load: Requests in flight at its last heartbeat.
        config_version: Version in use at its last heartbeat.
        short_loads: Number of engines busy with its short prompts, by service.
    """

    entry: str
    incarnation: int
    address: str
    peer_address: str = ""
    availability_zone: str = ""
    leaving: bool = False
    load: int = 0
    config_version: int = -1
    partitioned: bool = False
    short_loads: dict[str, float] = attrs.Factory(dict)


@attrs.frozen(kw_only=True)
class AddressAnswer:
    """Entries that a caller may use for `valid_for_s` seconds."""

    addresses: tuple[str, ...]
    valid_for_s: float


def rank(member: Member, caller: str, zone: str) -> float:
    """Return a weighted rendezvous score; larger is better.

    Rendezvous hashing spreads callers evenly and, when an entry leaves, moves
    only the callers of that entry. The load divides the weight, so that a
    loaded entry gets fewer callers.
    """
    digest = hashing.stable_hash(member.entry, caller)
    fraction = (digest + 1) / (2**64 + 1)
    is_same_zone = bool(zone) and member.availability_zone == zone
    weight = SAME_ZONE_WEIGHT if is_same_zone else OTHER_ZONE_WEIGHT
    return fraction ** ((1.0 + member.load / 100.0) / weight)


def answer(
    members: tuple[Member, ...], caller: str, zone: str, valid_for_s: float
) -> AddressAnswer:
    """Return the entries for a caller, best first, without draining ones."""
    usable = [m for m in members if not m.leaving]
    usable.sort(key=lambda m: rank(m, caller, zone), reverse=True)
    chosen = tuple(m.address for m in usable[:MAX_ADDRESSES])
    return AddressAnswer(addresses=chosen, valid_for_s=valid_for_s)
