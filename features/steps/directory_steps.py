"""Steps on which gateways callers are sent to."""

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


@then("callers of zone {zone} get {near:d} near and {far:d} far ones")
def near_and_far(context, zone, near, far):
    found = directory.addresses_for_zone(context.members, zone)
    inside = [address for address in found if address.startswith(zone)]
    assert (len(inside), len(found) - len(inside)) == (near, far), found


def far_ones(members, zone: str) -> set[str]:
    """Return the addresses of other zones that callers of a zone get."""
    found = directory.addresses_for_zone(tuple(members), zone)
    return {address for address in found if not address.startswith(zone)}


@then("callers of zones b and c do not all get the same far ones")
def apart(context):
    assert far_ones(context.members, "b") != far_ones(context.members, "c")


@then("callers of a zone get the same when a far one is lost, but for that one")
def stays(context):
    before = far_ones(context.members, "b")
    lost = min(before)
    left = [m for m in context.members if m.address != lost]
    after = far_ones(left, "b")
    assert before - after == {lost}, (before, after)
    assert len(after) == len(before)
