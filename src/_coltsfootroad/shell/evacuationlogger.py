"""Logs changes of the evacuated zones that a replica applies."""

from _coltsfootroad.control import node as node_lib
from _coltsfootroad.core import evacuation
from _coltsfootroad.shell import logs

LOG = logs.logger("evacuation")


class EvacuationLogger:
    """Compares the orders with those last logged."""

    def __init__(self, node: node_lib.ControlNode):
        self.node = node
        self.logged: dict[str, evacuation.ZoneOrder] = {}

    def log_changes(self) -> None:
        """Log what has changed since the last call."""
        orders = self.node.state.evacuation.orders
        if orders == self.logged:
            return
        for zone, order in orders.items():
            if self.logged.get(zone) != order:
                LOG.info(
                    "zone evacuated" if order.evacuated else "zone restored",
                    zone=zone,
                    revision=order.revision,
                    leads=self.node.coordinator is not None,
                )
        self.logged = dict(orders)

    def evacuated(self) -> int:
        """Return the number of evacuated zones."""
        return len(self.node.state.evacuation.evacuated_zones())
