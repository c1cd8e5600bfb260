"""Steps for the platform adapter."""

import json
import pathlib
import re
import sys

from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from _coltsfootroad.core import documents
from _coltsfootroad.core import fairqueue
from _coltsfootroad.core import headernumbers
from _coltsfootroad.core import routenumbers
from _coltsfootroad.core import routes
from _coltsfootroad.core.placement import engineplacement
from _coltsfootroad.core.placement import enginestate
from _coltsfootroad.core.placement import work
from _coltsfootroad.core.placement import workload
from _coltsfootroad.gateway import gossip
from _coltsfootroad.shell import settings as settings_lib

# The adapter's folder has the name of a standard library module, so it is not a
# package, and its path is added instead.
sys.path.insert(0, str(pathlib.Path("platform").resolve()))
FOLDER = pathlib.Path("features/platform")

from coltsplatform import configuration  # noqa: E402
from coltsplatform import instances  # noqa: E402


def sample() -> dict:
    """Return a configuration document as the operator sends it."""
    return json.loads((FOLDER / "sample.json").read_bytes())


def change(document, path: str, value) -> None:
    """Set the value at a path of keys and indices joined by dots."""
    *parents, last = path.split(".")
    for word in parents:
        document = document[int(word) if word.isdigit() else word]
    document[last] = value


def decode(body: bytes):
    """Decode and check a configuration like the adapter's handler."""
    decoded = configuration.decode(body)
    return decoded.bind(lambda c: routes.check(c).map(lambda _: c))


@when("the platform's sample configuration is decoded")
def decode_sample(context):
    context.decoded = decode(json.dumps(sample()).encode())


@then("its routes, engine, API keys and limits match the sample")
def matches_sample(context):
    config = context.decoded.ok
    stream, call = config.routes
    assert stream.kind is routes.RequestKind.STREAM
    assert stream.idempotent
    assert not call.idempotent
    assert (stream.timeout_s, stream.target_s) == (10.0, 0.3)
    assert stream.gap_target_s == 0.2
    assert [s.weight for s in stream.splits] == [90, 10]
    assert call.splits == (routes.Split(service="s2", weight=1),)
    engine = config.services[0].engine
    assert abs(engine.step_s - 0.000925) < 1e-12
    assert abs(engine.pair_s - 0.0917e-9) < 1e-20
    assert abs(engine.context_s_per_token - 2e-9) < 1e-20
    assert engine.kv_tokens == 450_000
    assert config.services[1].engine is None
    assert config.holders[0].keys == ("k1", "k2")
    assert [holder.priority for holder in config.holders] == [0, None]
    assert config.limits.idle_timeout_s == 15.0


@when("the platform's sample configuration has {path} as {value}")
def decode_changed_sample(context, path, value):
    document = sample()
    change(document, path, json.loads(value))
    context.decoded = decode(json.dumps(document).encode())


@when("the platform's sample configuration is truncated to half its length")
def decode_truncated_sample(context):
    body = json.dumps(sample()).encode()
    context.decoded = decode(body[: len(body) // 2])


@then("the configuration is refused with the words {words}")
def configuration_refused(context, words):
    assert context.decoded.is_error()
    assert words in context.decoded.error.message, context.decoded.error


@then("the platform's heartbeat in state {state} is {meaning}")
def heartbeat_state(context, state, meaning):
    body = json.loads((FOLDER / "heartbeat.json").read_bytes())
    body["state"] = state
    found = instances.decode_heartbeat("i-1", json.dumps(body).encode())
    if meaning == "refused":
        assert found.is_error()
    else:
        assert found.ok.state.value == meaning


@then("a sign-off has a higher sequence number than any heartbeat")
def sign_off_supersedes(context):
    assert instances.decode_sign_off("i-1", b"").ok.seq > 2**53


def heartbeat_with(field: str, value) -> bytes:
    """Return the sample heartbeat with one field set, or without it."""
    body = json.loads((FOLDER / "heartbeat.json").read_bytes())
    body.pop(field, None)
    if value is not None:
        body[field] = json.loads(value)
    return json.dumps(body).encode()


@then("a heartbeat with {field} as {value} is refused with the words {words}")
def heartbeat_refused(context, field, value, words):
    body = heartbeat_with(field, None if value == "missing" else value)
    found = instances.decode_heartbeat("i-1", body)
    assert found.is_error(), found
    assert words in found.error.message, found.error


@then(
    "a heartbeat and a sign-off with born as {born}"
    " have incarnation {incarnation}"
)
def born_becomes_incarnation(context, born, incarnation):
    value = None if born == "nothing" else born
    found = instances.decode_heartbeat("i-1", heartbeat_with("born", value))
    assert found.ok.incarnation == int(incarnation), found
    body = b"" if value is None else f'{{"born": {born}}}'.encode()
    assert instances.decode_sign_off("i-1", body).ok.incarnation == int(
        incarnation
    )


@then("a heartbeat with coldRemainingMs as {ms} states {seconds:g} s")
def cold_remaining(_, ms, seconds):
    found = instances.decode_heartbeat(
        "i-1", heartbeat_with("coldRemainingMs", ms)
    )
    assert found.ok.cold_remaining_s == seconds, found


@then("a service with {field} as {value} has a {key} of {decoded:g}")
def service_field(_, field, value, key, decoded):
    document = sample()
    change(document, f"services.0.{field}", json.loads(value))
    config = decode(json.dumps(document).encode()).ok
    assert getattr(config.services[0], key) == decoded


def render(template: str, values: dict) -> str:
    """Return a template with its sections and placeholders filled in."""
    for name, value in values.items():
        if value is None:
            section = rf"{{{{#{re.escape(name)}}}}}.*?{{{{/{name}}}}}"
            template = re.sub(section, "", template, flags=re.DOTALL)
        template = re.sub(rf"{{{{[#/]{re.escape(name)}}}}}", "", template)
        template = template.replace(f"{{{{{name}}}}}", str(value))
    return template


@then(
    "the gateway's template with {bounds} gives an overrun of {overrun:g} and a"
    " slack of {slack:g}"
)
def template_gives(_, bounds, overrun, slack):
    values = {
        "node|json": '"g"',
        "zone|json": '"z"',
        "seeds|json": "[]",
        "ipAddress": "127.0.0.1",
        "internalPorts.0": 1,
        "internalPorts.1": 2,
        "bounds.graceS": 8,
        "bounds.retryBudgetRatio": 0.2,
        "bounds.budgetSlack": 50,
        "bounds.budgetWindowS": 10,
        "bounds.coldOverrun": None,
        "bounds.coldSlack": None,
        "limits.memoryMb": 300,
        "limits.fileDescriptors": 4_100,
    }
    for name in ("front", "ready", "directory"):
        values[f"listen.{name}|json"] = '"127.0.0.1:3"'
    if bounds != "none":
        for bound in bounds.split(", "):
            name, _, value = bound.partition("=")
            values[f"bounds.{name}"] = value
    text = render(pathlib.Path("deploy/gateway.json").read_text(), values)
    settings = documents.CONVERTER.structure(
        json.loads(text), settings_lib.GatewaySettings
    )
    assert (settings.cold_overrun, settings.cold_slack) == (overrun, slack)
    assert (settings.memory_mb, settings.file_descriptors) == (300, 4_100)


DECODERS = {
    "a heartbeat": lambda body: instances.decode_heartbeat("i-1", body),
    "a sign-off": lambda body: instances.decode_sign_off("i-1", body),
    "a configuration": configuration.decode,
}
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=5),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(
        strategies.sampled_from(["born", "sequence", "state", "routes"]),
        inner,
    ),
    max_leaves=6,
)


@then("{what} of arbitrary bytes is decoded or refused with a message")
def arbitrary_bytes(context, what):
    decoder = DECODERS[what]
    heartbeat = json.loads((FOLDER / "heartbeat.json").read_bytes())

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(
        strategies.binary(max_size=60)
        | JSON_VALUES.map(lambda value: json.dumps(value).encode())
        | strategies.builds(
            lambda field, value: json.dumps(
                heartbeat | {field: value}
            ).encode(),
            strategies.sampled_from([*heartbeat, "born"]),
            JSON_VALUES,
        )
    )
    def decodes_or_refuses(body):
        found = decoder(body)
        assert found.is_ok() or found.error.message

    decodes_or_refuses()


@then("{what} nested {depth:d} deep is refused with the words {words}")
def nested_is_refused(_, what, depth, words):
    body = b'{"more": ' + b"[" * depth + b"]" * depth + b"}"
    found = DECODERS[what](body)
    assert found.is_error(), found
    assert words in found.error.message, found.error


def whole_number(text: str) -> int | float:
    """Return a number; one with an exponent from 30 on is an integer."""
    base, _, exponent = text.partition("e")
    if exponent in ("30", "400"):
        return int(base) * 10 ** int(exponent)
    return json.loads(text)


@then("gateways choose engines by a configuration whose {path} is {value}")
def gateways_choose(_, path, value):
    document = sample()
    change(document, path, whole_number(value))
    config = decode(json.dumps(document).encode()).map(routenumbers.clamp).ok
    engine = config.services[0].engine
    route = config.routes[0]
    assert routes.choose_service(route, "r") in ("s1", "s2")
    for holder in config.holders:
        assert fairqueue.priority_factor(holder.priority or 0) > 0
    for tokens in (1, 5_000, headernumbers.MAX_COUNT):
        prompt = engineplacement.Prompt(
            prompt_tokens=tokens,
            output_tokens=tokens,
            target_s=route.target_s,
            gap_target_s=route.gap_target_s,
        )
        load = workload.Workload()
        load.add(
            work.WorkItem(
                endpoint="e0",
                prompt_tokens=tokens,
                gap_target_s=route.gap_target_s,
                sent_at=1.0,
            )
        )
        items = load.at_endpoint("e0")
        states = [
            enginestate.engine_state(f"e{n}", items, engine, 2.0)
            for n in range(5)
        ]
        engineplacement.least_first_event_s(prompt, engine)
        engineplacement.place(prompt, states, engine)
        changes = load.collect_changes(True, 2.0)
        summary = workload.Summary(
            gateway="g", incarnation=1, seq=1, full=True, changes=changes
        )
        assert gossip.decode(gossip.encode(summary)).changes == changes


@then("the platform's sample configuration is stored unchanged")
def stored_unchanged(_):
    config = decode(json.dumps(sample()).encode()).ok
    assert routenumbers.clamp(config) == config
