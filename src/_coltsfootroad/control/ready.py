"""What the consensus core asks of the shell, and of a disk."""

import attrs

from _coltsfootroad.control import log as log_lib
from _coltsfootroad.control import peers
from _coltsfootroad.core import errors


@attrs.frozen(kw_only=True)
class HardState:
    """What must be on disk before a vote or acknowledgement is sent."""

    term: int = 0
    vote: str = ""


@attrs.frozen(kw_only=True)
class Outgoing:
    """A message for another replica."""

    to: str
    message: peers.PeerMessage


@attrs.define
class Ready:
    """What the shell has to do, in this order.

    Attributes:
        snapshot: Snapshot received in full, to be stored and loaded.
        snapshot_data: Its bytes.
        truncate_from: Drop stored entries from here on first, 0 for none.
        entries: Entries to store.
        hard_state: To store, None if unchanged.
        messages: To send once all of the above is synced.
        committed: Entries to apply.
    """

    snapshot: log_lib.SnapshotMeta | None = None
    snapshot_data: bytes = b""
    truncate_from: int = 0
    entries: list[log_lib.Entry] = attrs.Factory(list)
    hard_state: HardState | None = None
    messages: list[Outgoing] = attrs.Factory(list)
    committed: list[log_lib.Entry] = attrs.Factory(list)

    def must_sync(self) -> bool:
        """Return whether anything has to reach the disk."""
        return bool(
            self.snapshot
            or self.truncate_from
            or self.entries
            or self.hard_state
        )

    def is_empty(self) -> bool:
        """Return whether there is nothing to do."""
        return not (self.must_sync() or self.messages or self.committed)


class SnapshotReader:
    """Reads pieces of the newest stored snapshot."""

    def read(self, index: int, offset: int, size: int) -> bytes | None:
        """Return bytes of the snapshot at `index`, None if it is gone."""
        raise errors.BrokenInvariantError("no snapshots are kept")
