"""Steps for the time after which a silent stream fails over."""

from behave import given
from behave import then
from behave import when

from _coltsfootroad.core import failoverdelay
from _coltsfootroad.core import routes

CHECK_INTERVAL_S = 0.2
EVENT_AFTER_PREFILL_S = 0.1
OBSERVED_S = 20.0
SECOND_PREFILL = "gets a second one when it ends"
EVENT = "sends an event 0.1 s after it"


@given("a stream whose endpoint may be silent for 1 s without prefill")
def make_limit(context):
    route = routes.Route(
        name="short",
        host="",
        prefix="/",
        kind=routes.RequestKind.STREAM,
        timeout_s=10.0,
        splits=(),
        target_s=0.3,
        gap_target_s=0.2,
    )
    assert failoverdelay.failover_after_s(route, 0.0) == 1.0
    context.limit = failoverdelay.SilenceLimit(route)


@when("its engine gets a prefill of {prefill_s:g} s and {then_what}")
def play(context, prefill_s, then_what):
    done_at = prefill_s * (2 if then_what == SECOND_PREFILL else 1)
    event_at = done_at + EVENT_AFTER_PREFILL_S
    context.failed_over_s = None
    checks = round(OBSERVED_S / CHECK_INTERVAL_S)
    for now in (number * CHECK_INTERVAL_S for number in range(checks)):
        if then_what == EVENT and now >= event_at:
            return
        # Known prefill ends as the parts that are known end.
        known_done_at = prefill_s if now < prefill_s else done_at
        left_s = max(0.0, known_done_at - now)
        context.limit.observe_prefill(left_s, now)
        if now >= context.limit.allowed_s(0.0, left_s):
            context.failed_over_s = now
            return


@then("the stream fails over after {least} to {most} s of silence")
def check(context, least, most):
    if least == "never":
        assert context.failed_over_s is None, context.failed_over_s
        return
    assert context.failed_over_s is not None
    assert float(least) - 1e-6 <= context.failed_over_s <= float(most) + 1e-6
