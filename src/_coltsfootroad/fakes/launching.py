"""Starts programs so that signals sent during their start are not lost.

A signal that arrives before a program has installed its handlers ends it by the
default action, which the program cannot prevent. Signals that are blocked when
the program starts stay pending until it unblocks them.
"""

from collections.abc import Iterator
import contextlib
import signal
import subprocess

from _coltsfootroad.shell import startsignals


@contextlib.contextmanager
def blocked_signals() -> Iterator[None]:
    """Block the signals that programs handle, in this thread."""
    previous_mask = signal.pthread_sigmask(
        signal.SIG_BLOCK, startsignals.HANDLED_SIGNALS
    )
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, previous_mask)


def start(command: list[str], **options) -> subprocess.Popen:
    """Start a program; its signals stay pending until it handles them.

    `options` are those of `subprocess.Popen`, whose errors are raised.
    """
    with blocked_signals():
        return subprocess.Popen(command, **options)
