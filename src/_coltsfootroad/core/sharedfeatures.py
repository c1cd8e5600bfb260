"""Finds features, shared by requests, that crash the endpoints that run them.

Requests that differ in content may crash endpoints by something that they have
in common, such as a part of their prompts. Each such request may be the first
and last with its content, so the evidence has to be kept by feature.
"""

import collections
from collections.abc import Collection

import attrs

from _coltsfootroad.core import crashes
from _coltsfootroad.core import crashrecord
from _coltsfootroad.core import fingerprints

# Endpoints that requests with a feature have to crash in sequence.
MIN_CRASHES = 4
# Crashes that count for one content: more are evidence against that content
# alone, and a request and its retry reach two endpoints.
MAX_CRASHES_PER_CONTENT = 2
# The same if there were `MIN_TOTAL_CRASHES`, also at once, of one content, or
# with other culprits in flight.
MIN_CRASHES_OF_MANY = 3
MIN_TOTAL_CRASHES = 5
# Crashes without requests of the most frequent workspace that extend a
# quarantine to all workspaces. A single one may have had another cause.
MIN_CRASHES_ELSEWHERE = 2
# A feature that was answered this recently is no culprit: while all endpoints
# are down, nobody is answered.
RECENT_ANSWER_S = 30.0
# The same with so many crashes since.
RECENT_ANSWER_CONCLUSIVE_S = 5.0
CONCLUSIVE_CRASHES = 8
# Time for gateways to report answers to a suspect that they did not watch.
WATCH_DELAY_S = 0.3
# With a rival for most of the same crashes, a feature is a culprit only some
# time after it has crashed enough endpoints: further crashes and answers
# distinguish them. A rival has this share of its blame, at this share of its
# crashes.
RIVAL_SHARE = 0.75
RIVAL_OVERLAP = 0.5
RIVAL_DELAY_S = 1.0
# Crashes after which all gateways report answers.
CRASHES_TO_WATCH = 2
MAX_WATCHED = 64
# Contents with a feature from which on its crashes are no evidence against
# other contents.
MIN_SUSPECT_CONTENTS = 2
# Newest crashes that are searched, which bounds the time of a search.
MAX_SEARCHED_CRASHES = 64
SEARCH_INTERVAL_S = 0.1
# Culprits that one search finds; the next ones are found by the next search.
MAX_FOUND = 4
# Time after a crash in which the age of answers and rivals may change what is
# found.
MAX_DECISION_S = RECENT_ANSWER_CONCLUSIVE_S + RIVAL_DELAY_S + 0.5
MAX_ANSWERED = 4_096
NEVER = float("-inf")


@attrs.define
class Evidence:
    """Crashes since the last answer to requests with a feature.

    Attributes:
        label: The feature as callers state it.
        total: Number of all crashes.
        endpoints: Incarnations that crashed in sequence, a few by content.
        last_at: Time of the last crash in sequence.
        blame: Number of `endpoints`, where each is divided among the requests
            with the feature that were in flight.
        contents: Number of counted crashes by content.
        workspaces: Workspaces of the requests with the feature, for each crash.
    """

    label: str
    total: int = 0
    endpoints: list[crashes.EndpointKey] = attrs.Factory(list)
    last_at: float = NEVER
    blame: float = 0.0
    contents: dict[fingerprints.Fingerprint, int] = attrs.Factory(dict)
    workspaces: list[set[str]] = attrs.Factory(list)

    def add(
        self,
        endpoint: crashes.EndpointKey,
        crash_at: float,
        suspects: list[crashes.Suspect],
    ) -> None:
        """Count an unexplained crash unless it adds no evidence."""
        self.workspaces.append({s.fingerprint.workspace for s in suspects})
        newest_sent = max(suspect.sent_at for suspect in suspects)
        if newest_sent < self.last_at - crashrecord.CLOCK_SLACK_S:
            return
        self.last_at = crash_at
        content = suspects[0].fingerprint
        if len(suspects) > 1:
            content = min(
                (suspect.fingerprint for suspect in suspects),
                key=lambda fingerprint: self.contents.get(fingerprint, 0),
            )
        count = self.contents.get(content, 0)
        if count >= MAX_CRASHES_PER_CONTENT:
            return
        self.contents[content] = count + 1
        self.endpoints.append(endpoint)
        self.blame += 1 / len(suspects)

    def suffices(self) -> bool:
        """Return whether these are enough crashes for a culprit."""
        count = len(self.endpoints)
        if self.total >= MIN_TOTAL_CRASHES:
            return count >= MIN_CRASHES_OF_MANY
        return count >= MIN_CRASHES

    def is_in_several_workspaces(self) -> bool:
        """Return whether requests of one workspace cannot explain it all."""
        counts = collections.Counter(
            workspace for names in self.workspaces for workspace in names
        )
        ((most_frequent, _),) = counts.most_common(1)
        elsewhere = sum(most_frequent not in w for w in self.workspaces)
        return elsewhere >= MIN_CRASHES_ELSEWHERE


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
        suspects: Features of several contents that may be culprits.
        qualified_since: Features that have crashed enough endpoints.
        searched_at: Time of the last search.
    """

    record: crashrecord.CrashRecord
    answered: dict[fingerprints.Fingerprint, float] = attrs.Factory(dict)
    watched_since: dict[fingerprints.Fingerprint, float] = attrs.Factory(dict)
    suspects: frozenset[fingerprints.Fingerprint] = frozenset()
    qualified_since: dict[fingerprints.Fingerprint, float] = attrs.Factory(dict)
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
        """Return whether a later search may find more without new reports."""
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
        by_feature = crash.group_by_feature()
        guilty = [feature for feature in by_feature if feature in culprits]
        guilty_contents = [
            fingerprint
            for fingerprint in crash.suspects
            if fingerprint in culprits
        ]
        for feature, group in by_feature.items():
            answered_at = self.answered.get(feature, NEVER)
            suspects = [s for s in group.suspects if s.sent_at > answered_at]
            if not suspects:
                continue
            evidence = found.get(feature)
            if evidence is None:
                evidence = found[feature] = Evidence(group.label)
            evidence.total += 1
            if is_explained(feature, guilty):
                continue
            if guilty_contents:
                suspects = [
                    suspect
                    for suspect in suspects
                    if suspect.fingerprint in guilty_contents
                ]
            if suspects:
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
        """Update the features whose answers all gateways should report.

        Those that were just answered are left out, as each watch costs a report
        of every gateway.
        """
        silent = [
            feature
            for feature in candidates
            if now
            >= self.answered.get(feature, NEVER) + RECENT_ANSWER_CONCLUSIVE_S
        ]
        found = sorted(silent, key=lambda f: -candidates[f].blame)
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
        while len(found) < MAX_FOUND:
            candidates = self.candidates(known, now)
            self.watch(candidates, now)
            culprits = self.next_culprits(candidates, now)
            if not culprits:
                break
            known.update(culprit.fingerprint for culprit in culprits)
            found += culprits
        return found

    def next_culprits(
        self, candidates: EvidenceByFeature, now: float
    ) -> list[FeatureCulprit]:
        """Return the next culprit, or several with equal evidence."""
        candidates = {
            feature: evidence
            for feature, evidence in candidates.items()
            if not self.is_recently_answered(feature, evidence, now)
        }
        self.suspects = frozenset(
            feature
            for feature, evidence in candidates.items()
            if len(evidence.contents) >= MIN_SUSPECT_CONTENTS
        )
        self.qualified_since = {
            feature: self.qualified_since.get(feature, now)
            for feature, evidence in candidates.items()
            if evidence.suffices()
        }
        if not candidates:
            return []
        leading = self.find_leading(candidates)
        if not self.is_decided(candidates, leading, now):
            return []
        return [
            self.culprit(feature, candidates[feature], now)
            for feature in leading
        ]

    def is_recently_answered(
        self, feature: fingerprints.Fingerprint, evidence: Evidence, now: float
    ) -> bool:
        """Return whether an answer keeps a feature from being a culprit."""
        answered_ago_s = now - self.answered.get(feature, NEVER)
        if len(evidence.endpoints) >= CONCLUSIVE_CRASHES:
            return answered_ago_s < RECENT_ANSWER_CONCLUSIVE_S
        return answered_ago_s < RECENT_ANSWER_S

    def is_decided(
        self,
        candidates: EvidenceByFeature,
        leading: tuple[fingerprints.Fingerprint, ...],
        now: float,
    ) -> bool:
        """Return whether the features with the most blame are culprits."""
        first = leading[0]
        if first not in self.qualified_since:
            return False
        if any(
            now < self.watched_since.get(feature, now) + WATCH_DELAY_S
            for feature in leading
        ):
            return False
        return (
            not rivals(candidates, leading)
            or now >= self.qualified_since[first] + RIVAL_DELAY_S
        )

    def find_leading(
        self, candidates: EvidenceByFeature
    ) -> tuple[fingerprints.Fingerprint, ...]:
        """Return the feature with the most blame, and all that equal it.

        Among features with equal evidence, those without a known answer are
        preferred.
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


def rivals(
    candidates: EvidenceByFeature,
    leading: tuple[fingerprints.Fingerprint, ...],
) -> list[fingerprints.Fingerprint]:
    """Return the other features that may explain the same crashes."""
    first = candidates[leading[0]]
    digests = {feature.digest for feature in leading}
    return [
        feature
        for feature, evidence in candidates.items()
        if feature.digest not in digests
        and evidence.blame >= RIVAL_SHARE * first.blame
        and len(set(evidence.endpoints).intersection(first.endpoints))
        >= RIVAL_OVERLAP * len(first.endpoints)
    ]
