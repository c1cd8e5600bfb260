"""Runs directed histories and fuzzing against injected defects."""

import concurrent.futures
import os

import attrs

from _coltsfootroad.core import errors
from features.support import controlmachine
from features.support import histories
from features.support import mutants
from features.support import requestmachine

MACHINES = {
    "request": (
        requestmachine.RequestMachine,
        histories.REQUEST,
        mutants.REQUEST,
    ),
    "control": (
        controlmachine.ControlMachine,
        histories.CONTROL,
        mutants.CONTROL,
    ),
}
EXAMPLES = 120
STEPS = 50
WORKERS = max(1, min(6, (os.cpu_count() or 2) - 1))


@attrs.frozen
class DefectResult:
    """Whether and how a defect was caught.

    `caught_by` is the name of the history, or the number of fuzzing examples.
    """

    label: str
    caught: bool
    caught_by: str


def check_defect(kind: str, label: str) -> DefectResult:
    """Inject one defect and run the histories and fuzzing to catch it."""
    machine, directed, table = MACHINES[kind]
    with mutants.injected(table, label):
        for name in directed:
            if violates_invariant(histories.run_one, machine, directed, name):
                return DefectResult(label, True, name)
        examples = []

        class CountingMachine(machine):

            def __init__(self):
                super().__init__()
                examples.append(1)

        if violates_invariant(
            requestmachine.run, CountingMachine, EXAMPLES, STEPS
        ):
            return DefectResult(
                label, True, f"fuzzing, example {len(examples)}"
            )
    return DefectResult(label, False, "")


def violates_invariant(call, *arguments) -> bool:
    """Return whether a call violates an oracle or an invariant.

    Any other error is a fault in the defect or the machine. It propagates, so
    that it does not count as caught.
    """
    try:
        call(*arguments)
    except (AssertionError, errors.BrokenInvariantError):
        return True
    return False


def check_all_defects(kind: str) -> list[DefectResult]:
    """Check all defects of a kind in WORKERS processes."""
    labels = list(MACHINES[kind][2])
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        return list(pool.map(check_defect, [kind] * len(labels), labels))
