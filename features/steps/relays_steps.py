"""Steps on relays, in virtual time."""

import asyncio
import contextlib
from unittest import mock

import attrs
from behave import given
from behave import then
from behave import when
from hypothesis import Phase
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from _coltsfootroad.control import hub as hub_lib
from _coltsfootroad.control import mirror as mirror_lib
from _coltsfootroad.control import newsbook
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import watching
from _coltsfootroad.core import registry
from _coltsfootroad.core import relaychoice
from _coltsfootroad.shell import watchdesk
from features.support import relayworld
from features.support import virtualloop

EXAMPLES = 120
CALM_S = 6.0
GATEWAYS = 4
PROCESSES = (
    "replica-0",
    "replica-1",
    "replica-2",
    "relay-0",
    "relay-1",
    "relay-2",
)

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


@then(
    "in {count:d} drawn histories no withdrawn version is served past its bound"
)
def histories(context, count):
    draw_histories(count)


@then(
    "after each of them everybody knows everything {seconds:g} s after it has calmed"
)
def calm(context, seconds):
    """Each history ends with that check; reaching this step is the proof."""
    assert seconds == CALM_S


# --- defects -----------------------------------------------------------------

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
        "avoid",
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


@when('the defect "{label}" is planted')
def planted(context, label):
    context.defect = DEFECTS[label]


@then("a drawn or directed history fails")
def fails(context):
    owner, name, wrong = context.defect
    with mock.patch.object(owner, name, wrong):
        for history in DIRECTED:
            if broke(history):
                return
        phases = (Phase.generate,)
        assert broke(lambda: draw_histories(60, phases)), "nothing failed"


def broke(history) -> bool:
    """Return whether a history breaks what must hold."""
    try:
        history()
    except AssertionError:
        return True
    return False


# --- directed ----------------------------------------------------------------


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


@given("{count:d} gateways that watch, each asking a relay of its zone")
def watching_fleet(context, count):
    manager = fleet(count)
    context.world, context.go = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)
    for gateway in context.world.gateways.values():
        process = asked(context.world, gateway)
        assert process.zone == gateway.settings.availability_zone, process.name


@when("the relay of zone za {what}")
def happens(context, what):
    context.what = what


@then(
    "after {seconds:g} s the gateways of zone za have a proof of at most"
    " {age:g} s"
)
def left(context, seconds, age):
    left_in_time(context.what, seconds, age)


@then("no gateway was lost meanwhile")
def none_lost(context):
    """`left_in_time` and the step on taking over check it."""
    lost = getattr(context, "lost", set())
    assert not lost, lost


@when("a version is put in calm")
def in_calm(context):
    context.world.put_version()


@when("a version is put as the leader is lost")
def leader_lost(context):
    context.world.put_version()
    context.world.processes["replica-0"].stop()
    context.world.lose_leader(0.9)


@when("a version is put as all relays die")
def relays_die(context):
    context.world.put_version()
    for name in ("relay-0", "relay-1", "relay-2"):
        context.world.processes[name].stop()


@then("it is in force at all gateways within {seconds:g} s")
def in_force(context, seconds):
    context.go(seconds)
    newest = context.world.acked[-1][1]
    found = {
        name: gateway.view.version
        for name, gateway in context.world.gateways.items()
    }
    assert set(found.values()) == {newest}, found


@when("another replica takes over")
def takes_over(context):
    world = context.world
    context.told = {}
    for name, gateway in world.gateways.items():
        view = gateway.view.member_view
        context.told[name] = 0
        right = view.learn

        def learn(changed, *rest, name=name, right=right):
            context.told[name] += len(changed)
            right(changed, *rest)

        gateway.view.member_view = mock.Mock(wraps=view)
        gateway.view.member_view.learn = learn
        gateway.view.member_view.known = view.known
    world.lose_leader(0.4)
    world.processes["replica-0"].stop()
    context.lost = run_and_watch_members(world, context.go, 4.0)


@then("no gateway is told of more than {most:d} members anew")
def told_few(context, most):
    assert max(context.told.values()) <= most, context.told


@when("a gateway of each zone starts that knows one replica only")
def newcomers(context):
    world = context.world

    async def start():
        for zone in relayworld.ZONES:
            name = f"new-{zone}"
            world.add_gateway(name, zone)
            gateway = world.gateways[name]
            gateway.watch.choice.seeds = [world.processes["replica-1"].address]
            context.new.append(gateway)

    context.new = []
    world.loop.run_until_complete(start())


@then("each asks a process of its own zone after {seconds:g} s")
def own_zone(context, seconds):
    context.go(seconds)
    for gateway in context.new:
        process = asked(context.world, gateway)
        assert process.zone == gateway.settings.availability_zone, process.name
        assert gateway.view.version == context.world.acked[-1][1]


@when("{seconds:g} s go by")
def go_by(context, seconds):
    context.leader = context.world.leader().name
    context.answered = []
    for process in context.world.processes.values():
        count_answers(context.answered, process)
    context.go(seconds)


def count_answers(answered, process):
    """Note what a process is asked, and by whom."""
    right = process.desk.answer

    async def answer(question):
        answered.append((process.name, type(question)))
        return await right(question)

    process.desk.answer = answer


@then("the leader has answered at most half of the questions of gateways")
def answered(context):
    of_gateways = [
        who for who, kind in context.answered if kind is watching.Watch
    ]
    leaders = [who for who, _ in context.answered if who == context.leader]
    assert 0 < len(leaders) <= len(of_gateways) / 2, (
        len(leaders),
        len(of_gateways),
    )


# --- pages -------------------------------------------------------------------


@given("a book of {count:d} endpoints")
def book_of(context, count):
    context.book = newsbook.NewsBook()
    context.book.begin("e/1")
    for number in range(count):
        context.book.put_endpoint(
            registry.Announcement(
                endpoint=f"e{number}", incarnation=1, seq=1, service="s"
            )
        )


@when("somebody who knows nothing asks and every second answer is lost")
def asks_in_pages(context):
    epoch, mark = "", 0
    context.known, context.sizes = set(), []
    for number in range(6):
        page = context.book.page(epoch, mark)
        context.sizes.append(len(page.changes.announcements))
        if number % 2:
            continue
        epoch, mark = page.epoch, page.registry_mark
        context.known |= {a.endpoint for a in page.changes.announcements}
        assert page.changes.more == (len(context.known) < 1300)


@then("it knows all of them after {answers:d} answers of at most {most:d}")
def knows_all(context, answers, most):
    assert len(context.sizes) == answers
    assert max(context.sizes) <= most, context.sizes
    assert len(context.known) == 1300, len(context.known)


# --- all of control starts again ---------------------------------------------


@given("{count:d} endpoints that are known")
def known_endpoints(context, count):
    for number in range(count):
        context.world.announce(f"e{number}")
    context.go(0.5)


@when("all processes of control start again at once")
def all_start_again(context):
    world = context.world
    world.renew_endpoints = lambda: None
    for process in world.processes.values():
        process.stop()

    async def start():
        for process in world.processes.values():
            process.start()

    world.loop.run_until_complete(start())
    world.no_leader_until = world.now + 0.4


@then("each gateway uses all {count:d} endpoints all the while")
def all_the_while(context, count):
    for _ in range(15):
        context.go(0.1)
        for name, gateway in context.world.gateways.items():
            found = gateway.endpoints.of_service("s")
            assert len(found) == count, (name, len(found))


@then(
    "a new leader knows all {count:d} after {seconds:g} s although none"
    " announces itself"
)
def leader_knows(context, count, seconds):
    del seconds
    registered = context.world.leader().hub.registry.registrations
    assert len(registered) == count, sorted(registered)
