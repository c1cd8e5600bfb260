"""Steps that check the CI script that derives a verdict from the reports."""

import pathlib
import subprocess
import sys

from behave import then
from behave import when

VERDICT = pathlib.Path(__file__).parents[2] / ".ci" / "verdict.py"
STARTED_NS = 1_800_000_000_000_000_000
# Times at which logs were kept, relative to the start of the run.
LOG_AGES_NS = {"before": -1, "after": 1}
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


@when(
    "the verdict is given on a failure whose log was kept {when} the run began"
)
def verdict_with_log(context, when):
    write_reports(context, "pass fail")
    kept = (
        context.folder / "failed" / f"a-test-{STARTED_NS + LOG_AGES_NS[when]}"
    )
    kept.mkdir(parents=True)
    (kept / "gateway-0.log").write_text(
        "".join(f"line {number}\n" for number in range(100))
    )
    # A replica's own storage, which is not text.
    (kept / "data-0").mkdir()
    (kept / "data-0" / "wal-00000001.log").write_bytes(b"CFRL\x00entries")
    context.outcome = give_verdict(context.folder, "2", "0", str(STARTED_NS))


@then('its last lines are {printed} and end with "{line}"')
def prints_log(context, printed, line):
    output = context.outcome.stdout
    assert ("gateway-0.log: line 99" in output) == (printed == "printed")
    assert "gateway-0.log: line 50" not in output, output
    assert "wal-" not in output, output
    assert output.splitlines()[-1] == line, output


def give_verdict(
    folder, tests: str, lint: str, *started: str
) -> subprocess.CompletedProcess:
    """Run the verdict script on the reports below a folder."""
    junit = str(folder / "junit")
    return subprocess.run(
        [sys.executable, str(VERDICT), junit, tests, lint, *started],
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
