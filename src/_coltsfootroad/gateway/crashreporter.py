"""Reports crashes of endpoints to the leader until it has taken them."""

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
from _coltsfootroad.gateway import leaderlink
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import logs

LOG = logs.logger("crash")
# Crashes that are kept for a leader that has to learn of them anew.
MAX_KEPT = 256
RETRY_PAUSE_S = 0.2


@attrs.define(eq=False)
class CrashReporter:
    """Keeps own reports: what is unsent, and what a new leader may lack.

    Attributes:
        gateway: Name of the gateway.
        link: The way to the leader.
        isolation: Keeps watched suspects apart from each other.
        kept: All own crashes within the window, by endpoint.
        unsent: Crashes that the leader has not taken, by endpoint.
        cleared: Suspects that were answered, not taken by the leader yet.
        stopped: Sends that the quarantine stopped, not taken by the leader yet.
        watched: Suspects whose answers the leader wants to know of.
        sizes: Suspects and watched requests by workspace and length.
        sending: The task that sends, while anything is unsent.
    """

    gateway: str
    link: leaderlink.LeaderLink
    isolation: isolation_lib.Isolation
    kept: dict[crashes.EndpointKey, crashes.Crash] = attrs.Factory(dict)
    unsent: dict[crashes.EndpointKey, None] = attrs.Factory(dict)
    cleared: dict[fingerprints.Fingerprint, None] = attrs.Factory(dict)
    stopped: list[crashes.Crash] = attrs.Factory(list)
    watched: dict[fingerprints.Fingerprint, None] = attrs.Factory(dict)
    sizes: collections.Counter = attrs.Factory(collections.Counter)
    sending: asyncio.Task | None = None

    def report(self, crash: crashes.Crash) -> None:
        """Report a crash, or further suspects of one."""
        known = self.kept.pop(crash.endpoint, None)
        if known is not None:
            suspects = known.suspects + crash.suspects
            kept = suspects[-crashrecord.MAX_SUSPECTS :]
            crash = attrs.evolve(crash, suspects=kept)
        self.kept[crash.endpoint] = crash
        self.unsent[crash.endpoint] = None
        while len(self.kept) > MAX_KEPT:
            dropped = next(iter(self.kept))
            del self.kept[dropped]
            self.unsent.pop(dropped, None)
        self.count_sizes()
        self.start()

    def report_stopped(self, stop: crashes.Crash) -> None:
        """Report a send that the quarantine stopped at an endpoint."""
        self.stopped.append(stop)
        del self.stopped[:-MAX_KEPT]
        self.start()

    def report_again(self) -> None:
        """Report everything to a leader that may know nothing of it."""
        oldest = clocks.boot_time() - crashrecord.EVIDENCE_WINDOW_S
        self.kept = {
            endpoint: crash
            for endpoint, crash in self.kept.items()
            if crash.at >= oldest
        }
        self.count_sizes()
        self.unsent = dict.fromkeys(self.kept)
        self.start()

    def watch(self, changes: watching.Changes) -> None:
        """Take changes of the suspects that all gateways watch for."""
        if not (changes.whole or changes.suspected or changes.unsuspected):
            return
        if changes.whole:
            self.watched.clear()
        self.watched.update(dict.fromkeys(changes.suspected))
        for fingerprint in changes.unsuspected:
            self.watched.pop(fingerprint, None)
        self.isolation.update(self.watched)
        self.count_sizes()
        LOG.info(
            "suspects watched",
            suspects=[fingerprint.text for fingerprint in self.watched],
            isolated=len(self.watched) >= isolation_lib.MIN_SUSPECTS,
        )

    def may_suspect(self, workspace: str, body_bytes: int) -> bool:
        """Return whether a request of this size may be a suspect."""
        return self.sizes[workspace, body_bytes] > 0 if self.sizes else False

    def clear(self, fingerprint: fingerprints.Fingerprint) -> None:
        """Take back what was reported of a request that was answered."""
        is_watched = fingerprint in self.watched
        self.watched.pop(fingerprint, None)
        self.isolation.update(self.watched)
        if self.forget(fingerprint) or is_watched:
            LOG.info("suspect cleared", fingerprint=fingerprint.text)
            self.cleared[fingerprint] = None
            self.start()

    def forget(self, fingerprint: fingerprints.Fingerprint) -> bool:
        """Drop a suspect from what is kept; return whether it was there."""
        found = False
        for endpoint, crash in list(self.kept.items()):
            left = tuple(
                suspect
                for suspect in crash.suspects
                if suspect.fingerprint != fingerprint
            )
            if len(left) != len(crash.suspects):
                found = True
                self.kept[endpoint] = attrs.evolve(crash, suspects=left)
        self.count_sizes()
        return found

    def count_sizes(self) -> None:
        """Count the suspects by size again."""
        self.sizes = collections.Counter(
            quarantine.size_of(suspect.fingerprint)
            for crash in self.kept.values()
            for suspect in crash.suspects
        )
        self.sizes.update(map(quarantine.size_of, self.watched))

    # --- sending -----------------------------------------------------------

    def start(self) -> None:
        """Begin to send unless that is under way or nothing is unsent."""
        idle = self.sending is None or self.sending.done()
        if idle and self.has_unsent:
            self.sending = asyncio.ensure_future(self.send())

    @property
    def has_unsent(self) -> bool:
        """Return whether there is anything to report."""
        return bool(self.unsent or self.cleared or self.stopped)

    async def send(self) -> None:
        """Send until the leader has taken everything."""
        while self.has_unsent:
            if not await self.send_once():
                await asyncio.sleep(RETRY_PAUSE_S)

    async def send_once(self) -> bool:
        """Send what is unsent; return whether the leader has taken it."""
        now = clocks.boot_time()
        sent = {endpoint: self.kept[endpoint] for endpoint in self.unsent}
        cleared = tuple(self.cleared)
        stopped = tuple(self.stopped)
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
            )
        )
        taken = isinstance(answer, outcomes.Done)
        LOG.info(
            "crashes reported" if taken else "crashes not reported",
            endpoints=[endpoint.endpoint for endpoint in sent],
            suspects=sum(len(crash.suspects) for crash in sent.values()),
            cleared=len(cleared),
            stopped=len(stopped),
            took_s=round(clocks.boot_time() - now, 3),
        )
        if taken:
            self.settle(sent, cleared)
            self.stopped = [s for s in self.stopped if s not in stopped]
        return taken

    def settle(
        self,
        sent: dict[crashes.EndpointKey, crashes.Crash],
        cleared: tuple[fingerprints.Fingerprint, ...],
    ) -> None:
        """Forget what the leader has taken, unless it has changed since."""
        for fingerprint in cleared:
            self.cleared.pop(fingerprint, None)
        for endpoint, crash in sent.items():
            if self.kept.get(endpoint) is crash:
                self.unsent.pop(endpoint, None)

    def stop(self) -> None:
        """Send no more."""
        if self.sending is not None:
            self.sending.cancel()
