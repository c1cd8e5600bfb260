"""Encodes messages for connections between processes."""

import attrs
from expression import Result

from _coltsfootroad.control import codec
from _coltsfootroad.control import packing
from _coltsfootroad.core import errors
from _coltsfootroad.shell import traffic

# Shorter messages fit into one or two packets, which compression cannot save.
MIN_COMPRESSED_BYTES = 1_500


@attrs.define
class WireFormat:
    """Encodes a fixed set of messages; compresses long ones; counts traffic."""

    messages: codec.Codec

    @classmethod
    def of(cls, *classes: type) -> "WireFormat":
        """Return the wire format of the given attrs classes."""
        return cls(codec.Codec.of(*classes))

    def encode(self, message: object) -> bytes:
        """Return the bytes to send."""
        data = packing.pack(self.messages.encode(message), MIN_COMPRESSED_BYTES)
        traffic.count_sent(type(message).__name__, len(data))
        return data

    def decode(self, data: bytes) -> Result[object, errors.Failure]:
        """Decode a received message, or return why that is impossible."""
        decoded = packing.unpack(data).bind(self.messages.decode)
        kind = type(decoded.ok).__name__ if decoded.is_ok() else "unreadable"
        traffic.count_received(kind, len(data))
        return decoded
