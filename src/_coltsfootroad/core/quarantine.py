"""Quarantine of requests that crash the endpoints that run them.

The table is part of the replicated state: an entry has cost three endpoints,
so neither a leader's crash nor a cold restart of the cluster may lose it.
Gateways hold a copy.
"""

import collections

import attrs

from _coltsfootroad.core import fingerprints

# Time before a refused request may run as a trial. It doubles with each trial.
FIRST_TRIAL_DELAY_S = 60.0
# Trials of an entry. After the last one only an operator can end it.
MAX_TRIALS = 3
# A workspace with more entries evicts its own oldest ones, so that it cannot
# evict those of other workspaces.
MAX_PER_WORKSPACE = 64
MAX_ENTRIES = 1_024
# Crashed endpoints that an entry names, for operators.
MAX_ENDPOINTS = 8


@attrs.frozen(kw_only=True)
class Entry:
    """A fingerprint that is refused.

    Attributes:
        fingerprint: The content that is refused.
        reason: Reason for operators.
        crashes: Number of endpoints that had crashed when it was added.
        endpoints: Names of some of them.
        since: Time at which it was added, in unix seconds.
        trial_at: Time from which one trial may run, in unix seconds; None if
            no trial is left.
        trials: Number of trials that were started.
    """

    fingerprint: fingerprints.Fingerprint
    reason: str
    crashes: int = 0
    endpoints: tuple[str, ...] = ()
    since: float
    trial_at: float | None
    trials: int = 0

    def allows_trial(self, unix_s: float) -> bool:
        """Return whether a trial may start."""
        return self.trial_at is not None and unix_s >= self.trial_at


def trial_time(trials: int, unix_s: float) -> float | None:
    """Return the time of the trial after `trials` trials, None for never."""
    if trials >= MAX_TRIALS:
        return None
    return unix_s + FIRST_TRIAL_DELAY_S * 2**trials


@attrs.define
class QuarantineTable:
    """The entries by fingerprint, oldest first.

    Attributes:
        entries: The refused content.
        revision: Increases with each change; not part of snapshots.
    """

    entries: dict[fingerprints.Fingerprint, Entry] = attrs.Factory(dict)
    revision: int = 0

    def add(
        self,
        fingerprint: fingerprints.Fingerprint,
        reason: str,
        crashes: int,
        endpoints: tuple[str, ...],
        unix_s: float,
    ) -> Entry:
        """Add an entry unless there is one, and return it."""
        if fingerprint in self.entries:
            return self.entries[fingerprint]
        entry = Entry(
            fingerprint=fingerprint,
            reason=reason,
            crashes=crashes,
            endpoints=endpoints[:MAX_ENDPOINTS],
            since=unix_s,
            trial_at=trial_time(0, unix_s),
        )
        self.entries[fingerprint] = entry
        self.evict(fingerprint.workspace)
        self.revision += 1
        return entry

    def evict(self, workspace: str) -> None:
        """Drop the oldest entries beyond the bounds."""
        own = [f for f in self.entries if f.workspace == workspace]
        for fingerprint in own[: max(0, len(own) - MAX_PER_WORKSPACE)]:
            del self.entries[fingerprint]
        while len(self.entries) > MAX_ENTRIES:
            del self.entries[next(iter(self.entries))]

    def start_trial(
        self, fingerprint: fingerprints.Fingerprint, unix_s: float
    ) -> bool:
        """Grant a trial if one is due, and schedule the next one.

        The next one is scheduled before the outcome is known: a gateway that
        is lost during the trial must not leave the entry open.
        """
        entry = self.entries.get(fingerprint)
        if entry is None or not entry.allows_trial(unix_s):
            return False
        trials = entry.trials + 1
        self.entries[fingerprint] = attrs.evolve(
            entry, trials=trials, trial_at=trial_time(trials, unix_s)
        )
        self.revision += 1
        return True

    def end(self, fingerprint: fingerprints.Fingerprint) -> bool:
        """Remove an entry; return whether there was one."""
        if self.entries.pop(fingerprint, None) is None:
            return False
        self.revision += 1
        return True

    def restore(self, entries: tuple[Entry, ...]) -> None:
        """Fill the table from a snapshot."""
        self.entries = {entry.fingerprint: entry for entry in entries}
        self.revision += 1


@attrs.frozen(kw_only=True)
class ViewChange:
    """Effect of a page of changes on a copy."""

    new: tuple[Entry, ...] = ()
    ended: tuple[fingerprints.Fingerprint, ...] = ()


@attrs.define
class QuarantineView:
    """A gateway's copy of the entries.

    Attributes:
        entries: The refused content.
        sizes: Number of entries by workspace and length of the body. Requests
            of other sizes need no fingerprint.
        unconfirmed: Entries that the full sync in progress has not named yet.
    """

    entries: dict[fingerprints.Fingerprint, Entry] = attrs.Factory(dict)
    sizes: collections.Counter = attrs.Factory(collections.Counter)
    unconfirmed: set[fingerprints.Fingerprint] = attrs.Factory(set)

    def may_hold(self, workspace: str, body_bytes: int) -> bool:
        """Return whether a request of this size may be refused."""
        return self.sizes[workspace, body_bytes] > 0 if self.sizes else False

    def may_hold_parts(self, workspace: str) -> bool:
        """Return whether a request may be refused for a part of its prompt."""
        return any(
            self.may_hold(scope, fingerprints.PART_BODY_BYTES)
            for scope in (workspace, fingerprints.ANY_WORKSPACE)
        )

    def learn(
        self,
        added: tuple[Entry, ...],
        ended: tuple[fingerprints.Fingerprint, ...],
        whole: bool,
        more: bool,
    ) -> ViewChange:
        """Apply a page of changes; return the entries that are new or ended.

        An entry that a full sync leaves out is kept until its last page.
        """
        if whole:
            self.unconfirmed = set(self.entries)
        new = []
        for entry in added:
            self.unconfirmed.discard(entry.fingerprint)
            if entry.fingerprint not in self.entries:
                self.sizes[size_of(entry.fingerprint)] += 1
                new.append(entry)
            self.entries[entry.fingerprint] = entry
        gone = list(ended)
        if not more:
            gone += self.unconfirmed
            self.unconfirmed = set()
        removed = [
            fingerprint for fingerprint in gone if self.remove(fingerprint)
        ]
        return ViewChange(new=tuple(new), ended=tuple(removed))

    def remove(self, fingerprint: fingerprints.Fingerprint) -> bool:
        """Remove an entry; return whether there was one."""
        if self.entries.pop(fingerprint, None) is None:
            return False
        size = size_of(fingerprint)
        self.sizes[size] -= 1
        if not self.sizes[size]:
            del self.sizes[size]
        return True


def size_of(fingerprint: fingerprints.Fingerprint) -> tuple[str, int]:
    """Return the key of `QuarantineView.sizes`, which needs no digest."""
    return fingerprint.workspace, fingerprint.body_bytes
