"""Reports endpoint crashes to the leader until it acknowledges them."""

import asyncio
import collections

import attrs

from _coltsfootroad.control import crashreports
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import watching
from _coltsfootroad.core import crashes
from _coltsfootroad.core import crashrecord
from _coltsfootroad.core import fingerprints
from _coltsfootroad.core import isolation as isolation_lib
from _coltsfootroad.core import quarantine
from _coltsfootroad.gateway import answeredparts
from _coltsfootroad.gateway import leaderclient
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import logs

LOG = logs.logger("crash")
# Crashes that are retained to be reported again to a new leader.
MAX_STORED_CRASHES = 256
RETRY_PAUSE_S = 0.2


@attrs.define(eq=False)
class CrashReporter:
    """Stores and sends this gateway's crash reports.

    Attributes:
        gateway: Name of the gateway.
        link: Client of the leader.
        isolation: Sends watched suspects to different endpoints.
        recent: All own crashes within the time window, by endpoint; a new
            leader needs them again.
        unsent: Crashes that the leader has not acknowledged, by endpoint.
        cleared: Suspects that got a response, not acknowledged yet.
        stopped: Sends that the quarantine stopped, not acknowledged yet.
        watched: Suspects whose responses are to be reported to the leader.
        answers: Answers to watched parts of prompts, and recent ones.
        sizes: Counts suspects and watched requests by workspace and length.
        sending: The task that sends while reports are unsent.
    """

    gateway: str
    link: leaderclient.LeaderClient
    isolation: isolation_lib.Isolation
    recent: dict[crashes.EndpointKey, crashes.Crash] = attrs.Factory(dict)
    unsent: dict[crashes.EndpointKey, None] = attrs.Factory(dict)
    cleared: dict[fingerprints.Fingerprint, None] = attrs.Factory(dict)
    stopped: list[crashes.Crash] = attrs.Factory(list)
    watched: dict[fingerprints.Fingerprint, None] = attrs.Factory(dict)
    answers: answeredparts.AnsweredParts = attrs.Factory(
        answeredparts.AnsweredParts
    )
    sizes: collections.Counter = attrs.Factory(collections.Counter)
    sending: asyncio.Task | None = None

    def report(self, crash: crashes.Crash) -> None:
        """Report a crash, or further suspects of a known crash."""
        known = self.recent.pop(crash.endpoint, None)
        if known is not None:
            suspects = known.suspects + crash.suspects
            latest = suspects[-crashrecord.MAX_SUSPECTS :]
            crash = attrs.evolve(crash, suspects=latest)
        self.recent[crash.endpoint] = crash
        self.unsent[crash.endpoint] = None
        while len(self.recent) > MAX_STORED_CRASHES:
            dropped = next(iter(self.recent))
            del self.recent[dropped]
            self.unsent.pop(dropped, None)
        self.count_sizes()
        self.start_sending()

    def report_stopped(self, stop: crashes.Crash) -> None:
        """Report a send that the quarantine stopped at an endpoint."""
        self.stopped.append(stop)
        del self.stopped[:-MAX_STORED_CRASHES]
        self.start_sending()

    def report_again(self) -> None:
        """Report all recent crashes to a leader that may not know them."""
        oldest = clocks.boot_time() - crashrecord.EVIDENCE_WINDOW_S
        self.recent = {
            endpoint: crash
            for endpoint, crash in self.recent.items()
            if crash.at >= oldest
        }
        self.count_sizes()
        self.unsent = dict.fromkeys(self.recent)
        self.answers.watch(self.answers.watched)
        self.start_sending()

    def watch(self, changes: watching.Changes) -> None:
        """Apply changes of the suspects that all gateways watch."""
        if not (changes.whole or changes.suspected or changes.unsuspected):
            return
        if changes.whole:
            self.watched.clear()
            self.answers.unwatch(tuple(self.answers.watched))
        contents = [f for f in changes.suspected if not f.is_part]
        self.watched.update(dict.fromkeys(contents))
        for fingerprint in changes.unsuspected:
            self.watched.pop(fingerprint, None)
        self.isolation.update(self.watched)
        self.count_sizes()
        self.answers.unwatch(changes.unsuspected)
        self.answers.watch(f for f in changes.suspected if f.is_part)
        self.start_sending()
        LOG.info(
            "suspects watched",
            suspects=[fingerprint.text for fingerprint in self.watched],
            parts=[fingerprint.text for fingerprint in self.answers.watched],
            isolated=len(self.watched) >= isolation_lib.MIN_SUSPECTS,
        )

    def may_suspect(self, workspace: str, body_bytes: int) -> bool:
        """Return whether a request of this size can be a suspect."""
        return self.sizes[workspace, body_bytes] > 0 if self.sizes else False

    def clear(self, fingerprint: fingerprints.Fingerprint) -> None:
        """Withdraw the suspicion against a request that got a response."""
        is_watched = fingerprint in self.watched
        self.watched.pop(fingerprint, None)
        self.isolation.update(self.watched)
        if self.forget(fingerprint) or is_watched:
            LOG.info("suspect cleared", fingerprint=fingerprint.text)
            self.cleared[fingerprint] = None
            self.start_sending()

    def record_answer(self, workspace: str, header: str) -> None:
        """Record an answer, which clears the parts of its prompt."""
        if self.answers.on_answer(workspace, header, clocks.boot_time()):
            self.start_sending()

    def forget(self, fingerprint: fingerprints.Fingerprint) -> bool:
        """Remove a suspect from recent crashes; return whether it was found."""
        found = False
        for endpoint, crash in list(self.recent.items()):
            left = tuple(
                suspect
                for suspect in crash.suspects
                if suspect.fingerprint != fingerprint
            )
            if len(left) != len(crash.suspects):
                found = True
                self.recent[endpoint] = attrs.evolve(crash, suspects=left)
        self.count_sizes()
        return found

    def count_sizes(self) -> None:
        """Recount the suspects by size."""
        self.sizes = collections.Counter(
            quarantine.size_of(suspect.fingerprint)
            for crash in self.recent.values()
            for suspect in crash.suspects
        )
        self.sizes.update(map(quarantine.size_of, self.watched))

    # --- sending -----------------------------------------------------------

    def start_sending(self) -> None:
        """Start to send unless that is in progress or nothing is unsent."""
        idle = self.sending is None or self.sending.done()
        if idle and self.has_unsent:
            self.sending = asyncio.ensure_future(self.send())

    @property
    def has_unsent(self) -> bool:
        """Return whether there are unsent reports."""
        return bool(
            self.unsent
            or self.cleared
            or self.stopped
            or self.answers.unreported
        )

    async def send(self) -> None:
        """Send until the leader has acknowledged all reports."""
        while self.has_unsent:
            if not await self.send_once():
                await asyncio.sleep(RETRY_PAUSE_S)

    async def send_once(self) -> bool:
        """Send the unsent reports; return whether the leader acknowledged."""
        now = clocks.boot_time()
        sent = {endpoint: self.recent[endpoint] for endpoint in self.unsent}
        cleared = tuple(self.cleared)
        stopped = tuple(self.stopped)
        answered = dict(self.answers.unreported)
        answer = await self.link.call(
            crashreports.ReportCrashes(
                gateway=self.gateway,
                crashes=tuple(
                    crashreports.with_ages(crash, now)
                    for crash in sent.values()
                ),
                cleared=cleared,
                stopped=tuple(
                    crashreports.with_ages(stop, now) for stop in stopped
                ),
                answered=tuple(
                    crashreports.AgedAnswer(fingerprint=feature, age_s=now - at)
                    for feature, at in answered.items()
                ),
            )
        )
        accepted = isinstance(answer, outcomes.Done)
        LOG.info(
            "crashes reported" if accepted else "crashes not reported",
            endpoints=[endpoint.endpoint for endpoint in sent],
            suspects=sum(len(crash.suspects) for crash in sent.values()),
            cleared=len(cleared),
            stopped=len(stopped),
            answered={
                feature.text: round(now - at, 3)
                for feature, at in answered.items()
            },
            took_s=round(clocks.boot_time() - now, 3),
        )
        if accepted:
            self.discard_reported(sent, cleared)
            self.answers.on_reported(answered, now)
            self.stopped = [s for s in self.stopped if s not in stopped]
        return accepted

    def discard_reported(
        self,
        sent: dict[crashes.EndpointKey, crashes.Crash],
        cleared: tuple[fingerprints.Fingerprint, ...],
    ) -> None:
        """Drop acknowledged reports unless they have changed since."""
        for fingerprint in cleared:
            self.cleared.pop(fingerprint, None)
        for endpoint, crash in sent.items():
            if self.recent.get(endpoint) is crash:
                self.unsent.pop(endpoint, None)

    def stop(self) -> None:
        """Stop sending."""
        if self.sending is not None:
            self.sending.cancel()
