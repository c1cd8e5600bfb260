"""Merges the reports of all observers of endpoint crashes."""

import attrs

from _coltsfootroad.core import crashes
from _coltsfootroad.core import fingerprints

# All observers of a crash report it within this time of the first report.
REPORT_DELAY_S = 0.05
# A send up to this long before a crash counts as sent after it, as clocks are
# compared over messages with some delay.
CLOCK_SLACK_S = 0.03
# Older crashes are no evidence.
EVIDENCE_WINDOW_S = 600.0
MAX_CRASHES = 1_024
# Above the batch slots of an engine and the busy connections of a plain
# endpoint.
MAX_SUSPECTS = 512
MAX_CLEARED = 4_096
# A stopped send counts as in flight at a crash up to this long afterwards, as
# the endpoint may still run the request.
STOPPED_SEND_WINDOW_S = 2.0
# A send to an incarnation that its gateway did not know yet counts as in flight
# at a crash of the same endpoint up to this long afterwards.
UNKNOWN_INCARNATION_WINDOW_S = 5.0


@attrs.define
class FeatureSuspects:
    """The requests with one feature that were in flight at a crash.

    Attributes:
        label: The feature as callers state it.
        suspects: The requests.
    """

    label: str
    suspects: list[crashes.Suspect] = attrs.Factory(list)


@attrs.define
class KnownCrash:
    """A crash as merged from the reports of all observers.

    Attributes:
        at: Time at which the first observer saw it.
        reported_at: Time of the first report.
        suspects: Requests that were in flight, by fingerprint.
        was_shared: Whether a request that was in flight has been cleared.
        by_feature: Cached result of `group_by_feature`, None if outdated.
    """

    at: float
    reported_at: float = float("-inf")
    suspects: dict[fingerprints.Fingerprint, crashes.Suspect] = attrs.Factory(
        dict
    )
    was_shared: bool = False
    by_feature: dict[fingerprints.Fingerprint, FeatureSuspects] | None = None

    def put(self, suspect: crashes.Suspect) -> None:
        """Add or replace a request that was in flight."""
        self.suspects[suspect.fingerprint] = suspect
        self.by_feature = None

    def drop(self, fingerprint: fingerprints.Fingerprint) -> None:
        """Remove a request that has been cleared."""
        del self.suspects[fingerprint]
        self.by_feature = None
        self.was_shared = True

    def group_by_feature(
        self,
    ) -> dict[fingerprints.Fingerprint, FeatureSuspects]:
        """Return the requests that were in flight by each of their features."""
        if self.by_feature is None:
            self.by_feature = {}
            for suspect in self.suspects.values():
                features = fingerprints.of_parts(
                    suspect.parts, suspect.fingerprint.workspace
                )
                for feature, label in features.items():
                    self.by_feature.setdefault(
                        feature, FeatureSuspects(label)
                    ).suspects.append(suspect)
        return self.by_feature

    def has_feature(
        self,
        features: set[fingerprints.Fingerprint],
        suspect: fingerprints.Fingerprint,
    ) -> bool:
        """Return whether one of some features was in flight.

        Features that a suspect has itself do not count.
        """
        own = fingerprints.of_parts(
            self.suspects[suspect].parts, suspect.workspace
        )
        return any(
            feature in features and feature not in own
            for feature in self.group_by_feature()
        )

    def is_complete(self, now: float) -> bool:
        """Return whether all observers have had time to report it."""
        return now >= self.reported_at + REPORT_DELAY_S


@attrs.define
class CrashRecord:
    """Crashes by incarnation, with the requests that were in flight.

    Attributes:
        known: Crashes, oldest report first.
        suspected: Crashes by suspect.
        cleared: Time of the last answer, by suspect.
        stopped: Sends that gateways stopped, by incarnation.
        unknown_incarnation_sends: Suspects by endpoint that were sent after the
            crash with which they were reported, to an incarnation that their
            gateway did not know.
    """

    known: dict[crashes.EndpointKey, KnownCrash] = attrs.Factory(dict)
    suspected: dict[fingerprints.Fingerprint, set[crashes.EndpointKey]] = (
        attrs.Factory(dict)
    )
    cleared: dict[fingerprints.Fingerprint, float] = attrs.Factory(dict)
    stopped: dict[crashes.EndpointKey, KnownCrash] = attrs.Factory(dict)
    unknown_incarnation_sends: dict[
        str, dict[fingerprints.Fingerprint, crashes.Suspect]
    ] = attrs.Factory(dict)

    def record(self, crash: crashes.Crash, now: float) -> None:
        """Merge the report of one observer; a repeated report has no effect."""
        self.expire(now)
        if now - crash.at > EVIDENCE_WINDOW_S:
            return
        merged = self.known.setdefault(
            crash.endpoint, KnownCrash(crash.at, reported_at=now)
        )
        merged.at = min(merged.at, crash.at)
        for suspect in crash.suspects:
            if suspect.sent_at > crash.at + CLOCK_SLACK_S:
                self.record_unknown_incarnation(crash.endpoint, suspect)
            else:
                self.add_suspect(crash.endpoint, merged, suspect)
        self.add_stopped(crash.endpoint)
        self.add_unknown_incarnation(crash.endpoint)
        while len(self.known) > MAX_CRASHES:
            self.forget(next(iter(self.known)))

    def record_stopped(self, stop: crashes.Crash) -> None:
        """Record stopped sends, which the endpoint may still run.

        If the endpoint crashes soon afterwards, they may have caused it, though
        the crash broke no connection of theirs.
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
        """Add stopped sends to the requests in flight at a crash."""
        crash, stop = self.known.get(endpoint), self.stopped.get(endpoint)
        if (
            crash is None
            or stop is None
            or crash.at > stop.at + STOPPED_SEND_WINDOW_S
        ):
            return
        for suspect in stop.suspects.values():
            self.add_suspect(endpoint, crash, suspect)

    def record_unknown_incarnation(
        self, endpoint: crashes.EndpointKey, suspect: crashes.Suspect
    ) -> None:
        """Record a send to a later incarnation than the reported one."""
        held = self.unknown_incarnation_sends.setdefault(endpoint.endpoint, {})
        if len(held) < MAX_SUSPECTS:
            held[suspect.fingerprint] = suspect
        while len(self.unknown_incarnation_sends) > MAX_CRASHES:
            del self.unknown_incarnation_sends[
                next(iter(self.unknown_incarnation_sends))
            ]
        for known in list(self.known):
            if known.endpoint == endpoint.endpoint:
                self.add_unknown_incarnation(known)

    def add_unknown_incarnation(self, endpoint: crashes.EndpointKey) -> None:
        """Add sends to an unknown incarnation to those in flight at a crash."""
        crash = self.known[endpoint]
        for suspect in self.unknown_incarnation_sends.get(
            endpoint.endpoint, {}
        ).values():
            in_flight_s = crash.at - suspect.sent_at
            if -CLOCK_SLACK_S <= in_flight_s <= UNKNOWN_INCARNATION_WINDOW_S:
                self.add_suspect(endpoint, crash, suspect)

    def add_suspect(
        self,
        endpoint: crashes.EndpointKey,
        crash: KnownCrash,
        suspect: crashes.Suspect,
    ) -> None:
        """Add a request that was in flight at a crash."""
        fingerprint = suspect.fingerprint
        cleared_at = self.cleared.get(fingerprint)
        if cleared_at is not None and suspect.sent_at <= cleared_at:
            return
        known = crash.suspects.get(fingerprint)
        if known is None and len(crash.suspects) >= MAX_SUSPECTS:
            return
        crash.put(merge_suspects(known, suspect))
        self.suspected.setdefault(fingerprint, set()).add(endpoint)

    def clear(self, fingerprint: fingerprints.Fingerprint, now: float) -> None:
        """Drop all evidence against a request that was answered completely."""
        for endpoint in self.suspected.pop(fingerprint, ()):
            self.known[endpoint].drop(fingerprint)
        self.cleared.pop(fingerprint, None)
        self.cleared[fingerprint] = now
        while len(self.cleared) > MAX_CLEARED:
            del self.cleared[next(iter(self.cleared))]

    def expire(self, now: float) -> None:
        """Drop crashes beyond the evidence window, the oldest reports first."""
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
    """Merge two sends of a request to one endpoint."""
    if known is None:
        return suspect
    return attrs.evolve(
        suspect,
        sent_at=max(known.sent_at, suspect.sent_at),
        has_output=known.has_output or suspect.has_output,
    )
