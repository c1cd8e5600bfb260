"""Histories of relays, in virtual time: drawn, directed, and with defects."""

import asyncio
import contextlib

import attrs
from hypothesis import Phase
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from _coltsfootroad.control import hub as hub_lib
from _coltsfootroad.control import mirror as mirror_lib
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import watching
from _coltsfootroad.core import registry
from _coltsfootroad.core import relaychoice
from _coltsfootroad.shell import watchdesk
from features.support import relayworld
from features.support import virtualloop

CALM_S = 6.0
# A relay for tests of its parts alone.
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
    """Give a world in which all gateways watch, and how to let it run."""
    with virtualloop.virtual_time() as loop:
        world = relayworld.World(loop, seed)
        loop.run_until_complete(world.begin(gateways))
        loop.run_until_complete(world.run(3.0))
        yield world, lambda s: loop.run_until_complete(world.run(s))
        world.stop()
        loop.run_until_complete(asyncio.sleep(0))


def asked(world, gateway) -> relayworld.Process:
    """Return the process that a gateway asks."""
    return world.by_address[gateway.watch.choice.current]


def left_in_time(what, seconds, age):
    """Check how soon gateways leave a relay, and that none is lost."""
    with fleet(6) as (world, run):
        near = [
            g
            for g in world.gateways.values()
            if g.settings.availability_zone == "za"
        ]
        # One process of the zone is left for them: the relay, not a replica.
        world.processes["replica-0"].stop()
        run(4.0)
        relay = asked(world, near[0])
        assert relay.name == "relay-0", relay.name
        names = {g.settings.gateway for g in near}
        if what == "dies":
            relay.stop()
        elif what == "stands still":
            world.frozen[relay.name] = world.now + 30.0
        elif what == "is cut off from the leader":
            world.isolate(relay.name)
        else:
            for name in names:
                world.cut(name, relay.name)
        lost = run_and_watch_members(world, run, seconds)
        for gateway in near:
            found = gateway.view.age_s(world.now)
            assert found <= age, (gateway.settings.gateway, found)
        assert not lost & set(world.gateways), lost


def run_and_watch_members(world, run, seconds) -> set[str]:
    """Let time pass; return the gateways that some gateway took for lost."""
    lost = set()
    end = world.now + seconds
    while world.now < end:
        run(0.1)
        for gateway in world.gateways.values():
            lost |= set(world.gateways) - set(gateway.view.members)
    return lost


# --- drawn histories ---------------------------------------------------------

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


class Events:
    """What may happen, by name."""

    def __init__(self, world):
        self.world = world

    def version(self, _place):
        """Put a version."""
        self.world.put_version()

    def storm(self, _place):
        """Put versions one after the other."""
        for _ in range(5):
            self.world.put_version()

    def die(self, place):
        """Kill a process of control."""
        process = self.world.processes[PROCESSES[place]]
        if process.up:
            process.stop()

    def restart(self, place):
        """Start a process of control, or start it again."""
        process = self.world.processes[PROCESSES[place]]
        if process.up:
            process.stop()
        process.start()

    def freeze(self, place):
        """Let a process stand still."""
        self.world.frozen[PROCESSES[place]] = self.world.now + 3.0

    def isolate(self, place):
        """Cut a process off from the others of control."""
        self.world.isolate(PROCESSES[place])

    def cut_gateway(self, place):
        """Cut a gateway off from one process."""
        names = sorted(self.world.gateways)
        name = names[place % len(names)]
        self.world.cut(name, PROCESSES[(place * 7 + 3) % len(PROCESSES)])

    def lose_leader(self, place):
        """Let nobody lead for a while."""
        self.world.lose_leader(0.2 + 0.3 * place)

    def heal(self, _place):
        """Mend everything."""
        self.world.heal()

    def gateway_restarts(self, place):
        """Kill a gateway and start it again."""
        name = f"gw-{place % GATEWAYS}"
        self.end_gateway(name)
        self.world.add_gateway(
            name, relayworld.ZONES[place % GATEWAYS % len(relayworld.ZONES)]
        )

    def gateway_dies(self, place):
        """Kill a gateway for good, if others are left."""
        if len(self.world.gateways) > 2:
            names = sorted(self.world.gateways)
            self.end_gateway(names[place % len(names)])

    def end_gateway(self, name):
        """Kill a gateway."""
        gateway = self.world.gateways.pop(name, None)
        if gateway is not None:
            gateway.watch.task.cancel()

    def endpoint_comes(self, place):
        """Announce an endpoint."""
        name = f"e{place}"
        if name not in self.world.endpoints:
            self.world.announce(name)

    def endpoint_leaves(self, place):
        """Let an endpoint leave, as it is acknowledged by a leader."""
        name = f"e{place}"
        known = self.world.endpoints.get(name)
        serving = registry.EndpointState.SERVING
        if known is not None and known.state is serving and self.world.leader():
            self.world.announce(name, registry.EndpointState.LEAVING)


def play(events, seed=1):
    """Play one history and its calm end."""
    with virtualloop.virtual_time() as loop:
        world = relayworld.World(loop, seed)

        async def story():
            await world.begin(GATEWAYS)
            await world.run(1.5)
            acts = Events(world)
            for name, place, pause_s in events:
                getattr(acts, name)(place)
                await world.run(pause_s)
            world.heal()
            await world.run(CALM_S)
            world.check_calm()
            world.stop()

        loop.run_until_complete(story())


def draw_histories(count, phases=tuple(Phase)):
    """Play drawn histories; a defect need not be shown by the shortest one."""

    @settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=count,
        phases=phases,
    )
    @drawn(EVENTS)
    def check(events):
        play(events)

    check()


# --- directed histories and defects -------------------------------------------

RIGHT_ON_WATCH = mirror_lib.Mirror.on_watch
RIGHT_TAKE = mirror_lib.Mirror.take
RIGHT_ANSWER = watchdesk.WatchDesk.answer_now
RIGHT_TAKE_OVER = hub_lib.Hub.take_over


def dates_anew(self, request, now):
    """Tell of a proof as if it were new."""
    news = RIGHT_ON_WATCH(self, request, now)
    if isinstance(news, watching.News):
        return attrs.evolve(news, proof_age_s=0.0)
    return news


def dates_late(self, question, news, _asked_at, now):
    """Count the proof from when the answer came."""
    RIGHT_TAKE(self, question, news, now, now)


async def answers_relays(self, question):
    """Answer relays from the copy as well."""
    answer = await RIGHT_ANSWER(self, question)
    is_relay = isinstance(question, watching.RelayWatch)
    if is_relay and isinstance(answer, outcomes.NotLeader):
        if not self.mirror.book.epoch:
            return answer
        return self.mirror.book.page(question.epoch, question.registry_mark)
    return answer


def counts_late_reports(self, attached, until, relay=""):
    """Take any word of a gateway for the newest."""
    member = attached.member
    known = self.members.get(member.entry)
    if known is None or known.member != member:
        self.book.put_member(member)
    self.members[member.entry] = hub_lib.LiveMember(attached, until, relay)


def keeps_members_for_ever(self):
    """Give no lease to what was taken over."""
    RIGHT_TAKE_OVER(self)
    for live in self.members.values():
        live.until = hub_lib.NEVER


DEFECTS = {
    "a relay dates the proof anew": (
        mirror_lib.Mirror,
        "on_watch",
        dates_anew,
    ),
    "a relay dates the proof when the answer comes": (
        mirror_lib.Mirror,
        "take",
        dates_late,
    ),
    "relays answer each other's questions": (
        watchdesk.WatchDesk,
        "answer_now",
        answers_relays,
    ),
    "a late report of a gateway that moved counts": (
        hub_lib.Hub,
        "take_member",
        counts_late_reports,
    ),
    "a leader that takes over tells nobody of lost ones": (
        hub_lib.Hub,
        "take_over",
        keeps_members_for_ever,
    ),
    "a gateway stays with a relay that is behind": (
        relaychoice.RelayChoice,
        "back_off",
        lambda self, address, now: None,
    ),
}


def frozen_as_an_answer_comes():
    """An answer reaches a relay as it begins to stand still, for long."""
    with virtualloop.virtual_time() as loop:
        world = relayworld.World(loop, 3)

        async def story():
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
            world.check_calm()
            world.stop()

        loop.run_until_complete(story())


def cut_zone_off(world):
    """Let the gateways of zone za reach the relay there only."""
    for name, gateway in world.gateways.items():
        if gateway.settings.availability_zone == "za":
            for process in PROCESSES:
                if process != "relay-0":
                    world.cut(name, process)


def relays_among_themselves():
    """All replicas are gone; relays go on for a while."""
    with virtualloop.virtual_time() as loop:
        world = relayworld.World(loop, 4)

        async def story():
            await world.begin(GATEWAYS)
            await world.run(2.0)
            for number in range(3):
                world.cut(f"replica-{number}", f"replica-{(number + 1) % 3}")
                for place in range(3):
                    world.cut("replica-0", f"relay-{place}")
            await world.run(0.5)
            world.put_version()
            await world.run(9.0)
            world.stop()

        loop.run_until_complete(story())


def late_report():
    """A gateway goes on to another relay; its former one tells late."""
    with virtualloop.virtual_time() as loop:
        world = relayworld.World(loop, 5)

        async def story():
            await world.begin(2)
            await world.run(2.0)
            leader = world.leader()
            # It asks a process of zone zb, none of which leads.
            member = world.gateways["gw-1"].watch.member()
            earlier = watching.Attached(member=member, attachment=0)
            relay = world.processes["relay-2"].mirror.relay
            leader.hub.on_relay_watch(
                watching.RelayWatch(relay=relay, attached=(earlier,)),
                world.now,
            )
            leader.hub.on_relay_watch(
                watching.RelayWatch(relay=relay, detached=("gw-1",)),
                world.now,
            )
            await world.run(3.0)
            world.check_calm()
            world.stop()

        loop.run_until_complete(story())


def dies_with_the_leader():
    """A gateway dies in the moment in which another leader takes over."""
    with virtualloop.virtual_time() as loop:
        world = relayworld.World(loop, 6)

        async def story():
            await world.begin(GATEWAYS)
            await world.run(2.0)
            world.processes["replica-0"].stop()
            world.processes["relay-0"].stop()
            Events(world).end_gateway("gw-0")
            await world.run(CALM_S)
            world.check_calm()
            world.stop()

        loop.run_until_complete(story())


DIRECTED = (
    frozen_as_an_answer_comes,
    relays_among_themselves,
    late_report,
    dies_with_the_leader,
    lambda: left_in_time("is cut off from the leader", 3.0, 1.5),
)


def broke(history) -> bool:
    """Return whether a history breaks what must hold."""
    try:
        history()
    except AssertionError:
        return True
    return False
