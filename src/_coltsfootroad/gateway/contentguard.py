"""Keeps one request from endpoints while its content is in quarantine."""

import asyncio

import attrs

from _coltsfootroad.core import crashes
from _coltsfootroad.core import endpointset
from _coltsfootroad.core import fingerprints
from _coltsfootroad.core import quarantine
from _coltsfootroad.gateway import crashdetector
from _coltsfootroad.shell import logs

LOG = logs.logger("request")


@attrs.define(eq=False)
class ContentGuard:
    """What one exchange knows of its request's content.

    Attributes:
        exchange: The exchange, once its request is admitted.
        known: The fingerprint, computed when it is needed first.
        on_trial: Whether the leader lets it run in spite of an entry.
        stopped: Whether the present send was stopped by an entry.
        send_timeout: Ends the present send, None between sends.
    """

    exchange: object
    known: fingerprints.Fingerprint | None = None
    on_trial: bool = False
    stopped: bool = False
    send_timeout: asyncio.Timeout | None = None

    @property
    def size(self) -> tuple[str, int]:
        """Return what tells requests apart without a digest."""
        exchange = self.exchange
        return exchange.admitted.workspace, len(exchange.request.body)

    def fingerprint(self) -> fingerprints.Fingerprint:
        """Return the fingerprint of the request, computed once."""
        if self.known is None:
            request = self.exchange.request
            self.known = fingerprints.compute(
                request.start.method,
                request.headers.get("Host", ""),
                request.start.path,
                self.exchange.admitted.workspace,
                request.body,
            )
        return self.known

    def entry(self) -> quarantine.Entry | None:
        """Return the entry that forbids the request, None if it may run."""
        view = self.exchange.gateway.quarantine.view
        if self.on_trial or not view.may_hold(*self.size):
            return None
        return view.entries.get(self.fingerprint())

    async def refuse(self) -> bool:
        """Refuse a request in quarantine unless it is granted a trial."""
        entry = self.entry()
        if entry is None:
            return False
        exchange = self.exchange
        keeper = exchange.gateway.quarantine
        if not exchange.sends.count and await keeper.start_trial(entry):
            self.on_trial = True
            return False
        if exchange.reply.streaming:
            exchange.reply.break_off("the request is in quarantine")
        else:
            has_run = exchange.sends.runs > 0
            exchange.refuse(keeper.refusal(entry, has_run))
        return True

    def stop_if_quarantined(self) -> None:
        """End the present send if the request must not run any longer."""
        if self.send_timeout is None or self.entry() is None:
            return
        self.stopped = True
        self.send_timeout.reschedule(asyncio.get_running_loop().time())

    def isolated_as(self) -> fingerprints.Fingerprint | None:
        """Return the fingerprint if other suspects are to be kept away."""
        reporter = self.exchange.gateway.crash_reporter
        if self.on_trial or not reporter.may_suspect(*self.size):
            return None
        fingerprint = self.fingerprint()
        is_isolated = reporter.isolation.is_isolated(fingerprint)
        return fingerprint if is_isolated else None

    def note_answered(self) -> None:
        """Note that an endpoint has run the request and lives."""
        gateway = self.exchange.gateway
        if self.on_trial:
            gateway.spawn(gateway.quarantine.release(self.fingerprint()))
        if gateway.crash_reporter.may_suspect(*self.size):
            gateway.crash_reporter.clear(self.fingerprint())

    def note_stopped(
        self,
        endpoint: endpointset.KnownEndpoint,
        sent_at: float,
        now: float,
    ) -> None:
        """Note that the endpoint may yet crash under the stopped send."""
        suspect = crashes.Suspect(
            fingerprint=self.fingerprint(), sent_at=sent_at
        )
        self.exchange.gateway.crash_reporter.report_stopped(
            crashes.Crash(
                endpoint=crashdetector.key_of(endpoint),
                at=now,
                suspects=(suspect,),
            )
        )

    def note_lost(
        self,
        endpoint: endpointset.KnownEndpoint,
        sent_at: float,
        has_output: bool,
    ) -> None:
        """Note that an endpoint may have crashed under the request."""
        suspect = crashes.Suspect(
            fingerprint=self.fingerprint(),
            sent_at=sent_at,
            has_output=has_output,
        )
        LOG.info(
            "connection lost",
            request=self.exchange.request_id,
            endpoint=endpoint.name,
            workspace=self.exchange.admitted.workspace,
            fingerprint=suspect.fingerprint.text,
            body_bytes=suspect.fingerprint.body_bytes,
            has_output=has_output,
        )
        self.exchange.gateway.crash_detector.on_lost(endpoint, suspect)
