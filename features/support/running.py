"""Tells when a program that was started has come to run.

Loading its libraries takes 0.3 s on one machine and over 3 s on another, so
tests wait for what the system shows of the process, not for a time.
"""

import pathlib
import signal
import time

# Longest that a program may take to load its libraries, on a slow machine.
START_S = 30.0
LOOK_EVERY_S = 0.002


def masks(pid: int) -> dict[str, int]:
    """Return the signal masks that the system shows of a process."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    lines = dict(line.split(":\t", 1) for line in status.splitlines())
    return {
        name: int(lines[name], 16)
        for name in ("SigIgn", "SigCgt")
        if name in lines
    }


def handles(pid: int, number: signal.Signals) -> bool:
    """Return whether a process handles a signal, which programs do late."""
    return bool(masks(pid).get("SigCgt", 0) & bit(number))


def bears(pid: int, number: signal.Signals) -> bool:
    """Return whether a signal would not end a process by accident."""
    found = masks(pid)
    return any(mask & bit(number) for mask in found.values())


def has_loaded(pid: int) -> bool:
    """Return whether a program has loaded its libraries.

    Until then it ignores requests for a dump.
    """
    return handles(pid, signal.SIGUSR1)


def bit(number: signal.Signals) -> int:
    """Return the bit of a signal in a mask."""
    return 1 << (number - 1)


def wait_until(check, what: str) -> None:
    """Wait until a check holds; raises AssertionError if it never does."""
    end = time.monotonic() + START_S
    while time.monotonic() < end:
        if check():
            return
        time.sleep(LOOK_EVERY_S)
    raise AssertionError(f"waited in vain: {what}")
