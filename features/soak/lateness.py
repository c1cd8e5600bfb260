"""Measures delays of the soak's own event loop.

The soak's endpoints and proxies run on this loop. A truncated response may be
caused by the product or by a late soak process; the delays tell them apart.
"""

import asyncio
import time

import attrs

LOOP_CHECK_INTERVAL_S = 0.02
# Shorter delays do not truncate responses.
MIN_RECORDED_DELAY_S = 0.1


@attrs.frozen(kw_only=True)
class Delay:
    """An action of the soak that ran late, on the monotonic clock."""

    source: str
    due_at: float
    late_s: float


@attrs.define
class DelayLog:
    """Delays of the soak's event loop and of its endpoints, oldest first."""

    delays: list[Delay] = attrs.Factory(list)

    def record_if_late(self, source: str, due_at: float) -> None:
        """Record a delay if an action that runs now is late."""
        late_s = time.monotonic() - due_at
        if late_s >= MIN_RECORDED_DELAY_S:
            self.delays.append(
                Delay(source=source, due_at=due_at, late_s=late_s)
            )

    async def monitor_loop(self) -> None:
        """Record late timers of the event loop until cancelled."""
        while True:
            due_at = time.monotonic() + LOOP_CHECK_INTERVAL_S
            await asyncio.sleep(LOOP_CHECK_INTERVAL_S)
            self.record_if_late("loop", due_at)

    def describe(self, begin: float, end: float, request: str) -> str:
        """Describe the delays during a time span and those of a request."""
        overlapping = [
            d
            for d in self.delays
            if d.due_at <= end and begin <= d.due_at + d.late_s
        ]
        loop = max(
            (d.late_s for d in overlapping if d.source == "loop"), default=0.0
        )
        own = max(
            (d.late_s for d in overlapping if d.source == request), default=0.0
        )
        return (
            f"the soak's event loop was up to {loop:.2f} s late meanwhile, its"
            f" endpoints {own:.2f} s for this request"
        )
