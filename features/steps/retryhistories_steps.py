"""Steps on the retry budget of a fleet, in virtual time."""

from behave import given
from behave import then
from behave import when

from _coltsfootroad.core import minimumshare
from features.support import mutants
from features.support import retrydefects
from features.support import retryhistories


@given("gateways whose endpoints all fail")
def gateways(context):
    context.world = None


@when("{history} meanwhile")
def run_history(context, history):
    context.world = retryhistories.DIRECTED[history]()


@then("no window exceeds the fleet's retry budget")
def is_within_budget(context):
    context.world.fleet.check()


@then(
    "random histories {first:d} to {last:d} stay within the fleet's retry budget"
)
def random_histories(context, first, last):
    for seed in range(first, last + 1):
        try:
            retryhistories.random_history(seed).fleet.check()
        except AssertionError as error:
            raise AssertionError(f"history {seed}: {error}") from error


@given('the defect "{label}" in the fleet\'s retry budget')
def inject_defect(context, label):
    context.label = label


def exceeds_budget(history) -> bool:
    """Return whether a history exceeds the fleet's retry budget."""
    try:
        history().fleet.check()
    except AssertionError:
        return True
    return False


@then("one of the histories exceeds the budget")
def is_caught(context):
    with mutants.injected(retrydefects.DEFECTS, context.label):
        assert any(map(exceeds_budget, retryhistories.DIRECTED.values()))


@given("a gateway that held a share of {shares} at {times} s")
def held(context, shares, times):
    context.share = minimumshare.MinimumShare(10.0, 4.0)
    for share, at in zip(shares.split(), times.split(), strict=True):
        context.share.update(float(share), float(at), float(at))


@then(
    "its minimum share at {now:g} s, over 10 s with proofs valid for 4 s, is"
    " {minimum:g}"
)
def minimum_share(context, now, minimum):
    found = context.share.minimum(now)
    assert found == minimum, found


@when(
    "{failing:d} of {count:d} gateways without failures and with {requests:d}"
    " requests each begin to see failures"
)
def begin_to_see_failures(context, failing, count, requests):
    context.budget_fleet, context.sent = retryhistories.retries_of_full_budget(
        count, requests, failing
    )


@then(
    "within 1 s they send at least {least:d} retries and stay within the"
    " fleet's budget"
)
def use_budget(context, least):
    context.budget_fleet.check()
    assert context.sent >= least, context.sent
