"""Steps on members, the gateways in rotation and their summaries of work."""

import asyncio
import time

import attrs
from behave import given
from behave import then
from behave import when

from _coltsfootroad.core import addresses
from _coltsfootroad.core import endpointset
from _coltsfootroad.core import members as members_lib
from _coltsfootroad.core import registry
from _coltsfootroad.core import rotation as rotation_lib
from _coltsfootroad.core.placement import work as work_lib
from _coltsfootroad.core.placement import workload
from _coltsfootroad.gateway import engines
from _coltsfootroad.gateway import gossip as gossip_lib
from _coltsfootroad.gateway import ownwork
from _coltsfootroad.gateway import watch as watch_lib
from features.support import gatewaybed
from features.support import virtualloop

STALL_S = 0.03


def member(name: str, zone: str = "z1") -> addresses.Member:
    """Return a live gateway."""
    return addresses.Member(
        entry=name,
        incarnation=1,
        address="127.0.0.1:1",
        peer_address=f"127.0.0.1:{10_000 + sum(name.encode()) % 50_000}",
        availability_zone=zone,
    )


def named(names: str) -> tuple[addresses.Member, ...]:
    """Return live gateways of one zone."""
    return tuple(member(name) for name in names.split())


@given("a gateway that knows {names} from one leader")
def knows_from_one_leader(context, names):
    context.members = members_lib.MemberView()
    context.members.learn(named(names), (), True, 60.0)


@when("a new leader that has led for {age:g} s reports {names}")
def new_leader(context, age, names):
    names, _, lost = names.partition(" and has lost ")
    context.members.learn(named(names), tuple(lost.split()), True, age)


@when("the same leader after {age:g} s reports {names}")
def same_leader(context, age, names):
    context.members.learn(named(names), (), False, age)


@then("the gateway knows {names}")
def knows(context, names):
    assert sorted(context.members.known) == names.split()


@given("{zones:d} zones of {size:d} gateways")
def zones_of(context, zones, size):
    context.members = members_lib.MemberView()
    found = tuple(
        member(f"g{zone}-{place}", f"z{zone}")
        for zone in range(zones)
        for place in range(size)
    )
    # Distinct addresses, as two names may have the same sum of bytes.
    found = tuple(
        attrs.evolve(one, peer_address=f"127.0.0.1:{20_000 + place}")
        for place, one in enumerate(found)
    )
    context.members.learn(found, (), True)
    context.rotation = rotation_lib.Rotation(context.members)


def used(context) -> set[str]:
    """Return the names of the gateways in rotation."""
    return {one.entry for one in context.rotation.current()}


@then("{count:d} gateways of each zone are in rotation")
def in_use(context, count):
    zones = [one.availability_zone for one in context.rotation.current()]
    assert zones
    assert all(zones.count(zone) == count for zone in zones), zones


@when("a gateway in rotation is lost")
def lose_one(context):
    context.before = used(context)
    context.gone = min(context.before)
    context.members.learn((), (context.gone,), False)


@when("a gateway in rotation begins to leave")
def leave_one(context):
    context.before = used(context)
    context.gone = min(context.before)
    leaving = attrs.evolve(context.members.known[context.gone], leaving=True)
    context.members.learn((leaving,), (), False)


@then("another one of its zone is in rotation and all others stay")
def one_replaced(context):
    after = used(context)
    assert context.before - after == {context.gone}
    (new,) = after - context.before
    assert new.split("-")[0] == context.gone.split("-")[0], new


@then("the shares of all gateways add up to 1")
def shares_add_up(context):
    shares = [context.rotation.limit_share(n) for n in context.members.known]
    assert abs(sum(shares) - 1.0) < 1e-9, sum(shares)


@then("a gateway in rotation has a share of {share:g}")
def share_in_use(context, share):
    found = context.rotation.limit_share(min(used(context)))
    assert abs(found - share) < 1e-4, found


# --- summaries -----------------------------------------------------------


class Sent:
    """Stands in for the socket; records the addresses of datagrams."""

    def __init__(self):
        self.to: list[tuple[str, int]] = []

    def is_closing(self):
        """Return that the socket is open."""
        return False

    def sendto(self, data, address):
        """Record the address of a datagram."""
        del data
        self.to.append(address)

    def close(self):
        """Do nothing."""


@given("a gateway {place} among {zones:d} zones of {size:d} gateways")
def gateway_among(context, place, zones, size):
    zones_of(context, zones, size)
    names = used(context)
    if place == "not in rotation":
        names = set(context.members.known) - names
    bed = gatewaybed.Bed.without_sockets(min(names))
    bed.view.member_view.learn(tuple(context.members.known.values()), (), True)
    context.gateway = bed
    context.gossip = gossip_lib.Gossip(bed)
    context.gossip.transport = Sent()


@given("a gateway that is not in rotation has reported {what} to it")
def report_work(context, what):
    not_in_rotation = set(context.members.known) - used(context)
    name = max(not_in_rotation)
    context.reporter = context.members.known[name].peer_address
    tokens = 0 if what == "a plain call" else 5_000
    changes = [workload.Change(1, "e1", prompt_tokens=tokens)]
    if what == "an ended prompt":
        changes.append(workload.Change(1))
    for seq, change in enumerate(changes):
        summary = workload.Summary(
            gateway=name,
            incarnation=1,
            seq=seq,
            full=False,
            changes=(change,),
        )
        context.gateway.load.apply_summary(summary, 0.0)


@then("it reports work to {count:d} others, that gateway {included}")
def reports_to(context, count, included):
    addressed = {one.peer_address for one in context.gossip.receivers()}
    assert len(addressed) == count, len(addressed)
    assert (context.reporter in addressed) == (included == "among them")


@when("it forwards a plain call that takes {took:d} ms")
def forwards_call(context, took):
    gateway = context.gateway
    gateway.gossip = context.gossip
    known = endpointset.KnownEndpoint(
        registry.Announcement(
            endpoint="e1", incarnation=1, seq=1, service="plain"
        )
    )

    async def call():
        work = ownwork.OwnWork(gateway)
        work.begin(engines.Choice(endpoint=known), None, False, 10.0)
        # Keeps the process from running, as on a machine that is busy.
        asyncio.get_running_loop().call_later(0.001, time.sleep, STALL_S)
        await asyncio.sleep(took / 1000)
        work.end()
        await asyncio.sleep(0.05)

    with virtualloop.virtual_time() as loop:
        loop.run_until_complete(call())


@then("the call is {reported}")
def call_reported(context, reported):
    assert bool(context.gossip.transport.to) == (reported == "reported")


@when("it has work in {rounds} rounds of summaries")
def rounds_of_summaries(context, rounds):
    context.sent = []
    for word in rounds.split():
        load = context.gateway.load
        if word == "yes":
            load.add(work_lib.WorkItem(endpoint="e1"))
        else:
            for key in list(load.own):
                load.remove(key)
        before = len(context.gossip.transport.to)
        context.gossip.last_full_at = -1e9
        context.gossip.refresh()
        context.sent.append(len(context.gossip.transport.to) > before)


@then("it sends in {wanted} of them")
def sends_in(context, wanted):
    found = " ".join("yes" if sent else "no" for sent in context.sent)
    assert found == wanted, found


@then("its watch may be held for {seconds:g} s")
def held_for(context, seconds):
    watch = watch_lib.Watch.__new__(watch_lib.Watch)
    watch.gateway = context.gateway
    assert watch.poll_hold_s() == seconds
