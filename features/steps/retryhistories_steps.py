"""Steps on the retry budget of a whole fleet, in virtual time."""

from behave import given
from behave import then
from behave import when

from _coltsfootroad.core import settledshare
from features.support import mutants
from features.support import retrydefects
from features.support import retryhistories


@given("gateways whose endpoints all fail")
def gateways(context):
    context.world = None


@when("{history} meanwhile")
def play(context, history):
    context.world = retryhistories.DIRECTED[history]()


@then("no window holds more retries than the fleet may send")
def bound(context):
    context.world.fleet.check()


@then("histories {first:d} to {last:d} keep to the fleet's retry budget")
def drawn(context, first, last):
    for seed in range(first, last + 1):
        try:
            retryhistories.drawn(seed).fleet.check()
        except AssertionError as broken:
            raise AssertionError(f"history {seed}: {broken}") from broken


@given('the defect "{label}" in the fleet\'s retry budget')
def plant(context, label):
    context.label = label


def breaks(history) -> bool:
    """Return whether a history breaks the bound."""
    try:
        history().fleet.check()
    except AssertionError:
        return True
    return False


@then("one of the histories breaks the bound")
def caught(context):
    with mutants.injected(retrydefects.DEFECTS, context.label):
        assert any(map(breaks, retryhistories.DIRECTED.values()))


@given("a gateway that held a share of {shares} at {times} s")
def held(context, shares, times):
    context.share = settledshare.SettledShare(10.0, 4.0)
    for share, at in zip(shares.split(), times.split(), strict=True):
        context.share.update(float(share), float(at), float(at))


@then(
    "its settled share at {now:g} s, over 10 s with proofs good for 4 s, is"
    " {least:g}"
)
def settled(context, now, least):
    found = context.share.least(now)
    assert found == least, found


@when(
    "{failing:d} of {count:d} calm gateways with {requests:d} requests each"
    " begin to fail"
)
def begin_to_fail(context, failing, count, requests):
    context.calm, context.sent = retryhistories.use_after_calm(
        count, requests, failing
    )


@then(
    "within 1 s they send at least {least:d} retries and no more than the"
    " fleet may"
)
def use(context, least):
    context.calm.check()
    assert context.sent >= least, context.sent
