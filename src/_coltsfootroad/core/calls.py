"""Converts actions of the entry core into calls to the control plane."""

from _coltsfootroad.control import messages
from _coltsfootroad.core import actions


def claim_call(action: actions.TakeClaim, now: float) -> messages.TakeClaim:
    """Return the call that takes a claim, leased until the deadline."""
    request = action.request
    return messages.TakeClaim(
        workspace=request.workspace,
        key=request.idempotency_key,
        key_time=request.key_time,
        body_hash=request.body_hash,
        token=request.request_id,
        lease_s=request.deadline_at - now,
    )


def settle_call(action: actions.SettleClaim) -> messages.SettleClaim:
    """Return the call that settles a claim."""
    request = action.request
    return messages.SettleClaim(
        workspace=request.workspace,
        key=request.idempotency_key,
        token=request.request_id,
        ran=action.ran,
        answer=action.answer,
    )


def reserve_call(action: actions.ReserveGroup) -> messages.GroupReserve:
    """Return the call that reserves or renews a group."""
    return messages.GroupReserve(
        group=action.group,
        service=action.service,
        engines=action.engines,
        lease_s=action.lease_s,
    )


def release_call(action: actions.ReleaseGroup) -> messages.GroupRelease:
    """Return the call that releases a group."""
    return messages.GroupRelease(group=action.group)
