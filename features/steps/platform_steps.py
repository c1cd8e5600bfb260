"""Steps of the platform adapter's features."""

import json
import pathlib
import sys

from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from _coltsfootroad.core import routes

# The adapter lies in a folder that shares its name with a standard module,
# so it is not a package itself.
sys.path.insert(0, str(pathlib.Path("platform").resolve()))
FOLDER = pathlib.Path("features/platform")

from coltsplatform import configuration  # noqa: E402
from coltsplatform import instances  # noqa: E402


def sample() -> dict:
    """Return a configuration as the operator sends it."""
    return json.loads((FOLDER / "sample.json").read_bytes())


def change(document, path: str, value) -> None:
    """Set the value at a path of keys and places, joined by dots."""
    *parents, last = path.split(".")
    for word in parents:
        document = document[int(word) if word.isdigit() else word]
    document[last] = value


def decode(body: bytes):
    """Decode and check a configuration as the adapter's handler does."""
    decoded = configuration.decode(body)
    return decoded.bind(lambda c: routes.check(c).map(lambda _: c))


@when("the platform's sample configuration is decoded")
def decoded(context):
    context.decoded = decode(json.dumps(sample()).encode())


@then("its routes, engine, keys and limits hold what the sample says")
def holds(context):
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
    assert config.limits.idle_timeout_s == 15.0


@when("the platform's sample configuration has {path} as {value}")
def faulty(context, path, value):
    document = sample()
    change(document, path, json.loads(value))
    context.decoded = decode(json.dumps(document).encode())


@when("the platform's sample configuration is cut in half")
def cut_short(context):
    body = json.dumps(sample()).encode()
    context.decoded = decode(body[: len(body) // 2])


@then("the platform is told {words}")
def refused(context, words):
    assert context.decoded.is_error()
    assert words in context.decoded.error.message, context.decoded.error


@then("the platform's heartbeat in state {state} is {meaning}")
def heartbeat(context, state, meaning):
    body = json.loads((FOLDER / "heartbeat.json").read_bytes())
    body["state"] = state
    found = instances.decode("i-1", json.dumps(body).encode())
    if meaning == "refused":
        assert found.is_error()
    else:
        assert found.ok.state.value == meaning


@then("signing off has a higher number than any heartbeat")
def signing_off(context):
    assert instances.sign_off_announcement("i-1", b"").ok.seq > 2**53


def heartbeat_with(field: str, value) -> bytes:
    """Return the sample heartbeat with one field set, or without it."""
    body = json.loads((FOLDER / "heartbeat.json").read_bytes())
    body.pop(field, None)
    if value is not None:
        body[field] = json.loads(value)
    return json.dumps(body).encode()


@then("a heartbeat with {field} as {value} is refused for {words}")
def unreadable(context, field, value, words):
    body = heartbeat_with(field, None if value == "missing" else value)
    found = instances.decode("i-1", body)
    assert found.is_error(), found
    assert words in found.error.message, found.error


@then("a heartbeat and a sign-off that state {born} are of start {start}")
def started(context, born, start):
    stated = None if born == "nothing" else born
    found = instances.decode("i-1", heartbeat_with("born", stated))
    assert found.ok.incarnation == int(start), found
    body = b"" if stated is None else f'{{"born": {born}}}'.encode()
    assert instances.sign_off_announcement("i-1", body).ok.incarnation == int(
        start
    )


DECODERS = {
    "a heartbeat": lambda body: instances.decode("i-1", body),
    "a sign-off": lambda body: instances.sign_off_announcement("i-1", body),
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


@then("{what} of any bytes is refused or read, and never breaks the program")
def any_bytes(context, what):
    decoder = DECODERS[what]
    known = json.loads((FOLDER / "heartbeat.json").read_bytes())

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(
        strategies.binary(max_size=60)
        | JSON_VALUES.map(lambda value: json.dumps(value).encode())
        | strategies.builds(
            lambda field, value: json.dumps(known | {field: value}).encode(),
            strategies.sampled_from([*known, "born"]),
            JSON_VALUES,
        )
    )
    def holds(body):
        found = decoder(body)
        assert found.is_ok() or found.error.message

    holds()
