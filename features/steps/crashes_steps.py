"""Steps on crashes of endpoints."""

import asyncio
import contextlib
import socket
import subprocess
import sys

from behave import then
from behave import when

from _coltsfootroad.core import fingerprints
from _coltsfootroad.core import registry
from _coltsfootroad.gateway import endpointprobe
from features.steps import gateway_steps

# A probe waits and connects; nothing is left to find out after this time.
SETTLED_S = 0.15
# Connections that fill the queue of a listener with the shortest backlog.
FULL_BACKLOG = 4
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


@contextlib.contextmanager
def silent_listener():
    """Yield an address at which connection attempts get no answer."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        address = listener.getsockname()
        for _ in range(FULL_BACKLOG):
            raw = stack.enter_context(socket.socket())
            raw.setblocking(False)
            raw.connect_ex(address)
        yield f"{address[0]}:{address[1]}"


async def until_in_flight(endpoint, count: int) -> None:
    """Wait until an endpoint has read some requests."""
    while len(endpoint.seen) < count:
        await asyncio.sleep(0.01)


async def act_out(bed, endpoint, act: str) -> None:
    """Let an endpoint end or break its connections."""
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
        with silent_listener() as address:
            if act == "lose its network":
                bed.announce(endpoint, seq=2, address=address)
            await act_out(bed, endpoint, act)
            await asyncio.gather(*asking)
            await asyncio.sleep(endpointprobe.PROBE_TIMEOUT_S + SETTLED_S)
        context.crashed = bed.gateway.crash_detector.crashed
        context.lost = bed.gateway.lost_in_crashes

    gateway_steps.play(context, story)


@then("it counts as crashed: {yes}, with {suspects:d} suspects")
def counts_as_crashed(context, yes, suspects):
    assert len(context.crashed) == (yes == "yes"), context.crashed
    assert context.lost == suspects, context.lost


@when("two requests differ in nothing but their {part}")
def differ(context, part):
    name, value = CHANGED[part]
    context.pair = [
        fingerprints.compute(**REQUEST),
        fingerprints.compute(**(REQUEST | {name: value})),
    ]


@when("the end of the path of a request is the start of another's body")
def run_into_each_other(context):
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
