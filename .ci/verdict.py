"""Reads behave's JUnit reports and prints the summary line of a CI run.

Tests listed in `KNOWN-RED.txt` are allowed to fail and are printed when they
do. Each line of that file holds the name of a test, the cause of its failure
and the issue, separated by `|`.
"""

import pathlib
import sys
from xml.etree import ElementTree

KNOWN_RED = "KNOWN-RED.txt"
FAILURE_TAGS = ("failure", "error")
# Fits a violated guarantee and the last lines of the programs' logs.
REASON_LENGTH = 3_000


def read_report(folder: pathlib.Path) -> tuple[int, dict[str, str]]:
    """Return the number of passed scenarios, and failure reasons by name."""
    passed = 0
    failed = {}
    for path in sorted(folder.rglob("*.xml")):
        for case in ElementTree.parse(path).getroot().iter("testcase"):
            failures = [f for tag in FAILURE_TAGS for f in case.findall(tag)]
            if failures:
                name = unique_name(case.get("name", ""), failed)
                failed[name] = failure_reason(failures[0])
            elif case.find("skipped") is None:
                passed += 1
    return passed, failed


def unique_name(name: str, failed: dict[str, str]) -> str:
    """Return the name, padded with spaces if `failed` already holds it."""
    while name in failed:
        name += " "
    return name


def failure_reason(failure: ElementTree.Element) -> str:
    """Return the message and text of a failure, truncated."""
    reason = f"{failure.get('message') or ''} {failure.text or ''}".strip()
    return reason[:REASON_LENGTH]


def read_known_failures(path: pathlib.Path) -> dict[str, str]:
    """Return the causes of known failures by the name of the test.

    A test may be listed several times, once for each fault.
    """
    if not path.exists():
        return {}
    causes_by_name: dict[str, list[str]] = {}
    for line in path.read_text().splitlines():
        name, _, cause = line.partition("|")
        if name.strip():
            causes_by_name.setdefault(name.strip(), []).append(cause.strip())
    return {name: "; ".join(causes) for name, causes in causes_by_name.items()}


def main() -> int:
    """Print the failures and the summary line; return the exit code."""
    folder, test_status, lint_status = sys.argv[1:4]
    passed, failed = read_report(pathlib.Path(folder))
    known_failures = read_known_failures(pathlib.Path(KNOWN_RED))
    allowed = [name for name in failed if name.strip() in known_failures]
    for name in allowed:
        print(f"known to fail: {name.strip()}: {known_failures[name.strip()]}")
    for name, reason in failed.items():
        print(f"failed: {name.strip()}: {reason}")
    failed_count = len(failed) - len(allowed)
    if lint_status != "0":
        print("formatter or linter reported problems")
    if not passed and not failed:
        print("behave wrote no report")
        return 1
    print(f"{passed} passed, {failed_count} failed")
    # behave exits with an error if any scenario fails, also a known failure.
    unexplained = test_status != "0" and not failed
    return 1 if failed_count or unexplained or lint_status != "0" else 0


if __name__ == "__main__":
    sys.exit(main())
