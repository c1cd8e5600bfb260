"""Steps for the simulated engine and for complete loads that run on it."""

import random

from behave import given
from behave import then
from behave import when
import numpy

from _coltsfootroad.core.placement import engineplacement
from _coltsfootroad.core.placement import enginestate
from _coltsfootroad.core.placement import shedding
from _coltsfootroad.core.placement import work as work_lib
from _coltsfootroad.replay import batchengine
from benchmarks import mixes
from benchmarks import placement

SPEC = mixes.spec(8, 450_000, 46)
LONG_VALUE = 22.0
PLENTY = 100_000


def run_until(engine, condition) -> float:
    """Run the engine until a condition holds; return the time."""
    now = 0.0
    while not condition():
        assert not engine.is_idle
        now = engine.run_pass(now)
    return now


@given(
    "an engine with {parts:d} parts of a prompt of {tokens:d} tokens to prefill"
)
def engine_with_prompt(context, parts, tokens):
    context.engine = batchengine.BatchEngine(SPEC)
    context.job = batchengine.Job(tokens, 460, pending_parts=parts)
    context.engine.submit(context.job, parts)
    # Other engines prefill the other parts, no slower than this one.
    context.job.pending_parts = 1


@then("its first event is sent after {least:g} to {most:g} s")
def check_first_event(context, least, most):
    run_until(context.engine, lambda: context.job.event_times)
    found = context.job.event_times[0]
    assert least <= found <= most, found


@given(
    "an engine that decodes a stream and receives a prompt of {tokens:d} tokens"
)
def engine_with_stream(context, tokens):
    context.engine = batchengine.BatchEngine(SPEC)
    context.job = batchengine.Job(2_500, 4_600)
    context.engine.submit(context.job, 1)
    run_until(context.engine, lambda: len(context.job.event_times) > 2)
    context.engine.submit(batchengine.Job(tokens, 46), 1)


@then("the stream's longest gap between events is {least:g} to {most:g} s")
def check_longest_gap(context, least, most):
    now = context.job.event_times[-1]
    while not context.job.done:
        now = context.engine.run_pass(now)
    found = numpy.diff(context.job.event_times).max()
    assert least <= found <= most, found


@given("an engine that prefills a prompt of {tokens:d} tokens")
def engine_with_prefill(context, tokens):
    context.engine = batchengine.BatchEngine(SPEC)
    context.job = batchengine.Job(tokens, 46)
    context.engine.submit(context.job, 1)
    context.engine.run_pass(0.0)


@when("a part of another prompt arrives")
def submit_part(context):
    context.other = batchengine.Job(45_000, 46, pending_parts=2)
    context.engine.submit_part(context.other, 2)


@then("the part is prefilled first")
def check_part_first(context):
    run_until(context.engine, lambda: context.other.pending_parts == 1)
    assert context.job.pending_parts == 1


@given("an engine whose batch is full of streams")
def full_batch(context):
    context.engine = batchengine.BatchEngine(SPEC)
    context.jobs = [
        batchengine.Job(2_500, 460 * (n + 1)) for n in range(SPEC.slots)
    ]
    for job in context.jobs:
        context.engine.submit(job, 1)
    context.engine.run_pass(0.0)


@when("one more request arrives")
def submit_one_more(context):
    context.job = batchengine.Job(2_500, 460)
    context.engine.submit(context.job, 1)


@then("its first event is sent after one of the streams has ended")
def check_sent_after_first_end(context):
    run_until(context.engine, lambda: context.job.event_times)
    ended = min(job.event_times[-1] for job in context.jobs if job.done)
    assert context.job.event_times[0] > ended


# --- choices -------------------------------------------------------------


def work(**changes) -> work_lib.WorkItem:
    """Return a work item at the engine `e0`."""
    return work_lib.WorkItem(
        **{"endpoint": "e0", "prompt_tokens": 5_000, "output_tokens": 1_600}
        | changes
    )


@given("an engine that prefills a prompt with a gap target of {gap:g} s")
def engine_with_gap_target(context, gap):
    prefill = work(prompt_tokens=210_000, gap_target_s=gap, value=LONG_VALUE)
    context.state = enginestate.engine_state("e0", [prefill], SPEC, 0.0)


@then("further prefill of {extra:g} s loses a value of {lost:g}")
def check_value_lost(context, extra, lost):
    found = context.state.value_lost_by(extra)
    assert found == lost, found


@given("an engine with {writing:d} streams and {late:d} queued late requests")
def engine_with_late_requests(context, writing, late):
    works = [work(writing=True, gap_target_s=0.2) for _ in range(writing)]
    # Sent long ago, so that no prefill remains for them.
    works += [work(late=True, sent_at=-60.0) for _ in range(late)]
    context.state = enginestate.engine_state("e0", works, SPEC, 0.0)


@then("a short prompt's first event is predicted {when_} its target")
def check_prediction(context, when_):
    prompt = engineplacement.Prompt(
        prompt_tokens=5_000, output_tokens=1_600, target_s=0.3, gap_target_s=0.2
    )
    found = engineplacement.place(prompt, [context.state], SPEC)
    assert (found.first_event_s <= 0.3) == (when_ == "within"), found


@when(
    "a prompt of {size:d} tokens on its {attempt} is predicted after {predicted:g} s"
)
def create_candidate(context, size, attempt, predicted):
    context.candidate = shedding.Candidate(
        prompt_tokens=size,
        predicted_s=predicted,
        target_s=0.3,
        is_retry=attempt == "retry",
    )


@when("{waiting:d} late requests wait for {slots:d} batch slots")
def shed_or_send(context, waiting, slots):
    context.retry_after_s = shedding.shed_retry_after_s(
        context.candidate, waiting, slots, random.Random(1)
    )


@then("the prompt is {verdict}")
def check_verdict(context, verdict):
    assert (context.retry_after_s is not None) == (verdict == "shed")
    least, most = shedding.RETRY_AFTER_RANGE_S
    assert (
        context.retry_after_s is None or least <= context.retry_after_s <= most
    )


@given('the load "{name}" of seeds 0 and 1')
def load_named(context, name):
    load_at(context, name, 1)


@given('the load "{name}" of seeds 0 and 1 at {gateways:d} gateways')
def load_at(context, name, gateways):
    (load,) = [load for load in mixes.ALL_LOADS if load.name == name]
    context.gains = placement.gains(load, 2, gateways=gateways)
    context.load = load


@then(
    "the gain is within {most:g} of the gain with one gateway that"
    " knows all work"
)
def check_near_full_knowledge(context, most):
    best = placement.gains(context.load, 2)
    for name in ("whole", "short"):
        assert context.gains[name] >= best[name] - most, (best, context.gains)


@then("the gain is at least {whole:g} overall and {short:g} for short prompts")
def check_gain(context, whole, short):
    found = context.gains
    assert found["whole"] >= whole, found
    assert found["short"] >= short, found
