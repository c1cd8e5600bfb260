"""Steps for the gateway's requests and its parts."""

import asyncio
import itertools
import json
import random
from unittest import mock

import attrs
from behave import given
from behave import then
from behave import when
import logbook

from _coltsfootroad.control import retrylending
from _coltsfootroad.core import endpointset
from _coltsfootroad.core import eventstream
from _coltsfootroad.core import registry
from _coltsfootroad.core import routes
from _coltsfootroad.core import routeview
from _coltsfootroad.core import windowbudget
from _coltsfootroad.core.placement import candidates
from _coltsfootroad.core.placement import enginemodel
from _coltsfootroad.core.placement import engineplacement
from _coltsfootroad.core.placement import enginestate
from _coltsfootroad.core.placement import urgency
from _coltsfootroad.core.placement import work as work_lib
from _coltsfootroad.core.placement import workload
from _coltsfootroad.gateway import gossip
from _coltsfootroad.gateway import server
from _coltsfootroad.shell import clocks
from benchmarks import mixes
from features.support import gatewaybed

# An engine of the size that the platform's deployments state: a pass of 46
# decode steps takes 45 ms, and prefill runs at 256,000 tokens a second.
ENGINE = mixes.spec(8, 450_000, 46)
SHORT = engineplacement.Prompt(
    prompt_tokens=5_000, output_tokens=1_600, target_s=0.3, gap_target_s=0.2
)
LONG = engineplacement.Prompt(
    prompt_tokens=210_000, output_tokens=800, target_s=3.0, gap_target_s=0.8
)

# --- requests ------------------------------------------------------------


def run_with_bed(context, story) -> None:
    """Run a coroutine function with a test bed in a new event loop."""

    async def run():
        bed = gatewaybed.Bed()
        try:
            await story(bed)
        finally:
            await bed.close()

    asyncio.run(run())


@when("a {kind} request meets endpoints that {first} and then {second}")
def meets(context, kind, first, second):
    async def story(bed):
        # The gateway may choose any endpoint, so the acts are assigned in the
        # order of the requests.
        then_act, _, later = second.partition(", then ")
        acts = itertools.chain(
            [first, then_act], itertools.repeat(later or then_act)
        )
        endpoints = [
            await bed.add("e1", "answer"),
            await bed.add("e2", "answer"),
            await bed.add("e3", "answer"),
        ]
        for endpoint in endpoints:
            endpoint.serve_one = one_act(endpoint, acts)
        context.answer = await bed.ask(f"/{kind}/x")
        context.seen = [s for e in endpoints for s in e.seen]
        context.ran_at = sum(e.ran for e in endpoints)

    run_with_bed(context, story)


@then("at most {count:d} endpoints ran it")
def ran_at_most(context, count):
    assert context.ran_at <= count, context.ran_at


def one_act(endpoint, acts):
    """Return a `serve_one` that takes its act from a shared iterator."""
    plain = endpoint.serve_one

    async def serve_one(reader, writer):
        endpoint.script = LazyScript(acts)
        return await plain(reader, writer)

    return serve_one


class LazyScript:
    """A script whose next act is determined when a request arrives."""

    def __init__(self, acts):
        self.acts = acts

    def __len__(self):
        return 1

    def __getitem__(self, _):
        return next(self.acts)


@then("the caller gets {status:d} and the response is {completeness}")
def gets(context, status, completeness):
    response = context.answer
    assert response.status == status, response
    assert response.whole == (completeness == "complete"), response


@then("{count:d} sends were made")
def sends(context, count):
    assert len(context.seen) == count, context.seen


@then("the events are {numbers}")
def events_are(context, numbers):
    wanted = b"".join(gatewaybed.event(int(n)) for n in numbers.split())
    assert context.answer.body == wanted, context.answer.body


@when("a {kind} request comes with {fault}")
def comes_with(context, kind, fault):
    async def story(bed):
        endpoint = await bed.add("e1", "answer")
        options = {}
        path = f"/{kind}/x"
        if "an unknown key" in fault:
            options["key"] = "nobodys"
        if "a path without a route" in fault:
            path = "/elsewhere/x"
        if "a proof that is too old" in fault:
            bed.prove(age_s=60.0)
        if fault == "no routes known":
            bed.gateway.view.table = None
        elif fault == "no endpoint alive":
            endpoint.server.close()
        elif fault == "the gateway stopping for long":
            bed.gateway.leaving = True
            bed.gateway.stopping_at = 0.0
        context.answer = await bed.ask(path, **options)
        context.seen = endpoint.seen

    run_with_bed(context, story)


@then("the caller gets {status:d} at once and nothing is sent")
def refused_at_once(context, status):
    assert context.answer.status == status, context.answer
    assert context.seen == [], context.seen


@then("the refusal states a retry delay: {yes}")
def states_retry_delay(context, yes):
    is_stated = "retry-after" in context.answer.headers
    assert is_stated == (yes == "yes"), context.answer


@when("a prompt of {tokens:d} tokens comes with {left:d} ms left")
def prompt_comes_with_time_left(context, tokens, left):
    async def story(bed):
        service = routes.ServiceSpec(name="shop", engine=ENGINE)
        bed.gateway.adopt(gatewaybed.config(version=2, services=(service,)))
        for number in range(17):
            await bed.add(f"e{number}", "stream")
        context.answer = await bed.ask(
            "/stream/x", deadline_ms=left, extra={"X-Tokens": f"{tokens},400"}
        )
        context.seen = [s for e in bed.endpoints for s in e.seen]

    run_with_bed(context, story)


@then("it is sent")
def prompt_is_sent(context):
    assert context.answer.status == 200, context.answer
    assert context.seen


@then("it is refused at once")
def prompt_is_refused(context):
    assert context.answer.status == 503, context.answer
    failure = json.loads(context.answer.body)["error"]
    assert failure["ran"] == "no", failure
    # The reason of a refusal at the deadline is another one.
    assert "a response takes" in failure["message"], failure
    assert context.seen == [], context.seen


@when("a caller sends headers that only the gateway may set")
def sends_reserved_headers(context):
    async def story(bed):
        endpoint = await bed.add("e1", "answer")
        context.answer = await bed.ask(
            "/safe/x?q=a%2Fb",
            extra={
                "X-Workspace": "somebody-else",
                "X-Expected-Endpoint": "other",
                "X-Reading-Helpers": "10.0.0.1:1",
                "X-Custom": "kept",
                "Connection": "x-private",
                "X-Private": "dropped",
            },
        )
        context.seen = endpoint.seen

    run_with_bed(context, story)


@then("the endpoint gets the gateway's values and the rest unchanged")
def gets_gateway_headers(context):
    (seen,) = context.seen
    assert seen.line == "POST /safe/x?q=a%2Fb HTTP/1.1", seen.line
    assert seen.body == b"body"
    assert seen.headers["x-workspace"] == "acme"
    assert seen.headers["x-expected-endpoint"] == "e1"
    assert seen.headers["x-custom"] == "kept"
    for name in ("x-api-key", "x-reading-helpers", "x-private"):
        assert name not in seen.headers, name
    left_ms = int(seen.headers["x-deadline-ms"])
    # The route's timeout of 2 s is below the caller's deadline.
    assert 1_500 <= left_ms <= 2_000, left_ms


@when("a request comes {early:g} s before a new gateway knows {what}")
def comes_early(context, early, what):
    async def story(bed):
        endpoint = await bed.add("e1", "answer")
        if what == "the routes and a full endpoint":
            bed.announce(endpoint, seq=2, max_running=0)
        if what == "the routes, 0.4 s later an endpoint":
            del bed.gateway.endpoints.known["e1"]
        start_up = bed.gateway.start_up
        start_up.done = False
        known = bed.gateway.view.table
        bed.gateway.view.table = None

        async def learn():
            await asyncio.sleep(early)
            bed.gateway.view.table = known
            settled = what == "the routes and endpoints"
            start_up.record_registry_age(
                60.0 if settled else 0.0, clocks.boot_time()
            )
            if what == "the routes, 0.4 s later an endpoint":
                await asyncio.sleep(0.4)
                bed.announce(endpoint)

        learning = asyncio.ensure_future(learn())
        began = clocks.boot_time()
        options = {}
        if what == "anything, within 0.6 s":
            options["deadline_ms"] = 600
        context.answer = await bed.ask("/safe/x", **options)
        context.took_s = clocks.boot_time() - began
        learning.cancel()

    run_with_bed(context, story)


@then("the caller gets {status:d} after {least:g} to {most:g} s")
def gets_after(context, status, least, most):
    assert context.answer.status == status, context.answer
    assert least <= context.took_s <= most, context.took_s


@when("a caller disconnects while an endpoint runs its request")
def disconnects(context):
    async def story(bed):
        endpoint = await bed.add("e1", "hang")
        reader, writer = await asyncio.open_connection("127.0.0.1", bed.port)
        writer.write(
            f"GET /safe/x HTTP/1.1\r\nHost: {gatewaybed.HOST}\r\n"
            f"X-Request-Id: r\r\nX-Api-Key: {gatewaybed.KEY}\r\n\r\n".encode()
        )
        while not endpoint.seen:
            await asyncio.sleep(0.01)
        writer.close()
        del reader
        async with asyncio.timeout(0.5):
            await endpoint.hung_up.wait()
        context.hung_up = True

    run_with_bed(context, story)


@then("the endpoint's connection is closed within half a second")
def closed(context):
    assert context.hung_up


@when("two safe requests follow each other and the first is answered twice")
def answered_twice(context):
    async def story(bed):
        endpoint = await bed.add("e1", "twice", "answer")
        await bed.ask("/safe/x")
        context.answer = await bed.ask("/safe/x", extra={"X-Request-Id": "r-2"})
        context.seen = endpoint.seen

    run_with_bed(context, story)


# --- events --------------------------------------------------------------


@then("bytes {text} make {whole:d} complete events")
def make_events(context, text, whole):
    data = text.strip('"').encode().decode("unicode_escape").encode()
    splitter = eventstream.EventSplitter()
    found = [e for byte in data for e in splitter.feed(bytes([byte]))]
    assert len(found) == whole, found
    assert b"".join(e.data for e in found) + splitter.pending == data


# --- routes --------------------------------------------------------------


@then("a version with {fault} is refused with {words}")
def version_refused(context, fault, words):
    plain = gatewaybed.config()
    route = plain.routes[0]
    changed = {
        "an unknown service": {
            "splits": (routes.Split(service="no", weight=1),)
        },
        "no weight": {"splits": (routes.Split(service="shop", weight=0),)},
        "no timeout": {"timeout_s": 0.0},
        "a negative weight": {
            "splits": (routes.Split(service="shop", weight=-1),)
        },
        "a prefix without slashes": {"prefix": "x"},
        "a place that is taken": {"prefix": "/unsafe/"},
    }
    if fault == "a shared key":
        other = routes.KeyHolder(workspace="b", keys=(gatewaybed.KEY,))
        config = attrs.evolve(plain, holders=(*plain.holders, other))
    else:
        bad = attrs.evolve(route, **changed[fault])
        config = attrs.evolve(plain, routes=(bad, *plain.routes[1:]))
    checked = routes.check(config)
    assert checked.is_error()
    assert words in checked.error.message, checked.error.message


@then("a valid version is not refused")
def version_taken(context):
    assert routes.check(gatewaybed.config()).is_ok()


@then("with prefixes {prefixes} the path {path} is routed to {wanted}")
def longest(context, prefixes, path, wanted):
    plain = gatewaybed.config()
    found = tuple(
        attrs.evolve(plain.routes[0], name=prefix, prefix=prefix)
        for prefix in prefixes.split(",")
    )
    table = routes.RouteTable(attrs.evolve(plain, routes=found))
    match = table.match(gatewaybed.HOST, path)
    assert (match.name if match else "none") == wanted, match


@then("weights {first:d} and {second:d} give the first about {percent:d}%")
def split(context, first, second, percent):
    route = attrs.evolve(
        gatewaybed.config().routes[0],
        splits=(
            routes.Split(service="a", weight=first),
            routes.Split(service="b", weight=second),
        ),
    )
    taken = [routes.choose_service(route, f"r{n}") for n in range(2_000)]
    assert abs(taken.count("a") / 20 - percent) < 4, taken.count("a")


# --- route view ----------------------------------------------------------


@then("versions {given_ones} in turn leave {wanted:d} in use")
def versions(context, given_ones, wanted):
    view = routeview.RouteView(staleness_bound_s=4.5)
    for version in given_ones.split():
        view.adopt(gatewaybed.config(version=int(version)))
    assert view.version == wanted


@then("a proof requested {age_s:g} s ago is {state}")
def proof(context, age_s, state):
    view = routeview.RouteView(staleness_bound_s=4.5)
    view.adopt(gatewaybed.config())
    view.confirm(1_000.0)
    assert view.is_current(1_000.0 + age_s) == (state == "good")


# --- budget --------------------------------------------------------------


@then("{gateways:d} gateways with {requests:d} requests each retry {most:d}")
def budget(context, gateways, requests, most):
    lender = retrylending.RetryLender(float("-inf"))
    total = 0
    for number in range(gateways):
        part = windowbudget.WindowBudget(ratio=0.2, slack=106, window_s=10.0)
        for _ in range(requests):
            part.on_request(100.0)
        total += retries_of(part, 1 / gateways, lender, f"g{number}")
    assert total <= 0.2 * requests * gateways + 106
    assert total >= most, total


def retries_of(part, share, lender, gateway) -> int:
    """Return how many retries a budget allows that borrows all it can."""
    count = 0
    while True:
        while part.reserve(share, 100.0):
            count += 1
        request = retrylending.BorrowRetries(
            gateway=gateway,
            service="s",
            wanted=8,
            slack=part.slack,
            window_s=part.window_s,
        )
        amount = lender.lend(request, 100.0).amount
        if not amount:
            return count
        part.loans.add(amount, 104.0)


# --- endpoints -----------------------------------------------------------


@then("an endpoint that was {before} and then is {after} is {state}")
def announced(context, before, after, state):
    endpoints = endpointset.EndpointSet()
    for seq, word in enumerate((before, after)):
        if word == "expired":
            endpoints.expire("e")
            continue
        endpoints.learn(
            registry.Announcement(
                endpoint="e",
                incarnation=1,
                seq=seq,
                service="s",
                state=registry.EndpointState(word),
            )
        )
    used = bool(endpoints.serving_endpoints("s"))
    assert used == (state == "used"), endpoints


# --- spread --------------------------------------------------------------


def decoding_streams(count: int, endpoint: str) -> list[work_lib.WorkItem]:
    """Return decoding short streams."""
    return [
        work_lib.WorkItem(
            endpoint=endpoint,
            prompt_tokens=5_000,
            output_tokens=1_600,
            kv_tokens=6_600,
            writing=True,
            gap_target_s=0.2,
            value=SHORT.value,
        )
        for _ in range(count)
    ]


def states(loads: list[int]) -> list[enginestate.EngineState]:
    """Return the states of engines with the given numbers of streams."""
    return [
        enginestate.engine_state(
            f"e{n}", decoding_streams(count, f"e{n}"), ENGINE, 0.0
        )
        for n, count in enumerate(loads)
    ]


@given("engines that decode {loads} short streams")
def engines_decode(context, loads):
    context.states = states([int(n) for n in loads.split()])


@when("a {size} prompt is placed")
def placed(context, size):
    prompts = {
        "short": SHORT,
        "long": LONG,
        "45k": attrs.evolve(LONG, prompt_tokens=45_000, target_s=1.5),
        "million": attrs.evolve(LONG, prompt_tokens=1_000_000),
    }
    context.prompt = prompts[size]
    context.placement = engineplacement.place(
        context.prompt, context.states, ENGINE
    )


@then("it goes to {wanted}")
def goes_to(context, wanted):
    assert context.placement.lead == wanted, context.placement


@then("no short stream pauses for longer than its gap target")
def within_gap_target(context):
    found = context.placement
    chosen = {found.lead, *found.helpers}
    part_s = enginemodel.prefill_s(
        ENGINE, context.prompt.prompt_tokens, len(chosen)
    )
    for state in context.states:
        if state.endpoint in chosen:
            assert not state.value_lost_by(part_s), found


@then("its first event is predicted within {seconds:g} s")
def predicted(context, seconds):
    assert context.placement.first_event_s <= seconds, context.placement


@then("reservations and the lead engine hold all memory of the prompt")
def memory_held(context):
    held = sum(tokens for _, tokens in context.placement.tickets)
    rest = context.prompt.prompt_tokens + context.prompt.output_tokens - held
    assert (
        held and rest <= ENGINE.kv_tokens - engineplacement.RESERVED_KV_TOKENS
    )
    names = [name for name, _ in context.placement.tickets]
    assert set(names) <= set(context.placement.helpers)


# --- workload ------------------------------------------------------------


def summary_of(seq: int, *changes, full: bool = False, incarnation: int = 1):
    """Return a summary after encoding and decoding."""
    summary = workload.Summary(
        gateway="g",
        incarnation=incarnation,
        seq=seq,
        full=full,
        changes=tuple(changes),
    )
    return gossip.decode(gossip.encode(summary))


@then("a summary numbered {later:d} after {earlier:d} is {taken}")
def summary(context, later, earlier, taken):
    load = workload.Workload()
    for seq in (earlier, later):
        change = workload.Change(seq, f"e{seq}", age_ms=500)
        result = load.apply_summary(summary_of(seq, change), 10.0)
    assert result == (taken == "taken")
    work = load.foreign["g"].works[earlier]
    assert work.sent_at == 9.5, work


@then(
    "a gateway that sends nothing for {seconds:g} s counts {count:d} work items"
)
def check_work_expires(context, seconds, count):
    load = workload.Workload()
    load.apply_summary(summary_of(1, workload.Change(1, "e")), 10.0)
    load.expire(10.0 + seconds)
    assert len(load.at_endpoint("e")) == count


@then("after the datagrams {text} the known work is {wanted}")
def datagrams(context, text, wanted):
    load = workload.Workload()
    for seq, word in enumerate(text.split()):
        kind, _, keys = word.partition(":")
        ends = kind == "end"
        changes = [
            workload.Change(int(k), "" if ends else "e")
            for k in keys.split(",")
            if k
        ]
        is_restart = kind == "restart"
        load.apply_summary(
            summary_of(
                seq + 1,
                *changes,
                full=kind == "all",
                incarnation=2 if is_restart else 1,
            ),
            10.0,
        )
    known = sorted(load.foreign["g"].works)
    assert known == [int(k) for k in wanted.split(",") if k != "none"], known


@then("own work is sent once when it changes and completely on request")
def own_work(context):
    load = workload.Workload()
    first = load.add(work_lib.WorkItem(endpoint="a", sent_at=1.0))
    second = load.add(work_lib.WorkItem(endpoint="b", sent_at=1.0))
    first_changes = load.collect_changes(False, 2.0)
    assert [c.key for c in first_changes] == [first, second]
    assert first_changes[0].age_ms == 1000
    assert load.collect_changes(False, 2.0) == ()
    load.remove(first)
    assert load.collect_changes(False, 2.0) == (workload.Change(first),)
    assert [c.key for c in load.collect_changes(True, 2.0)] == [second]


@then("{kind} failures {count:d} in a row make an endpoint {state}")
def ejected(context, kind, count, state):
    endpoints = endpointset.EndpointSet()
    for name in ("e", "other"):
        endpoints.learn(
            registry.Announcement(
                endpoint=name, incarnation=1, seq=1, service="s"
            )
        )
    for _ in range(count):
        endpoints.on_failure("e", 10.0, kind == "unreachable")
    drawn = candidates.sample_endpoints(
        endpoints.serving_endpoints("s"), 10.1, set(), random.Random(1)
    )
    usable = [known.name for known in drawn]
    assert ("e" in usable) == (state == "used"), usable


@given("an engine that was sent {count:d} prompts of {tokens:d} tokens 2 s ago")
def was_sent(context, count, tokens):
    context.works = [
        work_lib.WorkItem(endpoint="e", prompt_tokens=tokens, sent_at=8.0)
        for _ in range(count)
    ]


@given("an engine whose {count:d} prompts of {tokens:d} tokens are decoding")
def all_decode(context, count, tokens):
    was_sent(context, count, tokens)
    for work in context.works:
        work.writing = True


@then("its remaining prefill takes {least:g} to {most:g} s")
def remaining_prefill(context, least, most):
    left = enginestate.remaining_prefill_s(context.works, ENGINE, 10.0)
    assert least <= left <= most, left


@then("the first event at 10 streams is at least {least:g} s later than at 7")
def first_event_later(context, least):
    full, free = states([10, 7])
    part_s = enginemodel.prefill_s(ENGINE, 5_000)
    gap = engineplacement.predict_first_event_s(
        full, ENGINE, part_s
    ) - engineplacement.predict_first_event_s(free, ENGINE, part_s)
    assert gap >= least, gap


@then(
    "a request with target {target:g} s that waited {waited:g} s ranks {rank:d}"
)
def ranks(context, target, waited, rank):
    route = attrs.evolve(gatewaybed.config().routes[2], target_s=target)
    assert urgency.engine_rank(route, waited, 0.1) == rank


def header_value(text: str) -> str:
    """Return the value that a row describes."""
    if text == "a superscript 2":
        return "\xb2"
    return "7" * int(text.removesuffix(" digits"))


@when(
    "a {kind} request has a {header} of {value} at an endpoint that will {act}"
)
def request_has_header(context, kind, header, value, act):
    stated = header_value(value)
    if header == "X-Tokens":
        stated += ",10"

    async def story(bed):
        await bed.add("e1", act)
        extra = {header: stated}
        if header == "X-Gateway-Routes-Version":
            extra["X-Forwarded-By-Gateway"] = "g2"
        load = bed.gateway.load
        context.changes = ()
        task = asyncio.create_task(bed.ask(f"/{kind}/x", extra=extra))
        while not task.done():
            context.changes += load.collect_changes(True, clocks.boot_time())
            await asyncio.sleep(0)
        context.answer = await task

    run_with_bed(context, story)


@then("the gateway can send a summary of its load")
def can_send_summary(context):
    assert any(change.endpoint for change in context.changes)
    summary = workload.Summary(
        gateway="g1", incarnation=1, seq=1, full=True, changes=context.changes
    )
    assert gossip.decode(gossip.encode(summary)) == summary


@when(
    "a safe request meets an endpoint that answers with a {header} of {value}"
)
def endpoint_answers_with_header(context, header, value):
    stated = header_value(value)
    if header == "Keep-Alive":
        stated = f"timeout={stated}"

    async def story(bed):
        service = routes.ServiceSpec(name="shop", cold_per_s=5.0)
        bed.gateway.adopt(gatewaybed.config(version=2, services=(service,)))
        endpoint = await bed.add("e1", "answer")
        head = endpoint.head
        endpoint.head = lambda headers, *extra, **status: head(
            headers, *extra, f"{header}: {stated}", **status
        )
        context.answer = await bed.ask("/safe/x")
        known = bed.gateway.endpoints.known["e1"]
        now = clocks.boot_time()
        context.cold_s = known.cold.remaining_s(0.0, now)

    run_with_bed(context, story)


@then("the endpoint counts as cold for at most {most:d} s")
def cold_at_most(context, most):
    assert context.cold_s <= most, context.cold_s


@when("sending load summaries fails for two ticks")
def summaries_fail(context):
    async def story(bed):
        outcomes = [ZeroDivisionError, ZeroDivisionError, None, None]
        with (
            logbook.TestHandler() as handler,
            mock.patch.object(server, "TICK_INTERVAL_S", 0.001),
            mock.patch.object(
                gossip.Gossip, "refresh", side_effect=outcomes
            ) as refresh,
        ):
            ticker = asyncio.create_task(bed.gateway.tick())
            while refresh.call_count < len(outcomes) and not ticker.done():
                await asyncio.sleep(0.001)
            context.ticks = refresh.call_count
            ticker.cancel()
        context.records = handler.records

    run_with_bed(context, story)


@then('the gateway logs "{event}" and runs the ticks after it')
def ticks_go_on(context, event):
    assert context.ticks == 4, context.ticks
    failed = [r for r in context.records if r.message == event]
    assert len(failed) == 2, context.records
    assert all("ZeroDivisionError" in r.kwargs["fault"] for r in failed)
