"""Steps on the choice between plain endpoints, without a network."""

import asyncio
import json
import time

from behave import given
from behave import then
from behave import when

from _coltsfootroad.core import callrecords
from _coltsfootroad.core.placement import work as work_lib
from _coltsfootroad.shell import clocks
from features.support import callworld
from features.support import gatewaybed

PLAYED_S = 20.0


def play(context, **options) -> None:
    """Run the calls with and without records."""
    context.world = callworld.CallWorld(context.seed, **options)
    context.plain = callworld.CallWorld(context.seed, learns=False, **options)
    for world in (context.world, context.plain):
        world.play(PLAYED_S)


@given("three endpoints with 8 calls per second, seed {seed:d}")
def make_world(context, seed):
    context.seed = seed
    context.world = callworld.CallWorld(seed)
    context.gateway = context.world.gateways[0]


@when("nothing fails")
def play_equal(context):
    play(context)


@when("a, b and c fail {share:g} of their calls")
def play_all_failing(context, share):
    play(context, failing=dict.fromkeys(callworld.NAMES, share))


@when("a, b and c are {factor:d} times slower")
def play_all_slow(context, factor):
    play(context, slow=dict.fromkeys(callworld.NAMES, float(factor)))


@when("b is {factor:d} times slower")
def play_slow(context, factor):
    play(context, slow={"b": float(factor)})


@when("b fails {share:g} of its calls")
def play_failing(context, share):
    play(context, failing={"b": share})


@then("all calls go where they go without records")
def same_endpoints(context):
    assert len(context.world.sent) > 100
    assert context.world.sent == context.plain.sent


@then(
    "from {since:g} s on it gets at most {share:g} of the calls, {plain:g}"
    " without records"
)
def at_most_share(context, since, share, plain):
    found = context.world.share("b", since)
    assert found <= share, found
    assert context.plain.share("b", since) >= plain
    assert context.world.served >= context.plain.served


@then("each retry went to another endpoint")
def retried_elsewhere(context):
    assert context.world.retried
    assert all(len(set(names)) == 2 for names in context.world.retried)


@when("a call failed at a while b and c are ejected")
def eject(context):
    for name in ("b", "c"):
        context.gateway.endpoints.on_failure(name, 1.0, True)


@then("it is sent to b or c next")
def sent_elsewhere(context):
    choice = context.gateway.chooser.choose(
        callworld.SERVICE, None, {"a"}, 1.01
    )
    assert choice.endpoint.name in ("b", "c")


@when(
    "{known:d} calls took {seconds:g} s and {load:d} are in flight at each"
    " endpoint"
)
def record_calls(context, known, seconds, load):
    gateway = context.gateway
    for _ in range(known):
        endpoint = gateway.endpoints.known["a"]
        gateway.chooser.calls.on_response(endpoint, seconds, 1.0)
    for name in callworld.NAMES:
        for _ in range(load):
            gateway.load.add(work_lib.WorkItem(endpoint=name, sent_at=1.0))
    context.now = 1.1


@when(
    "a {kind} request with {left:d} ms left meets a gateway that knows 8 calls"
    " of {known:g} s"
)
def ask(context, kind, left, known):
    async def run():
        bed = gatewaybed.Bed()
        try:
            act = "stream" if kind == "stream" else "answer"
            endpoint = await bed.add("e1", act)
            known_endpoint = bed.gateway.endpoints.known["e1"]
            now = clocks.boot_time()
            for _ in range(8):
                bed.gateway.pacing.calls.on_response(known_endpoint, known, now)
            started = time.monotonic()
            context.answer = await bed.ask(f"/{kind}/x", deadline_ms=left)
            context.took_s = time.monotonic() - started
            context.seen = endpoint.seen
        finally:
            await bed.close()

    asyncio.run(run())


@then(
    "the caller gets {status:d} within {most:g} s and {count:d} sends are made"
)
def check_answer(context, status, most, count):
    assert context.answer.status == status, context.answer
    assert context.took_s < most, context.took_s
    assert len(context.seen) == count
    if status == 503:
        failure = json.loads(context.answer.body)["error"]
        assert failure["code"] == "deadline_unreachable", failure
        assert failure["ran"] == "no", failure
        retry_after_s = float(context.answer.headers["retry-after"])
        assert 0 < retry_after_s <= 0.4 / 3 + 0.01, retry_after_s


@when("{seconds:g} s pass without calls")
def pass_time(context, seconds):
    context.now += seconds


@then("a call takes at least {least:g} s")
def check_least(context, least):
    choice = context.gateway.chooser.choose(
        callworld.SERVICE, None, set(), context.now
    )
    assert abs(choice.least_s - least) < 0.001, choice.least_s


@when("b restarts")
def restart(context):
    gateway = context.world.gateways[0]
    before = gateway.chooser.calls.factors(
        list(gateway.endpoints.known.values()), context.world.now
    )
    assert before[1] == callrecords.FAULTY_FACTOR, before
    gateway.endpoints.learn(
        callworld.announcement("b", incarnation=2), context.world.now
    )
    context.gateway = gateway


@then("its factor is 1")
def check_factor(context):
    found = context.gateway.chooser.calls.factors(
        list(context.gateway.endpoints.known.values()), context.world.now
    )
    assert found == [1.0, 1.0, 1.0], found
