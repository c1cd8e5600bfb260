"""Reads behave's JUnit reports and prints the closing line of a CI run.

Tests that `KNOWN-RED.txt` lists may fail; each that does is printed. A line
there holds a test's name, its cause and its issue, divided by bars.
"""

import pathlib
import sys
from xml.etree import ElementTree

KNOWN_RED = "KNOWN-RED.txt"
FAILED = ("failure", "error")


def read_report(folder: pathlib.Path) -> tuple[int, list[str]]:
    """Return how many scenarios passed and the names of those that failed."""
    passed = 0
    failed = []
    for path in sorted(folder.rglob("*.xml")):
        for case in ElementTree.parse(path).getroot().iter("testcase"):
            if any(case.find(kind) is not None for kind in FAILED):
                failed.append(case.get("name", ""))
            elif case.find("skipped") is None:
                passed += 1
    return passed, failed


def read_known(path: pathlib.Path) -> dict[str, str]:
    """Return the causes of the tests that may fail, by name."""
    if not path.exists():
        return {}
    known = {}
    for line in path.read_text().splitlines():
        name, _, rest = line.partition("|")
        if name.strip():
            known[name.strip()] = rest.strip()
    return known


def main() -> int:
    """Print the result; return the exit code."""
    folder, test_status, lint_status = sys.argv[1:4]
    passed, failed = read_report(pathlib.Path(folder))
    known = read_known(pathlib.Path(KNOWN_RED))
    red = [name for name in failed if name.strip() in known]
    for name in red:
        print(f"known to fail: {name.strip()}: {known[name.strip()]}")
    count = len(failed) - len(red)
    if lint_status != "0":
        print("formatter or linter is not clean")
    if not passed and not failed:
        print("behave wrote no report")
        return 1
    print(f"{passed} passed, {count} failed")
    # behave fails as a whole when one scenario does, known or not.
    unexplained = test_status != "0" and not failed
    return 1 if count or unexplained or lint_status != "0" else 0


if __name__ == "__main__":
    sys.exit(main())
