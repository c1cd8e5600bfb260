"""Steps on the retry budget of one gateway."""

from unittest import mock

from behave import given
from behave import then
from behave import when

from _coltsfootroad.gateway import exchange
from _coltsfootroad.shell import clocks
from features.steps import gateway_steps

SERVICE = "shop"
LOGGED = (
    "request",
    "service",
    "taken",
    "allowed",
    "requests",
    "share",
    "members",
    "incarnation_age_s",
)


def use_up(gateway) -> None:
    """Take every retry that a gateway's budget holds."""
    budget = gateway.budget(SERVICE)
    while budget.take(
        gateway.floor_share.least(clocks.boot_time()), clocks.boot_time()
    ):
        pass
    budget.taken = budget.refused = 0


@given("a gateway whose retry budget is {state}")
def budget_state(context, state):
    context.is_used_up = state == "used up"


@when("each of two endpoints rejects a request once")
def reject_once(context):
    async def story(bed):
        await bed.add("e1", "reject", "answer")
        await bed.add("e2", "reject", "answer")
        if context.is_used_up:
            use_up(bed.gateway)
        with mock.patch.object(exchange, "LOG") as log:
            context.answer = await bed.ask("/safe/x")
        context.lines = {
            call.args[0]: call.kwargs for call in log.info.call_args_list
        }
        context.metrics = bed.gateway.metrics.text().decode()

    gateway_steps.play(context, story)


@then('"{event}" is logged with the request, service, budget, share and age')
def logged(context, event):
    assert event in context.lines, list(context.lines)
    line = context.lines[event]
    assert set(LOGGED) <= line.keys(), sorted(line)
    assert line["service"] == SERVICE, line
    assert line["request"], line


@then('the metric "{name}" counts {count:d} for the service')
def counted(context, name, count):
    label = f'service="{SERVICE}"'
    counts = [
        float(line.split()[-1])
        for line in context.metrics.splitlines()
        if line.startswith(f"{name}_total{{") and label in line
    ]
    assert counts == [count], counts
