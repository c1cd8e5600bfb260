"""Steps for the comparison of versions by days and seeds."""

import asyncio
import sys

from behave import given
from behave import then
from behave import when

from benchmarks import compare

# Stands for a program that plays a day: counts its runs and writes a report.
COMMAND = """
import json, pathlib, sys
seed, report = sys.argv[1:]
with open("runs.txt", "a") as file:
    file.write(seed + "\\n")
if seed == "2":
    sys.exit("given up")
document = {"G": SCORE, "parts": [["whole", 1.0, 0.6]], "prices": [["cpu", 1, 0.1]]}
pathlib.Path(report).write_text(json.dumps(document))
"""


@given("scores of two versions")
def give_scores(context):
    context.results = [
        compare.Result(
            way,
            row["case"],
            row["site"],
            None if row[way] == "none" else float(row[way]),
        )
        for row in context.table
        for way in ("old", "new")
    ]


@when("the versions are compared")
def compare_versions(context):
    try:
        context.differences = compare.compare(context.results)
    except compare.MismatchError as error:
        context.differences = error


@then("the differences are")
def check_differences(context):
    assert len(context.differences) == len(context.table.rows)
    for row, found in zip(context.table, context.differences, strict=True):
        assert found.site == row["site"]
        assert found.count == int(row["count"])
        assert abs(found.base - float(row["base"])) < 0.005
        assert abs(found.mean - float(row["mean"])) < 0.005
        assert found.worst_case == row["worst"]
        assert found.low <= found.mean + 1e-9
        assert found.high >= found.mean - 1e-9


@then("the comparison is rejected")
def check_rejected(context):
    assert isinstance(context.differences, compare.MismatchError)


@given('a command that scores "{score}" for seed 1 and fails for seed 2')
def give_command(context, score):
    context.program = context.folder / "play.py"
    context.program.write_text(COMMAND.replace("SCORE", score))


@when("it is compared twice over seeds 1 and 2")
def compare_twice(context):
    context.results_path = context.folder / "results.jsonl"
    cases = [compare.parse_case(f"site.toml:day:{seed}") for seed in (1, 2)]
    command = [sys.executable, str(context.program), "{seed}", "{report}"]
    for _ in range(2):
        asyncio.run(
            compare.run_all(
                {"old": [context.folder]},
                cases,
                command,
                2,
                context.results_path,
            )
        )


@then("it ran once for each seed")
def check_runs(context):
    runs = (context.folder / "runs.txt").read_text().split()
    assert sorted(runs) == ["1", "2"], runs


@then("the result of seed 1 is {score:g} and that of seed 2 names the failure")
def check_results(context, score):
    first, second = compare.load(context.results_path)
    assert first.score == score
    assert first.parts == {"whole": 0.6, "prices": 0.1}
    assert second.score is None
    assert "status 1" in second.error
