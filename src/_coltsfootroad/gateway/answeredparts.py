"""Remembers which parts of prompts endpoints have answered lately."""

import collections
from collections.abc import Iterable

import attrs

from _coltsfootroad.core import fingerprints
from _coltsfootroad.core import promptparts

MAX_ANSWERS = 512
# Longer headers are not kept, which bounds the memory.
MAX_HEADER_CHARS = 1_024
# Interval between reports of answers to one watched part.
REPORT_INTERVAL_S = 1.0


@attrs.frozen
class Answer:
    """An answer: when it was whole, and to which parts of a workspace."""

    at: float
    workspace: str
    header: str

    def features(self) -> dict[fingerprints.Fingerprint, str]:
        """Return the fingerprints of the parts that were answered."""
        return fingerprints.of_parts(
            promptparts.shared_parts(self.header), self.workspace
        )


@attrs.define
class AnsweredParts:
    """Recent answers, and those to watched parts that are not reported yet.

    An answer costs one entry in a list while no part is watched.

    Attributes:
        recent: Newest answers, oldest first.
        watched: Parts whose answers are to be reported.
        unreported: Time of the newest unreported answer by watched part.
        reported_at: Time of the last report by watched part.
    """

    recent: collections.deque = attrs.Factory(
        lambda: collections.deque(maxlen=MAX_ANSWERS)
    )
    watched: set[fingerprints.Fingerprint] = attrs.Factory(set)
    unreported: dict[fingerprints.Fingerprint, float] = attrs.Factory(dict)
    reported_at: dict[fingerprints.Fingerprint, float] = attrs.Factory(dict)

    def on_answer(self, workspace: str, header: str, now: float) -> bool:
        """Record an answer; return whether there is something to report."""
        if not header or len(header) > MAX_HEADER_CHARS:
            return False
        answer = Answer(now, workspace, header)
        self.recent.append(answer)
        if not self.watched:
            return False
        due = [
            feature
            for feature in answer.features()
            if feature in self.watched
            and now
            >= self.reported_at.get(feature, float("-inf")) + REPORT_INTERVAL_S
        ]
        self.unreported.update(dict.fromkeys(due, now))
        return bool(due)

    def watch(self, added: Iterable[fingerprints.Fingerprint]) -> None:
        """Watch parts, and report the newest answers to them so far."""
        new = set(added)
        self.watched |= new
        for answer in reversed(self.recent):
            if not new:
                return
            for feature in new.intersection(answer.features()):
                self.unreported[feature] = answer.at
                new.discard(feature)

    def unwatch(self, removed: Iterable[fingerprints.Fingerprint]) -> None:
        """Stop to watch parts."""
        for feature in removed:
            self.watched.discard(feature)
            self.unreported.pop(feature, None)
            self.reported_at.pop(feature, None)

    def on_reported(
        self, answers: dict[fingerprints.Fingerprint, float], now: float
    ) -> None:
        """Record that the leader has acknowledged some answers."""
        for feature, at in answers.items():
            if feature in self.watched:
                self.reported_at[feature] = now
            if self.unreported.get(feature) == at:
                del self.unreported[feature]
