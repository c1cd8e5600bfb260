"""A minimal program on `common.run_loop`, for tests that send it signals.

Usage: python -m features.support.signalchild MODE [SIGNAL]
"""

import asyncio
import os
import signal
import sys
import threading
import time

from _coltsfootroad.commands import common
from features.support import signalmodes

DRAIN_S = 1.5


def send_at_each_change(number: int) -> None:
    """Send a signal to this process after each change of its handler."""
    original = signal.signal

    def change_and_send(changed_number, handler):
        before = original(changed_number, handler)
        if changed_number == number:
            os.kill(os.getpid(), number)
        return before

    signal.signal = change_and_send


def start_thread() -> None:
    """Start a thread that blocks no signals, as threads of libraries do."""
    threading.Thread(target=time.sleep, args=(DRAIN_S,), daemon=True).start()


async def serve(mode: str) -> int:
    """Run until stopped, then drain."""
    if mode == signalmodes.STOPPED_WHILE_STARTING:
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(0.05)
    print(signalmodes.RUNS, flush=True)
    await common.wait_for_stop([], lambda: signalmodes.DUMP.encode())
    print(signalmodes.DRAINS, flush=True)
    await asyncio.sleep(DRAIN_S if mode == signalmodes.DRAINING else 0.0)
    print(signalmodes.DRAINED, flush=True)
    return common.EXIT_OK


def main() -> int:
    """Run in the mode that the command line names."""
    mode = sys.argv[1]
    start_thread()
    if mode == signalmodes.AT_EACH_CHANGE:
        send_at_each_change(signal.Signals[sys.argv[2]])
    return common.run_loop(lambda: serve(mode))


if __name__ == "__main__":
    sys.exit(main())
