"""Steps of plays in which service has to be honest."""

import asyncio
import random

from behave import given
from behave import then
from behave import when

from features.soak import audit
from features.soak import endpoints
from features.soak import honesty
from features.support import gatewaybed
from features.support import honestplay
from features.support import honestydefects
from features.support import mutants


@when("a load of seed {seed:d} is played on one gateway")
def play(context, seed):
    context.observed = honestplay.play(seed)


@when(
    "a load of seed {seed:d} is played on one gateway with the defect"
    ' "{label}"'
)
def play_with_defect(context, seed, label):
    with mutants.injected(honestydefects.DEFECTS, label):
        context.observed = honestplay.play(seed)


def violations(context) -> list[str]:
    """Return what was not honest in the play."""
    return honesty.check(context.observed, honestplay.TOLERANCE_S)


@then("service was honest")
def is_honest(context):
    found = violations(context)
    assert not found, found


@then("service was not honest: {found}")
def is_not_honest(context, found):
    assert any(found in line for line in violations(context)), violations(
        context
    )


STARTED_AT = 100.0
GATEWAY, OTHER_GATEWAY = 0, 1


@given("a request of 0.2 s at a gateway that was cut {cut}")
def request_at_cut_gateway(context, cut):
    observed = audit.Observations()
    if cut != "never":
        end = STARTED_AT - float(cut.split()[0])
        observed.cuts.append(
            audit.Disturbance(gateway=GATEWAY, begin=end - 5.0, end=end)
        )
    observed.outcomes.append(
        audit.Outcome(
            request="r",
            kind="safe",
            key="",
            gateway=GATEWAY,
            started_at=STARTED_AT,
            ended_at=STARTED_AT + 0.2,
            deadline_s=3.0,
            status=502,
            complete=True,
            body=b"",
        )
    )
    context.observed = observed


@when("another gateway ends {ends} and the ready response is not delivered")
def ready_response_is_lost(context, ends):
    delay_s = 0.1 if ends == "meanwhile" else 5.0
    at = STARTED_AT + delay_s
    context.observed.disturbances.append(
        audit.Disturbance(gateway=OTHER_GATEWAY, begin=at, end=at + 1.0)
    )
    context.observed.runs.append(
        audit.Run(request="r", endpoint="e1", at=STARTED_AT, undisturbed=True)
    )
    context.observed.responses.append(
        audit.Response(request="r", at=STARTED_AT + 0.1)
    )


@then("{count:d} violations are found")
def violations_found(context, count):
    found = honesty.check(context.observed)
    assert len(found) == count, found


@when("an endpoint of a soak {does} while it serves a request")
def soak_endpoint_serves(context, does):
    context.observed = audit.Observations()

    async def run():
        endpoint = endpoints.SoakEndpoint(
            "e1", "e1-1", context.observed, random.Random(1)
        )

        async def pause(_headers, _seconds):
            if "not yet seen" in does:
                endpoint.writers.clear()
            if does.startswith("crashes"):
                endpoint.abort()

        endpoint.pause = pause
        await endpoint.start()
        port = int(endpoint.address.rpartition(":")[2])
        await asyncio.to_thread(gatewaybed.ask, port, "/safe/x")
        endpoint.server.close()

    asyncio.run(run())


@then("it has recorded {count:d} responses")
def responses_recorded(context, count):
    assert len(context.observed.responses) == count, context.observed.responses
