"""Runs all features in several processes, the longest first.

Scenarios with the tag `exclusive` measure a whole process; they run afterwards,
one at a time.

Each process writes its own JUnit report; `.ci/verdict.py` reads all reports. A
process that exits without a complete report counts as a failed scenario.
"""

import argparse
from collections.abc import Iterable
import concurrent.futures
import json
import os
import pathlib
import shutil
import subprocess
import sys
import time
from xml.etree import ElementTree

import attrs
from behave import parser as behave_parser

ROOT = pathlib.Path(__file__).parents[2]
FEATURES = ROOT / "features"
REPORTS = ROOT / "build" / "junit"
# Durations of scenarios in seconds by name, written by `--record`. Only their
# order matters much; scenarios without a duration are short.
DURATIONS = FEATURES / "durations.json"
MIN_RECORDED_S = 0.3
DEFAULT_DURATION_S = 0.1
EXCLUSIVE_TAG = "exclusive"
# A process takes about a second to start, so short scenarios share one until
# their durations add up to this.
MIN_UNIT_S = 6.0


@attrs.frozen
class Scenario:
    """A scenario, or one row of an outline, and its expected duration."""

    target: str
    name: str
    seconds: float
    exclusive: bool = False


@attrs.frozen
class Unit:
    """Scenarios that one process runs.

    Attributes:
        targets: Arguments of behave: `file:line` of each scenario.
        seconds: Expected duration.
        exclusive: Whether no other unit may run meanwhile.
    """

    targets: tuple[str, ...]
    seconds: float
    exclusive: bool = False

    @property
    def scenarios(self) -> int:
        """Return the number of scenarios."""
        return len(self.targets)


@attrs.frozen
class Outcome:
    """How the process of a unit exited, and what it reported."""

    unit: Unit
    status: int
    output: str
    reported: int
    failed: int

    @property
    def is_complete(self) -> bool:
        """Return whether the report covers all scenarios and any failure."""
        explained = self.status == 0 or self.failed > 0
        return explained and self.reported == self.unit.scenarios


def scenarios_of(
    path: pathlib.Path, durations: dict[str, float]
) -> list[Scenario]:
    """Return all scenarios of a feature in file order."""
    feature = behave_parser.parse_file(str(path))
    name = path.relative_to(ROOT)
    return [
        Scenario(
            target=f"{name}:{scenario.line}",
            name=scenario.name.strip(),
            seconds=durations.get(scenario.name.strip(), DEFAULT_DURATION_S),
            exclusive=EXCLUSIVE_TAG in scenario.effective_tags,
        )
        for scenario in feature.walk_scenarios()
    ]


def plan_units(
    paths: Iterable[pathlib.Path], durations: dict[str, float]
) -> list[Unit]:
    """Return the units to run, the longest first."""
    units = []
    shared: list[Scenario] = []
    for path in sorted(paths):
        for scenario in scenarios_of(path, durations):
            if scenario.seconds >= MIN_UNIT_S or scenario.exclusive:
                units.append(make_unit([scenario]))
                continue
            shared.append(scenario)
            if sum(scenario.seconds for scenario in shared) >= MIN_UNIT_S:
                units.append(make_unit(shared))
                shared = []
    if shared:
        units.append(make_unit(shared))
    return sorted(units, key=lambda unit: (-unit.seconds, unit.targets))


def make_unit(scenarios: list[Scenario]) -> Unit:
    """Return a unit that runs the scenarios in one process."""
    return Unit(
        targets=tuple(scenario.target for scenario in scenarios),
        seconds=round(sum(scenario.seconds for scenario in scenarios), 1),
        exclusive=any(scenario.exclusive for scenario in scenarios),
    )


def run_unit(unit: Unit, folder: pathlib.Path) -> Outcome:
    """Run a unit in its own process."""
    command = [sys.executable, "-m", "behave", "--format", "progress"]
    command += ["--no-skipped", "--junit", "--junit-directory", str(folder)]
    process = subprocess.run(
        [*command, *unit.targets],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        errors="replace",
        check=False,
    )
    cases = read_cases(folder)
    outcome = Outcome(
        unit=unit,
        status=process.returncode,
        output=process.stdout,
        reported=len(cases),
        failed=sum(is_failed(case) for case in cases),
    )
    if not outcome.is_complete:
        write_incomplete_report(folder, outcome)
    return outcome


def read_cases(folder: pathlib.Path) -> list[ElementTree.Element]:
    """Return the test cases of all reports in a folder that were run."""
    return [
        case
        for path in sorted(folder.glob("*.xml"))
        for case in ElementTree.parse(path).getroot().iter("testcase")
        if case.find("skipped") is None
    ]


def is_failed(case: ElementTree.Element) -> bool:
    """Return whether a test case failed."""
    return case.find("failure") is not None or case.find("error") is not None


def write_incomplete_report(folder: pathlib.Path, outcome: Outcome) -> None:
    """Write a failed test case for a unit with an incomplete report."""
    folder.mkdir(parents=True, exist_ok=True)
    suite = ElementTree.Element("testsuite")
    first = outcome.unit.targets[0]
    name = f"the process of {first} exited with {outcome.status}"
    case = ElementTree.SubElement(suite, "testcase", name=name)
    text = f"{outcome.reported} of {outcome.unit.scenarios} scenarios reported"
    ElementTree.SubElement(case, "error", message=text)
    ElementTree.ElementTree(suite).write(folder / "TESTS-not-whole.xml")


def run_all(units: list[Unit], jobs: int) -> list[Outcome]:
    """Run the units, `jobs` at a time; return their outcomes in order."""
    shutil.rmtree(REPORTS, ignore_errors=True)
    folders = {
        unit: REPORTS / f"{index:03}" for index, unit in enumerate(units)
    }
    outcomes = {}
    for exclusive, count in ((False, jobs), (True, 1)):
        found = [unit for unit in units if unit.exclusive is exclusive]
        with concurrent.futures.ThreadPoolExecutor(count) as pool:
            running = {
                unit: pool.submit(run_unit, unit, folders[unit])
                for unit in found
            }
        for unit, future in running.items():
            outcomes[unit] = future.result()
    return [outcomes[unit] for unit in units]


def record(count: int) -> None:
    """Write the durations in the reports of the first `count` units."""
    durations: dict[str, float] = {}
    for index in range(count):
        for case in read_cases(REPORTS / f"{index:03}"):
            seconds = round(float(case.get("time", 0.0)), 1)
            name = case.get("name", "").strip()
            if seconds >= MIN_RECORDED_S:
                durations[name] = max(seconds, durations.get(name, 0.0))
    text = json.dumps(durations, indent=1, sort_keys=True, ensure_ascii=False)
    DURATIONS.write_text(text + "\n")


def main() -> int:
    """Run the features; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--jobs", type=int, default=os.cpu_count() or 1)
    parser.add_argument("--record", action="store_true")
    arguments = parser.parse_args()
    durations = {}
    if DURATIONS.exists():
        durations = json.loads(DURATIONS.read_text())
    units = plan_units(FEATURES.rglob("*.feature"), durations)
    started_at = time.monotonic()
    outcomes = run_all(units, arguments.jobs)
    if arguments.record:
        record(len(outcomes))
    failures = [o for o in outcomes if o.status or not o.is_complete]
    for outcome in failures:
        print(f"--- {' '.join(outcome.unit.targets)}\n{outcome.output}")
    count = sum(outcome.reported for outcome in outcomes)
    took_s = time.monotonic() - started_at
    print(f"{count} scenarios in {len(units)} processes, {took_s:.0f} s")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
