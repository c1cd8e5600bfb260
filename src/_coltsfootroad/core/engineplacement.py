"""Chooses the engines for a prompt: where it is read and where it writes.

The pattern it answers: a few prompts that take seconds to read arrive among
many short ones. A pass in which an engine reads for longer than a stream's
longest pause makes every stream there late. So long prompts go in parts to
engines where nobody writes, or in parts so small that the pause holds, and
short ones gather on few engines so that others stay free for reading.

Each choice is the cheapest by the value that callers lose, own and others'.
"""

import heapq

import attrs

from _coltsfootroad.core import enginemodel
from _coltsfootroad.core import enginestate
from _coltsfootroad.core import routes

# Engines besides the first that a prompt may be read on; the engines' limit.
MAX_HELPERS = 16
# Numbers of parts that are compared; between them the gain is small.
PART_COUNTS = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17)
# Shorter prompts are never split: a part costs each helper a step, and they
# are read within one pass beside writers.
MIN_SPLIT_TOKENS = 10_000
# Share of the aim that the first event may take by prediction before it
# counts as endangered: parts of prompts that come later are read ahead.
TARGET_MARGIN = 0.5
# What opening an idle engine for a short prompt costs, in values of one
# short request: it takes the engine from the next long prompt.
IDLE_ENGINE_COST = 0.2
# What each further part costs, in the same unit, so that ties go to fewer.
PART_COST = 0.01
# What a request over the batch costs: it waits for a whole answer.
FULL_BATCH_COST = 3.0
# What the last place of a batch costs: another gateway may take it in the
# milliseconds until it hears of this choice, and one of the two then waits for
# a whole answer.
LAST_SLOT_COST = 0.05
# What one request more that waits there costs, so that those which are late
# already wait spread over the engines.
QUEUED_REQUEST_COST = 0.05
# Tokens kept free at each engine that lends memory to a long prompt, for
# the short ones that come while it is there.
RESERVED_KV_TOKENS = 40_000
# How long a stream keeps its place in a batch, about.
MEAN_STREAM_S = 2.0
# Tokens of a prompt that are worth as much as one short request.
TOKENS_PER_VALUE = 10_000
# What a second of reading that is queued at an engine costs, in values of one
# short request: whatever comes next there waits as well.
QUEUED_PREFILL_COST = 6.0
# What another availability zone costs: a tie-breaker.
CROSS_ZONE_COST = 0.005


@attrs.frozen(kw_only=True)
class Prompt:
    """What is known of a request before it is placed."""

    prompt_tokens: int
    output_tokens: int
    target_s: float
    gap_target_s: float

    @property
    def value(self) -> float:
        """Return what a late answer costs its caller, relative.

        Callers of long prompts have waited longer and resend more; the
        value of one grows about with its length.
        """
        return 1.0 + self.prompt_tokens / TOKENS_PER_VALUE


@attrs.frozen(kw_only=True)
class Placement:
    """Where a prompt goes: the first engine writes the answer.

    `tickets` are the helpers that hold a part of the prompt's memory, and
    how many tokens.
    """

    lead: str
    helpers: tuple[str, ...] = ()
    tickets: tuple[tuple[str, int], ...] = ()
    first_event_s: float = 0.0
    cost: float = 0.0


def miss_likelihood(predicted_s: float, target_s: float) -> float:
    """Return the likelihood that an aim is missed, from 0 to 1.

    Grows linearly from the margin to the aim, as predictions err, and
    slowly after it, so that the less late way is still the better one.
    """
    start = TARGET_MARGIN * target_s
    if predicted_s <= start:
        return 0.0
    if predicted_s <= target_s:
        return 0.5 * (predicted_s - start) / (target_s - start)
    return 0.5 + 0.5 * min(1.0, (predicted_s - target_s) / (2 * target_s))


def may_split(prompt: Prompt) -> bool:
    """Return whether a prompt is long enough to be read in parts."""
    return prompt.prompt_tokens >= MIN_SPLIT_TOKENS


def place(
    prompt: Prompt,
    states: list[enginestate.EngineState],
    spec: routes.EngineSpec,
) -> Placement | None:
    """Return the cheapest placement, None when there is no engine."""
    best: Placement | None = None
    for parts in PART_COUNTS:
        if parts > min(len(states), MAX_HELPERS + 1):
            break
        if parts > 1 and not may_split(prompt):
            break
        found = place_in_parts(prompt, states, spec, parts)
        if found is not None and (best is None or found.cost < best.cost):
            best = found
    return best


def place_in_parts(
    prompt: Prompt,
    states: list[enginestate.EngineState],
    spec: routes.EngineSpec,
    parts: int,
) -> Placement | None:
    """Return the cheapest placement in so many parts."""
    part_s = enginemodel.prefill_s(spec, prompt.prompt_tokens, parts)
    reading = [prefill_cost(state, part_s) for state in states]
    leading = [
        cost + decode_cost(prompt, state, spec, part_s)
        for state, cost in zip(states, reading, strict=True)
    ]
    first = min(range(len(states)), key=leading.__getitem__)
    helper_parts = heapq.nsmallest(
        parts - 1,
        (
            place
            for place, state in enumerate(states)
            if place != first and state.helper_parts < spec.slots
        ),
        key=reading.__getitem__,
    )
    if len(helper_parts) < parts - 1:
        return None
    lead = states[first]
    others = [states[place] for place in helper_parts]
    tickets = allocate_memory(prompt, lead, others, spec)
    if tickets is None:
        return None
    chosen = [lead, *others]
    first_event_s = max(predict_first_event_s(s, spec, part_s) for s in chosen)
    cost = leading[first] + sum(reading[place] for place in helper_parts)
    cost += prompt.value * miss_likelihood(first_event_s, prompt.target_s)
    return Placement(
        lead=lead.endpoint,
        helpers=tuple(s.endpoint for s in others),
        tickets=tickets,
        first_event_s=first_event_s,
        cost=cost,
    )


def allocate_memory(
    prompt: Prompt,
    lead: enginestate.EngineState,
    others: list[enginestate.EngineState],
    spec: routes.EngineSpec,
) -> tuple[tuple[str, int], ...] | None:
    """Return which helpers hold what the first engine cannot.

    None if they do not hold all of it; nothing if the first engine can, as
    its memory is what it would have to make free by itself.
    """
    needed = prompt.prompt_tokens + prompt.output_tokens
    if needed <= spec.kv_tokens - RESERVED_KV_TOKENS:
        return ()
    left = needed - max(0, spec.kv_tokens - lead.kv_used - RESERVED_KV_TOKENS)
    tickets = []
    for state in sorted(others, key=lambda s: s.kv_used):
        if left <= 0:
            break
        free = spec.kv_tokens - state.kv_used - RESERVED_KV_TOKENS
        if free > 0:
            tickets.append((state.endpoint, min(free, left)))
            left -= free
    return tuple(tickets) if left <= 0 else None


def predict_first_event_s(
    state: enginestate.EngineState, spec: routes.EngineSpec, part_s: float
) -> float:
    """Return when an engine has read its part and a pass has gone by.

    Over the batch, a request first waits until others have ended: with
    streams of some seconds, one ends each `STREAM_S` divided by the batch.
    """
    queued = max(0, state.requests_ahead + 1 - spec.slots)
    wait_s = queued * MEAN_STREAM_S / spec.slots
    pass_s = 1.5 * state.gap_s
    return wait_s + pass_s + state.prefill_left_s + state.slowdown * part_s


def prefill_cost(state: enginestate.EngineState, part_s: float) -> float:
    """Return what reading a part costs the streams of an engine."""
    cost = state.value_lost_by(state.slowdown * part_s) + PART_COST
    cost += 0.0 if state.in_gateway_zone else CROSS_ZONE_COST
    return cost + QUEUED_PREFILL_COST * state.prefill_left_s


def decode_cost(
    prompt: Prompt,
    state: enginestate.EngineState,
    spec: routes.EngineSpec,
    part_s: float,
) -> float:
    """Return what writing the answer costs, besides reading a part."""
    seconds = predict_first_event_s(state, spec, part_s)
    cost = prompt.value * miss_likelihood(seconds, prompt.target_s)
    if state.gap_s + state.prefill_left_s > prompt.gap_target_s > 0:
        cost += 0.5 * prompt.value
    if state.requests_ahead >= spec.slots:
        cost += (
            FULL_BATCH_COST
            * prompt.value
            * (1 + state.requests_ahead - spec.slots)
        )
    cost += QUEUED_REQUEST_COST * max(0, state.running - spec.slots)
    if state.requests_ahead == spec.slots - 1:
        cost += LAST_SLOT_COST * prompt.value
    needed = prompt.prompt_tokens + prompt.output_tokens
    if state.kv_used + min(needed, spec.kv_tokens) > spec.kv_tokens:
        cost += FULL_BATCH_COST * prompt.value
    if not state.decoding and not may_split(prompt):
        cost += IDLE_ENGINE_COST
    return cost
