"""Steps on requests that crash the endpoints that run them."""

import asyncio
from unittest import mock

from behave import given
from behave import then
from behave import when

from _coltsfootroad.core import fingerprints
from _coltsfootroad.core import quarantine
from features.support import crashhistories
from features.support import crashworld
from features.support import gatewaybed

# Times of the poison of a trial, and how long it is waited for.
SLOW_S = 4.0
AT_ONCE_S = 0.1


@given("{gateways:d} gateways before {engines:d} engines")
def given_fleet(context, gateways, engines):
    manager = crashworld.fleet(gateways, engines)
    context.world, context.go = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)


@given(
    "{gateways:d} gateways before {engines:d} engines, which start again within"
    " {restart:g} s, seed {seed:d}"
)
def given_quick_fleet(context, gateways, engines, restart, seed):
    patched = mock.patch.object(crashworld, "RESTART_S", restart)
    patched.start()
    context.add_cleanup(patched.stop)
    manager = crashworld.fleet(gateways, engines, seed)
    context.world, context.go = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)


@when(
    "{poisons:d} poison requests come each {every:g} s beside {popular:d}"
    " popular ones"
)
def poisons_beside_popular(context, poisons, every, popular):
    crashhistories.play_beside_popular(
        context.world, context.go, poisons, every, popular
    )


@when(
    "a poison request comes each {every:g} s for {seconds:g} s, beside"
    " proper ones"
)
def poison(context, every, seconds):
    world = context.world

    async def story():
        world.spawn(world.load(crashhistories.PROPER_EVERY_S))
        world.spawn(world.repeat_poison(crashworld.POISON, every))
        await world.run(seconds)

    context.go(story())


@when("a poison request comes each {every:g} s for {seconds:g} s")
def poison_alone(context, every, seconds):
    world = context.world

    async def story():
        world.spawn(world.repeat_poison(crashworld.POISON, every))
        await world.run(seconds)

    context.go(story())


@when("{poisons:d} poison requests come each {every:g} s beside {trouble}")
def poisons_beside(context, poisons, every, trouble):
    crashhistories.play(context.world, context.go, poisons, every, trouble)


@when("proper requests come for {seconds:g} s beside {trouble}")
def proper_beside(context, seconds, trouble):
    assert seconds == crashhistories.PLAY_S
    crashhistories.play(context.world, context.go, 0, 1.0, trouble)


@then(
    "it reaches engines at most {count:d} times more than {seconds:g} s after"
    " its third crash"
)
@then(
    "each reaches engines at most {count:d} times more than {seconds:g} s"
    " after its third crash"
)
def bounded(context, count, seconds):
    assert count == crashworld.ALLOWED_RETRIES
    assert seconds == crashworld.CONTACT_S
    world = context.world
    assert any(world.crashed.values()), "nothing crashed"
    world.check_poisons()


@then("at most {most:d} engines end under each")
def engines_end(context, most):
    for body, crashed in context.world.crashed.items():
        assert len(crashed) <= most, (body, len(crashed))


@then("no proper request is in quarantine")
def none_proper(context):
    crashhistories.check_none_proper(context.world)


@then("{share:d} in 100 proper requests are answered")
def answered(context, share):
    proper = context.world.proper
    assert proper["answered"] * 100 >= share * proper["ended"], proper


@then(
    "no proper request is in quarantine where {gateways:d} gateways share one"
)
def none_where_shared(context, gateways):
    del context
    crashhistories.answered_between_crashes(gateways)


# --- trials ------------------------------------------------------------------


@then("{count:d} trials were started and at most {most:d} engines ended")
def trials_started(context, count, most):
    world = context.world
    (entry,) = world.state.quarantine.entries.values()
    assert entry.trials == count == quarantine.MAX_TRIALS, entry
    assert entry.trial_at is None
    crashed = world.crashed[crashworld.POISON]
    assert len(crashed) <= most, len(crashed)
    world.check_poisons()


@when("a poison request is fixed {seconds:g} s after its third crash")
def is_fixed(context, seconds):
    world = context.world
    body = crashworld.POISON
    context.answers = []

    async def story():
        task = asyncio.ensure_future(world.repeat_poison(body, 0.2))
        while not world.state.quarantine.entries:
            await world.run(0.05)
        context.began_at = world.now
        await world.run(seconds)
        task.cancel()
        world.fixed = True
        while world.now < context.began_at + 2 * quarantine.FIRST_TRIAL_DELAY_S:
            answer = await world.ask(body, world.poisons[body])
            context.answers.append((world.now, answer.status))
            await world.run(0.2)

    context.go(story())


@then("it is refused for {seconds:g} s in all, and answered from then on")
def refused_then_answered(context, seconds):
    assert seconds == quarantine.FIRST_TRIAL_DELAY_S
    until = context.began_at + seconds
    early = {status for at, status in context.answers if at < until}
    late = {status for at, status in context.answers if at > until + 1.0}
    assert early == {503}, early
    assert late == {200}, late
    assert not context.world.state.quarantine.entries


@then("a new leader that knows no crash answers it as well")
def new_leader_answers(context):
    world = context.world
    body = crashworld.POISON

    async def story():
        await crashhistories.lead_anew(world)
        await world.run(5.0)
        engine = next(iter(world.engines.values()))
        asked = asyncio.ensure_future(world.ask(b"other"))
        await world.run(0.05)
        world.crash(engine)
        await asked
        await world.run(1.0)
        assert not world.state.quarantine.entries
        answer = await world.ask(body, world.poisons[body])
        assert answer.status == 200, answer.status

    context.go(story())


# --- what is stopped and refused ----------------------------------------------


@when("a request that runs at {count:d} engines enters quarantine")
def enters_while_running(context, count):
    world = context.world
    body = b"slow"
    world.serve_s[body] = SLOW_S

    async def story():
        asked = [
            asyncio.ensure_future(world.ask(body, "stream"))
            for _ in range(count)
        ]
        await world.run(0.5)
        assert not any(task.done() for task in asked)
        context.sent = world.arrivals[body]
        began_at = world.now
        crashhistories.put_in_quarantine(world, body, "stream")
        await asyncio.gather(*asked)
        context.took_s = world.now - began_at
        context.statuses = [task.result().status for task in asked]
        await world.run(1.0)
        context.sent_after = world.arrivals[body]

    context.go(story())


@then("all {count:d} callers get their answer within {seconds:g} s")
def stopped(context, count, seconds):
    assert seconds == AT_ONCE_S
    assert context.took_s <= seconds, context.took_s
    # Nothing proves that it has not run.
    assert context.statuses == [502] * count, context.statuses


@then("no engine is sent the request again")
def not_sent_again(context):
    assert context.sent_after == context.sent, context.sent_after


@when("a request in quarantine comes to each gateway")
def comes_to_each(context):
    world = context.world

    async def story():
        crashhistories.put_in_quarantine(world, b"refused")
        await world.run(0.5)
        context.answers = [
            await world.ask(b"refused", gateway=gateway)
            for gateway in world.gateways.values()
        ]
        other = gatewaybed.config(
            version=9, holders=crashworld.holders("acme", "other")
        )
        for gateway in world.gateways.values():
            gateway.adopt(other)
        context.other = await world.ask(
            b"refused", key=crashworld.key_of("other")
        )
        context.elsewhere = await world.ask(b"refused", "unsafe")

    context.go(story())


@then("each answers 503 at once, with a time to come back")
def answers_503(context):
    assert context.answers
    for answer in context.answers:
        assert answer.status == 503, answer.status
        assert b'"ran": "no"' in answer.body, answer.body
        assert float(answer.headers["Retry-After"]) > 1.0, answer.headers
    assert context.world.arrivals[b"refused"] == 2, context.world.arrivals


@then("the same request of another workspace is answered")
def other_workspace(context):
    assert context.other.status == 200, context.other.status


@then("the same body on another path is answered")
def other_path(context):
    assert context.elsewhere.status == 200, context.elsewhere.status


@when("{count:d} requests of other sizes come beside one in quarantine")
def other_sizes(context, count):
    world = context.world

    async def story():
        crashhistories.put_in_quarantine(world, b"refused")
        await world.run(0.5)
        with mock.patch.object(
            fingerprints, "compute", wraps=fingerprints.compute
        ) as context.computed:
            for number in range(count):
                await world.ask(b"another size %d" % number)

    context.go(story())


@then("no digest was computed")
def no_digest(context):
    assert context.computed.call_count == 0, context.computed.call_count


@when('the defect "{label}" is in the quarantine')
def planted(context, label):
    context.defect = crashhistories.DEFECTS[label]


@then("a history of crashes fails")
def history_fails(context):
    (owner, name, wrong), history = context.defect
    with mock.patch.object(owner, name, wrong):
        try:
            history()
        except AssertionError:
            return
    raise AssertionError("nothing failed")
