"""Steps that check the CI script that derives a verdict from the reports."""

import pathlib
import subprocess
import sys

from behave import then
from behave import when

VERDICT = pathlib.Path(__file__).parents[2] / ".ci" / "verdict.py"
CHILDREN = {
    "pass": "",
    "fail": '<failure message="the guarantee that was violated"/>',
    "error": "<error/>",
    "skip": "<skipped/>",
}


@when(
    "the verdict is given on scenarios {report} with known {known}, {tests}"
    " and linter {lint}"
)
def verdict(context, report, known, tests, lint):
    write_reports(context, report)
    if known != "none":
        listed = f"{known} | its cause | issue 2\n"
        (context.folder / "KNOWN-RED.txt").write_text(listed)
    context.outcome = give_verdict(context.folder, tests, lint)


@when(
    "the verdict is given on scenarios {report} with known {known}, listed for"
    ' "{first}" and "{second}"'
)
def verdict_of_two_entries(context, report, known, first, second):
    write_reports(context, report)
    listed = f"{known} | {first}\n{known} | {second}\n"
    (context.folder / "KNOWN-RED.txt").write_text(listed)
    context.outcome = give_verdict(context.folder, "2", "0")


def write_reports(context, report: str) -> None:
    """Write a JUnit report with one test case for each word of `report`."""
    folder = context.folder / "junit"
    folder.mkdir()
    if report != "nothing":
        cases = "".join(
            f'<testcase name="{word}">{CHILDREN[word]}</testcase>'
            for word in report.split()
        )
        (folder / "TESTS-x.xml").write_text(f"<testsuite>{cases}</testsuite>")


def give_verdict(folder, tests: str, lint: str) -> subprocess.CompletedProcess:
    """Run the verdict script on the reports below a folder."""
    return subprocess.run(
        [sys.executable, str(VERDICT), str(folder / "junit"), tests, lint],
        cwd=folder,
        capture_output=True,
        text=True,
        check=False,
    )


@then('it ends with "{line}" and exit code {code:d}')
def ends_with(context, line, code):
    last = context.outcome.stdout.strip().splitlines()[-1]
    assert last.endswith(line), context.outcome.stdout
    assert context.outcome.returncode == code, context.outcome.returncode


@then('it prints "{words}"')
def prints(context, words):
    assert words in context.outcome.stdout, context.outcome.stdout
