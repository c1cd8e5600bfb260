"""The replicated log in memory, after its snapshot."""

import enum

import attrs

from _coltsfootroad.control import replicas
from _coltsfootroad.core import errors


class EntryKind(enum.IntEnum):
    """What a log entry holds."""

    NOOP = 0
    COMMAND = 1
    REPLICAS = 2


@attrs.frozen(kw_only=True)
class Entry:
    """One log entry; `at` is unix seconds of the leader that accepted it."""

    term: int
    index: int
    kind: EntryKind
    at: float = 0.0
    data: bytes = b""
    replica_set: replicas.ReplicaSet | None = None


@attrs.frozen(kw_only=True)
class SnapshotMeta:
    """Where a snapshot ends, and the replicas at that point."""

    index: int = 0
    term: int = 0
    replica_set: replicas.ReplicaSet = replicas.ReplicaSet()
    size: int = 0


@attrs.define
class Log:
    """Entries after a snapshot; indexes start at 1."""

    snapshot: SnapshotMeta = SnapshotMeta()
    entries: list[Entry] = attrs.Factory(list)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Return the term at an index, None when it is not known."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.snapshot.index < index <= self.last_index:
            return self.entries[index - self.snapshot.index - 1].term
        return None

    def last_index_within(self, index: int, term: int) -> int:
        """Return the largest index up to `index` whose term is at most `term`.

        Two logs that differ at an index agree at none whose term is later
        than both terms there, so a search for their common part can skip it.
        """
        index = min(index, self.last_index)
        while index > self.snapshot.index and self.term_at(index) > term:
            index -= 1
        return index

    def entry(self, index: int) -> Entry:
        """Return the entry at an index that is in the log."""
        if not self.snapshot.index < index <= self.last_index:
            raise errors.BrokenInvariantError(
                f"entry {index} is not between snapshot"
                f" {self.snapshot.index} and end {self.last_index}"
            )
        return self.entries[index - self.snapshot.index - 1]

    def slice(self, first: int, max_bytes: int) -> tuple[Entry, ...]:
        """Return entries from `first` on, at least one if there is any."""
        found: list[Entry] = []
        size = 0
        for entry in self.entries[first - self.snapshot.index - 1 :]:
            size += len(entry.data) + ENTRY_OVERHEAD
            if found and size > max_bytes:
                break
            found.append(entry)
        return tuple(found)

    def append(self, entry: Entry) -> None:
        """Add the next entry."""
        if entry.index != self.last_index + 1:
            raise errors.BrokenInvariantError(
                f"entry {entry.index} does not follow {self.last_index}"
            )
        self.entries.append(entry)

    def truncate_from(self, index: int) -> None:
        """Drop the entries from `index` on."""
        del self.entries[index - self.snapshot.index - 1 :]

    def replica_set(self) -> replicas.ReplicaSet:
        """Return the newest set in the log; it holds once appended."""
        for entry in reversed(self.entries):
            if entry.kind is EntryKind.REPLICAS:
                return entry.replica_set
        return self.snapshot.replica_set

    def replica_set_at(self, index: int) -> replicas.ReplicaSet:
        """Return the set that was in force at an index."""
        for entry in reversed(self.entries):
            if entry.index <= index and entry.kind is EntryKind.REPLICAS:
                return entry.replica_set
        return self.snapshot.replica_set

    def compact(self, meta: SnapshotMeta) -> None:
        """Drop the entries that a snapshot covers."""
        if meta.index <= self.snapshot.index:
            return
        self.entries = self.entries[meta.index - self.snapshot.index :]
        self.snapshot = meta

    def restore(self, meta: SnapshotMeta) -> None:
        """Start anew from a snapshot that reaches beyond the log."""
        self.entries = []
        self.snapshot = meta


ENTRY_OVERHEAD = 64
