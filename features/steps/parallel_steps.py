"""Steps that check the parallel runner of the features."""

import json
import subprocess
import time
from unittest import mock

from behave import given
from behave import parser as behave_parser
from behave import then
from behave import when

from features.steps import verdict_steps
from features.support import parallel

# Long enough for units to overlap.
UNIT_S = 0.05


def make_plan() -> list[parallel.Unit]:
    """Return the units that `make test` runs."""
    durations = json.loads(parallel.DURATIONS.read_text())
    return parallel.plan_units(parallel.FEATURES.rglob("*.feature"), durations)


@given("the plan of all features")
def plan_units(context):
    context.units = make_plan()


@then("it contains every scenario once")
def every_scenario(context):
    planned = [target for unit in context.units for target in unit.targets]
    wanted = {
        f"{path.relative_to(parallel.ROOT)}:{line}"
        for path in parallel.FEATURES.rglob("*.feature")
        for line in scenario_lines(path)
    }
    assert len(planned) == len(set(planned))
    assert set(planned) == wanted
    assert sum(unit.scenarios for unit in context.units) == len(wanted)


def scenario_lines(path) -> list[int]:
    """Return the lines of all scenarios of a feature, one per outline row."""
    feature = behave_parser.parse_file(str(path))
    return [scenario.line for scenario in feature.walk_scenarios()]


@then("longer units come first")
def longest_first(context):
    seconds = [unit.seconds for unit in context.units]
    assert seconds == sorted(seconds, reverse=True)


@then("a second plan is the same")
def same_again(context):
    assert make_plan() == context.units


@given(
    "a process that exits with {status:d} and reports {reported:d} of"
    " {scenarios:d} scenarios, {failed:d} failed"
)
def process(context, status, reported, scenarios, failed):
    folder = context.folder / "junit" / "000"
    folder.mkdir(parents=True)
    words = ["fail"] * failed + ["pass"] * (reported - failed)
    cases = "".join(
        f'<testcase name="{word}">{verdict_steps.CHILDREN[word]}</testcase>'
        for word in words
    )
    if words:
        text = f"<testsuite>{cases}</testsuite>"
        (folder / "TESTS-x.xml").write_text(text)
    completed = subprocess.CompletedProcess([], status, stdout="")
    targets = tuple(f"features/x.feature:{n}" for n in range(scenarios))
    unit = parallel.Unit(targets, 1.0)
    with mock.patch.object(subprocess, "run", return_value=completed):
        parallel.run_unit(unit, folder)
    context.status = status


@when("the verdict is given on its report")
def verdict(context):
    context.outcome = verdict_steps.give_verdict(
        context.folder, str(context.status), "0"
    )


@then('the verdict is "{line}" with exit code {code:d}')
def verdict_is(context, line, code):
    assert context.outcome.stdout.strip().endswith(line), context.outcome.stdout
    assert context.outcome.returncode == code


@then("exclusive scenarios have units of their own")
def exclusive_units(context):
    context.exclusive = [unit for unit in context.units if unit.exclusive]
    assert context.exclusive
    assert all(unit.scenarios == 1 for unit in context.exclusive)


@then("they run after all others and one at a time")
def exclusive_runs(context):
    started, running, most = [], [], []

    def run_unit(unit, _):
        started.append(unit)
        running.append(unit)
        most.append((unit.exclusive, len(running)))
        time.sleep(UNIT_S)
        running.remove(unit)

    units = (
        context.exclusive[:3]
        + [unit for unit in context.units if not unit.exclusive][:6]
    )
    with (
        mock.patch.object(parallel, "run_unit", run_unit),
        mock.patch.object(parallel.shutil, "rmtree"),
    ):
        parallel.run_all(units, 3)
    assert started[-3:] == context.exclusive[:3], started
    assert all(count == 1 for exclusive, count in most if exclusive), most
    assert max(count for _, count in most) > 1, most
