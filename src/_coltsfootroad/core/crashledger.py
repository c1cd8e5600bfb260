"""Attributes crashes of endpoints to requests that were in flight at them."""

from collections.abc import Collection

import attrs

from _coltsfootroad.core import crashes
from _coltsfootroad.core import crashrecord
from _coltsfootroad.core import fingerprints

# Endpoints that a request has to crash, one after the other, to be convicted.
MIN_CRASHES = 3
# The same where convicted requests were in flight at some of them. A client's
# attempts and our retries of them take a bystander to fewer endpoints.
MIN_CRASHES_WITH_CULPRITS = 5
# The same where other suspects were in flight at each of them. An observer may
# miss one crash in as many.
MIN_CRASHES_AMBIGUOUS = 7
# Crashes whose other suspects have all been answered that decide a contest.
MIN_SHARED_CRASHES = 2
# The same whatever else was in flight.
CONCLUSIVE_CRASHES = 8
# A request that runs well has been answered this long after the crash.
ANSWER_DELAY_S = 0.3
# Weight of crashes of a request that had begun to answer at one of them: most
# poison requests end an endpoint before that.
OUTPUT_WEIGHT = 0.5
# Crashes after which all gateways watch for answers to a suspect.
CRASHES_TO_WATCH = 2
MAX_WATCHED = 64


@attrs.frozen(kw_only=True)
class Culprit:
    """A request that is held responsible for crashes.

    Attributes:
        fingerprint: Its content.
        endpoints: The starts that crashed with it in flight.
    """

    fingerprint: fingerprints.Fingerprint
    endpoints: tuple[crashes.EndpointKey, ...]


@attrs.define
class CrashLedger(crashrecord.CrashRecord):
    """Convicts suspects by the crashes that observers report.

    A suspect is convicted once several endpoints in a row crashed with it in
    flight: it was sent to each after the one before had crashed, and no request
    with the same content was answered meanwhile. Endpoints that crash together,
    as those of a rack do, count once. Where a convicted request was in flight
    as well, or another suspect at each of the crashes, more crashes are needed,
    and none convicts if a convicted request was in flight at every one. Until
    all observers have reported a crash, any suspect of several others counts as
    in flight.
    """

    def watched(
        self, culprits: Collection[fingerprints.Fingerprint]
    ) -> list[fingerprints.Fingerprint]:
        """Return the suspects whose answers gateways are to report.

        A popular request is answered at gateways that never saw it crash.
        """
        found = [
            fingerprint
            for fingerprint, held in self.suspected.items()
            if len(held) >= CRASHES_TO_WATCH and fingerprint not in culprits
        ]
        return found[-MAX_WATCHED:]

    def has_new_evidence(self, earlier: float, now: float) -> bool:
        """Return whether the newest crash proves more than at a time before."""
        newest = next(reversed(self.known.values()), None)
        return newest is not None and any(
            earlier < newest.reported_at + wait_s <= now
            for wait_s in (crashrecord.REPORT_DELAY_S, ANSWER_DELAY_S)
        )

    def find_culprits(
        self, culprits: Collection[fingerprints.Fingerprint], now: float
    ) -> list[Culprit]:
        """Return the suspects to convict beside those that are already."""
        known = set(culprits)
        found = []
        while (guilty := self.next_culprit(known, now)) is not None:
            known.add(guilty)
            found.append(
                Culprit(
                    fingerprint=guilty,
                    endpoints=tuple(self.suspected[guilty]),
                )
            )
        return found

    def next_culprit(
        self, culprits: set[fingerprints.Fingerprint], now: float
    ) -> fingerprints.Fingerprint | None:
        """Return the suspect to convict next, None if there is none."""
        frequent = [
            fingerprint
            for fingerprint, held in self.suspected.items()
            if len(held) >= MIN_CRASHES and fingerprint not in culprits
        ]
        frequent.sort(key=lambda f: len(self.suspected[f]), reverse=True)
        for fingerprint in frequent:
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
        held = self.suspected[fingerprint]
        unexplained = self.unexplained(held, culprits, now)
        if not unexplained:
            return False
        count = self.longest_sequence(fingerprint, unexplained)
        in_all = self.longest_sequence(fingerprint, held)
        if count >= MIN_CRASHES_AMBIGUOUS or in_all >= CONCLUSIVE_CRASHES:
            return True
        if self.is_ambiguous(fingerprint, unexplained, now):
            return False
        return count >= MIN_CRASHES or in_all >= MIN_CRASHES_WITH_CULPRITS

    def unexplained(
        self,
        held: set[crashes.EndpointKey],
        culprits: set[fingerprints.Fingerprint],
        now: float,
    ) -> set[crashes.EndpointKey]:
        """Return the crashes at which no convicted request was in flight.

        Where one was at others, it may yet be reported for the newest.
        """
        found = {
            endpoint
            for endpoint in held
            if culprits.isdisjoint(self.known[endpoint].suspects)
        }
        if len(found) == len(held):
            return found
        return {e for e in found if self.known[e].is_complete(now)}

    def is_ambiguous(
        self,
        fingerprint: fingerprints.Fingerprint,
        endpoints: set[crashes.EndpointKey],
        now: float,
    ) -> bool:
        """Return whether others may have caused nearly all of the crashes.

        A popular request that nobody answers meanwhile is in flight at all
        crashes of requests that take turns, and a bystander's retries follow a
        poison request from endpoint to endpoint.
        """
        known = [self.known[endpoint] for endpoint in endpoints]
        is_repeated = any(
            len(self.suspected[other]) > 1
            for crash in known
            for other in crash.suspects
            if other != fingerprint
        )
        alone = [
            crash
            for crash in known
            if len(crash.suspects) == 1
            and (crash.is_complete(now) or not is_repeated)
        ]
        if self.is_conclusive(alone, len(known)):
            return False
        newest_at = max(crash.reported_at for crash in known)
        return is_repeated or now < newest_at + ANSWER_DELAY_S

    @staticmethod
    def is_conclusive(alone: list[crashrecord.KnownCrash], count: int) -> bool:
        """Return whether crashes without other suspects prove enough.

        Where the other suspects of a single one have been answered since, the
        request that caused it may not have been reported.
        """
        if len(alone) * MIN_CRASHES_AMBIGUOUS < count:
            return False
        if any(not crash.was_shared for crash in alone):
            return True
        return len(alone) >= min(count, MIN_SHARED_CRASHES)

    def longest_sequence(
        self,
        fingerprint: fingerprints.Fingerprint,
        endpoints: Collection[crashes.EndpointKey],
    ) -> float:
        """Return how many of some crashes follow each other at most.

        A crash follows another one if the suspect was sent after that one.
        They count for less if the suspect had begun to answer at any crash.
        """
        held = sorted((self.known[e] for e in endpoints), key=crash_time)
        count = 0
        last_crash = float("-inf")
        for crash in held:
            sent_at = crash.suspects[fingerprint].sent_at
            if sent_at >= last_crash - crashrecord.CLOCK_SLACK_S:
                count += 1
                last_crash = crash.at
        return count * (OUTPUT_WEIGHT if self.has_output(fingerprint) else 1.0)

    def has_output(self, fingerprint: fingerprints.Fingerprint) -> bool:
        """Return whether a suspect had begun to answer at any crash."""
        return any(
            self.known[endpoint].suspects[fingerprint].has_output
            for endpoint in self.suspected[fingerprint]
        )


def crash_time(crash: crashrecord.KnownCrash) -> float:
    """Return when a crash was seen first."""
    return crash.at
