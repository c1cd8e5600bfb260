"""Encodes typed messages with msgspec, each with its class name."""

import attrs
from expression import Error
from expression import Ok
from expression import Result
import msgspec

from _coltsfootroad.core import errors

ENVELOPE = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
ENCODER = msgspec.msgpack.Encoder()


@attrs.define
class Codec:
    """Encodes and decodes a closed set of message classes.

    Decoders are created on first use, which shortens the start of a program:
    most programs receive only a few of the message classes.
    """

    classes: dict[str, type] = attrs.Factory(dict)
    decoders: dict[str, msgspec.msgpack.Decoder] = attrs.Factory(dict)

    @classmethod
    def of(cls, *classes: type) -> "Codec":
        """Return a codec for the given attrs classes."""
        return cls({c.__name__: c for c in classes})

    def decoder(self, name: str) -> msgspec.msgpack.Decoder:
        """Return the decoder of a class; raises KeyError if not in the set."""
        if name not in self.decoders:
            kind = self.classes[name]
            self.decoders[name] = msgspec.msgpack.Decoder(kind)
        return self.decoders[name]

    def encode(self, message: object) -> bytes:
        """Return the encoded message."""
        name = type(message).__name__
        if name not in self.classes:
            raise errors.BrokenInvariantError(f"no codec for message {name}")
        return ENCODER.encode((name, message))

    def decode(self, data: bytes) -> Result[object, errors.Failure]:
        """Return the decoded message, or an error for invalid data."""
        try:
            name, body = ENVELOPE.decode(data)
            return Ok(self.decoder(name).decode(body))
        except KeyError as error:
            text = f"message type {error} is not known"
        except msgspec.MsgspecError as error:
            text = f"message cannot be read: {error}"
        return Error(errors.Failure(errors.ErrorCode.BAD_REQUEST, text))
