"""Reads behave's JUnit report and prints the closing line of a CI run."""

import pathlib
import sys
from xml.etree import ElementTree


def read_report(folder: pathlib.Path) -> tuple[int, int]:
    """Return how many scenarios passed and failed."""
    passed = failed = 0
    for path in sorted(folder.glob("*.xml")):
        suite = ElementTree.parse(path).getroot()
        total = int(suite.get("tests", "0"))
        bad = int(suite.get("failures", "0")) + int(suite.get("errors", "0"))
        skipped = int(suite.get("skipped", "0"))
        failed += bad
        passed += total - bad - skipped
    return passed, failed


def main() -> int:
    """Print the result; return the exit code."""
    folder, test_status, lint_status = sys.argv[1:4]
    passed, failed = read_report(pathlib.Path(folder))
    if lint_status != "0":
        print("formatter or linter is not clean")
    if not passed and not failed:
        print("behave wrote no report")
        return 1
    print(f"{passed} passed, {failed} failed")
    broken = failed or test_status != "0" or lint_status != "0"
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
