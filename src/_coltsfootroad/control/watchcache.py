"""A relay's copy of the leader's fleet state, served to watching gateways.

If hundreds of gateways watched the leader directly, each change would cost the
leader one response per gateway, most of them to other availability zones, and
after a cold restart all gateways would request the complete state at once. The
leader therefore serves a few relays, and each relay serves the gateways of its
zone.

The age of a freshness proof counts from when the relay sent its request to the
leader; each response to a gateway states the age of the relay's own proof.
"""

import attrs

from _coltsfootroad.control import coordinator as coordinator_lib
from _coltsfootroad.control import fleetstate
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import routestore
from _coltsfootroad.control import watching
from _coltsfootroad.core import backlog as backlog_lib
from _coltsfootroad.core import registry
from _coltsfootroad.core import routesync

# A new leader reuses a copy of at most this age. An older copy is discarded,
# as nearly all of it has changed.
MAX_TAKEOVER_AGE_S = 6.0
NEVER = float("-inf")


@attrs.define
class Watcher:
    """A gateway that watches this relay, and when its lease ends."""

    attached: watching.Attached
    until: float


@attrs.define
class WatchCache:
    """Copy of the fleet state, and the gateways that watch it.

    Attributes:
        relay: The relay itself.
        fleet_state: Copy of the leader's fleet state.
        routes: Current route version, and deltas from earlier versions.
        watchers: Gateways that watch this relay, by name.
        unreported: Gateways that attached, changed or detached (None) since
            the last report to the leader.
        backlog: Announcements that the leader may lack: from an earlier
            leader's state, or reported by gateways.
        reported_epoch: Epoch of the leader that knows all `watchers` except
            those in `unreported`.
        confirmed_at: When the request was sent that a leader answered last;
            the route version held was current at that time.
        synced_at: When the copy last matched the leader's state.
        registry_since: When the leader began to receive announcements.
        replicas: Addresses of the replicas.
        route_sync: Decides which route version to request updates from.
    """

    relay: watching.Relay
    fleet_state: fleetstate.FleetState = attrs.Factory(fleetstate.FleetState)
    routes: routestore.RouteStore = attrs.Factory(routestore.RouteStore)
    watchers: dict[str, Watcher] = attrs.Factory(dict)
    unreported: dict[str, watching.Attached | None] = attrs.Factory(dict)
    backlog: backlog_lib.Backlog = attrs.Factory(backlog_lib.Backlog)
    reported_epoch: str = ""
    confirmed_at: float = NEVER
    synced_at: float = NEVER
    registry_since: float = 0.0
    replicas: tuple[str, ...] = ()
    route_sync: routesync.RouteSync = attrs.Factory(routesync.RouteSync)

    # --- requests to the leader --------------------------------------------

    @property
    def has_unreported_changes(self) -> bool:
        """Return whether there are gateways or endpoints to report."""
        return bool(self.unreported or self.backlog.pending)

    def next_request(self, now: float, wait_s: float) -> watching.RelayWatch:
        """Return the next request, with a page of unreported announcements."""
        self.expire(now)
        complete = self.reported_epoch != self.fleet_state.epoch
        attached = [
            gateway
            for gateway in self.unreported.values()
            if gateway is not None
        ]
        if complete:
            attached = [watcher.attached for watcher in self.watchers.values()]
        detached = [
            name for name, gateway in self.unreported.items() if gateway is None
        ]
        return watching.RelayWatch(
            relay=self.relay,
            attached=tuple(attached),
            detached=() if complete else tuple(detached),
            complete=complete,
            routes_version=self.route_sync.base_version(self.routes.config),
            epoch=self.fleet_state.epoch,
            registry_mark=self.fleet_state.last_revision,
            announcements=self.backlog.page(),
            wait_s=wait_s,
        )

    def apply_response(
        self,
        request: watching.RelayWatch,
        response: watching.News,
        requested_at: float,
        now: float,
    ) -> None:
        """Apply a leader's response to a request.

        Two requests may be in flight, one of them a long poll. A response
        that was overtaken holds no new changes, and says nothing about a
        later leader.
        """
        overtaken = request.epoch != self.fleet_state.epoch
        if overtaken and response.epoch != self.fleet_state.epoch:
            return
        self.mark_reported(request, response)
        self.registry_since = now - response.registry_age_s
        self.replicas = response.replicas or self.replicas
        if response.changes.whole and not overtaken:
            self.reset_copy()
        if (
            not self.fleet_state.epoch
            or response.registry_mark >= self.fleet_state.last_revision
        ):
            self.fleet_state.apply_response(response)
        if self.apply_routes(request, response):
            self.confirmed_at = max(self.confirmed_at, requested_at)
            self.synced_at = max(self.synced_at, requested_at)

    def mark_reported(
        self, request: watching.RelayWatch, response: watching.News
    ) -> None:
        """Mark what the leader has received as reported."""
        sent: dict[str, watching.Attached | None] = {
            gateway.member.entry: gateway for gateway in request.attached
        }
        sent.update(dict.fromkeys(request.detached))
        for name, gateway in sent.items():
            if name in self.unreported and self.unreported[name] == gateway:
                del self.unreported[name]
        self.backlog.settle(request.announcements)
        if request.complete:
            self.reported_epoch = request.epoch
        if response.changes.wants_complete or response.epoch != request.epoch:
            self.reported_epoch = ""

    def reset_copy(self) -> None:
        """Discard a copy whose epoch the present leader does not continue.

        Its announcements and sign-offs are reported to the present leader.
        """
        self.backlog.add_all(self.fleet_state.endpoints.values())
        for item in self.fleet_state.endpoints.tombstones.values():
            if item.value is not None:
                self.backlog.add(item.value)
        self.fleet_state.clear()

    def apply_routes(
        self, request: watching.RelayWatch, response: watching.News
    ) -> bool:
        """Adopt newer routes; return whether the version held is current."""
        received = self.route_sync.receive(
            self.routes.config,
            request.routes_version,
            response.routes,
            response.routes_delta,
        )
        if received.config is not None:
            self.routes.adopt(received.config)
        return received.is_current

    # --- responses to gateways ---------------------------------------------

    def on_watch(
        self, request: watching.Watch, now: float
    ) -> watching.News | watching.AskElsewhere | outcomes.NotLeader:
        """Return a gateway's changes, or redirect it to relays of its zone."""
        if not self.fleet_state.epoch:
            return outcomes.NotLeader()
        near = relays_in_zone(self.fleet_state, request, self.relay)
        if near:
            return watching.AskElsewhere(relays=near)
        self.renew_watcher(request, now)
        complete, delta = self.routes.update_since(request.routes_version)
        return attrs.evolve(
            self.fleet_state.page(request.epoch, request.registry_mark),
            proof_age_s=now - self.confirmed_at,
            registry_age_s=now - self.registry_since,
            routes=complete,
            routes_delta=delta,
            replicas=self.replicas,
        )

    def renew_watcher(self, request: watching.Watch, now: float) -> None:
        """Renew a gateway's lease and queue its announcements for reporting."""
        name = request.member.entry
        attached = watching.Attached(
            member=request.member, attachment=request.attachment
        )
        known = self.watchers.get(name)
        if known is not None and known.attached.order > attached.order:
            return
        until = now + request.wait_s + coordinator_lib.WATCH_LEASE_MARGIN_S
        if known is None or known.attached != attached:
            self.unreported[name] = attached
        self.watchers[name] = Watcher(attached, until)
        for announcement in request.announcements:
            if not self.is_published(announcement):
                self.backlog.add(announcement)

    def is_published(self, announcement: registry.Announcement) -> bool:
        """Return whether the leader published this or a newer announcement."""
        name = announcement.endpoint
        item = self.fleet_state.endpoints.items.get(name)
        item = item or self.fleet_state.endpoints.tombstones.get(name)
        if item is None or item.value is None:
            return False
        return not registry.is_newer(announcement, item.value)

    def expire(self, now: float) -> None:
        """Drop gateways whose lease has ended."""
        for name, watcher in list(self.watchers.items()):
            if watcher.until <= now:
                del self.watchers[name]
                self.unreported[name] = None

    # --- leader changes ----------------------------------------------------

    def is_fresh(self, now: float) -> bool:
        """Return whether a new leader may reuse the copy."""
        return now - self.synced_at < MAX_TAKEOVER_AGE_S

    def step_down(self, registry_since: float, now: float) -> None:
        """Serve as a relay again after having led with this fleet state.

        The fleet state is valid, but nothing proves that the routes are
        current, so `confirmed_at` stays.
        """
        self.registry_since = registry_since
        self.synced_at = now


def relays_in_zone(
    fleet_state: fleetstate.FleetState,
    request: watching.Watch,
    own: watching.Relay,
) -> tuple[watching.Relay, ...]:
    """Return the relays in a new gateway's zone if it watches another zone."""
    zone = request.member.availability_zone
    if request.knows_relays or zone == own.availability_zone:
        return ()
    relays = fleet_state.relays.values()
    return tuple(relay for relay in relays if relay.availability_zone == zone)
