"""What a gateway that has just started waits for before it answers.

The pattern it answers: all VMs lose power at once. Gateways are back before
the replicas have elected a leader, and the new leader hears the endpoints
only with their next announcements. A caller has tried once already and will
come back at most once more, so a refusal in this second loses its request,
while a short wait serves it late. Whoever would leave before the wait ends
gains nothing, so it is shorter than the pause that callers bear.
"""

import asyncio
from collections.abc import Callable

import attrs

from _coltsfootroad.core import routeview
from _coltsfootroad.shell import clocks

# Callers of a stream leave after 2 s without an event.
MAX_HOLD_S = 1.5
# Endpoints announce themselves each second or so: by then most are known, and
# the first ones known are not handed everybody's requests. A request that the
# ones known can serve in time does not wait for more.
ENDPOINT_SETTLE_S = 0.8
# Endpoints whose announcements found no leader make them again at once; the
# first two or three of them have no room for all that waits.
FIRST_ENDPOINTS_S = 0.2
# Part of a caller's stated time that a request may be held.
MAX_HOLD_FRACTION = 0.5
POLL_INTERVAL_S = 0.02
# The same for what takes a choice of endpoints, as up to `MAX_HELD` may look.
CHOICE_POLL_INTERVAL_S = 0.06
# Requests that wait at a time; more are refused at once.
MAX_HELD = 300


@attrs.define
class StartupGate:
    """Holds requests until routes and endpoints are known, but briefly."""

    view: routeview.RouteView
    registry_since: float | None = None
    done: bool = False
    held: int = 0

    def on_news(self, registry_age_s: float, now: float) -> None:
        """Note for how long the leader has heard endpoints."""
        self.registry_since = now - registry_age_s

    def is_settled(self, now: float) -> bool:
        """Return whether requests can be served; stays so once it was."""
        if self.done:
            return True
        since = self.registry_since
        known = self.view.table is not None and since is not None
        self.done = known and now - since >= ENDPOINT_SETTLE_S
        return self.done

    def knows_first_endpoints(self) -> bool:
        """Return whether those endpoints are known that announce at once."""
        since = self.registry_since
        return (
            since is not None
            and clocks.boot_time() - since >= FIRST_ENDPOINTS_S
        )

    def knows_routes(self) -> bool:
        """Return whether a leader has told the routes in force."""
        return self.view.is_current(clocks.boot_time())

    async def wait(
        self,
        arrived_at: float,
        caller_timeout_s: float,
        can_proceed: Callable[[], bool],
        poll_interval_s: float = POLL_INTERVAL_S,
    ) -> None:
        """Hold a request until it can be served or its caller would leave.

        `patience_s` is the time that the caller stated; half of it is left
        for the answer. `until` says whether this request need not wait for
        the gateway to settle; it is asked each `every_s`.
        """
        if self.is_settled(clocks.boot_time()) or self.held >= MAX_HELD:
            return
        self.held += 1
        end = arrived_at + min(MAX_HOLD_S, MAX_HOLD_FRACTION * caller_timeout_s)
        try:
            while not can_proceed() and clocks.boot_time() < end:
                await asyncio.sleep(poll_interval_s)
                if self.is_settled(clocks.boot_time()):
                    return
        finally:
            self.held -= 1
