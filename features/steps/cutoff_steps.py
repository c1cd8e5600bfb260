"""Steps for gateways that are cut off from endpoints."""

import asyncio
import time
from unittest import mock

from behave import given
from behave import then
from behave import when
from tornado import httputil
from tornado import iostream

from _coltsfootroad.core import peerchoice
from _coltsfootroad.core import reachability
from _coltsfootroad.core import registry
from _coltsfootroad.core import sends
from _coltsfootroad.core.placement import workload
from _coltsfootroad.gateway import endpointprobe
from _coltsfootroad.gateway import names
from _coltsfootroad.gateway import peerforwarding
from _coltsfootroad.gateway import reachmonitor
from _coltsfootroad.gateway import responses
from _coltsfootroad.gateway import upstream
from features.support import gatewaybed
from features.support import gatewayfleet

SERVICE = "shop"
# Requests count from this long after a cut, and are sent for this long then.
SETTLED_S = 3.0
COUNTED_S = 1.5
BEFORE_CUT_S = 0.5
FAILED_ALLOWANCE = 10
FAILED_SHARE = 1 / 50
MIN_SERVED_RATIO = 2 / 3


def run_with_fleet(context, story) -> None:
    """Run a coroutine function with a running fleet in a new event loop."""

    async def run():
        fleet = gatewayfleet.Fleet()
        try:
            await fleet.start(context.gateways, context.endpoints)
            await story(fleet)
        finally:
            await fleet.close()
        context.tries = fleet.tries
        context.runs = fleet.runs()

    asyncio.run(run())


@given("{gateways:d} gateways and {endpoints:d} endpoints")
def fleet_of(context, gateways, endpoints):
    context.gateways = gateways
    context.endpoints = endpoints


@when("{count:d} gateways are cut off from all endpoints, their links {how}")
def cut_off(context, count, how):
    context.cut = {f"g{number}" for number in range(1, count + 1)}

    async def story(fleet):
        await fleet.load(BEFORE_CUT_S)
        fleet.cut(context.cut, how)
        cut_at = asyncio.get_running_loop().time()
        await fleet.load(SETTLED_S + COUNTED_S)
        context.counted_from = cut_at + SETTLED_S

    run_with_fleet(context, story)


def counted_tries(context, cut: bool) -> list[gatewayfleet.Try]:
    """Return the counted first tries at cut-off or at other gateways."""
    return [
        found
        for found in context.tries
        if found.at >= context.counted_from
        and (found.gateway in context.cut) == cut
    ]


def served_share(tries: list[gatewayfleet.Try]) -> float:
    """Return the share of tries that were served."""
    return sum(found.served for found in tries) / len(tries)


@then(
    "3 s later, first tries there are served two thirds as often as elsewhere"
)
def served_as_often(context):
    there = served_share(counted_tries(context, True))
    elsewhere = served_share(counted_tries(context, False))
    assert there >= MIN_SERVED_RATIO * elsewhere, (there, elsewhere)


@then("at most 10 and one in 50 of these first tries fail there")
def few_fail(context):
    there = counted_tries(context, True)
    failed = [found for found in there if not found.served]
    total = len(there) + len(counted_tries(context, False))
    allowed = FAILED_ALLOWANCE + FAILED_SHARE * total
    assert len(failed) <= allowed, failed


@then("no request that must not run twice ran twice")
def ran_once(context):
    repeated = [
        found
        for found in context.tries
        if found.kind == "unsafe" and context.runs[found.request_id] > 1
    ]
    assert not repeated, repeated


# --- single requests ------------------------------------------------------

GONE_S = 0.5
LEARNED_S = 2.5
# Long enough for a forwarded request to reach its endpoint.
IN_FLIGHT_S = 0.4


async def cut_and_learn(fleet, names, how: str) -> None:
    """Cut gateways off and wait until they and the others know it."""
    fleet.cut(names, how)
    await fleet.load(LEARNED_S, 0.2)


async def until_running(fleet, before: int = 0) -> gatewayfleet.PathEndpoint:
    """Wait until an endpoint has received a request; return the endpoint."""
    while True:
        for endpoint in fleet.endpoints.values():
            if len(endpoint.seen) > before:
                return endpoint
        await asyncio.sleep(0.01)


def forget_seen(fleet, act: str) -> None:
    """Forget earlier requests and set how endpoints handle later ones."""
    for endpoint in fleet.endpoints.values():
        endpoint.seen.clear()
        endpoint.runs.clear()
        endpoint.hung_up.clear()
        endpoint.act = act


def kill(gateway) -> None:
    """Close the listener and all connections, as the end of a process does."""
    gateway.front.server.stop()
    for exchange in list(gateway.running):
        exchange.connection.stream.close()


@when("every gateway is cut off and known to be, their links {how}")
def every_gateway(context, how):
    async def story(fleet):
        await fleet.load(BEFORE_CUT_S)
        await cut_and_learn(fleet, fleet.gateways, how)
        # A probe may be about to test the path again.
        context.last = [
            await fleet.ask(name, "unsafe") for name in fleet.gateways
        ]
        context.forwards = {
            name: dict(gateway.forwards)
            for name, gateway in fleet.gateways.items()
        }

    run_with_fleet(context, story)


@when("every gateway is cut off and does not know it of the others")
def every_gateway_unknown(context):
    async def story(fleet):
        await fleet.load(BEFORE_CUT_S)
        await cut_and_learn(fleet, fleet.gateways, "reset")
        before = {
            name: gateway.forwards["received"]
            for name, gateway in fleet.gateways.items()
        }
        with mock.patch.object(
            workload.Workload, "is_partitioned", return_value=False
        ):
            context.last = [await fleet.ask("g1", "unsafe")]
        context.received = {
            name: gateway.forwards["received"] - before[name]
            for name, gateway in fleet.gateways.items()
        }

    run_with_fleet(context, story)


@then("each request was forwarded to each other gateway at most once")
def one_hop(context):
    assert context.last[0].answer.status == 503, context.last
    assert context.received == {"g1": 0, "g2": 1, "g3": 1}, context.received


@then("a request gets 503 within {most:g} s and may return after {pause:g} s")
def refused_at_once(context, most, pause):
    for found in context.last:
        assert found.answer.status == 503, found
        assert found.took_s <= most, found
        assert float(found.answer.headers["retry-after"]) == pause, found


@then("no gateway forwarded a request that another one had forwarded")
def no_second_hop(context):
    sent = sum(f.get("sent", 0) for f in context.forwards.values())
    received = sum(f.get("received", 0) for f in context.forwards.values())
    own = len(context.tries)
    # Each request of a caller is forwarded to each other gateway at most once.
    assert received <= sent <= own * (len(context.forwards) - 1), (
        context.forwards,
        own,
    )


@when("gateway g1 is cut off and healed 2 s later, its links {how}")
def cut_and_heal(context, how):
    async def story(fleet):
        await fleet.load(BEFORE_CUT_S)
        fleet.cut({"g1"}, how)
        await fleet.load(2.0)
        context.forwarded = fleet.gateways["g1"].forwards["sent"]
        await fleet.heal({"g1"})
        await fleet.load(1.5)
        healed = fleet.gateways["g1"].forwards["sent"]
        context.last = [
            await fleet.ask("g1", kind) for kind in ("safe", "unsafe")
        ]
        context.after_heal = fleet.gateways["g1"].forwards["sent"] - healed

    run_with_fleet(context, story)


@then("1.5 s after the heal its requests go to endpoints directly again")
def direct_again(context):
    assert context.forwarded > 0
    assert context.after_heal == 0, context.after_heal
    assert all(found.served for found in context.last), context.last


@when(
    "the links of gateway g1 are silent for {seconds:g} s while connections open"
)
def silent_for(context, seconds):
    async def story(fleet):
        await fleet.load(BEFORE_CUT_S)
        links = [
            link for (name, _), link in fleet.links.items() if name == "g1"
        ]
        with mock.patch.object(
            reachability.Reachability, "record_failure", return_value=False
        ) as context.record_failure:
            for link in links:
                link.proxy.set_mode("silence")
            await fleet.load(seconds)
            for link in links:
                link.proxy.set_mode("")

    run_with_fleet(context, story)


@then("no failed connection was recorded")
def no_failure_recorded(context):
    assert not context.record_failure.called


@when("gateway g2 dies while it serves an unsafe request that g1 forwarded")
def target_dies(context):
    forward_and_kill(context, "unsafe", "hang")


@when("gateway g2 dies while it serves a stream that g1 forwarded")
def target_dies_in_stream(context):
    forward_and_kill(context, "stream", "stall")


def forward_and_kill(context, kind: str, act: str) -> None:
    """Kill g2 while an endpoint handles a request that g1 forwarded to it."""

    async def story(fleet):
        await cut_and_learn(fleet, {"g1"}, "reset")
        forget_seen(fleet, act)
        asking = asyncio.ensure_future(fleet.ask("g1", kind))
        await until_running(fleet)
        await asyncio.sleep(IN_FLIGHT_S)
        kill(fleet.gateways["g2"])
        context.answer = (await asking).answer

    run_with_fleet(context, story)


@then("the caller of g1 gets {status:d}")
def caller_of_g1(context, status):
    assert context.answer.status == status, context.answer


@then("the request ran once")
def request_ran_once(context):
    assert sum(context.runs.values()) == 1, context.runs


@then("the stream of g1's caller is truncated")
def stream_truncated(context):
    assert context.answer.status == 200, context.answer
    assert not context.answer.whole, context.answer


@when(
    "g1 forwards a request with a timeout of {ms:d} ms that it has held for {held:g} s"
)
def forwards_held(context, ms, held):
    async def story(fleet):
        await cut_and_learn(fleet, {"g1"}, "reset")
        forget_seen(fleet, "")
        gateway = fleet.gateways["g1"]
        forward = gateway.peers.choose

        def choose_late(*arguments):
            # The loop stands still, as on a machine that is busy.
            time.sleep(held)
            return forward(*arguments)

        with mock.patch.object(
            type(gateway.peers), "choose", lambda _, *a: choose_late(*a)
        ):
            await fleet.ask("g1", "safe", deadline_ms=ms)
        context.told_ms = [
            int(seen.headers["x-deadline-ms"])
            for endpoint in fleet.endpoints.values()
            for seen in endpoint.seen
        ]

    run_with_fleet(context, story)


@then("the endpoint is told at most {ms:d} ms")
def told_at_most(context, ms):
    assert context.told_ms, "no endpoint was asked"
    assert max(context.told_ms) <= ms, context.told_ms


@when("the caller of a request that g1 forwarded leaves")
def caller_leaves(context):
    async def story(fleet):
        await cut_and_learn(fleet, {"g1"}, "reset")
        forget_seen(fleet, "hang")
        port = int(fleet.gateways["g1"].settings.listen.rpartition(":")[2])
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(
            b"POST /safe/x HTTP/1.1\r\nHost: shop.example\r\n"
            b"X-Request-Id: leaver\r\nX-Deadline-Ms: 5000\r\n"
            b"X-Api-Key: key-of-acme\r\nContent-Length: 0\r\n\r\n"
        )
        endpoint = await until_running(fleet)
        writer.close()
        async with asyncio.timeout(GONE_S):
            await endpoint.hung_up.wait()
        context.left = True

    context.left = False
    run_with_fleet(context, story)


@then("the endpoint's connection is closed within {_} s")
def connection_closed(context, _):
    assert context.left


@when(
    "a caller that {has} sends a request to {gateway} as if it were forwarded"
)
def forged(context, has, gateway):
    async def story(fleet):
        await cut_and_learn(fleet, {"g1"}, "reset")
        forget_seen(fleet, "")
        version = "99" if has.startswith("needs") else "1"
        extra = {
            "X-Forwarded-By-Gateway": "g9",
            "X-Gateway-Routes-Version": version,
            "X-Gateway-Attempts-Left": "1",
        }
        options = {"key": "unknown"} if has == "has no key" else {}
        found = await fleet.ask(
            gateway.split()[-1], "safe", extra=extra, **options
        )
        context.answer = found.answer
        context.seen = [
            seen.headers
            for endpoint in fleet.endpoints.values()
            for seen in endpoint.seen
        ]

    run_with_fleet(context, story)


@then("the caller gets {status:d}")
def caller_gets(context, status):
    assert context.answer.status == status, context.answer


@then("no endpoint sees the headers of forwarded requests")
def no_hop_headers(context):
    for headers in context.seen:
        assert not headers.keys() & {
            "x-forwarded-by-gateway",
            "x-gateway-routes-version",
            "x-gateway-attempts-left",
        }, headers


@then("g2 was asked at most once within {seconds:g} s")
def asked_once(context, seconds):
    assert seconds == peerchoice.BACKOFF_S
    assert context.asked_g2 <= 1 + context.took_s // seconds


@when("gateway g1 forwards a request that no endpoint has got")
def forwards_first_send(context):
    async def story(fleet):
        await cut_and_learn(fleet, {"g1"}, "reset")
        forget_seen(fleet, "")
        budget = fleet.gateways["g1"].budget(SERVICE)
        before = budget.sent
        context.answer = (await fleet.ask("g1", "safe")).answer
        context.charged = budget.sent - before

    run_with_fleet(context, story)


@when("gateway g1 forwards a request after a send that an endpoint has got")
def forwards_retry(context):
    async def story(fleet):
        await fleet.load(BEFORE_CUT_S)
        forget_seen(fleet, "hang")
        budget = fleet.gateways["g1"].budget(SERVICE)
        before = budget.sent
        asking = asyncio.ensure_future(fleet.ask("g1", "safe"))
        await until_running(fleet)
        for endpoint in fleet.endpoints.values():
            endpoint.act = ""
        fleet.cut({"g1"}, "reset")
        context.answer = (await asking).answer
        context.charged = budget.sent - before

    run_with_fleet(context, story)


@then("{count:d} retries were charged to the retry budget")
def retries_charged(context, count):
    assert context.charged == count, context.charged


@when("g1 has newer routes than g2 and forwards {count:d} requests")
def newer_routes(context, count):
    async def story(fleet):
        await cut_and_learn(fleet, {"g1"}, "reset")
        forget_seen(fleet, "")
        for name in ("g1", "g3"):
            fleet.gateways[name].adopt(gatewaybed.config(2))
        for gateway in fleet.gateways.values():
            gateway.pools.clear()
        g2 = fleet.gateways["g2"]
        started_at = asyncio.get_running_loop().time()
        context.last = [await fleet.ask("g1", "unsafe") for _ in range(count)]
        context.took_s = asyncio.get_running_loop().time() - started_at
        # Each forward of an unsafe request opens a connection.
        context.asked_g2 = fleet.gateways["g1"].pool(g2.settings.listen).opened
        context.opened_by_g2 = sum(pool.opened for pool in g2.pools.values())

    run_with_fleet(context, story)


@then("all of them are answered, none of them by g2")
def none_by_g2(context):
    assert all(found.served for found in context.last), context.last
    assert context.opened_by_g2 == 0, context.opened_by_g2


# --- crashes --------------------------------------------------------------

# Probes of an endpoint and of others, and evidence of the control plane.
EVIDENCE_S = 2.0


async def fill(fleet, endpoints: int) -> list[asyncio.Future]:
    """Send one request to each endpoint through g1; all stay in flight."""
    for endpoint in fleet.endpoints.values():
        endpoint.act = "hang"
    asking = []
    for _ in range(endpoints):
        asking.append(asyncio.ensure_future(fleet.ask("g1", "unsafe")))
        while sum(len(e.seen) for e in fleet.endpoints.values()) < len(asking):
            await asyncio.sleep(0.01)
    return asking


def learn_fate(fleet, fate: str) -> None:
    """Give gateway g1 the control plane's word on endpoint e1."""
    gateway, endpoint = fleet.gateways["g1"], fleet.endpoints["e1"]
    if fate == "endpoint e1 restarts under its name":
        fleet.announce(gateway, endpoint, 2)
    elif fate == "the lease of endpoint e1 ends":
        gateway.endpoints.expire("e1")
    elif fate == "another one announces e1's address":
        gateway.learn_endpoint(
            registry.Announcement(
                endpoint="e9",
                incarnation=1,
                seq=1,
                service="shop",
                address=fleet.links["g1", "e1"].proxy.address,
            )
        )
    elif fate == "endpoint e1 leaves":
        gateway.learn_endpoint(registry.sign_off_announcement("e1", 1))


@when(
    "gateway g1 is cut off while it has {count:d} requests in flight, and {fate}"
)
def cut_in_flight(context, count, fate):
    async def story(fleet):
        asking = await fill(fleet, count)
        fleet.cut({"g1"}, "reset")
        await asyncio.gather(*asking)
        learn_fate(fleet, fate)
        if fate.endswith("heal"):
            still_cut = "e1" if "but" in fate else ""
            await fleet.heal({"g1"}, still_cut)
        await asyncio.sleep(EVIDENCE_S)
        context.crashed = fleet.gateways["g1"].crash_detector.crashed

    run_with_fleet(context, story)


@when(
    "gateway g1 is cut off with {count:d} requests in flight, and {fate}"
    " after each was probed"
)
def heal_after_probes(context, count, fate):
    still_cut = "e1" if "but" in fate else ""

    async def story(fleet):
        search = reachmonitor.ReachMonitor.search

        async def heal_and_search(monitor, service):
            await fleet.heal({"g1"}, still_cut)
            await search(monitor, service)

        asking = await fill(fleet, count)
        with mock.patch.object(
            reachmonitor.ReachMonitor, "search", heal_and_search
        ):
            fleet.cut({"g1"}, "reset")
            await asyncio.gather(*asking)
            await asyncio.sleep(EVIDENCE_S)
        context.crashed = fleet.gateways["g1"].crash_detector.crashed

    run_with_fleet(context, story)


@when("endpoints e1, e2 and e3 end while they run a request each")
def rack_ends(context):
    async def story(fleet):
        asking = await fill(fleet, len(fleet.endpoints))
        for name in ("e1", "e2", "e3"):
            fleet.links["g1", name].cut("reset")
        await asyncio.sleep(EVIDENCE_S)
        context.crashed = fleet.gateways["g1"].crash_detector.crashed
        fleet.endpoints["e4"].break_connections()
        await asyncio.gather(*asking)

    run_with_fleet(context, story)


@then("g1 counts {count:d} crashes")
def counts_crashes(context, count):
    assert len(context.crashed) == count, context.crashed


@when("the links of gateway g1 fall silent and then a first request arrives")
def first_request(context):
    async def story(fleet):
        fleet.cut({"g1"}, "silent")
        found = await fleet.ask("g1", "unsafe")
        context.answer, context.took_s = found.answer, found.took_s

    run_with_fleet(context, story)


@then("the response took at most {most:g} s")
def took_at_most(context, most):
    assert context.took_s <= most, context.took_s


@when("a {task} is cancelled in the moment at which its connection is refused")
def cancelled_with_result(context, task):
    async def run():
        loop = asyncio.get_running_loop()
        connecting = loop.create_future()

        def connect(*_):
            return connecting

        pool = upstream.EndpointPool("127.0.0.1:1")
        with (
            mock.patch.object(loop, "sock_connect", connect),
            mock.patch.object(iostream.IOStream, "connect", connect),
        ):
            started = asyncio.ensure_future(
                endpointprobe.probe("127.0.0.1:1")
                if task == "probe"
                else pool.connect()
            )
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            connecting.set_exception(ConnectionRefusedError())
            started.cancel()
            await asyncio.wait([started])
        context.cancelled = started.cancelled()

    asyncio.run(run())


@then("the cancellation is not lost")
def cancellation_kept(context):
    assert context.cancelled


@when("g1 is cut off, g2 does not listen and g1 gets {count:d} requests")
def other_does_not_listen(context, count):
    async def story(fleet):
        await cut_and_learn(fleet, {"g1"}, "reset")
        forget_seen(fleet, "")
        kill(fleet.gateways["g2"])
        for pool in fleet.gateways["g1"].pools.values():
            pool.close()
        context.last = [await fleet.ask("g1", "unsafe") for _ in range(count)]

    run_with_fleet(context, story)


@then("all of them are answered")
def all_answered(context):
    assert all(found.served for found in context.last), context.last


@given("a forwarded request of which {runs:d} sends may have run")
def forwarded_request_with_runs(context, runs):
    exchange = mock.Mock()
    exchange.sends = sends.SendHistory(attempts=2, idempotent=True, runs=runs)
    context.forwarding = peerforwarding.PeerForwarding(exchange)


@when("the other gateway answers {status:d} with code {code}")
def other_gateway_answers(context, status, code):
    sink = responses.BufferedResponse(names.HeaderNames(), "r1")
    headers = {sink.names.request_id: "r1"}
    if status < responses.REDIRECTION:
        headers[sink.names.signature] = "s"
    sink.on_head(status, "", httputil.HTTPHeaders(headers))
    sink.on_data(b'{"error": {"code": "%s"}}' % code.encode())
    context.outcome = context.forwarding.classify_outcome(
        upstream.CallEnd.COMPLETE, sink
    )


@then("the outcome of the forwarded send is {outcome}")
def outcome_of_forwarded_send(context, outcome):
    assert context.outcome.value == outcome, context.outcome
