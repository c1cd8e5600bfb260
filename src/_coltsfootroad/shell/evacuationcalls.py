"""Changes the evacuation of a zone for the APIs of operators and platforms.

The calls carry no sequence number, so a copy that was delayed must not undo a
later one where that can be avoided: the zone's revision is read first, and the
change is applied only if it is still current then.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from expression import Error
from expression import Ok
from expression import Result

from _coltsfootroad.control import evacuations
from _coltsfootroad.control import outcomes
from _coltsfootroad.core import errors
from _coltsfootroad.core import evacuation
from _coltsfootroad.shell import logs

LOG = logs.logger("evacuation")
# Callers resend to another process after a second without a response.
TIMEOUT_S = 0.85
RETRY_AFTER_S = 0.5
MAX_ZONE_CHARS = 200
# Returns the leader's reply to a message.
CallLeader = Callable[[object], Awaitable[Result[object, errors.Failure]]]


async def change(
    call_leader: CallLeader,
    known_zones: tuple[str, ...],
    zone: str,
    evacuated: bool,
) -> Result[evacuation.ZoneOrder, errors.Failure]:
    """Order or withdraw an evacuation; return once replicas have stored it.

    Args:
        call_leader: Calls the leader.
        known_zones: The zones of the deployment; empty if any is accepted.
        zone: The zone to change.
        evacuated: Whether nothing may be sent to the zone's endpoints.
    """
    if known_zones and zone not in known_zones:
        return Error(
            errors.Failure(
                errors.ErrorCode.NOT_FOUND,
                f"no zone {zone!r}; the zones are {', '.join(known_zones)}",
            )
        )
    if len(zone) > MAX_ZONE_CHARS:
        text = f"the name of a zone has at most {MAX_ZONE_CHARS} characters"
        return Error(errors.Failure(errors.ErrorCode.BAD_REQUEST, text))
    try:
        async with asyncio.timeout(TIMEOUT_S):
            result = await read_and_propose(call_leader, zone, evacuated)
    except TimeoutError:
        result = unavailable("no reply of the leader in time")
    log_result(zone, evacuated, result)
    return result


async def read_and_propose(
    call_leader: CallLeader, zone: str, evacuated: bool
) -> Result[evacuation.ZoneOrder, errors.Failure]:
    """Propose a change of the zone's current order, if it needs one."""
    copy = await read(call_leader)
    if copy.is_error():
        return Error(copy.error)
    before = copy.ok.order(zone)
    if before.evacuated == evacuated:
        return Ok(before)
    answer = await call_leader(
        evacuations.SetEvacuation(
            zone=zone, evacuated=evacuated, after_revision=before.revision
        )
    )
    if answer.is_error():
        return Error(answer.error)
    if not isinstance(answer.ok, evacuations.EvacuationAnswer):
        return refusal_of(answer.ok)
    order = answer.ok.order
    if order.evacuated != evacuated:
        return unavailable(f"the order of zone {zone!r} changed meanwhile")
    return Ok(order)


async def read(
    call_leader: CallLeader,
) -> Result[evacuations.EvacuationsCopy, errors.Failure]:
    """Return the newest order of each zone."""
    answer = await call_leader(evacuations.ReadEvacuations())
    if answer.is_ok() and not isinstance(
        answer.ok, evacuations.EvacuationsCopy
    ):
        return refusal_of(answer.ok)
    return answer


def refusal_of(answer: object) -> Result[object, errors.Failure]:
    """Return the failure for a reply that grants nothing.

    A leader of an older build refuses the calls as unknown messages. They
    succeed once a replica of this build leads, so the caller may resend them.
    """
    if not isinstance(answer, outcomes.Refused):
        return unavailable("no leader is known")
    if answer.failure.code is errors.ErrorCode.BAD_REQUEST:
        return unavailable(f"the leader refuses: {answer.failure.message}")
    return Error(answer.failure)


def unavailable(reason: str) -> Result[object, errors.Failure]:
    """Return the failure of a call that may be resent."""
    return Error(
        errors.Failure(
            errors.ErrorCode.UNAVAILABLE,
            reason,
            errors.Ran.UNKNOWN,
            RETRY_AFTER_S,
        )
    )


def log_result(
    zone: str,
    evacuated: bool,
    result: Result[evacuation.ZoneOrder, errors.Failure],
) -> None:
    """Log a call and what came of it."""
    event = "evacuation" if evacuated else "withdrawal"
    if result.is_ok():
        LOG.info(
            f"{event} acknowledged", zone=zone, revision=result.ok.revision
        )
    else:
        LOG.warning(
            f"{event} not acknowledged", zone=zone, reason=result.error.message
        )
