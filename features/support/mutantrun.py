"""Runs a machine's histories and fuzzing against one planted defect."""

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
class Verdict:
    """Whether and how a defect was caught.

    `by` names the history, or says after how many fuzzed examples.
    """

    label: str
    caught: bool
    by: str


def judge(kind: str, label: str) -> Verdict:
    """Plant one defect and look for it."""
    machine, known, table = MACHINES[kind]
    with mutants.planted(table, label):
        for name in known:
            if fails(histories.run_one, machine, known, name):
                return Verdict(label, True, name)
        examples = []

        class Counted(machine):

            def __init__(self):
                super().__init__()
                examples.append(1)

        if fails(requestmachine.run, Counted, EXAMPLES, STEPS):
            return Verdict(label, True, f"fuzzing, example {len(examples)}")
    return Verdict(label, False, "")


def fails(call, *arguments) -> bool:
    """Return whether an oracle or an invariant rejects a call.

    Any other error is a fault of the defect or of the machine itself and is
    let through: it must not count as caught.
    """
    try:
        call(*arguments)
    except (AssertionError, errors.BrokenInvariantError):
        return True
    return False


def judge_all(kind: str) -> list[Verdict]:
    """Judge all defects of a kind, a few processes at a time."""
    labels = list(MACHINES[kind][2])
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        return list(pool.map(judge, [kind] * len(labels), labels))
