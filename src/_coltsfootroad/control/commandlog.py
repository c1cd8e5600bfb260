"""The bytes of a command in the replicated log.

The log keeps some dozens of complete versions of the routes in memory and on a
small disk, so they are kept compressed.
"""

from expression import Result

from _coltsfootroad.control import packing
from _coltsfootroad.control import state as state_lib
from _coltsfootroad.core import errors

# Shorter commands gain nothing: claims take a few hundred bytes.
MIN_COMPRESSED_BYTES = 4_096


def pack(command: object) -> bytes:
    """Return the bytes of a command."""
    data = state_lib.COMMANDS.encode(command)
    return packing.pack(data, MIN_COMPRESSED_BYTES)


def unpack(data: bytes) -> Result[object, errors.Failure]:
    """Return the command in some bytes, or what is wrong with them."""
    return packing.unpack(data).bind(state_lib.COMMANDS.decode)
