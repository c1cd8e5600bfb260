"""Chooses the engines that prefill and decode a prompt.

A few prompts that take seconds to prefill arrive among many short ones. A
forward pass whose prefill takes longer than the gap target of a stream makes
every stream on that engine late. So a long prompt is split over engines that
decode nothing, or into parts small enough to keep the gap targets. Short
prompts are packed onto few engines, which keeps others free for prefill.

Each choice minimizes the value lost by late answers, of this request and of
the requests that are already on the engines.
"""

import heapq

import attrs

from _coltsfootroad.core import routes
from _coltsfootroad.core.placement import enginemodel
from _coltsfootroad.core.placement import enginestate

# Helper engines of one prompt at most; a limit of the engines.
MAX_HELPERS = 16
# Numbers of parts that are compared. Numbers in between gain little.
PART_COUNTS = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17)
# Shorter prompts are never split: a part costs each helper a step, and a short
# prompt is prefilled within one pass beside decoding streams.
MIN_SPLIT_TOKENS = 10_000
# Share of the target that the predicted first event may take before a miss
# counts as possible: parts of later prompts may be prefilled first.
TARGET_MARGIN = 0.5
# Costs are in units of the value of one short request.

# Cost of using an idle engine for a short prompt, which takes the engine from
# the next long prompt.
IDLE_ENGINE_COST = 0.2
# Cost of each part, so that ties go to fewer parts.
PART_COST = 0.01
# Cost of a request over the batch, which waits for a complete answer.
FULL_BATCH_COST = 3.0
# Cost of the last slot of a batch: another gateway may use it in the
# milliseconds until it learns of this choice, and one of the two requests then
# waits for a complete answer.
LAST_SLOT_COST = 0.05
# Cost of each request that is queued on an engine, so that late requests are
# spread over the engines.
QUEUED_REQUEST_COST = 0.05
# Tokens kept free on each engine that holds a part of a long prompt's KV cache,
# for short prompts that arrive meanwhile.
RESERVED_KV_TOKENS = 40_000
# Approximate time for which a stream occupies a batch slot.
MEAN_STREAM_S = 2.0
# Prompt tokens whose value equals that of one short request.
TOKENS_PER_VALUE = 10_000
# Cost of a second of queued prefill on an engine, as it delays all requests
# that follow.
QUEUED_PREFILL_COST_PER_S = 6.0
# Cost of an engine in another availability zone; only breaks ties.
CROSS_ZONE_COST = 0.005


@attrs.frozen(kw_only=True)
class Prompt:
    """The properties of a request that its placement depends on."""

    prompt_tokens: int
    output_tokens: int
    target_s: float
    gap_target_s: float

    @property
    def value(self) -> float:
        """Return the relative cost of a late answer to the caller.

        It grows with the length of the prompt: callers of long prompts have
        waited longer and resend more.
        """
        return 1.0 + self.prompt_tokens / TOKENS_PER_VALUE


@attrs.frozen(kw_only=True)
class Placement:
    """The engines of a prompt.

    Attributes:
        lead: Engine that decodes the answer.
        helpers: Engines that prefill further parts.
        tickets: Helpers that hold a part of the KV cache, with their tokens.
        first_event_s: Predicted time to the first event.
        cost: Cost in units of the value of one short request.
        saved_s: Seconds of prefill that a held beginning saves.
    """

    lead: str
    helpers: tuple[str, ...] = ()
    tickets: tuple[tuple[str, int], ...] = ()
    first_event_s: float = 0.0
    cost: float = 0.0
    saved_s: float = 0.0


def miss_likelihood(predicted_s: float, target_s: float) -> float:
    """Return the likelihood, 0 to 1, that an answer misses its target.

    It grows linearly from the margin to the target, as predictions err, and
    slowly beyond it, so that the less late of two placements is preferred.
    """
    start = TARGET_MARGIN * target_s
    if predicted_s <= start:
        return 0.0
    if predicted_s <= target_s:
        return 0.5 * (predicted_s - start) / (target_s - start)
    return 0.5 + 0.5 * min(1.0, (predicted_s - target_s) / (2 * target_s))


def may_split(prompt: Prompt) -> bool:
    """Return whether a prompt is long enough to be split."""
    return prompt.prompt_tokens >= MIN_SPLIT_TOKENS


def least_first_event_s(prompt: Prompt, spec: routes.EngineSpec) -> float:
    """Return the least seconds to the first event, on idle engines.

    Assumes that no engine has a part of the prompt in its cache.
    """
    parts = MAX_HELPERS + 1 if may_split(prompt) else 1
    prefill_s = enginemodel.prefill_s(spec, prompt.prompt_tokens, parts)
    return prefill_s + enginemodel.pass_s(spec, 1, prompt.prompt_tokens)


def place(
    prompt: Prompt,
    states: list[enginestate.EngineState],
    spec: routes.EngineSpec,
    saved: dict[str, float] | None = None,
) -> Placement | None:
    """Return the cheapest placement, None if there is none.

    `saved` has the seconds of prefill that engines save which hold the
    beginning of the prompt. It counts only if the prompt is not split.
    """
    best: Placement | None = None
    for parts in PART_COUNTS:
        if parts > min(len(states), MAX_HELPERS + 1):
            break
        if parts > 1 and not may_split(prompt):
            break
        found = place_in_parts(
            prompt, states, spec, parts, saved if parts == 1 else None
        )
        if found is not None and (best is None or found.cost < best.cost):
            best = found
    return best


def place_in_parts(
    prompt: Prompt,
    states: list[enginestate.EngineState],
    spec: routes.EngineSpec,
    parts: int,
    saved: dict[str, float] | None = None,
) -> Placement | None:
    """Return the cheapest placement in `parts` parts, None if there is none."""
    part_s = enginemodel.prefill_s(spec, prompt.prompt_tokens, parts)
    prefill_costs = [prefill_cost(state, part_s) for state in states]
    lead_costs = [
        cost + decode_cost(prompt, state, spec, part_s)
        for state, cost in zip(states, prefill_costs, strict=True)
    ]
    if saved:
        for index, state in enumerate(states):
            if state.endpoint in saved:
                lead_costs[index] = holder_cost(
                    prompt, state, spec, part_s, saved[state.endpoint]
                )
    first = min(range(len(states)), key=lead_costs.__getitem__)
    helpers = heapq.nsmallest(
        parts - 1,
        (
            index
            for index, state in enumerate(states)
            if index != first and state.helper_parts < spec.slots
        ),
        key=prefill_costs.__getitem__,
    )
    if len(helpers) < parts - 1:
        return None
    lead = states[first]
    others = [states[index] for index in helpers]
    tickets = allocate_memory(prompt, lead, others, spec)
    if tickets is None:
        return None
    chosen = [lead, *others]
    saved_s = saved.get(lead.endpoint, 0.0) if saved else 0.0
    part_s -= saved_s
    first_event_s = max(predict_first_event_s(s, spec, part_s) for s in chosen)
    cost = lead_costs[first] + sum(prefill_costs[index] for index in helpers)
    cost += prompt.value * miss_likelihood(first_event_s, prompt.target_s)
    return Placement(
        lead=lead.endpoint,
        helpers=tuple(s.endpoint for s in others),
        tickets=tickets,
        first_event_s=first_event_s,
        cost=cost,
        saved_s=saved_s,
    )


def allocate_memory(
    prompt: Prompt,
    lead: enginestate.EngineState,
    others: list[enginestate.EngineState],
    spec: routes.EngineSpec,
) -> tuple[tuple[str, int], ...] | None:
    """Return the helpers, with tokens, that hold what `lead` cannot.

    Returns None if they cannot hold all of it. Returns an empty tuple if the
    entire KV cache fits into the total memory of `lead`, which frees its own
    memory by itself.
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
    """Return the seconds until an engine has prefilled its part and one pass.

    A request over the batch first waits for others to end. Of `slots` streams,
    one ends every `MEAN_STREAM_S / slots` seconds.
    """
    queued = max(0, state.requests_ahead + 1 - spec.slots)
    wait_s = queued * MEAN_STREAM_S / spec.slots
    pass_s = 1.5 * state.gap_s
    return wait_s + pass_s + state.prefill_left_s + state.slowdown * part_s


def prefill_cost(state: enginestate.EngineState, part_s: float) -> float:
    """Return the cost of prefilling a part, for the streams of an engine."""
    cost = state.value_lost_by(state.slowdown * part_s) + PART_COST
    cost += 0.0 if state.in_gateway_zone else CROSS_ZONE_COST
    return cost + QUEUED_PREFILL_COST_PER_S * state.prefill_left_s


def holder_cost(
    prompt: Prompt,
    state: enginestate.EngineState,
    spec: routes.EngineSpec,
    part_s: float,
    saved_s: float,
) -> float:
    """Return the cost of an engine that holds the beginning of a prompt.

    A saved second is worth what a second of queued prefill costs: either moves
    all requests that follow by a second. So a holder is preferred until the
    wait there is longer than prefilling the beginning elsewhere.
    """
    left_s = part_s - saved_s
    cost = prefill_cost(state, left_s)
    cost += decode_cost(prompt, state, spec, left_s)
    return cost - QUEUED_PREFILL_COST_PER_S * saved_s


def decode_cost(
    prompt: Prompt,
    state: enginestate.EngineState,
    spec: routes.EngineSpec,
    part_s: float,
) -> float:
    """Return the cost of decoding the answer on an engine."""
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
