"""Compresses encoded messages from a minimum size on.

A complete version of the routes takes 100 KB or more of repetitive text, as do
tables of endpoints and members. Compression reduces them to a tenth; the
fastest level takes one to two milliseconds of CPU time for 100 KB.
"""

import zlib

from expression import Error
from expression import Ok
from expression import Result

from _coltsfootroad.core import errors

LEVEL = 1
# First byte of compressed data; no encoded message begins with it.
COMPRESSED = b"\x78"
# Maximum decompressed size: a small message must not exhaust the memory.
MAX_PLAIN_BYTES = 64 * 1024 * 1024


def pack(data: bytes, min_bytes: int) -> bytes:
    """Return `data`, compressed if it has at least `min_bytes`."""
    if len(data) < min_bytes:
        return data
    return zlib.compress(data, LEVEL)


def unpack(data: bytes) -> Result[bytes, errors.Failure]:
    """Return the decompressed data, or an error for invalid data."""
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
    """Return the error for data that cannot be decompressed."""
    return Error(errors.Failure(errors.ErrorCode.BAD_REQUEST, message))
