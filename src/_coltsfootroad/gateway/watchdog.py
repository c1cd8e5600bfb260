"""Ends sends whose endpoint has stopped responding."""

import asyncio

import attrs

from _coltsfootroad.core import failoverdelay
from _coltsfootroad.gateway import engines
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import logs

LOG = logs.logger("request")
# Interval of the check whether another endpoint is available or the endpoint
# has restarted; callers of short prompts wait for 2 s in all.
RECHECK_INTERVAL_S = 0.2
# A send is ended this long after its endpoint is known to have restarted, if no
# event came since. The send may have reached either incarnation, so the later
# one gets this time to respond.
SILENCE_AFTER_RESTART_S = 0.2


@attrs.define(eq=False)
class Watchdog:
    """Ends a send whose endpoint has been silent for too long.

    The silence is checked again whenever the allowed time may have passed:
    events reset it, and prompts that the engine received since then extend it.
    """

    exchange: object
    choice: engines.Choice
    started_at: float = attrs.field(init=False)
    limit: failoverdelay.SilenceLimit = attrs.field(init=False)
    timeout: asyncio.Timeout | None = None
    timer: asyncio.TimerHandle | None = None

    @started_at.default
    def _now(self):
        return clocks.boot_time()

    @limit.default
    def _route_limit(self):
        return failoverdelay.SilenceLimit(self.exchange.route)

    def start(self, timeout: asyncio.Timeout) -> None:
        """Start the checks."""
        self.timeout = timeout
        self.check()

    def check(self) -> None:
        """End the send, or schedule the next check."""
        now = clocks.boot_time()
        loop = asyncio.get_running_loop()
        silent_s = now - max(
            self.started_at,
            self.exchange.reply.last_event_at,
            self.exchange.caller.read_at,
        )
        allowed_s = self.allowed_silence_s(now)
        left_s = allowed_s - silent_s
        if self.exchange.caller.is_flushing:
            # Nothing is read from the endpoint until the caller reads.
            self.timer = loop.call_later(RECHECK_INTERVAL_S, self.check)
        elif left_s > 0:
            self.timer = loop.call_later(
                min(left_s, RECHECK_INTERVAL_S), self.check
            )
        elif self.exchange.reserve_failover():
            self.log_failover(silent_s, allowed_s, now)
            self.timeout.reschedule(loop.time())
        else:
            self.timer = loop.call_later(RECHECK_INTERVAL_S, self.check)

    def allowed_silence_s(self, now: float) -> float:
        """Return for how long the endpoint may be silent.

        After a restart of the endpoint, only a short time is allowed unless
        an event came since, as an ended incarnation sends nothing.
        """
        restarted_at = self.restart_seen_at()
        last_activity_at = max(
            self.started_at, self.exchange.reply.last_event_at
        )
        if restarted_at >= last_activity_at:
            return max(
                0.0, restarted_at + SILENCE_AFTER_RESTART_S - last_activity_at
            )
        expected_s = 0.0
        if self.exchange.reply.last_event_at < self.started_at:
            expected_s = self.choice.predicted_s
        engine = self.exchange.service.engine
        if engine is not None:
            chooser = self.exchange.gateway.chooser
            prefill_left_s = chooser.prefill_left_s(
                self.choice.endpoint, engine, now
            )
            self.limit.observe_prefill(prefill_left_s, now)
            expected_s = max(expected_s, prefill_left_s)
        return self.limit.allowed_s(last_activity_at, expected_s)

    def restart_seen_at(self) -> float:
        """Return when a restart became known, negative infinity if none did."""
        endpoints = self.exchange.gateway.endpoints
        if not endpoints.has_restarted(self.choice.endpoint):
            return failoverdelay.NEVER
        return endpoints.known[self.choice.endpoint.name].restarted_at

    def log_failover(
        self, silent_s: float, allowed_s: float, now: float
    ) -> None:
        """Log that the send is ended, with the inputs of that decision."""
        prefill_done_at = self.limit.prefill_done_at
        LOG.info(
            "send fails over",
            request=self.exchange.request_id,
            endpoint=self.choice.endpoint.name,
            silent_s=round(silent_s, 3),
            allowed_s=round(allowed_s, 3),
            since_prefill_s=(
                None
                if prefill_done_at == failoverdelay.NEVER
                else round(now - prefill_done_at, 3)
            ),
            restarted=self.restart_seen_at() != failoverdelay.NEVER,
        )

    def stop(self) -> None:
        """Stop the checks."""
        if self.timer is not None:
            self.timer.cancel()
