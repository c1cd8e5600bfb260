"""Encodes commands for the replicated log.

Large commands are compressed, because the log holds dozens of complete versions
of the routes in memory and on a small disk.
"""

from expression import Error
from expression import Ok
from expression import Result

from _coltsfootroad.control import evacuations
from _coltsfootroad.control import packing
from _coltsfootroad.control import state as state_lib
from _coltsfootroad.core import errors

# Smaller commands, such as claims of a few hundred bytes, gain nothing from
# compression.
MIN_COMPRESSED_BYTES = 4_096


def pack(command: object) -> Result[bytes, errors.Failure]:
    """Return the encoded command, or why `unpack` could not read it.

    An entry that cannot be read would end each replica that applies it.
    """
    name = type(command).__name__
    if isinstance(command, evacuations.SetEvacuation):
        command = evacuations.to_lease(command)
    try:
        data = state_lib.COMMANDS.encode(command)
    except ValueError as error:
        return refuse(
            errors.ErrorCode.BAD_REQUEST, f"{name} cannot be encoded: {error}"
        )
    if len(data) > packing.MAX_PLAIN_BYTES:
        return refuse(
            errors.ErrorCode.TOO_LARGE,
            f"{name} takes {len(data)} bytes in the log, more than"
            f" {packing.MAX_PLAIN_BYTES}",
        )
    return Ok(packing.pack(data, MIN_COMPRESSED_BYTES))


def refuse(
    code: errors.ErrorCode, message: str
) -> Result[bytes, errors.Failure]:
    """Return the refusal of a command that cannot be logged."""
    return Error(errors.Failure(code, message))


def unpack(data: bytes) -> Result[object, errors.Failure]:
    """Return the decoded command, or an error for invalid bytes."""
    plain = packing.unpack(data)
    return plain.bind(state_lib.COMMANDS.decode).map(evacuations.from_log)
