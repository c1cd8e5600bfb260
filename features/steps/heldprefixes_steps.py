"""Steps on prefixes that engines hold, without a network."""

import random
import sys
import types

from behave import given
from behave import then
from behave import when

from _coltsfootroad.core import endpointset
from _coltsfootroad.core import registry
from _coltsfootroad.core import routes
from _coltsfootroad.core.placement import engineplacement
from _coltsfootroad.core.placement import heldprefixes
from _coltsfootroad.core.placement import work as work_lib
from _coltsfootroad.core.placement import workload
from _coltsfootroad.gateway import engines as engines_lib
from _coltsfootroad.gateway import retainedprompt

# The engines of the first deployment, except that these retain prompts.
SPEC = routes.EngineSpec(
    slots=6,
    kv_tokens=267_750,
    stride=73,
    step_s=0.00085,
    read_tokens_per_s=177_000.0,
    pair_s=0.0917e-9,
    retains_prefixes=True,
)
SERVICE = routes.ServiceSpec(name="s", engine=SPEC)
NOW = 1_000.0
OWN_TOKENS = 5_000
HOLDER = "e3"


def announce(endpoints, name: str, incarnation: int = 1) -> None:
    """Announce an engine; the holder has a zone of its own."""
    endpoints.learn(
        registry.Announcement(
            endpoint=name,
            incarnation=incarnation,
            seq=1,
            service="s",
            availability_zone="zh" if name == HOLDER else "",
        ),
        NOW,
    )


def prompt_of(tokens: int) -> engineplacement.Prompt:
    """Return a prompt with the targets of its length."""
    return engineplacement.Prompt(
        prompt_tokens=tokens,
        output_tokens=300,
        target_s=0.308 if tokens < 10_000 else 1.513,
        gap_target_s=0.25 if tokens < 10_000 else 0.6,
    )


def parts_of(*tokens: int, workspace: str = "w"):
    """Return parts of given lengths, each with its own id."""
    header = ",".join(f"p{n}:{n}" for n in tokens) + ",own:1"
    return heldprefixes.prefix_parts(header, workspace, 10**7)


def new_chooser(endpoints, load, seed: int = 5) -> engines_lib.Chooser:
    """Return a chooser."""
    return engines_lib.Chooser(endpoints, load, "", random.Random(seed))


def hold(context, name: str, parts) -> None:
    """Record that an engine holds parts."""
    key = context.endpoints.known[name].incarnation_key
    context.chooser.held.record(name, key, parts, NOW)


def choose(context, tokens: int, now: float = NOW):
    """Return the choice for a prompt with the held beginning."""
    return context.chooser.choose(
        SERVICE,
        prompt_of(tokens),
        context.avoid,
        now,
        None,
        context.parts,
    )


# --- choices -----------------------------------------------------------------


@given(
    "{count:d} engines that retain prompts, {holders} of which "
    "{verb} {tokens:d} tokens"
)
def engines_with_holder(context, count, holders, verb, tokens):
    del verb
    context.endpoints = endpointset.EndpointSet()
    context.load = workload.Workload()
    for number in range(count):
        announce(context.endpoints, f"e{number}")
    context.chooser = new_chooser(context.endpoints, context.load)
    context.parts, context.avoid = parts_of(tokens), set()
    context.held_tokens = tokens
    for name in [HOLDER] if holders == "one" else context.endpoints.known:
        hold(context, name, context.parts)


@given(
    "the holder has {streams:d} streams and {pending:d} pending prompts of "
    "{tokens:d} tokens"
)
def holder_busy(context, streams, pending, tokens):
    for number in range(streams + pending):
        context.load.add(
            work_lib.WorkItem(
                endpoint=HOLDER,
                prompt_tokens=1_000 if number < streams else tokens,
                writing=number < streams,
                sent_at=NOW,
            )
        )


@given("the holder prefills for another {pending:d} ms")
def holder_prefills(context, pending):
    if not pending:
        return
    tokens = int(pending / 1000 * SPEC.read_tokens_per_s)
    context.load.add(
        work_lib.WorkItem(endpoint=HOLDER, prompt_tokens=tokens, sent_at=NOW)
    )


@given("the holder is {state}")
def holder_unusable(context, state):
    if state == "ejected":
        context.endpoints.on_failure(HOLDER, NOW, True)
    elif state == "expired":
        context.endpoints.expire(HOLDER)
    elif state == "avoided":
        context.avoid.add(HOLDER)
    elif state == "restarted":
        announce(context.endpoints, HOLDER, incarnation=2)
    else:
        context.endpoints.set_evacuated(frozenset({"zh"}))


@when("a prompt with the held beginning is placed")
def placed(context):
    context.choice = choose(context, context.held_tokens + OWN_TOKENS)


@when("a prompt of {tokens:d} tokens with the held beginning is placed")
def placed_long(context, tokens):
    context.choice = choose(context, tokens)


@when(
    "{count:d} prompts with the held beginning are placed one after the other"
)
def placed_often(context, count):
    tokens = context.held_tokens + OWN_TOKENS
    context.choices = [choose(context, tokens) for _ in range(count)]


@then("the holder is chosen")
def holder_chosen(context):
    assert context.choice.endpoint.name == HOLDER, context.choice
    assert context.choice.saved_s > 0, context.choice


@then("the holder is chosen for each")
def holder_chosen_always(context):
    names = {choice.endpoint.name for choice in context.choices}
    assert names == {HOLDER}, names


@then("another engine is chosen")
def other_chosen(context):
    assert context.choice.endpoint.name != HOLDER, context.choice
    assert context.choice.saved_s == 0, context.choice


@then("it is split and saves nothing")
def split_saves_nothing(context):
    assert context.choice.helpers, context.choice
    assert context.choice.saved_s == 0, context.choice


@when("{count:d} prompts with the held beginning arrive within {within:d} ms")
def hot_prefix(context, count, within):
    tokens = context.held_tokens + OWN_TOKENS
    context.counts = {}
    for number in range(count):
        now = NOW + within / 1000 * number / count
        name = choose(context, tokens, now).endpoint.name
        context.counts[name] = context.counts.get(name, 0) + 1
        context.load.add(
            work_lib.WorkItem(
                endpoint=name,
                prompt_tokens=tokens,
                kv_tokens=tokens + 300,
                sent_at=now,
            )
        )
        hold(context, name, context.parts)


@then(
    "at least {least:d} engines hold it, and none has more than {most:d} of "
    "the prompts"
)
def spread(context, least, most):
    holders = context.chooser.held.likely_holders(context.parts, 100)
    assert len(holders) >= least, holders
    assert max(context.counts.values()) <= most, context.counts


# --- the estimate ------------------------------------------------------------


def lengths(text: str) -> list[int]:
    """Return the numbers in a text."""
    return [int(word) for word in text.split()]


@given("an engine that prefilled parts of {tokens} tokens")
def engine_prefilled(context, tokens):
    context.held = heldprefixes.HeldPrefixes()
    context.incarnation, context.at = "e#1", NOW
    context.free, context.workspace = SPEC.kv_tokens, "w"
    context.stored = parts_of(*lengths(tokens))
    context.held.record("e", "e#1", context.stored, NOW)


@when("it prefills parts of {tokens} tokens a second later")
def prefilled_later(context, tokens):
    context.at += 1
    parts = parts_of(*lengths(tokens))
    context.held.record("e", "e#1", parts, context.at)


@when("the held parts are looked up at once")
def nothing(_context):
    pass


@when("the engine that prefilled them restarts")
def restarted(context):
    context.incarnation = "e#2"


@when("{seconds:d} s pass after the prefill")
def time_passes(context, seconds):
    context.at += seconds


@when("work leaves memory for {free:d} tokens")
def memory_left(context, free):
    context.free = free


@when("a first event comes as late as in full")
def late_event(context):
    assert not context.held.on_first_event("e", context.stored, 0.3, 0.1, 0.3)


@when("a first event comes a little earlier")
def early_event(context):
    assert context.held.on_first_event("e", context.stored, 0.29, 0.1, 0.3)


@when("another workspace asks")
def other_workspace(context):
    context.workspace = "other"


@then("{held:d} of the tokens of {asked} count as held")
def tokens_held(context, held, asked):
    parts = parts_of(*lengths(asked), workspace=context.workspace)
    found = context.held.held_tokens(
        "e", context.incarnation, parts, context.free, context.at
    )
    assert found == held, found


@when("{count:d} engines record {prompts:d} prompts of {parts:d} parts each")
def many_records(context, count, prompts, parts):
    context.held = heldprefixes.HeldPrefixes()
    rng = random.Random(3)
    for _ in range(count * prompts // 10):
        keys = rng.sample(range(prompts * parts), parts)
        found = tuple(heldprefixes.Part(key, 10) for key in keys)
        name = f"e{rng.randrange(count)}"
        key = f"{name}#{rng.randrange(3)}"
        context.held.record(name, key, found, NOW)


@then(
    "at most {engines:d} engines and {parts:d} parts of each are kept, and "
    "sums agree"
)
def bounded(context, engines, parts):
    held = context.held
    assert len(held.engines) <= engines, len(held.engines)
    pairs = set()
    for name, known in held.engines.items():
        assert len(known.parts) <= parts, len(known.parts)
        assert known.tokens == sum(p.tokens for p in known.parts.values())
        pairs |= {(key, name) for key in known.parts}
    assert pairs == {(key, n) for key, ns in held.holders.items() for n in ns}


# --- one request ---------------------------------------------------------------


@given("a request to an engine that retains prompts")
def request_to_engine(context):
    context.endpoints = endpointset.EndpointSet()
    announce(context.endpoints, "e")
    context.chooser = new_chooser(context.endpoints, workload.Workload())
    context.is_suspect = False
    context.choice_fields = {"predicted_s": 0.1}
    context.exchange = types.SimpleNamespace(
        request_id="r",
        service=SERVICE,
        admitted=types.SimpleNamespace(prompt=prompt_of(25_000), workspace="w"),
        reply=types.SimpleNamespace(streaming=False),
        guard=types.SimpleNamespace(
            on_trial=False, size=("w", 10), header=lambda: "p20000:20000,own:1"
        ),
        gateway=types.SimpleNamespace(
            endpoints=context.endpoints,
            chooser=context.chooser,
            crash_reporter=types.SimpleNamespace(
                may_suspect=lambda *_: context.is_suspect
            ),
        ),
    )


@given("as to the request, {state}")
def request_state(context, state):
    exchange, known = context.exchange, context.endpoints.known["e"]
    if state == "its content is suspected of crashes":
        context.is_suspect = True
    elif state == "it runs as a trial":
        exchange.guard.on_trial = True
    elif state == "it is split":
        context.choice_fields["helpers"] = (known,)
    elif state == "its stream is resumed":
        exchange.reply.streaming = True
    elif state == "its service retains nothing":
        exchange.service = routes.ServiceSpec(
            name="s", engine=routes.EngineSpec()
        )
    elif state == "a saving of 100 ms was predicted":
        context.chooser.held.record("e", "e#1", parts_of(20_000), NOW)
        context.choice_fields["saved_s"] = 0.1
    else:
        assert state == "nothing is special", state


@when("it is sent and {end} after {delay:d} ms")
def sent(context, end, delay):
    retained = retainedprompt.RetainedPrompt(context.exchange)
    known = context.endpoints.known["e"]
    choice = engines_lib.Choice(endpoint=known, **context.choice_fields)
    retained.begin(choice, NOW)
    if end == "the engine restarts before its first event":
        announce(context.endpoints, "e", incarnation=2)
    elif end == "fails, and another gateway's stream begins":
        retained.end()
    else:
        assert end == "its first event arrives", end
    retained.on_events(NOW + delay / 1000)
    retained.on_events(NOW + delay / 1000 + 1)


@then("the engine counts as a holder of {tokens:d} tokens")
def holder_of(context, tokens):
    known = context.endpoints.known["e"]
    held = context.chooser.held.held_tokens(
        "e", known.incarnation_key, parts_of(20_000), SPEC.kv_tokens, NOW
    )
    assert held == tokens, held
    if not tokens and not context.chooser.held.counts:
        assert not context.chooser.held.engines


# --- off, and cost -----------------------------------------------------------


def random_load(count: int, rng: random.Random):
    """Return engines with random work."""
    endpoints, load = endpointset.EndpointSet(), workload.Workload()
    for number in range(count):
        announce(endpoints, f"e{number}")
        for _ in range(rng.randrange(5)):
            load.add(
                work_lib.WorkItem(
                    endpoint=f"e{number}",
                    prompt_tokens=rng.choice((5_000, 45_000)),
                    writing=rng.random() < 0.8,
                    gap_target_s=0.25,
                    sent_at=NOW - rng.random(),
                )
            )
    return endpoints, load


@then(
    "{count:d} choices with seed {seed:d} are equal with and without an empty "
    "estimate"
)
def same_choices(context, count, seed):
    del context
    found = []
    for parts in ((), parts_of(20_000)):
        rng = random.Random(seed)
        endpoints, load = random_load(200, rng)
        chooser = new_chooser(endpoints, load, seed)
        chosen = []
        for _ in range(count):
            prompt = prompt_of(rng.choice((5_000, 45_000, 220_000)))
            choice = chooser.choose(SERVICE, prompt, set(), NOW, None, parts)
            names = [known.name for known in choice.helpers]
            chosen.append(
                (choice.endpoint.name, names, choice.predicted_s, choice.cost)
            )
        found.append(chosen)
        assert chooser.held == heldprefixes.HeldPrefixes()
    assert found[0] == found[1]


def count_calls(function) -> int:
    """Return how many Python and C functions a function calls."""
    calls = 0

    def profile(_frame, event, _argument):
        nonlocal calls
        calls += event in ("call", "c_call")

    previous = sys.getprofile()
    sys.setprofile(profile)
    try:
        function()
    finally:
        sys.setprofile(previous)
    return calls


@then("calls per choice of {tokens:d} tokens grow at most {factor:g} times")
def cost_bounded(context, tokens, factor):
    endpoints, load = random_load(1_000, random.Random(1))
    prompt, totals = prompt_of(tokens), []
    for parts in ((), context.parts):
        chooser = new_chooser(endpoints, load)
        chooser.held = context.chooser.held
        total = 0
        for step in range(40):
            chooser.choose(SERVICE, prompt, set(), NOW)  # Fills the cache.
            total += count_calls(
                lambda at=NOW + step / 100: chooser.choose(  # noqa: B023
                    SERVICE, prompt, set(), at, None, parts  # noqa: B023
                )
            )
        totals.append(total)
    print(f"calls without and with: {totals}")
    assert totals[1] <= factor * totals[0], totals


@then("the header {header} of a prompt of {tokens:d} tokens states {parts}")
def header_parts(context, header, tokens, parts):
    del context
    header = "" if header == "none" else header
    found = heldprefixes.prefix_parts(header, "w", tokens)
    wanted = [] if parts == "nothing" else lengths(parts)
    assert [part.tokens for part in found] == wanted, found
