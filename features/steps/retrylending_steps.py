"""Steps on retries that the leader lends."""

import bisect
import heapq
import math
import random

import attrs
from behave import given
from behave import then
from behave import when

from _coltsfootroad.control import outcomes
from _coltsfootroad.control import retrylending
from _coltsfootroad.shell import wireformats
from features.support import replacements

NOW = 1_000.0
WINDOW_S = 10.0
# How long ago the leader has lent.
LENT_BEFORE_S = 10.0
USED_UP_S = 1.0
REQUEST = retrylending.BorrowRetries(
    gateway="g1", service="s", wanted=1, slack=100.0, window_s=WINDOW_S
)


def over_the_wire(message):
    """Return what arrives where a message is sent."""
    return wireformats.CALLS.decode(wireformats.CALLS.encode(message)).ok


@given("a leader since {leads:g} s that has lent {lent:d} retries")
def leader(context, leads, lent):
    context.lender = retrylending.RetryLender(NOW - leads)
    if lent:
        until = NOW - LENT_BEFORE_S + retrylending.hold_time_s(REQUEST.window_s)
        loans = context.lender.loans_of(REQUEST.service, NOW)
        loans.add(lent, until)


@when("a gateway asks it for {wanted:d} of a slack of {slack:g}")
def borrow(context, wanted, slack):
    request = attrs.evolve(REQUEST, wanted=wanted, slack=slack)
    answer = context.lender.lend(over_the_wire(request), NOW)
    context.answer = over_the_wire(answer)


@then("it is lent {amount:d}, or is to come back after {again:g} s")
def lent(context, amount, again):
    assert context.answer.amount == amount, context.answer
    assert math.isclose(context.answer.retry_after_s, again), context.answer


@when("a replica that does not lead is asked for retries")
def ask_follower(context):
    site = replacements.Site(random.Random(5))
    site.begin()
    replica = site.replicas[site.follower()]
    answers = []
    replica.node.call(REQUEST, site.clock(replica), answers.append)
    context.answers = answers


@then("it answers that it does not lead")
def does_not_lead(context):
    (answer,) = context.answers
    assert isinstance(answer, outcomes.NotLeader), answer


@given("a lender to as many services as it keeps")
def many_services(context):
    context.lender = retrylending.RetryLender(0.0)
    for number in range(retrylending.MAX_SERVICES):
        request = attrs.evolve(REQUEST, service=f"s{number}")
        assert context.lender.lend(request, NOW).amount == 1


@when("a gateway asks it for another service")
def another_service(context):
    later = retrylending.hold_time_s(WINDOW_S)
    context.amounts = [
        context.lender.lend(
            attrs.evolve(REQUEST, service="another"), NOW + after_s
        ).amount
        for after_s in (0.0, later - 0.1, later)
    ]
    context.kept = len(context.lender.services)


@then("it is lent nothing until what was lent has left the window")
def lent_later(context):
    assert context.amounts == [0, 0, 1], context.amounts
    assert context.kept == 1, context.kept


@when(
    "{count:d} gateways ask it for 1 of a slack of 100, as soon as they may,"
    " for {seconds:d} s"
)
def ask_again(context, count, seconds):
    due = [(NOW + number / count, False) for number in range(count)]
    # Requests of gateways that had got nothing the time before.
    context.asked_again = []
    context.waits = []
    while due[0][0] < NOW + seconds:
        now, was_refused = heapq.heappop(due)
        if was_refused:
            context.asked_again.append(now)
        answer = context.lender.lend(REQUEST, now)
        # One that was lent something asks again once it has used that up.
        wait_s = answer.retry_after_s or USED_UP_S
        context.waits.append(wait_s)
        heapq.heappush(due, (now + wait_s, not answer.amount))


@then("at most {most:d} that got nothing ask again in any second")
def asked_at_most(context, most):
    again = context.asked_again
    for first, begin in enumerate(again):
        found = bisect.bisect_left(again, begin + 1.0) - first
        assert found <= most, found


@then("each of them is lent or told to come back within {within:g} s")
def comes_back(context, within):
    assert max(context.waits) <= within, max(context.waits)
