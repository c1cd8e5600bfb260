"""In-memory part of the replicated log: the entries after its snapshot."""

import enum

import attrs

from _coltsfootroad.control import replicas
from _coltsfootroad.core import errors


class EntryKind(enum.IntEnum):
    """Kind of a log entry."""

    NOOP = 0
    COMMAND = 1
    REPLICAS = 2


@attrs.frozen(kw_only=True)
class Entry:
    """One log entry.

    Attributes:
        term: Term of the leader that appended it.
        index: Position in the log, from 1.
        kind: What the entry holds.
        at: Unix seconds on the clock of the leader that appended it.
        data: Encoded command, empty for other kinds.
        replica_set: Replica set that applies from this entry on, for
            `REPLICAS` only.
    """

    term: int
    index: int
    kind: EntryKind
    at: float = 0.0
    data: bytes = b""
    replica_set: replicas.ReplicaSet | None = None


@attrs.frozen(kw_only=True)
class SnapshotMeta:
    """Metadata of a snapshot.

    Attributes:
        index: Index of the last entry that it covers.
        term: Term of that entry.
        replica_set: Replica set that applies at that entry.
        size: Size of the snapshot in bytes.
    """

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
        """Return the term of the entry at an index, None if not in the log."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.snapshot.index < index <= self.last_index:
            return self.entries[index - self.snapshot.index - 1].term
        return None

    def last_index_within(self, index: int, term: int) -> int:
        """Return the largest index up to `index` whose term is at most `term`.

        Narrows the search for the last matching entry of two logs, where `term`
        is the other log's term at `index`. Terms never decrease along a log, so
        an earlier entry of a greater term cannot match.
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
        """Append the next entry."""
        if entry.index != self.last_index + 1:
            raise errors.BrokenInvariantError(
                f"entry {entry.index} does not follow {self.last_index}"
            )
        self.entries.append(entry)

    def truncate_from(self, index: int) -> None:
        """Remove the entries from `index` on."""
        del self.entries[index - self.snapshot.index - 1 :]

    def replica_set(self) -> replicas.ReplicaSet:
        """Return the newest replica set; it applies once it is appended."""
        for entry in reversed(self.entries):
            if entry.kind is EntryKind.REPLICAS:
                return entry.replica_set
        return self.snapshot.replica_set

    def replica_set_at(self, index: int) -> replicas.ReplicaSet:
        """Return the replica set that applied at an index."""
        for entry in reversed(self.entries):
            if entry.index <= index and entry.kind is EntryKind.REPLICAS:
                return entry.replica_set
        return self.snapshot.replica_set

    def compact(self, meta: SnapshotMeta) -> None:
        """Remove the entries that a snapshot covers."""
        if meta.index <= self.snapshot.index:
            return
        self.entries = self.entries[meta.index - self.snapshot.index :]
        self.snapshot = meta

    def restore(self, meta: SnapshotMeta) -> None:
        """Replace all entries by a snapshot that extends beyond the log."""
        self.entries = []
        self.snapshot = meta


# Bytes counted for each entry in addition to its data.
ENTRY_OVERHEAD = 64
