"""Heartbeats of an entry: what it tells the leader and what it learns."""

import attrs

from _coltsfootroad.control import configstore
from _coltsfootroad.control import messages
from _coltsfootroad.core import addresses
from _coltsfootroad.core import config as config_lib
from _coltsfootroad.core import endpoints
from _coltsfootroad.core import hosts
from _coltsfootroad.core import registry

# Shortest time between two heartbeats that go out before their time.
MIN_EARLY_SYNC_GAP_S = 0.1
LOAD_DIGITS = 4


@attrs.define
class Syncing(hosts.Hurrying):
    """The part of the entry core that talks to the leader.

    `announced` and `reported` hold what endpoints told this entry and the
    leader has not confirmed to have heard.
    """

    core: hosts.SyncHost
    wants_sync: bool = False
    early_sync_at: float = float("-inf")
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

    def request_early_sync(self, now: float) -> None:
        """Ask for a heartbeat before its time, within a rate.

        A leader that cannot grant yet would otherwise be asked again at
        every answer: hundreds of heartbeats a second after each failover.
        """
        if now - self.early_sync_at >= MIN_EARLY_SYNC_GAP_S:
            self.early_sync_at = now
            self.wants_sync = True

    def take(
        self,
        request: messages.SyncRequest,
        reply: messages.SyncReply,
        asked_at: float,
        now: float,
    ) -> None:
        """Take the leader's answer to a heartbeat sent at `asked_at`."""
        self.forget_delivered(request)
        if not self.adopt_config(reply.config):
            return
        self.core.freshness.confirm(asked_at)
        self.core.freshness.member_view.learn(
            reply.members,
            reply.lost_members,
            from_new_leader=reply.epoch != self.registry_epoch,
        )
        self.core.limits.apply(reply.shares, asked_at, now)
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
        """Put a newer configuration in force; return whether all is well."""
        if update is None:
            return True
        known = self.core.freshness
        if update.version <= known.version:
            # A reply that was delayed past a later one.
            return update.version == known.version
        fresh = configstore.apply_update(known.version, known.document, update)
        if fresh is None:
            known.version = -1
            return False
        parsed = config_lib.parse(fresh[1])
        if parsed.is_error():
            return False
        return known.adopt(fresh[0], fresh[1], parsed.ok)

    def apply_group_holds(self, holds: dict[str, int]) -> None:
        """Note the memory that other entries' groups reserve."""
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
        """Stop forwarding what a heartbeat has delivered."""
        for announcement in request.announcements:
            name = announcement.endpoint
            if self.announced.get(name) == announcement:
                del self.announced[name]
        for aged in request.loads:
            name = aged.report.endpoint
            if self.reported.get(name) is aged.report:
                del self.reported[name]

    def announce_all(self) -> None:
        """Tell a new leader of every endpoint; its registry starts empty."""
        for pool in self.core.pools.values():
            for name, view in pool.views.items():
                if not view.expired:
                    self.announced.setdefault(name, view.announcement)
