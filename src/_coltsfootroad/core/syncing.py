"""Heartbeats of an entry: the requests to the leader and its replies."""

import attrs

from _coltsfootroad.control import configstore
from _coltsfootroad.control import messages
from _coltsfootroad.core import addresses
from _coltsfootroad.core import config as config_lib
from _coltsfootroad.core import endpoints
from _coltsfootroad.core import hosts
from _coltsfootroad.core import registry

# Shortest time between two early heartbeats.
MIN_EARLY_HEARTBEAT_GAP_S = 0.1
LOAD_DIGITS = 4


@attrs.define
class EntrySync(hosts.Hurrying):
    """The part of the entry core that exchanges heartbeats with the leader.

    Attributes:
        wants_sync: Whether a heartbeat should be sent early.
        registry_epoch: Epoch of the leader's registry.
        registry_mark: Revision up to which registry changes are known.
        announced: Announcements that the leader has not confirmed.
        reported: Load reports that the leader has not confirmed.
    """

    core: hosts.SyncHost
    wants_sync: bool = False
    early_heartbeat_at: float = float("-inf")
    registry_epoch: str = ""
    registry_mark: int = 0
    announced: dict[str, registry.Announcement] = attrs.Factory(dict)
    reported: dict[str, endpoints.LoadReport] = attrs.Factory(dict)

    def request(
        self, member: addresses.Member, now: float
    ) -> messages.SyncRequest:
        """Return the next heartbeat."""
        holdings = tuple(
            messages.Holding(
                workspace=name,
                grant=meter.share.grant,
                tokens_per_s=meter.share.tokens_per_s,
                concurrency=meter.share.concurrency,
                in_flight=meter.in_flight,
                remaining_s=meter.lease_until - now,
            )
            for name, meter in self.core.limits.meters.items()
            if meter.is_active(now)
        )
        self.wants_sync = False
        return messages.SyncRequest(
            member=attrs.evolve(
                member,
                leaving=self.core.draining,
                load=len(self.core.flights.flights),
                config_version=self.core.freshness.version,
                short_loads={
                    name: round(pool.own_short_load(now), LOAD_DIGITS)
                    for name, pool in self.core.pools.items()
                },
            ),
            config_version=self.core.freshness.version,
            epoch=self.registry_epoch,
            registry_mark=self.registry_mark,
            announcements=tuple(self.announced.values()),
            loads=tuple(
                messages.AgedLoad(report=r, age_s=now - r.measured_at)
                for r in self.reported.values()
            ),
            demands=self.core.limits.demands(now),
            holdings=holdings,
        )

    def request_heartbeat(self, now: float) -> None:
        """Request an early heartbeat, at a limited rate.

        Otherwise a leader that cannot grant shares yet would get a heartbeat
        after every answer, hundreds a second after each failover.
        """
        if now - self.early_heartbeat_at >= MIN_EARLY_HEARTBEAT_GAP_S:
            self.early_heartbeat_at = now
            self.wants_sync = True

    def apply_reply(
        self,
        request: messages.SyncRequest,
        reply: messages.SyncReply,
        requested_at: float,
        now: float,
    ) -> None:
        """Apply the leader's reply to a heartbeat sent at `requested_at`."""
        self.forget_delivered(request)
        if not self.adopt_config(reply.config):
            return
        self.core.freshness.confirm(requested_at)
        self.core.freshness.member_view.learn(
            reply.members,
            reply.lost_members,
            from_new_leader=reply.epoch != self.registry_epoch,
        )
        self.core.limits.apply(reply.shares, requested_at, now)
        if reply.epoch != self.registry_epoch:
            self.announce_all()
        self.registry_epoch = reply.epoch
        self.registry_mark = reply.registry_mark
        for name in reply.gone:
            self.core.roster.expire_endpoint(name, now)
        for announcement in reply.announcements:
            self.core.roster.take_announcement(announcement, now)
        self.core.roster.drop_expired(now)
        for aged in reply.loads:
            self.core.roster.take_load(
                attrs.evolve(aged.report, measured_at=now - aged.age_s), now
            )
        self.apply_group_holds(reply.group_holds)
        self.core.pump_all(now)

    def adopt_config(self, update: messages.ConfigUpdate | None) -> bool:
        """Apply an update; return whether the newest version is in force."""
        if update is None:
            return True
        freshness = self.core.freshness
        if update.version <= freshness.version:
            # This reply arrived after a later one.
            return update.version == freshness.version
        updated = configstore.apply_update(
            freshness.version, freshness.document, update
        )
        if updated is None:
            freshness.version = -1
            return False
        parsed = config_lib.parse(updated[1])
        if parsed.is_error():
            return False
        return freshness.adopt(updated[0], updated[1], parsed.ok)

    def apply_group_holds(self, holds: dict[str, int]) -> None:
        """Record the memory that groups of other entries reserve."""
        own = {
            name
            for flight in self.core.flights.flights.values()
            for name in flight.group_engines
        }
        others = [
            m for m in self.core.freshness.members if m.entry != self.core.entry
        ]
        for service, pool in self.core.pools.items():
            pool.entry_count = len(others) + 1
            pool.others_short_load = sum(
                m.short_loads.get(service, 0.0) for m in others
            )
            for name, view in pool.views.items():
                held = holds.get(name, 0)
                view.kv_group_held = 0 if name in own else held

    def forget_delivered(self, request: messages.SyncRequest) -> None:
        """Drop the announcements and reports that a heartbeat has delivered."""
        for announcement in request.announcements:
            name = announcement.endpoint
            if self.announced.get(name) == announcement:
                del self.announced[name]
        for aged in request.loads:
            name = aged.report.endpoint
            if self.reported.get(name) is aged.report:
                del self.reported[name]

    def announce_all(self) -> None:
        """Announce all endpoints to a new leader, whose registry is empty."""
        for pool in self.core.pools.values():
            for name, view in pool.views.items():
                if not view.expired:
                    self.announced.setdefault(name, view.announcement)
