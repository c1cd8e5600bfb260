"""Steps for retries that the leader lends."""

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
# Age of the loans that the leader has made.
LOAN_AGE_S = 10.0
USED_UP_S = 1.0
REQUEST = retrylending.BorrowRetries(
    gateway="g1", service="s", wanted=1, slack=100.0, window_s=WINDOW_S
)


def over_the_wire(message):
    """Return a message after encoding and decoding."""
    return wireformats.CALLS.decode(wireformats.CALLS.encode(message)).ok


@given("a leader since {leads:g} s that has lent {lent:d} retries")
def leader(context, leads, lent):
    context.lender = retrylending.RetryLender(NOW - leads)
    if lent:
        until = (
            NOW - LOAN_AGE_S + retrylending.loan_lifetime_s(REQUEST.window_s)
        )
        loans = context.lender.loans_of(REQUEST.service, NOW)
        loans.add(lent, until)


@when("a gateway requests {wanted:d} of a slack of {slack:g}")
def borrow(context, wanted, slack):
    request = attrs.evolve(REQUEST, wanted=wanted, slack=slack)
    answer = context.lender.lend(over_the_wire(request), NOW)
    context.answer = over_the_wire(answer)


@then("it gets {amount:d}, or a retry delay of {delay:g} s")
def check_loan(context, amount, delay):
    assert context.answer.amount == amount, context.answer
    assert math.isclose(context.answer.retry_after_s, delay), context.answer


@when("a gateway requests retries from a follower")
def request_from_follower(context):
    site = replacements.Site(random.Random(5))
    site.begin()
    replica = site.replicas[site.follower()]
    answers = []
    replica.node.call(REQUEST, site.clock(replica), answers.append)
    context.answers = answers


@then("the follower answers that it does not lead")
def does_not_lead(context):
    (answer,) = context.answers
    assert isinstance(answer, outcomes.NotLeader), answer


@given("a lender with loans to the maximum number of services")
def many_services(context):
    context.lender = retrylending.RetryLender(0.0)
    for number in range(retrylending.MAX_SERVICES):
        request = attrs.evolve(REQUEST, service=f"s{number}")
        assert context.lender.lend(request, NOW).amount == 1


@when("a gateway requests retries for another service")
def another_service(context):
    later = retrylending.loan_lifetime_s(WINDOW_S)
    context.amounts = [
        context.lender.lend(
            attrs.evolve(REQUEST, service="another"), NOW + after_s
        ).amount
        for after_s in (0.0, later - 0.1, later)
    ]
    context.service_count = len(context.lender.services)


@then("it gets nothing until the earlier loans have left the window")
def lent_later(context):
    assert context.amounts == [0, 0, 1], context.amounts
    assert context.service_count == 1, context.service_count


@when(
    "{count:d} gateways request 1 of a slack of 100, as often as allowed,"
    " for {seconds:d} s"
)
def request_repeatedly(context, count, seconds):
    due = [(NOW + number / count, False) for number in range(count)]
    # Times of requests by gateways that were refused before.
    context.retried_at = []
    context.waits = []
    while due[0][0] < NOW + seconds:
        now, was_refused = heapq.heappop(due)
        if was_refused:
            context.retried_at.append(now)
        answer = context.lender.lend(REQUEST, now)
        # A gateway with a loan sends its next request when it is used up.
        wait_s = answer.retry_after_s or USED_UP_S
        context.waits.append(wait_s)
        heapq.heappush(due, (now + wait_s, not answer.amount))


@then("at most {most:d} refused gateways retry in any second")
def check_retry_rate(context, most):
    retried_at = context.retried_at
    for first, begin in enumerate(retried_at):
        found = bisect.bisect_left(retried_at, begin + 1.0) - first
        assert found <= most, found


@then("each request gets retries or a retry delay of at most {within:g} s")
def check_delays(context, within):
    assert max(context.waits) <= within, max(context.waits)
