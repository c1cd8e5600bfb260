"""Steps that run fuzzing, directed histories and injected defects."""

import pathlib

from behave import then
from behave import when

from features.support import histories
from features.support import mutantrun
from features.support import requestmachine

TABLE = pathlib.Path("build/mutants")


@when("the {kind} machine runs {examples:d} examples of {steps:d} steps")
def run_machine(context, kind, examples, steps):
    machine = mutantrun.MACHINES[kind][0]
    requestmachine.run(machine, examples, steps)


@then("no invariant was violated")
def check_no_violation(context):
    """Pass: the machine raises in the previous step on a violation."""


@when("each directed history of the {kind} machine runs")
def run_histories(context, kind):
    machine, table, _ = mutantrun.MACHINES[kind]
    context.failures = {}
    for label in table:
        try:
            histories.run_one(machine, table, label)
        except AssertionError as error:
            context.failures[label] = error


@then("no history failed")
def check_histories(context):
    assert not context.failures, context.failures


@when("each deliberate defect of the {kind} path is injected in turn")
def inject_defects(context, kind):
    context.results = mutantrun.check_all_defects(kind)
    TABLE.mkdir(parents=True, exist_ok=True)
    lines = [f"| {r.label} | {r.caught_by} |" for r in context.results]
    (TABLE / f"{kind}.md").write_text("\n".join(lines) + "\n")


@then("at least {count:d} were injected and each was caught")
def check_caught(context, count):
    missed = [r.label for r in context.results if not r.caught]
    assert len(context.results) >= count and not missed, missed
