"""Orders to send nothing to the endpoints of an availability zone."""

import attrs

# Share of a caller's remaining time after which it may retry a request that
# only evacuated zones could serve. Callers wait for at most a third of it. The
# latest such time is best, as operators withdraw an order after minutes, and
# endpoints elsewhere take a second and more to start.
RETRY_SHARE = 1 / 3
MIN_RETRY_AFTER_S = 0.2


@attrs.frozen(kw_only=True)
class ZoneOrder:
    """The newest order about a zone.

    Attributes:
        zone: Name of the availability zone.
        evacuated: Whether nothing may be sent to its endpoints.
        revision: Number of changes so far, 0 for a zone without any.
    """

    zone: str
    evacuated: bool = False
    revision: int = 0


@attrs.define
class EvacuationTable:
    """The newest order of each zone that ever had one.

    Withdrawn orders are kept, so that their revisions never repeat: a proposal
    that was delayed would otherwise match the revision of a later state.

    Attributes:
        orders: The newest order by zone.
        revision: Increases with each change; not part of snapshots.
    """

    orders: dict[str, ZoneOrder] = attrs.Factory(dict)
    revision: int = 0

    def order(self, zone: str) -> ZoneOrder:
        """Return the newest order of a zone."""
        return self.orders.get(zone) or ZoneOrder(zone=zone)

    def record(self, order: ZoneOrder) -> bool:
        """Record an order unless a newer one is known; return if it is new."""
        if order.revision <= self.order(order.zone).revision:
            return False
        self.orders[order.zone] = order
        self.revision += 1
        return True

    def evacuated_zones(self) -> tuple[str, ...]:
        """Return the zones whose endpoints get nothing, in order of name."""
        return tuple(
            sorted(z for z, order in self.orders.items() if order.evacuated)
        )


def retry_after_s(remaining_s: float) -> float:
    """Return the retry delay for a caller with `remaining_s` seconds left."""
    return round(max(MIN_RETRY_AFTER_S, remaining_s * RETRY_SHARE), 3)
