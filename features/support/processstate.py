"""Tells when a program that was started has come to run.

Loading its libraries takes 0.3 s on one machine and over 3 s on another, so
tests wait for what the system shows of the process, not for a time.
"""

import pathlib
import signal
import time

# Longest that a program may take to load its libraries, on a slow machine.
MAX_START_S = 30.0
POLL_INTERVAL_S = 0.002
# Fields of a process's status, each a mask of signals.
DEFAULT_ACTION = "with the default action"
DISPOSITIONS = {
    "SigBlk": "blocked",
    "SigIgn": "ignored",
    "SigCgt": "handled",
}


def signal_masks(pid: int) -> dict[str, int]:
    """Return the signal masks that the system shows of a process."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    lines = dict(line.split(":\t", 1) for line in status.splitlines())
    return {
        name: int(lines[name], 16) for name in DISPOSITIONS if name in lines
    }


def handles(pid: int, number: signal.Signals) -> bool:
    """Return whether a process handles a signal, which programs do late."""
    return bool(signal_masks(pid).get("SigCgt", 0) & mask_bit(number))


def handles_immediately(pid: int, number: signal.Signals) -> bool:
    """Return whether a process runs its handler as soon as a signal comes."""
    masks = signal_masks(pid)
    is_blocked = masks.get("SigBlk", 0) & mask_bit(number)
    return handles(pid, number) and not is_blocked


def survives(pid: int, number: signal.Signals) -> bool:
    """Return whether a signal would not end a process by accident."""
    return disposition(pid, number) != DEFAULT_ACTION


def disposition(pid: int, number: signal.Signals) -> str:
    """Return what a signal would do to a process now."""
    masks = signal_masks(pid)
    words = [
        DISPOSITIONS[name]
        for name, mask in masks.items()
        if mask & mask_bit(number)
    ]
    return f"{number.name} {' and '.join(words)}" if words else DEFAULT_ACTION


def has_loaded(pid: int) -> bool:
    """Return whether a program has loaded its libraries.

    Until then it ignores requests for a dump.
    """
    return handles(pid, signal.SIGUSR1)


def mask_bit(number: signal.Signals) -> int:
    """Return the bit of a signal in a mask."""
    return 1 << (number - 1)


def wait_until(check, what: str) -> None:
    """Wait until a check holds; raises AssertionError if it never does."""
    end = time.monotonic() + MAX_START_S
    while time.monotonic() < end:
        if check():
            return
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"waited in vain: {what}")
