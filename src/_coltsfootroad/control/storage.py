"""What a replica needs of a disk, and a disk in memory for tests."""

import abc

import attrs
from expression import Ok
from expression import Result

from _coltsfootroad.control import log as log_lib
from _coltsfootroad.control import ready as ready_lib
from _coltsfootroad.core import errors


@attrs.define
class Loaded:
    """What a replica finds on its disk when it starts."""

    hard_state: ready_lib.HardState = ready_lib.HardState()
    log: log_lib.Log = attrs.Factory(log_lib.Log)
    snapshot: bytes = b""


@attrs.frozen(kw_only=True)
class Batch:
    """What is written and synced at once."""

    truncate_from: int = 0
    entries: tuple[log_lib.Entry, ...] = ()
    hard_state: ready_lib.HardState | None = None


def replay(loaded: Loaded, batch: Batch) -> None:
    """Apply a stored batch to what was loaded before it."""
    if batch.truncate_from:
        loaded.log.truncate_from(batch.truncate_from)
    for entry in batch.entries:
        if entry.index > loaded.log.snapshot.index:
            loaded.log.append(entry)
    if batch.hard_state is not None:
        loaded.hard_state = batch.hard_state


class Storage(ready_lib.SnapshotReader, abc.ABC):
    """A disk that keeps what is synced."""

    @abc.abstractmethod
    def load(self) -> Loaded:
        """Return what was stored."""

    @abc.abstractmethod
    def store(self, batch: Batch) -> Result[None, errors.Failure]:
        """Write and sync a batch; an error means that nothing was kept."""

    @abc.abstractmethod
    def save_snapshot(
        self,
        meta: log_lib.SnapshotMeta,
        data: bytes,
        hard_state: ready_lib.HardState,
        entries: tuple[log_lib.Entry, ...],
    ) -> Result[None, errors.Failure]:
        """Replace snapshot and log at once; `entries` follow the snapshot."""


class MemoryStorage(Storage):
    """A disk in memory that can lose what was not synced."""

    def __init__(self):
        self.meta = log_lib.SnapshotMeta()
        self.snapshot = b""
        self.batches: list[Batch] = []

    def load(self):
        """Return what was stored."""
        loaded = Loaded(snapshot=self.snapshot)
        loaded.log.snapshot = self.meta
        for batch in self.batches:
            replay(loaded, batch)
        return loaded

    def store(self, batch):
        """Keep a batch."""
        self.batches.append(batch)
        return Ok(None)

    def save_snapshot(self, meta, data, hard_state, entries):
        """Replace everything by a snapshot and what follows it."""
        self.meta = meta
        self.snapshot = data
        self.batches = [Batch(entries=entries, hard_state=hard_state)]
        return Ok(None)

    def read(self, index, offset, size):
        """Return a piece of the snapshot."""
        if index != self.meta.index:
            return None
        return self.snapshot[offset : offset + size]
