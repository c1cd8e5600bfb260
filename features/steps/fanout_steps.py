"""Steps on telling work to gateways of other zones, without sockets."""

from behave import given
from behave import then
from behave import when
import msgspec

from _coltsfootroad.core import addresses
from _coltsfootroad.core import work as work_lib
from _coltsfootroad.core import workload
from _coltsfootroad.gateway import gossip as gossip_lib
from features.support import gatewaybed

FIRST_PORT = 20_000


class Wires:
    """Delivers datagrams at once and counts those between zones."""

    def __init__(self):
        self.gossips: dict[tuple[str, int], gossip_lib.Gossip] = {}
        self.between = 0
        self.frozen: set[str] = set()

    def zone_of(self, teller: gossip_lib.Gossip) -> str:
        """Return the zone of a gateway."""
        return teller.gateway.settings.availability_zone

    def deliver(self, sender, data, address) -> None:
        """Hand a datagram over unless its receiver stands still."""
        receiver = self.gossips[address]
        self.between += self.zone_of(sender) != self.zone_of(receiver)
        if receiver.gateway.settings.gateway not in self.frozen:
            receiver.datagram_received(data, ("127.0.0.1", 1))


class Socket:
    """The socket of one gateway."""

    def __init__(self, wires: Wires, owner: gossip_lib.Gossip):
        self.wires = wires
        self.owner = owner

    def is_closing(self):
        """Return whether the socket closes."""
        return False

    def sendto(self, data, address):
        """Send a datagram."""
        self.wires.deliver(self.owner, data, address)

    def close(self):
        """Close nothing."""


def member(zone: int, place: int, port: int) -> addresses.Member:
    """Return one gateway of a zone."""
    return addresses.Member(
        entry=f"z{zone}-{place}",
        incarnation=1,
        address=f"127.0.0.1:{port + 10_000}",
        peer_address=f"127.0.0.1:{port}",
        availability_zone=f"z{zone}",
    )


@given("{zones:d} zones with {used:d} gateways in use each")
def zones_of(context, zones, used):
    context.wires = Wires()
    context.members = tuple(
        member(zone, place, FIRST_PORT + zone * used + place)
        for zone in range(zones)
        for place in range(used)
    )
    for one in context.members:
        bed = gatewaybed.Bed.without_sockets(one.entry, one.availability_zone)
        bed.view.member_view.learn(context.members, (), True)
        # All of them, whatever part of a zone is in use otherwise.
        rotation = bed.view.rotation
        rotation.seen_changes = bed.view.member_view.changes
        rotation.chosen = context.members
        teller = gossip_lib.Gossip(bed)
        teller.transport = Socket(context.wires, teller)
        host, port = one.peer_address.split(":")
        context.wires.gossips[(host, int(port))] = teller
    context.tellers = {
        t.gateway.settings.gateway: t for t in context.wires.gossips.values()
    }


@when("the receivers in the other zone know each other only")
def know_themselves(context):
    for name, teller in context.tellers.items():
        if not name.startswith("z1"):
            continue
        view = teller.gateway.view
        near = tuple(m for m in context.members if m.entry.startswith("z1"))
        view.member_view.learn(near, (), True)
        view.member_view.known = {m.entry: m for m in near}
        view.rotation.seen_changes = view.member_view.changes
        view.rotation.chosen = near


@when("one of them begins and ends a piece of work")
def begins_and_ends(context):
    context.sender = "z0-0"
    teller = context.tellers[context.sender]
    load = teller.gateway.load
    key = load.add(work_lib.Work(endpoint="e1"))
    teller.send()
    context.heard = [heard(context, key)]
    load.remove(key)
    teller.send()
    context.heard.append(heard(context, key))


def heard(context, key: int) -> dict[str, bool]:
    """Return by gateway whether it believes in a piece of work."""
    found = {}
    for name, teller in context.tellers.items():
        known = teller.gateway.load.foreign.get(context.sender)
        found[name] = known is not None and key in known.works
    del found[context.sender]
    return found


@then("each other gateway in use has heard both")
def heard_both(context):
    begun, ended = context.heard
    assert all(begun.values()), begun
    assert not any(ended.values()), ended


@then("{count:d} datagrams went between zones")
def between(context, count):
    assert context.wires.between == count, context.wires.between


@when(
    "one of them has work and {turns:d} turns go by beside a gateway that is"
    " frozen"
)
def turns_go_by(context, turns):
    context.sender = "z0-0"
    context.wires.frozen = {"z1-0"}
    teller = context.tellers[context.sender]
    teller.gateway.load.add(work_lib.Work(endpoint="e1"))
    context.seen = []
    for _ in range(turns):
        teller.send_summary(full=True)
        context.seen.append(
            {
                name: other.gateway.load.foreign.get(context.sender)
                for name, other in context.tellers.items()
                if name not in (context.sender, "z1-0")
            }
        )


@then(
    "each other running gateway has heard that work in the last {turns:d} turns"
)
def heard_lately(context, turns):
    teller = context.tellers[context.sender]
    missed = 0
    for seen in context.seen:
        missed += any(known is None for known in seen.values())
    assert missed <= 1, missed
    for name, known in context.seen[-1].items():
        assert known is not None, name
        assert teller.seq - known.mark[1] < turns, (name, known.mark)


@then("a summary without the last field is taken and not passed on")
def earlier_program(context):
    zones_of(context, 2, 3)
    summary = workload.Summary(
        gateway="z0-0",
        incarnation=1,
        seq=1,
        full=True,
        changes=(workload.Change(1, "e1"),),
    )
    fields = msgspec.structs.astuple(gossip_lib.to_wire(summary))
    data = gossip_lib.ENCODER.encode(fields[:-1])
    teller = context.tellers["z1-0"]
    teller.datagram_received(data, ("127.0.0.1", 1))
    assert 1 in teller.gateway.load.foreign["z0-0"].works
    others = [context.tellers["z1-1"], context.tellers["z1-2"]]
    assert not any("z0-0" in t.gateway.load.foreign for t in others)
