"""Steps of plays in which service has to be honest."""

from behave import then
from behave import when

from features.soak import honesty
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
