"""Holds requests for a short time after a gateway has started.

When all VMs lose power at once, gateways restart before the replicas have
elected a leader, and the new leader learns of endpoints only with their next
announcements. A caller that has tried once will retry at most once more, so a
refusal at this time may lose its request, while a short wait serves it late.
The wait is shorter than the pause after which callers disconnect, since holding
a request for longer than that would be useless.
"""

import asyncio
from collections.abc import Callable

import attrs

from _coltsfootroad.core import routeview
from _coltsfootroad.shell import clocks

# Callers of a stream disconnect after 2 s without an event.
MAX_HOLD_S = 1.5
# Endpoints announce themselves about every second, so most are known after this
# time, and the first known endpoints do not get the requests of all callers. A
# request that the known endpoints can serve in time is not held for longer.
ENDPOINT_SETTLE_S = 0.8
# Endpoints whose announcements found no leader repeat them at once. Before this
# time, only two or three are known, too few for the waiting requests.
FIRST_ENDPOINTS_S = 0.2
# Part of a caller's stated timeout for which a request may be held.
MAX_HOLD_FRACTION = 0.5
POLL_INTERVAL_S = 0.02
# Longer for checks that choose endpoints, as up to `MAX_HELD` requests poll.
CHOICE_POLL_INTERVAL_S = 0.06
# Limit of requests that are held at a time; others are not held.
MAX_HELD = 300


@attrs.define
class StartupGate:
    """Holds requests until routes and endpoints are known, for a limited time.

    Attributes:
        view: The newest known routes and their proof of freshness.
        registry_since: Boot clock seconds since when the leader has received
            announcements, None before the first response to a poll.
        done: Whether requests need no longer be held; stays true.
        held: Number of requests that are held.
    """

    view: routeview.RouteView
    registry_since: float | None = None
    done: bool = False
    held: int = 0

    def record_registry_age(self, registry_age_s: float, now: float) -> None:
        """Record for how long the leader has received announcements."""
        self.registry_since = now - registry_age_s

    def registry_age_s(self, now: float) -> float:
        """Return for how long the leader has received announcements."""
        since = self.registry_since
        return 0.0 if since is None else now - since

    def is_settled(self, now: float) -> bool:
        """Return whether requests need not be held; stays true once it is."""
        if self.done:
            return True
        since = self.registry_since
        is_known = self.view.table is not None and since is not None
        self.done = is_known and now - since >= ENDPOINT_SETTLE_S
        return self.done

    def knows_first_endpoints(self) -> bool:
        """Return whether endpoints that announce at once are known."""
        since = self.registry_since
        return (
            since is not None
            and clocks.boot_time() - since >= FIRST_ENDPOINTS_S
        )

    def knows_routes(self) -> bool:
        """Return whether the routes are proven to be current."""
        return self.view.is_current(clocks.boot_time())

    async def wait(
        self,
        arrived_at: float,
        caller_timeout_s: float,
        can_proceed: Callable[[], bool],
        poll_interval_s: float = POLL_INTERVAL_S,
    ) -> None:
        """Hold a request until it can be served or its wait time is over.

        `caller_timeout_s` is the timeout that the caller states; half of it
        is left for the response. `can_proceed` returns whether this request
        can be served earlier; it is called every `poll_interval_s`.
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
