"""HTTP API for operators: evacuated availability zones."""

import attrs
from expression import Error
from expression import Ok
from expression import Result

from _coltsfootroad.control import outcomes
from _coltsfootroad.core import errors
from _coltsfootroad.shell import evacuationcalls
from _coltsfootroad.shell import operatorapi


class EvacuationsHandler(operatorapi.OperatorHandler):
    """Lists the newest order of each zone."""

    async def get(self):
        """Send the orders in order of zone, and the known zones."""
        orders = await evacuationcalls.read(leader_caller(self))
        if orders.is_error():
            self.fail(orders.error)
            return
        found = sorted(orders.ok.orders, key=lambda order: order.zone)
        self.send_value(
            {
                "orders": [attrs.asdict(order) for order in found],
                "availability_zones": list(
                    self.server.settings.availability_zones
                ),
            }
        )


class EvacuationHandler(operatorapi.OperatorHandler):
    """Orders and withdraws the evacuation of one zone."""

    async def post(self, zone):
        """Order that nothing more is sent to the zone's endpoints."""
        await self.change(zone, True)

    async def delete(self, zone):
        """Withdraw the order."""
        await self.change(zone, False)

    async def change(self, zone: str, evacuated: bool) -> None:
        """Change the zone's order and send the result."""
        result = await evacuationcalls.change(
            leader_caller(self),
            self.server.settings.availability_zones,
            zone,
            evacuated,
        )
        if result.is_ok():
            self.send_value(attrs.asdict(result.ok))
        else:
            self.fail(result.error)


def leader_caller(
    handler: operatorapi.OperatorHandler,
) -> evacuationcalls.CallLeader:
    """Return a function that calls this replica, which may not lead."""

    async def call(message: object) -> Result[object, errors.Failure]:
        answer = await handler.server.call(message)
        if isinstance(answer, outcomes.NotLeader):
            return Error(
                errors.Failure(
                    errors.ErrorCode.UNAVAILABLE,
                    "this replica does not lead, the leader is"
                    f" {answer.hint or 'not known'}",
                    errors.Ran.NO,
                    evacuationcalls.RETRY_AFTER_S,
                )
            )
        return Ok(answer)

    return call


def routes(server) -> list[tuple]:
    """Return the HTTP routes of this module.

    Args:
        server: Has `settings` and a coroutine method `call`.
    """
    arguments = {"token": server.settings.admin_token, "server": server}
    return [
        (r"/v1/evacuation", EvacuationsHandler, arguments),
        (r"/v1/evacuation/([^/]+)", EvacuationHandler, arguments),
    ]
