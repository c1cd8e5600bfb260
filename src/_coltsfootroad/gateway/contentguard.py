"""Stops one request from running while it or a part of it is quarantined."""

import asyncio

import attrs

from _coltsfootroad.core import crashes
from _coltsfootroad.core import endpointset
from _coltsfootroad.core import fingerprints
from _coltsfootroad.core import promptparts
from _coltsfootroad.core import quarantine
from _coltsfootroad.gateway import crashdetector
from _coltsfootroad.gateway import responses
from _coltsfootroad.shell import logs

LOG = logs.logger("request")


@attrs.define(eq=False)
class ContentGuard:
    """Checks one exchange's request against the quarantine.

    Attributes:
        exchange: The exchange; its request must be admitted before use.
        cached_fingerprint: The request's fingerprint, None before first use.
        trials: Entries despite which the leader granted a trial run.
        stopped: Whether an entry stopped the current send.
        send_timeout: Ends the current send, None between sends.
    """

    exchange: object
    cached_fingerprint: fingerprints.Fingerprint | None = None
    trials: set[fingerprints.Fingerprint] = attrs.Factory(set)
    stopped: bool = False
    send_timeout: asyncio.Timeout | None = None

    @property
    def on_trial(self) -> bool:
        """Return whether the request runs as a trial."""
        return bool(self.trials)

    @property
    def size(self) -> tuple[str, int]:
        """Return workspace and body length, a cheap check before the digest."""
        exchange = self.exchange
        return exchange.admitted.workspace, len(exchange.request.body)

    def fingerprint(self) -> fingerprints.Fingerprint:
        """Return the request's fingerprint, computed on first use."""
        if self.cached_fingerprint is None:
            request = self.exchange.request
            self.cached_fingerprint = fingerprints.compute(
                request.start.method,
                request.headers.get("Host", ""),
                request.start.path,
                self.exchange.admitted.workspace,
                request.body,
            )
        return self.cached_fingerprint

    def header(self) -> str:
        """Return the parts of the prompt as the caller states them."""
        name = self.exchange.names.prompt_parts
        return self.exchange.request.headers.get(name, "")

    def parts(self) -> tuple[str, ...]:
        """Return the parts of the prompt that other requests share."""
        return promptparts.shared_parts(self.header())

    def entries(self) -> list[quarantine.Entry]:
        """Return the entries that block the request, none if it may run."""
        view = self.exchange.gateway.quarantine.view
        found = []
        if view.may_hold(*self.size):
            found.append(self.fingerprint())
        if view.may_hold_parts(self.exchange.admitted.workspace):
            found += fingerprints.of_parts(
                self.parts(), self.exchange.admitted.workspace
            )
        return [
            view.entries[fingerprint]
            for fingerprint in found
            if fingerprint in view.entries and fingerprint not in self.trials
        ]

    async def refuse(self) -> bool:
        """Refuse a request in quarantine unless a trial is granted."""
        entries = self.entries()
        if not entries:
            return False
        exchange = self.exchange
        local_quarantine = exchange.gateway.quarantine
        if not exchange.sends.count and await local_quarantine.start_trials(
            entries
        ):
            self.trials.update(entry.fingerprint for entry in entries)
            return False
        if exchange.reply.streaming:
            exchange.reply.abort_stream("the request is in quarantine")
        else:
            has_run = exchange.sends.runs > 0
            refusal = local_quarantine.refusal(entries, has_run)
            exchange.final_failure.refuse(refusal)
        return True

    def stop_if_quarantined(self) -> None:
        """Stop the current send if the request is now in quarantine."""
        if self.send_timeout is None or not self.entries():
            return
        self.stopped = True
        self.send_timeout.reschedule(asyncio.get_running_loop().time())

    def isolated_as(self) -> fingerprints.Fingerprint | None:
        """Return the fingerprint if the request must be isolated, else None."""
        reporter = self.exchange.gateway.crash_reporter
        if self.on_trial or not reporter.may_suspect(*self.size):
            return None
        fingerprint = self.fingerprint()
        is_isolated = reporter.isolation.is_isolated(fingerprint)
        return fingerprint if is_isolated else None

    def on_answered(self, status: int) -> None:
        """Handle a response, which shows that the endpoint survived."""
        gateway = self.exchange.gateway
        for fingerprint in self.trials:
            gateway.spawn(gateway.quarantine.release(fingerprint))
        if status < responses.REDIRECTION:
            # An endpoint that fails a request may not have read its prompt.
            gateway.crash_reporter.record_answer(
                self.exchange.admitted.workspace, self.header()
            )
        if gateway.crash_reporter.may_suspect(*self.size):
            gateway.crash_reporter.clear(self.fingerprint())

    def on_stopped(
        self,
        endpoint: endpointset.KnownEndpoint,
        sent_at: float,
        now: float,
    ) -> None:
        """Report a stopped send, as it may still crash the endpoint."""
        suspect = crashes.Suspect(
            fingerprint=self.fingerprint(),
            sent_at=sent_at,
            parts=self.parts(),
        )
        self.exchange.gateway.crash_reporter.report_stopped(
            crashes.Crash(
                endpoint=crashdetector.endpoint_key(endpoint),
                at=now,
                suspects=(suspect,),
            )
        )

    def on_lost(
        self,
        endpoint: endpointset.KnownEndpoint,
        sent_at: float,
        has_output: bool,
    ) -> None:
        """Handle a lost connection, possibly a crash of the endpoint."""
        suspect = crashes.Suspect(
            fingerprint=self.fingerprint(),
            sent_at=sent_at,
            has_output=has_output,
            parts=self.parts(),
        )
        LOG.info(
            "connection lost",
            request=self.exchange.request_id,
            endpoint=endpoint.name,
            workspace=self.exchange.admitted.workspace,
            fingerprint=suspect.fingerprint.text,
            body_bytes=suspect.fingerprint.body_bytes,
            parts=list(suspect.parts),
            has_output=has_output,
        )
        self.exchange.gateway.crash_detector.on_lost(endpoint, suspect)
