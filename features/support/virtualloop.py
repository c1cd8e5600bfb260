"""An asyncio event loop in virtual time: waiting advances the clock at once."""

import asyncio
import contextlib
import selectors
from unittest import mock

from _coltsfootroad.shell import clocks

START_S = 1_000.0


class VirtualSelector(selectors.BaseSelector):
    """Selector that advances the clock instead of waiting."""

    def __init__(self):
        self.now = START_S

    def register(self, fileobj, events, data=None):
        """Accept the loop's own file; it is never ready."""
        return selectors.SelectorKey(fileobj, 0, events, data)

    def unregister(self, fileobj):
        """Return the key of a file; nothing is stored."""
        return selectors.SelectorKey(fileobj, 0, 0, None)

    def select(self, timeout=None):
        """Advance the clock by `timeout`; no file is ready."""
        if timeout is None:
            raise RuntimeError("deadlock: no task has a timer")
        self.now += max(0.0, timeout)
        return []

    def get_map(self):
        """Return an empty map."""
        return {}


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that runs in virtual time."""

    def __init__(self):
        self.virtual_selector = VirtualSelector()
        super().__init__(self.virtual_selector)

    def time(self):
        """Return the virtual time."""
        return self.virtual_selector.now


@contextlib.contextmanager
def virtual_time():
    """Yield a loop whose time also replaces the runtime's clocks."""
    loop = VirtualLoop()
    with (
        mock.patch.object(clocks, "boot_time", loop.time),
        mock.patch.object(clocks, "unix_time", loop.time),
    ):
        try:
            yield loop
        finally:
            for task in asyncio.all_tasks(loop):
                task.cancel()
            loop.run_until_complete(asyncio.sleep(0))
            loop.close()
