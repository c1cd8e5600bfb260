"""Steps on the engine of virtual time and on whole loads played on it."""

import random

from behave import given
from behave import then
from behave import when
import numpy

from _coltsfootroad.core import engineplacement
from _coltsfootroad.core import enginestate
from _coltsfootroad.core import shedding
from _coltsfootroad.core import work as work_lib
from _coltsfootroad.replay import batchengine
from benchmarks import mixes
from benchmarks import placement

SPEC = mixes.spec(8, 450_000, 46)
LONG_VALUE = 22.0
PLENTY = 100_000


def run_until(engine, holds) -> float:
    """Run passes until something holds; return the time."""
    now = 0.0
    while not holds():
        assert not engine.is_idle
        now = engine.run_pass(now)
    return now


@given(
    "an engine that has {parts:d} parts of a prompt of {tokens:d} tokens to read"
)
def engine_with_prompt(context, parts, tokens):
    context.engine = batchengine.BatchEngine(SPEC)
    context.job = batchengine.Job(tokens, 460, unread=parts)
    context.engine.submit(context.job, parts)
    # The other parts are read elsewhere and end no later than this one.
    context.job.unread = 1


@then("its first event comes after {least:g} to {most:g} s")
def first_event(context, least, most):
    run_until(context.engine, lambda: context.job.event_times)
    found = context.job.event_times[0]
    assert least <= found <= most, found


@given("an engine that writes a stream and gets a prompt of {tokens:d} tokens")
def engine_with_stream(context, tokens):
    context.engine = batchengine.BatchEngine(SPEC)
    context.job = batchengine.Job(2_500, 4_600)
    context.engine.submit(context.job, 1)
    run_until(context.engine, lambda: len(context.job.event_times) > 2)
    context.engine.submit(batchengine.Job(tokens, 46), 1)


@then("the stream's longest pause is {least:g} to {most:g} s")
def longest_pause(context, least, most):
    now = context.job.event_times[-1]
    while not context.job.done:
        now = context.engine.run_pass(now)
    found = numpy.diff(context.job.event_times).max()
    assert least <= found <= most, found


@given("an engine that reads a prompt of {tokens:d} tokens")
def engine_reads(context, tokens):
    context.engine = batchengine.BatchEngine(SPEC)
    context.job = batchengine.Job(tokens, 46)
    context.engine.submit(context.job, 1)
    context.engine.run_pass(0.0)


@when("a part of another prompt comes")
def part_comes(context):
    context.other = batchengine.Job(45_000, 46, unread=2)
    context.engine.submit_part(context.other, 2)


@then("the part is read before it")
def part_first(context):
    run_until(context.engine, lambda: context.other.unread == 1)
    assert context.job.unread == 1


@given("an engine whose batch is full of streams")
def full_batch(context):
    context.engine = batchengine.BatchEngine(SPEC)
    context.jobs = [
        batchengine.Job(2_500, 460 * (n + 1)) for n in range(SPEC.slots)
    ]
    for job in context.jobs:
        context.engine.submit(job, 1)
    context.engine.run_pass(0.0)


@when("one more request comes")
def one_more(context):
    context.job = batchengine.Job(2_500, 460)
    context.engine.submit(context.job, 1)


@then("its first event comes after the first of them has ended")
def after_first(context):
    run_until(context.engine, lambda: context.job.event_times)
    ended = min(job.event_times[-1] for job in context.jobs if job.done)
    assert context.job.event_times[0] > ended


# --- choices -------------------------------------------------------------


def work(**changes) -> work_lib.Work:
    """Return a request at the engine `e0`."""
    return work_lib.Work(
        **{"endpoint": "e0", "prompt_tokens": 5_000, "output_tokens": 1_600}
        | changes
    )


@given("an engine that reads a prompt whose pauses may last {gap:g} s")
def engine_reading(context, gap):
    reading = work(prompt_tokens=210_000, gap_target_s=gap, value=LONG_VALUE)
    context.state = enginestate.engine_state("e0", [reading], SPEC, 0.0)


@then("reading for {extra:g} s more loses {lost:g}")
def loses(context, extra, lost):
    found = context.state.value_lost_by(extra)
    assert found == lost, found


@given("an engine with {writing:d} streams and {late:d} that are late and wait")
def engine_with_late(context, writing, late):
    works = [work(writing=True, gap_target_s=0.2) for _ in range(writing)]
    # Sent long ago: what they have to read is no part of the question.
    works += [work(late=True, sent_at=-60.0) for _ in range(late)]
    context.state = enginestate.engine_state("e0", works, SPEC, 0.0)


@then("a short prompt's first event is predicted {when_} its aim")
def predicted_within(context, when_):
    prompt = engineplacement.Prompt(
        prompt_tokens=5_000, output_tokens=1_600, target_s=0.3, gap_target_s=0.2
    )
    found = engineplacement.place(prompt, [context.state], SPEC)
    assert (found.first_event_s <= 0.3) == (when_ == "within"), found


@when("a {size:d} prompt that {state} is predicted after {predicted:g} s")
def prompt_comes(context, size, state, predicted):
    context.candidate = shedding.Candidate(
        prompt_tokens=size,
        predicted_s=predicted,
        target_s=0.3,
        returned=state == "comes back",
    )


@when("{waiting:d} late requests wait at {places:d} places")
def late_wait(context, waiting, places):
    context.again_s = shedding.come_back_s(
        context.candidate, waiting, places, random.Random(1)
    )


@then("the short prompt is {verdict}")
def verdict_is(context, verdict):
    assert (context.again_s is not None) == (verdict == "sent away")
    least, most = shedding.COME_BACK_S
    assert context.again_s is None or least <= context.again_s <= most


@given('the load "{name}" of seeds 0 and 1')
def load_named(context, name):
    load_at(context, name, 1)


@given('the load "{name}" of seeds 0 and 1 at {gateways:d} gateways')
def load_at(context, name, gateways):
    (load,) = [one for one in mixes.ALL_LOADS if one.name == name]
    context.gains = placement.gains(load, 2, gateways=gateways)
    context.load = load


@then("callers gain within {most:g} of what they gain from one that knows all")
def near_full_knowledge(context, most):
    best = placement.gains(context.load, 2)
    for name in ("whole", "short"):
        assert context.gains[name] >= best[name] - most, (best, context.gains)


@then(
    "callers gain at least {whole:g} of the whole and {short:g} of short ones"
)
def callers_gain(context, whole, short):
    found = context.gains
    assert found["whole"] >= whole, found
    assert found["short"] >= short, found
