"""Steps for the prompts that gateways send right after all have started."""

import collections
import random

from behave import given
from behave import then
from behave import when

from _coltsfootroad.core import endpointset
from _coltsfootroad.core.placement import startuplimit
from _coltsfootroad.core.placement import work as work_lib
from _coltsfootroad.core.placement import workload
from _coltsfootroad.gateway import engines as engines_lib
from features.steps import choice_steps

SLOTS = choice_steps.SPEC.slots


@then(
    "each of {gateways:d} gateways that know {slots:d} batch slots"
    " sends {prompts:d}"
)
def each_sends(context, gateways, slots, prompts):
    found = startuplimit.max_prompts(slots, gateways)
    assert found == prompts, found


@given(
    "{gateways:d} gateways that hold {held:d} short prompts each and"
    " do not exchange load"
)
def gateways_hold(context, gateways, held):
    context.gateways = gateways
    context.held = held


@when("they send prompts to {known:d} engines")
def send_prompts(context, known):
    context.received = collections.Counter()
    for number in range(context.gateways):
        endpoints = endpointset.EndpointSet()
        for engine in range(known):
            choice_steps.announce(endpoints, f"e{engine}", f"z{engine % 5}")
        load = workload.Workload()
        chooser = engines_lib.Chooser(
            endpoints, load, f"z{number % 5}", random.Random(number)
        )
        for _ in range(context.held):
            choice = chooser.choose(
                choice_steps.SERVICE, choice_steps.prompt_of(5_000), set(), 10.0
            )
            max_prompts = startuplimit.max_prompts(
                choice.batch_slots, context.gateways
            )
            if load.count_own_prompts() >= max_prompts:
                break
            name = choice.endpoint.name
            context.received[name] += 1
            load.add(
                work_lib.WorkItem(
                    endpoint=name, prompt_tokens=5_000, sent_at=10.0
                )
            )


@then("at most {queued:d} in 100 prompts are sent to a full engine")
def meet_full(context, queued):
    over = sum(max(0, got - SLOTS) for got in context.received.values())
    sent = sum(context.received.values())
    assert over * 100 <= queued * sent, (over, sent)


@then("at least {sent:d} prompts were sent")
def were_sent(context, sent):
    assert sum(context.received.values()) >= sent, sum(
        context.received.values()
    )
