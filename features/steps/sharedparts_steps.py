"""Steps for requests that crash engines by a part that they share."""

import asyncio
import contextlib
from unittest import mock

import attrs
from behave import given
from behave import then
from behave import when
import msgspec

from _coltsfootroad.commands import quarantinectl
from _coltsfootroad.control import coordinator
from _coltsfootroad.control import crashreports
from _coltsfootroad.control import state as state_lib
from _coltsfootroad.core import crashes
from _coltsfootroad.core import fingerprints
from _coltsfootroad.core import promptparts
from _coltsfootroad.core import quarantine
from _coltsfootroad.gateway import quarantine as local_quarantine
from _coltsfootroad.shell import quarantineapi
from features.support import crashworld
from features.support import ledgerpatterns
from features.support import partdefects
from features.support import parthistories
from features.support import partworld

AT_ONCE_S = 0.1


@given(
    "{gateways:d} gateways in front of {engines:d} engines that stream,"
    " seed {seed:d}"
)
def given_fleet(context, gateways, engines, seed):
    manager = partworld.fleet(gateways, engines, seed)
    context.world, context.go = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)


@when(
    "requests with a part that crashes engines {mode} come every {every:g} s"
    " for {seconds:g} s"
)
def one_part(context, mode, every, seconds):
    context.world.mode = partworld.CrashMode(mode)
    context.history = parthistories.History(
        poison=(parthistories.poison_caller(every),), seconds=seconds
    )
    parthistories.play(context.world, context.go, context.history)


@when('the history "{name}" is played')
def play_history(context, name):
    context.history = parthistories.HISTORIES[name]
    parthistories.play(context.world, context.go, context.history)


@when("proper requests with shared parts are sent beside {trouble}")
def proper_beside(context, trouble):
    history = parthistories.History(poison=(), trouble=trouble)
    parthistories.play(context.world, context.go, history)


@then("nothing is in quarantine")
def nothing_quarantined(context):
    entries = context.world.state.quarantine.entries
    assert not entries, entries


@then(
    "each such part reaches engines at most {count:d} times later than"
    " {seconds:g} s after its fifth crash"
)
def bounded(context, count, seconds):
    assert count == partworld.ALLOWED_SENDS
    assert seconds == crashworld.CONTACT_S
    context.world.check_sends()


@then(
    "proper requests with the same key or first part are served half as often"
    " as before"
)
def served(context):
    context.world.check_served(context.history.proper)


@then("no part of proper requests is in quarantine")
def no_proper_part(context):
    parthistories.check_entries(context.world, context.history)


# --- trials ------------------------------------------------------------------


@when("a template and a part that crashes engines only come together")
def always_together(context):
    caller = parthistories.poison_caller(0.3, "t1", parthistories.POISON_PART)
    context.history = parthistories.History(poison=(caller,), seconds=8.0)
    parthistories.play(context.world, context.go, context.history)


@then("both are in quarantine")
def both_quarantined(context):
    entries = context.world.state.quarantine.entries
    for name in ("t1", parthistories.POISON_PART):
        assert parthistories.part(name) in entries, entries


@when("requests with the template alone come {seconds:g} s later")
def template_alone(context, seconds):
    world = context.world
    caller = partworld.Caller(workspace="acme", parts=("t1",))

    async def story():
        await world.run(seconds)
        for _ in range(5):
            await world.send(caller)
            await world.run(1.0)

    context.go(story())


@then("the template is released and the part is not")
def template_released(context):
    entries = context.world.state.quarantine.entries
    assert parthistories.part("t1") not in entries, entries
    assert parthistories.part(parthistories.POISON_PART) in entries, entries


@then("{count:d} trials of the part were started")
def trials_started(context, count):
    entries = context.world.state.quarantine.entries
    entry = entries[parthistories.part(parthistories.POISON_PART)]
    assert entry.trials == count == quarantine.MAX_TRIALS, entry
    assert entry.trial_at is None


@when(
    "a part that crashes engines is fixed {seconds:g} s after it is quarantined"
)
def is_fixed(context, seconds):
    world = context.world
    caller = parthistories.poison_caller(0.3, parthistories.POISON_PART)
    world.poison_parts.add(parthistories.POISON_PART)
    part = parthistories.part(parthistories.POISON_PART)

    async def story():
        world.spawn(world.repeat(caller))
        while part not in world.state.quarantine.entries:
            await world.run(0.05)
        context.began_at = world.now
        await world.run(seconds)
        world.fixed = True
        await world.run(quarantine.FIRST_TRIAL_DELAY_S + 5.0)
        # Another cause than the part, while requests with it are in flight.
        for engine in list(world.engines.values())[:2]:
            world.crash(engine)
        await world.run(quarantine.FIRST_TRIAL_DELAY_S)

    context.go(story())


@then(
    "requests with it are refused until {seconds:g} s after that, and then"
    " served"
)
def refused_then_served(context, seconds):
    assert seconds == quarantine.FIRST_TRIAL_DELAY_S
    ((_, tries),) = context.world.first_tries.items()
    passed_at = context.began_at + seconds
    early = [ok for at, ok in tries if context.began_at + 0.5 < at < passed_at]
    late = [ok for at, ok in tries if at > passed_at + 2.0]
    assert early and not any(early), early
    assert len(late) > 10 and sum(late) > 0.9 * len(late), late
    part = parthistories.part(parthistories.POISON_PART)
    assert part not in context.world.state.quarantine.entries


@when("a part that crashes engines is fixed, and removed by an operator")
def removed_by_operator(context):
    world = context.world
    caller = parthistories.poison_caller(0.3, parthistories.POISON_PART)
    world.poison_parts.add(parthistories.POISON_PART)
    part = parthistories.part(parthistories.POISON_PART)

    async def story():
        sending = asyncio.ensure_future(world.repeat(caller))
        while part not in world.state.quarantine.entries:
            await world.run(0.05)
        sending.cancel()
        world.fixed = True
        await world.run(5.0)
        world.apply(crashreports.EndQuarantine(fingerprint=part, reason="test"))

    context.go(story())


@when("an engine crashes for another reason")
def unrelated_crash(context):
    world = context.world
    caller = partworld.Caller(workspace="acme", parts=("f1",))

    async def story():
        world.spawn(world.send(caller))
        await world.run(0.1)
        for engine in list(world.engines.values()):
            if engine.calls:
                world.crash(engine)
        await world.run(3.0)

    context.go(story())


@then("no part is in quarantine")
def no_part(context):
    entries = context.world.state.quarantine.entries
    assert not any(fingerprint.is_part for fingerprint in entries), entries


@when("two parts are quarantined 30 s apart, and requests have both")
def two_entries(context):
    world = context.world
    caller = partworld.Caller(workspace="acme", parts=("p1", "p2"), attempts=1)

    async def story():
        parthistories.put_in_quarantine(world, "p1")
        await world.run(30.0)
        parthistories.put_in_quarantine(world, "p2")
        context.second_at = world.now
        while world.now < context.second_at + 100.0:
            await world.send(caller)
            await world.run(1.0)

    context.go(story())


@then("none of them runs until {seconds:g} s after the second")
def runs_later(context, seconds):
    assert seconds == (
        quarantine.FIRST_TRIAL_DELAY_S + local_quarantine.JOINT_TRIAL_DELAY_S
    )
    ((_, tries),) = context.world.first_tries.items()
    first = next(at for at, is_served in tries if is_served)
    assert seconds <= first - context.second_at <= seconds + 3.0, first


@when(
    "{count:d} requests with a quarantined part crash engines beside a popular"
    " content"
)
def crashes_of_a_part(context, count):
    context.popular = ledgerpatterns.fingerprint_of("popular")
    context.ledger = ledgerpatterns.ledger_of(
        [
            attrs.evolve(
                report,
                suspects=tuple(
                    attrs.evolve(suspect, parts=("f1", "p1"))
                    if suspect.fingerprint != context.popular
                    else suspect
                    for suspect in report.suspects
                ),
            )
            for number in range(count)
            for report in ledgerpatterns.in_a_row(
                1, f"poison{number}", "popular", first=number
            )
        ]
    )


@then("the popular content is not a culprit")
def popular_is_no_culprit(context):
    known = {parthistories.part("p1")}
    culprits = context.ledger.find_culprits(known, ledgerpatterns.END_S)
    assert context.popular not in {c.fingerprint for c in culprits}, culprits


def leader_with(reports):
    """Return a leader, and the fingerprints that it convicts in 2 s."""
    leader = coordinator.Coordinator(
        epoch="e", state=state_lib.ControlState(), started_at=0.0
    )
    leader.shared_features.on_answer(parthistories.part("f1"), -1.0)
    found = []
    for report in reports:
        leader.crashes.record(report, report.at)
        found += leader.quarantine_suspects(report.at)
    for step in range(1, 41):
        now = reports[-1].at + step * crashworld.relayworld.STEP_S
        found += leader.quarantine_delayed(now)
        for command in found:
            leader.state.apply(command, now)
    return {command.fingerprint for command in found}


def with_parts(report, parts_by_name):
    """Return a report whose requests have parts, by their names."""
    parts = {
        ledgerpatterns.fingerprint_of(name): found
        for name, found in parts_by_name.items()
    }
    return attrs.evolve(
        report,
        suspects=tuple(
            attrs.evolve(suspect, parts=parts.get(suspect.fingerprint, ()))
            for suspect in report.suspects
        ),
    )


@when(
    "a leader learns of {count:d} crashes of {parts:d} parts beside a popular"
    " content"
)
def crashes_of_parts(context, count, parts):
    context.parts = [f"p{number}" for number in range(parts)]
    reports = [
        with_parts(
            report,
            {
                f"poison{number}": ("f1", f"p{number % parts}"),
                "popular": ("f1",),
            },
        )
        for number in range(count)
        for report in ledgerpatterns.in_a_row(
            1, f"poison{number}", "popular", first=number
        )
    ]
    context.found = leader_with(reports)


@then("it convicts {count:d} parts within 2 s and never the popular content")
def convicts_parts(context, count):
    wanted = {parthistories.part(name) for name in context.parts}
    assert context.found <= wanted, context.found
    assert len(context.found) == count, context.found


@when("a leader learns of {count:d} crashes of one content with parts")
def crashes_of_content(context, count):
    context.found = leader_with(
        [
            with_parts(report, {"poison": ("f1", "p1")})
            for report in ledgerpatterns.in_a_row(count, "poison")
        ]
    )


@then("it convicts the content and no part")
def convicts_content(context):
    wanted = {ledgerpatterns.fingerprint_of("poison")}
    assert context.found == wanted, context.found


# --- refusals ----------------------------------------------------------------


@when("a part enters quarantine while {count:d} requests with it are answered")
def enters_while_running(context, count):
    world = context.world
    caller = partworld.Caller(workspace="acme", parts=("f1", "p1"))

    async def story():
        asked = [
            asyncio.ensure_future(
                world.ask_with_parts(caller, b"body %d" % number, "f1:1,p1:1,x")
            )
            for number in range(count)
        ]
        await world.run(crashworld.SERVE_S + 0.1)
        assert not any(task.done() for task in asked)
        began_at = world.now
        parthistories.put_in_quarantine(world, "p1")
        await asyncio.gather(*asked)
        context.took_s = world.now - began_at
        context.answers = [task.result() for task in asked]
        context.later = [
            await world.ask_with_parts(caller, b"later", "f1:2,p1:9,y", gateway)
            for gateway in world.gateways.values()
        ]
        other = attrs.evolve(caller, workspace="other")
        context.other = await world.ask_with_parts(
            other, b"later", "f1:2,p1:9,y"
        )

    context.go(story())


@then("their streams are broken off within {seconds:g} s")
def broken_off(context, seconds):
    assert seconds == AT_ONCE_S
    assert context.took_s <= seconds, context.took_s
    # The emulated connection shows a closed one as status 0.
    assert {answer.status for answer in context.answers} == {0}


@then("later ones get 503 with a retry delay at each gateway")
def refused(context):
    for answer in context.later:
        assert answer.status == 503, answer.status
        assert b'"ran": "no"' in answer.body, answer.body
        assert float(answer.headers["Retry-After"]) > 1.0, answer.headers


@then("the same part of another workspace is served")
def other_workspace(context):
    assert context.other.status == 200, context.other.status


# --- costs -------------------------------------------------------------------


@when("{count:d} requests with parts are served")
def served_with_parts(context, count):
    world = context.world
    caller = partworld.Caller(workspace="acme", parts=("f1", "p1"))
    with mock.patch.object(
        promptparts, "shared_parts", wraps=promptparts.shared_parts
    ) as context.read:

        async def story():
            await asyncio.gather(*(world.send(caller) for _ in range(count)))

        context.go(story())


@then("no header of parts was read")
def not_read(context):
    assert context.read.call_count == 0, context.read.call_count


# --- operators -----------------------------------------------------------------


@then(
    "an operator's entry for part {part} of workspace {workspace} is {result}"
)
def operators_entry(context, part, workspace, result):
    del context
    new_entry = quarantineapi.NewEntry(
        workspace=workspace, part=part, reason="test"
    )
    if result == "invalid":
        assert quarantineapi.validation_error(new_entry)
        return
    assert not quarantineapi.validation_error(new_entry)
    entry = quarantine.Entry(
        fingerprint=new_entry.identity(), reason="test", since=0, trial_at=None
    )
    shared = fingerprints.of_parts(("bad1",), "acme")
    assert entry.fingerprint in shared, entry
    text = quarantinectl.format_entry(quarantineapi.to_document(entry), 1.0)
    assert f"{workspace!r}, part of prompts: test" in text, text
    both = attrs.evolve(new_entry, fingerprint="0" * 32)
    assert quarantineapi.validation_error(both)


# --- mixed builds --------------------------------------------------------------


@attrs.frozen(kw_only=True)
class EarlierSuspect:
    """A suspect as builds without parts know it."""

    fingerprint: fingerprints.Fingerprint
    in_flight_s: float
    has_output: bool = False


@attrs.frozen(kw_only=True)
class EarlierCrash:
    """A crash as builds without parts know it."""

    endpoint: crashes.EndpointKey
    age_s: float
    suspects: tuple[EarlierSuspect, ...]


@attrs.frozen(kw_only=True)
class EarlierReport:
    """A report as builds without parts know it."""

    gateway: str
    crashes: tuple[EarlierCrash, ...] = ()
    cleared: tuple[fingerprints.Fingerprint, ...] = ()
    stopped: tuple[EarlierCrash, ...] = ()


def report(aged_crash, aged_suspect, new_report, **fields):
    """Return a report of one crash, in the classes of a build."""
    suspect = aged_suspect(
        fingerprint=crashworld.fingerprint(b"body", "safe"),
        in_flight_s=0.1,
        **fields,
    )
    crash = aged_crash(
        endpoint=crashes.EndpointKey(endpoint="e1", incarnation=1),
        age_s=0.5,
        suspects=(suspect,),
    )
    return new_report(gateway="gw-1", crashes=(crash,))


@then("a report with parts and answers is read without them")
def read_by_earlier(context):
    del context
    sent = report(
        crashreports.AgedCrash,
        crashreports.AgedSuspect,
        crashreports.ReportCrashes,
        parts=("f1", "p1"),
    )
    answer = crashreports.AgedAnswer(
        fingerprint=parthistories.part("f1"), age_s=0.1
    )
    sent = attrs.evolve(sent, answered=(answer,))
    data = msgspec.msgpack.encode(sent)
    read = msgspec.msgpack.decode(data, type=EarlierReport)
    assert read == report(EarlierCrash, EarlierSuspect, EarlierReport), read


@then("a report of an earlier build is read")
def read_earlier(context):
    del context
    data = msgspec.msgpack.encode(
        report(EarlierCrash, EarlierSuspect, EarlierReport)
    )
    read = msgspec.msgpack.decode(data, type=crashreports.ReportCrashes)
    assert read.crashes[0].suspects[0].parts == (), read
    assert not read.answered, read


@then("a snapshot with an entry of a part is read back")
def snapshot_kept(context):
    del context
    state = state_lib.ControlState()
    command = crashreports.Quarantine(
        fingerprint=parthistories.part("p1"), reason="test"
    )
    state.apply(command, 100.0)
    loaded = state_lib.load(state_lib.save(state))
    assert loaded.quarantine.entries == state.quarantine.entries


# --- defects -------------------------------------------------------------------


@when('the defect "{label}" is in the quarantine of parts')
def inject_defect(context, label):
    patch, context.play, *others = partdefects.DEFECTS[label]
    context.patches = [patch, *others]


@then("a history of shared parts fails")
def history_fails(context):
    with contextlib.ExitStack() as stack:
        for patch in context.patches:
            stack.enter_context(mock.patch.object(*patch))
        try:
            context.play()
        except AssertionError:
            return
    raise AssertionError("the injected defect was not detected")


@then("the same history holds without the defect")
def history_holds(context):
    context.play()


# --- headers -------------------------------------------------------------------


@then('a prompt stated as "{header}" shares the parts "{parts}"')
@then('a prompt stated as "{header}" shares the parts ""')
@then('a prompt stated as "" shares the parts ""')
def shared(context, header="", parts=""):
    del context
    assert " ".join(promptparts.shared_parts(header)) == parts


@then("a prompt stated with {count:d} parts shares {shared_count:d} parts")
def bounded_parts(context, count, shared_count):
    del context
    header = ",".join(f"{number:x}:10" for number in range(count))
    assert len(promptparts.shared_parts(header)) == shared_count
    too_long = "a" * (promptparts.MAX_ID_CHARS + 1)
    assert not promptparts.shared_parts(f"{too_long}:1,e440:250")
