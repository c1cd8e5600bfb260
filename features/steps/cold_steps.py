"""Steps on a gateway's requests to cold endpoints."""

import asyncio
import json
from unittest import mock

import attrs
from behave import then
from behave import when

from _coltsfootroad.core import addresses
from _coltsfootroad.core import coldlimit
from _coltsfootroad.core import recentmembers
from _coltsfootroad.gateway import coldadmission
from _coltsfootroad.gateway import engines
from _coltsfootroad.gateway import upstream
from _coltsfootroad.shell import clocks
from features.steps import gateway_steps
from features.steps import retrybudget_steps
from features.support import gatewaybed

SERVICE = "shop"
RATE = 2.0  # With the default settings, the limit is 2 * 1.5 + 5.
LIMIT = 8
COLD = 60.0


def settle(bed, rate: float = RATE, others: tuple[str, ...] = ()) -> None:
    """Make a gateway a sender whose members have not changed for long.

    It is none if `others` fill all places.
    """
    service = attrs.evolve(gatewaybed.config().services[0], cold_per_s=rate)
    bed.gateway.adopt(gatewaybed.config(2, services=(service,)))
    limit = bed.gateway.cold.limit
    limit.recent.presences = {
        # In zones of their own, all are in rotation.
        name: recentmembers.Presence(name, recentmembers.NEVER)
        for name in ("g1", *others)
    }
    limit.confirm(clocks.boot_time())


def higher_ranked(key: str) -> tuple[str, ...]:
    """Return gateways that precede g1 among the senders of an endpoint."""
    names = (f"other-{number}" for number in range(1_000))
    own = coldlimit.score(key, "g1")
    found = [n for n in names if coldlimit.score(key, n) > own]
    return tuple(found[: coldlimit.SENDERS])


async def ask_many(bed, count: int) -> list:
    """Send requests at the same time and return the responses."""
    return await asyncio.gather(*(bed.ask("/safe/x") for _ in range(count)))


@when("{count:d} requests meet a cold endpoint with a limit of {limit:d}")
def many_meet(context, count, limit):
    async def story(bed):
        assert limit == LIMIT
        endpoint = await bed.add("e1", "answer")
        settle(bed)
        bed.announce(endpoint, seq=2, cold_remaining_s=COLD)
        with mock.patch.object(coldadmission, "LOG") as log:
            context.answers = await ask_many(bed, count)
        context.events = [call.args[0] for call in log.info.call_args_list]
        context.received = len(endpoint.seen)
        context.metrics = bed.gateway.metrics.text().decode()
        context.dump = json.loads(bed.gateway.dump())["cold"]

    gateway_steps.run_with_bed(context, story)


@then(
    "it receives {count:d} of them and the others are refused with the time"
    " to retry"
)
def receives(context, count):
    assert context.received == count, context.received
    refused = [a for a in context.answers if a.status != 200]
    assert len(refused) == len(context.answers) - count
    for answer in refused:
        assert answer.status == 503, answer
        error = json.loads(answer.body)["error"]
        assert error["code"] == "endpoints_cold", error
        assert error["ran"] == "no", error
        assert 0 < error["retry_after_s"] <= 5.0 / 3, error


@then("the log, the metrics and the state dump show the limit")
def shows_limit(context):
    assert context.events.count("cold endpoint used") == LIMIT
    assert "cold endpoints at limit" in context.events
    label = f'service="{SERVICE}"'
    for name, value in (
        ("colts_gateway_cold_sent_total", LIMIT),
        ("colts_gateway_cold_refused_total", len(context.answers) - LIMIT),
        ("colts_gateway_cold_endpoints", 1),
    ):
        found = [
            float(line.split()[-1])
            for line in context.metrics.splitlines()
            if line.startswith(name + "{") and label in line
        ]
        assert found == [value], (name, found)
    (endpoint,) = context.dump["endpoints"]
    assert endpoint["quota"] == endpoint["used"] == LIMIT, endpoint


@when("a request meets a cold endpoint whose limit has room after {s:g} s")
def meets_room(context, s):
    async def story(bed):
        endpoint = await bed.add("e1", "answer")
        settle(bed)
        bed.announce(endpoint, seq=2, cold_remaining_s=COLD)
        started = clocks.boot_time()
        window = bed.gateway.cold.limit.window("e1#1")
        window.leaves = [started + s] * LIMIT
        context.answer = await bed.ask("/safe/x")
        context.took_s = clocks.boot_time() - started

    gateway_steps.run_with_bed(context, story)


@then("it is answered after {least:g} to {most:g} s")
def answered_after(context, least, most):
    assert context.answer.status == 200, context.answer
    assert least <= context.took_s <= most, context.took_s


@when("{count:d} requests of a gateway that is {role} meet {endpoints}")
def role_meets(context, count, role, endpoints):
    async def story(bed):
        rate = 0.0 if "without" in endpoints else RATE
        others = ()
        if role == "no sender":
            others = tuple({*higher_ranked("e1#1"), *higher_ranked("e2#1")})
        settle(bed, rate, others)
        if role == "out of touch":
            bed.gateway.cold.limit.proved_at -= 5.0
        context.seen = {}
        for name in ("e1", "e2"):
            if name in endpoints:
                endpoint = await bed.add(name, "answer")
                context.seen[name] = endpoint.seen
                if f"{name} cold" in endpoints:
                    bed.announce(endpoint, seq=2, cold_remaining_s=COLD)
        context.answers = await ask_many(bed, count)

    gateway_steps.run_with_bed(context, story)


@then("{received:d} of them arrive at e1 and {status:d} are the responses")
def arrive(context, received, status):
    assert len(context.seen["e1"]) == received, context.seen
    assert {a.status for a in context.answers} == {status}, context.answers


@when("a request meets only cold endpoints at a gateway that knows a sender")
def knows_sender(context):
    async def story(bed):
        endpoint = await bed.add("e1", "answer")
        names = higher_ranked("e1#1")
        settle(bed, others=names)
        bed.announce(endpoint, seq=2, cold_remaining_s=COLD)
        peer = gatewaybed.ScriptedEndpoint("peer", ["answer"])
        await peer.start()
        bed.endpoints.append(peer)
        members = tuple(
            addresses.Member(entry=name, incarnation=1, address=peer.address)
            for name in names
        )
        bed.gateway.view.member_view.learn(members, (), True, 100.0)
        context.answer = await bed.ask("/safe/x")
        context.seen, context.direct = peer.seen, endpoint.seen

    gateway_steps.run_with_bed(context, story)


@then("the sender receives it with the name of the forwarding gateway")
def sender_receives(context):
    assert context.answer.status == 200, context.answer
    (seen,) = context.seen
    assert seen.headers["x-forwarded-by-gateway"] == "g1", seen
    assert not context.direct


def expire_proof(bed, _endpoint) -> None:
    """Let the time that a proof is valid pass."""
    bed.gateway.cold.limit.proved_at -= 5.0


def restart(bed, endpoint) -> None:
    """Learn of another incarnation of an endpoint."""
    bed.announce(endpoint, incarnation=2, cold_remaining_s=COLD)
    bed.gateway.cold.limit.proved_at -= 5.0


def become_cold(bed, endpoint) -> None:
    """Learn that a warm endpoint is cold, without a part of its limit."""
    bed.announce(endpoint, seq=3, cold_remaining_s=COLD)
    bed.gateway.cold.limit.proved_at -= 5.0


def use_part(bed, _endpoint) -> None:
    """Use the gateway's part of the limit."""
    window = bed.gateway.cold.limit.window("e1#1")
    window.leaves = [clocks.boot_time() + 1.0] * LIMIT


EVENTS = {
    "the proof expires as the gateway is frozen": expire_proof,
    "the endpoint restarts cold": restart,
    "the endpoint becomes cold again": become_cold,
    "others use the gateway's part of the limit": use_part,
}


@when("{event} while a request connects to it")
def connects(context, event):
    async def story(bed):
        endpoints = [await bed.add(name, "answer") for name in ("e1", "e2")]
        settle(bed)
        if event != "the endpoint becomes cold again":
            bed.announce(endpoints[0], seq=2, cold_remaining_s=COLD)
        connect = upstream.EndpointPool.connect
        pending = [event]

        async def connect_then(self, observer=None):
            stream = await connect(self, observer)
            if pending:
                EVENTS[pending.pop()](bed, endpoints[0])
            return stream

        with (
            mock.patch.object(upstream.EndpointPool, "connect", connect_then),
            retrybudget_steps.choose_in_order(endpoints),
        ):
            context.answer = await bed.ask("/unsafe/x")
        context.arrivals = [len(e.seen) for e in endpoints]
        context.budget = bed.gateway.budget(SERVICE)

    gateway_steps.run_with_bed(context, story)


@then("the request arrives only at another endpoint, with no retry charged")
def arrives_elsewhere(context):
    assert context.answer.status == 200, context.answer
    assert context.arrivals == [0, 1], context.arrivals
    assert context.budget.sent == 0, context.budget


@then("a long prompt whose helper is {state} is {sent}")
def helper_is(context, state, sent):
    async def story(bed):
        settle(bed)
        lead, helper = [await bed.add(name, "answer") for name in ("e1", "e2")]
        known = bed.gateway.endpoints.known
        choice = engines.Choice(
            endpoint=known[lead.name], helpers=(known[helper.name],)
        )
        if state.startswith("cold"):
            bed.announce(helper, seq=2, cold_remaining_s=COLD)
        window = bed.gateway.cold.limit.window("e2#1")
        if state.endswith("limit"):
            window.leaves = [clocks.boot_time() + 1.0] * LIMIT
        if state.startswith("restarted"):
            bed.announce(helper, incarnation=2)
        before = len(window.leaves)
        exchange = mock.Mock(gateway=bed.gateway)
        exchange.service = bed.gateway.view.table.services[SERVICE]
        exchange.budget.charge.return_value = True
        exchange.sends.count = 1
        admission = coldadmission.ColdAdmission(exchange)
        admission.hold(choice)
        assert window.pending == 1
        assert admission.may_send(choice) == (sent != "not sent")
        assert window.pending == 0
        counted = len(window.leaves) - before
        assert counted == (sent != "not sent"), counted
        assert exchange.budget.charge.called == (sent != "not sent")

    gateway_steps.run_with_bed(context, story)


@then(
    "a prompt on an idle engine takes {factor:g} times as long while it is cold"
)
def takes_longer(context, factor):
    async def story(bed):
        endpoint = await bed.add("e1", "answer")
        settle(bed)
        spec = bed.gateway.view.table.services[SERVICE]
        spec = attrs.evolve(spec, engine=gateway_steps.ENGINE)
        times = []
        for remaining_s in (0.0, COLD, 0.0):
            bed.announce(
                endpoint, seq=2 + len(times), cold_remaining_s=remaining_s
            )
            choice = bed.gateway.chooser.choose(
                spec, gateway_steps.SHORT, set(), clocks.boot_time()
            )
            times.append(choice.predicted_s)
        assert times[0] == times[2], times
        assert abs(times[1] / times[0] - factor) < 1e-9, times

    gateway_steps.run_with_bed(context, story)
