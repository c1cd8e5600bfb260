"""The gateway process: listeners, timers, and its view of the cluster."""

import asyncio
import collections
import random
import time
import traceback

from _coltsfootroad.core import crashes
from _coltsfootroad.core import endpointset
from _coltsfootroad.core import isolation
from _coltsfootroad.core import minimumshare
from _coltsfootroad.core import peerchoice
from _coltsfootroad.core import reachability
from _coltsfootroad.core import registry
from _coltsfootroad.core import routes
from _coltsfootroad.core import routeview
from _coltsfootroad.core import windowbudget
from _coltsfootroad.core.placement import workload
from _coltsfootroad.gateway import coldendpoints
from _coltsfootroad.gateway import crashdetector
from _coltsfootroad.gateway import crashreporter
from _coltsfootroad.gateway import dialect as dialect_lib
from _coltsfootroad.gateway import directory
from _coltsfootroad.gateway import engines
from _coltsfootroad.gateway import evacuation
from _coltsfootroad.gateway import fairness as fairness_lib
from _coltsfootroad.gateway import front as front_lib
from _coltsfootroad.gateway import gossip as gossip_lib
from _coltsfootroad.gateway import leaderclient
from _coltsfootroad.gateway import pacing
from _coltsfootroad.gateway import quarantine
from _coltsfootroad.gateway import reachmonitor
from _coltsfootroad.gateway import responselimits
from _coltsfootroad.gateway import retryborrower
from _coltsfootroad.gateway import startup
from _coltsfootroad.gateway import upstream
from _coltsfootroad.gateway import watch as watch_lib
from _coltsfootroad.shell import clientmemory
from _coltsfootroad.shell import clientserver
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import dumps
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import metrics as metrics_lib
from _coltsfootroad.shell import settings as settings_lib
from _coltsfootroad.shell import traffic

LOG = logs.logger("gateway")
TICK_INTERVAL_S = 0.25
# A fault that repeats with each tick.
TICK_ERROR_LOG_LIMIT = logs.LogRateLimit(5, 10.0)
# The gateway reports itself as not ready when its last proof from the leader is
# older than this, so that callers move away before it refuses requests.
MAX_READY_PROOF_AGE_S = 3.5
# With an older proof, the list of gateways is no longer served.
MAX_MEMBERS_PROOF_AGE_S = 30.0
# A stopping gateway accepts requests for this long, as callers cache addresses
# for a few seconds. A long request accepted later would be cut off by the end
# of the grace period.
ACCEPT_WHILE_STOPPING_S = 3.0
ENDPOINT_EVENTS = {
    endpointset.AnnouncementResult.NEW: "endpoint announced",
    endpointset.AnnouncementResult.ENDED: "endpoint left",
    endpointset.AnnouncementResult.RESTARTED: "endpoint restarted",
}
# The process exits this long before the end of the grace period.
STOP_MARGIN_S = 0.6
# A stopping gateway waits this long for background calls to engines.
FINAL_TASKS_TIMEOUT_S = 0.2


class Gateway:
    """Forwards requests according to the newest known routes."""

    def __init__(
        self,
        settings: settings_lib.GatewaySettings,
        dialect: dialect_lib.Dialect,
        metrics: metrics_lib.Metrics,
    ):
        self.settings = settings
        self.dialect = dialect
        self.rng = random.Random()
        self.tasks: set[asyncio.Task] = set()
        self.last_ticket = 0
        self.metrics = metrics
        # Must increase with each start, as receivers ignore load summaries of
        # earlier incarnations.
        self.incarnation = time.time_ns()
        self.started_at = clocks.boot_time()
        self.view = routeview.RouteView(settings.staleness_bound_s)
        self.start_up = startup.StartupGate(self.view)
        self.endpoints = endpointset.EndpointSet()
        self.evacuation = evacuation.Evacuation(self.endpoints, self.view)
        self.load = workload.Workload()
        self.fairness = fairness_lib.Fairness(
            self, self.rng, settings.fair_admission
        )
        self.load.on_foreign_work = self.fairness.on_foreign_work
        self.isolation = isolation.Isolation()
        self.chooser = engines.Chooser(
            self.endpoints,
            self.load,
            settings.availability_zone,
            self.rng,
            self.isolation,
        )
        self.cold = coldendpoints.ColdEndpoints(
            settings, self.view, self.endpoints
        )
        self.chooser.cold = self.cold
        self.pacing = pacing.Pacing(
            self.endpoints,
            self.load,
            self.notify_peers,
            self.chooser.calls,
            self.chooser.paces,
        )
        self.load.observer = self.pacing
        self.reach = reachability.Reachability(self.endpoints)
        self.reach_monitor = reachmonitor.ReachMonitor(
            self.reach, self.rng, self.on_reach_change
        )
        self.peers = peerchoice.PeerChooser(
            settings.gateway, settings.availability_zone, self.rng
        )
        self.crash_detector = crashdetector.CrashDetector(
            self.endpoints,
            self.spawn,
            self.report_crash,
            self.reach_monitor,
        )
        self.pools: dict[str, upstream.EndpointPool] = {}
        self.budgets: dict[str, windowbudget.WindowBudget] = {}
        # Other gateways may use an older member list, and so larger shares,
        # until their proof expires; the smallest recent share is safe.
        self.slack_share = minimumshare.MinimumShare(
            settings.retry_window_s
            + settings.staleness_bound_s
            + windowbudget.ARRIVAL_LAG_S,
            settings.staleness_bound_s,
        )
        self.running: set = set()
        self.leaving = False
        self.stopping_at = float("inf")
        self.counts: collections.Counter = collections.Counter()
        # Requests sent to, answered by and received from other gateways.
        self.forwards: collections.Counter = collections.Counter()
        self.lost_in_crashes = 0
        self.caller_memory = clientmemory.ClientMemory.of(settings)
        self.front = front_lib.Front(self)
        self.gossip = gossip_lib.Gossip(self)
        self.watch = watch_lib.Watch(self)
        link = leaderclient.LeaderClient(self)
        self.crash_reporter = crashreporter.CrashReporter(
            settings.gateway, link, self.isolation
        )
        self.quarantine = quarantine.Quarantine(
            settings.gateway,
            link,
            lambda: self.running,
            self.crash_reporter.forget,
        )
        self.retry_borrower = retryborrower.RetryBorrower(
            settings.gateway, link, self.rng, self.spawn
        )
        self.ticker: asyncio.Task | None = None
        self.first_events = metrics.histogram(
            "colts_gateway_first_event", "Time to the first event"
        )
        self.answer_times = metrics.histogram(
            "colts_gateway_answer", "Time to the whole answer"
        )
        self.add_metrics()

    # --- lifecycle ------------------------------------------------------------

    async def start(self) -> None:
        """Open the listeners and start to poll the control plane."""
        settings = self.settings
        self.front.listen(settings.listen)
        clientserver.listen(
            directory.directory_app(self),
            settings.directory_listen,
            directory.MAX_QUERY_BODY,
            self.caller_memory,
        )
        clientserver.listen(
            directory.ready_app(self),
            settings.ready_listen,
            directory.MAX_QUERY_BODY,
            self.caller_memory,
        )
        if settings.metrics_listen:
            clientserver.listen(
                directory.metrics_app(self.metrics),
                settings.metrics_listen,
                directory.MAX_QUERY_BODY,
                self.caller_memory,
            )
        await self.gossip.start(settings.peer_listen)
        self.watch.start()
        self.ticker = asyncio.ensure_future(self.tick())
        LOG.info(
            "started",
            gateway=settings.gateway,
            listen=settings.listen,
            control=list(settings.control()),
        )

    async def tick(self) -> None:
        """Expire old load and send load summaries periodically."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.run_tick()

    def run_tick(self) -> None:
        """Run a tick; log an exception, so that the ticker continues."""
        now = clocks.boot_time()
        try:
            self.load.expire(now)
            self.pacing.advance(now)
            self.gossip.refresh()
            traffic.PROCESS.log_if_due(now)
        except Exception:  # noqa: BLE001
            if TICK_ERROR_LOG_LIMIT.allows(now):
                LOG.error("tick failed", fault=traceback.format_exc())

    async def drain(self) -> None:
        """Stop advertising the gateway, finish requests, and stop in time."""
        started = clocks.boot_time()
        self.leaving = True
        self.stopping_at = started
        LOG.info("stopping", running=len(self.running))
        end = started + self.settings.shutdown_grace_s - STOP_MARGIN_S
        while clocks.boot_time() < end:
            await asyncio.sleep(0.1)
            waited_s = clocks.boot_time() - started
            if waited_s > ACCEPT_WHILE_STOPPING_S and not self.running:
                break
        await self.front.close()
        while self.running and clocks.boot_time() < end + STOP_MARGIN_S / 2:
            await asyncio.sleep(0.02)
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=FINAL_TASKS_TIMEOUT_S)
        LOG.info("stopped", running=len(self.running))
        self.ticker.cancel()
        self.reach_monitor.stop()
        self.gossip.close()
        self.crash_reporter.stop()
        await self.watch.close()

    def reload(self, settings: settings_lib.GatewaySettings) -> None:
        """Apply the settings that may change while the process runs."""
        self.watch.learn_seeds(settings.control())
        LOG.info("settings reloaded", control=list(settings.control()))

    # --- cluster view ---------------------------------------------------------

    def adopt(self, config: routes.RouteConfig) -> None:
        """Apply a newer version of the routes."""
        before = self.view.version
        if self.view.adopt(config):
            self.front.apply(config.limits)
            self.cold.on_routes(clocks.boot_time())
            LOG.info(
                "routes in force",
                version=config.version,
                before=before,
                routes=len(config.routes),
            )

    def learn_endpoint(self, announcement: registry.Announcement) -> None:
        """Apply an endpoint's announcement."""
        before = self.endpoints.known.get(announcement.endpoint)
        learned = self.endpoints.learn(announcement, clocks.boot_time())
        now = clocks.boot_time()
        registry_age_s = self.start_up.registry_age_s(now)
        self.cold.learn(announcement, learned, registry_age_s, now)
        if learned is endpointset.AnnouncementResult.OLD:
            return
        LOG.info(
            ENDPOINT_EVENTS[learned],
            endpoint=announcement.endpoint,
            incarnation=announcement.incarnation,
            seq=announcement.seq,
            state=announcement.state.value,
            address=announcement.address,
        )
        restarted = learned is endpointset.AnnouncementResult.RESTARTED
        if before is None or restarted:
            self.reach_monitor.on_endpoint_started()
        if restarted:
            # Idle connections to the earlier incarnation are dead.
            self.pool(before.announcement.address).close()

    def is_ready(self) -> bool:
        """Return whether callers should use this gateway."""
        is_current = self.view.age_s(clocks.boot_time()) < MAX_READY_PROOF_AGE_S
        return is_current and self.view.table is not None and not self.leaving

    def knows_members(self) -> bool:
        """Return whether the list of gateways is recent enough to serve."""
        return self.view.age_s(clocks.boot_time()) < MAX_MEMBERS_PROOF_AGE_S

    def refuses_new_requests(self, now: float) -> bool:
        """Return whether the gateway is stopping and refuses new requests."""
        return now > self.stopping_at + ACCEPT_WHILE_STOPPING_S

    def closes_connections(self) -> bool:
        """Return whether the connection closes after each response."""
        return self.leaving

    def update_slack_share(self) -> None:
        """Update this gateway's share of limits from the known members."""
        share = self.view.rotation.limit_share(self.settings.gateway)
        self.slack_share.update(
            share, clocks.boot_time(), self.view.confirmed_at
        )

    def budget(self, service: str) -> windowbudget.WindowBudget:
        """Return the retry budget of a service."""
        if service not in self.budgets:
            self.budgets[service] = windowbudget.WindowBudget(
                self.settings.retry_ratio,
                self.settings.retry_slack,
                self.settings.retry_window_s,
            )
        return self.budgets[service]

    def pool(self, address: str) -> upstream.EndpointPool:
        """Return the connection pool of an endpoint's address."""
        if address not in self.pools:
            self.pools[address] = upstream.EndpointPool(address)
        return self.pools[address]

    def next_ticket(self) -> str:
        """Return a ticket that is unique among all sends of all gateways."""
        self.last_ticket += 1
        return f"{self.settings.gateway}-{self.incarnation}-{self.last_ticket}"

    def spawn(self, coroutine) -> None:
        """Run a coroutine in the background."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def on_reach_change(self) -> None:
        """Announce a service that is no longer reached, or is again."""
        self.gossip.announce_partition()

    def notify_peers(self, urgent: bool = False) -> None:
        """Schedule a load summary to the other gateways."""
        self.gossip.schedule_send(
            gossip_lib.COALESCE_S if urgent else gossip_lib.LAZY_COALESCE_S
        )

    # --- records -----------------------------------------------------------

    def record_first_event(self, seconds: float) -> None:
        """Record the time to the first event."""
        self.first_events.record(seconds)

    def record_response(self, status: int, seconds: float) -> None:
        """Record a complete response."""
        self.counts[f"status_{status // 100}xx"] += 1
        self.answer_times.record(seconds)

    def report_crash(self, crash: crashes.Crash) -> None:
        """Report an endpoint's crash with the requests in flight there."""
        self.lost_in_crashes += len(crash.suspects)
        self.crash_reporter.report(crash)

    def record_failure(self, code: str) -> None:
        """Count a refusal or failure that the gateway itself reports."""
        self.counts[code] += 1

    def dump(self) -> bytes:
        """Return the state of the process as JSON for operators."""
        return dumps.to_json(
            {
                "settings": self.settings,
                "version": self.view.version,
                "proof_age_s": self.view.age_s(clocks.boot_time()),
                "members": self.view.members,
                "retry_budgets": self.budgets_dump(),
                "cold": self.cold.dump(clocks.boot_time()),
                "endpoints": self.endpoints.known,
                "own_work": list(self.load.own.values()),
                "foreign_work": self.load.foreign,
                "counts": dict(self.counts),
                "evacuation": self.evacuation.dump(),
                "quarantine": list(self.quarantine.view.entries.values()),
                "crashes": list(self.crash_reporter.recent.values()),
                "isolated": list(self.isolation.suspects),
                "reach": self.reach.services,
                "fairness": self.fairness.dump(),
                "uneven": self.pacing.dump(),
                "held_prefixes": self.chooser.held.dump(),
                "forwards": dict(self.forwards),
                "forwards_in_flight": dict(self.peers.in_flight),
                "held_memory": self.caller_memory.dump(),
                "abandoned_responses": dict(responselimits.COUNTS),
                "running": [e.request_id for e in self.running],
            }
        )

    def budgets_dump(self) -> dict[str, dict]:
        """Return the state of the retry budgets by service."""
        now = clocks.boot_time()
        share = self.slack_share.minimum(now)
        return {
            service: {
                "requests": len(budget.requests),
                "used": budget.used(),
                "allowed": budget.allowed(share),
                "lent": budget.loans.remaining(now),
                "sent": budget.sent,
                "refused": budget.refused,
            }
            for service, budget in self.budgets.items()
        }

    def add_metrics(self) -> None:
        """Register the metrics of this gateway."""
        gauge, counter = self.metrics.gauge, self.metrics.counter
        gauge(
            "colts_gateway_version",
            "Version of the routes in force",
            lambda: self.view.version,
        )
        gauge(
            "colts_gateway_proof_age",
            "Seconds since the version was proved current",
            lambda: min(1e9, self.view.age_s(clocks.boot_time())),
        )
        gauge(
            "colts_gateway_running",
            "Requests in progress",
            lambda: len(self.running),
        )
        gauge(
            "colts_gateway_endpoints",
            "Endpoints that take work",
            lambda: sum(k.accepts for k in self.endpoints.known.values()),
        )
        self.metrics.labelled_gauge(
            "colts_gateway_endpoints_reached",
            "Endpoints that take work and have no failed connection",
            "service",
            lambda: {
                service: self.reach.reached_endpoints(service)
                for service in self.reach.services
            },
        )
        self.metrics.labelled_gauge(
            "colts_gateway_partitioned",
            "Whether this gateway counts as partitioned from the service",
            "service",
            lambda: {
                service: int(reach.is_partitioned)
                for service, reach in self.reach.services.items()
            },
        )
        self.metrics.labelled_counter(
            "colts_gateway_forwards",
            "Requests sent to, answered by and received from other gateways",
            "direction",
            lambda: dict(self.forwards),
        )
        counter(
            "colts_gateway_answers",
            "Whole answers of endpoints",
            lambda: sum(
                n for k, n in self.counts.items() if k.startswith("status_")
            ),
        )
        counter(
            "colts_gateway_failures",
            "Refusals and failures of our own",
            lambda: sum(
                n for k, n in self.counts.items() if not k.startswith("status_")
            ),
        )
        counter(
            "colts_gateway_lost_in_crashes",
            "Sends whose endpoint crashed before the answer was whole",
            lambda: self.lost_in_crashes,
        )
        gauge(
            "colts_gateway_quarantined",
            "Requests that are in quarantine",
            lambda: len(self.quarantine.view.entries),
        )
        self.metrics.labelled_counter(
            "colts_gateway_quarantine_refusals",
            "Requests refused as they are in quarantine, by workspace",
            "workspace",
            lambda: dict(self.quarantine.refusals),
        )
        self.metrics.labelled_counter(
            "colts_gateway_quarantine_refusals_by_kind",
            "Requests refused for their content or a part of their prompt",
            "kind",
            lambda: dict(self.quarantine.refusals_by_kind),
        )
        self.pacing.add_metrics(self.metrics)
        self.metrics.labelled_counter(
            "colts_gateway_held_prefixes",
            "Records of prefixes that engines hold, and dropped ones",
            "kind",
            lambda: dict(self.chooser.held.counts),
        )
        self.add_budget_metrics()
        self.evacuation.add_metrics(self.metrics)
        self.cold.add_metrics(self.metrics)
        self.fairness.add_metrics(self.metrics)
        self.caller_memory.add_metrics(self.metrics)
        gauge(
            "colts_gateway_held_bytes",
            "Bytes held for callers",
            lambda: self.caller_memory.held.total,
        )
        gauge(
            "colts_gateway_held_limit_bytes",
            "Most bytes that may be held for callers",
            lambda: self.caller_memory.held.limit,
        )
        counter(
            "colts_gateway_slow_readers_closed",
            "Connections closed as too many bytes were held for callers",
            lambda: self.caller_memory.closed,
        )
        self.metrics.labelled_counter(
            "colts_gateway_abandoned_responses",
            "Responses over a limit or malformed, by fault",
            "fault",
            lambda: dict(responselimits.COUNTS),
        )
        counter("colts_log_dropped", "Log lines dropped", logs.dropped)
        traffic.PROCESS.add_metrics(self.metrics)

    def add_budget_metrics(self) -> None:
        """Register the counters of the services' retry budgets."""
        texts = {
            "counted": "Requests counted for the retry budget",
            "sent": "Retries sent and charged to the retry budget",
            "refused": "Retries refused, as the retry budget was used up",
        }
        names = {
            "counted": "colts_gateway_budget_requests",
            "sent": "colts_gateway_retries",
            "refused": "colts_gateway_retries_refused",
        }
        for field, text in texts.items():
            self.metrics.labelled_counter(
                names[field],
                f"{text}, by service",
                "service",
                lambda field=field: {
                    service: getattr(budget, field)
                    for service, budget in self.budgets.items()
                },
            )
