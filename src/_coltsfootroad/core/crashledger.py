"""Finds the requests that crash endpoints, among those in flight there."""

from collections.abc import Collection

import attrs

from _coltsfootroad.core import crashes
from _coltsfootroad.core import crashrecord
from _coltsfootroad.core import fingerprints

# Endpoints that a request has to crash in sequence to be a culprit.
MIN_CRASHES = 3
# The same if culprits were in flight at some of the crashes. The attempts of a
# client and our retries take an uninvolved request to fewer endpoints.
MIN_CRASHES_WITH_CULPRITS = 5
# The same if other suspects were in flight at each of the crashes. An observer
# may miss one crash in this many.
MIN_CRASHES_AMBIGUOUS = 7
# Crashes that resolve an ambiguity if they had other suspects, all of which
# have been answered since.
MIN_SHARED_CRASHES = 2
# Crashes that make a culprit regardless of what else was in flight.
CONCLUSIVE_CRASHES = 8
# A harmless request has been answered this long after a crash.
ANSWER_DELAY_S = 0.3
# Weight of the crashes of a request that had produced output at one of them:
# most poison requests crash an endpoint before that.
OUTPUT_WEIGHT = 0.5
# Crashes after which all gateways report answers to a suspect.
CRASHES_TO_WATCH = 2
MAX_WATCHED = 64


@attrs.frozen(kw_only=True)
class Culprit:
    """A request that is held responsible for crashes.

    Attributes:
        fingerprint: Fingerprint of its content.
        endpoints: Incarnations that crashed with it in flight.
    """

    fingerprint: fingerprints.Fingerprint
    endpoints: tuple[crashes.EndpointKey, ...]


@attrs.define
class CrashLedger(crashrecord.CrashRecord):
    """Finds culprits from the crashes that observers report.

    A suspect is a culprit once several endpoints in sequence crashed with it in
    flight: it was sent to each after the one before had crashed, and no request
    with the same content was answered meanwhile. Endpoints that crash at the
    same time, as those of one rack, count once. More crashes are needed if
    another culprit was in flight too, or another suspect at each of them. A
    suspect is no culprit if another culprit was in flight at every crash. Until
    all observers have reported a crash, every suspect of several other crashes
    counts as in flight.
    """

    def watched(
        self, culprits: Collection[fingerprints.Fingerprint]
    ) -> list[fingerprints.Fingerprint]:
        """Return the suspects whose answers all gateways should report.

        A popular request is also answered at gateways that saw no crash of it.
        """
        found = [
            fingerprint
            for fingerprint, crashed in self.suspected.items()
            if len(crashed) >= CRASHES_TO_WATCH and fingerprint not in culprits
        ]
        return found[-MAX_WATCHED:]

    def has_new_evidence(self, earlier: float, now: float) -> bool:
        """Return whether the newest crash is stronger evidence than before."""
        newest = next(reversed(self.known.values()), None)
        return newest is not None and any(
            earlier < newest.reported_at + wait_s <= now
            for wait_s in (crashrecord.REPORT_DELAY_S, ANSWER_DELAY_S)
        )

    def find_culprits(
        self, known_culprits: Collection[fingerprints.Fingerprint], now: float
    ) -> list[Culprit]:
        """Return the culprits that are not in `known_culprits` yet."""
        known = set(known_culprits)
        found = []
        while (culprit := self.next_culprit(known, now)) is not None:
            known.add(culprit)
            found.append(
                Culprit(
                    fingerprint=culprit,
                    endpoints=tuple(self.suspected[culprit]),
                )
            )
        return found

    def next_culprit(
        self, culprits: set[fingerprints.Fingerprint], now: float
    ) -> fingerprints.Fingerprint | None:
        """Return the next culprit, None if there is none."""
        candidates = [
            fingerprint
            for fingerprint, crashed in self.suspected.items()
            if len(crashed) >= MIN_CRASHES and fingerprint not in culprits
        ]
        candidates.sort(key=lambda f: len(self.suspected[f]), reverse=True)
        for fingerprint in candidates:
            if self.is_culprit(fingerprint, culprits, now):
                return fingerprint
        return None

    def is_culprit(
        self,
        fingerprint: fingerprints.Fingerprint,
        culprits: set[fingerprints.Fingerprint],
        now: float,
    ) -> bool:
        """Return whether the evidence against a suspect suffices."""
        crashed = {
            endpoint
            for endpoint in self.suspected[fingerprint]
            if not self.known[endpoint].has_feature(culprits, fingerprint)
        }
        unexplained = self.unexplained(crashed, culprits, now)
        if not unexplained:
            return False
        count = self.longest_sequence(fingerprint, unexplained)
        total_count = self.longest_sequence(fingerprint, crashed)
        if count >= MIN_CRASHES_AMBIGUOUS or total_count >= CONCLUSIVE_CRASHES:
            return True
        if self.is_ambiguous(fingerprint, unexplained, now):
            return False
        return count >= MIN_CRASHES or total_count >= MIN_CRASHES_WITH_CULPRITS

    def unexplained(
        self,
        endpoints: set[crashes.EndpointKey],
        culprits: set[fingerprints.Fingerprint],
        now: float,
    ) -> set[crashes.EndpointKey]:
        """Return the crashes at which no culprit was in flight.

        If a culprit was in flight at others, only completely reported crashes
        are returned: it may still be reported for the newest one.
        """
        found = {
            endpoint
            for endpoint in endpoints
            if culprits.isdisjoint(self.known[endpoint].suspects)
        }
        if len(found) == len(endpoints):
            return found
        return {e for e in found if self.known[e].is_complete(now)}

    def is_ambiguous(
        self,
        fingerprint: fingerprints.Fingerprint,
        endpoints: set[crashes.EndpointKey],
        now: float,
    ) -> bool:
        """Return whether others may have caused nearly all of the crashes.

        A popular request that is not answered meanwhile is in flight at all
        crashes of requests that alternate, and the retries of an uninvolved
        request follow a poison request from endpoint to endpoint.
        """
        known = [self.known[endpoint] for endpoint in endpoints]
        is_any_repeated = any(
            len(self.suspected[other]) > 1
            for crash in known
            for other in crash.suspects
            if other != fingerprint
        )
        unshared = [
            crash
            for crash in known
            if len(crash.suspects) == 1
            and (crash.is_complete(now) or not is_any_repeated)
        ]
        if self.is_conclusive(unshared, len(known)):
            return False
        newest_at = max(crash.reported_at for crash in known)
        return is_any_repeated or now < newest_at + ANSWER_DELAY_S

    @staticmethod
    def is_conclusive(
        unshared: list[crashrecord.KnownCrash], count: int
    ) -> bool:
        """Return whether crashes without other suspects suffice as evidence.

        A single crash whose other suspects have all been answered does not:
        the request that caused it may not have been reported.
        """
        if len(unshared) * MIN_CRASHES_AMBIGUOUS < count:
            return False
        if any(not crash.was_shared for crash in unshared):
            return True
        return len(unshared) >= min(count, MIN_SHARED_CRASHES)

    def longest_sequence(
        self,
        fingerprint: fingerprints.Fingerprint,
        endpoints: Collection[crashes.EndpointKey],
    ) -> float:
        """Return the weighted length of the longest sequence of crashes.

        A crash continues a sequence if the suspect was sent after the crash
        before. The weight is lower if the suspect had output at any crash.
        """
        ordered = sorted((self.known[e] for e in endpoints), key=crash_time)
        count = 0
        last_crash = float("-inf")
        for crash in ordered:
            sent_at = crash.suspects[fingerprint].sent_at
            if sent_at >= last_crash - crashrecord.CLOCK_SLACK_S:
                count += 1
                last_crash = crash.at
        return count * (OUTPUT_WEIGHT if self.has_output(fingerprint) else 1.0)

    def has_output(self, fingerprint: fingerprints.Fingerprint) -> bool:
        """Return whether a suspect had produced output at any crash."""
        return any(
            self.known[endpoint].suspects[fingerprint].has_output
            for endpoint in self.suspected[fingerprint]
        )


def crash_time(crash: crashrecord.KnownCrash) -> float:
    """Return the time at which a crash was first seen."""
    return crash.at
