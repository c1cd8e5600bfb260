"""Handles the signals of a process from before it serves until it exits.

Handlers are installed once and replaced only by ignoring the signal. Removing a
handler restores the default action, which ends the process if a signal arrives
before the next handler is installed. Blocking signals in the meantime does not
help, as threads of libraries have their own signal masks.
"""

import asyncio
from collections.abc import Callable
import signal
import socket

from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import logs

LOG = logs.logger("signals")
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*STOP_SIGNALS, signal.SIGUSR1, signal.SIGHUP)
# One Ctrl-C may arrive twice: from the terminal and from a parent process.
MIN_INTERRUPT_GAP_S = 0.5
WAKEUP_BYTES = 4_096
LOG_LINES = 10
LOG_WINDOW_S = 1.0


class ProcessSignals:
    """Handlers and state of the signals of this process.

    Attributes:
        stop_signals: The stop signals that have arrived.
        first_interrupt_at: When the first SIGINT arrived, None before it.
        actions: Functions to run on the loop when a signal arrives.
        pending: Signals whose actions are scheduled on the loop; they are not
            scheduled again, so that a signal storm cannot starve the loop.
        loop: The loop that runs actions, None before one runs.
        wakeup: A socket pair that wakes the loop when a signal arrives.
        log_limit: Limits the log lines of a signal storm.
    """

    def __init__(self):
        self.stop_signals: set[signal.Signals] = set()
        self.first_interrupt_at: float | None = None
        self.actions: dict[signal.Signals, Callable[[], None]] = {}
        self.pending: set[signal.Signals] = set()
        self.loop: asyncio.AbstractEventLoop | None = None
        self.wakeup: tuple[socket.socket, socket.socket] | None = None
        self.log_limit = logs.LogRateLimit(LOG_LINES, LOG_WINDOW_S)

    def install(self) -> None:
        """Install all handlers; a stop before a loop runs is recorded."""
        self.stop_signals = set()
        self.first_interrupt_at = None
        self.actions = {}
        self.pending = set()
        for number in HANDLED_SIGNALS:
            signal.signal(number, self.handle)

    def attach(self, loop: asyncio.AbstractEventLoop) -> None:
        """Run actions on a loop; signals wake the loop if it is idle."""
        reader, writer = socket.socketpair()
        reader.setblocking(False)
        writer.setblocking(False)
        signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
        loop.add_reader(reader, reader.recv, WAKEUP_BYTES)
        self.wakeup = (reader, writer)
        self.loop = loop

    def ignore(self) -> None:
        """Keep signals from replacing the exit code of an ending process."""
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        self.loop = None
        if self.wakeup is not None:
            signal.set_wakeup_fd(-1)
            for side in self.wakeup:
                side.close()
            self.wakeup = None

    def set_action(
        self, number: signal.Signals, action: Callable[[], None]
    ) -> None:
        """Set the action that runs on the loop when a signal arrives."""
        self.actions[number] = action

    def set_stop_action(self, action: Callable[[], None]) -> None:
        """Set the action of stop signals; run it if one has arrived."""
        for number in STOP_SIGNALS:
            self.set_action(number, action)
        if self.stop_signals:
            action()

    def handle(self, number: int, _frame) -> None:
        """Handle a signal; runs between two bytecode instructions."""
        received = signal.Signals(number)
        if received is signal.SIGINT:
            self.on_interrupt()
        if received in STOP_SIGNALS:
            self.stop_signals.add(received)
        elif received is signal.SIGHUP and self.stop_signals:
            return
        loop = self.loop
        if loop is None or loop.is_closed():
            return
        if received not in self.pending:
            self.pending.add(received)
            loop.call_soon_threadsafe(self.run_action, received)

    def on_interrupt(self) -> None:
        """End the process at once on a second Ctrl-C at a terminal.

        After SIGTERM, the process drains to its end whatever signals follow.
        """
        now = clocks.boot_time()
        if self.first_interrupt_at is None:
            self.first_interrupt_at = now
        elif signal.SIGTERM in self.stop_signals:
            return
        elif now - self.first_interrupt_at >= MIN_INTERRUPT_GAP_S:
            signal.signal(signal.SIGINT, signal.SIG_DFL)
            signal.raise_signal(signal.SIGINT)

    def run_action(self, received: signal.Signals) -> None:
        """Run the action of a signal."""
        self.pending.discard(received)
        action = self.actions.get(received)
        if self.log_limit.allows(clocks.boot_time()):
            LOG.info("signal", name=received.name, acts=action is not None)
        if action is not None:
            action()


PROCESS = ProcessSignals()
