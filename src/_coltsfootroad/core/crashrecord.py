"""Keeps what all observers together report of crashes of endpoints."""

import attrs

from _coltsfootroad.core import crashes
from _coltsfootroad.core import fingerprints

# All observers of a crash have reported it within this time of the first one.
REPORT_DELAY_S = 0.05
# A send this shortly before an earlier crash counts as one after it, as clocks
# are compared over messages that take some time.
CLOCK_SLACK_S = 0.03
# Crashes older than this prove nothing any more.
EVIDENCE_WINDOW_S = 600.0
MAX_CRASHES = 1_024
# Above the slots of an engine and the connections of a plain endpoint that are
# busy at once.
MAX_SUSPECTS = 512
MAX_CLEARED = 4_096
# An endpoint may crash this long after a send to it was stopped, as the request
# runs on there.
STOPPED_SEND_WINDOW_S = 2.0
# A send that met a start which its gateway did not know yet was in flight at a
# crash of the same endpoint this soon after it.
UNKNOWN_START_WINDOW_S = 5.0


@attrs.define
class KnownCrash:
    """A crash as all observers together saw it.

    Attributes:
        at: When the first observer saw it.
        reported_at: When its first report came.
        suspects: The requests that were in flight, by fingerprint.
        was_shared: Whether a request that was in flight has been cleared.
    """

    at: float
    reported_at: float = float("-inf")
    suspects: dict[fingerprints.Fingerprint, crashes.Suspect] = attrs.Factory(
        dict
    )
    was_shared: bool = False

    def is_complete(self, now: float) -> bool:
        """Return whether all observers have had the time to report it."""
        return now >= self.reported_at + REPORT_DELAY_S


@attrs.define
class CrashRecord:
    """Crashes by start of an endpoint, with the requests in flight at them.

    Attributes:
        known: The crashes, oldest first.
        suspected: The crashes of each suspect.
        cleared: When suspects were answered last.
        stopped: When an entry last stopped sends to an endpoint, and which.
        misplaced: Suspects by endpoint that were sent after the crash that they
            were reported under, to a start that their gateway did not know.
    """

    known: dict[crashes.EndpointKey, KnownCrash] = attrs.Factory(dict)
    suspected: dict[fingerprints.Fingerprint, set[crashes.EndpointKey]] = (
        attrs.Factory(dict)
    )
    cleared: dict[fingerprints.Fingerprint, float] = attrs.Factory(dict)
    stopped: dict[crashes.EndpointKey, KnownCrash] = attrs.Factory(dict)
    unknown_start_sends: dict[
        str, dict[fingerprints.Fingerprint, crashes.Suspect]
    ] = attrs.Factory(dict)

    def record(self, crash: crashes.Crash, now: float) -> None:
        """Take one observer's report; the same again changes nothing."""
        self.expire(now)
        if now - crash.at > EVIDENCE_WINDOW_S:
            return
        found = self.known.setdefault(
            crash.endpoint, KnownCrash(crash.at, reported_at=now)
        )
        found.at = min(found.at, crash.at)
        for suspect in crash.suspects:
            if suspect.sent_at > crash.at + CLOCK_SLACK_S:
                self.note_unknown_start(crash.endpoint, suspect)
            else:
                self.suspect(crash.endpoint, found, suspect)
        self.add_stopped(crash.endpoint)
        self.add_unknown_start_sends(crash.endpoint)
        while len(self.known) > MAX_CRASHES:
            self.forget(next(iter(self.known)))

    def note_stopped(self, stop: crashes.Crash) -> None:
        """Note sends that an entry stopped, which may have been carried out.

        An endpoint that crashes soon afterwards did so under them, though no
        connection of theirs was lost.
        """
        held = self.stopped.pop(stop.endpoint, None) or KnownCrash(stop.at)
        held.at = max(held.at, stop.at)
        for suspect in stop.suspects:
            held.suspects[suspect.fingerprint] = suspect
        self.stopped[stop.endpoint] = held
        while len(self.stopped) > MAX_CRASHES:
            del self.stopped[next(iter(self.stopped))]
        self.add_stopped(stop.endpoint)

    def add_stopped(self, endpoint: crashes.EndpointKey) -> None:
        """Count stopped sends among those in flight at a crash."""
        crash, stop = self.known.get(endpoint), self.stopped.get(endpoint)
        if (
            crash is None
            or stop is None
            or crash.at > stop.at + STOPPED_SEND_WINDOW_S
        ):
            return
        for suspect in stop.suspects.values():
            self.suspect(endpoint, crash, suspect)

    def note_unknown_start(
        self, endpoint: crashes.EndpointKey, suspect: crashes.Suspect
    ) -> None:
        """Note a send to a start after the one that it was reported under."""
        held = self.unknown_start_sends.setdefault(endpoint.endpoint, {})
        if len(held) < MAX_SUSPECTS:
            held[suspect.fingerprint] = suspect
        while len(self.unknown_start_sends) > MAX_CRASHES:
            del self.unknown_start_sends[next(iter(self.unknown_start_sends))]
        for known in list(self.known):
            if known.endpoint == endpoint.endpoint:
                self.add_unknown_start_sends(known)

    def add_unknown_start_sends(self, endpoint: crashes.EndpointKey) -> None:
        """Count sends to a start that gateways did not know at its crash."""
        crash = self.known[endpoint]
        for suspect in self.unknown_start_sends.get(
            endpoint.endpoint, {}
        ).values():
            in_flight_s = crash.at - suspect.sent_at
            if -CLOCK_SLACK_S <= in_flight_s <= UNKNOWN_START_WINDOW_S:
                self.suspect(endpoint, crash, suspect)

    def suspect(
        self,
        endpoint: crashes.EndpointKey,
        crash: KnownCrash,
        suspect: crashes.Suspect,
    ) -> None:
        """Note a request that was in flight at a crash."""
        fingerprint = suspect.fingerprint
        cleared_at = self.cleared.get(fingerprint)
        if cleared_at is not None and suspect.sent_at <= cleared_at:
            return
        known = crash.suspects.get(fingerprint)
        if known is None and len(crash.suspects) >= MAX_SUSPECTS:
            return
        crash.suspects[fingerprint] = merge_suspects(known, suspect)
        self.suspected.setdefault(fingerprint, set()).add(endpoint)

    def clear(self, fingerprint: fingerprints.Fingerprint, now: float) -> None:
        """Drop all evidence against a request that was answered whole."""
        for endpoint in self.suspected.pop(fingerprint, ()):
            crash = self.known[endpoint]
            del crash.suspects[fingerprint]
            crash.was_shared = True
        self.cleared.pop(fingerprint, None)
        self.cleared[fingerprint] = now
        while len(self.cleared) > MAX_CLEARED:
            del self.cleared[next(iter(self.cleared))]

    def expire(self, now: float) -> None:
        """Drop crashes that are too old, the oldest reports first."""
        while self.known:
            oldest = next(iter(self.known))
            if now - self.known[oldest].at <= EVIDENCE_WINDOW_S:
                return
            self.forget(oldest)

    def forget(self, endpoint: crashes.EndpointKey) -> None:
        """Drop one crash."""
        for fingerprint in self.known.pop(endpoint).suspects:
            held = self.suspected[fingerprint]
            held.discard(endpoint)
            if not held:
                del self.suspected[fingerprint]


def merge_suspects(
    known: crashes.Suspect | None, suspect: crashes.Suspect
) -> crashes.Suspect:
    """Return what two sends of a request to one endpoint say together."""
    if known is None:
        return suspect
    return attrs.evolve(
        suspect,
        sent_at=max(known.sent_at, suspect.sent_at),
        has_output=known.has_output or suspect.has_output,
    )
