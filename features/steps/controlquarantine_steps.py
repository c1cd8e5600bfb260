"""Steps on the quarantine in the replicated state."""

import random

from behave import given
from behave import then
from behave import when
import msgspec

from _coltsfootroad.control import crashreports
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import state as state_lib
from _coltsfootroad.core import crashes
from _coltsfootroad.core import fingerprints
from _coltsfootroad.core import quarantine
from features.support import ledgerpatterns
from features.support import replacements

SETTLE_S = 3.0
YEAR_S = 365 * 86_400.0
FLIGHT_S = 0.1
STEP_S = 0.2


def report(
    number: int, age_s: float = 0.0, suspects: tuple[str, ...] = ("poison",)
) -> crashreports.ReportCrashes:
    """Return a gateway's report of a crash."""
    return crashreports.ReportCrashes(
        gateway=f"gw-{number}",
        crashes=(
            crashreports.AgedCrash(
                endpoint=crashes.EndpointKey(
                    endpoint=f"e{number}", incarnation=1
                ),
                age_s=age_s,
                suspects=tuple(
                    crashreports.AgedSuspect(
                        fingerprint=ledgerpatterns.fingerprint_of(name),
                        in_flight_s=FLIGHT_S,
                    )
                    for name in suspects
                ),
            ),
        ),
    )


def send(site, command) -> object:
    """Call the leader and let the answer come."""
    operation = site.call(site.leader().name, command, roam=False)
    site.run_until(site.now + STEP_S)
    return operation.answer


def add(site, fingerprint: fingerprints.Fingerprint) -> None:
    """Put a request into quarantine as an operator does."""
    site.call(
        site.leader().name,
        crashreports.Quarantine(fingerprint=fingerprint, reason="test"),
        roam=False,
    )


def report_all(site, numbers) -> None:
    """Report crashes one after the other."""
    for number in numbers:
        send(site, report(number))


@given("three replicas")
def three_replicas(context):
    context.site = replacements.Site(random.Random(1), losses=1)
    context.site.begin()


@given("an entry of three crashes")
def an_entry(context):
    report_all(context.site, range(3))
    assert context.site.leader().node.state.quarantine.entries


@given("an entry of three crashes that is {state}")
def an_entry_in(context, state):
    report_all(context.site, range(2))
    context.unsent = [report(2)]
    if state == "applied":
        send(context.site, context.unsent.pop())
        assert context.site.leader().node.state.quarantine.entries


@given("an entry of an operator")
def an_operators_entry(context):
    add(context.site, ledgerpatterns.fingerprint_of("poison"))
    context.site.run_until(context.site.now + SETTLE_S)


@when("an answer of {whom} is reported")
def answer_reported(context, whom):
    name = "other" if "another" in whom else "poison"
    cleared = crashreports.ReportCrashes(
        gateway="g9", cleared=(ledgerpatterns.fingerprint_of(name),)
    )
    site = context.site
    answers = []
    # Without a pause nothing is applied between two calls.
    for message in [*getattr(context, "unsent", ()), cleared]:
        leader = site.leader()
        leader.node.call(message, site.clock(leader), answers.append)
    site.run_until(site.now + SETTLE_S)


@when("three gateways report a crash each of the same request")
def three_reports(context):
    report_all(context.site, range(3))


@when("{loss} happens")
def loss_happens(context, loss):
    site = context.site
    if loss == "the loss of the leader":
        site.crash(site.leader())
        site.run_until(site.now + SETTLE_S)
        for replica in site.replicas.values():
            if replica.node is None:
                site.start(replica)
    elif loss == "the loss of a disk":
        follower = next(n for n in site.voters() if n != site.leader().name)
        site.crash(site.replicas[follower])
        site.add(follower)
    else:
        if "snapshot" in loss:
            for replica in site.replicas.values():
                replica.node.log_bytes = 1 << 40
            site.run_until(site.now + SETTLE_S)
        for replica in site.replicas.values():
            site.crash(replica)
        for replica in site.replicas.values():
            site.start(replica)
    site.run_until(site.now + 2 * SETTLE_S)


@when("two crashes are reported and the leader is lost")
def two_and_lost(context):
    site = context.site
    report_all(site, range(2))
    lost = site.leader()
    site.crash(lost)
    site.run_until(site.now + SETTLE_S)
    site.start(lost)
    site.run_until(site.now + SETTLE_S)


@when("gateways report to the new leader again, and a third crash")
def report_again(context):
    site = context.site
    for number in range(2):
        age_s = 3 * SETTLE_S - number * STEP_S
        send(site, report(number, age_s=age_s))
    report_all(site, [2])


@when("the third crash is reported while the leader's disk is full")
def disk_full(context):
    site = context.site
    report_all(site, range(2))
    context.full = site.leader()
    context.full.disk.full = True
    send(site, report(2))


@when("the disk has room again and the report is repeated")
def room_again(context):
    site = context.site
    context.full.disk.full = False
    site.run_until(site.now + SETTLE_S)
    for number in range(3):
        age_s = 2 * SETTLE_S - number * STEP_S
        send(site, report(number, age_s=age_s))


@then("every replica holds {count:d} entry with {crashed:d} crashes")
def every_replica_holds(context, count, crashed):
    site = context.site
    site.run_until(site.now + SETTLE_S)
    for replica in site.replicas.values():
        found = list(replica.node.state.quarantine.entries.values())
        assert len(found) == count, (replica.name, found)
        assert found[0].crashes == crashed, found


@then("every replica holds {count:d} entries")
def every_replica_count(context, count):
    site = context.site
    site.run_until(site.now + SETTLE_S)
    for replica in site.replicas.values():
        found = replica.node.state.quarantine.entries
        assert len(found) == count, (replica.name, len(found))


@then("the leader publishes it")
def publishes(context):
    hub = context.site.leader().node.hub
    published = hub.book.quarantined.values()
    assert [entry.fingerprint for entry in published] == [
        ledgerpatterns.fingerprint_of("poison")
    ]


@when("it is {ended} and another crash is reported")
def ended_and_another(context, ended):
    site = context.site
    if "trial" in ended:
        send(
            site,
            crashreports.EndQuarantine(
                fingerprint=ledgerpatterns.fingerprint_of("poison"),
                reason="test",
            ),
        )
    else:
        for number in range(quarantine.MAX_PER_WORKSPACE):
            add(site, ledgerpatterns.fingerprint_of(f"r{number}"))
    site.run_until(site.now + SETTLE_S)
    send(site, report(9, suspects=("other",)))
    # A report that was late on its way.
    send(site, report(1, age_s=site.now))


@then("the first entry is not among them")
def first_is_gone(context):
    entries = context.site.leader().node.state.quarantine.entries
    assert ledgerpatterns.fingerprint_of("poison") not in entries


# --- trials ------------------------------------------------------------------


@when("two gateways ask for a trial {seconds:g} s later")
def ask_for_trial(context, seconds):
    site = context.site
    site.run_until(site.now + seconds)
    name = site.leader().name
    context.asked_at = site.now
    asked = [
        site.call(
            name,
            crashreports.StartTrial(
                fingerprint=ledgerpatterns.fingerprint_of("poison"),
                gateway=gateway,
            ),
            roam=False,
        )
        for gateway in ("gw-1", "gw-2")
    ]
    site.run_until(site.now + SETTLE_S)
    context.granted = [operation.answer.granted for operation in asked]


@then("one of them is granted it")
def one_granted(context):
    assert sorted(context.granted) == [False, True], context.granted


@then("the next trial is due {seconds:g} s after it")
def next_due(context, seconds):
    state = context.site.leader().node.state
    (entry,) = state.quarantine.entries.values()
    assert entry.trials == 1
    wall = context.site.leader().node.wall()
    started = wall - (context.site.now - context.asked_at)
    assert abs(entry.trial_at - started - seconds) < 1.0, entry


# --- faults ------------------------------------------------------------------


@when("a report with {fault} comes three times")
def faulty_report(context, fault):
    for number in range(3):
        made = {
            "a negative age": lambda: report(0, age_s=-5.0),
            "an age of a year": lambda n=number: report(n, age_s=YEAR_S),
            "no suspects": lambda n=number: report(n, suspects=()),
            "one crash only": lambda: report(0),
        }[fault]()
        assert isinstance(send(context.site, made), outcomes.Done)


@when(
    "{count:d} requests of one workspace and one of another are put in"
    " quarantine"
)
def many_entries(context, count):
    site = context.site
    wanted = [ledgerpatterns.fingerprint_of("other", "other")]
    wanted += [
        ledgerpatterns.fingerprint_of(f"r{number}") for number in range(count)
    ]
    for fingerprint in wanted:
        add(site, fingerprint)
    assert count > quarantine.MAX_PER_WORKSPACE


@then("the other workspace's entry is among them")
def other_kept(context):
    entries = context.site.leader().node.state.quarantine.entries
    assert ledgerpatterns.fingerprint_of("other", "other") in entries


@when("a snapshot without a quarantine is loaded")
def old_snapshot(context):
    saved = msgspec.msgpack.decode(state_lib.save(state_lib.ControlState()))
    del saved["quarantine"]
    context.state = state_lib.load(msgspec.msgpack.encode(saved))


@then("the state holds no entries")
def no_entries(context):
    assert not context.state.quarantine.entries
