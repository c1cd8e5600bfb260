"""Finds features, shared by requests, that crash the endpoints that run them.

Requests that differ in content may crash endpoints by something that they have
in common, such as a part of their prompts. Each such request may be the first
and last with its content, so the evidence has to be kept by feature.
"""

from collections.abc import Collection
from collections.abc import Iterable

import attrs

from _coltsfootroad.core import crashes
from _coltsfootroad.core import crashrecord
from _coltsfootroad.core import fingerprints

# Endpoints that requests with a feature have to crash in sequence.
MIN_CRASHES = 4
# Crashes that count for one content: more are evidence against that content
# alone, and a request and its retry reach two endpoints.
MAX_CRASHES_PER_CONTENT = 2
# Crashes in other workspaces than the most frequent one that extend a
# quarantine to all workspaces. A single one may have been a bystander's.
MIN_CRASHES_ELSEWHERE = 2
# A feature that was answered this recently is no culprit.
RECENT_ANSWER_S = 5.0
# Time for gateways to report answers to a suspect that they did not watch.
WATCH_DELAY_S = 0.3
# With a rival that has this share of its blame, a culprit has to keep the most
# blame for a while: further crashes and answers tell them apart.
RIVAL_SHARE = 0.75
RIVAL_DELAY_S = 1.0
# Crashes after which all gateways report answers.
CRASHES_TO_WATCH = 2
MAX_WATCHED = 64
# Newest crashes that are searched, which bounds the time of a search.
MAX_SEARCHED_CRASHES = 64
SEARCH_INTERVAL_S = 0.05
# Time after a crash in which the age of answers and rivals may change what is
# found.
MAX_DECISION_S = RECENT_ANSWER_S + RIVAL_DELAY_S + 0.5
MAX_ANSWERED = 4_096
NEVER = float("-inf")


@attrs.define
class Evidence:
    """Crashes since the last answer to requests with a feature.

    Attributes:
        label: The feature as callers state it.
        endpoints: Incarnations that crashed in sequence.
        blame: Their number, where each is divided among the requests with the
            feature that were in flight.
        last_crash_at: Time of the last of them.
        contents: Number of counted crashes by content.
        workspaces: Number of counted crashes by workspace.
    """

    label: str
    endpoints: list[crashes.EndpointKey] = attrs.Factory(list)
    blame: float = 0.0
    last_crash_at: float = NEVER
    contents: dict[fingerprints.Fingerprint, int] = attrs.Factory(dict)
    workspaces: dict[str, int] = attrs.Factory(dict)

    def add(
        self,
        endpoint: crashes.EndpointKey,
        crash_at: float,
        suspects: list[crashes.Suspect],
    ) -> None:
        """Count a crash unless it says nothing new about the feature."""
        newest_sent = max(suspect.sent_at for suspect in suspects)
        if newest_sent < self.last_crash_at - crashrecord.CLOCK_SLACK_S:
            return
        content = min(
            (suspect.fingerprint for suspect in suspects),
            key=lambda fingerprint: self.contents.get(fingerprint, 0),
        )
        count = self.contents.get(content, 0)
        if count >= MAX_CRASHES_PER_CONTENT:
            return
        self.contents[content] = count + 1
        workspace = content.workspace
        self.workspaces[workspace] = self.workspaces.get(workspace, 0) + 1
        self.endpoints.append(endpoint)
        self.blame += 1 / len(suspects)
        self.last_crash_at = crash_at

    def is_in_several_workspaces(self) -> bool:
        """Return whether more than one workspace has shown the feature."""
        most = max(self.workspaces.values())
        return len(self.endpoints) - most >= MIN_CRASHES_ELSEWHERE


@attrs.frozen(kw_only=True)
class FeatureCulprit:
    """A feature that is held responsible for crashes.

    Attributes:
        fingerprint: Fingerprint of the feature.
        label: The feature as callers state it.
        endpoints: Incarnations that crashed with it in flight.
        contents: Number of different contents that had it.
        answered_ago_s: Seconds since the last answer, None if none is known.
    """

    fingerprint: fingerprints.Fingerprint
    label: str
    endpoints: tuple[crashes.EndpointKey, ...]
    contents: int
    answered_ago_s: float | None


EvidenceByFeature = dict[fingerprints.Fingerprint, Evidence]


@attrs.define
class SharedFeatures:
    """Finds culprits among the shared features of requests.

    A feature is a culprit if requests with it, and no others, account best for
    the crashes: several endpoints in sequence crashed with it in flight, nobody
    got an answer meanwhile, and no other feature has as much blame. A feature
    of many requests is in flight at each crash as well, but has less blame, as
    other requests with it are in flight beside.

    Attributes:
        record: Crashes with the requests that were in flight.
        answered: Time of the newest answer by feature.
        watched_since: Features whose answers all gateways report.
        leading: The features with the most blame, and since when they have it.
        leading_since: Time since which `leading` has not changed.
        searched_at: Time of the last search.
    """

    record: crashrecord.CrashRecord
    answered: dict[fingerprints.Fingerprint, float] = attrs.Factory(dict)
    watched_since: dict[fingerprints.Fingerprint, float] = attrs.Factory(dict)
    leading: tuple[fingerprints.Fingerprint, ...] = ()
    leading_since: float = NEVER
    searched_at: float = NEVER

    def on_answer(self, feature: fingerprints.Fingerprint, at: float) -> None:
        """Record an answer to a request with a feature."""
        at = max(at, self.answered.pop(feature, NEVER))
        self.answered[feature] = at
        while len(self.answered) > MAX_ANSWERED:
            del self.answered[next(iter(self.answered))]

    def is_search_due(self, now: float) -> bool:
        """Return whether a search may be repeated."""
        return now >= self.searched_at + SEARCH_INTERVAL_S

    def is_undecided(self, now: float) -> bool:
        """Return whether time may decide on the crashes recorded so far."""
        newest = next(reversed(self.record.known.values()), None)
        return (
            newest is not None
            and bool(newest.suspects)
            and now < newest.reported_at + MAX_DECISION_S
            and self.is_search_due(now)
        )

    # --- evidence ----------------------------------------------------------

    def collect(
        self, culprits: Collection[fingerprints.Fingerprint], now: float
    ) -> EvidenceByFeature:
        """Return the evidence of the newest crashes that are fully reported."""
        newest = list(self.record.known.items())[-MAX_SEARCHED_CRASHES:]
        found: EvidenceByFeature = {}
        for endpoint, crash in sorted(newest, key=lambda item: item[1].at):
            if not crash.is_complete(now):
                continue
            self.add_crash(found, endpoint, crash, culprits)
        return found

    def add_crash(
        self,
        found: EvidenceByFeature,
        endpoint: crashes.EndpointKey,
        crash: crashrecord.KnownCrash,
        culprits: Collection[fingerprints.Fingerprint],
    ) -> None:
        """Add a crash to the evidence against the features in flight at it."""
        carriers, labels = group_by_feature(crash.suspects.values())
        guilty = [feature for feature in carriers if feature in culprits]
        guilty_contents = [
            fingerprint
            for fingerprint in crash.suspects
            if fingerprint in culprits
        ]
        for feature, suspects in carriers.items():
            if is_explained(feature, guilty):
                continue
            if guilty_contents:
                suspects = [
                    suspect
                    for suspect in suspects
                    if suspect.fingerprint in guilty_contents
                ]
            answered_at = self.answered.get(feature, NEVER)
            suspects = [s for s in suspects if s.sent_at > answered_at]
            if suspects:
                evidence = found.setdefault(feature, Evidence(labels[feature]))
                evidence.add(endpoint, crash.at, suspects)

    def candidates(
        self, culprits: Collection[fingerprints.Fingerprint], now: float
    ) -> EvidenceByFeature:
        """Return the features that may be culprits, with their evidence."""
        return {
            feature: evidence
            for feature, evidence in self.collect(culprits, now).items()
            if feature not in culprits
            and len(evidence.endpoints) >= CRASHES_TO_WATCH
            and (
                feature.workspace != fingerprints.ANY_WORKSPACE
                or evidence.is_in_several_workspaces()
            )
        }

    def watch(self, candidates: EvidenceByFeature, now: float) -> None:
        """Update the features whose answers all gateways should report."""
        found = sorted(candidates, key=lambda f: -candidates[f].blame)
        self.watched_since = {
            feature: self.watched_since.get(feature, now)
            for feature in found[:MAX_WATCHED]
        }

    # --- culprits ----------------------------------------------------------

    def find_culprits(
        self, known_culprits: Collection[fingerprints.Fingerprint], now: float
    ) -> list[FeatureCulprit]:
        """Return the culprits that are not in `known_culprits` yet."""
        self.searched_at = now
        known = set(known_culprits)
        found: list[FeatureCulprit] = []
        while True:
            candidates = self.candidates(known, now)
            self.watch(candidates, now)
            culprits = self.next_culprits(candidates, now)
            if not culprits:
                return found
            known.update(culprit.fingerprint for culprit in culprits)
            found += culprits

    def next_culprits(
        self, candidates: EvidenceByFeature, now: float
    ) -> list[FeatureCulprit]:
        """Return the next culprit, or several that nothing tells apart."""
        candidates = {
            feature: evidence
            for feature, evidence in candidates.items()
            if now >= self.answered.get(feature, NEVER) + RECENT_ANSWER_S
        }
        if not candidates:
            self.set_leading((), now)
            return []
        leading = self.find_leading(candidates)
        self.set_leading(leading, now)
        evidence = candidates[leading[0]]
        if len(evidence.endpoints) < MIN_CRASHES:
            return []
        if any(
            now < self.watched_since.get(feature, now) + WATCH_DELAY_S
            for feature in leading
        ):
            return []
        if (
            has_rival(candidates, leading)
            and now < self.leading_since + RIVAL_DELAY_S
        ):
            return []
        return [
            self.culprit(feature, candidates[feature], now)
            for feature in leading
        ]

    def find_leading(
        self, candidates: EvidenceByFeature
    ) -> tuple[fingerprints.Fingerprint, ...]:
        """Return the feature with the most blame, and all that equal it.

        Of features that share all crashes, those that nobody ever answered are
        returned.
        """
        top = max(candidates, key=lambda feature: candidates[feature].blame)
        equal = [
            feature
            for feature, evidence in candidates.items()
            if evidence.blame == candidates[top].blame
            and evidence.endpoints == candidates[top].endpoints
        ]
        unanswered = [f for f in equal if f not in self.answered]
        return tuple(unanswered or equal)

    def set_leading(
        self, leading: tuple[fingerprints.Fingerprint, ...], now: float
    ) -> None:
        """Record the features with the most blame."""
        if leading != self.leading:
            self.leading = leading
            self.leading_since = now

    def culprit(
        self, feature: fingerprints.Fingerprint, evidence: Evidence, now: float
    ) -> FeatureCulprit:
        """Return a feature as a culprit."""
        answered_at = self.answered.get(feature)
        return FeatureCulprit(
            fingerprint=feature,
            label=evidence.label,
            endpoints=tuple(evidence.endpoints),
            contents=len(evidence.contents),
            answered_ago_s=None if answered_at is None else now - answered_at,
        )


def group_by_feature(
    suspects: Iterable[crashes.Suspect],
) -> tuple[
    dict[fingerprints.Fingerprint, list[crashes.Suspect]],
    dict[fingerprints.Fingerprint, str],
]:
    """Return suspects by each of their features, and the features' labels."""
    carriers: dict[fingerprints.Fingerprint, list[crashes.Suspect]] = {}
    labels: dict[fingerprints.Fingerprint, str] = {}
    for suspect in suspects:
        features = fingerprints.of_parts(
            suspect.parts, suspect.fingerprint.workspace
        )
        for feature, label in features.items():
            carriers.setdefault(feature, []).append(suspect)
            labels[feature] = label
    return carriers, labels


def is_explained(
    feature: fingerprints.Fingerprint,
    guilty: Collection[fingerprints.Fingerprint],
) -> bool:
    """Return whether other features in flight explain a crash.

    The same feature in one workspace does not: it may be guilty in all.
    """
    return any(
        other != feature
        and (
            other.digest != feature.digest
            or feature.workspace != fingerprints.ANY_WORKSPACE
        )
        for other in guilty
    )


def has_rival(
    candidates: EvidenceByFeature,
    leading: tuple[fingerprints.Fingerprint, ...],
) -> bool:
    """Return whether another feature has nearly as much blame."""
    enough = RIVAL_SHARE * candidates[leading[0]].blame
    digests = {feature.digest for feature in leading}
    return any(
        evidence.blame >= enough
        for feature, evidence in candidates.items()
        if feature.digest not in digests
    )
