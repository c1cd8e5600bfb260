"""Fault histories of relays in virtual time: random, directed, with defects."""

import asyncio
import contextlib

import attrs
from hypothesis import Phase
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from _coltsfootroad.control import coordinator as coordinator_lib
from _coltsfootroad.control import fleetstate
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import watchcache
from _coltsfootroad.control import watching
from _coltsfootroad.core import registry
from _coltsfootroad.core import relaychoice
from _coltsfootroad.shell import watchserver
from features.support import relayworld
from features.support import virtualloop

CONVERGENCE_S = 6.0
# A relay for tests of single components.
RELAY = watching.Relay(
    name="r", incarnation=1, address="10.0.0.1:1", availability_zone="za"
)
GATEWAYS = 4
PROCESSES = (
    "replica-0",
    "replica-1",
    "replica-2",
    "relay-0",
    "relay-1",
    "relay-2",
)

# --- a fleet ------------------------------------------------------------------


@contextlib.contextmanager
def fleet(gateways, seed=2):
    """Yield a world in which all gateways watch, and its `run` function."""
    with virtualloop.virtual_time() as loop:
        world = relayworld.World(loop, seed)
        loop.run_until_complete(world.begin(gateways))
        loop.run_until_complete(world.run(3.0))
        yield world, lambda s: loop.run_until_complete(world.run(s))
        world.stop()
        loop.run_until_complete(asyncio.sleep(0))


def watched_process(world, gateway) -> relayworld.Process:
    """Return the process that a gateway watches."""
    return world.by_address[gateway.watch.choice.current]


def check_relay_failover(what, seconds, age):
    """Check how soon gateways leave a faulty relay, and that none is lost."""
    with fleet(6) as (world, run):
        zone_gateways = [
            g
            for g in world.gateways.values()
            if g.settings.availability_zone == "za"
        ]
        # Without the zone's replica the gateways watch its relay.
        world.processes["replica-0"].stop()
        run(4.0)
        relay = watched_process(world, zone_gateways[0])
        assert relay.name == "relay-0", relay.name
        names = {g.settings.gateway for g in zone_gateways}
        if what == "crashes":
            relay.stop()
        elif what == "is frozen":
            world.frozen[relay.name] = world.now + 30.0
        elif what == "is cut off from the leader":
            world.isolate(relay.name)
        else:
            for name in names:
                world.cut(name, relay.name)
        lost = run_and_find_lost_members(world, run, seconds)
        for gateway in zone_gateways:
            found = gateway.view.age_s(world.now)
            assert found <= age, (gateway.settings.gateway, found)
        assert not lost & set(world.gateways), lost


def run_and_find_lost_members(world, run, seconds) -> set[str]:
    """Run; return the gateways missing from any gateway's member list."""
    lost = set()
    end = world.now + seconds
    while world.now < end:
        run(0.1)
        for gateway in world.gateways.values():
            lost |= set(world.gateways) - set(gateway.view.members)
    return lost


# --- random histories --------------------------------------------------------

EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "version",
                "version",
                "storm",
                "die",
                "restart",
                "freeze",
                "isolate",
                "cut_gateway",
                "lose_leader",
                "heal",
                "gateway_restarts",
                "gateway_dies",
                "endpoint_comes",
                "endpoint_leaves",
            ]
        ),
        st.integers(0, 5),
        st.sampled_from([0.05, 0.3, 0.8, 2.0, 5.0]),
    ),
    min_size=1,
    max_size=10,
)


# Histories of their own, so that those of `EVENTS` stay the same.
ORDER_EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "order",
                "order",
                "order",
                "die",
                "restart",
                "freeze",
                "isolate",
                "cut_gateway",
                "lose_leader",
                "heal",
                "gateway_restarts",
            ]
        ),
        st.integers(0, 5),
        st.sampled_from([0.05, 0.3, 0.8, 2.0, 5.0]),
    ),
    min_size=1,
    max_size=10,
)


class EventHandlers:
    """Event handlers by event name."""

    def __init__(self, world):
        self.world = world

    def version(self, _place):
        """Apply a version."""
        self.world.put_version()

    def order(self, place):
        """Order or withdraw the evacuation of a zone."""
        zone = relayworld.ZONES[place % len(relayworld.ZONES)]
        self.world.change_evacuation(zone)

    def storm(self, _place):
        """Apply several versions in a row."""
        for _ in range(5):
            self.world.put_version()

    def die(self, index):
        """Stop a control process."""
        process = self.world.processes[PROCESSES[index]]
        if process.up:
            process.stop()

    def restart(self, index):
        """Start or restart a control process."""
        process = self.world.processes[PROCESSES[index]]
        if process.up:
            process.stop()
        process.start()

    def freeze(self, index):
        """Freeze a process."""
        self.world.frozen[PROCESSES[index]] = self.world.now + 3.0

    def isolate(self, index):
        """Cut a process off from the other control processes."""
        self.world.isolate(PROCESSES[index])

    def cut_gateway(self, index):
        """Cut a gateway off from one control process."""
        names = sorted(self.world.gateways)
        name = names[index % len(names)]
        self.world.cut(name, PROCESSES[(index * 7 + 3) % len(PROCESSES)])

    def lose_leader(self, index):
        """Depose the leader and elect none for some time."""
        self.world.lose_leader(0.2 + 0.3 * index)

    def heal(self, _place):
        """Repair all links and processes."""
        self.world.heal()

    def gateway_restarts(self, index):
        """Restart a gateway."""
        name = f"gw-{index % GATEWAYS}"
        self.end_gateway(name)
        self.world.add_gateway(
            name, relayworld.ZONES[index % GATEWAYS % len(relayworld.ZONES)]
        )

    def gateway_dies(self, index):
        """Stop a gateway permanently, unless only two are left."""
        if len(self.world.gateways) > 2:
            names = sorted(self.world.gateways)
            self.end_gateway(names[index % len(names)])

    def end_gateway(self, name):
        """Stop a gateway."""
        gateway = self.world.gateways.pop(name, None)
        if gateway is not None:
            gateway.watch.task.cancel()

    def endpoint_comes(self, index):
        """Announce an endpoint."""
        name = f"e{index}"
        if name not in self.world.endpoints:
            self.world.announce(name)

    def endpoint_leaves(self, index):
        """Sign an endpoint off, if a leader acknowledges it."""
        name = f"e{index}"
        known = self.world.endpoints.get(name)
        serving = registry.EndpointState.SERVING
        if known is not None and known.state is serving and self.world.leader():
            self.world.announce(name, registry.EndpointState.LEAVING)


def run_history(events, seed=1):
    """Run one history, then check convergence without faults."""
    with virtualloop.virtual_time() as loop:
        world = relayworld.World(loop, seed)

        async def run():
            await world.begin(GATEWAYS)
            await world.run(1.5)
            handlers = EventHandlers(world)
            for name, index, pause_s in events:
                getattr(handlers, name)(index)
                await world.run(pause_s)
            world.heal()
            await world.run(CONVERGENCE_S)
            world.check_converged()
            world.stop()

        loop.run_until_complete(run())


def run_random_histories(count, phases=tuple(Phase), histories=EVENTS):
    """Run random histories; finding a defect needs no shrinking phase."""

    @settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=count,
        phases=phases,
    )
    @drawn(histories)
    def check(events):
        run_history(events)

    check()


# --- directed histories and defects -------------------------------------------

ORIGINAL_ON_WATCH = watchcache.WatchCache.on_watch
ORIGINAL_APPLY_RESPONSE = watchcache.WatchCache.apply_response
ORIGINAL_ANSWER = watchserver.WatchServer.answer_now
ORIGINAL_TAKE_OVER = coordinator_lib.Coordinator.take_over


def resets_proof_age(self, request, now):
    """Return the response with a proof age of zero."""
    response = ORIGINAL_ON_WATCH(self, request, now)
    if isinstance(response, watching.News):
        return attrs.evolve(response, proof_age_s=0.0)
    return response


def dates_proof_at_response(self, request, response, _requested_at, now):
    """Date the proof at the arrival of the response."""
    ORIGINAL_APPLY_RESPONSE(self, request, response, now, now)


async def answers_relays_from_cache(self, request):
    """Answer watches of relays from the cache."""
    answer = await ORIGINAL_ANSWER(self, request)
    is_relay = isinstance(request, watching.RelayWatch)
    if is_relay and isinstance(answer, outcomes.NotLeader):
        if not self.watch_cache.fleet_state.epoch:
            return answer
        return self.watch_cache.fleet_state.page(
            request.epoch, request.registry_mark
        )
    return answer


def accepts_late_reports(self, attached, until, relay=""):
    """Accept any report of a gateway as the newest."""
    member = attached.member
    known = self.members.get(member.entry)
    if known is None or known.member != member:
        self.fleet_state.put_member(member)
    self.members[member.entry] = coordinator_lib.LiveMember(
        attached, until, relay
    )


def restores_members_without_lease(self):
    """Take members over without a lease."""
    ORIGINAL_TAKE_OVER(self)
    for live in self.members.values():
        live.until = coordinator_lib.NEVER


DEFECTS = {
    "a relay resets the age of the proof": (
        watchcache.WatchCache,
        "on_watch",
        resets_proof_age,
    ),
    "a relay dates the proof at the arrival of the response": (
        watchcache.WatchCache,
        "apply_response",
        dates_proof_at_response,
    ),
    "relays answer watches of other relays": (
        watchserver.WatchServer,
        "answer_now",
        answers_relays_from_cache,
    ),
    "a late report of a former relay is accepted": (
        coordinator_lib.Coordinator,
        "update_member",
        accepts_late_reports,
    ),
    "a new leader never reports members lost with the old one": (
        coordinator_lib.Coordinator,
        "take_over",
        restores_members_without_lease,
    ),
    "a gateway stays attached to a relay that is behind": (
        relaychoice.RelayChoice,
        "back_off",
        lambda self, address, now: None,
    ),
    "a relay does not copy the evacuated zones": (
        fleetstate.FleetState,
        "apply_evacuation",
        lambda self, changes, revision: None,
    ),
}


def relay_freezes_at_response():
    """A relay freezes for some seconds as a response arrives."""
    with virtualloop.virtual_time() as loop:
        world = relayworld.World(loop, 3)

        async def run():
            await world.begin(GATEWAYS)
            await world.run(2.0)
            for _ in range(6):
                world.frozen["relay-0"] = world.now + 4.2
                await world.run(0.3)
                world.put_version()
                world.cut("relay-0", "replica-0")
                world.cut("relay-0", "replica-1")
                world.cut("relay-0", "replica-2")
                cut_zone_off(world)
                await world.run(9.0)
                world.heal()
                await world.run(3.0)
            world.check_converged()
            world.stop()

        loop.run_until_complete(run())


def cut_zone_off(world):
    """Leave the gateways of zone za only the link to the zone's relay."""
    for name, gateway in world.gateways.items():
        if gateway.settings.availability_zone == "za":
            for process in PROCESSES:
                if process != "relay-0":
                    world.cut(name, process)


def relays_without_replicas():
    """Relays lose the connection to all replicas."""
    with virtualloop.virtual_time() as loop:
        world = relayworld.World(loop, 4)

        async def run():
            await world.begin(GATEWAYS)
            await world.run(2.0)
            for number in range(3):
                world.cut(f"replica-{number}", f"replica-{(number + 1) % 3}")
                for index in range(3):
                    world.cut("replica-0", f"relay-{index}")
            await world.run(0.5)
            world.put_version()
            await world.run(9.0)
            world.stop()

        loop.run_until_complete(run())


def late_report_of_former_relay():
    """A relay reports a gateway that has attached to another relay since."""
    with virtualloop.virtual_time() as loop:
        world = relayworld.World(loop, 5)

        async def run():
            await world.begin(2)
            await world.run(2.0)
            leader = world.leader()
            # The gateway watches a process of zone zb, where none leads.
            member = world.gateways["gw-1"].watch.member()
            earlier = watching.Attached(member=member, attachment=0)
            relay = world.processes["relay-2"].watch_cache.relay
            leader.coordinator.on_relay_watch(
                watching.RelayWatch(relay=relay, attached=(earlier,)),
                world.now,
            )
            leader.coordinator.on_relay_watch(
                watching.RelayWatch(relay=relay, detached=("gw-1",)),
                world.now,
            )
            await world.run(3.0)
            world.check_converged()
            world.stop()

        loop.run_until_complete(run())


def gateway_dies_with_leader():
    """A gateway stops at the moment of a leader change."""
    with virtualloop.virtual_time() as loop:
        world = relayworld.World(loop, 6)

        async def run():
            await world.begin(GATEWAYS)
            await world.run(2.0)
            world.processes["replica-0"].stop()
            world.processes["relay-0"].stop()
            EventHandlers(world).end_gateway("gw-0")
            await world.run(CONVERGENCE_S)
            world.check_converged()
            world.stop()

        loop.run_until_complete(run())


DIRECTED = (
    relay_freezes_at_response,
    relays_without_replicas,
    late_report_of_former_relay,
    gateway_dies_with_leader,
    lambda: check_relay_failover("is cut off from the leader", 3.0, 1.5),
)


def fails_check(history) -> bool:
    """Return whether a history violates a check."""
    try:
        history()
    except AssertionError:
        return True
    return False
