"""The messages of our processes as bytes on a connection."""

import attrs
from expression import Result

from _coltsfootroad.control import codec
from _coltsfootroad.control import packing
from _coltsfootroad.core import errors
from _coltsfootroad.shell import traffic

# Shorter messages fit one packet or two; compressing them saves no packet.
MIN_COMPRESSED_BYTES = 1_500


@attrs.define
class Wire:
    """Encodes a closed set of messages, long ones compressed, and counts."""

    messages: codec.Codec

    @classmethod
    def of(cls, *classes: type) -> "Wire":
        """Return the wire form of the given attrs classes."""
        return cls(codec.Codec.of(*classes))

    def encode(self, message: object) -> bytes:
        """Return the bytes to send."""
        data = packing.pack(self.messages.encode(message), MIN_COMPRESSED_BYTES)
        traffic.sent(type(message).__name__, len(data))
        return data

    def decode(self, data: bytes) -> Result[object, errors.Failure]:
        """Return the message that was received, or what is wrong with it."""
        decoded = packing.unpack(data).bind(self.messages.decode)
        kind = type(decoded.ok).__name__ if decoded.is_ok() else "unreadable"
        traffic.received(kind, len(data))
        return decoded
