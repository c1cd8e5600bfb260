"""Receives a snapshot in chunks."""

import attrs

from _coltsfootroad.control import log as log_lib


@attrs.define
class IncomingSnapshot:
    """The received chunks of one snapshot, dropped when another one begins."""

    meta: log_lib.SnapshotMeta | None = None
    data: bytearray = attrs.Factory(bytearray)

    def add_chunk(
        self, meta: log_lib.SnapshotMeta, offset: int, data: bytes
    ) -> int:
        """Append the chunk if it is the next one; return the received bytes."""
        if self.meta != meta:
            self.meta = meta
            self.data = bytearray()
        if offset == len(self.data):
            self.data += data
        return len(self.data)

    def finish(self) -> bytes:
        """Return the complete snapshot and reset the receiver."""
        data = bytes(self.data)
        self.meta = None
        self.data = bytearray()
        return data
