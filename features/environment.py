"""Hooks of behave: what every scenario begins and ends with."""

import pathlib
import random
import shutil
import tempfile


def before_scenario(context, _):
    """Give the scenario a fixed seed and an empty folder."""
    context.rng = random.Random(1)
    context.folder = pathlib.Path(tempfile.mkdtemp(prefix="colts-"))
    context.fleet = None


def after_scenario(context, _):
    """Stop what the scenario started and remove its files."""
    if context.fleet is not None:
        context.fleet.stop()
    shutil.rmtree(context.folder, ignore_errors=True)
