"""Steps on whether a request may be sent again."""

from behave import then
from behave import when

from _coltsfootroad.core import sends as sends_lib

UNRUN = (sends_lib.Outcome.NOT_RUN, sends_lib.Outcome.NO_MEMORY)


@when("a {kind} request with {attempts:d} attempts had the outcomes {outcomes}")
def had_outcomes(context, kind, attempts, outcomes):
    sends = sends_lib.SendHistory(attempts=attempts, idempotent=kind == "safe")
    for word in outcomes.split(", "):
        context.outcome = sends_lib.Outcome(word)
        sends.count += 1
        sends.runs += context.outcome not in UNRUN
    context.sends = sends


@then("it may be sent again: {again}")
def may_be_sent_again(context, again):
    reason = context.sends.stop_reason(context.outcome)
    assert (reason == "") == (again == "yes"), reason
