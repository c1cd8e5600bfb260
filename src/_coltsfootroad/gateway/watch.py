"""Long-polls the control plane for changes and applies them to a gateway.

The gateway polls a relay in its availability zone, which gets the changes from
the leader. When the relay does not respond or lags behind, the gateway polls
another relay or the leader.
"""

import asyncio
import traceback

from _coltsfootroad.control import crashreports
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import retrylending
from _coltsfootroad.control import watching
from _coltsfootroad.core import addresses
from _coltsfootroad.core import backlog as backlog_lib
from _coltsfootroad.core import registry
from _coltsfootroad.core import relaychoice
from _coltsfootroad.core import routesync
from _coltsfootroad.shell import channels as channels_lib
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import wire

LOG = logs.logger("watch")
# A response without changes is held back for this long. Together with the
# time-out and the age of the relay's own proof, it keeps this gateway's proof
# younger than 2 s while there is a leader, and the loss of a gateway that
# receives requests is detected within 1.6 s.
POLL_HOLD_S = 0.4
# The same for a gateway that is not advertised to callers: its loss affects no
# request, and most of hundreds of gateways poll less than half as often.
UNUSED_GATEWAY_POLL_HOLD_S = 1.0
# Time-out of a poll beyond the time for which the response is held back.
POLL_TRANSIT_S = 0.3
# Pause between polls; one change every 60 ms is frequent enough.
POLL_PAUSE_S = 0.02
POLL_FAILURE_PAUSE_S = 0.1
# An error repeats with each response until a later version corrects it.
POLL_ERROR_LOG_LIMIT = logs.LogRateLimit(5, 10.0)
# The gateway's part of the control protocol; leaving out the other messages
# shortens the start.
MESSAGES = wire.WireFormat.of(
    watching.Watch,
    watching.News,
    watching.AskElsewhere,
    outcomes.NotLeader,
    outcomes.Refused,
    outcomes.Done,
    crashreports.ReportCrashes,
    crashreports.StartTrial,
    crashreports.TrialAnswer,
    crashreports.EndQuarantine,
    retrylending.BorrowRetries,
    retrylending.RetriesLent,
)


class Watch:
    """Polls for changes and applies them."""

    def __init__(self, gateway):
        self.gateway = gateway
        settings = gateway.settings
        self.channels = channels_lib.ChannelPool(MESSAGES)
        self.choice = relaychoice.RelayChoice(
            gateway=settings.gateway,
            zone=settings.availability_zone,
            seeds=list(settings.control()),
        )
        self.epoch = ""
        self.registry_mark = 0
        self.connected = False
        # Announcements to resend to a new leader that does not have them.
        self.backlog = backlog_lib.Backlog()
        self.route_sync = routesync.RouteSync()
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Start to poll."""
        self.task = asyncio.ensure_future(self.run())

    def learn_seeds(self, seeds: tuple[str, ...]) -> None:
        """Add addresses of the control plane."""
        self.choice.learn_seeds(seeds)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            succeeded = await self.try_poll()
            pause_s = POLL_PAUSE_S if succeeded else POLL_FAILURE_PAUSE_S
            await asyncio.sleep(pause_s)

    async def try_poll(self) -> bool:
        """Poll once; an error in applying a response must not end the watch.

        A version that cannot be applied would otherwise block the next one,
        which may correct it. A response that was not applied proves nothing.
        """
        try:
            return await self.poll()
        except Exception:  # noqa: BLE001
            if POLL_ERROR_LOG_LIMIT.allows(clocks.boot_time()):
                LOG.error(
                    "changes not applied",
                    version=self.gateway.view.version,
                    fault=traceback.format_exc(),
                )
            return False

    async def poll(self) -> bool:
        """Poll once; return whether the response was usable."""
        requested_at = clocks.boot_time()
        before = self.choice.current
        address = self.choice.choose(requested_at)
        if address != before:
            LOG.info("polls", address=address, before=before)
        # A proof counts from the request, even if the response is held back.
        request = self.next_request()
        answer = await self.channels.call(
            address, request, request.wait_s + POLL_TRANSIT_S
        )
        response = answer.ok if answer.is_ok() else None
        if isinstance(response, watching.News):
            self.log_connection_change(True, address)
            self.apply_response(request, response, requested_at)
            return True
        now = clocks.boot_time()
        if isinstance(response, watching.AskElsewhere):
            self.learn_relays(response.relays)
            return True
        hint = response.hint if isinstance(response, outcomes.NotLeader) else ""
        self.choice.follow_hint(hint, address, now)
        reason = answer.error if answer.is_error() else type(response).__name__
        self.log_connection_change(False, f"{address}: {reason}")
        return False

    def next_request(self) -> watching.Watch:
        """Return the next poll request."""
        return watching.Watch(
            member=self.member(),
            attachment=self.choice.attachment,
            routes_version=self.route_sync.base_version(
                self.gateway.view.config
            ),
            epoch=self.epoch,
            registry_mark=self.registry_mark,
            announcements=self.backlog_page(),
            wait_s=self.poll_hold_s(),
            knows_relays=bool(self.choice.relays),
        )

    def poll_hold_s(self) -> float:
        """Return for how long a response without changes may be held back."""
        gateway = self.gateway
        is_used = gateway.view.rotation.includes(gateway.settings.gateway)
        return POLL_HOLD_S if is_used else UNUSED_GATEWAY_POLL_HOLD_S

    def backlog_page(self) -> tuple[registry.Announcement, ...]:
        """Return the announcements to send with the next request."""
        if self.backlog.pending:
            self.backlog.refresh(self.gateway.endpoints.current_announcements())
        return self.backlog.page()

    def member(self) -> addresses.Member:
        """Return this gateway's member record for the other gateways."""
        settings = self.gateway.settings
        return addresses.Member(
            entry=settings.gateway,
            incarnation=self.gateway.incarnation,
            address=settings.listen,
            peer_address=settings.peer_listen,
            availability_zone=settings.availability_zone,
            leaving=self.gateway.leaving,
            partitioned=self.gateway.reach.is_partitioned_from_all(),
        )

    def log_connection_change(self, connected: bool, detail: str) -> None:
        """Log once when the control plane is lost or reached again."""
        if connected != self.connected:
            text = "leader regained" if connected else "leader lost"
            LOG.info(text, detail=detail, version=self.gateway.view.version)
        self.connected = connected

    def apply_response(
        self, request: watching.Watch, news: watching.News, requested_at: float
    ) -> None:
        """Apply the response to a poll."""
        gateway = self.gateway
        changes = news.changes
        if news.epoch != self.epoch:
            LOG.info(
                "new epoch",
                epoch=news.epoch,
                before=self.epoch,
                whole=changes.whole,
            )
            gateway.crash_reporter.report_again()
        self.backlog.settle(request.announcements)
        if changes.whole and self.epoch:
            self.backlog.add_all(gateway.endpoints.current_announcements())
        self.epoch = news.epoch
        self.registry_mark = news.registry_mark
        self.choice.learn_seeds(news.replicas)
        if changes.whole:
            self.choice.relays.clear()
        self.learn_relays(changes.relays)
        for name in changes.lost_relays:
            self.choice.forget(name)
        self.apply_endpoints(changes)
        proved_at = requested_at - news.proof_age_s
        gateway.evacuation.learn(changes, proved_at)
        gateway.quarantine.learn(changes)
        gateway.crash_reporter.watch(changes)
        gateway.view.member_view.learn(
            changes.members,
            changes.lost_members,
            changes.whole,
            0.0 if changes.more else news.registry_age_s,
        )
        proved_at = requested_at - news.proof_age_s
        gateway.cold.learn_members(changes, proved_at, clocks.boot_time())
        if not self.apply_routes(request, news):
            return
        gateway.view.confirm(proved_at)
        gateway.update_slack_share()
        gateway.start_up.record_registry_age(
            news.registry_age_s, clocks.boot_time()
        )
        if news.proof_age_s > relaychoice.MAX_RELAY_PROOF_AGE_S:
            now = clocks.boot_time()
            LOG.info(
                "relay is behind",
                address=self.choice.current,
                proof_age_s=round(news.proof_age_s, 3),
            )
            self.choice.back_off(self.choice.current, now)

    def learn_relays(self, relays: tuple[watching.Relay, ...]) -> None:
        """Add relays that can be polled."""
        for relay in relays:
            self.choice.learn(
                relay.name, relay.address, relay.availability_zone
            )

    def apply_endpoints(self, changes: watching.Changes) -> None:
        """Apply changes of endpoints."""
        gateway = self.gateway
        for announcement in changes.announcements:
            gateway.learn_endpoint(announcement)
        for name in changes.gone:
            gateway.endpoints.expire(name)
            LOG.info("endpoint silent", endpoint=name)
        for announcement in changes.left:
            gateway.learn_endpoint(announcement)

    def apply_routes(
        self, request: watching.Watch, news: watching.News
    ) -> bool:
        """Apply newer routes; return whether the held ones are current."""
        gateway = self.gateway
        received = self.route_sync.receive(
            gateway.view.config,
            request.routes_version,
            news.routes,
            news.routes_delta,
        )
        if received.config is not None:
            gateway.adopt(received.config)
        if not received.is_current:
            LOG.warning(
                "delta does not fit",
                base=news.routes_delta.base,
                version=gateway.view.version,
            )
        return received.is_current

    async def close(self) -> None:
        """Stop polling."""
        if self.task is not None:
            self.task.cancel()
        await self.channels.close()
