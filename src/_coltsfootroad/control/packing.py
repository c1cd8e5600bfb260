"""Compresses encoded messages where that is worth its processor time.

A complete version of the routes takes 100 KB and more, mostly repeated words,
and so do tables of endpoints and members. Compressed they take a tenth; a fast
level costs one or two milliseconds for 100 KB.
"""

import zlib

from expression import Error
from expression import Ok
from expression import Result

from _coltsfootroad.core import errors

LEVEL = 1
# First byte of compressed data; an encoded message begins with another one.
COMPRESSED = b"\x78"
# Longest message that is unpacked: short data must not fill the memory.
MAX_PLAIN_BYTES = 64 * 1024 * 1024


def pack(data: bytes, min_bytes: int) -> bytes:
    """Return `data`, compressed if it has at least `min_bytes`."""
    if len(data) < min_bytes:
        return data
    return zlib.compress(data, LEVEL)


def unpack(data: bytes) -> Result[bytes, errors.Failure]:
    """Return the data as it was encoded, or what is wrong with it."""
    if not data.startswith(COMPRESSED):
        return Ok(data)
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(data, MAX_PLAIN_BYTES)
    except zlib.error as error:
        return decode_error(f"message cannot be decompressed: {error}")
    if not unpacker.eof:
        return decode_error("message is cut short, or longer than any of ours")
    return Ok(plain)


def decode_error(message: str) -> Result[bytes, errors.Failure]:
    """Return the refusal of some data."""
    return Error(errors.Failure(errors.ErrorCode.BAD_REQUEST, message))
