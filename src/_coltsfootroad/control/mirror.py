"""A relay's copy of what the leader tells, for the gateways that ask it.

The pattern it answers: hundreds of gateways. Were they all to ask the leader,
each change would cost it one answer for each of them, most of them to other
availability zones, and after a loss of everything all would want everything
at once. So the leader tells a few relays, and each tells gateways of its zone.

Proofs keep counting from when the relay asked the leader: what a gateway is
told says how old the relay's own proof is.
"""

import attrs

from _coltsfootroad.control import hub as hub_lib
from _coltsfootroad.control import newsbook
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import routestore
from _coltsfootroad.control import watching
from _coltsfootroad.core import backlog as backlog_lib
from _coltsfootroad.core import registry
from _coltsfootroad.core import routesync

# Whoever takes over goes on from a copy no older than this; what is older is
# asked for anew, as nearly all of it has changed.
COPY_GOOD_S = 6.0
NEVER = float("-inf")


@attrs.define
class Watcher:
    """A gateway that asks this relay, and until when it counts as alive."""

    attached: watching.Attached
    until: float


@attrs.define
class Mirror:
    """What a relay knows and whom it answers.

    Attributes:
        relay: The relay itself.
        book: The copy.
        routes: The version in force and what changed since earlier ones.
        watchers: The gateways that ask it, by name.
        unsent: Gateways that came, changed, or, with None, went since the
            leader was told.
        backlog: Endpoints that the leader may not know: those of a leader
            before it, and those that gateways remember.
        told_epoch: The leader that knows all of `watchers` but `unsent`.
        confirmed_at: When the question was sent that a leader answered last,
            and so when the version in force was surely current.
        copied_at: When the copy was last as good as the original.
        heard_since: When the leader began to hear endpoints.
        replicas: Addresses of the replicas.
        route_sync: What is requested of the routes.
    """

    relay: watching.Relay
    book: newsbook.NewsBook = attrs.Factory(newsbook.NewsBook)
    routes: routestore.RouteStore = attrs.Factory(routestore.RouteStore)
    watchers: dict[str, Watcher] = attrs.Factory(dict)
    unsent: dict[str, watching.Attached | None] = attrs.Factory(dict)
    backlog: backlog_lib.Backlog = attrs.Factory(backlog_lib.Backlog)
    told_epoch: str = ""
    confirmed_at: float = NEVER
    copied_at: float = NEVER
    heard_since: float = 0.0
    replicas: tuple[str, ...] = ()
    route_sync: routesync.RouteSync = attrs.Factory(routesync.RouteSync)

    # --- asking the leader -------------------------------------------------

    @property
    def has_report(self) -> bool:
        """Return whether there is something to tell the leader."""
        return bool(self.unsent or self.backlog.pending)

    def question(self, now: float, wait_s: float) -> watching.RelayWatch:
        """Return the next request, with a page of what the leader lacks."""
        self.expire(now)
        complete = self.told_epoch != self.book.epoch
        came = [one for one in self.unsent.values() if one is not None]
        if complete:
            came = [watcher.attached for watcher in self.watchers.values()]
        went = [name for name, one in self.unsent.items() if one is None]
        return watching.RelayWatch(
            relay=self.relay,
            attached=tuple(came),
            detached=() if complete else tuple(went),
            complete=complete,
            routes_version=self.route_sync.base_version(self.routes.config),
            epoch=self.book.epoch,
            registry_mark=self.book.last_mark,
            announcements=self.backlog.page(),
            wait_s=wait_s,
        )

    def take(
        self,
        question: watching.RelayWatch,
        news: watching.News,
        requested_at: float,
        now: float,
    ) -> None:
        """Take a leader's answer to a question.

        Two questions may be under way, one of them held back. An answer that
        was overtaken tells nothing new, and nothing of a later leader.
        """
        overtaken = question.epoch != self.book.epoch
        if overtaken and news.epoch != self.book.epoch:
            return
        self.settle(question, news)
        self.heard_since = now - news.registry_age_s
        self.replicas = news.replicas or self.replicas
        if news.changes.whole and not overtaken:
            self.begin_anew()
        if not self.book.epoch or news.registry_mark >= self.book.last_mark:
            self.book.take(news)
        if self.take_routes(question, news):
            self.confirmed_at = max(self.confirmed_at, requested_at)
            self.copied_at = max(self.copied_at, requested_at)

    def settle(
        self, question: watching.RelayWatch, news: watching.News
    ) -> None:
        """Note what the leader knows now."""
        sent: dict[str, watching.Attached | None] = {
            one.member.entry: one for one in question.attached
        }
        sent.update(dict.fromkeys(question.detached))
        for name, one in sent.items():
            if name in self.unsent and self.unsent[name] == one:
                del self.unsent[name]
        self.backlog.settle(question.announcements)
        if question.complete:
            self.told_epoch = question.epoch
        if news.changes.wants_complete or news.epoch != question.epoch:
            self.told_epoch = ""

    def begin_anew(self) -> None:
        """Forget the copy of a leader that the present one knows nothing of.

        What it told of endpoints is brought to the present one.
        """
        self.backlog.add_all(self.book.endpoints.values())
        for marked in self.book.endpoints.gone.values():
            if marked.value is not None:
                self.backlog.add(marked.value)
        self.book.clear()

    def take_routes(
        self, question: watching.RelayWatch, news: watching.News
    ) -> bool:
        """Put newer routes in force; return whether those held are current."""
        received = self.route_sync.receive(
            self.routes.config,
            question.routes_version,
            news.routes,
            news.routes_delta,
        )
        if received.config is not None:
            self.routes.adopt(received.config)
        return received.is_current

    # --- answering gateways ------------------------------------------------

    def on_watch(
        self, request: watching.Watch, now: float
    ) -> watching.News | watching.AskElsewhere | outcomes.NotLeader:
        """Return what is new for a gateway, or that it is to ask elsewhere."""
        if not self.book.epoch:
            return outcomes.NotLeader()
        near = near_relays(self.book, request, self.relay)
        if near:
            return watching.AskElsewhere(relays=near)
        self.take_watcher(request, now)
        whole, delta = self.routes.news(request.routes_version)
        return attrs.evolve(
            self.book.page(request.epoch, request.registry_mark),
            proof_age_s=now - self.confirmed_at,
            registry_age_s=now - self.heard_since,
            routes=whole,
            routes_delta=delta,
            replicas=self.replicas,
        )

    def take_watcher(self, request: watching.Watch, now: float) -> None:
        """Renew a gateway's lease, and keep what it brought along."""
        name = request.member.entry
        attached = watching.Attached(
            member=request.member, attachment=request.attachment
        )
        known = self.watchers.get(name)
        if known is not None and known.attached.order > attached.order:
            return
        until = now + request.wait_s + hub_lib.WATCHER_MARGIN_S
        if known is None or known.attached != attached:
            self.unsent[name] = attached
        self.watchers[name] = Watcher(attached, until)
        for announcement in request.announcements:
            if not self.knows(announcement):
                self.backlog.add(announcement)

    def knows(self, announcement: registry.Announcement) -> bool:
        """Return whether the leader has told of this word, or a later one."""
        name = announcement.endpoint
        marked = self.book.endpoints.items.get(name)
        marked = marked or self.book.endpoints.gone.get(name)
        if marked is None or marked.value is None:
            return False
        return not registry.is_newer(announcement, marked.value)

    def expire(self, now: float) -> None:
        """Forget gateways that ask no longer."""
        for name, watcher in list(self.watchers.items()):
            if watcher.until <= now:
                del self.watchers[name]
                self.unsent[name] = None

    # --- taking over -------------------------------------------------------

    def is_good(self, now: float) -> bool:
        """Return whether a new leader may go on from the copy."""
        return now - self.copied_at < COPY_GOOD_S

    def step_down(self, heard_since: float, now: float) -> None:
        """Go on as a relay after having led with the book.

        What it knows is good, but nothing proves that its routes are current.
        """
        self.heard_since = heard_since
        self.copied_at = now


def near_relays(
    book: newsbook.NewsBook, request: watching.Watch, own: watching.Relay
) -> tuple[watching.Relay, ...]:
    """Return the relays of a newcomer's zone if it has come to another one."""
    zone = request.member.availability_zone
    if request.knows_relays or zone == own.availability_zone:
        return ()
    relays = book.relays.values()
    return tuple(relay for relay in relays if relay.availability_zone == zone)
