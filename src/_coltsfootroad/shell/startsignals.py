"""Handles signals while a program loads its libraries.

Imports nothing but built-in modules: a signal that arrives before the handlers
are installed ends the process by its default action. The public `signal` module
imports `enum`, which takes longer than everything here.
"""

import _signal
from posix import _exit
from posix import write

from _coltsfootroad.shell import commandline

STDERR_FD = 2
STOP_SIGNALS = {_signal.SIGTERM: b"SIGTERM", _signal.SIGINT: b"SIGINT"}
IGNORED_SIGNALS = (_signal.SIGHUP, _signal.SIGUSR1)
HANDLED_SIGNALS = (*STOP_SIGNALS, *IGNORED_SIGNALS)
STOPPED_MESSAGE = b"stopped by %s before it served\n"


def install(arguments: list[str]) -> None:
    """Let no signal end a serving program by its default action.

    There is no state to dump yet and no settings to read again. Other programs
    end by a signal as any command does.

    A supervisor may block signals while it starts a program, so that they stay
    pending until they are handled; they are unblocked here.
    """
    if commandline.is_server(arguments):
        for number in IGNORED_SIGNALS:
            _signal.signal(number, _signal.SIG_IGN)
        for number in STOP_SIGNALS:
            _signal.signal(number, exit_at_once)
    _signal.pthread_sigmask(_signal.SIG_UNBLOCK, HANDLED_SIGNALS)


def ignore() -> None:
    """Let no signal replace the exit code of a process that ends.

    The interpreter restores the default action of handled signals, and not of
    ignored ones, when it finalizes.
    """
    for number in HANDLED_SIGNALS:
        _signal.signal(number, _signal.SIG_IGN)


def exit_at_once(number, _frame) -> None:
    """End a process that has not accepted any request, with exit code 0."""
    write(STDERR_FD, STOPPED_MESSAGE % STOP_SIGNALS[number])
    _exit(0)
