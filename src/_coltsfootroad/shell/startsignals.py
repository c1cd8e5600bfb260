"""Handles signals while a program loads its libraries.

Needs nothing but the standard library, as it comes before all others.
"""

from collections.abc import Sequence
import os
import signal

from _coltsfootroad.shell import early

STDERR = 2
STOPPED = b"stopped by SIGTERM before it served\n"


def install(arguments: Sequence[str]) -> None:
    """Let no signal end a program by its default action.

    There is no state to dump yet and no settings to read again. Programs that
    serve are given settings; others end by SIGTERM as any command does.
    """
    for number in (signal.SIGHUP, signal.SIGUSR1):
        signal.signal(number, signal.SIG_IGN)
    if early.has_settings(arguments):
        signal.signal(signal.SIGTERM, end)


def end(_number, _frame) -> None:
    """End a process that has read nothing from anybody, at once and well."""
    os.write(STDERR, STOPPED)
    os._exit(0)
