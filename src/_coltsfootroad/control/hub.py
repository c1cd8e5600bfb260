"""The leader's soft state: live entries, endpoints, shares, groups."""

import attrs

from _coltsfootroad.control import groups as groups_lib
from _coltsfootroad.control import messages
from _coltsfootroad.control import shares as shares_lib
from _coltsfootroad.control import state as state_lib
from _coltsfootroad.control import watching
from _coltsfootroad.core import addresses
from _coltsfootroad.core import endpoints
from _coltsfootroad.core import registry as registry_lib

MEMBER_LEASE_S = 4.0
# A gateway asks again as soon as an answer has come, which is held back for
# as long as it says; a frozen or lost one has to be out of the addresses that
# callers get before their next connection.
WATCHER_MARGIN_S = 1.2
# Endpoints announce themselves every second or so and at times seconds late.
ANNOUNCEMENT_LEASE_S = 8.0
# Changes of the registry that an entry can catch up with one by one.
MAX_CHANGES = 4_096


@attrs.define
class LiveMember:
    """An entry that has sent heartbeats lately."""

    member: addresses.Member
    until: float
    mark: int


@attrs.define
class KnownLoad:
    """The newest load report of an endpoint and when it was measured."""

    report: endpoints.LoadReport
    measured_at: float
    mark: int


@attrs.define
class Hub:
    """Answers heartbeats from memory only; it is rebuilt after a restart.

    Every change of the registry gets the next mark, and an entry is sent
    what changed since the mark it knows, so a quiet registry costs nothing.
    """

    epoch: str
    state: state_lib.ControlState
    started_at: float
    members: dict[str, LiveMember] = attrs.Factory(dict)
    registry: registry_lib.Registry = attrs.Factory(registry_lib.Registry)
    loads: dict[str, KnownLoad] = attrs.Factory(dict)
    marks: dict[str, int] = attrs.Factory(dict)
    gone: dict[str, int] = attrs.Factory(dict)
    lost_members: dict[str, int] = attrs.Factory(dict)
    last_mark: int = 0
    shares: shares_lib.ShareTable = attrs.field(init=False)
    groups: groups_lib.GroupLedger = attrs.Factory(groups_lib.GroupLedger)

    def __attrs_post_init__(self):
        self.shares = shares_lib.ShareTable(started_at=self.started_at)

    def on_sync(
        self, request: messages.SyncRequest, now: float
    ) -> messages.SyncReply:
        """Take an entry's heartbeat and return what is new for it."""
        self.expire(now)
        self.take_member(request.member, now)
        lease_s = self.state.configs.config.fleet.endpoint_lease_s
        for announcement in request.announcements:
            self.take_announcement(announcement, lease_s, now)
        for aged in request.loads:
            self.take_load(aged.report, now - aged.age_s)
        mark = request.registry_mark if request.epoch == self.epoch else 0
        configs = self.state.configs
        return messages.SyncReply(
            epoch=self.epoch,
            registry_mark=self.last_mark,
            config=configs.update_since(request.config_version),
            members=self.members_since(mark),
            lost_members=names_since(self.lost_members, mark),
            shares=self.shares.on_sync(
                request.member.entry,
                request,
                configs.config,
                len(self.members),
                now,
            ),
            announcements=self.changed_since(mark),
            gone=names_since(self.gone, mark),
            loads=self.loads_since(mark, now),
            group_holds=self.groups.held_tokens(now),
        )

    def on_watch(self, request: watching.Watch, now: float) -> watching.News:
        """Take a gateway's watch and return what is new for it."""
        self.expire(now)
        lease_s = request.wait_s + WATCHER_MARGIN_S
        self.take_member(request.member, now, lease_s)
        for announcement in request.announcements:
            self.take_announcement(
                announcement, ANNOUNCEMENT_LEASE_S, now, first_hand=False
            )
        mark = request.registry_mark if request.epoch == self.epoch else 0
        silent, left = self.lost_since(mark)
        whole, delta = self.state.routes.news(request.routes_version)
        return watching.News(
            epoch=self.epoch,
            registry_mark=self.last_mark,
            registry_age_s=now - self.started_at,
            routes=whole,
            routes_delta=delta,
            members=self.members_since(mark),
            lost_members=names_since(self.lost_members, mark),
            announcements=self.changed_since(mark),
            gone=silent,
            left=left,
        )

    def lost_since(
        self, mark: int
    ) -> tuple[tuple[str, ...], tuple[registry_lib.Announcement, ...]]:
        """Return who fell silent and who signed off for good after a mark."""
        silent, left = [], []
        for name in names_since(self.gone, mark):
            incarnation = self.registry.left_for_good(name)
            if incarnation is None:
                silent.append(name)
            else:
                left.append(registry_lib.signed_off(name, incarnation))
        return tuple(silent), tuple(left)

    def members_since(self, mark: int) -> tuple[addresses.Member, ...]:
        """Return the live entries and gateways that changed after a mark."""
        return tuple(
            live.member for live in self.members.values() if live.mark > mark
        )

    def take_member(
        self,
        member: addresses.Member,
        now: float,
        lease_s: float = MEMBER_LEASE_S,
    ) -> None:
        """Renew an entry's lease unless a later start of it is known."""
        known = self.members.get(member.entry)
        if known is not None and known.member.incarnation > member.incarnation:
            return
        changed = known is None or known.member != member
        mark = self.next_mark() if changed else known.mark
        until = now + lease_s
        self.members[member.entry] = LiveMember(member, until, mark)
        self.lost_members.pop(member.entry, None)

    def next_mark(self) -> int:
        """Return a mark above all earlier ones."""
        self.last_mark += 1
        return self.last_mark

    def take_announcement(
        self,
        announcement: registry_lib.Announcement,
        lease_s: float,
        now: float,
        first_hand: bool = True,
    ) -> None:
        """Take an endpoint's announcement, good for `lease_s` seconds."""
        change = self.registry.announce(
            announcement, now + lease_s, now, first_hand
        )
        if change is not registry_lib.Change.UPDATED:
            return
        name = announcement.endpoint
        if name in self.registry.registrations:
            self.marks[name] = self.next_mark()
            self.gone.pop(name, None)
        else:
            self.note_gone(name)

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
                report, measured_at, self.next_mark()
            )

    def changed_since(self, mark: int) -> tuple[registry_lib.Announcement, ...]:
        """Return the announcements that changed after a mark."""
        return tuple(
            self.registry.registrations[name].announcement
            for name, changed in self.marks.items()
            if changed > mark
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

    def note_gone(self, name: str) -> None:
        """Tell entries that an endpoint is gone."""
        self.marks.pop(name, None)
        self.loads.pop(name, None)
        self.note_lost(self.gone, name)

    def note_lost(self, lost: dict[str, int], name: str) -> None:
        """Remember that a name is gone, within a bound."""
        lost[name] = self.next_mark()
        while len(lost) > MAX_CHANGES:
            del lost[next(iter(lost))]

    def expire(self, now: float) -> None:
        """Drop entries and endpoints whose lease has ended."""
        for name, live in list(self.members.items()):
            if live.until <= now:
                del self.members[name]
                self.note_lost(self.lost_members, name)
        for name in self.registry.expire(now):
            self.note_gone(name)


def names_since(marks: dict[str, int], mark: int) -> tuple[str, ...]:
    """Return the names whose mark is later than `mark`."""
    return tuple(name for name, changed in marks.items() if changed > mark)
