"""The leader's soft state: who lives, which shares and groups are held."""

import attrs

from _coltsfootroad.control import crashreports
from _coltsfootroad.control import groups as groups_lib
from _coltsfootroad.control import messages
from _coltsfootroad.control import newsbook
from _coltsfootroad.control import retrylending
from _coltsfootroad.control import shares as shares_lib
from _coltsfootroad.control import state as state_lib
from _coltsfootroad.control import watching
from _coltsfootroad.core import addresses
from _coltsfootroad.core import crashledger
from _coltsfootroad.core import endpoints
from _coltsfootroad.core import fingerprints
from _coltsfootroad.core import registry as registry_lib

MEMBER_LEASE_S = 4.0
# Whoever watches asks again as soon as an answer has come, which is held back
# for as long as it says; a frozen or lost gateway has to be out of the
# addresses that callers get before their next connection.
WATCHER_MARGIN_S = 1.2
# The gateways of a relay that fell silent have this long to ask another one:
# they notice within the time of a question, and the other one tells at once.
MOVE_S = 1.2
# The same after another leader took over: its relays have to find it first.
TAKEN_OVER_S = 2.0
# Endpoints announce themselves every second or so and at times seconds late.
ANNOUNCEMENT_LEASE_S = 8.0
NEVER = float("inf")
# Why the leader puts requests into quarantine.
CRASHED = "crashed the endpoints that ran it"
# Why it takes them out again.
ANSWERED = "it was answered whole"
MAX_CONVICTING = 1_024


@attrs.define
class LiveMember:
    """An entry or gateway that has been heard of lately.

    Attributes:
        attached: What it says of itself.
        until: When its lease ends, never while its relay answers for it.
        relay: The relay that it asks, empty if it asks the leader.
    """

    attached: watching.Attached
    until: float
    relay: str = ""

    @property
    def member(self) -> addresses.Member:
        """Return what it says of itself."""
        return self.attached.member


@attrs.define
class LiveRelay:
    """A relay and when its lease ends."""

    relay: watching.Relay
    until: float


@attrs.define
class KnownLoad:
    """The newest load report of an endpoint and when it was measured."""

    report: endpoints.LoadReport
    measured_at: float
    mark: int


@attrs.define
class Hub:
    """Answers heartbeats from memory only.

    Every change of the registry gets the next mark, and whoever asks is sent
    what changed since the mark it knows, so a quiet registry costs nothing. A
    leader that was told by the one before it goes on from there; else all is
    rebuilt from heartbeats.

    Attributes:
        epoch: Names this leader in this term.
        state: The replicated state.
        started_at: When it began to lead.
        book: What it knows of the fleet, and what it tells.
        heard_since: When the first of the leaders whose book it is began to
            hear endpoints.
    """

    epoch: str
    state: state_lib.ControlState
    started_at: float
    book: newsbook.NewsBook = attrs.Factory(newsbook.NewsBook)
    heard_since: float = attrs.field()
    members: dict[str, LiveMember] = attrs.Factory(dict)
    relays: dict[str, LiveRelay] = attrs.Factory(dict)
    registry: registry_lib.Registry = attrs.Factory(registry_lib.Registry)
    loads: dict[str, KnownLoad] = attrs.Factory(dict)
    shares: shares_lib.ShareTable = attrs.field(init=False)
    retry_lender: retrylending.RetryLender = attrs.field(init=False)
    groups: groups_lib.GroupLedger = attrs.Factory(groups_lib.GroupLedger)
    crashes: crashledger.CrashLedger = attrs.Factory(crashledger.CrashLedger)
    # When the crashes were looked at last for convictions.
    convicted_at: float = float("-inf")
    # Convictions that are not applied yet, oldest first.
    convicting: dict[fingerprints.Fingerprint, None] = attrs.Factory(dict)
    quarantine_revision: int = -1

    @heard_since.default
    def _since_started(self):
        return self.started_at

    def __attrs_post_init__(self):
        self.shares = shares_lib.ShareTable(started_at=self.started_at)
        self.retry_lender = retrylending.RetryLender(self.started_at)
        self.take_over()

    @property
    def last_mark(self) -> int:
        """Return the mark of the newest change."""
        return self.book.last_mark

    def take_over(self) -> None:
        """Go on from what the book holds, with leases that begin now."""
        self.book.begin(self.epoch)
        now = self.started_at
        for member in self.book.members.values():
            attached = watching.Attached(member=member)
            self.members[member.entry] = LiveMember(
                attached, now + TAKEN_OVER_S
            )
        for relay in self.book.relays.values():
            self.relays[relay.name] = LiveRelay(relay, now + TAKEN_OVER_S)
        known = self.book.endpoints.values()
        ended = [marked.value for marked in self.book.endpoints.gone.values()]
        for announcement in (*known, *ended):
            if announcement is not None:
                until = now + ANNOUNCEMENT_LEASE_S
                self.registry.announce(announcement, until, now, False)
        self.publish_quarantine(now)

    # --- who asks ----------------------------------------------------------

    def on_sync(
        self, request: messages.SyncRequest, now: float
    ) -> messages.SyncReply:
        """Take an entry's heartbeat and return what is new for it."""
        self.expire(now)
        attached = watching.Attached(member=request.member)
        self.take_member(attached, now + MEMBER_LEASE_S)
        lease_s = self.state.configs.config.fleet.endpoint_lease_s
        for announcement in request.announcements:
            self.take_announcement(announcement, lease_s, now)
        for aged in request.loads:
            self.take_load(aged.report, now - aged.age_s)
        book = self.book
        after = request.registry_mark if request.epoch == self.epoch else -1
        changed = (after, book.last_mark)
        configs = self.state.configs
        return messages.SyncReply(
            epoch=self.epoch,
            registry_mark=self.last_mark,
            config=configs.update_since(request.config_version),
            members=tuple(book.members.within(*changed)),
            lost_members=newsbook.names(book.members.gone_within(*changed)),
            shares=self.shares.on_sync(
                request.member.entry,
                request,
                configs.config,
                len(self.members),
                now,
            ),
            announcements=tuple(book.endpoints.within(*changed)),
            gone=newsbook.names(book.endpoints.gone_within(*changed)),
            loads=self.loads_since(after, now),
            group_holds=self.groups.held_tokens(now),
        )

    def on_watch(self, request: watching.Watch, now: float) -> watching.News:
        """Take a gateway's watch and return what is new for it."""
        self.expire(now)
        attached = watching.Attached(
            member=request.member, attachment=request.attachment
        )
        self.take_member(attached, now + request.wait_s + WATCHER_MARGIN_S)
        return self.news(request, now)

    def on_relay_watch(
        self, request: watching.RelayWatch, now: float
    ) -> watching.News:
        """Take what a relay tells of its gateways; return what is new."""
        self.expire(now)
        name = request.relay.name
        is_new = name not in self.relays
        self.take_relay(request.relay, now + request.wait_s + WATCHER_MARGIN_S)
        for attached in request.attached:
            self.take_member(attached, NEVER, name)
        told = {attached.member.entry for attached in request.attached}
        for entry, live in list(self.members.items()):
            gone = request.complete and entry not in told
            if live.relay == name and (gone or entry in request.detached):
                self.lose_member(entry)
        news = self.news(request, now)
        if is_new and not request.complete:
            changes = attrs.evolve(news.changes, wants_complete=True)
            return attrs.evolve(news, told=changes)
        return news

    def news(
        self, request: watching.Watch | watching.RelayWatch, now: float
    ) -> watching.News:
        """Return what is new for somebody, and take what was brought along."""
        for announcement in request.announcements:
            self.take_announcement(
                announcement, ANNOUNCEMENT_LEASE_S, now, from_endpoint=False
            )
        whole, delta = self.state.routes.news(request.routes_version)
        return attrs.evolve(
            self.book.page(request.epoch, request.registry_mark),
            registry_age_s=now - self.heard_since,
            routes=whole,
            routes_delta=delta,
        )

    # --- members and relays ------------------------------------------------

    def take_member(
        self, attached: watching.Attached, until: float, relay: str = ""
    ) -> None:
        """Renew an entry's lease unless later word of it is known.

        A relay that tells late of a gateway which has gone on to another one
        must not answer for it.
        """
        member = attached.member
        known = self.members.get(member.entry)
        if known is not None and known.attached.order > attached.order:
            return
        if known is None or known.member != member:
            self.book.put_member(member)
        self.members[member.entry] = LiveMember(attached, until, relay)

    def lose_member(self, name: str) -> None:
        """Tell that an entry or gateway is gone."""
        del self.members[name]
        self.book.drop_member(name)

    def take_relay(self, relay: watching.Relay, until: float) -> None:
        """Renew a relay's lease; its gateways are another's after a restart."""
        known = self.relays.get(relay.name)
        if known is not None and known.relay.incarnation > relay.incarnation:
            return
        if known is None or known.relay != relay:
            self.book.put_relay(relay)
            if known is not None:
                self.let_move(relay.name, until)
        if known is not None:
            until = max(until, known.until)
        self.relays[relay.name] = LiveRelay(relay, until)

    def lose_relay(self, name: str, now: float) -> None:
        """Tell that a relay is gone; its gateways have some time to move."""
        del self.relays[name]
        self.book.drop_relay(name)
        self.let_move(name, now + MOVE_S)

    def let_move(self, relay: str, until: float) -> None:
        """End the leases of a relay's gateways unless they are heard again."""
        for live in self.members.values():
            if live.relay == relay:
                live.relay = ""
                live.until = until

    # --- endpoints ---------------------------------------------------------

    def take_announcement(
        self,
        announcement: registry_lib.Announcement,
        lease_s: float,
        now: float,
        from_endpoint: bool = True,
    ) -> None:
        """Take an endpoint's announcement, good for `lease_s` seconds."""
        change = self.registry.announce(
            announcement, now + lease_s, now, from_endpoint
        )
        if change is not registry_lib.Change.UPDATED:
            return
        known = self.registry.registrations.get(announcement.endpoint)
        if known is not None:
            self.book.put_endpoint(known.announcement)
        else:
            self.note_gone(announcement.endpoint)

    def note_gone(self, name: str) -> None:
        """Tell that an endpoint is gone: silent, or signed off for good."""
        self.loads.pop(name, None)
        incarnation = self.registry.final_incarnation(name)
        sign_off = None
        if incarnation is not None:
            sign_off = registry_lib.sign_off_announcement(name, incarnation)
        self.book.drop_endpoint(name, sign_off)

    def take_load(
        self, report: endpoints.LoadReport, measured_at: float
    ) -> None:
        """Keep an endpoint's newest load report."""
        known = self.loads.get(report.endpoint)
        if known is not None:
            newest = (known.report.incarnation, known.report.seq)
            if (report.incarnation, report.seq) <= newest:
                return
        if report.endpoint in self.registry.registrations:
            self.loads[report.endpoint] = KnownLoad(
                report, measured_at, self.book.next_mark()
            )

    def loads_since(
        self, mark: int, now: float
    ) -> tuple[messages.AgedLoad, ...]:
        """Return the load reports that came in after a mark."""
        return tuple(
            messages.AgedLoad(
                report=known.report, age_s=now - known.measured_at
            )
            for known in self.loads.values()
            if known.mark > mark
        )

    # --- requests that crash endpoints -------------------------------------

    def take_crashes(
        self, report: crashreports.ReportCrashes, now: float
    ) -> list[crashreports.Quarantine | crashreports.EndQuarantine]:
        """Take a gateway's report; return what to replicate."""
        acquitted = [f for f in report.cleared if self.is_convicted(f)]
        for fingerprint in report.cleared:
            self.crashes.clear(fingerprint, now)
        for aged in report.stopped:
            self.crashes.record_stopped(crashreports.with_times(aged, now))
        for aged in report.crashes:
            self.crashes.record(crashreports.with_times(aged, now), now)
        self.publish_suspects()
        return [*map(acquit, acquitted), *self.find_culprits(now)]

    def is_convicted(self, fingerprint: fingerprints.Fingerprint) -> bool:
        """Return whether crashes put a request in quarantine, or are about to.

        What an operator has put there stays.
        """
        entry = self.state.quarantine.entries.get(fingerprint)
        if entry is not None:
            return entry.reason == CRASHED
        return fingerprint in self.convicting

    def convict_late(self, now: float) -> list[crashreports.Quarantine]:
        """Return what to replicate once a crash proves more than before."""
        if not self.crashes.has_new_evidence(self.convicted_at, now):
            return []
        return self.find_culprits(now)

    def find_culprits(self, now: float) -> list[crashreports.Quarantine]:
        """Return the requests that the crashes so far convict."""
        self.convicted_at = now
        verdicts = self.crashes.find_culprits(
            self.state.quarantine.entries, now
        )
        for verdict in verdicts:
            self.convicting[verdict.fingerprint] = None
        while len(self.convicting) > MAX_CONVICTING:
            del self.convicting[next(iter(self.convicting))]
        return [
            crashreports.Quarantine(
                fingerprint=verdict.fingerprint,
                reason=CRASHED,
                crashes=len(verdict.endpoints),
                endpoints=tuple(key.endpoint for key in verdict.endpoints),
            )
            for verdict in verdicts
        ]

    def publish_suspects(self) -> None:
        """Bring the suspects that gateways watch for up to date."""
        watched = self.crashes.watched(self.state.quarantine.entries)
        published = set(self.book.suspected.values())
        for fingerprint in watched:
            if fingerprint not in published:
                self.book.put_suspect(fingerprint)
        for fingerprint in published.difference(watched):
            self.book.drop_suspect(fingerprint)

    def publish_quarantine(self, now: float) -> None:
        """Bring what gateways are sent up to date with the state.

        The crashes of an entry that has ended prove nothing any more.
        """
        table = self.state.quarantine
        if table.revision == self.quarantine_revision:
            return
        self.quarantine_revision = table.revision
        published = {
            entry.fingerprint: entry for entry in self.book.quarantined.values()
        }
        for fingerprint, entry in table.entries.items():
            self.convicting.pop(fingerprint, None)
            if published.get(fingerprint) != entry:
                self.book.put_quarantine(entry)
        for fingerprint in published.keys() - table.entries.keys():
            self.book.drop_quarantine(fingerprint)
            self.crashes.clear(fingerprint, now)

    def expire(self, now: float) -> None:
        """Drop whoever's lease has ended."""
        for name, live in list(self.relays.items()):
            if live.until <= now:
                self.lose_relay(name, now)
        for name, live in list(self.members.items()):
            if live.until <= now:
                self.lose_member(name)
        for name in self.registry.expire(now):
            self.note_gone(name)


def acquit(
    fingerprint: fingerprints.Fingerprint,
) -> crashreports.EndQuarantine:
    """Return the command that lets a request run that was answered whole.

    It was sent before gateways learned of its conviction.
    """
    return crashreports.EndQuarantine(fingerprint=fingerprint, reason=ANSWERED)
