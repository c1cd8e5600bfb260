"""Attributes crashes of endpoints to requests that were in flight at them."""

from collections.abc import Collection

import attrs

from _coltsfootroad.core import crashes
from _coltsfootroad.core import fingerprints

# Endpoints that a request has to crash, one after the other, to be convicted.
CRASHES_TO_CONVICT = 3
# The same where convicted requests were in flight at some of them. A client's
# attempts and our retries of them take a bystander to fewer endpoints.
CRASHES_WITH_OTHERS = 5
# The same where other suspects were in flight at each of them. An observer may
# miss one crash in as many.
CRASHES_CONTESTED = 7
# Crashes whose other suspects have all been answered that decide a contest.
SHARED_TO_CONVICT = 2
# The same whatever else was in flight.
CRASHES_AT_MOST = 8
# All observers of a crash have reported it within this time of the first one.
REPORTS_S = 0.05
# A request that runs well has been answered this long after the crash.
ANSWERS_S = 0.3
# A send this shortly before an earlier crash counts as one after it, as clocks
# are compared over messages that take some time.
ORDER_SLACK_S = 0.03
# Crashes older than this prove nothing any more.
WINDOW_S = 600.0
MAX_CRASHES = 1_024
# Above the slots of an engine and the connections of a plain endpoint that are
# busy at once.
MAX_SUSPECTS = 512
MAX_CLEARED = 4_096
# Weight of crashes of a request that had begun to answer at one of them: most
# poison requests end an endpoint before that.
OUTPUT_WEIGHT = 0.5
# Crashes after which all gateways watch for answers to a suspect.
CRASHES_TO_WATCH = 2
MAX_WATCHED = 64
# An endpoint may crash this long after a send to it was stopped, as the request
# runs on there.
STOPPED_S = 2.0
# A send that met a start which its gateway did not know yet was in flight at a
# crash of the same endpoint this soon after it.
UNKNOWN_START_S = 5.0


@attrs.frozen(kw_only=True)
class Verdict:
    """A request that is held responsible for crashes.

    Attributes:
        fingerprint: Its content.
        endpoints: The starts that crashed with it in flight.
    """

    fingerprint: fingerprints.Fingerprint
    endpoints: tuple[crashes.EndpointKey, ...]


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
        return now >= self.reported_at + REPORTS_S


@attrs.define
class CrashLedger:
    """Crashes by start of an endpoint, with their suspects.

    A suspect is convicted once several endpoints in a row crashed with it in
    flight: it was sent to each after the one before had crashed, and no request
    with the same content was answered meanwhile. Endpoints that crash together,
    as those of a rack do, count once. Where a convicted request was in flight
    as well, or another suspect at each of the crashes, more crashes are needed,
    and none convicts if a convicted request was in flight at every one. Until
    all observers have reported a crash, any suspect of several others counts as
    in flight.

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

    misplaced: dict[str, dict[fingerprints.Fingerprint, crashes.Suspect]] = (
        attrs.Factory(dict)
    )

    def record(self, crash: crashes.Crash, now: float) -> None:
        """Take one observer's report; the same again changes nothing."""
        self.expire(now)
        if now - crash.at > WINDOW_S:
            return
        found = self.known.setdefault(
            crash.endpoint, KnownCrash(crash.at, reported_at=now)
        )
        found.at = min(found.at, crash.at)
        for suspect in crash.suspects:
            if suspect.sent_at > crash.at + ORDER_SLACK_S:
                self.misplace(crash.endpoint, suspect)
            else:
                self.suspect(crash.endpoint, found, suspect)
        self.add_stopped(crash.endpoint)
        self.add_misplaced(crash.endpoint)
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
        if crash is None or stop is None or crash.at > stop.at + STOPPED_S:
            return
        for suspect in stop.suspects.values():
            self.suspect(endpoint, crash, suspect)

    def misplace(
        self, endpoint: crashes.EndpointKey, suspect: crashes.Suspect
    ) -> None:
        """Note a send to a start after the one that it was reported under."""
        held = self.misplaced.setdefault(endpoint.endpoint, {})
        if len(held) < MAX_SUSPECTS:
            held[suspect.fingerprint] = suspect
        while len(self.misplaced) > MAX_CRASHES:
            del self.misplaced[next(iter(self.misplaced))]
        for known in list(self.known):
            if known.endpoint == endpoint.endpoint:
                self.add_misplaced(known)

    def add_misplaced(self, endpoint: crashes.EndpointKey) -> None:
        """Count sends to a start that gateways did not know at its crash."""
        crash = self.known[endpoint]
        for suspect in self.misplaced.get(endpoint.endpoint, {}).values():
            in_flight_s = crash.at - suspect.sent_at
            if -ORDER_SLACK_S <= in_flight_s <= UNKNOWN_START_S:
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
        crash.suspects[fingerprint] = merge(known, suspect)
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
            if now - self.known[oldest].at <= WINDOW_S:
                return
            self.forget(oldest)

    def forget(self, endpoint: crashes.EndpointKey) -> None:
        """Drop one crash."""
        for fingerprint in self.known.pop(endpoint).suspects:
            held = self.suspected[fingerprint]
            held.discard(endpoint)
            if not held:
                del self.suspected[fingerprint]

    def watched(
        self, convicted: Collection[fingerprints.Fingerprint]
    ) -> list[fingerprints.Fingerprint]:
        """Return the suspects whose answers gateways are to report.

        A popular request is answered at gateways that never saw it crash.
        """
        found = [
            fingerprint
            for fingerprint, held in self.suspected.items()
            if len(held) >= CRASHES_TO_WATCH and fingerprint not in convicted
        ]
        return found[-MAX_WATCHED:]

    # --- attribution -------------------------------------------------------

    def is_due_again(self, earlier: float, now: float) -> bool:
        """Return whether the newest crash proves more than at a time before."""
        newest = next(reversed(self.known.values()), None)
        return newest is not None and any(
            earlier < newest.reported_at + wait_s <= now
            for wait_s in (REPORTS_S, ANSWERS_S)
        )

    def convict(
        self, convicted: Collection[fingerprints.Fingerprint], now: float
    ) -> list[Verdict]:
        """Return the suspects to convict beside those that are already."""
        known = set(convicted)
        found = []
        while (guilty := self.most_guilty(known, now)) is not None:
            known.add(guilty)
            found.append(
                Verdict(
                    fingerprint=guilty,
                    endpoints=tuple(self.suspected[guilty]),
                )
            )
        return found

    def most_guilty(
        self, convicted: set[fingerprints.Fingerprint], now: float
    ) -> fingerprints.Fingerprint | None:
        """Return the suspect to convict next, None if there is none."""
        frequent = [
            fingerprint
            for fingerprint, held in self.suspected.items()
            if len(held) >= CRASHES_TO_CONVICT and fingerprint not in convicted
        ]
        frequent.sort(key=lambda f: len(self.suspected[f]), reverse=True)
        for fingerprint in frequent:
            if self.is_guilty(fingerprint, convicted, now):
                return fingerprint
        return None

    def is_guilty(
        self,
        fingerprint: fingerprints.Fingerprint,
        convicted: set[fingerprints.Fingerprint],
        now: float,
    ) -> bool:
        """Return whether the evidence against a suspect suffices."""
        held = self.suspected[fingerprint]
        unexplained = self.unexplained(held, convicted, now)
        if not unexplained:
            return False
        count = self.chain(fingerprint, unexplained)
        in_all = self.chain(fingerprint, held)
        if count >= CRASHES_CONTESTED or in_all >= CRASHES_AT_MOST:
            return True
        if self.is_contested(fingerprint, unexplained, now):
            return False
        return count >= CRASHES_TO_CONVICT or in_all >= CRASHES_WITH_OTHERS

    def unexplained(
        self,
        held: set[crashes.EndpointKey],
        convicted: set[fingerprints.Fingerprint],
        now: float,
    ) -> set[crashes.EndpointKey]:
        """Return the crashes at which no convicted request was in flight.

        Where one was at others, it may yet be reported for the newest.
        """
        found = {
            endpoint
            for endpoint in held
            if convicted.isdisjoint(self.known[endpoint].suspects)
        }
        if len(found) == len(held):
            return found
        return {e for e in found if self.known[e].is_complete(now)}

    def is_contested(
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
        needed = 1 if any(not crash.was_shared for crash in alone) else 2
        if len(alone) >= min(len(known), needed) and len(
            alone
        ) * CRASHES_CONTESTED >= len(known):
            return False
        newest_at = max(crash.reported_at for crash in known)
        return is_repeated or now < newest_at + ANSWERS_S

    @staticmethod
    def decides(alone: list[KnownCrash], count: int) -> bool:
        """Return whether crashes without other suspects prove enough.

        Where the other suspects of a single one have been answered since, the
        request that caused it may not have been reported.
        """
        if len(alone) * CRASHES_CONTESTED < count:
            return False
        if any(not crash.was_shared for crash in alone):
            return True
        return len(alone) >= SHARED_TO_CONVICT

    def chain(
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
            if sent_at >= last_crash - ORDER_SLACK_S:
                count += 1
                last_crash = crash.at
        return count * (OUTPUT_WEIGHT if self.has_output(fingerprint) else 1.0)

    def has_output(self, fingerprint: fingerprints.Fingerprint) -> bool:
        """Return whether a suspect had begun to answer at any crash."""
        return any(
            self.known[endpoint].suspects[fingerprint].has_output
            for endpoint in self.suspected[fingerprint]
        )


def crash_time(crash: KnownCrash) -> float:
    """Return when a crash was seen first."""
    return crash.at


def merge(
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
