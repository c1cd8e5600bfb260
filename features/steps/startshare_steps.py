"""Steps on what gateways send right after all have started, without network."""

import collections
import random

from behave import given
from behave import then
from behave import when

from _coltsfootroad.core import endpointset
from _coltsfootroad.core import startuplimit
from _coltsfootroad.core import work as work_lib
from _coltsfootroad.core import workload
from _coltsfootroad.gateway import engines as engines_lib
from features.steps import choice_steps

SLOTS = choice_steps.SPEC.slots


@then(
    "each of {gateways:d} gateways that know {places:d} places sends {prompts:d}"
)
def each_sends(context, gateways, places, prompts):
    found = startuplimit.max_prompts(places, gateways)
    assert found == prompts, found


@given(
    "{gateways:d} gateways that hold {held:d} short prompts each and hear"
    " nothing of others"
)
def gateways_hold(context, gateways, held):
    context.gateways = gateways
    context.held = held


@when("they let prompts go to {known:d} engines")
def let_go(context, known):
    context.got = collections.Counter()
    for number in range(context.gateways):
        endpoints = endpointset.EndpointSet()
        for place in range(known):
            choice_steps.announce(endpoints, f"e{place}", f"z{place % 5}")
        load = workload.Workload()
        chooser = engines_lib.Chooser(
            endpoints, load, f"z{number % 5}", random.Random(number)
        )
        for _ in range(context.held):
            choice = chooser.choose(
                choice_steps.SERVICE, choice_steps.prompt_of(5_000), set(), 10.0
            )
            max_prompts = startuplimit.max_prompts(
                choice.places, context.gateways
            )
            if load.count_own_prompts() >= max_prompts:
                break
            name = choice.endpoint.name
            context.got[name] += 1
            load.add(
                work_lib.WorkItem(
                    endpoint=name, prompt_tokens=5_000, sent_at=10.0
                )
            )


@then("at most {queued:d} in 100 prompts meet a full engine")
def meet_full(context, queued):
    over = sum(max(0, got - SLOTS) for got in context.got.values())
    sent = sum(context.got.values())
    assert over * 100 <= queued * sent, (over, sent)


@then("at least {sent:d} prompts were let go")
def were_let_go(context, sent):
    assert sum(context.got.values()) >= sent, sum(context.got.values())
