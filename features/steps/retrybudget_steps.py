"""Steps for the retry budget of one gateway."""

import asyncio
import json
from unittest import mock

import attrs
from behave import given
from behave import then
from behave import when

from _coltsfootroad.control import retrylending
from _coltsfootroad.gateway import exchange
from _coltsfootroad.gateway import retryborrower
from _coltsfootroad.gateway import sendbudget
from _coltsfootroad.shell import clocks
from features.steps import gateway_steps
from features.support import gatewaybed

SERVICE = "shop"
LOGGED = (
    "request",
    "service",
    "arrivals",
    "used",
    "allowed",
    "requests",
    "share",
    "members",
    "incarnation_age_s",
)


def use_up(gateway) -> None:
    """Charge all retries that a gateway's budget allows."""
    budget = gateway.budget(SERVICE)
    now = clocks.boot_time()
    share = gateway.slack_share.minimum(now)
    while retry := budget.reserve(share, now):
        budget.charge(retry, share, now)
    budget.sent = budget.refused = 0


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
        with mock.patch.object(sendbudget, "LOG") as log:
            context.answer = await bed.ask("/safe/x")
        context.lines = {
            call.args[0]: call.kwargs for call in log.info.call_args_list
        }
        context.metrics = bed.gateway.metrics.text().decode()
        context.budget_used = bed.gateway.budget(SERVICE).used()
        context.dump = json.loads(bed.gateway.dump())

    gateway_steps.run_with_bed(context, story)


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


@then("the state dump has the service's retry budget")
def dumped(context):
    found = context.dump["retry_budgets"][SERVICE]
    assert found["requests"] == 1, found
    assert found["used"] == context.budget_used, found
    assert found["allowed"] > 0 and found["lent"] == 0, found


# --- arrivals at endpoints ---------------------------------------------


async def add_endpoints(bed, acts: list[str]) -> list:
    """Add endpoints that perform acts in the order in which they are used.

    A "down" endpoint refuses connections; the others share one script.
    """
    script = [act for act in acts if act != "down"]
    shared: list = []
    found = []
    for number, act in enumerate(acts):
        endpoint = gatewaybed.ScriptedEndpoint(f"e{number}", script)
        endpoint.seen = shared
        await bed.take(endpoint)
        found.append(endpoint)
        if act == "down":
            endpoint.server.close()
            await endpoint.server.wait_closed()
    return found


def choose_in_order(endpoints):
    """Make exchanges try endpoints in the order of a list."""
    choose = exchange.Exchange.choose

    def in_order(self, now):
        choice = choose(self, now)
        left = [e.name for e in endpoints if e.name not in self.sends.tried]
        if choice is None or not left:
            return choice
        known = self.gateway.endpoints.known[left[0]]
        return attrs.evolve(choice, endpoint=known)

    return mock.patch.object(exchange.Exchange, "choose", in_order)


@when("a safe request meets endpoints that {acts} in turn")
def meets_in_turn(context, acts):
    async def story(bed):
        endpoints = await add_endpoints(bed, acts.split(", "))
        if context.is_used_up:
            use_up(bed.gateway)
        with choose_in_order(endpoints):
            context.answer = await bed.ask("/safe/x")
        context.arrivals = len(endpoints[0].seen)
        context.budget = bed.gateway.budget(SERVICE)

    gateway_steps.run_with_bed(context, story)


@then("it arrived {arrivals:d} times and {charged:d} retries were charged")
def arrived(context, arrivals, charged):
    assert context.arrivals == arrivals, context.arrivals
    assert context.budget.sent == charged, context.budget.sent
    assert context.budget.reserved == 0, context.budget.reserved


@then("its caller gets {status:d}")
def caller_gets(context, status):
    assert context.answer.status == status, context.answer


# --- loans -----------------------------------------------------------------


@attrs.define
class LendingLink:
    """Simulates a leader that lends `amount`, None for an unreachable one."""

    amount: int | None
    requested: list = attrs.Factory(list)

    async def call(self, message):
        """Respond to a request for retries."""
        self.requested.append(message)
        if self.amount is None:
            return None
        amount, self.amount = self.amount, 0
        return retrylending.RetriesLent(
            amount=amount, retry_after_s=0.0 if amount else 60.0
        )


LENDS = {"lends nothing": 0, "is not reached": None}


@given("the leader {does}")
def leader_that(context, does):
    amount = LENDS[does] if does in LENDS else int(does.split()[1])
    context.link = LendingLink(amount)


@when("each of {count:d} requests in turn is rejected once by its endpoint")
def rejected_once_each(context, count):
    async def story(bed):
        bed.gateway.retry_borrower.link = context.link
        endpoints = await add_endpoints(bed, ["reject", "answer"])
        use_up(bed.gateway)
        context.statuses = []
        for _ in range(count):
            endpoints[0].seen.clear()
            with choose_in_order(endpoints):
                answer = await bed.ask("/safe/x")
            context.statuses.append(answer.status)
            await asyncio.sleep(2 * retryborrower.PAUSE_S)

    gateway_steps.run_with_bed(context, story)


@then("{count:d} of them are answered and the others refused with 503")
def answered(context, count):
    assert context.statuses.count(200) == count, context.statuses
    assert set(context.statuses) <= {200, 503}, context.statuses


@then("the leader got at most {most:d} requests, each for refused retries")
def check_leader_requests(context, most):
    found = context.link.requested
    assert 1 <= len(found) <= most, found
    for message in found:
        assert message.service == SERVICE, message
        assert message.gateway == "g1", message
        assert 1 <= message.wanted <= retryborrower.MAX_WANTED, message
