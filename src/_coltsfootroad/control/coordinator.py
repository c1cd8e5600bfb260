"""The leader's soft state: live members, relays, shares and group holds."""

import attrs

from _coltsfootroad.control import crashreports
from _coltsfootroad.control import fleetstate
from _coltsfootroad.control import groups as groups_lib
from _coltsfootroad.control import messages
from _coltsfootroad.control import retrylending
from _coltsfootroad.control import shares as shares_lib
from _coltsfootroad.control import state as state_lib
from _coltsfootroad.control import watching
from _coltsfootroad.core import addresses
from _coltsfootroad.core import crashledger
from _coltsfootroad.core import endpoints
from _coltsfootroad.core import fingerprints
from _coltsfootroad.core import registry as registry_lib
from _coltsfootroad.core import sharedfeatures

HEARTBEAT_LEASE_S = 4.0
# Added to the long-poll time of a watch: a watcher sends its next request as
# soon as it has a response. Short, so that a frozen or lost gateway leaves the
# address list before callers open their next connection.
WATCH_LEASE_MARGIN_S = 1.2
# Gateways of a relay whose lease expired have this long to attach to another
# relay: they notice within one request, and the new relay reports them at once.
RELAY_FAILOVER_S = 1.2
# Lease of members and relays after a change of leader: the relays have to find
# the new leader first.
TAKEOVER_LEASE_S = 2.0
# Endpoints announce themselves about once per second, at times seconds late.
ANNOUNCEMENT_LEASE_S = 8.0
NEVER = float("inf")
# Reason of entries that crashes put into quarantine.
REASON_CRASHED = "crashed the endpoints that ran it"
# Reason for ending an entry.
REASON_ANSWERED = "it was answered whole"
MAX_PENDING_QUARANTINES = 1_024


@attrs.define
class LiveMember:
    """An entry or gateway whose lease has not ended.

    Attributes:
        attached: The member and its attachment, as it reported them.
        until: When its lease ends; `NEVER` while a relay vouches for it.
        relay: The relay that it watches, empty if it watches the leader.
    """

    attached: watching.Attached
    until: float
    relay: str = ""

    @property
    def member(self) -> addresses.Member:
        """Return the member as it reported itself."""
        return self.attached.member


@attrs.define
class LiveRelay:
    """A relay and when its lease ends."""

    relay: watching.Relay
    until: float


@attrs.define
class ReceivedLoad:
    """The newest load report of an endpoint, and when it was measured."""

    report: endpoints.LoadReport
    measured_at: float
    revision: int


@attrs.define
class Coordinator:
    """Answers heartbeats and watches from memory only.

    Every change of the registry gets the next revision. A request is answered
    with the changes since the revision that it names, so an unchanged registry
    costs nothing. A new leader continues from its copy of the previous
    leader's fleet state if that is fresh; otherwise heartbeats and watches
    rebuild it.

    Attributes:
        epoch: Identifies this leader in this term.
        state: Replicated state.
        started_at: When this replica became the leader.
        fleet_state: Fleet state that is published to watchers.
        registry_since: When announcements began to be received, by this leader
            or by the first leader whose fleet state it continues.
    """

    epoch: str
    state: state_lib.ControlState
    started_at: float
    fleet_state: fleetstate.FleetState = attrs.Factory(fleetstate.FleetState)
    registry_since: float = attrs.field()
    members: dict[str, LiveMember] = attrs.Factory(dict)
    relays: dict[str, LiveRelay] = attrs.Factory(dict)
    registry: registry_lib.Registry = attrs.Factory(registry_lib.Registry)
    loads: dict[str, ReceivedLoad] = attrs.Factory(dict)
    shares: shares_lib.ShareTable = attrs.field(init=False)
    retry_lender: retrylending.RetryLender = attrs.field(init=False)
    groups: groups_lib.GroupLedger = attrs.Factory(groups_lib.GroupLedger)
    crashes: crashledger.CrashLedger = attrs.Factory(crashledger.CrashLedger)
    shared_features: sharedfeatures.SharedFeatures = attrs.field(init=False)
    # When the crashes were last evaluated.
    evaluated_at: float = float("-inf")
    # Quarantine entries that are not applied yet, oldest first.
    pending_quarantines: dict[fingerprints.Fingerprint, None] = attrs.Factory(
        dict
    )
    quarantine_revision: int = -1
    evacuation_revision: int = -1

    @registry_since.default
    def _since_started(self):
        return self.started_at

    def __attrs_post_init__(self):
        self.shared_features = sharedfeatures.SharedFeatures(self.crashes)
        self.shares = shares_lib.ShareTable(started_at=self.started_at)
        self.retry_lender = retrylending.RetryLender(self.started_at)
        self.take_over()

    @property
    def last_revision(self) -> int:
        """Return the revision of the newest change."""
        return self.fleet_state.last_revision

    def take_over(self) -> None:
        """Continue from the fleet state, with leases that start now."""
        self.fleet_state.start_epoch(self.epoch)
        now = self.started_at
        for member in self.fleet_state.members.values():
            attached = watching.Attached(member=member)
            self.members[member.entry] = LiveMember(
                attached, now + TAKEOVER_LEASE_S
            )
        for relay in self.fleet_state.relays.values():
            self.relays[relay.name] = LiveRelay(relay, now + TAKEOVER_LEASE_S)
        known = self.fleet_state.endpoints.values()
        ended = [
            item.value
            for item in self.fleet_state.endpoints.tombstones.values()
        ]
        for announcement in (*known, *ended):
            if announcement is not None:
                until = now + ANNOUNCEMENT_LEASE_S
                self.registry.announce(announcement, until, now, False)
        self.publish_quarantine(now)
        self.publish_evacuation()

    # --- heartbeats and watches --------------------------------------------

    def on_sync(
        self, request: messages.SyncRequest, now: float
    ) -> messages.SyncReply:
        """Record an entry's heartbeat and return the changes for it."""
        self.expire(now)
        attached = watching.Attached(member=request.member)
        self.update_member(attached, now + HEARTBEAT_LEASE_S)
        lease_s = self.state.configs.config.fleet.endpoint_lease_s
        for announcement in request.announcements:
            self.record_announcement(announcement, lease_s, now)
        for aged in request.loads:
            self.record_load(aged.report, now - aged.age_s)
        fleet_state = self.fleet_state
        after = request.registry_mark if request.epoch == self.epoch else -1
        revisions = (after, fleet_state.last_revision)
        configs = self.state.configs
        return messages.SyncReply(
            epoch=self.epoch,
            registry_mark=self.last_revision,
            config=configs.update_since(request.config_version),
            members=tuple(fleet_state.members.changed_between(*revisions)),
            lost_members=fleetstate.removed_names(
                fleet_state.members.removed_between(*revisions)
            ),
            shares=self.shares.on_sync(
                request.member.entry,
                request,
                configs.config,
                len(self.members),
                now,
            ),
            announcements=tuple(
                fleet_state.endpoints.changed_between(*revisions)
            ),
            gone=fleetstate.removed_names(
                fleet_state.endpoints.removed_between(*revisions)
            ),
            loads=self.loads_since(after, now),
            group_holds=self.groups.reserved_tokens(now),
        )

    def on_watch(self, request: watching.Watch, now: float) -> watching.News:
        """Renew a gateway's lease and return the changes for it."""
        self.expire(now)
        attached = watching.Attached(
            member=request.member, attachment=request.attachment
        )
        self.update_member(
            attached, now + request.wait_s + WATCH_LEASE_MARGIN_S
        )
        return self.response_to(request, now)

    def on_relay_watch(
        self, request: watching.RelayWatch, now: float
    ) -> watching.News:
        """Record a relay's report of its gateways; return its changes."""
        self.expire(now)
        name = request.relay.name
        is_new = name not in self.relays
        self.update_relay(
            request.relay, now + request.wait_s + WATCH_LEASE_MARGIN_S
        )
        for attached in request.attached:
            self.update_member(attached, NEVER, name)
        reported = {attached.member.entry for attached in request.attached}
        for entry, live in list(self.members.items()):
            is_missing = request.complete and entry not in reported
            if live.relay == name and (is_missing or entry in request.detached):
                self.remove_member(entry)
        response = self.response_to(request, now)
        if is_new and not request.complete:
            changes = attrs.evolve(response.changes, wants_complete=True)
            return attrs.evolve(response, told=changes)
        return response

    def response_to(
        self, request: watching.Watch | watching.RelayWatch, now: float
    ) -> watching.News:
        """Record the announcements reported and return a watcher's changes."""
        for announcement in request.announcements:
            self.record_announcement(
                announcement, ANNOUNCEMENT_LEASE_S, now, from_endpoint=False
            )
        complete, delta = self.state.routes.update_since(request.routes_version)
        return attrs.evolve(
            self.fleet_state.page(request.epoch, request.registry_mark),
            registry_age_s=now - self.registry_since,
            routes=complete,
            routes_delta=delta,
        )

    # --- members and relays ------------------------------------------------

    def update_member(
        self, attached: watching.Attached, until: float, relay: str = ""
    ) -> None:
        """Renew a member's lease unless a later attachment is known.

        A late report of a relay must not renew a gateway that has attached to
        another relay since.
        """
        member = attached.member
        known = self.members.get(member.entry)
        if known is not None and known.attached.order > attached.order:
            return
        if known is None or known.member != member:
            self.fleet_state.put_member(member)
        self.members[member.entry] = LiveMember(attached, until, relay)

    def remove_member(self, name: str) -> None:
        """Remove an entry or gateway."""
        del self.members[name]
        self.fleet_state.drop_member(name)

    def update_relay(self, relay: watching.Relay, until: float) -> None:
        """Renew a relay's lease; a restarted relay has lost its gateways."""
        known = self.relays.get(relay.name)
        if known is not None and known.relay.incarnation > relay.incarnation:
            return
        if known is None or known.relay != relay:
            self.fleet_state.put_relay(relay)
            if known is not None:
                self.detach_members(relay.name, until)
        if known is not None:
            until = max(until, known.until)
        self.relays[relay.name] = LiveRelay(relay, until)

    def remove_relay(self, name: str, now: float) -> None:
        """Remove a relay; its gateways have time to attach elsewhere."""
        del self.relays[name]
        self.fleet_state.drop_relay(name)
        self.detach_members(name, now + RELAY_FAILOVER_S)

    def detach_members(self, relay: str, until: float) -> None:
        """Let the leases of a relay's gateways end unless they are renewed."""
        for live in self.members.values():
            if live.relay == relay:
                live.relay = ""
                live.until = until

    # --- endpoints ---------------------------------------------------------

    def record_announcement(
        self,
        announcement: registry_lib.Announcement,
        lease_s: float,
        now: float,
        from_endpoint: bool = True,
    ) -> None:
        """Record an endpoint's announcement, valid for `lease_s` seconds."""
        change = self.registry.announce(
            announcement, now + lease_s, now, from_endpoint
        )
        if change is not registry_lib.Change.UPDATED:
            return
        known = self.registry.registrations.get(announcement.endpoint)
        if known is not None:
            self.fleet_state.put_endpoint(known.announcement)
        else:
            self.remove_endpoint(announcement.endpoint)

    def remove_endpoint(self, name: str) -> None:
        """Remove an endpoint whose lease expired or that signed off."""
        self.loads.pop(name, None)
        incarnation = self.registry.final_incarnation(name)
        sign_off = None
        if incarnation is not None:
            sign_off = registry_lib.sign_off_announcement(name, incarnation)
        self.fleet_state.drop_endpoint(name, sign_off)

    def record_load(
        self, report: endpoints.LoadReport, measured_at: float
    ) -> None:
        """Record an endpoint's newest load report."""
        known = self.loads.get(report.endpoint)
        if known is not None:
            newest = (known.report.incarnation, known.report.seq)
            if (report.incarnation, report.seq) <= newest:
                return
        if report.endpoint in self.registry.registrations:
            self.loads[report.endpoint] = ReceivedLoad(
                report, measured_at, self.fleet_state.next_revision()
            )

    def loads_since(
        self, revision: int, now: float
    ) -> tuple[messages.AgedLoad, ...]:
        """Return the load reports received after a revision."""
        return tuple(
            messages.AgedLoad(
                report=known.report, age_s=now - known.measured_at
            )
            for known in self.loads.values()
            if known.revision > revision
        )

    # --- requests that crash endpoints -------------------------------------

    def record_crashes(
        self, report: crashreports.ReportCrashes, now: float
    ) -> list[crashreports.Quarantine | crashreports.EndQuarantine]:
        """Record a gateway's crash report; return the commands to replicate."""
        released = [f for f in report.cleared if self.has_crash_quarantine(f)]
        for fingerprint in report.cleared:
            self.crashes.clear(fingerprint, now)
        for answer in report.answered:
            self.shared_features.on_answer(
                answer.fingerprint, now - max(0.0, answer.age_s)
            )
        for aged in report.stopped:
            self.crashes.record_stopped(crashreports.with_times(aged, now))
        for aged in report.crashes:
            self.crashes.record(crashreports.with_times(aged, now), now)
        found = self.quarantine_suspects(now)
        self.publish_suspects()
        return [*map(end_quarantine, released), *found]

    def has_crash_quarantine(
        self, fingerprint: fingerprints.Fingerprint
    ) -> bool:
        """Return whether crashes put a request into quarantine, or soon will.

        Entries that an operator added do not count, so that they stay.
        """
        entry = self.state.quarantine.entries.get(fingerprint)
        if entry is not None:
            return entry.reason == REASON_CRASHED
        return fingerprint in self.pending_quarantines

    def quarantine_delayed(self, now: float) -> list[crashreports.Quarantine]:
        """Return entries that became due by time since the last evaluation."""
        if not (
            self.crashes.has_new_evidence(self.evaluated_at, now)
            or self.shared_features.is_undecided(now)
        ):
            return []
        found = self.quarantine_suspects(now)
        self.publish_suspects()
        return found

    def quarantine_suspects(self, now: float) -> list[crashreports.Quarantine]:
        """Return new quarantine entries for the crashes recorded so far."""
        self.evaluated_at = now
        commands = []
        if self.shared_features.is_search_due(now):
            commands += self.quarantine_features(now)
        # Crashes under a feature that may be a culprit are no evidence against
        # other contents that were in flight.
        known = {
            *self.state.quarantine.entries,
            *self.shared_features.suspects,
            *(command.fingerprint for command in commands),
        }
        commands += [
            crashreports.Quarantine(
                fingerprint=culprit.fingerprint,
                reason=REASON_CRASHED,
                crashes=len(culprit.endpoints),
                endpoints=tuple(key.endpoint for key in culprit.endpoints),
            )
            for culprit in self.crashes.find_culprits(known, now)
        ]
        for command in commands:
            self.pending_quarantines[command.fingerprint] = None
        while len(self.pending_quarantines) > MAX_PENDING_QUARANTINES:
            del self.pending_quarantines[next(iter(self.pending_quarantines))]
        return commands

    def quarantine_features(self, now: float) -> list[crashreports.Quarantine]:
        """Return new entries for features that requests share."""
        culprits = self.shared_features.find_culprits(
            self.state.quarantine.entries, now
        )
        return [
            crashreports.Quarantine(
                fingerprint=culprit.fingerprint,
                reason=feature_reason(culprit),
                crashes=len(culprit.endpoints),
                endpoints=tuple(key.endpoint for key in culprit.endpoints),
            )
            for culprit in culprits
        ]

    def publish_suspects(self) -> None:
        """Update the published suspects, whose answers gateways report."""
        watched = self.crashes.watched(self.state.quarantine.entries)
        watched += self.shared_features.watched_since
        published = set(self.fleet_state.suspected.values())
        for fingerprint in watched:
            if fingerprint not in published:
                self.fleet_state.put_suspect(fingerprint)
        for fingerprint in published.difference(watched):
            self.fleet_state.drop_suspect(fingerprint)

    def publish_quarantine(self, now: float) -> None:
        """Update the published quarantine from the replicated state.

        The crashes of an entry that has ended no longer count as evidence.
        """
        table = self.state.quarantine
        if table.revision == self.quarantine_revision:
            return
        self.quarantine_revision = table.revision
        published = {
            entry.fingerprint: entry
            for entry in self.fleet_state.quarantined.values()
        }
        for fingerprint, entry in table.entries.items():
            self.pending_quarantines.pop(fingerprint, None)
            if published.get(fingerprint) != entry:
                self.fleet_state.put_quarantine(entry)
        for fingerprint in published.keys() - table.entries.keys():
            self.fleet_state.drop_quarantine(fingerprint)
            if fingerprint.is_part:
                self.shared_features.on_answer(fingerprint, now)
            else:
                self.crashes.clear(fingerprint, now)

    def publish_evacuation(self) -> None:
        """Update the published evacuated zones from the replicated state."""
        table = self.state.evacuation
        if table.revision == self.evacuation_revision:
            return
        self.evacuation_revision = table.revision
        published = set(self.fleet_state.evacuated.items)
        evacuated = set(table.evacuated_zones())
        for zone in sorted(evacuated - published):
            self.fleet_state.put_evacuated(zone)
        for zone in sorted(published - evacuated):
            self.fleet_state.drop_evacuated(zone)

    def expire(self, now: float) -> None:
        """Drop relays, members and endpoints whose lease has ended."""
        for name, live in list(self.relays.items()):
            if live.until <= now:
                self.remove_relay(name, now)
        for name, live in list(self.members.items()):
            if live.until <= now:
                self.remove_member(name)
        for name in self.registry.expire(now):
            self.remove_endpoint(name)


def feature_reason(culprit: sharedfeatures.FeatureCulprit) -> str:
    """Return the reason of an entry for a feature, with its evidence."""
    answered = "no answer known"
    if culprit.answered_ago_s is not None:
        answered = f"last answered {culprit.answered_ago_s:.0f} s before"
    return (
        f"part {culprit.label!r} {REASON_CRASHED}, in {culprit.contents}"
        f" different requests, {answered}"
    )


def end_quarantine(
    fingerprint: fingerprints.Fingerprint,
) -> crashreports.EndQuarantine:
    """Return the command that ends the quarantine of an answered request.

    The answered attempt was sent before gateways learned of the entry.
    """
    return crashreports.EndQuarantine(
        fingerprint=fingerprint, reason=REASON_ANSWERED
    )
