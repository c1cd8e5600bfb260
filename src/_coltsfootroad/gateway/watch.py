"""Keeps a gateway current by asking the leader for news, again and again."""

import asyncio

from _coltsfootroad.control import watching
from _coltsfootroad.core import addresses
from _coltsfootroad.core import routedelta
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import links
from _coltsfootroad.shell import logs

LOG = logs.logger("watch")
# An answer without news comes after this time. Together with the time-out
# it keeps the proof younger than a second while the leader lives, and lets
# the leader see within 1.6 s that a gateway in use is lost.
HOLD_S = 0.4
# The same for a gateway that callers are not sent to: its loss hurts nobody,
# and most of 96 gateways ask less than half as often.
SPARE_HOLD_S = 1.0
# How much longer than it is held back an answer may take on its way. The link
# gives half of a call's time to the first replica it tries.
TRAVEL_S = 0.2
TRIES = 2
# Pause after an answer: one that brings a change each 60 ms is enough.
MIN_PAUSE_S = 0.02
FAILURE_PAUSE_S = 0.1
# Stands for no version of the routes.
NO_VERSION = -1


class Watch:
    """Asks for news and puts them in force."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.link = links.GrpcControlLink(gateway.settings.control())
        self.epoch = ""
        self.mark = 0
        self.connected = False
        self.wants_whole = False
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Begin to ask."""
        self.task = asyncio.ensure_future(self.run())

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            answered = await self.ask()
            pause_s = MIN_PAUSE_S if answered else FAILURE_PAUSE_S
            await asyncio.sleep(pause_s)

    async def ask(self) -> bool:
        """Ask once; return whether a leader answered."""
        asked_at = clocks.boot_time()
        # Held back, an answer proves no more than a quick one.
        question = self.question()
        timeout_s = TRIES * (question.wait_s + TRAVEL_S)
        answer = await self.link.call(question, timeout_s)
        news = answer.ok if answer.is_ok() else None
        if not isinstance(news, watching.News):
            reason = answer.error.message if news is None else str(news)
            self.note_link(False, reason)
            return False
        self.note_link(True, self.link.leader)
        self.take(news, asked_at)
        return True

    def question(self) -> watching.Watch:
        """Return what is asked."""
        gateway = self.gateway
        return watching.Watch(
            member=self.member(),
            routes_version=NO_VERSION
            if self.wants_whole
            else gateway.view.version,
            epoch=self.epoch,
            registry_mark=self.mark,
            announcements=self.owed(),
            wait_s=self.hold_s(),
        )

    def hold_s(self) -> float:
        """Return for how long an answer without news may be held back."""
        gateway = self.gateway
        used = gateway.view.rotation.uses(gateway.settings.gateway)
        return HOLD_S if used else SPARE_HOLD_S

    def owed(self) -> tuple:
        """Return what a leader that is new has to learn again."""
        if self.connected:
            return ()
        return self.gateway.endpoints.everything()

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
        """Log each lost or regained leader once."""
        if connected != self.connected:
            text = "leader regained" if connected else "leader lost"
            LOG.info(text, detail=detail, version=self.gateway.view.version)
        self.connected = connected

    def take(self, news: watching.News, asked_at: float) -> None:
        """Put news in force."""
        gateway = self.gateway
        anew = news.epoch != self.epoch
        if anew:
            LOG.info("new epoch", epoch=news.epoch, before=self.epoch)
            # What this leader does not know yet is brought to it next time.
            self.connected = self.epoch == ""
        self.epoch = news.epoch
        self.mark = news.registry_mark
        self.link.learn(news.replicas)
        for announcement in news.announcements:
            gateway.learn_endpoint(announcement)
        for name in news.gone:
            gateway.endpoints.expire(name)
            LOG.info("endpoint silent", endpoint=name)
        for announcement in news.left:
            gateway.learn_endpoint(announcement)
        gateway.view.member_view.learn(
            news.members, news.lost_members, anew, news.registry_age_s
        )
        if not self.take_routes(news):
            return
        gateway.view.confirm(asked_at)
        gateway.start_up.on_news(news.registry_age_s, clocks.boot_time())

    def take_routes(self, news: watching.News) -> bool:
        """Put newer routes in force; return whether the version is known.

        A change that does not fit is asked for whole next time, and proves
        nothing of the version in force.
        """
        gateway = self.gateway
        config = news.routes
        if news.routes_delta is not None:
            table = gateway.view.table
            known = None if table is None else table.config
            config = routedelta.apply(known, news.routes_delta)
            self.wants_whole = config is None
            if config is None:
                LOG.warning(
                    "changes do not fit",
                    base=news.routes_delta.base,
                    version=gateway.view.version,
                )
                return False
        if config is not None:
            gateway.adopt(config)
        return True

    async def close(self) -> None:
        """Stop asking."""
        if self.task is not None:
            self.task.cancel()
        await self.link.close()
