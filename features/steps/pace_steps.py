"""Steps on learning which engines are slow, without a network."""

import random

import attrs
from behave import given
from behave import then
from behave import when
import msgspec

from _coltsfootroad.core import endpointset
from _coltsfootroad.core import pace
from _coltsfootroad.core import registry
from _coltsfootroad.core.placement import enginemodel
from _coltsfootroad.core.placement import pacesampler
from _coltsfootroad.core.placement import work as work_lib
from _coltsfootroad.core.placement import workload
from _coltsfootroad.gateway import engines as engines_lib
from _coltsfootroad.gateway import gossip
from benchmarks import mixes
from benchmarks import placement
from benchmarks import uneven

SPEC = mixes.UNEVEN_SPEC
PASS_S = 0.1
END_S = 12.0
STREAM_TOKENS = 5_000


def engine(name: str, incarnation: int = 1) -> registry.Announcement:
    """Return the announcement of an engine."""
    return registry.Announcement(
        endpoint=name, incarnation=incarnation, seq=1, service="s"
    )


# --- simulations ----------------------------------------------------------


@given(
    "{count:d} engines in a simulation with {gateways:d} gateways, seed {seed:d}"
)
def make_load(context, count, gateways, seed):
    base = next(load for load in mixes.ALL_LOADS if load.name == "uneven")
    short, middle, _ = base.prompt_classes
    # The share of the deployment's load that 12 of its 69 engines have. Long
    # prompts are left out, as they fill so few engines by chance.
    context.load = attrs.evolve(
        base,
        engines=count,
        prompt_classes=(
            attrs.evolve(short, per_s=short.per_s * count / base.engines),
            attrs.evolve(middle, per_s=middle.per_s * count / base.engines),
        ),
        phases=((END_S, (1.0, 1.0)),),
    )
    context.gateways, context.seed = gateways, seed


class Watched(uneven.UnevenSimulation):
    """Records which engines count as slow after each event."""

    def on_event(self, arrival, at):
        """Record the slow engines of the gateway of a request."""
        super().on_event(arrival, at)
        names = {
            name
            for name, known in self.sets[arrival.gateway].known.items()
            if known.slowdown > 1.0
        }
        HISTORY.append((at, names))


HISTORY: list[tuple[float, set[str]]] = []


def run(context, spells, way: str = "shared"):
    """Run a simulation; return it with its arrivals."""
    HISTORY.clear()
    arrivals = placement.sample_arrivals(context.load, context.seed)
    simulation = Watched(
        context.load,
        random.Random(context.seed),
        context.gateways,
        spells=spells,
        way=way,
    )
    simulation.run(arrivals)
    return simulation, arrivals


@when(
    "{slow:d} of them are {factor:d} times slower from {start:d} s to {end:d} s"
)
def run_with_spells(context, slow, factor, start, end):
    spell = uneven.Spell(float(start), float(end), float(factor))
    context.spells = {index: [spell] for index in range(slow)}
    context.simulation, _ = run(context, context.spells)


@then("each slow engine with load is found out within {most:g} s")
def found_out(context, most):
    simulation = context.simulation
    assert simulation.loaded_at, "no slow engine had load"
    found = simulation.found_after_s
    for place, loaded_at in simulation.loaded_at.items():
        # Engines that got load shortly before they recovered may be missed.
        if loaded_at <= context.spells[place[0]][0].end - most:
            assert found.get(place, 99.0) <= most, (place, found)


@then("no other engine counts as slow")
def no_other(context):
    assert context.simulation.wrong == 0
    slow = {str(index) for index in context.spells}
    assert all(names <= slow for _, names in HISTORY)


@then("from {start:g} s on no engine counts as slow")
def none_from(context, start):
    late = [(at, names) for at, names in HISTORY if at >= start]
    assert late
    assert not any(names for _, names in late), late[0]


@when("none of them is slow, at {factor:d} times the load")
def run_equal(context, factor):
    context.load = attrs.evolve(
        context.load, phases=((END_S, (float(factor), float(factor))),)
    )
    _, context.arrivals = run(context, {})
    _, context.plain_arrivals = run(context, {}, way="none")


@then("no engine counts as slow and all events are as without learning")
def same_events(context):
    assert not any(names for _, names in HISTORY)
    for one, other in zip(
        context.arrivals, context.plain_arrivals, strict=True
    ):
        assert one.job.event_times == other.job.event_times


@then("at most {most:d} engines count as slow at any time")
def at_most(context, most):
    assert max(len(names) for _, names in HISTORY) <= most


# --- readings --------------------------------------------------------------


@given("{count:d} engines of which all are known to be sound")
def sound_engines(context, count):
    context.now = 10.0
    context.endpoints = endpointset.EndpointSet()
    context.paces = pace.PaceTable()
    context.streams = {}
    for number in range(1, count + 1):
        context.endpoints.learn(engine(str(number)))
    observe_sound(context, context.endpoints.known)


def observe_sound(context, names):
    """Record that engines are sound."""
    for name in names:
        known = context.endpoints.known[name]
        context.paces.observe(known, "probe-" + name, pace.SOUND, context.now)


@when("the engines' streams observe {pauses}")
def observe_pauses(context, pauses):
    # Streams observe side by side, one pause each per round.
    streams = [entry.split(":") for entry in pauses.split()]
    context.now += pace.READING_VALID_S + 0.01
    rounds = max(len(values.split(",")) for _, values in streams)
    for index in range(rounds):
        context.now += PASS_S
        for place, values in streams:
            if index < len(values.split(",")):
                observe(context, place, float(values.split(",")[index]))
        observe_sound(context, unobserved(context))


def unobserved(context) -> list[str]:
    """Return the engines without a stream in this scenario."""
    observed = {place.partition("/")[0] for place in context.streams}
    return [name for name in context.endpoints.known if name not in observed]


def observe(context, place: str, passes: float) -> None:
    """Add one sample of a stream, and its reading if it completes one."""
    known = context.endpoints.known[place.partition("/")[0]]
    stream = context.streams.setdefault(place, pace.StreamPace())
    suspected = context.paces.is_suspected(known, context.now)
    if stream.observe(passes, context.now, suspected):
        context.paces.observe(known, place, stream.reading, context.now)


@when("{seconds:g} s pass in which the other engines are sound")
def pass_time(context, seconds):
    others = unobserved(context)
    end = context.now + seconds
    while context.now < end - PASS_S:
        context.now += PASS_S
        observe_sound(context, others)
    context.now = end
    context.paces.advance(end)


@when("engine {name} restarts")
def restart(context, name):
    context.now += PASS_S
    context.endpoints.learn(engine(name, 2), context.now)


@then("long prompts may use {names}")
def check_long(context, names):
    known = list(context.endpoints.known.values())
    found = context.paces.without_unproved(known, context.now)
    assert [endpoint.name for endpoint in found] == names.split(), found


@then("the slowdowns are {expected}")
def check_slowdowns(context, expected):
    found = {
        name: known.slowdown
        for name, known in context.endpoints.known.items()
        if known.slowdown != 1.0
    }
    wanted = {}
    if expected != "none":
        pairs = (pair.split("=") for pair in expected.split())
        wanted = {name: float(value) for name, value in pairs}
    assert found == wanted, found


# --- samples ---------------------------------------------------------------


def tokens_of(seconds: float) -> int:
    """Return the length of a prompt with so many seconds of prefill."""
    low, high = 0, 1_000_000
    while high - low > 1:
        half = (low + high) // 2
        below = enginemodel.prefill_s(SPEC, half) <= seconds
        low, high = (half, high) if below else (low, half)
    return high


@given(
    "an engine with a stream and prompts of {pending:g} s of prefill, {state}"
)
def make_stream(context, pending, state):
    context.load = workload.Workload()
    context.state = state
    key = context.load.add(
        work_lib.WorkItem(endpoint="e", prompt_tokens=STREAM_TOKENS, sent_at=9)
    )
    context.sampler = pacesampler.PaceSampler(
        context.load.index, SPEC, "e", (workload.OWN_GATEWAY, key), 9.0
    )
    context.load.own[key].writing = True
    context.load.mark_changed(key)
    context.prompt = work_lib.WorkItem(
        endpoint="e", prompt_tokens=tokens_of(pending), sent_at=9.99
    )
    if pending and state.startswith("pending"):
        context.prompt_key = context.load.add(context.prompt)
    context.sampler.on_events(10.0, 1, False, False)
    context.sampler.stream = pace.StreamPace()


@when("the stream's next event comes after {passes:g} passes")
def next_event(context, passes):
    pass_s = enginemodel.pass_s(SPEC, 1, STREAM_TOKENS)
    if context.state == "sent during the pause":
        context.prompt.sent_at = 10.0 + pass_s
        context.load.add(context.prompt)
    elif context.state == "pending, ended meanwhile":
        context.load.remove(context.prompt_key)
    now = 10.0 + 1.01 * passes * pass_s
    context.sampler.on_events(now, 1, False, False)


@then("the sample is {kind}")
def check_sample(context, kind):
    previous = context.sampler.stream.previous
    found = "slow" if previous > pace.SOUND else "sound"
    assert kind == ("none" if previous == pace.NO_READING else found), previous


@when("its slowdown is {slowdown:g}")
def set_slowdown(context, slowdown):
    context.known = endpointset.KnownEndpoint(engine("e"), slowdown=slowdown)


@then("a gateway expects {left:g} s of prefill there")
def expect_prefill(context, left):
    chooser = engines_lib.Chooser(
        endpointset.EndpointSet(), context.load, "", random.Random(1)
    )
    found = chooser.prefill_left_s(context.known, SPEC, 9.99)
    assert abs(found - left) < 0.01, found


# --- summaries -------------------------------------------------------------


class Results(workload.ResultObserver):
    """Stores what other gateways report."""

    def __init__(self):
        self.found = []

    def on_slowdown(self, key, work, now):
        """Store a slowdown."""
        self.found.append(("slowdown", work.endpoint, work.slowdown))

    def on_call_time(self, work, seconds, now):
        """Store the time of a call."""
        self.found.append(("time", work.endpoint, seconds))

    def on_call_failure(self, endpoint, now):
        """Store a failure."""
        self.found.append(("failure", endpoint))


class OldChange(msgspec.Struct, array_like=True):
    """A change as encoded by builds without slowdowns."""

    key: int
    endpoint: str
    prompt_tokens: int
    output_tokens: int
    kv_tokens: int
    parts: int
    leads: bool
    age_ms: int
    writing: bool
    gap_target_ms: int
    value: float
    late: bool


class OldSummary(msgspec.Struct, array_like=True):
    """A summary as encoded by builds without slowdowns."""

    gateway: str
    incarnation: int
    seq: int
    full: bool
    changes: tuple[OldChange, ...]
    pass_on: bool = False
    partitioned_from: tuple[str, ...] = ()


def encode_changes(load, seq: int) -> bytes:
    """Return the summary of a workload's changes."""
    return gossip.encode(
        workload.Summary(
            gateway="g1",
            incarnation=1,
            seq=seq,
            full=False,
            changes=load.collect_changes(False, 10.0),
        )
    )


@given("a summary with a slowdown, the time of a call and a failed call")
def make_summary(context):
    load = workload.Workload()
    stream = load.add(
        work_lib.WorkItem(endpoint="e1", prompt_tokens=9, sent_at=9.5)
    )
    call, failed = (
        load.add(work_lib.WorkItem(endpoint=name, sent_at=9.9))
        for name in ("p1", "p2")
    )
    context.first = encode_changes(load, 1)
    load.set_slowdown(stream, 3.5, 9.9)
    for key in (call, failed):
        load.remove(key)
    load.add_result(call, workload.CallResult(took_ms=40))
    load.add_result(failed, workload.CallResult(failed_at="p2"))
    context.second = encode_changes(load, 2)


@then("this build reads all of them")
def read_all(context):
    load = workload.Workload()
    load.observer = Results()
    for data in (context.first, context.second):
        load.apply_summary(gossip.decode(data), 10.0)
    assert load.observer.found == [
        ("slowdown", "e1", 3.5),
        ("time", "p1", 0.04),
        ("failure", "p2"),
    ], load.observer.found


@then("a build without these fields reads the work in it")
def old_reads(context):
    found = msgspec.msgpack.decode(context.second, type=OldSummary)
    assert [change.endpoint for change in found.changes] == ["e1", "", ""]


@then("this build reads a summary of such a build")
def read_old(context):
    del context
    change = OldChange(1, "e1", 9, 0, 0, 1, True, 0, False, 0, 1.0, False)
    old = OldSummary("g1", 1, 1, False, (change,))
    load = workload.Workload()
    load.observer = Results()
    load.apply_summary(gossip.decode(msgspec.msgpack.encode(old)), 10.0)
    assert load.at_endpoint("e1")
    assert not load.observer.found
