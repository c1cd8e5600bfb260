"""Calls and commands about evacuated zones, and their form in the log.

In the log and in snapshots, a change of a zone is a lease that never ends,
because replicas of builds without evacuation apply and keep leases but stop at
a command of an unknown type. The name of the lease holds the revision that the
change creates, so only the first of several changes of one revision is granted,
by every build alike ([design](docs/design/evacuation.md)).
"""

import attrs

from _coltsfootroad.control import fences
from _coltsfootroad.core import evacuation

LEASE_PREFIX = "evacuation/"
HOLDER_EVACUATED = "evacuated"
HOLDER_RESTORED = "restored"
# Some thirty thousand years.
LEASE_S = 1e12


@attrs.frozen(kw_only=True)
class SetEvacuation:
    """Orders or withdraws the evacuation of a zone.

    Applied only if the zone's revision is still `after_revision`.
    """

    zone: str
    evacuated: bool
    after_revision: int


@attrs.frozen(kw_only=True)
class EvacuationAnswer:
    """The zone's newest order after a `SetEvacuation`, applied or not."""

    order: evacuation.ZoneOrder


@attrs.frozen(kw_only=True)
class ReadEvacuations:
    """Requests the newest order of each zone."""


@attrs.frozen(kw_only=True)
class EvacuationsCopy:
    """The newest order of each zone that ever had one."""

    orders: tuple[evacuation.ZoneOrder, ...] = ()

    def order(self, zone: str) -> evacuation.ZoneOrder:
        """Return the newest order of a zone."""
        found = (order for order in self.orders if order.zone == zone)
        return next(found, evacuation.ZoneOrder(zone=zone))


def to_lease(command: SetEvacuation) -> fences.TakeLease:
    """Return the form of a change in the log."""
    return fences.TakeLease(
        name=f"{LEASE_PREFIX}{command.after_revision + 1}/{command.zone}",
        holder=HOLDER_EVACUATED if command.evacuated else HOLDER_RESTORED,
        lease_s=LEASE_S,
    )


def from_log(command: object) -> object:
    """Return a change for its lease; return other commands unchanged."""
    if not isinstance(command, fences.TakeLease):
        return command
    order = order_of(command)
    if order is None:
        return command
    return SetEvacuation(
        zone=order.zone,
        evacuated=order.evacuated,
        after_revision=order.revision - 1,
    )


def order_of(
    lease: fences.TakeLease | fences.Lease,
) -> evacuation.ZoneOrder | None:
    """Return the order that a lease stands for, None for other leases."""
    prefix, _, rest = lease.name.partition("/")
    revision, _, zone = rest.partition("/")
    if f"{prefix}/" != LEASE_PREFIX or not revision.isdecimal() or not zone:
        return None
    return evacuation.ZoneOrder(
        zone=zone,
        evacuated=lease.holder == HOLDER_EVACUATED,
        revision=int(revision),
    )


def apply(
    table: evacuation.EvacuationTable,
    leases: fences.LeaseTable,
    command: SetEvacuation,
    now: float,
) -> EvacuationAnswer:
    """Apply a change unless another one took its revision before."""
    lease = to_lease(command)
    if leases.take(lease, now).granted:
        table.record(order_of(lease))
    return EvacuationAnswer(order=table.order(command.zone))


def restore(
    table: evacuation.EvacuationTable, leases: fences.LeaseTable
) -> None:
    """Fill the table from the leases of a snapshot."""
    for lease in leases.leases.values():
        order = order_of(lease)
        if order is not None:
            table.record(order)
