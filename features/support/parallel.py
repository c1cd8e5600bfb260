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
# Seconds that scenarios took, by name, from `--record`; a plan needs little more
# than their order. Those that are not named are short.
DURATIONS = FEATURES / "durations.json"
RECORDED_FROM_S = 0.3
SHORT_S = 0.1
# A process takes about a second to start, so short scenarios share one.
SHARED_S = 6.0


@attrs.frozen
class Scenario:
    """A scenario, a row of a table apart, and about how long it takes."""

    target: str
    name: str
    seconds: float


@attrs.frozen
class Unit:
    """Scenarios that one process runs.

    Attributes:
        targets: What behave is told: scenarios by their lines.
        seconds: About how long it takes.
    """

    targets: tuple[str, ...]
    seconds: float

    @property
    def scenarios(self) -> int:
        """Return how many scenarios it names."""
        return len(self.targets)


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


def scenarios_of(
    path: pathlib.Path, durations: dict[str, float]
) -> list[Scenario]:
    """Return all scenarios of a feature, in their order."""
    feature = behave_parser.parse_file(str(path))
    name = path.relative_to(ROOT)
    return [
        Scenario(
            target=f"{name}:{scenario.line}",
            name=scenario.name.strip(),
            seconds=durations.get(scenario.name.strip(), SHORT_S),
        )
        for scenario in feature.walk_scenarios()
    ]


def plan(
    paths: Iterable[pathlib.Path], durations: dict[str, float]
) -> list[Unit]:
    """Return what to run, the longest first."""
    units = []
    shared: list[Scenario] = []
    for path in sorted(paths):
        for scenario in scenarios_of(path, durations):
            if scenario.seconds >= SHARED_S:
                units.append(unit_of([scenario]))
                continue
            shared.append(scenario)
            if sum(one.seconds for one in shared) >= SHARED_S:
                units.append(unit_of(shared))
                shared = []
    if shared:
        units.append(unit_of(shared))
    return sorted(units, key=lambda unit: (-unit.seconds, unit.targets))


def unit_of(scenarios: list[Scenario]) -> Unit:
    """Return what runs some scenarios in one process."""
    return Unit(
        targets=tuple(scenario.target for scenario in scenarios),
        seconds=round(sum(scenario.seconds for scenario in scenarios), 1),
    )


def run_unit(unit: Unit, folder: pathlib.Path) -> Outcome:
    """Run a unit in a process of its own."""
    command = [sys.executable, "-m", "behave", "--format", "progress"]
    command += ["--no-skipped", "--junit", "--junit-directory", str(folder)]
    ended = subprocess.run(
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
    first = outcome.unit.targets[0]
    name = f"{first} and those with it ended with {outcome.status}"
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


def record(count: int) -> None:
    """Write how long scenarios took, as the reports of `count` units say."""
    durations: dict[str, float] = {}
    for place in range(count):
        for case in read_cases(REPORTS / f"{place:03}"):
            seconds = round(float(case.get("time", 0.0)), 1)
            name = case.get("name", "").strip()
            if seconds >= RECORDED_FROM_S:
                durations[name] = max(seconds, durations.get(name, 0.0))
    text = json.dumps(durations, indent=1, sort_keys=True, ensure_ascii=False)
    DURATIONS.write_text(text + "\n")


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
        record(len(outcomes))
    bad = [o for o in outcomes if o.status or not o.is_whole]
    for outcome in bad:
        print(f"--- {' '.join(outcome.unit.targets)}\n{outcome.output}")
    count = sum(outcome.reported for outcome in outcomes)
    took_s = time.monotonic() - began
    print(f"{count} scenarios in {len(units)} processes, {took_s:.0f} s")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
