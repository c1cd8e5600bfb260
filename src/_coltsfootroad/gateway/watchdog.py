"""Ends sends whose endpoint has fallen silent."""

import asyncio

import attrs

from _coltsfootroad.core import patience
from _coltsfootroad.gateway import engines
from _coltsfootroad.shell import clocks

# How soon to look again whether another endpoint could take over, or whether
# the endpoint has ended; callers of short prompts bear 2 s in all.
RECHECK_INTERVAL_S = 0.2
# A send is given up this long after a later start of its endpoint was heard of,
# if nothing came since: it may have met that start, or the one that has ended.
SILENCE_AFTER_RESTART_S = 0.2
NEVER = float("-inf")


@attrs.define(eq=False)
class Watchdog:
    """Ends a send whose endpoint has been silent for too long.

    Looks again whenever the time may be over, as events reset it and as
    prompts that the engine has been sent meanwhile explain a pause.
    """

    exchange: object
    choice: engines.Choice
    started_at: float = attrs.field(init=False)
    timeout: asyncio.Timeout | None = None
    timer: asyncio.TimerHandle | None = None

    @started_at.default
    def _now(self):
        return clocks.boot_time()

    def start(self, timeout: asyncio.Timeout) -> None:
        """Begin to watch."""
        self.timeout = timeout
        self.check()

    def check(self) -> None:
        """End the send, or look again when its time may be over."""
        now = clocks.boot_time()
        loop = asyncio.get_running_loop()
        silent_s = now - max(self.started_at, self.exchange.reply.last_event_at)
        left_s = self.allowed_silence_s(now) - silent_s
        if left_s > 0:
            self.timer = loop.call_later(
                min(left_s, RECHECK_INTERVAL_S), self.check
            )
        elif self.exchange.reserve_switch():
            self.timeout.reschedule(loop.time())
        else:
            self.timer = loop.call_later(RECHECK_INTERVAL_S, self.check)

    def allowed_silence_s(self, now: float) -> float:
        """Return how much silence has a reason that is known.

        None has once the endpoint has started again, unless something came
        since: a start that has ended sends nothing.
        """
        restarted_at = self.restart_seen_at()
        last_sign = max(self.started_at, self.exchange.reply.last_event_at)
        if restarted_at >= last_sign:
            return max(0.0, restarted_at + SILENCE_AFTER_RESTART_S - last_sign)
        expected_s = 0.0
        if self.exchange.reply.last_event_at < self.started_at:
            expected_s = self.choice.predicted_s
        engine = self.exchange.service.engine
        if engine is not None:
            chooser = self.exchange.gateway.chooser
            remaining_prefill_s = chooser.remaining_prefill_s(
                self.choice.endpoint, engine, now
            )
            expected_s = max(expected_s, remaining_prefill_s)
        return patience.switch_after_s(self.exchange.route, expected_s)

    def restart_seen_at(self) -> float:
        """Return when a later start of the endpoint was heard of."""
        endpoints = self.exchange.gateway.endpoints
        if not endpoints.has_restarted(self.choice.endpoint):
            return NEVER
        return endpoints.known[self.choice.endpoint.name].restarted_at

    def stop(self) -> None:
        """Watch no longer."""
        if self.timer is not None:
            self.timer.cancel()
