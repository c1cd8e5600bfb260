"""Handles signals while a program imports its libraries.

Imports built-in modules only: a signal that arrives before the handlers are
installed ends the process by its default action. The public `signal` module
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
    """Keep signals from ending a server program by their default action.

    SIGHUP and SIGUSR1 are ignored, as there are no settings to reload and no
    state to dump yet. Other programs keep the default actions, so that a signal
    ends them as it ends any command.

    A supervisor may block signals while it starts a program, so that they stay
    pending until handlers are installed; they are unblocked here.
    """
    if commandline.is_server(arguments):
        for number in IGNORED_SIGNALS:
            _signal.signal(number, _signal.SIG_IGN)
        for number in STOP_SIGNALS:
            _signal.signal(number, exit_at_once)
    _signal.pthread_sigmask(_signal.SIG_UNBLOCK, HANDLED_SIGNALS)


def ignore() -> None:
    """Keep signals from replacing the exit code of an ending process.

    When the interpreter finalizes, it restores the default action of handled
    signals, but not of ignored ones.
    """
    for number in HANDLED_SIGNALS:
        _signal.signal(number, _signal.SIG_IGN)


def exit_at_once(number, _frame) -> None:
    """Exit with code 0, as the process has not accepted any request."""
    write(STDERR_FD, STOPPED_MESSAGE % STOP_SIGNALS[number])
    _exit(0)
