"""Steps that run soaks, and that try their parts on made-up faults."""

import asyncio
import random
import signal
import sys
import time
from unittest import mock

import attrs
from behave import given
from behave import then
from behave import when

from _coltsfootroad.fakes import ports
from features.soak import audit
from features.soak import driver as driver_lib
from features.soak import fleet as fleet_lib
from features.soak import lateness
from features.soak import plan
from features.soak import run
from features.soak import timeline
from features.support import machineload
from features.support import processstate

REPLICAS = 3
# Enough for two replacements and two wipes after them.
SECONDS = 14
# Few enough for the slack to be a large part of what they may retry.
SHED_CALLERS = 3


def run_in_scenario(context, seed: int, size: plan.Size) -> None:
    """Run a soak whose logs are kept if the scenario fails, for any reason."""
    logs = context.folder / "soak"
    logs.mkdir()
    context.faults, context.served = run.run_seed(seed, size, "", logs)
    context.faults += run.last_lines(logs) if context.faults else []


@when("a soak of seed {seed:d} runs for {seconds:d} s")
def soak(context, seed, seconds):
    size = plan.Size(seconds=seconds)
    run_in_scenario(context, seed, size)


@when("replicas, {count:d} of them, are replaced in a soak of seed {seed:d}")
def soak_replacing(context, count, seed):
    size = plan.Size(replicas=count, replacing=True, seconds=SECONDS)
    run_in_scenario(context, seed, size)


@when(
    "replicas, {count:d} of them, with {routes:d} routes and links of {mbits:g}"
    " Mbit/s are replaced in a soak of seed {seed:d}"
)
def soak_narrow(context, count, routes, mbits, seed):
    size = plan.Size(
        replicas=count,
        replacing=True,
        seconds=SECONDS,
        routes=routes,
        mbits=mbits,
    )
    run_in_scenario(context, seed, size)


@when("{count:d} poison requests come in a soak of seed {seed:d}")
def soak_poison(context, count, seed):
    size = plan.Size(poisons=count, seconds=SECONDS)
    run_in_scenario(context, seed, size)


@when("endpoints shed beside restarts in a soak of seed {seed:d}")
def soak_shedding(context, seed):
    size = plan.Size(shedding=True, seconds=SECONDS, callers=SHED_CALLERS)
    run_in_scenario(context, seed, size)


@then("no promise is broken and at least {served:d} requests are served")
def kept(context, served):
    assert not context.faults, context.faults
    assert context.served >= served, context.served


@given("a soak in which two replicas get the same port")
def same_port(context):
    right = ports.free_ports

    def free_ports(count, host=ports.HOST):
        found = right(count, host)
        return [found[0], *found[:-1]] if count == REPLICAS else found

    context.patched = mock.patch.object(ports, "free_ports", free_ports)


@when("it has had {seconds:d} s for its first version")
def short_start(context, seconds):
    size = plan.Size(replicas=REPLICAS, gateways=1)
    with (
        context.patched,
        mock.patch.object(run, "FIRST_VERSION_S", float(seconds)),
        mock.patch.object(driver_lib, "OPERATOR_TRIES", 1),
    ):
        context.faults, context.served = run.run_seed(1, size, "")


@then("it reports that no replica took a version")
def reports_no_version(context):
    assert "no replica took a version" in context.faults[0], context.faults
    assert context.served == 0


@then("the address that is in use")
def reports_address(context):
    assert any("in use" in f for f in context.faults), context.faults


# What a program does with SIGHUP, in place of a gateway.
ON_SIGHUP = {
    "has not run any code": "import time; time.sleep(60)",
    "reads its settings": (
        "import signal, time\n"
        "signal.signal(signal.SIGHUP, lambda *_: None)\n"
        "signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGHUP])\n"
        "time.sleep(60)"
    ),
    "ends by itself": (
        "import os, signal, time\n"
        "signal.signal(signal.SIGHUP, lambda *_: os._exit(1))\n"
        "signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGHUP])\n"
        "time.sleep(60)"
    ),
}


@given("a gateway of the soak that {does} on SIGHUP")
def gateway_on_sighup(context, does):
    context.program = fleet_lib.Program(
        name="gateway-0",
        command=[sys.executable, "-c", ON_SIGHUP[does]],
        log=context.folder / "gateway-0.log",
    )
    context.program.start()
    context.add_cleanup(context.program.kill)
    if does != "has not run any code":
        processstate.wait_until(
            lambda: processstate.handles_immediately(
                context.program.process.pid, signal.SIGHUP
            ),
            "the program does not handle SIGHUP",
        )


@when("the soak lets it read its settings again")
def reload_gateway(context):
    fleet = mock.Mock(gateways=[context.program])
    driver = driver_lib.Driver(fleet, [], None, None, random.Random(1))
    fault = plan.Fault(at=0.0, kind=plan.Kind.RELOAD_GATEWAY)
    asyncio.run(driver.do_reload_gateway(fault))


@then("it was started {starts:d} times and {runs}")
def started(context, starts, runs):
    assert context.program.starts == starts, context.program.starts
    if runs == "runs":
        assert context.program.is_running
    else:
        processstate.wait_until(
            lambda: not context.program.is_running, "it goes on running"
        )


@given("a soak whose replicas are replaced {after:g} s after they were lost")
def replaced_later(context, after):
    context.lost_at = []

    class Losses(driver_lib.Driver):
        """Notes when replicas are lost, and loses none."""

        async def do_wipe_replica(self, fault):
            context.lost_at.append(time.monotonic())

    fleet = mock.Mock()
    fleet.has_started.return_value = True
    fleet.tolerates_losses = lambda: (
        time.monotonic() >= context.lost_at[0] + after
    )
    book = audit.Book()
    context.driver = Losses(fleet, [], book, None, random.Random(1))


@when(
    "it loses replicas {gap:g} s after others, and waits for {most:g} s at most"
)
def loses_twice(context, gap, most):
    kind = plan.Kind.WIPE_REPLICA
    faults = [
        plan.Fault(at=at, kind=kind, target=target)
        for at, target in ((0.0, 0), (0.0, 1), (gap, 2), (gap, 3))
    ]
    with mock.patch.object(driver_lib, "REPAIR_S", most):
        began = time.monotonic()
        asyncio.run(context.driver.carry_out(faults, began))


@then("the later ones are lost {at:g} s after the others, within {slack:g} s")
def lost_later(context, at, slack):
    first, second, third, fourth = (
        lost - context.lost_at[0] for lost in context.lost_at
    )
    assert second < slack, second
    assert at - 0.01 <= third <= fourth <= at + slack, context.lost_at


@then("it reports {reported}")
def reports(context, reported):
    faults = [
        fault
        for fault in audit.check(context.driver.book)
        if "replicas" in fault
    ]
    assert faults == ([] if reported == "nothing" else [reported]), faults


@then("seeds 0 to {most:d} draw the same faults twice")
def same_faults(context, most):
    context.draws = [plan.draw(seed, plan.Size()) for seed in range(most)]
    again = [plan.draw(seed, plan.Size()) for seed in range(most)]
    assert context.draws == again
    kinds = {fault.kind for faults in context.draws for fault in faults}
    assert kinds == set(plan.DRAWN_KINDS)


@then("no disk is lost within {clear:g} s of another fault of the replicas")
def one_disk(context, clear):
    for faults in context.draws:
        others = [f for f in faults if f.kind in plan.REPLICA_KINDS]
        for wipe in faults:
            if wipe.kind is not plan.Kind.WIPE_REPLICA:
                continue
            near = [f for f in others if abs(f.at - wipe.at) < clear]
            assert near == [wipe], near


def outcome(request: str, kind: str, **changes) -> audit.Outcome:
    """Return a request that was served at once."""
    body = audit.answer_body(request, "e1")
    if kind == "stream":
        numbers = range(1, audit.EVENTS + 1)
        body = b"".join(audit.event(request, n) for n in numbers)
    return audit.Outcome(
        **{
            "request": request,
            "kind": kind,
            "key": "k1",
            "gateway": 0,
            "began": 10.0,
            "ended": 10.1,
            "deadline_s": 3.0,
            "status": 200,
            "whole": True,
            "body": body,
        }
        | changes
    )


def ran(request: str, at: float = 10.05) -> audit.Run:
    """Return the run of a request at a sound endpoint."""
    return audit.Run(request=request, endpoint="e1", at=at, sound=True)


@given("what was seen in a soak without a fault")
def without_fault(context):
    book = audit.Book()
    book.outcomes = [outcome("u", "unsafe"), outcome("s", "stream")]
    book.runs = [ran("u"), ran("s")]
    book.acknowledged = {3: 1.0}
    book.sources[3].add(b"three")
    book.read_back = (3, b"three")
    book.versions = [(0, 1, 3)]
    book.final_versions = {0: 3}
    book.exits = [audit.Exit(name="gateway 0", code=0, took_s=3.0)]
    context.book = book


@when("it is changed so that {fault}")
def changed(context, fault):
    book = context.book
    unsafe, stream = book.outcomes
    whole = audit.answer_body("u", "e1")
    events = [audit.event("s", n) for n in (1, 2, 4)]
    changes = {
        "nothing is changed": {},
        "an unsafe request runs twice": {"runs": [*book.runs, ran("u")]},
        "a request that was refused has run": {
            "outcomes": [attrs.evolve(unsafe, status=503), stream]
        },
        "another request's answer comes": {
            "outcomes": [
                attrs.evolve(unsafe, body=whole.replace(b"u", b"v")),
                stream,
            ]
        },
        "a stream skips an event": {
            "outcomes": [unsafe, attrs.evolve(stream, body=b"".join(events))]
        },
        "an answer is cut off": {
            "outcomes": [attrs.evolve(unsafe, status=0, whole=False), stream]
        },
        "an answer is cut off by a kill": {
            "outcomes": [attrs.evolve(unsafe, status=0, whole=False), stream],
            "disturbed": [audit.Span(gateway=0, begin=10.0, end=11.0)],
        },
        "an answer comes far too late": {
            "outcomes": [attrs.evolve(unsafe, ended=19.0), stream]
        },
        "a request runs that nobody sent": {"runs": [*book.runs, ran("x")]},
        "a key works long after it was taken": {"revoked": {"k1": 4.0}},
        "a request reaches an endpoint that left": {
            "left": {"e1": 10.06 - audit.DRAIN_S - 1.0},
        },
        "a version goes back": {"versions": [(0, 1, 3), (0, 1, 2)]},
        "an acknowledged version is lost": {
            "acknowledged": {3: 1.0, 4: 2.0},
            "final_versions": {0: 4},
        },
        "other content is read back": {"read_back": (3, b"other")},
        "a poison request runs on and on": {
            "poisoned": {b"poison 1": [float(n) for n in range(20)]}
        },
        "a proper request is refused as poison": {
            "outcomes": [
                unsafe,
                attrs.evolve(stream, status=503, body=b'"quarantined"'),
            ]
        },
        "endpoints are reached too often": {
            "sent": [10.5 + n for n in range(10)],
            "arrivals": [("u", 10.0 + n / 10) for n in range(24)],
        },
        "endpoints are reached as often as they may": {
            "sent": [10.5 + n for n in range(10)],
            "arrivals": [("u", 10.0 + n / 10) for n in range(23)],
        },
        "a process stops too slowly": {
            "exits": [audit.Exit(name="gateway 0", code=0, took_s=20.0)]
        },
    }
    for name, value in changes[fault].items():
        setattr(book, name, value)


@when("its loop is {late:g} s late while an answer is cut off")
def late_loop(context, late):
    unsafe, stream = context.book.outcomes
    cut = attrs.evolve(unsafe, status=0, whole=False)
    context.book.outcomes = [cut, stream]
    delay = lateness.Delay(what="loop", due=unsafe.began, late_s=late)
    context.book.lateness.delays.append(delay)


@when("a soak breaks a promise")
def breaks_promise(context):
    async def broken(_seed, _size, folder):
        (folder / "gateway-0.log").write_text("first\nlast words\n")
        return audit.Book()

    context.kept = context.folder / "kept"
    with mock.patch.object(run, "soak", broken):
        context.faults, _ = run.run_seed(1, plan.Size(), str(context.kept))


@then("its logs and its promise are kept, and the last lines are shown")
def logs_kept(context):
    (kept,) = context.kept.iterdir()
    assert (kept / "gateway-0.log").exists()
    promise = context.faults[0]
    assert promise in (kept / "broken.txt").read_text()
    assert "gateway-0.log: last words" in context.faults, context.faults


@then("the report names what processes waited for")
def says_load(context):
    (kept,) = context.kept.iterdir()
    assert "processes waited for cpu" in (kept / "broken.txt").read_text()


@when("its seconds are written")
def write_seconds(context):
    path = context.folder / timeline.FILE
    timeline.write(context.book, path)
    context.lines = path.read_text().splitlines()


@then("each second says how many requests were sent and served")
def check_seconds(context):
    rows = [line.split(",") for line in context.lines[1:]]
    sent = sum(int(row[1]) for row in rows)
    served = sum(int(row[2]) for row in rows)
    assert sent == len(context.book.outcomes), context.lines
    assert served == len(context.book.outcomes), context.lines


@given("a machine on which processes have waited {seconds:g} s for {resource}")
def busy_machine(context, seconds, resource):
    context.resource = resource
    context.waited_s = 0.0
    (context.folder / "stat").write_text("cpu  1 2 3 4 5 6 7 8 0 0\n")
    wait_more(context, seconds)
    context.load_of_machine = read_load_of(context)


def read_load_of(context) -> machineload.MachineLoad:
    """Return what the files of a made-up machine say."""
    return machineload.read(context.folder, context.folder / "stat")


@when("they wait for {seconds:g} s more")
def wait_more(context, seconds):
    context.waited_s += seconds
    for name in machineload.RESOURCES:
        waited_s = context.waited_s if name == context.resource else 0.0
        some = f"some avg10=0.00 total={int(waited_s * 1e6)}"
        (context.folder / name).write_text(f"{some}\nfull total=0\n")


@then('"{words}" is said, and 0.0 s of all others')
def said_of_machine(context, words):
    found = machineload.words(context.load_of_machine, read_load_of(context))
    assert words in found, found
    for name in machineload.RESOURCES:
        if name != context.resource:
            assert f"{name} 0.0 s" in found, found


@then("exactly this is reported: {words}")
def reported(context, words):
    faults = audit.check(context.book)
    if words == "nothing":
        assert not faults, faults
    else:
        assert faults, "nothing is reported"
        assert all(words in fault for fault in faults), faults
