"""Encodes values with integers that msgpack has no type for.

msgpack ends at 64 bits, while a version or a limit in an operator's document
may be any integer. Such values are encoded in a form of their own, in which an
integer beyond 64 bits is an extension that holds its bytes. All other values
keep the plain form, which is faster and which earlier builds read.
"""

import msgspec

# First byte of the form; msgpack never uses it.
PREFIX = b"\xc1"
INTEGER_CODE = 1
MIN_PLAIN = -(2**63)
MAX_PLAIN = 2**64 - 1
# Larger than any that the parser of documents accepts, which is 4,300 digits.
MAX_INTEGER_BYTES = 2_048


def is_encoded(data: bytes) -> bool:
    """Return whether data has the form of this module."""
    return data.startswith(PREFIX)


def encode(value: object) -> bytes:
    """Return the encoded value.

    Raises:
        ValueError: A text in it has no UTF-8 form.
    """
    plain = msgspec.to_builtins(value, builtin_types=(bytes,))
    return PREFIX + msgspec.msgpack.encode(extend(plain))


def decode(data: bytes) -> object:
    """Return the value as dicts, lists, numbers, texts and bytes.

    Raises:
        msgspec.MsgspecError: The data is not in the form of this module.
    """
    return msgspec.msgpack.decode(data[len(PREFIX) :], ext_hook=to_integer)


def extend(value: object) -> object:
    """Return a value of builtin types with its wide integers as extensions."""
    if isinstance(value, dict):
        return {extend(key): extend(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [extend(item) for item in value]
    if isinstance(value, int) and not MIN_PLAIN <= value <= MAX_PLAIN:
        return to_extension(value)
    return value


def to_extension(value: int) -> msgspec.msgpack.Ext:
    """Return the extension that holds an integer."""
    # One more bit for the sign.
    size = value.bit_length() // 8 + 1
    return msgspec.msgpack.Ext(
        INTEGER_CODE, value.to_bytes(size, "big", signed=True)
    )


def to_integer(code: int, data: memoryview) -> int:
    """Return the integer that an extension holds."""
    if code != INTEGER_CODE or len(data) > MAX_INTEGER_BYTES:
        raise msgspec.ValidationError(
            f"extension {code} of {len(data)} bytes is no integer"
        )
    return int.from_bytes(data, "big", signed=True)
