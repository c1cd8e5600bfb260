"""Steps that fuzz, run directed histories and plant defects."""

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


@then("nothing that must hold was broken")
def check_nothing(context):
    """The machine raises by itself; reaching this step is the proof."""


@when("each directed history of the {kind} machine runs")
def run_histories(context, kind):
    machine, table, _ = mutantrun.MACHINES[kind]
    context.broken = {}
    for label in table:
        try:
            histories.run_one(machine, table, label)
        except AssertionError as error:
            context.broken[label] = error


@then("none of them broke anything")
def check_histories(context):
    assert not context.broken, context.broken


@when("each deliberate defect of the {kind} path is planted in turn")
def plant(context, kind):
    context.verdicts = mutantrun.judge_all(kind)
    TABLE.mkdir(parents=True, exist_ok=True)
    lines = [f"| {v.label} | {v.by} |" for v in context.verdicts]
    (TABLE / f"{kind}.md").write_text("\n".join(lines) + "\n")


@then("at least {count:d} were planted and each was caught")
def check_caught(context, count):
    missed = [v.label for v in context.verdicts if not v.caught]
    assert len(context.verdicts) >= count and not missed, missed
