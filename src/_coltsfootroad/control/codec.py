"""Encodes typed messages with msgspec, each with its class name."""

import attrs
from expression import Error
from expression import Ok
from expression import Result
import msgspec

from _coltsfootroad.control import wideintegers
from _coltsfootroad.core import errors

ENVELOPE = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
ENCODER = msgspec.msgpack.Encoder()


def encode(value: object) -> bytes:
    """Return the encoded value, whose integers may be of any size.

    Raises:
        ValueError: A text in it has no UTF-8 form.
    """
    try:
        return ENCODER.encode(value)
    except OverflowError:
        return wideintegers.encode(value)


def decode(data: bytes, kind: type) -> object:
    """Return the decoded value of a type.

    Raises:
        msgspec.MsgspecError: The data is no value of the type.
    """
    if wideintegers.is_encoded(data):
        return msgspec.convert(
            wideintegers.decode(data), kind, builtin_types=(bytes,)
        )
    return msgspec.msgpack.decode(data, type=kind)


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
        """Return the encoded message.

        Raises:
            ValueError: A text in it has no UTF-8 form.
        """
        name = type(message).__name__
        if name not in self.classes:
            raise errors.BrokenInvariantError(f"no codec for message {name}")
        return encode((name, message))

    def decode(self, data: bytes) -> Result[object, errors.Failure]:
        """Return the decoded message, or an error for invalid data."""
        try:
            if wideintegers.is_encoded(data):
                return Ok(self.decode_wide(data))
            name, body = ENVELOPE.decode(data)
            return Ok(self.decoder(name).decode(body))
        except KeyError as error:
            text = f"message type {error} is not known"
        except (msgspec.MsgspecError, RecursionError) as error:
            text = f"message cannot be read: {error}"
        return Error(errors.Failure(errors.ErrorCode.BAD_REQUEST, text))

    def decode_wide(self, data: bytes) -> object:
        """Return the message in data that holds wide integers."""
        name, body = msgspec.convert(
            wideintegers.decode(data),
            tuple[str, object],
            builtin_types=(bytes,),
        )
        return msgspec.convert(body, self.classes[name], builtin_types=(bytes,))
