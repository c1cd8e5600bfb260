"""Steps that run soaks and that check their parts on constructed data."""

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
# Enough for two replacements and two wipes.
SECONDS = 14
# Few enough for the slack to be a large part of the retry budget.
SHED_CALLERS = 3


def run_in_scenario(context, seed: int, options: plan.SoakOptions) -> None:
    """Run a soak; its logs are kept if the scenario fails for any reason."""
    logs = context.folder / "soak"
    logs.mkdir()
    context.violations, context.served = run.run_seed(seed, options, "", logs)
    context.violations += run.last_log_lines(logs) if context.violations else []


@when("a soak of seed {seed:d} runs for {seconds:d} s")
def soak(context, seed, seconds):
    options = plan.SoakOptions(seconds=seconds)
    run_in_scenario(context, seed, options)


@when("a soak of seed {seed:d} replaces some of {count:d} replicas")
def soak_replacing(context, count, seed):
    options = plan.SoakOptions(replicas=count, replacing=True, seconds=SECONDS)
    run_in_scenario(context, seed, options)


@when(
    "a soak of seed {seed:d} with {routes:d} routes and links of {mbits:g}"
    " Mbit/s replaces some of {count:d} replicas"
)
def soak_narrow(context, count, routes, mbits, seed):
    options = plan.SoakOptions(
        replicas=count,
        replacing=True,
        seconds=SECONDS,
        routes=routes,
        mbits=mbits,
    )
    run_in_scenario(context, seed, options)


@when("a soak of seed {seed:d} sends {count:d} poison requests")
def soak_poison(context, count, seed):
    options = plan.SoakOptions(poisons=count, seconds=SECONDS)
    run_in_scenario(context, seed, options)


@when("a soak of seed {seed:d} sends requests with {count:d} poison parts")
def soak_poison_parts(context, count, seed):
    options = plan.SoakOptions(poison_parts=count, seconds=SECONDS)
    run_in_scenario(context, seed, options)


@when("gateways are cut off from all endpoints in a soak of seed {seed:d}")
def soak_cutting(context, seed):
    options = plan.SoakOptions(cutting=True, seconds=SECONDS)
    run_in_scenario(context, seed, options)


@when("zones are evacuated in a soak of seed {seed:d}")
def soak_evacuating(context, seed):
    options = plan.SoakOptions(evacuating=True, seconds=SECONDS)
    run_in_scenario(context, seed, options)


@when("all endpoints shed while gateways restart in a soak of seed {seed:d}")
def soak_shedding(context, seed):
    options = plan.SoakOptions(
        shedding=True, seconds=SECONDS, callers=SHED_CALLERS
    )
    run_in_scenario(context, seed, options)


@then("no guarantee is violated and at least {served:d} requests are served")
def check_no_violations(context, served):
    assert not context.violations, context.violations
    assert context.served >= served, context.served


@given("a soak in which two replicas get the same port")
def same_port(context):
    original = ports.free_ports

    def free_ports(count, host=ports.HOST):
        found = original(count, host)
        return [found[0], *found[:-1]] if count == REPLICAS else found

    context.patched = mock.patch.object(ports, "free_ports", free_ports)


@when("it has {seconds:d} s to apply its first version")
def short_start(context, seconds):
    options = plan.SoakOptions(replicas=REPLICAS, gateways=1)
    with (
        context.patched,
        mock.patch.object(run, "FIRST_VERSION_TIMEOUT_S", float(seconds)),
        mock.patch.object(driver_lib, "OPERATOR_ATTEMPTS", 1),
    ):
        context.violations, context.served = run.run_seed(1, options, "")


@then("it reports that no replica accepted a version")
def reports_no_version(context):
    assert (
        "no replica accepted a version" in context.violations[0]
    ), context.violations
    assert context.served == 0


@then("it reports the address that is in use")
def reports_address(context):
    assert any("in use" in v for v in context.violations), context.violations


# Programs that replace a gateway, by their behaviour on SIGHUP.
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


@when("the soak sends it SIGHUP")
def reload_gateway(context):
    fleet = mock.Mock(gateways=[context.program])
    injector = driver_lib.FaultInjector(fleet, [], None, None, random.Random(1))
    fault = plan.Fault(at=0.0, kind=plan.FaultKind.RELOAD_GATEWAY)
    asyncio.run(injector.do_reload_gateway(fault))


@then("it was started {starts:d} times and {runs}")
def started(context, starts, runs):
    assert context.program.starts == starts, context.program.starts
    if runs == "runs":
        assert context.program.is_running
    else:
        processstate.wait_until(
            lambda: not context.program.is_running, "the process still runs"
        )


@given("a soak whose replicas are replaced {after:g} s after their loss")
def replaced_later(context, after):
    context.lost_at = []

    class Losses(driver_lib.FaultInjector):
        """Records when replicas would be wiped, without wiping them."""

        async def do_wipe_replica(self, fault):
            context.lost_at.append(time.monotonic())

    fleet = mock.Mock()
    fleet.has_started.return_value = True
    fleet.has_full_quorum = lambda: (
        time.monotonic() >= context.lost_at[0] + after
    )
    observed = audit.Observations()
    context.injector = Losses(fleet, [], observed, None, random.Random(1))


@when(
    "it loses replicas {gap:g} s after others, with a repair timeout of"
    " {most:g} s"
)
def loses_twice(context, gap, most):
    kind = plan.FaultKind.WIPE_REPLICA
    faults = [
        plan.Fault(at=at, kind=kind, target=target)
        for at, target in ((0.0, 0), (0.0, 1), (gap, 2), (gap, 3))
    ]
    with mock.patch.object(driver_lib, "REPAIR_TIMEOUT_S", most):
        started_at = time.monotonic()
        asyncio.run(context.injector.run_faults(faults, started_at))


@then("the later losses are {at:g} s after the first, within {slack:g} s")
def lost_later(context, at, slack):
    first, second, third, fourth = (
        lost - context.lost_at[0] for lost in context.lost_at
    )
    assert second < slack, second
    assert at - 0.01 <= third <= fourth <= at + slack, context.lost_at


@then("it reports {reported}")
def reports(context, reported):
    violations = [
        violation
        for violation in audit.check(context.injector.observed)
        if "replicas" in violation
    ]
    assert violations == (
        [] if reported == "nothing" else [reported]
    ), violations


@then("seeds 0 to {most:d} draw the same faults twice")
def same_faults(context, most):
    context.draws = [
        plan.draw_faults(seed, plan.SoakOptions()) for seed in range(most)
    ]
    again = [plan.draw_faults(seed, plan.SoakOptions()) for seed in range(most)]
    assert context.draws == again
    kinds = {fault.kind for faults in context.draws for fault in faults}
    assert kinds == set(plan.DRAWN_KINDS)


@then("no disk is lost within {clear:g} s of another fault of the replicas")
def one_disk(context, clear):
    for faults in context.draws:
        others = [f for f in faults if f.kind in plan.REPLICA_KINDS]
        for wipe in faults:
            if wipe.kind is not plan.FaultKind.WIPE_REPLICA:
                continue
            near = [f for f in others if abs(f.at - wipe.at) < clear]
            assert near == [wipe], near


def outcome(request: str, kind: str, **changes) -> audit.Outcome:
    """Return the outcome of a request that was served within 0.1 s."""
    body = audit.response_body(request, "e1")
    if kind == "stream":
        numbers = range(1, audit.STREAM_EVENTS + 1)
        body = b"".join(audit.stream_event(request, n) for n in numbers)
    return audit.Outcome(
        **{
            "request": request,
            "kind": kind,
            "key": "k1",
            "gateway": 0,
            "started_at": 10.0,
            "ended_at": 10.1,
            "deadline_s": 3.0,
            "status": 200,
            "complete": True,
            "body": body,
        }
        | changes
    )


def ran(request: str, at: float = 10.05) -> audit.Run:
    """Return the run of a request at an undisturbed endpoint."""
    return audit.Run(request=request, endpoint="e1", at=at, undisturbed=True)


@given("the observations of a soak without violations")
def without_fault(context):
    observed = audit.Observations()
    observed.outcomes = [outcome("u", "unsafe"), outcome("s", "stream")]
    observed.runs = [ran("u"), ran("s")]
    observed.acknowledged_at = {3: 1.0}
    observed.sources_by_version[3].add(b"three")
    observed.read_back = (3, b"three")
    observed.versions_seen = [(0, 1, 3)]
    observed.final_versions = {0: 3}
    observed.exits = [audit.Exit(name="gateway 0", code=0, took_s=3.0)]
    context.observed = observed


def cut_off_outcomes(served: int) -> dict[str, list]:
    """Return observations of a cut-off gateway that serves some of 60."""
    found = [
        outcome(
            f"o{number}",
            "safe",
            gateway=number % 2,
            started_at=14.0,
            ended_at=14.1,
            status=200 if number % 2 == 0 or number // 2 < served else 503,
            body=audit.response_body(f"o{number}", "e1"),
        )
        for number in range(120)
    ]
    return {
        "outcomes": found,
        "runs": [ran(o.request, 14.05) for o in found if o.status == 200],
        "cuts": [audit.Disturbance(gateway=1, begin=10.0, end=16.0)],
    }


@when("they are changed so that {fault}")
def changed(context, fault):
    observed = context.observed
    unsafe, stream = observed.outcomes
    body = audit.response_body("u", "e1")
    events = [audit.stream_event("s", n) for n in (1, 2, 4)]
    changes = {
        "nothing changes": {},
        "an unsafe request runs twice": {"runs": [*observed.runs, ran("u")]},
        "a request that was refused has run": {
            "outcomes": [attrs.evolve(unsafe, status=503), stream]
        },
        "a response is another request's": {
            "outcomes": [
                attrs.evolve(unsafe, body=body.replace(b"u", b"v")),
                stream,
            ]
        },
        "a stream skips an event": {
            "outcomes": [unsafe, attrs.evolve(stream, body=b"".join(events))]
        },
        "a response is truncated": {
            "outcomes": [attrs.evolve(unsafe, status=0, complete=False), stream]
        },
        "a response is truncated by a kill": {
            "outcomes": [
                attrs.evolve(unsafe, status=0, complete=False),
                stream,
            ],
            "disturbances": [
                audit.Disturbance(gateway=0, begin=10.0, end=11.0)
            ],
        },
        "a response comes too late": {
            "outcomes": [attrs.evolve(unsafe, ended_at=19.0), stream]
        },
        "a request runs that was never sent": {
            "runs": [*observed.runs, ran("x")]
        },
        "a key works long after its revocation": {"revoked_at": {"k1": 4.0}},
        "a request reaches an endpoint that left": {
            "left_at": {"e1": 10.06 - audit.DRAIN_PERIOD_S - 1.0},
        },
        "a version goes back": {"versions_seen": [(0, 1, 3), (0, 1, 2)]},
        "an acknowledged version is lost": {
            "acknowledged_at": {3: 1.0, 4: 2.0},
            "final_versions": {0: 4},
        },
        "other content is read back": {"read_back": (3, b"other")},
        "a poison request is not quarantined": {
            "poison_runs": {b"poison 1": [float(n) for n in range(20)]}
        },
        "a poison part is not quarantined": {
            "part_runs": {"poison1": [float(n) for n in range(24)]}
        },
        "another request is quarantined": {
            "outcomes": [
                unsafe,
                attrs.evolve(stream, status=503, body=b'"quarantined"'),
            ]
        },
        "retries exceed the budget": {
            "sent": [10.5 + n for n in range(10)],
            "arrivals": [("u", 10.0 + n / 10) for n in range(24)],
        },
        "retries use up the budget": {
            "sent": [10.5 + n for n in range(10)],
            "arrivals": [("u", 10.0 + n / 10) for n in range(23)],
        },
        "cut-off gateways serve too little": cut_off_outcomes(20),
        "cut-off gateways serve enough": cut_off_outcomes(50),
        "no gateway reaches an endpoint": cut_off_outcomes(20)
        | {
            "absences": [audit.Disturbance(gateway=0, begin=9.0, end=12.0)],
        },
        "an evacuated zone gets a request": {
            "evacuations": [audit.Evacuation(zone="z", begin=1.0, end=9.0)],
            "zone_arrivals": {"z": [0.5, 5.9, 6.1, 9.5]},
        },
        "a zone gets requests beside its evacuation": {
            "evacuations": [audit.Evacuation(zone="z", begin=1.0, end=9.0)],
            "zone_arrivals": {"z": [0.5, 5.9, 9.5]},
        },
        "a process stops too slowly": {
            "exits": [audit.Exit(name="gateway 0", code=0, took_s=20.0)]
        },
    }
    for name, value in changes[fault].items():
        setattr(observed, name, value)


@when("its event loop is {late:g} s late while a response is truncated")
def late_loop(context, late):
    unsafe, stream = context.observed.outcomes
    cut = attrs.evolve(unsafe, status=0, complete=False)
    context.observed.outcomes = [cut, stream]
    delay = lateness.Delay(source="loop", due_at=unsafe.started_at, late_s=late)
    context.observed.lateness.delays.append(delay)


@when("a soak finds a violation")
def finds_violation(context):
    async def soak_without_requests(_seed, _options, folder):
        (folder / "gateway-0.log").write_text("first\nlast words\n")
        return audit.Observations()

    context.kept = context.folder / "kept"
    with mock.patch.object(run, "soak", soak_without_requests):
        context.violations, _ = run.run_seed(
            1, plan.SoakOptions(), str(context.kept)
        )


@then(
    "its logs and the violation are kept, and the last log lines are reported"
)
def logs_kept(context):
    (kept,) = context.kept.iterdir()
    assert (kept / "gateway-0.log").exists()
    violation = context.violations[0]
    assert violation in (kept / "broken.txt").read_text()
    assert "gateway-0.log: last words" in context.violations, context.violations


@then("the report names the resources that processes waited for")
def says_load(context):
    (kept,) = context.kept.iterdir()
    assert "processes waited for cpu" in (kept / "broken.txt").read_text()


@when("its timeline is written")
def write_seconds(context):
    path = context.folder / timeline.FILE
    timeline.write(context.observed, path)
    context.lines = path.read_text().splitlines()


@then("each second has the number of requests sent and served")
def check_seconds(context):
    rows = [line.split(",") for line in context.lines[1:]]
    sent = sum(int(row[1]) for row in rows)
    served = sum(int(row[2]) for row in rows)
    assert sent == len(context.observed.outcomes), context.lines
    assert served == len(context.observed.outcomes), context.lines


@given("a machine on which processes have waited {seconds:g} s for {resource}")
def busy_machine(context, seconds, resource):
    context.resource = resource
    context.waited_s = 0.0
    (context.folder / "stat").write_text("cpu  1 2 3 4 5 6 7 8 0 0\n")
    wait_more(context, seconds)
    context.load_of_machine = read_load_of(context)


def read_load_of(context) -> machineload.MachineLoad:
    """Return the load that the files of a simulated machine report."""
    return machineload.measure(context.folder, context.folder / "stat")


@when("they wait for {seconds:g} s more")
def wait_more(context, seconds):
    context.waited_s += seconds
    for name in machineload.RESOURCES:
        waited_s = context.waited_s if name == context.resource else 0.0
        some = f"some avg10=0.00 total={int(waited_s * 1e6)}"
        (context.folder / name).write_text(f"{some}\nfull total=0\n")


@then('"{words}" is reported, and 0.0 s for all other resources')
def reported_load(context, words):
    found = machineload.describe(context.load_of_machine, read_load_of(context))
    assert words in found, found
    for name in machineload.RESOURCES:
        if name != context.resource:
            assert f"{name} 0.0 s" in found, found


@then("only this is reported: {words}")
def reported(context, words):
    violations = audit.check(context.observed)
    if words == "nothing":
        assert not violations, violations
    else:
        assert violations, "nothing is reported"
        assert all(words in found for found in violations), violations
