"""Steps for gateways that know of evacuated zones."""

import asyncio
import json
from unittest import mock

import attrs
from behave import then
from behave import when

from _coltsfootroad.control import watching
from _coltsfootroad.core import endpointset
from _coltsfootroad.core import reachability
from _coltsfootroad.core import routeview
from _coltsfootroad.gateway import engines
from _coltsfootroad.gateway import evacuation
from _coltsfootroad.gateway import memoryreservation
from _coltsfootroad.gateway import upstream
from _coltsfootroad.shell import clocks
from features.support import gatewaybed

ORDER = watching.Changes(evacuated=("za",))
FORWARDED = {"X-Forwarded-By-Gateway": "g2", "X-Gateway-Routes-Version": "1"}
EXPIRED_S = 60.0
PROVED_AT = 100.0
PROBES_S = 2.0


class Zones:
    """A gateway with endpoints in zones za and zb, and an order to evacuate."""

    def __init__(self, bed: gatewaybed.Bed):
        self.bed = bed
        self.gateway = bed.gateway
        self.received_before: int | None = None
        self.za: list[gatewaybed.ScriptedEndpoint] = []
        self.zb: list[gatewaybed.ScriptedEndpoint] = []

    async def add(self, zone: str, *script: str) -> gatewaybed.ScriptedEndpoint:
        """Start an endpoint in a zone and announce it."""
        found = self.za if zone == "za" else self.zb
        endpoint = await self.bed.add(f"{zone}-{len(found)}", *script)
        self.bed.announce(endpoint, seq=2, availability_zone=zone)
        found.append(endpoint)
        return endpoint

    def known(self, endpoint) -> endpointset.KnownEndpoint:
        """Return what the gateway knows of an endpoint."""
        return self.gateway.endpoints.known[endpoint.name]

    def received(self) -> int:
        """Return how many requests the endpoints of zone za have received."""
        return sum(len(endpoint.seen) for endpoint in self.za)

    def order(self, changes: watching.Changes = ORDER) -> None:
        """Let the gateway learn orders."""
        self.received_before = self.received()
        self.learn(changes)

    def learn(self, changes: watching.Changes) -> None:
        """Let the gateway apply the response to a watch."""
        self.gateway.evacuation.learn(changes, clocks.boot_time())

    def while_connecting(self, *actions):
        """Return a patch that runs an action while each first send connects."""
        plain = upstream.EndpointPool.connect
        pending = list(actions)

        async def connect(pool, observer=None):
            stream = await plain(pool, observer)
            if pending:
                pending.pop(0)()
            return stream

        return mock.patch.object(upstream.EndpointPool, "connect", connect)

    def before_response(self, endpoint, action) -> None:
        """Run an action when an endpoint has received a request."""
        plain = endpoint.serve_one

        async def read_request(reader):
            seen = await gatewaybed.ScriptedEndpoint.read_request(
                endpoint, reader
            )
            # The request is counted before the order is known.
            asyncio.get_running_loop().call_soon(action)
            return seen

        endpoint.read_request = read_request
        endpoint.serve_one = plain

    def choose_first(self, *choices: engines.Choice):
        """Return a patch that makes these choices before any other."""
        plain = engines.Chooser.choose
        pending = list(choices)

        def choose(chooser, *arguments):
            return pending.pop(0) if pending else plain(chooser, *arguments)

        return mock.patch.object(engines.Chooser, "choose", choose)


def run_with_zones(context, story) -> None:
    """Run a coroutine function with endpoints in zones za and zb."""

    async def run():
        bed = gatewaybed.Bed()
        context.zones = Zones(bed)
        try:
            await story(context.zones)
            # Endpoints are probed for crashes while they still listen.
            if bed.gateway.tasks:
                await asyncio.wait(bed.gateway.tasks, timeout=PROBES_S)
            context.dump = json.loads(bed.gateway.dump())
        finally:
            await bed.close()

    asyncio.run(run())


@when("zones za and zb see {send}, {order}")
def send_is_made(context, send, order):
    story = {
        "a retry": retry,
        "a send to one zone after another": chased,
        "a resumed stream": resumed_stream,
        "a stream that runs in zone za": running_stream,
        "a send with a helper": with_helper,
        "a send held at startup": held_at_startup,
    }.get(send, first_send)
    extra = FORWARDED if "another gateway" in send else None
    context.path = "/stream/x" if "stream" in send else "/safe/x"

    async def ask(zones):
        zones.context = context
        context.answer = await zones.bed.ask(context.path, extra=extra)

    run_with_zones(context, lambda zones: story(zones, ask, order))


async def first_send(zones, ask, order):
    """Send to za where the order allows it, else to zb."""
    endpoint = await zones.add("za", "answer")
    if order == "withdrawn before":
        zones.order()
        zones.learn(watching.Changes(restored=("za",)))
        await ask(zones)
        assert zones.received() == 1
        zones.received_before = 1
        return
    await zones.add("zb", "answer")
    if order == "the order known before":
        zones.order()
        await ask(zones)
        return
    action = zones.order
    if order == "the proof expiring while it connects":
        action = lambda: zones.bed.prove(age_s=EXPIRED_S)  # noqa: E731
    chosen = engines.Choice(endpoint=zones.known(endpoint))
    with zones.while_connecting(action), zones.choose_first(chosen):
        await ask(zones)


async def chased(zones, ask, _order):
    """Evacuate each zone in turn while the request connects to it.

    A request may be sent four times; sends that are not written do not count.
    """
    endpoints = [await zones.add("za", "answer") for _ in range(4)]
    actions = []
    for number, endpoint in enumerate(endpoints):
        zone = f"za-{number}"
        zones.bed.announce(endpoint, seq=3, availability_zone=zone)
        changes = watching.Changes(evacuated=(zone,))
        actions.append(lambda changes=changes: zones.order(changes))
    await zones.add("zb", "answer")
    choices = [engines.Choice(endpoint=zones.known(e)) for e in endpoints]
    with zones.while_connecting(*actions), zones.choose_first(*choices):
        await ask(zones)


async def retry(zones, ask, order):
    """Let the first endpoint, in zb, fail after the order."""
    first = await zones.add("zb", "reset")
    await zones.add("za", "answer")
    if "all zones" not in order:
        await zones.add("zb", "answer")
    changes = watching.Changes(
        evacuated=("za", "zb") if "all zones" in order else ("za",)
    )
    zones.before_response(first, lambda: zones.order(changes))
    chosen = engines.Choice(endpoint=zones.known(first))
    with zones.choose_first(chosen):
        await ask(zones)


async def resumed_stream(zones, ask, _order):
    """Let the first endpoint, in za, end in the middle of the stream."""
    first = await zones.add("za", "die in event", "stream")
    await zones.add("za", "stream")
    await zones.add("zb", "stream")
    zones.before_response(first, lambda: order_after(zones, first))
    with zones.choose_first(engines.Choice(endpoint=zones.known(first))):
        await ask(zones)
    assert len(first.seen) == 1, first.seen


def order_after(zones, endpoint) -> None:
    """Give the order once an endpoint's request is counted."""
    assert len(endpoint.seen) == 1
    zones.order()


async def running_stream(zones, ask, _order):
    """Let a stream go on in za after the order."""
    first = await zones.add("za", "pause")
    first.pause_s = 0.3
    zones.before_response(first, lambda: order_after(zones, first))
    await ask(zones)


async def with_helper(zones, ask, _order):
    """Choose a helper in za."""
    helper = await zones.add("za", "answer")
    lead = await zones.add("zb", "answer")
    chosen = engines.Choice(
        endpoint=zones.known(lead), helpers=(zones.known(helper),)
    )
    with zones.while_connecting(zones.order), zones.choose_first(chosen):
        await ask(zones)
    (seen,) = lead.seen
    assert "x-reading-helpers" not in seen.headers, seen


async def held_at_startup(zones, ask, _order):
    """Hold the request until the gateway learns the routes and the order."""
    await zones.add("za", "answer")
    await zones.add("zb", "answer")
    gateway = zones.gateway
    gateway.start_up.done = False
    known, gateway.view.table = gateway.view.table, None

    def learn():
        zones.order()
        gateway.view.table = known
        gateway.start_up.record_registry_age(EXPIRED_S, clocks.boot_time())

    asyncio.get_running_loop().call_later(0.2, learn)
    await ask(zones)


@when("memory is reserved in zones za and zb, {order}")
def memory_is_reserved(context, order):
    async def story(zones):
        ends = [await zones.add(zone, "answer") for zone in ("za", "zb")]
        reservation = memoryreservation.MemoryReservation(
            zones.gateway,
            "r-1",
            "t-1",
            tuple(
                memoryreservation.MemoryShare(
                    endpoint=zones.known(endpoint), tokens=1_000
                )
                for endpoint in ends
            ),
        )
        if order == "the order known before":
            zones.order()
        if "connects" in order:
            with zones.while_connecting(zones.order):
                context.granted = await reservation.reserve()
        else:
            context.granted = await reservation.reserve()
        if "renewal" in order:
            zones.order()
            await reservation.request_all()
        await reservation.release()
        if "connects" not in order:
            # Not even a connection is opened.
            assert not zones.gateway.evacuation.stopped

    run_with_zones(context, story)


@then("the reservation is {granted}")
def reservation_is(context, granted):
    assert context.granted == (granted == "granted")


@when("only evacuated zones serve the service, and {case}")
def only_evacuated(context, case):
    async def story(zones):
        await zones.add("za", "answer")
        zones.order()
        if "partitioned" in case:
            reach = reachability.ServiceReach(partitioned_at=0.0)
            zones.gateway.reach.services["shop"] = reach
        began = clocks.boot_time()
        extra = FORWARDED if "forwards" in case else None
        context.pauses = []
        sleep = asyncio.sleep

        async def record_pause(seconds):
            context.pauses.append(seconds)
            await sleep(seconds)

        with mock.patch.object(asyncio, "sleep", record_pause):
            context.answer = await zones.bed.ask("/safe/x", extra=extra)
        context.took_s = clocks.boot_time() - began

    run_with_zones(context, story)


@then("no endpoint of zone za receives anything after the order")
def nothing_after_order(context):
    zones = context.zones
    assert zones.received_before is not None, "there was no order"
    assert zones.received() == zones.received_before, zones.received()


@then("no endpoint receives anything")
def nothing_received(context):
    assert not any(e.seen for e in context.zones.bed.endpoints)


@then("no endpoint of zone za counts as failed, and no send there is charged")
def not_failed(context):
    zones = context.zones
    for endpoint in zones.za:
        known = zones.known(endpoint)
        is_resumed = len(endpoint.script) > 1
        assert known.failures <= int(is_resumed), known
        assert not known.ejected_until, known
    retries = sum(len(e.seen) for e in zones.bed.endpoints) - 1
    sent = zones.gateway.budget("shop").sent
    assert sent == retries, (sent, retries)
    crashed = zones.gateway.crash_reporter.recent
    assert not crashed, crashed


@then("the caller is refused as not run")
def refused_as_not_run(context):
    failure = json.loads(context.answer.body)["error"]
    assert context.answer.status == 503, context.answer
    assert failure["ran"] == "no", failure


@then("the caller is refused with {code} without a pause")
def refused_with(context, code):
    failure = json.loads(context.answer.body)["error"]
    assert context.answer.status == 503, context.answer
    assert (failure["code"], failure["ran"]) == (code, "no"), failure
    # A pause of 0 s only yields to other tasks.
    assert not any(context.pauses), context.pauses


@then("it may retry after a third of its remaining time")
def retry_after_third(context):
    # The route's timeout of 2 s is below the caller's deadline.
    stated_s = float(context.answer.headers["retry-after"])
    assert (1.96 - context.took_s) / 3 <= stated_s <= 0.667, stated_s


@when("a gateway that knows {known} receives {responses}")
def gateway_receives(context, known, responses):
    view = routeview.RouteView(staleness_bound_s=4.5)
    context.evacuation = evacuation.Evacuation(endpointset.EndpointSet(), view)
    zones = tuple(zone_names(known))
    context.evacuation.learn(watching.Changes(evacuated=zones), PROVED_AT)
    view.confirm(PROVED_AT)
    for response in responses.split(", then "):
        words = response.split()
        received = watching.Changes(whole="whole" in words)
        for field in ("evacuated", "restored"):
            if field in words:
                zone = words[words.index(field) + 1]
                received = attrs.evolve(received, **{field: (zone,)})
        age_s = 1.0 if "older" in words else -1.0
        context.evacuation.learn(received, PROVED_AT - age_s)


@then("it sends nothing to {zones}")
def sends_nothing_to(context, zones):
    found = context.evacuation.endpoints.evacuated_zones
    assert found == set(zone_names(zones)), found


def zone_names(text: str) -> list[str]:
    """Return the zones in a table's cell, `-` for none."""
    return [] if text == "-" else text.split()


@then("the dump shows zone za, and 1 send that was stopped")
def dump_shows(context):
    found = context.dump["evacuation"]
    assert found["zones"] == ["za"], found
    assert found["stopped"] == {"evacuated": 1}, found


@then("the metrics show the same")
def metrics_show(context):
    text = context.zones.gateway.metrics.text().decode()
    wanted = {
        "colts_gateway_evacuated": 'availability_zone="za"',
        "colts_gateway_stopped_sends_total": 'reason="evacuated"',
    }
    for name, label in wanted.items():
        (line,) = [
            line for line in text.splitlines() if line.startswith(name + "{")
        ]
        assert label in line, line
        assert float(line.split()[-1]) == 1.0, line
