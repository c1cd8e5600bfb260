"""Steps on relays, in virtual time."""

from unittest import mock

from behave import given
from behave import then
from behave import when
from hypothesis import Phase

from _coltsfootroad.control import newsbook
from _coltsfootroad.control import watching
from _coltsfootroad.core import registry
from features.support import relayhistories
from features.support import relayworld


@then(
    "in {count:d} drawn histories no withdrawn version is served past its bound"
)
def histories(context, count):
    relayhistories.draw_histories(count)


@then(
    "after each of them everybody knows everything {seconds:g} s after it has calmed"
)
def calm(context, seconds):
    """Each history ends with that check; reaching this step is the proof."""
    assert seconds == relayhistories.CALM_S


@when('the defect "{label}" is planted')
def planted(context, label):
    context.defect = relayhistories.DEFECTS[label]


@then("a drawn or directed history fails")
def fails(context):
    owner, name, wrong = context.defect
    with mock.patch.object(owner, name, wrong):
        for history in relayhistories.DIRECTED:
            if relayhistories.broke(history):
                return
        phases = (Phase.generate,)
        assert relayhistories.broke(
            lambda: relayhistories.draw_histories(60, phases)
        ), "nothing failed"


# --- directed ----------------------------------------------------------------


@given("{count:d} gateways that watch, each asking a relay of its zone")
def watching_fleet(context, count):
    manager = relayhistories.fleet(count)
    context.world, context.go = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)
    for gateway in context.world.gateways.values():
        process = relayhistories.asked(context.world, gateway)
        assert process.zone == gateway.settings.availability_zone, process.name


@when("the relay of zone za {what}")
def happens(context, what):
    context.what = what


@then(
    "after {seconds:g} s the gateways of zone za have a proof of at most"
    " {age:g} s"
)
def left(context, seconds, age):
    relayhistories.left_in_time(context.what, seconds, age)


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
    context.lost = relayhistories.run_and_watch_members(world, context.go, 4.0)


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
        process = relayhistories.asked(context.world, gateway)
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
    """Note what a process is relayhistories.asked, and by whom."""
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
            found = gateway.endpoints.serving_endpoints("s")
            assert len(found) == count, (name, len(found))


@then(
    "a new leader knows all {count:d} after {seconds:g} s although none"
    " announces itself"
)
def leader_knows(context, count, seconds):
    del seconds
    registered = context.world.leader().hub.registry.registrations
    assert len(registered) == count, sorted(registered)
