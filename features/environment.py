"""Hooks of behave that run before and after each scenario."""

import pathlib
import random
import re
import shutil
import tempfile
import time

from features.support import machineload

KEPT_FOLDER = pathlib.Path("build/failed")
NAME_LENGTH = 60
# Load of the machine during a failed scenario.
MACHINE_FILE = "machine.txt"
# The steps that failed and their messages.
REASON_FILE = "reason.txt"


def before_scenario(context, _):
    """Set up a fixed random seed and an empty folder for the scenario."""
    context.rng = random.Random(1)
    context.folder = pathlib.Path(tempfile.mkdtemp(prefix="colts-"))
    context.fleet = None
    context.load_before = machineload.measure()


def after_scenario(context, scenario):
    """Stop the scenario's fleet; keep its files only if it failed."""
    if context.fleet is not None:
        context.fleet.stop()
    if scenario.status.has_failed():
        load = machineload.describe(context.load_before, machineload.measure())
        print(f"machine: {load}")
        (context.folder / MACHINE_FILE).write_text(load + "\n")
        (context.folder / REASON_FILE).write_text(describe_failure(scenario))
        keep(context.folder, scenario.name)
    shutil.rmtree(context.folder, ignore_errors=True)


def describe_failure(scenario) -> str:
    """Return where a scenario failed, its failed steps and their messages."""
    failed = [step for step in scenario.all_steps if step.status.has_failed()]
    return "\n".join(
        [
            f"{scenario.location} {scenario.name}",
            *(f"{step.keyword} {step.name}" for step in failed),
            *(step.error_message or "" for step in failed),
            "",
        ]
    )


def keep(folder: pathlib.Path, name: str) -> None:
    """Copy the files of a scenario, such as its logs, to KEPT_FOLDER."""
    slug = re.sub(r"[^a-z0-9]+", "-", name.lower())[:NAME_LENGTH]
    target = KEPT_FOLDER / f"{slug}-{time.time_ns()}"
    shutil.copytree(folder, target, ignore_dangling_symlinks=True)
    print(f"files of the failed scenario are kept in {target}")
