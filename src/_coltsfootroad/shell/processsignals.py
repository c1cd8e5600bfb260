"""Handles the signals of a process from before it serves until it is gone.

Handlers are installed once and replaced only by ignoring the signal: a handler
that is removed leaves the default action, which ends the process, to a signal
that comes before the next one is in place. Blocking signals meanwhile does not
help, as threads of libraries have signal masks of their own.
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
# A terminal and the program that runs in it may both pass on one Ctrl-C.
MIN_INTERRUPT_GAP_S = 0.5
WAKEUP_BYTES = 4_096
LOG_LINES = 10
LOG_WINDOW_S = 1.0


class ProcessSignals:
    """What the signals of this process ask for.

    Attributes:
        stopped_by: The signals that have asked for a stop.
        interrupted_at: When the first SIGINT came, None before it.
        actions: What to run when a signal comes, on the loop.
        pending: Signals whose actions wait for the loop; one that comes again
            meanwhile changes nothing, so that a storm cannot starve the loop.
        loop: The loop that runs actions, None before one runs.
        wakeup: A socket pair that ends the loop's wait when a signal comes.
        lines: Bounds what a storm of signals writes.
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
        """Handle all signals; before a loop runs a stop is remembered."""
        self.stop_signals = set()
        self.first_interrupt_at = None
        self.actions = {}
        self.pending = set()
        for number in HANDLED_SIGNALS:
            signal.signal(number, self.handle)

    def attach(self, loop: asyncio.AbstractEventLoop) -> None:
        """Run actions on a loop, even one that waits for nothing else."""
        reader, writer = socket.socketpair()
        reader.setblocking(False)
        writer.setblocking(False)
        signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
        loop.add_reader(reader, reader.recv, WAKEUP_BYTES)
        self.wakeup = (reader, writer)
        self.loop = loop

    def ignore(self) -> None:
        """Let no signal change the exit code of a process that ends."""
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
        """Run an action on the loop each time a signal comes."""
        self.actions[number] = action

    def set_stop_action(self, action: Callable[[], None]) -> None:
        """Run an action once a stop is asked for, at once if it was."""
        for number in STOP_SIGNALS:
            self.set_action(number, action)
        if self.stop_signals:
            action()

    def handle(self, number: int, _frame) -> None:
        """Handle a signal; runs between two instructions of the program."""
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
        """End the process at once if its user asks for that at a terminal.

        A process that SIGTERM stops drains to its end whatever else comes.
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
