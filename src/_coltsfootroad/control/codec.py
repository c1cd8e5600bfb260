"""Encoding of typed messages, by msgspec; each carries its class name."""

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

    Decoders are made when they are needed: programs start sooner, and most
    never meet most of the messages.
    """

    classes: dict[str, type] = attrs.Factory(dict)
    decoders: dict[str, msgspec.msgpack.Decoder] = attrs.Factory(dict)

    @classmethod
    def of(cls, *classes: type) -> "Codec":
        """Return a codec for the given attrs classes."""
        return cls({c.__name__: c for c in classes})

    def decoder(self, name: str) -> msgspec.msgpack.Decoder:
        """Return the decoder of a class; raises KeyError for others."""
        if name not in self.decoders:
            kind = self.classes[name]
            self.decoders[name] = msgspec.msgpack.Decoder(kind)
        return self.decoders[name]

    def encode(self, message: object) -> bytes:
        """Return the bytes of a message."""
        name = type(message).__name__
        if name not in self.classes:
            raise errors.BrokenInvariantError(f"no codec for message {name}")
        return ENCODER.encode((name, message))

    def decode(self, data: bytes) -> Result[object, errors.Failure]:
        """Return the message in `data`, or what is wrong with it."""
        try:
            name, body = ENVELOPE.decode(data)
            return Ok(self.decoder(name).decode(body))
        except KeyError as error:
            text = f"message type {error} is not known"
        except msgspec.MsgspecError as error:
            text = f"message cannot be read: {error}"
        return Error(errors.Failure(errors.ErrorCode.BAD_REQUEST, text))
