"""Steps for the addresses of gateways that callers get."""

import attrs
from behave import given
from behave import then

from _coltsfootroad.core import addresses
from _coltsfootroad.gateway import directory

ZONES = "abc"


@given("zones a, b and c with {sizes} gateways")
def zones(context, sizes):
    context.members = tuple(
        addresses.Member(
            entry=f"{zone}{number}",
            incarnation=1,
            address=f"{zone}:{number}",
            availability_zone=zone,
        )
        for zone, size in zip(ZONES, sizes.split(), strict=True)
        for number in range(int(size))
    )


@given("{counts} of the gateways of each zone reach no endpoint")
def reach_no_endpoint(context, counts):
    left = dict(zip(ZONES, map(int, counts.split()), strict=True))
    members = []
    for member in context.members:
        partitioned = left[member.availability_zone] > 0
        left[member.availability_zone] -= partitioned
        members.append(attrs.evolve(member, partitioned=partitioned))
    context.members = tuple(members)


@then("callers of zone {zone} get partitioned gateways: {kept}")
def partitioned_kept(context, zone, kept):
    found = directory.addresses_for_zone(context.members, zone)
    partitioned = {m.address for m in context.members if m.partitioned}
    assert bool(partitioned.intersection(found)) == (kept == "yes"), found


@then("callers of zone {zone} get {near:d} local and {far:d} remote gateways")
def local_and_remote(context, zone, near, far):
    found = directory.addresses_for_zone(context.members, zone)
    local = [address for address in found if address.startswith(zone)]
    assert (len(local), len(found) - len(local)) == (near, far), found


def remote_addresses(members, zone: str) -> set[str]:
    """Return the addresses in other zones that callers of a zone get."""
    found = directory.addresses_for_zone(tuple(members), zone)
    return {address for address in found if not address.startswith(zone)}


@then("callers of zones b and c get different remote gateways")
def zones_differ(context):
    assert remote_addresses(context.members, "b") != remote_addresses(
        context.members, "c"
    )


@then("callers of a zone keep the other remote gateways when one is lost")
def others_stay(context):
    before = remote_addresses(context.members, "b")
    lost = min(before)
    left = [m for m in context.members if m.address != lost]
    after = remote_addresses(left, "b")
    assert before - after == {lost}, (before, after)
    assert len(after) == len(before)
