"""Steps for crashes of endpoints."""

import asyncio
import subprocess
import sys

from behave import then
from behave import when

from _coltsfootroad.core import fingerprints
from _coltsfootroad.core import registry
from _coltsfootroad.gateway import endpointprobe
from features.soak import unanswered
from features.steps import gateway_steps

# Margin after a probe's time-out; its result is known by then.
SETTLED_S = 0.15
REQUEST = {
    "method": "POST",
    "host": "shop.example",
    "target": "/stream/x?q=1",
    "workspace": "acme",
    "body": b"body",
}
CHANGED = {
    "method": ("method", "PUT"),
    "host": ("host", "other.example"),
    "path": ("target", "/stream/y?q=1"),
    "query": ("target", "/stream/x?q=2"),
    "workspace": ("workspace", "emca"),
    "body": ("body", b"bodz"),
}


async def until_in_flight(endpoint, count: int) -> None:
    """Wait until an endpoint has received some requests."""
    while len(endpoint.seen) < count:
        await asyncio.sleep(0.01)


async def perform(bed, endpoint, act: str) -> None:
    """End an endpoint or break its connections."""
    if act == "leave, then end":
        bed.announce(endpoint, state=registry.EndpointState.LEAVING, seq=2)
    elif act == "sign off, then end":
        bed.gateway.learn_endpoint(
            registry.sign_off_announcement(endpoint.name, 1)
        )
    elif act == "restart under its name":
        bed.announce(endpoint, incarnation=2)
    if act in ("crash", "leave, then end", "sign off, then end"):
        endpoint.server.close()
    endpoint.break_connections()


@when("an endpoint with {count:d} requests in flight will {act}")
def ends_in_flight(context, count, act):
    async def story(bed):
        endpoint = await bed.add("e1", "hang")
        asking = [
            asyncio.ensure_future(bed.ask("/unsafe/x")) for _ in range(count)
        ]
        await until_in_flight(endpoint, count)
        with unanswered.listener() as address:
            if act == "lose its network":
                bed.announce(endpoint, seq=2, address=address)
            await perform(bed, endpoint, act)
            await asyncio.gather(*asking)
            await asyncio.sleep(endpointprobe.PROBE_TIMEOUT_S + SETTLED_S)
        context.crashed = bed.gateway.crash_detector.crashed
        context.lost = bed.gateway.lost_in_crashes

    gateway_steps.run_with_bed(context, story)


@then("it counts as crashed: {yes}, with {suspects:d} suspects")
def counts_as_crashed(context, yes, suspects):
    assert len(context.crashed) == (yes == "yes"), context.crashed
    assert context.lost == suspects, context.lost


@when("two requests differ only in their {part}")
def differ(context, part):
    name, value = CHANGED[part]
    context.pair = [
        fingerprints.compute(**REQUEST),
        fingerprints.compute(**(REQUEST | {name: value})),
    ]


@when("the end of one request's path is the start of another's body")
def shift_path_boundary(context):
    context.pair = [
        fingerprints.compute(**(REQUEST | {"target": "/ab", "body": b"c"})),
        fingerprints.compute(**(REQUEST | {"target": "/a", "body": b"bc"})),
    ]


@then("their fingerprints differ")
def fingerprints_differ(context):
    first, second = context.pair
    assert first != second


@when("a request is fingerprinted in two processes")
def two_processes(context):
    program = (
        "from _coltsfootroad.core import fingerprints\n"
        f"print(fingerprints.compute(**{REQUEST!r}).text)"
    )
    context.texts = [
        subprocess.run(
            [sys.executable, "-c", program],
            check=True,
            capture_output=True,
            text=True,
        ).stdout.strip()
        for _ in range(2)
    ]


@then("the fingerprints are equal")
def equal(context):
    expected = fingerprints.compute(**REQUEST).text
    assert context.texts == [expected, expected], context.texts
