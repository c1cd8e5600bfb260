"""Steps for gateways that are cut off from endpoints."""

import asyncio

from behave import given
from behave import then
from behave import when

from features.support import gatewayfleet

# Requests count from this long after a cut, and are sent for this long then.
SETTLED_S = 3.0
COUNTED_S = 1.5
BEFORE_CUT_S = 0.5
FAILED_ALLOWANCE = 10
FAILED_SHARE = 1 / 50
MIN_SERVED_RATIO = 2 / 3


def run_with_fleet(context, story) -> None:
    """Run a coroutine function with a running fleet in a new event loop."""

    async def run():
        fleet = gatewayfleet.Fleet()
        try:
            await fleet.start(context.gateways, context.endpoints)
            await story(fleet)
        finally:
            await fleet.close()
        context.tries = fleet.tries
        context.runs = fleet.runs()

    asyncio.run(run())


@given("{gateways:d} gateways and {endpoints:d} endpoints")
def fleet_of(context, gateways, endpoints):
    context.gateways = gateways
    context.endpoints = endpoints


@when("{count:d} gateways are cut off from all endpoints, their links {how}")
def cut_off(context, count, how):
    context.cut = {f"g{number}" for number in range(1, count + 1)}

    async def story(fleet):
        await fleet.load(BEFORE_CUT_S)
        fleet.cut(context.cut, how)
        cut_at = asyncio.get_running_loop().time()
        await fleet.load(SETTLED_S + COUNTED_S)
        context.counted_from = cut_at + SETTLED_S

    run_with_fleet(context, story)


def counted_tries(context, cut: bool) -> list[gatewayfleet.Try]:
    """Return the counted first tries at cut-off or at other gateways."""
    return [
        found
        for found in context.tries
        if found.at >= context.counted_from
        and (found.gateway in context.cut) == cut
    ]


def served_share(tries: list[gatewayfleet.Try]) -> float:
    """Return the share of tries that were served."""
    return sum(found.served for found in tries) / len(tries)


@then(
    "3 s later, first tries there are served two thirds as often as elsewhere"
)
def served_as_often(context):
    there = served_share(counted_tries(context, True))
    elsewhere = served_share(counted_tries(context, False))
    assert there >= MIN_SERVED_RATIO * elsewhere, (there, elsewhere)


@then("at most 10 and one in 50 of these first tries fail there")
def few_fail(context):
    there = counted_tries(context, True)
    failed = [found for found in there if not found.served]
    total = len(there) + len(counted_tries(context, False))
    allowed = FAILED_ALLOWANCE + FAILED_SHARE * total
    assert len(failed) <= allowed, failed


@then("no request that must not run twice ran twice")
def ran_once(context):
    repeated = [
        found
        for found in context.tries
        if found.kind == "unsafe" and context.runs[found.request_id] > 1
    ]
    assert not repeated, repeated
