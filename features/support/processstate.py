"""Reads from /proc how far a started program is, and waits for it.

Importing the libraries takes 0.3 s on one machine and over 3 s on another, so
tests wait for the state of the process instead of a fixed time.
"""

import pathlib
import signal
import time

# Maximum time in which a slow machine imports a program's libraries.
MAX_START_S = 30.0
POLL_INTERVAL_S = 0.002
DEFAULT_ACTION = "with the default action"
# Fields of /proc/<pid>/status, each a mask of signals.
DISPOSITIONS = {
    "SigBlk": "blocked",
    "SigIgn": "ignored",
    "SigCgt": "handled",
}


def signal_masks(pid: int) -> dict[str, int]:
    """Return the signal masks of a process from /proc."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    lines = dict(line.split(":\t", 1) for line in status.splitlines())
    return {
        name: int(lines[name], 16) for name in DISPOSITIONS if name in lines
    }


def handles(pid: int, number: signal.Signals) -> bool:
    """Return whether a process has a handler for a signal."""
    return bool(signal_masks(pid).get("SigCgt", 0) & mask_bit(number))


def handles_immediately(pid: int, number: signal.Signals) -> bool:
    """Return whether a process handles a signal as soon as it arrives."""
    masks = signal_masks(pid)
    is_blocked = masks.get("SigBlk", 0) & mask_bit(number)
    return handles(pid, number) and not is_blocked


def survives(pid: int, number: signal.Signals) -> bool:
    """Return whether a signal would not run its default action."""
    return disposition(pid, number) != DEFAULT_ACTION


def disposition(pid: int, number: signal.Signals) -> str:
    """Describe what a process does on a signal now."""
    masks = signal_masks(pid)
    words = [
        DISPOSITIONS[name]
        for name, mask in masks.items()
        if mask & mask_bit(number)
    ]
    return f"{number.name} {' and '.join(words)}" if words else DEFAULT_ACTION


def has_loaded(pid: int) -> bool:
    """Return whether a program has imported its libraries.

    Until then it ignores SIGUSR1, which requests a state dump.
    """
    return handles(pid, signal.SIGUSR1)


def mask_bit(number: signal.Signals) -> int:
    """Return the bit of a signal in a mask."""
    return 1 << (number - 1)


def wait_until(check, failure: str) -> None:
    """Wait until a check holds; raises AssertionError after a time-out."""
    end = time.monotonic() + MAX_START_S
    while time.monotonic() < end:
        if check():
            return
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"timed out: {failure}")
