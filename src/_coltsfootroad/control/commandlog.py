"""The bytes of a command in the replicated log.

A complete version of the routes takes 100 KB and more, mostly repeated words,
and the log keeps some dozens of them in memory and on a small disk. Compressed
they take a tenth; a fast level costs one or two milliseconds for each.
"""

import zlib

from expression import Error
from expression import Result

from _coltsfootroad.control import state as state_lib
from _coltsfootroad.core import errors

# Shorter commands gain nothing: claims take a few hundred bytes.
MIN_COMPRESSED_BYTES = 4_096
LEVEL = 1
# First byte of compressed data; an encoded command begins with another one.
COMPRESSED = b"\x78"


def pack(command: object) -> bytes:
    """Return the bytes of a command."""
    data = state_lib.COMMANDS.encode(command)
    if len(data) < MIN_COMPRESSED_BYTES:
        return data
    return zlib.compress(data, LEVEL)


def unpack(data: bytes) -> Result[object, errors.Failure]:
    """Return the command in some bytes, or what is wrong with them."""
    if not data.startswith(COMPRESSED):
        return state_lib.COMMANDS.decode(data)
    try:
        plain = zlib.decompress(data)
    except zlib.error as error:
        text = f"command cannot be decompressed: {error}"
        return Error(errors.Failure(errors.ErrorCode.BAD_REQUEST, text))
    return state_lib.COMMANDS.decode(plain)
