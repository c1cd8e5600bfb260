"""Steps for guarantees that a change of one line could break."""

import asyncio
from unittest import mock

import attrs
from behave import then
from behave import when
from expression import Ok

from _coltsfootroad.control import watching
from _coltsfootroad.core import routes
from _coltsfootroad.core.placement import work as work_lib
from _coltsfootroad.gateway import sendbudget
from _coltsfootroad.gateway import watch as watch_lib
from _coltsfootroad.shell import clocks
from benchmarks import mixes
from features.steps import gateway_steps
from features.support import gatewaybed
from features.support import relayworld

# Engines that hold 50,000 tokens each beside their reserve.
ENGINE = mixes.spec(8, 90_000, 46)
PROMPT = "120000,400"
RELEASED_WITHIN_S = 1.0


class GrantingEndpoint(gatewaybed.ScriptedEndpoint):
    """An engine that grants all memory and streams all responses."""

    async def serve_one(self, reader, writer):
        """Respond to memory requests and prompts by their paths."""
        seen = await self.read_request(reader)
        self.seen.append(seen)
        is_memory = "/v1/memory/" in seen.line
        act = self.do_answer if is_memory else self.do_stream
        return await act(seen.headers, reader, writer)


def memory_requests(endpoints, method: str) -> set[tuple[str, str]]:
    """Return endpoint and path of the memory requests with a method."""
    return {
        (endpoint.name, seen.line.split()[1])
        for endpoint in endpoints
        for seen in endpoint.seen
        if seen.line.startswith(method + " /v1/memory/")
    }


@when("a prompt that exceeds one engine's memory is served")
def long_prompt(context):
    async def story(bed):
        shop = gatewaybed.config().services[0]
        engines = (attrs.evolve(shop, engine=ENGINE),)
        bed.gateway.adopt(gatewaybed.config(version=2, services=engines))
        endpoints = [
            await bed.take(GrantingEndpoint(f"e{number}", []))
            for number in range(4)
        ]
        tokens = bed.gateway.dialect.names.tokens
        context.answer = await bed.ask("/stream/x", extra={tokens: PROMPT})
        # Memory is released in the background, before or after the response.
        end = clocks.boot_time() + RELEASED_WITHIN_S
        while clocks.boot_time() < end:
            context.reserved = memory_requests(endpoints, "PUT")
            context.released = memory_requests(endpoints, "DELETE")
            if context.released == context.reserved:
                break
            await asyncio.sleep(0.01)

    gateway_steps.run_with_bed(context, story)


@then("each reservation that was made is released")
def all_released(context):
    assert context.answer.status == 200, context.answer
    assert context.reserved, "no memory was reserved"
    assert context.released == context.reserved, context.released


class SlowLeader:
    """Responds to a watch after a delay, without changes."""

    def __init__(self, delay_s: float):
        self.delay_s = delay_s

    async def call(self, _address, _message, _timeout_s):
        """Respond after the delay."""
        await asyncio.sleep(self.delay_s)
        return Ok(watching.News(epoch="e", registry_mark=1))


@when("a leader responds to a watch {delay:g} s after its request")
def slow_watch(context, delay):
    async def story(bed):
        watch = watch_lib.Watch(bed.gateway)
        watch.choice.learn_seeds(("127.0.0.1:1",))
        watch.channels = SlowLeader(delay)
        bed.prove(age_s=60.0)
        assert await watch.poll()
        context.age_s = bed.gateway.view.age_s(clocks.boot_time())

    gateway_steps.run_with_bed(context, story)


@then("the proof is at least {least:g} s old")
def proof_age(context, least):
    assert least <= context.age_s < 60.0, context.age_s


@when("a stream pauses for {pause:g} s at its endpoint while {hindrance}")
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

    gateway_steps.run_with_bed(context, story)


@when(
    "a stream pauses for {pause:g} s at an endpoint whose restart"
    " becomes known {after:g} s after the send"
)
def restart_known_later(context, pause, after):
    async def story(bed):
        endpoint = await bed.add("e1", "pause_twice")
        endpoint.pause_s = pause
        asked = asyncio.ensure_future(bed.ask("/stream/x"))
        await asyncio.sleep(after)
        bed.announce(endpoint, incarnation=2)
        other = await bed.add("e2", "stream")
        context.answer = await asked
        context.seen = endpoint.seen + other.seen

    gateway_steps.run_with_bed(context, story)


@when("the proof expires while a first endpoint loses a safe request")
def proof_expires(context):
    async def story(bed):
        endpoints = [await bed.add(name, "reset") for name in ("e1", "e2")]
        for endpoint in endpoints:
            endpoint.do_reset = expiring_proof(bed, endpoint.do_reset)
        context.answer = await bed.ask("/safe/x")
        context.seen = [s for e in endpoints for s in e.seen]

    gateway_steps.run_with_bed(context, story)


def expiring_proof(bed, act):
    """Return an act during which the gateway's proof expires."""

    async def act_after_expiry(*arguments):
        bed.prove(age_s=60.0)
        return await act(*arguments)

    return act_after_expiry


@then("the second endpoint gets no request")
def only_first(context):
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

    gateway_steps.run_with_bed(context, story)


def restart(bed, endpoint) -> None:
    """Announce a later incarnation under the same name."""
    bed.announce(endpoint, incarnation=2)


@then("the answer came within {most:g} s")
def came_within(context, most):
    assert context.took_s <= most, context.took_s


@when(
    "a prompt is held for {held:g} s beside {late:d} late ones, and"
    " {slots:d} batch slots are free"
)
def held_beside_late(context, held, late, slots):
    async def story(bed):
        endpoint = await bed.take(GrantingEndpoint("e1", []))
        shop = gatewaybed.config().services[0]
        spec = mixes.spec(slots, 450_000, 46)
        known = gatewaybed.config(
            version=2, services=(attrs.evolve(shop, engine=spec),)
        )
        for _ in range(late):
            work = work_lib.WorkItem(
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
        bed.gateway.start_up.record_registry_age(0.3, clocks.boot_time())
        context.answer = await asking

    gateway_steps.run_with_bed(context, story)


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


@then("no gateway counted the version before it as current meanwhile")
def not_current(context):
    assert max(context.proved) <= relayworld.ONE_WAY_DELAY_S * 4, context.proved


@when("the retry budget refuses each send of a safe request")
def budget_refuses(context):
    async def story(bed):
        endpoints = [await bed.add(f"e{n}", "answer") for n in range(4)]
        with mock.patch.object(
            sendbudget.SendBudget, "charge", return_value=False
        ):
            await bed.ask("/safe/x")
        context.seen = [seen for e in endpoints for seen in e.seen]
        context.ejected = [
            known.name
            for known in bed.gateway.endpoints.known.values()
            if known.ejected_until > 0
        ]

    gateway_steps.run_with_bed(context, story)


@then("no endpoint was sent anything, and none is ejected")
def none_ejected(context):
    assert not context.seen, context.seen
    assert not context.ejected, context.ejected
