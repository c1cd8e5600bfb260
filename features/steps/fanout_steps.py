"""Steps on publishing work to gateways of other zones, without sockets."""

from behave import given
from behave import then
from behave import when
import msgspec

from _coltsfootroad.core import addresses
from _coltsfootroad.core.placement import work as work_lib
from _coltsfootroad.core.placement import workload
from _coltsfootroad.gateway import gossip as gossip_lib
from features.support import gatewaybed

FIRST_PORT = 20_000


class Network:
    """Delivers datagrams at once and counts those between zones."""

    def __init__(self):
        self.gossips: dict[tuple[str, int], gossip_lib.Gossip] = {}
        self.between = 0
        self.frozen: set[str] = set()

    def zone_of(self, gossiper: gossip_lib.Gossip) -> str:
        """Return the zone of a gateway."""
        return gossiper.gateway.settings.availability_zone

    def deliver(self, sender, data, address) -> None:
        """Deliver a datagram unless its receiver is frozen."""
        receiver = self.gossips[address]
        self.between += self.zone_of(sender) != self.zone_of(receiver)
        if receiver.gateway.settings.gateway not in self.frozen:
            receiver.datagram_received(data, ("127.0.0.1", 1))


class Socket:
    """The socket of one gateway."""

    def __init__(self, network: Network, owner: gossip_lib.Gossip):
        self.network = network
        self.owner = owner

    def is_closing(self):
        """Return whether the socket is closing."""
        return False

    def sendto(self, data, address):
        """Send a datagram."""
        self.network.deliver(self.owner, data, address)

    def close(self):
        """Do nothing."""


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
    context.network = Network()
    context.members = tuple(
        member(zone, place, FIRST_PORT + zone * used + place)
        for zone in range(zones)
        for place in range(used)
    )
    for gateway in context.members:
        bed = gatewaybed.Bed.without_sockets(
            gateway.entry, gateway.availability_zone
        )
        bed.view.member_view.learn(context.members, (), True)
        # Use all gateways of a zone, not just a share of them.
        rotation = bed.view.rotation
        rotation.seen_changes = bed.view.member_view.changes
        rotation.chosen = context.members
        gossiper = gossip_lib.Gossip(bed)
        gossiper.transport = Socket(context.network, gossiper)
        host, port = gateway.peer_address.split(":")
        context.network.gossips[(host, int(port))] = gossiper
    context.gossipers = {
        t.gateway.settings.gateway: t for t in context.network.gossips.values()
    }


@when("the receivers in the other zone know only each other")
def know_themselves(context):
    for name, gossiper in context.gossipers.items():
        if not name.startswith("z1"):
            continue
        view = gossiper.gateway.view
        near = tuple(m for m in context.members if m.entry.startswith("z1"))
        view.member_view.learn(near, (), True)
        view.member_view.known = {m.entry: m for m in near}
        view.rotation.seen_changes = view.member_view.changes
        view.rotation.chosen = near


@when("one of them begins and ends a work item")
def begins_and_ends(context):
    context.sender = "z0-0"
    gossiper = context.gossipers[context.sender]
    load = gossiper.gateway.load
    key = load.add(work_lib.WorkItem(endpoint="e1"))
    gossiper.send()
    context.received = [received(context, key)]
    load.remove(key)
    gossiper.send()
    context.received.append(received(context, key))


def received(context, key: int) -> dict[str, bool]:
    """Return by gateway whether it knows a work item."""
    found = {}
    for name, gossiper in context.gossipers.items():
        known = gossiper.gateway.load.foreign.get(context.sender)
        found[name] = known is not None and key in known.works
    del found[context.sender]
    return found


@then("each other gateway in use has received both changes")
def received_both(context):
    begun, ended = context.received
    assert all(begun.values()), begun
    assert not any(ended.values()), ended


@then("{count:d} datagrams were sent between zones")
def between(context, count):
    assert context.network.between == count, context.network.between


@when(
    "one of them has work for {turns:d} turns while another gateway is frozen"
)
def turns_go_by(context, turns):
    context.sender = "z0-0"
    context.network.frozen = {"z1-0"}
    gossiper = context.gossipers[context.sender]
    gossiper.gateway.load.add(work_lib.WorkItem(endpoint="e1"))
    context.seen = []
    for _ in range(turns):
        gossiper.send_summary(full=True)
        context.seen.append(
            {
                name: other.gateway.load.foreign.get(context.sender)
                for name, other in context.gossipers.items()
                if name not in (context.sender, "z1-0")
            }
        )


@then(
    "each other running gateway has received that work in the last {turns:d}"
    " turns"
)
def received_lately(context, turns):
    gossiper = context.gossipers[context.sender]
    missed = 0
    for seen in context.seen:
        missed += any(known is None for known in seen.values())
    assert missed <= 1, missed
    for name, known in context.seen[-1].items():
        assert known is not None, name
        assert gossiper.seq - known.mark[1] < turns, (name, known.mark)


@then("a summary without the last field is applied and not forwarded")
def earlier_version(context):
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
    gossiper = context.gossipers["z1-0"]
    gossiper.datagram_received(data, ("127.0.0.1", 1))
    assert 1 in gossiper.gateway.load.foreign["z0-0"].works
    others = [context.gossipers["z1-1"], context.gossipers["z1-2"]]
    assert not any("z0-0" in t.gateway.load.foreign for t in others)
