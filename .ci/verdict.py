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
# Folder of the files of failed scenarios, beside the reports; the names in it
# end with the time of the failure in nanoseconds.
KEPT_FOLDER = "failed"
LOG_PATTERN = "*.log"
# Storage of a replica, which is not text.
STORAGE_PREFIX = "wal-"
# Bounds on what is printed of these files, as the clone of a CI run is deleted.
MAX_LOGS = 12
MAX_LOG_LINES = 8
MAX_LINE_LENGTH = 300


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


def kept_at_ns(kept: pathlib.Path) -> int:
    """Return when files were kept, by the folder's name; 0 if it has none."""
    time_text = kept.name.rpartition("-")[2]
    return int(time_text) if time_text.isdigit() else 0


def print_log_tails(folder: pathlib.Path, started_ns: int) -> None:
    """Print the last lines of logs that were kept since a time."""
    logs = [
        path
        for kept in sorted(folder.glob("*"))
        if kept_at_ns(kept) >= started_ns
        for path in sorted(kept.rglob(LOG_PATTERN))
        if not path.name.startswith(STORAGE_PREFIX)
    ]
    for path in logs[:MAX_LOGS]:
        lines = path.read_text(errors="replace").splitlines()
        for line in lines[-MAX_LOG_LINES:]:
            print(f"{path.relative_to(folder)}: {line[:MAX_LINE_LENGTH]}")
    if len(logs) > MAX_LOGS:
        print(f"{len(logs) - MAX_LOGS} more logs are kept in {folder}")


def main() -> int:
    """Print the failures and the summary line; return the exit code."""
    folder, test_status, lint_status = sys.argv[1:4]
    started_ns = int(sys.argv[4]) if len(sys.argv) > 4 else 0
    passed, failed = read_report(pathlib.Path(folder))
    known_failures = read_known_failures(pathlib.Path(KNOWN_RED))
    allowed = [name for name in failed if name.strip() in known_failures]
    for name in allowed:
        print(f"known to fail: {name.strip()}: {known_failures[name.strip()]}")
    for name, reason in failed.items():
        print(f"failed: {name.strip()}: {reason}")
    print_log_tails(pathlib.Path(folder).parent / KEPT_FOLDER, started_ns)
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
