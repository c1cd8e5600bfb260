"""Steps on whether a request may be sent again."""

from behave import then
from behave import when

from _coltsfootroad.core import sends as sends_lib

UNRUN = (sends_lib.Outcome.NOT_RUN, sends_lib.Outcome.NO_MEMORY)


@when("a {kind} request for {attempts:d} endpoints has come to {outcomes}")
def come_to(context, kind, attempts, outcomes):
    sends = sends_lib.Sends(attempts=attempts, idempotent=kind == "safe")
    for word in outcomes.split(", "):
        context.outcome = sends_lib.Outcome(word)
        sends.count += 1
        sends.runs += context.outcome not in UNRUN
    context.sends = sends


@then("it may go on: {on}")
def may_go_on(context, on):
    reason = context.sends.stop_reason(context.outcome)
    assert (reason == "") == (on == "yes"), reason
