"""A snapshot that arrives in pieces."""

import attrs

from _coltsfootroad.control import log as log_lib


@attrs.define
class IncomingSnapshot:
    """The pieces of one snapshot so far; another one starts anew."""

    meta: log_lib.SnapshotMeta | None = None
    data: bytearray = attrs.Factory(bytearray)

    def take(self, meta: log_lib.SnapshotMeta, offset: int, data: bytes) -> int:
        """Take a piece if it is the next one; return the bytes so far."""
        if self.meta != meta:
            self.meta = meta
            self.data = bytearray()
        if offset == len(self.data):
            self.data += data
        return len(self.data)

    def finish(self) -> bytes:
        """Return the whole snapshot and forget it."""
        data = bytes(self.data)
        self.meta = None
        self.data = bytearray()
        return data
