"""Encodes commands for the replicated log.

Large commands are compressed, because the log holds dozens of complete versions
of the routes in memory and on a small disk.
"""

from expression import Result

from _coltsfootroad.control import evacuations
from _coltsfootroad.control import packing
from _coltsfootroad.control import state as state_lib
from _coltsfootroad.core import errors

# Smaller commands, such as claims of a few hundred bytes, gain nothing from
# compression.
MIN_COMPRESSED_BYTES = 4_096


def pack(command: object) -> bytes:
    """Return the encoded command."""
    if isinstance(command, evacuations.SetEvacuation):
        command = evacuations.to_lease(command)
    data = state_lib.COMMANDS.encode(command)
    return packing.pack(data, MIN_COMPRESSED_BYTES)


def unpack(data: bytes) -> Result[object, errors.Failure]:
    """Return the decoded command, or an error for invalid bytes."""
    plain = packing.unpack(data)
    return plain.bind(state_lib.COMMANDS.decode).map(evacuations.from_log)
