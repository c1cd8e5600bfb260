"""Steps on promises of the gateway that a single line could break."""

import asyncio
from unittest import mock

import attrs
from behave import then
from behave import when
from expression import Ok

from _coltsfootroad.control import watching
from _coltsfootroad.core import routes
from _coltsfootroad.core import work as work_lib
from _coltsfootroad.gateway import watch as watch_lib
from _coltsfootroad.shell import clocks
from benchmarks import mixes
from features.steps import gateway_steps
from features.support import gatewaybed
from features.support import relayworld

# Engines that hold 50,000 tokens each beside what is kept free.
ENGINE = mixes.spec(8, 90_000, 46)
PROMPT = "120000,400"
FREED_WITHIN_S = 1.0


class TakingEndpoint(gatewaybed.ScriptedEndpoint):
    """An engine that takes every order and streams every answer."""

    async def serve_one(self, reader, writer):
        """Answer orders and prompts by their paths."""
        seen = await self.read_request(reader)
        self.seen.append(seen)
        order = "/v1/memory/" in seen.line
        act = self.do_answer if order else self.do_stream
        return await act(seen.headers, reader, writer)


def orders(endpoints, method: str) -> set[tuple[str, str]]:
    """Return which tickets were ordered with a method, and where."""
    return {
        (endpoint.name, seen.line.split()[1])
        for endpoint in endpoints
        for seen in endpoint.seen
        if seen.line.startswith(method + " /v1/memory/")
    }


@when("a prompt above one engine's memory is served")
def long_prompt(context):
    async def story(bed):
        shop = gatewaybed.config().services[0]
        engines = (attrs.evolve(shop, engine=ENGINE),)
        bed.gateway.adopt(gatewaybed.config(version=2, services=engines))
        endpoints = [
            await bed.take(TakingEndpoint(f"e{number}", []))
            for number in range(4)
        ]
        tokens = bed.gateway.dialect.names.tokens
        context.answer = await bed.ask("/stream/x", extra={tokens: PROMPT})
        # The memory is freed beside the answer, before or after its end.
        end = clocks.boot_time() + FREED_WITHIN_S
        while clocks.boot_time() < end:
            context.taken = orders(endpoints, "PUT")
            context.freed = orders(endpoints, "DELETE")
            if context.freed == context.taken:
                break
            await asyncio.sleep(0.01)

    gateway_steps.play(context, story)


@then("each ticket that was taken is given back")
def given_back(context):
    assert context.answer.status == 200, context.answer
    assert context.taken, "no memory was set aside"
    assert context.freed == context.taken, context.freed


class SlowLeader:
    """Answers a watch after a while, with nothing new."""

    def __init__(self, delay_s: float):
        self.delay_s = delay_s

    async def call(self, _address, _message, _timeout_s):
        """Answer late."""
        await asyncio.sleep(self.delay_s)
        return Ok(watching.News(epoch="e", registry_mark=1))


@when("a leader answers a watch {delay:g} s after it was asked")
def slow_watch(context, delay):
    async def story(bed):
        watch = watch_lib.Watch(bed.gateway)
        watch.choice.learn_seeds(("127.0.0.1:1",))
        watch.channels = SlowLeader(delay)
        bed.prove(age_s=60.0)
        assert await watch.poll()
        context.age_s = bed.gateway.view.age_s(clocks.boot_time())

    gateway_steps.play(context, story)


@then("the proof is at least {least:g} s old")
def proof_age(context, least):
    assert least <= context.age_s < 60.0, context.age_s


@when("a stream pauses for {pause:g} s at its endpoint where {hindrance}")
def pausing_stream(context, pause, hindrance):
    async def story(bed):
        first = await bed.add("e1", "pause")
        first.pause_s = pause
        asked = asyncio.ensure_future(bed.ask("/stream/x"))
        await asyncio.sleep(pause / 4)
        endpoints = [first]
        if hindrance != "no other endpoint runs":
            endpoints.append(await bed.add("e2", "stream"))
        if "budget" in hindrance:
            budget = bed.gateway.budget("shop")
            budget.ratio = budget.slack = 0.0
        if "proved" in hindrance:
            bed.prove(age_s=60.0)
        context.answer = await asked
        context.seen = [s for e in endpoints for s in e.seen]

    gateway_steps.play(context, story)


@when(
    "a stream pauses for {pause:g} s at a start that is heard of {after:g} s"
    " after the send"
)
def start_heard_of_later(context, pause, after):
    async def story(bed):
        endpoint = await bed.add("e1", "pause_twice")
        endpoint.pause_s = pause
        asked = asyncio.ensure_future(bed.ask("/stream/x"))
        await asyncio.sleep(after)
        bed.announce(endpoint, incarnation=2)
        other = await bed.add("e2", "stream")
        context.answer = await asked
        context.seen = endpoint.seen + other.seen

    gateway_steps.play(context, story)


@when("the proof ends while a first endpoint loses a safe request")
def proof_ends(context):
    async def story(bed):
        endpoints = [await bed.add(name, "reset") for name in ("e1", "e2")]
        for endpoint in endpoints:
            endpoint.do_reset = proof_ending(bed, endpoint.do_reset)
        context.answer = await bed.ask("/safe/x")
        context.seen = [s for e in endpoints for s in e.seen]

    gateway_steps.play(context, story)


def proof_ending(bed, act):
    """Return an act during which the gateway's proof becomes too old."""

    async def ending(*arguments):
        bed.prove(age_s=60.0)
        return await act(*arguments)

    return ending


@then("the second endpoint gets nothing")
def nothing_second(context):
    assert len(context.seen) == 1, context.seen
    assert context.answer.status >= 500, context.answer


@when("a {kind} request is at an endpoint that restarts under its name")
@when("an {kind} request is at an endpoint that restarts under its name")
def restarts(context, kind):
    async def story(bed):
        acts = iter(["hang", "stream" if kind == "stream" else "answer"])
        endpoints = [await bed.add(name, "answer") for name in ("e1", "e2")]
        for endpoint in endpoints:
            endpoint.serve_one = gateway_steps.one_act(endpoint, acts)
        began = clocks.boot_time()
        asking = asyncio.ensure_future(bed.ask(f"/{kind}/x"))
        while not any(endpoint.seen for endpoint in endpoints):
            await asyncio.sleep(0.01)
        restart(bed, next(e for e in endpoints if e.seen))
        context.answer = await asking
        context.took_s = clocks.boot_time() - began
        context.seen = [s for e in endpoints for s in e.seen]

    gateway_steps.play(context, story)


def restart(bed, endpoint) -> None:
    """Let the gateway hear of a later start under the same name."""
    bed.announce(endpoint, incarnation=2)


@then("the answer came within {most:g} s")
def came_within(context, most):
    assert context.took_s <= most, context.took_s


@when(
    "a prompt is held for {held:g} s beside {late:d} that are late, and"
    " {places:d} places are free"
)
def held_beside_late(context, held, late, places):
    async def story(bed):
        endpoint = await bed.take(TakingEndpoint("e1", []))
        shop = gatewaybed.config().services[0]
        spec = mixes.spec(places, 450_000, 46)
        known = gatewaybed.config(
            version=2, services=(attrs.evolve(shop, engine=spec),)
        )
        for _ in range(late):
            work = work_lib.Work(
                endpoint=endpoint.name, sent_at=clocks.boot_time(), late=True
            )
            bed.gateway.load.add(work)
        bed.gateway.view.table = None
        bed.gateway.start_up.done = False
        tokens = bed.gateway.dialect.names.tokens
        asking = asyncio.ensure_future(
            bed.ask("/stream/x", extra={tokens: "2000,400"})
        )
        await asyncio.sleep(held)
        bed.gateway.adopt(known)
        bed.gateway.start_up.on_news(0.3, clocks.boot_time())
        context.answer = await asking

    gateway_steps.play(context, story)


@when(
    "a version comes that fails to apply, and {seconds:g} s later another one"
)
def fails_to_apply(context, seconds):
    world = context.world
    right = routes.RouteTable
    bad = len(world.acked) + 1

    def table_of(config):
        if config.version == bad:
            raise KeyError("a fault of the program")
        return right(config)

    async def story():
        with mock.patch.object(routes, "RouteTable", table_of):
            world.put_version()
            put_at = world.now
            await world.run(seconds)
            context.proved = [
                gateway.view.confirmed_at - put_at
                for gateway in world.gateways.values()
            ]
            world.put_version()
            await world.run(1.0)
        context.versions = [g.view.version for g in world.gateways.values()]

    context.go(story())


@then("all gateways serve the last version within {seconds:g} s")
def serve_last(context, seconds):
    assert seconds == 1.0
    wanted = len(context.world.acked)
    assert context.versions == [wanted] * len(
        context.versions
    ), context.versions


@then("none of them called the version before it current meanwhile")
def not_current(context):
    assert max(context.proved) <= relayworld.TRAVEL_S * 4, context.proved
