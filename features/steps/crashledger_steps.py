"""Steps on the search for requests that crash endpoints."""

import itertools

import attrs
from behave import then
from behave import when

from _coltsfootroad.core import crashes
from _coltsfootroad.core import crashledger
from _coltsfootroad.core import crashrecord
from features.support import ledgerpatterns


@when('crashes are reported as in "{pattern}"')
def reported(context, pattern):
    if pattern == "a request is answered between its crashes":
        ledger = ledgerpatterns.ledger_of(ledgerpatterns.in_a_row(2, "popular"))
        ledger.clear(
            ledgerpatterns.fingerprint_of("popular"),
            2 * ledgerpatterns.STEP_S - ledgerpatterns.RUN_S,
        )
        for report in ledgerpatterns.in_a_row(2, "popular", first=2):
            ledger.record(report, report.at)
    elif pattern == "an old report comes after the request was answered":
        ledger = ledgerpatterns.ledger_of(ledgerpatterns.in_a_row(2, "popular"))
        ledger.clear(
            ledgerpatterns.fingerprint_of("popular"), 3 * ledgerpatterns.STEP_S
        )
        for report in ledgerpatterns.in_a_row(3, "popular"):
            ledger.record(report, 4 * ledgerpatterns.STEP_S)
    else:
        ledger = ledgerpatterns.ledger_of(ledgerpatterns.PATTERNS[pattern])
    context.culprits = ledgerpatterns.culprits_of(ledger)


@then("the culprits are: {names}")
def convicted_are(context, names):
    wanted = [] if names == "nothing" else names.split()
    found = set(context.culprits)
    assert found == {
        ledgerpatterns.fingerprint_of(name) for name in wanted
    }, found


@when(
    "poison is a known culprit and a bystander was in flight at two of its crashes"
)
def explained(context):
    reports = ledgerpatterns.in_a_row(1, "poison") + ledgerpatterns.in_a_row(
        2, "poison", "bystander", first=1
    )
    context.ledger = ledgerpatterns.ledger_of(reports)
    context.culprits = ledgerpatterns.culprits_of(context.ledger)


@when("the bystander is in flight at another crash")
def another(context):
    at = 5 * ledgerpatterns.STEP_S
    context.ledger.record(
        ledgerpatterns.crash(9, at, bystander=at - ledgerpatterns.RUN_S), at
    )
    context.culprits += ledgerpatterns.culprits_of(context.ledger, "poison")


@when(
    "{count:d} endpoints crash under three poison requests in turn and a"
    " popular {kind}"
)
def crash_in_turn(context, count, kind):
    reports = ledgerpatterns.alternating_under_popular(count)
    if kind == "stream":
        reports = ledgerpatterns.with_output(reports, "popular")
    context.ledger = ledgerpatterns.ledger_of(reports)
    context.culprits = []


@when("one more crashes under the popular request, which an observer misses")
def crash_missed_by_observer(context):
    (report,) = ledgerpatterns.in_a_row(1, "popular", first=8)
    context.ledger.record(report, report.at)
    context.culprits = ledgerpatterns.culprits_of(context.ledger)


@when("the first of the poison requests is a known culprit")
def first_convicted(context):
    context.culprits = ledgerpatterns.culprits_of(context.ledger, "poison0")


@when("two endpoints crash under poison and a popular request")
def two_crashes(context):
    reports = ledgerpatterns.in_a_row(2, "poison", "popular")
    context.ledger = ledgerpatterns.ledger_of(reports)
    context.culprits = []


@when(
    "a third one does, reported by {first}, then {gap:g} s later by {then_by}"
)
def third_crash(context, first, gap, then_by):
    at = 2 * ledgerpatterns.STEP_S
    for name, now in ((first, at), (then_by, at + gap)):
        if name != "nobody":
            sent = {name: at - ledgerpatterns.RUN_S}
            context.ledger.record(ledgerpatterns.crash(2, at, **sent), now)
        context.culprits += ledgerpatterns.culprits_of(context.ledger, now=now)


@when(
    "another endpoint crashes under the popular request, reported {gap:g} s ago"
)
def another_lately(context, gap):
    at = 5 * ledgerpatterns.STEP_S
    context.ledger.record(
        ledgerpatterns.crash(9, at, popular=at - ledgerpatterns.RUN_S), at
    )
    context.culprits += ledgerpatterns.culprits_of(
        context.ledger, "poison", now=at + gap
    )


@when(
    "poison is a known culprit and a popular request is in flight at five more of"
    " its crashes"
)
def five_explained(context):
    reports = ledgerpatterns.in_a_row(3, "poison")
    context.ledger = ledgerpatterns.ledger_of(reports)
    context.culprits = ledgerpatterns.culprits_of(context.ledger)
    for report in ledgerpatterns.in_a_row(5, "poison", "popular", first=3):
        context.ledger.record(report, report.at)
        found = ledgerpatterns.culprits_of(context.ledger, "poison")
        context.culprits += found


@when("two more endpoints crash under the popular request alone")
def two_alone(context):
    for report in ledgerpatterns.in_a_row(2, "popular", first=8):
        context.ledger.record(report, report.at)
    context.culprits += ledgerpatterns.culprits_of(context.ledger, "poison")


@when(
    "poison is a known culprit and a popular request is in flight at four of its"
    " crashes"
)
def four_explained(context):
    reports = ledgerpatterns.in_a_row(4, "poison", "popular")
    reports += ledgerpatterns.in_a_row(1, "poison", first=4)
    context.ledger = ledgerpatterns.ledger_of(reports)
    context.culprits = ledgerpatterns.culprits_of(context.ledger)


@when(
    "two more endpoints crash under the popular request, {after:g} s after"
    " sends of poison were stopped there, reported {when}"
)
def crash_after_stop(context, after, when):
    ledger = context.ledger
    for number in (5, 6):
        at = number * ledgerpatterns.STEP_S + after
        crash = ledgerpatterns.crash(number, at, popular=at - 0.05)
        stop = ledgerpatterns.crash(number, at - after, poison=at - after - 0.1)
        if when == "before":
            ledger.record_stopped(stop)
            ledger.record(crash, at)
        else:
            ledger.record(crash, at)
            ledger.record_stopped(stop)
    context.culprits += ledgerpatterns.culprits_of(ledger, "poison")


@when(
    "the second one crashes again under both, unknown to poison's gateway,"
    " reported {when}"
)
def crashes_again(context, when):
    at = 3 * ledgerpatterns.STEP_S
    sent_at = at - ledgerpatterns.RUN_S
    again = attrs.evolve(
        ledgerpatterns.crash(1, at, popular=sent_at),
        endpoint=crashes.EndpointKey(endpoint="e1", incarnation=2),
    )
    # The gateway of poison knows the first crash but not the new incarnation.
    unknown = ledgerpatterns.crash(1, ledgerpatterns.STEP_S, poison=sent_at)
    reports = [unknown, again] if when == "before" else [again, unknown]
    for report in reports:
        context.ledger.record(report, at)
    context.culprits += ledgerpatterns.culprits_of(context.ledger)


@then("no suspect is counted at a crash before it was sent")
def none_before(context):
    for crash in context.ledger.known.values():
        for suspect in crash.suspects.values():
            late_s = suspect.sent_at - crash.at
            assert late_s <= crashrecord.CLOCK_SLACK_S, (crash.at, suspect)


@when(
    "four endpoints crash under poison and popular, a fifth under popular and"
    " other"
)
def two_suspects(context):
    reports = ledgerpatterns.in_a_row(4, "poison", "popular")
    reports += ledgerpatterns.in_a_row(1, "popular", "other", first=4)
    context.ledger = ledgerpatterns.ledger_of(reports)
    context.culprits = []


@when("{names} are answered {after:g} s later")
def answered_later(context, names, after):
    now = 4 * ledgerpatterns.STEP_S + after
    for name in names.split(" and "):
        context.ledger.clear(ledgerpatterns.fingerprint_of(name), now)
        context.culprits += ledgerpatterns.culprits_of(context.ledger, now=now)


@then("any order of {count:d} reports yields the same culprit")
def any_order(context, count):
    del context
    reports = ledgerpatterns.with_bystander()
    reports.append(reports[0])
    assert len(reports) == count
    for order in itertools.permutations(reports):
        found = set(
            ledgerpatterns.culprits_of(ledgerpatterns.ledger_of(list(order)))
        )
        assert found == {ledgerpatterns.fingerprint_of("poison")}, order


@when("the ledger takes {attack}")
def attacked(context, attack):
    ledger = context.ledger = crashledger.CrashLedger()
    count = int(attack.split()[0])
    for number in range(count):
        at = number / 100
        if "crashes" in attack:
            ledger.record(
                ledgerpatterns.crash(number, at, **{f"r{number}": at}), at
            )
        else:
            ledger.clear(ledgerpatterns.fingerprint_of(f"r{number}"), at)


@then("it holds at most {most:d} crashes and {cleared:d} cleared requests")
def stays_bounded(context, most, cleared):
    ledger = context.ledger
    assert len(ledger.known) <= most, len(ledger.known)
    assert len(ledger.suspected) <= most, len(ledger.suspected)
    assert len(ledger.cleared) <= cleared, len(ledger.cleared)
