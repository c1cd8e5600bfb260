"""The cold endpoints that a gateway knows, and its part of their limits."""

import collections

import attrs

from _coltsfootroad.control import watching
from _coltsfootroad.core import coldlimit
from _coltsfootroad.core import endpointset
from _coltsfootroad.core import headernumbers
from _coltsfootroad.core import registry
from _coltsfootroad.core import routes
from _coltsfootroad.core import routeview
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import metrics as metrics_lib
from _coltsfootroad.shell import settings as settings_lib

LOG = logs.logger("cold")
KnownEndpoint = endpointset.KnownEndpoint
# Endpoints announce themselves to a new leader within this time; without a copy
# of the state, it publishes them as they do, also those that run for long.
SETTLED_REGISTRY_S = 10.0
MS = 1000
COUNTERS = {
    "sent": "Requests and helper requests sent to cold endpoints",
    "not_allowed": "Sends to cold endpoints given up right before the send",
    "waited": "Waits of requests for a cold endpoint",
    "forwarded": "Requests forwarded as cold endpoints were at a limit",
    "refused": "Requests refused as cold endpoints were at a limit",
}


@attrs.define(eq=False)
class ColdEndpoints:
    """Applies the limit of cold endpoints to the choices of one gateway.

    Attributes:
        settings: Settings of the gateway.
        view: Routes in use, which state the services' rates.
        endpoints: Endpoints that the gateway knows.
        limit: The gateway's part of the limits.
        counts: Counters by name and service.
        waiting: Requests by service that wait for a cold endpoint.
        knows_all: Whether all endpoints that control knew were learned once.
    """

    settings: settings_lib.GatewaySettings
    view: routeview.RouteView
    endpoints: endpointset.EndpointSet
    limit: coldlimit.ColdLimit = attrs.field(init=False)
    counts: dict[str, collections.Counter] = attrs.field(init=False)
    waiting: collections.Counter = attrs.Factory(collections.Counter)
    knows_all: bool = False

    def __attrs_post_init__(self):
        self.limit = coldlimit.ColdLimit(
            self.settings.gateway, self.settings.staleness_bound_s
        )
        self.counts = {name: collections.Counter() for name in COUNTERS}

    # --- news ---------------------------------------------------------------

    def learn_members(
        self, changes: watching.Changes, proved_at: float, now: float
    ) -> None:
        """Apply the changes of gateways that a response to a poll states."""
        self.limit.recent.learn(
            changes.members,
            changes.lost_members,
            changes.whole,
            self.view.members,
            now,
        )
        if not changes.more:
            self.limit.confirm(proved_at)
            self.knows_all = True

    def learn(
        self,
        announcement: registry.Announcement,
        learned: endpointset.AnnouncementResult,
        registry_age_s: float,
        now: float,
    ) -> None:
        """Apply an announcement to the cold phase of its endpoint.

        The first announcement of an incarnation may be late and state too short
        a phase. A name that is new to this gateway is a new endpoint only if
        control has received announcements for a while.
        """
        known = self.endpoints.known.get(announcement.endpoint)
        is_old = learned is endpointset.AnnouncementResult.OLD
        if known is None or is_old:
            return
        is_new = (
            known.cold.seq < 0
            and self.knows_all
            and registry_age_s >= SETTLED_REGISTRY_S
        )
        if is_new or learned is endpointset.AnnouncementResult.RESTARTED:
            known.cold.restart(now)
        known.cold.learn(announcement, now)
        self.is_cold(known, now, "announcement")

    def learn_from_response(
        self, known: KnownEndpoint, text: str, now: float
    ) -> None:
        """Apply the milliseconds that a response states, if it does."""
        stated_ms = headernumbers.read_count(text)
        if stated_ms is not None and self.limit_of(known):
            known.cold.learn_from_response(stated_ms / MS, now)
            self.is_cold(known, now, "response")

    # --- decisions ----------------------------------------------------------

    def spec(self, known: KnownEndpoint) -> routes.ServiceSpec | None:
        """Return the service of an endpoint, None if it is not known."""
        table = self.view.table
        if table is None:
            return None
        return table.services.get(known.announcement.service)

    def limit_of(self, known: KnownEndpoint) -> int:
        """Return the limit of an endpoint over all gateways, 0 for none."""
        spec = self.spec(known)
        if spec is None or not spec.cold_per_s:
            return 0
        return coldlimit.whole_limit(
            spec.cold_per_s,
            self.settings.cold_overrun,
            self.settings.cold_slack,
        )

    def remaining_s(self, known: KnownEndpoint, now: float) -> float:
        """Return for how long an endpoint is limited, 0 if it is not."""
        spec = self.spec(known)
        if spec is None or not spec.cold_per_s:
            return 0.0
        return known.cold.remaining_s(spec.cold_start_s, now)

    def is_cold(
        self, known: KnownEndpoint, now: float, source: str = "countdown"
    ) -> bool:
        """Return whether an endpoint is limited; update its predicted times."""
        is_cold = self.remaining_s(known, now) > 0
        if is_cold != (known.cold_slowdown > 0):
            known.cold_slowdown = coldlimit.COLD_SLOWDOWN if is_cold else 0.0
            LOG.info(
                "endpoint cold" if is_cold else "endpoint warm",
                incarnation=known.announcement.incarnation,
                seq=known.announcement.seq,
                stated_s=known.announcement.cold_remaining_s,
                source=source,
                **self.inputs(known, now),
            )
        return is_cold

    def on_routes(self, now: float) -> None:
        """Apply a new version, which may limit other services."""
        for known in self.endpoints.known.values():
            self.is_cold(known, now, "routes")

    def usable(
        self,
        spec: routes.ServiceSpec,
        sampled: list[KnownEndpoint],
        now: float,
    ) -> list[KnownEndpoint]:
        """Return the endpoints that are warm or may get a request now."""
        limit = coldlimit.whole_limit(
            spec.cold_per_s,
            self.settings.cold_overrun,
            self.settings.cold_slack,
        )
        return [
            known
            for known in sampled
            if not self.is_cold(known, now)
            or self.limit.may_choose(known.incarnation_key, limit, now)
        ]

    def may_send(self, known: KnownEndpoint, now: float) -> bool:
        """Return whether a request may be sent to an endpoint now.

        A later incarnation at the same address may be cold.
        """
        if not self.endpoints.is_current(known):
            return False
        if not self.is_cold(known, now):
            return True
        key, limit = known.incarnation_key, self.limit_of(known)
        return self.limit.may_send(key, limit, now)

    def record(
        self, known: KnownEndpoint, service: str, now: float, is_helper: bool
    ) -> None:
        """Count a send; those to warm endpoints count if it becomes cold."""
        self.limit.record(known.incarnation_key, now, is_helper)
        if self.is_cold(known, now):
            self.counts["sent"][service] += 1

    # --- records ------------------------------------------------------------

    def inputs(self, known: KnownEndpoint, now: float) -> dict[str, object]:
        """Return the inputs of a decision on an endpoint, for the log."""
        key, limit = known.incarnation_key, self.limit_of(known)
        window = self.limit.windows.get(key, coldlimit.SendWindow())
        return {
            "endpoint": known.name,
            "remaining_s": round(self.remaining_s(known, now), 3),
            "limit": limit,
            "place": self.limit.place(key, now),
            "quota": self.limit.quota(key, limit, now),
            "used": window.used(now),
            "pending": window.pending,
        }

    def cold_endpoints(self, now: float) -> list[KnownEndpoint]:
        """Return the endpoints that are limited now."""
        return [
            known
            for known in self.endpoints.known.values()
            if known.accepts and self.remaining_s(known, now) > 0
        ]

    def dump(self, now: float) -> dict[str, object]:
        """Return the state of the limits for operators."""
        bounds = self.limit.recent.bounds(now)
        return {
            "endpoints": [
                self.inputs(k, now) for k in self.cold_endpoints(now)
            ],
            "certain": sorted(bounds.certain),
            "possible": list(bounds.possible),
            "members_proof_age_s": now - self.limit.proved_at,
            "waiting": dict(self.waiting),
        }

    def count_by_service(self) -> dict[str, int]:
        """Return the number of cold endpoints by service."""
        found = self.cold_endpoints(clocks.boot_time())
        return dict(
            collections.Counter(known.announcement.service for known in found)
        )

    def add_metrics(self, metrics: metrics_lib.Metrics) -> None:
        """Register the metrics of cold endpoints."""
        metrics.labelled_gauge(
            "colts_gateway_cold_endpoints",
            "Endpoints that are cold and limited, by service",
            "service",
            self.count_by_service,
        )
        for name, text in COUNTERS.items():
            metrics.labelled_counter(
                f"colts_gateway_cold_{name}",
                f"{text}, by service",
                "service",
                lambda name=name: dict(self.counts[name]),
            )
