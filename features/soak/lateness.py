"""Measures how late the soak's own process is, which endpoints and proxies share.

A request that is cut off may be the product's fault or the soak's; what is
measured here tells them apart.
"""

import asyncio
import time

import attrs

LOOK_EVERY_S = 0.02
# Shorter delays cut nothing off.
NOTED_S = 0.1


@attrs.frozen(kw_only=True)
class Delay:
    """Something that the soak did later than it was due, in seconds."""

    what: str
    due: float
    late_s: float


@attrs.define
class Lateness:
    """Delays of the soak's loop and of its endpoints, in order of time."""

    delays: list[Delay] = attrs.Factory(list)

    def note(self, what: str, due: float) -> None:
        """Note what is done now, if it is late."""
        late_s = time.monotonic() - due
        if late_s >= NOTED_S:
            self.delays.append(Delay(what=what, due=due, late_s=late_s))

    async def watch_loop(self) -> None:
        """Note when the loop runs its timers late, until cancelled."""
        while True:
            due = time.monotonic() + LOOK_EVERY_S
            await asyncio.sleep(LOOK_EVERY_S)
            self.note("loop", due)

    def words(self, begin: float, end: float, request: str) -> str:
        """Return what was late in a span of time, and for a request."""
        met = [
            d for d in self.delays if d.due <= end and begin <= d.due + d.late_s
        ]
        loop = max((d.late_s for d in met if d.what == "loop"), default=0.0)
        own = max((d.late_s for d in met if d.what == request), default=0.0)
        return (
            f"the soak's loop was up to {loop:.2f} s late meanwhile, its"
            f" endpoints {own:.2f} s with this request"
        )
