"""Keeps a gateway current by asking for news, again and again.

It asks a relay of its availability zone, which has it from the leader, and
goes to another one, or to the leader, when that one falls silent or behind.
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
# An answer without news comes after this time. Together with the time-out and
# the age of the relay's own proof it keeps the proof younger than two seconds
# while anybody leads, and lets the loss of a gateway in use show in 1.6 s.
HOLD_S = 0.4
# The same for a gateway that callers are not sent to: its loss hurts nobody,
# and most of hundreds of gateways ask less than half as often.
SPARE_HOLD_S = 1.0
# How much longer than it is held back an answer may take on its way.
TRAVEL_S = 0.3
# Pause after an answer: one that brings a change each 60 ms is enough.
MIN_PAUSE_S = 0.02
FAILURE_PAUSE_S = 0.1
# A fault comes again with each answer until a later version mends it.
FAULTS = logs.LineLimit(5, 10.0)
# A gateway needs no more of what the control state speaks, and starts sooner
# without the rest.
MESSAGES = wire.Wire.of(
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
    """Asks for news and puts them in force."""

    def __init__(self, gateway):
        self.gateway = gateway
        settings = gateway.settings
        self.channels = channels_lib.Channels(MESSAGES)
        self.choice = relaychoice.RelayChoice(
            gateway=settings.gateway,
            zone=settings.availability_zone,
            seeds=list(settings.control()),
        )
        self.epoch = ""
        self.mark = 0
        self.connected = False
        # Endpoints that a leader which knows nothing of them has to learn.
        self.backlog = backlog_lib.Backlog()
        self.route_sync = routesync.RouteSync()
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Begin to ask."""
        self.task = asyncio.ensure_future(self.run())

    def learn_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take further addresses of the control state."""
        self.choice.learn_seeds(seeds)

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            answered = await self.try_ask()
            pause_s = MIN_PAUSE_S if answered else FAILURE_PAUSE_S
            await asyncio.sleep(pause_s)

    async def try_ask(self) -> bool:
        """Ask once; a fault in taking an answer must not end the watch.

        A version that cannot be applied would otherwise keep away the next
        one, which may mend it. What was not taken proves nothing.
        """
        try:
            return await self.ask()
        except Exception:  # noqa: BLE001
            if FAULTS.allows(clocks.boot_time()):
                LOG.error(
                    "answer not taken",
                    version=self.gateway.view.version,
                    fault=traceback.format_exc(),
                )
            return False

    async def ask(self) -> bool:
        """Ask once; return whether there was an answer that helps."""
        asked_at = clocks.boot_time()
        before = self.choice.current
        address = self.choice.choose(asked_at)
        if address != before:
            LOG.info("asks", address=address, before=before)
        # Held back, an answer proves no more than a quick one.
        question = self.question()
        answer = await self.channels.call(
            address, question, question.wait_s + TRAVEL_S
        )
        found = answer.ok if answer.is_ok() else None
        if isinstance(found, watching.News):
            self.note_link(True, address)
            self.take(question, found, asked_at)
            return True
        now = clocks.boot_time()
        if isinstance(found, watching.AskElsewhere):
            self.learn_relays(found.relays)
            return True
        hint = found.hint if isinstance(found, outcomes.NotLeader) else ""
        self.choice.follow_hint(hint, address, now)
        reason = answer.error if answer.is_error() else type(found).__name__
        self.note_link(False, f"{address}: {reason}")
        return False

    def question(self) -> watching.Watch:
        """Return what is asked."""
        return watching.Watch(
            member=self.member(),
            attachment=self.choice.attachment,
            routes_version=self.route_sync.base_version(
                self.gateway.view.config
            ),
            epoch=self.epoch,
            registry_mark=self.mark,
            announcements=self.backlog_page(),
            wait_s=self.hold_s(),
            knows_relays=bool(self.choice.relays),
        )

    def hold_s(self) -> float:
        """Return for how long an answer without news may be held back."""
        gateway = self.gateway
        used = gateway.view.rotation.includes(gateway.settings.gateway)
        return HOLD_S if used else SPARE_HOLD_S

    def backlog_page(self) -> tuple[registry.Announcement, ...]:
        """Return the announcements of the next request, as known now."""
        if self.backlog.pending:
            self.backlog.refresh(self.gateway.endpoints.current_announcements())
        return self.backlog.page()

    def member(self) -> addresses.Member:
        """Return what the other gateways learn of this one."""
        settings = self.gateway.settings
        return addresses.Member(
            entry=settings.gateway,
            incarnation=self.gateway.incarnation,
            address=settings.listen,
            peer_address=settings.peer_listen,
            availability_zone=settings.availability_zone,
            leaving=self.gateway.leaving,
        )

    def note_link(self, connected: bool, detail: str) -> None:
        """Log each lost or regained way to the control state once."""
        if connected != self.connected:
            text = "leader regained" if connected else "leader lost"
            LOG.info(text, detail=detail, version=self.gateway.view.version)
        self.connected = connected

    def take(
        self, question: watching.Watch, news: watching.News, asked_at: float
    ) -> None:
        """Put the answer to a question in force."""
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
        self.backlog.settle(question.announcements)
        if changes.whole and self.epoch:
            self.backlog.add_all(gateway.endpoints.current_announcements())
        self.epoch = news.epoch
        self.mark = news.registry_mark
        self.choice.learn_seeds(news.replicas)
        if changes.whole:
            self.choice.relays.clear()
        self.learn_relays(changes.relays)
        for name in changes.lost_relays:
            self.choice.forget(name)
        self.take_endpoints(changes)
        gateway.quarantine.learn(changes)
        gateway.crash_reporter.watch(changes)
        gateway.view.member_view.learn(
            changes.members,
            changes.lost_members,
            changes.whole,
            0.0 if changes.more else news.registry_age_s,
        )
        if not self.take_routes(question, news):
            return
        gateway.view.confirm(asked_at - news.proof_age_s)
        gateway.note_members()
        gateway.start_up.on_news(news.registry_age_s, clocks.boot_time())
        if news.proof_age_s > relaychoice.MAX_RELAY_PROOF_AGE_S:
            now = clocks.boot_time()
            LOG.info(
                "relay is behind",
                address=self.choice.current,
                proof_age_s=round(news.proof_age_s, 3),
            )
            self.choice.back_off(self.choice.current, now)

    def learn_relays(self, relays: tuple[watching.Relay, ...]) -> None:
        """Note relays that can be asked."""
        for relay in relays:
            self.choice.learn(
                relay.name, relay.address, relay.availability_zone
            )

    def take_endpoints(self, changes: watching.Changes) -> None:
        """Take what is new of endpoints."""
        gateway = self.gateway
        for announcement in changes.announcements:
            gateway.learn_endpoint(announcement)
        for name in changes.gone:
            gateway.endpoints.expire(name)
            LOG.info("endpoint silent", endpoint=name)
        for announcement in changes.left:
            gateway.learn_endpoint(announcement)

    def take_routes(
        self, question: watching.Watch, news: watching.News
    ) -> bool:
        """Put newer routes in force; return whether those held are current."""
        gateway = self.gateway
        received = self.route_sync.receive(
            gateway.view.config,
            question.routes_version,
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
        """Stop asking."""
        if self.task is not None:
            self.task.cancel()
        await self.channels.close()
