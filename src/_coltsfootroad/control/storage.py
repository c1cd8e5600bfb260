"""Storage interface of a replica, and an in-memory implementation."""

import abc

import attrs
from expression import Ok
from expression import Result

from _coltsfootroad.control import log as log_lib
from _coltsfootroad.control import ready as ready_lib
from _coltsfootroad.core import errors


@attrs.define
class Loaded:
    """Stored state that a replica loads at its start."""

    hard_state: ready_lib.HardState = ready_lib.HardState()
    log: log_lib.Log = attrs.Factory(log_lib.Log)
    snapshot: bytes = b""


@attrs.frozen(kw_only=True)
class Batch:
    """Changes that are written and synced together.

    Attributes:
        truncate_from: Index from which stored entries are removed first, 0 for
            none.
        entries: Entries to append.
        hard_state: New term and vote, None if unchanged.
    """

    truncate_from: int = 0
    entries: tuple[log_lib.Entry, ...] = ()
    hard_state: ready_lib.HardState | None = None


def replay(loaded: Loaded, batch: Batch) -> None:
    """Apply a stored batch to the state loaded from earlier batches."""
    if batch.truncate_from:
        loaded.log.truncate_from(batch.truncate_from)
    for entry in batch.entries:
        if entry.index > loaded.log.snapshot.index:
            loaded.log.append(entry)
    if batch.hard_state is not None:
        loaded.hard_state = batch.hard_state


class Storage(ready_lib.SnapshotReader, abc.ABC):
    """Durable storage of the log, the hard state and the snapshot."""

    @abc.abstractmethod
    def load(self) -> Loaded:
        """Return the stored state."""

    @abc.abstractmethod
    def store(self, batch: Batch) -> Result[None, errors.Failure]:
        """Write and sync a batch; on an error nothing of it is stored."""

    @abc.abstractmethod
    def save_snapshot(
        self,
        meta: log_lib.SnapshotMeta,
        data: bytes,
        hard_state: ready_lib.HardState,
        entries: tuple[log_lib.Entry, ...],
    ) -> Result[None, errors.Failure]:
        """Atomically replace snapshot, hard state and log.

        `entries` are the entries after the snapshot.
        """


class MemoryStorage(Storage):
    """Storage in memory, for tests; a crash can lose unsynced batches."""

    def __init__(self):
        self.meta = log_lib.SnapshotMeta()
        self.snapshot = b""
        self.batches: list[Batch] = []

    def load(self):
        """Return the stored state."""
        loaded = Loaded(snapshot=self.snapshot)
        loaded.log.snapshot = self.meta
        for batch in self.batches:
            replay(loaded, batch)
        return loaded

    def store(self, batch):
        """Store a batch."""
        self.batches.append(batch)
        return Ok(None)

    def save_snapshot(self, meta, data, hard_state, entries):
        """Replace all stored state by a snapshot and the entries after it."""
        self.meta = meta
        self.snapshot = data
        self.batches = [Batch(entries=entries, hard_state=hard_state)]
        return Ok(None)

    def read(self, index, offset, size):
        """Return a chunk of the snapshot, None if it was replaced."""
        if index != self.meta.index:
            return None
        return self.snapshot[offset : offset + size]
