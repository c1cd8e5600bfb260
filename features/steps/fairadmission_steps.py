"""Steps on sharing scarce engine time, without a network."""

import asyncio
import json
import random
import re

from behave import given
from behave import then
from behave import when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st
import msgspec

from _coltsfootroad.core import fairadmission
from _coltsfootroad.core import routes
from _coltsfootroad.core.fairness import refusalledger
from _coltsfootroad.core.fairness import usage
from _coltsfootroad.core.placement import workload
from _coltsfootroad.gateway import gossip
from _coltsfootroad.shell import clocks
from features.support import gatewaybed
from features.support import scarceworld

QUIET = settings(
    derandomize=True, database=None, deadline=None, max_examples=200
)
SEED = 7
STREAM = re.compile(
    r"(?P<workspace>\w+): (?P<share>[\d.]+) (?P<kind>short|long)"
    r"(?: in session (?P<session>\w+))?(?: in swings of (?P<period>\d+) s)?"
    r"(?: from (?P<start>\d+) s)?(?: until (?P<end>\d+) s)?"
    r"(?P<impatient> at once)?(?P<leaves> leaving)?"
)
FLAGS = ("impatient", "leaves")
NUMBERS = ("share", "period", "start", "end")


def stream(text: str) -> scarceworld.Stream:
    """Return the arrivals that a text describes."""
    found = STREAM.fullmatch(text)
    assert found, text
    fields = {k: v for k, v in found.groupdict().items() if v is not None}
    for name, value in fields.items():
        if name in NUMBERS:
            fields[name] = float(value)
        elif name in FLAGS:
            fields[name] = True
    return scarceworld.Stream(**fields)


def served_at_least_half(world, field: str) -> None:
    """Check that no group is served less than half as often as the mean."""
    mean = world.share("sent")
    for name in {getattr(caller, field) for caller in world.callers}:
        found = world.share("sent", **{field: name})
        assert found >= mean / 2, (name, found, mean)


@given("demand of {load}")
def demand_of(context, load):
    context.streams = [stream(text) for text in load.split(", ")]
    context.world = scarceworld.ScarceWorld(SEED)


@given("a fifth of the engines is lost at {at:g} s")
def fifth_lost(context, at):
    context.world.lost_at = at


@given("workspace a has priority {first:d} and b has priority {second:d}")
def priorities(context, first, second):
    context.world = scarceworld.ScarceWorld(
        SEED, priorities={"a": first, "b": second}
    )


@given("no gateway hears of another")
def uninformed(context):
    context.world.informed = False


@when("it is served for 30 s")
def serve(context):
    context.world.run(context.streams)


@then("nothing is refused")
def nothing_refused(context):
    assert context.world.refusals() == 0, context.world.refusals()


@then("nothing is refused for fairness")
def nothing_refused_for_fairness(context):
    for gateway in context.world.gateways:
        assert fairadmission.Reason.SHARE not in gateway.refused


@then(
    "workspaces {names} are each served {served:d} in 100 and on time"
    " {on_time:d} in 100"
)
def are_served_on_time(context, names, served, on_time):
    for name in names.split(", "):
        found = [
            100 * context.world.share(outcome, workspace=name)
            for outcome in ("sent", "on_time")
        ]
        assert found[0] >= served and found[1] >= on_time, (name, found)


@then("workspace {name} is served {served:d} in 100")
def is_served(context, name, served):
    found = 100 * context.world.share("sent", workspace=name)
    assert found >= served, found


@then("workspace {name} is on time {on_time:d} in 100")
def is_on_time(context, name, on_time):
    found = 100 * context.world.share("on_time", workspace=name)
    assert found >= on_time, found


@then("long prompts are served {served:d} in 100")
def long_served(context, served):
    found = 100 * context.world.share("sent", kind="long")
    assert found >= served, found


@then("no {field} is served less than half as often as the mean")
def at_least_half(context, field):
    served_at_least_half(context.world, field)


@then("callers that retry at once are served no more often than others")
def no_gain(context):
    for outcome in ("sent", "on_time"):
        at_once, patient = (
            context.world.share(outcome, workspace="a", impatient=impatient)
            for impatient in (True, False)
        )
        # Two points in 100 are the spread of about 2,500 callers each.
        assert at_once <= patient + 0.02, (outcome, at_once, patient)


@then("no gateway changes between scarce and ample more than {most:d} times")
def few_changes(context, most):
    assert 1 <= context.world.changes() <= most, context.world.changes()


# --- parts --------------------------------------------------------------------


@then("any delay is at most a third of the remaining time and above 0")
def delays_are_bounded(_):
    @QUIET
    @drawn(st.floats(0.01, 100.0), st.floats(0.01, 30.0), st.integers())
    def check(expected_s, left_s, seed):
        delay_s = fairadmission.retry_delay_s(
            expected_s, left_s, random.Random(seed)
        )
        assert 0 < delay_s <= left_s / 3, (delay_s, left_s)

    check()


@then("200 delays of 2 s differ, and none is above a tenth of them twice")
def delays_are_spread(_):
    rng = random.Random(SEED)
    for left_s in (2.0, 10.0):
        found = [
            fairadmission.retry_delay_s(2.0, left_s, rng) for _ in range(200)
        ]
        # Callers that return within 20 ms of each other meet the same slots.
        for start in found:
            near = sum(start <= delay_s < start + 0.02 for delay_s in found)
            assert near <= 40, (left_s, near)


@then("water levels of arbitrary usage fit into the capacity")
def levels_fit(_):
    usage = st.dictionaries(
        st.integers(0, 30), st.floats(0.0, 100.0), max_size=24
    )
    weights = st.dictionaries(
        st.integers(0, 30), st.floats(0.1, 10.0), max_size=24
    )

    @QUIET
    @drawn(usage, weights, st.floats(0.1, 500.0))
    def check(used_s, weighted, capacity_s):
        level = fairadmission.water_level(used_s, weighted, capacity_s)
        limits = {tag: level * weighted.get(tag, 1.0) for tag in used_s}
        granted = sum(min(used_s[tag], limits[tag]) for tag in used_s)
        fits = sum(used_s.values()) <= capacity_s
        wanted = sum(used_s.values()) if fits else capacity_s
        assert abs(granted - wanted) <= 1e-6, (granted, wanted)

    check()


@then(
    "a refused request is early before its time, due after it, and forgotten"
    " later"
)
def retry_states(_):
    here, there = (refusalledger.RefusalLedger() for _ in range(2))
    here.record(11, due_at=12.0, deadline=20.0)
    # The clocks of two VMs differ by 90 s.
    there.apply(here.collect(10.0), 100.0)
    for ledger, shift in ((here, 0.0), (there, 90.0)):
        found = [
            ledger.classify(11, 20.0 + shift, now + shift)
            for now in (10.1, 12.0, 18.0, 12.0)
        ]
        assert found == [
            refusalledger.Retry.EARLY,
            refusalledger.Retry.DUE,
            refusalledger.Retry.NONE,
            refusalledger.Retry.NONE,
        ], found
    assert here.collect(10.0) == ()


@then("an equal request with another deadline counts as a first try")
def other_deadline(_):
    ledger = refusalledger.RefusalLedger()
    ledger.record(11, due_at=12.0, deadline=20.0)
    found = ledger.classify(11, 14.0, 12.5)
    assert found is refusalledger.Retry.NONE, found


@then("the ledger and its messages stay bounded")
def ledger_bounded(_):
    ledger = refusalledger.RefusalLedger()
    for request in range(3 * refusalledger.MAX_ENTRIES):
        ledger.record(request, 1.0, 2.0)
    assert len(ledger.known) == refusalledger.MAX_ENTRIES
    assert len(ledger.collect(0.0)) == refusalledger.MAX_IN_MESSAGE


# --- messages and the gateway -------------------------------------------------


@then("a change without a workspace is encoded as before")
def encoded_as_before(_):
    wire = gossip.change_to_wire(workload.Change(1, "e1", late=True))
    assert type(wire) is gossip.WireChange
    sent = msgspec.msgpack.decode(msgspec.msgpack.encode(wire))
    assert len(sent) == len(gossip.WireChange.__struct_fields__), sent


@then("an earlier build decodes a change with a workspace")
def decoded_by_earlier(_):
    change = workload.Change(1, "e1", workspace=2**32 - 1, queued=True)
    data = gossip.ENCODER.encode(gossip.change_to_wire(change))
    earlier = msgspec.msgpack.decode(data, type=gossip.WireChange)
    assert earlier.endpoint == "e1"
    summary = workload.Summary(
        gateway="g", incarnation=1, seq=1, full=True, changes=(change,)
    )
    assert gossip.decode(gossip.encode(summary)) == summary


@given("a gateway whose callers' workspace used all of its engines' time")
def gateway_with_usage(context):
    context.holders = (
        routes.KeyHolder(workspace="acme", keys=(gatewaybed.KEY,), priority=5),
        routes.KeyHolder(workspace="other", keys=("k2",), priority=1),
    )


@when("a prompt with 3 s left arrives there")
def prompt_arrives(context):
    async def story():
        bed = gatewaybed.Bed()
        bed.gateway.adopt(
            gatewaybed.config(
                version=2,
                holders=context.holders,
                services=(
                    routes.ServiceSpec(
                        name="shop",
                        engine=routes.EngineSpec(slots=6, kv_tokens=100_000),
                    ),
                ),
            )
        )
        context.endpoint = await bed.add("e1", "answer")
        recent = bed.gateway.fairness.decision("shop").recent
        for _ in range(20):
            recent.add(
                usage.workspace_tag("acme"), 1.0, True, clocks.boot_time()
            )
        context.answer = await bed.ask(
            "/safe/x", deadline_ms=3_000, extra={"X-Tokens": "500,100"}
        )
        context.dump = json.loads(bed.gateway.dump())
        await bed.close()

    asyncio.run(story())


@then("it gets 429 as not run, with a retry delay of at most 1 s")
def gets_429(context):
    answer = context.answer
    assert answer.status == 429, answer
    assert json.loads(answer.body)["error"]["ran"] == "no", answer.body
    assert 0 < float(answer.headers["retry-after"]) <= 1.0, answer.headers


@then("its endpoint saw no request, and the state dump names the refusal")
def saw_nothing(context):
    assert not context.endpoint.seen
    found = context.dump["fairness"]["services"]["shop"]
    assert found["refused"]["share"] == 1 and found["scarce"], found
