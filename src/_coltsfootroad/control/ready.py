"""Work that the consensus core hands to its caller, and its snapshot reader."""

import attrs

from _coltsfootroad.control import log as log_lib
from _coltsfootroad.control import peers
from _coltsfootroad.core import errors


@attrs.frozen(kw_only=True)
class HardState:
    """Term and vote, stored before any vote or acknowledgement is sent."""

    term: int = 0
    vote: str = ""


@attrs.frozen(kw_only=True)
class Outgoing:
    """A message for another replica."""

    to: str
    message: peers.PeerMessage


@attrs.define
class Ready:
    """Work for the caller, to be carried out in the order of the attributes.

    Attributes:
        snapshot: Complete received snapshot to store and load, None for none.
        snapshot_data: Its bytes.
        truncate_from: Index from which stored entries are removed, 0 for none.
        entries: Entries to store.
        hard_state: Term and vote to store, None if unchanged.
        messages: Messages to send once all of the above is synced.
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
        """Return whether there is anything to store and sync."""
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
    """Reads chunks of the newest stored snapshot."""

    def read(self, index: int, offset: int, size: int) -> bytes | None:
        """Return bytes of the snapshot at `index`, None if it was replaced."""
        raise errors.BrokenInvariantError("this replica stores no snapshots")
