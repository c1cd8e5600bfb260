"""Hooks of behave: what every scenario begins and ends with."""

import pathlib
import random
import re
import shutil
import tempfile
import time

from features.support import machineload

KEPT = pathlib.Path("build/failed")
NAME_LENGTH = 60
# What the machine did while a scenario failed.
MACHINE = "machine.txt"


def before_scenario(context, _):
    """Give the scenario a fixed seed and an empty folder."""
    context.rng = random.Random(1)
    context.folder = pathlib.Path(tempfile.mkdtemp(prefix="colts-"))
    context.fleet = None
    context.load_before = machineload.read()


def after_scenario(context, scenario):
    """Stop what the scenario started; keep its files only if it failed."""
    if context.fleet is not None:
        context.fleet.stop()
    if scenario.status.has_failed():
        found = machineload.words(context.load_before, machineload.read())
        print(f"machine: {found}")
        (context.folder / MACHINE).write_text(found + "\n")
        keep(context.folder, scenario.name)
    shutil.rmtree(context.folder, ignore_errors=True)


def keep(folder: pathlib.Path, name: str) -> None:
    """Keep the files of a scenario, logs above all."""
    words = re.sub(r"[^a-z0-9]+", "-", name.lower())[:NAME_LENGTH]
    kept = KEPT / f"{words}-{time.time_ns()}"
    shutil.copytree(folder, kept, ignore_dangling_symlinks=True)
    print(f"files of the failed scenario are kept in {kept}")
