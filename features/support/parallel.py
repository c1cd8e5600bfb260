"""Runs all features in several processes, the longest first.

Each process writes a JUnit report of its own; `.ci/verdict.py` reads all of
them. A process that ends without a whole report counts as a failed scenario.
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
# Seconds that each feature took, from `--record`; a plan needs little more than
# their order.
DURATIONS = FEATURES / "durations.json"
# A feature that takes longer is run a scenario at a time.
SPLIT_S = 8.0


@attrs.frozen
class Unit:
    """Scenarios that one process runs.

    Attributes:
        target: What behave is told: a feature, or a scenario by its line.
        scenarios: How many scenarios that names.
        seconds: About how long it takes.
    """

    target: str
    scenarios: int
    seconds: float


@attrs.frozen
class Outcome:
    """How the process of a unit ended."""

    unit: Unit
    status: int
    output: str
    reported: int
    failed: int

    @property
    def is_whole(self) -> bool:
        """Return whether the report holds every scenario, and why it failed."""
        explained = self.status == 0 or self.failed > 0
        return explained and self.reported == self.unit.scenarios


def scenario_lines(path: pathlib.Path) -> list[int]:
    """Return the lines of all scenarios of a feature, rows of tables apart."""
    feature = behave_parser.parse_file(str(path))
    return [scenario.line for scenario in feature.walk_scenarios()]


def plan(
    paths: Iterable[pathlib.Path], durations: dict[str, float]
) -> list[Unit]:
    """Return what to run, the longest first.

    A feature whose duration is not known is started early, but not split.
    """
    units = []
    for path in sorted(paths):
        name = str(path.relative_to(ROOT))
        lines = scenario_lines(path)
        seconds = durations.get(name, SPLIT_S)
        if name not in durations or seconds < SPLIT_S:
            units.append(Unit(name, len(lines), seconds))
            continue
        share_s = seconds / max(1, len(lines))
        units += [Unit(f"{name}:{line}", 1, share_s) for line in lines]
    return sorted(units, key=lambda unit: (-unit.seconds, unit.target))


def run_unit(unit: Unit, folder: pathlib.Path) -> Outcome:
    """Run a unit in a process of its own."""
    command = [sys.executable, "-m", "behave", "--format", "progress"]
    command += ["--no-skipped", "--junit", "--junit-directory", str(folder)]
    ended = subprocess.run(
        [*command, unit.target],
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
        status=ended.returncode,
        output=ended.stdout,
        reported=len(cases),
        failed=sum(is_failed(case) for case in cases),
    )
    if not outcome.is_whole:
        write_crash(folder, outcome)
    return outcome


def read_cases(folder: pathlib.Path) -> list[ElementTree.Element]:
    """Return the scenarios that a report says were run."""
    return [
        case
        for path in sorted(folder.glob("*.xml"))
        for case in ElementTree.parse(path).getroot().iter("testcase")
        if case.find("skipped") is None
    ]


def is_failed(case: ElementTree.Element) -> bool:
    """Return whether a scenario of a report failed."""
    return case.find("failure") is not None or case.find("error") is not None


def write_crash(folder: pathlib.Path, outcome: Outcome) -> None:
    """Report a unit whose own report is not whole."""
    folder.mkdir(parents=True, exist_ok=True)
    suite = ElementTree.Element("testsuite")
    name = f"{outcome.unit.target} ended with {outcome.status}"
    case = ElementTree.SubElement(suite, "testcase", name=name)
    text = f"{outcome.reported} of {outcome.unit.scenarios} scenarios reported"
    ElementTree.SubElement(case, "error", message=text)
    ElementTree.ElementTree(suite).write(folder / "TESTS-not-whole.xml")


def run_all(units: list[Unit], jobs: int) -> list[Outcome]:
    """Run units, some at a time; return how they ended, in their order."""
    shutil.rmtree(REPORTS, ignore_errors=True)
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        running = [
            pool.submit(run_unit, unit, REPORTS / f"{place:03}")
            for place, unit in enumerate(units)
        ]
        return [future.result() for future in running]


def record(outcomes: list[Outcome]) -> None:
    """Write how long the scenarios of each feature took, as reported."""
    durations: dict[str, float] = {}
    for place, outcome in enumerate(outcomes):
        name = outcome.unit.target.partition(":")[0]
        cases = read_cases(REPORTS / f"{place:03}")
        seconds = sum(float(case.get("time", 0.0)) for case in cases)
        durations[name] = durations.get(name, 0.0) + seconds
    rounded = {name: round(seconds, 1) for name, seconds in durations.items()}
    DURATIONS.write_text(json.dumps(rounded, indent=2, sort_keys=True) + "\n")


def main() -> int:
    """Run the features; return the exit code."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--jobs", type=int, default=os.cpu_count() or 1)
    options.add_argument("--record", action="store_true")
    chosen = options.parse_args()
    durations = {}
    if DURATIONS.exists():
        durations = json.loads(DURATIONS.read_text())
    units = plan(FEATURES.rglob("*.feature"), durations)
    began = time.monotonic()
    outcomes = run_all(units, chosen.jobs)
    if chosen.record:
        record(outcomes)
    bad = [o for o in outcomes if o.status or not o.is_whole]
    for outcome in bad:
        print(f"--- {outcome.unit.target}\n{outcome.output}")
    count = sum(outcome.reported for outcome in outcomes)
    took_s = time.monotonic() - began
    print(f"{count} scenarios in {len(units)} processes, {took_s:.0f} s")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
