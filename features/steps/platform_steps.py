"""Steps of the platform adapter's features."""

import json
import pathlib
import sys

from behave import then
from behave import when

from _coltsfootroad.core import routes

# The adapter lies in a folder that shares its name with a standard module,
# so it is not a package itself.
sys.path.insert(0, str(pathlib.Path("platform").resolve()))

from coltsplatform import configuration  # noqa: E402
from coltsplatform import instances  # noqa: E402


def sample() -> dict:
    """Return a configuration as the operator sends it."""
    return {
        "version": 7,
        "routes": [
            {
                "name": "r1",
                "host": "a.example",
                "pathPrefix": "/x/",
                "kind": "streaming",
                "timeoutMs": 10000,
                "targetLatencyMs": 300,
                "priority": 1,
                "trafficSplit": [
                    {"service": "s1", "weight": 90},
                    {"service": "s2", "weight": 10},
                ],
                "attempts": 2,
                "public": False,
                "stickySessions": True,
                "resumable": True,
                "gapTargetMs": 200,
            },
            {
                "name": "r2",
                "host": "a.example",
                "pathPrefix": "/y/",
                "kind": "unsafe",
                "timeoutMs": 800,
                "service": "s2",
                "attempts": 1,
            },
        ],
        "services": [
            {
                "name": "s1",
                "healthPath": "/health",
                "connectionLimit": 294,
                "engine": {
                    "slots": 8,
                    "cacheTokens": 450000,
                    "stride": 46,
                    "step_ms": 0.925,
                    "per_seq_ms": 0.01,
                    "context_per_k": 0.002,
                    "read_per_s": 256000.0,
                    "pairs_per_m": 0.0917,
                    "chunk": 2048,
                    "hopMs": 0.1,
                },
            },
            {"name": "s2", "healthPath": "/health", "connectionLimit": 54},
        ],
        "limits": {
            "headerBytes": 1,
            "bodyBytes": 2,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": "t1", "apiKeys": ["k1", "k2"]},
            {"name": "t2", "apiKeys": ["k3"]},
        ],
    }


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


@when("the platform's sample configuration has {fault}")
def faulty(context, fault):
    document = sample()
    if fault == "an unknown kind":
        document["routes"][0]["kind"] = "odd"
    elif fault == "a shared key":
        document["tenants"][1]["apiKeys"] = ["k1"]
    elif fault == "no timeout":
        document["routes"][0]["timeoutMs"] = 0
    elif fault == "a text as version":
        document["version"] = "7"
    body = json.dumps(document).encode()
    if fault == "half its bytes":
        body = body[: len(body) // 2]
    context.decoded = decode(body)


@then("the platform is told {words}")
def refused(context, words):
    assert context.decoded.is_error()
    assert words in context.decoded.error.message, context.decoded.error


@then("the platform's heartbeat in state {state} is {meaning}")
def heartbeat(context, state, meaning):
    body = {
        "service": "s1",
        "address": "10.0.0.1:80",
        "zone": "z",
        "state": state,
        "sequence": 4,
        "slots": 8,
        "unknown": 1,
    }
    found = instances.decode("i-1", json.dumps(body).encode())
    if meaning == "refused":
        assert found.is_error()
    else:
        assert found.ok.state.value == meaning


@then("signing off has a higher number than any heartbeat")
def signing_off(context):
    assert instances.signed_off("i-1").seq > 2**53
