"""Steps on the retry budget of a whole fleet, in virtual time."""

from behave import given
from behave import then
from behave import when

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
