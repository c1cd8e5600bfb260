"""What happens around requests that crash engines, and what must hold.

Each history raises AssertionError where the quarantine fails.
"""

import asyncio
import itertools
from unittest import mock

import attrs

from _coltsfootroad.control import crashreports
from _coltsfootroad.control import hub
from _coltsfootroad.core import crashledger
from _coltsfootroad.core import fingerprints
from _coltsfootroad.core import isolation
from _coltsfootroad.core import quarantine
from _coltsfootroad.gateway import contentguard
from _coltsfootroad.gateway import crashdetector
from _coltsfootroad.gateway import crashreporter
from features.support import crashworld
from features.support import gatewaybed
from features.support import ledgerpatterns
from features.support import relayworld

PROPER_EVERY_S = 0.015
POPULAR = b"popular"
POPULAR_EVERY_S = 0.05
RARE_EVERY_S = 0.1
PLAY_S = 12.0
TROUBLE_AT_S = 2.0
RACK = 5
# Not every storm puts a popular request beside each crash of another one.
STORM_SEEDS = (0, 4, 8)


# --- troubles ----------------------------------------------------------------


async def nothing(world):
    """Let nothing happen."""


async def rush(world):
    """Send ten times as many requests for a while."""
    for number in range(5_000):
        world.spawn(world.send_proper(b"rush %d" % number))
        await asyncio.sleep(PROPER_EVERY_S / 10)


async def popular(world):
    """Send the same proper request again and again."""
    while True:
        world.spawn(world.send_proper(POPULAR))
        await asyncio.sleep(POPULAR_EVERY_S)


async def rack_ends(world):
    """Let some engines end at once."""
    world.spawn(popular(world))
    for engine in list(world.engines.values())[:RACK]:
        world.crash(engine)


async def racks_end(world):
    """Let one rack after another end."""
    world.spawn(popular(world))
    engines = list(world.engines.values())
    for start in itertools.cycle(range(0, len(engines), RACK)):
        for engine in engines[start : start + RACK]:
            if engine.up:
                world.crash(engine)
        await asyncio.sleep(1.5 * crashworld.RESTART_S)


async def break_off(world):
    """Let engines break their connections off while they live."""
    while True:
        await asyncio.sleep(0.2)
        world.rng.choice(list(world.engines.values())).end_calls()


async def go_dark(world):
    """Let engines lose their network for some time, one after another."""
    for engine in itertools.cycle(world.engines.values()):
        engine.dark = True
        engine.end_calls()
        await asyncio.sleep(2.0)
        engine.dark = False


async def end_at_random(world):
    """Let an engine end each second, as single processes do."""
    world.spawn(popular(world))
    while True:
        await asyncio.sleep(1.0)
        engine = world.rng.choice(list(world.engines.values()))
        if engine.up:
            world.crash(engine)


async def lose_leader(world):
    """Let nobody lead for a while."""
    world.lose_leader(2.0)


async def restart_gateways(world):
    """Start all gateways anew."""
    for name, gateway in list(world.gateways.items()):
        gateway.watch.task.cancel()
        world.add_gateway(name, gateway.settings.availability_zone)


async def start_later(world):
    """Start another gateway."""
    world.add_gateway("gw-late", "za")


async def cut_relay(world):
    """Cut a relay off from the others of control."""
    world.isolate("relay-0")


async def lead_anew(world):
    """Let a replica that knows nothing lead."""
    world.lose_leader(0.6)
    for process in world.processes.values():
        process.mirror.copied_at = float("-inf")
        process.mirror.book.clear()


async def follow_one(world):
    """Let each engine break off that is sent a certain request."""
    world.spoiled.add(POPULAR)
    world.spawn(popular(world))


TROUBLES = {
    "a client's engines break off in turn": follow_one,
    "nothing": nothing,
    "a rush": rush,
    "a popular proper request": popular,
    "a rack that ends": rack_ends,
    "racks that end in turn": racks_end,
    "engines that break off": break_off,
    "engines that go dark": go_dark,
    "engines that end at random, and a popular proper request": end_at_random,
    "no leader for 2 s": lose_leader,
    "a cold restart of all gateways": restart_gateways,
    "a gateway that starts later": start_later,
    "a relay that is cut off": cut_relay,
    "a new leader without a copy": lead_anew,
}


def play(world, go, poisons: int, every_s: float, trouble: str) -> None:
    """Let poison and proper requests come, and trouble after a while."""

    async def story():
        world.spawn(world.load(PROPER_EVERY_S))
        for number in range(poisons):
            body = b"%s %d" % (crashworld.POISON, number)
            world.spawn(world.repeat_poison(body, every_s))
        await world.run(TROUBLE_AT_S)
        world.spawn(TROUBLES[trouble](world))
        await world.run(PLAY_S - TROUBLE_AT_S)

    go(story())


def play_beside_popular(
    world, go, poisons: int, every_s: float, popular_count: int
) -> None:
    """Let poison requests come beside popular ones and few others."""

    async def repeat(body):
        while True:
            world.spawn(world.send_proper(body))
            await asyncio.sleep(POPULAR_EVERY_S * world.rng.uniform(0.5, 1.5))

    async def story():
        for number in range(popular_count):
            world.spawn(repeat(b"%s %d" % (POPULAR, number)))
        world.spawn(world.load(RARE_EVERY_S))
        for number in range(poisons):
            body = b"%s %d" % (crashworld.POISON, number)
            world.spawn(world.repeat_poison(body, every_s))
        await world.run(PLAY_S)

    go(story())


def storm_convicts_nobody() -> None:
    """Check that popular requests are not refused while no engine lives long."""
    for seed in STORM_SEEDS:
        with (
            mock.patch.object(crashworld, "RESTART_S", 1.0),
            crashworld.fleet(3, 4, seed=seed) as (world, go),
        ):
            play_beside_popular(world, go, 1, 0.022, 3)
            check_none_proper(world)


# --- what must hold ------------------------------------------------------------


def check_none_proper(world) -> None:
    """Check that only poison requests are in quarantine."""
    entries = world.state.quarantine.entries.values()
    wanted = {
        crashworld.fingerprint(body, kind).text
        for body, kind in world.poisons.items()
    }
    found = {entry.fingerprint.text for entry in entries}
    assert found <= wanted, f"{len(found - wanted)} proper requests"
    assert not world.proper["ended in quarantine"], world.proper


def put_in_quarantine(world, body: bytes, kind: str = "safe") -> None:
    """Put a request into quarantine as an operator does."""
    world.apply(
        crashreports.Quarantine(
            fingerprint=crashworld.fingerprint(body, kind), reason="test"
        )
    )


def poison_beside(trouble: str) -> None:
    """Let a poison request come beside a trouble."""
    with crashworld.fleet(9, 16) as (world, go):
        play(world, go, 1, 0.2, trouble)
        assert world.state.quarantine.entries, "nothing is in quarantine"
        world.check_poisons()
        check_none_proper(world)


def proper_beside(trouble: str) -> None:
    """Let proper requests come beside a trouble."""
    with crashworld.fleet(9, 16) as (world, go):
        play(world, go, 0, 1.0, trouble)
        check_none_proper(world)


def convicts_nobody(pattern: str) -> None:
    """Report crashes that prove nothing."""
    ledger = ledgerpatterns.ledger_of(ledgerpatterns.PATTERNS[pattern])
    assert not ledgerpatterns.culprits_of(ledger)


def one_crash_counts_once() -> None:
    """Report one crash by several gateways."""
    pattern = "one crash is reported by five gateways"
    ledger = ledgerpatterns.ledger_of(ledgerpatterns.PATTERNS[pattern])
    assert len(ledger.known) == 1, ledger.known


def other_workspace_is_served() -> None:
    """Send a request in quarantine for another workspace and on another path."""
    with crashworld.fleet(3, 6) as (world, go):
        put_in_quarantine(world, b"refused")
        go(world.run(0.5))
        config = gatewaybed.config(
            version=9, holders=crashworld.holders("acme", "other")
        )
        for gateway in world.gateways.values():
            gateway.adopt(config)
        key = crashworld.key_of("other")
        assert go(world.ask(b"refused", key=key)).status == 200
        assert go(world.ask(b"refused", "unsafe")).status == 200
        assert go(world.ask(b"refuse2")).status == 200


def answered_between_crashes(gateways: int) -> None:
    """Let engines end under a popular request that others answer.

    With two gateways one sees the crashes, and the other one the answers.
    """
    with crashworld.fleet(gateways, 6) as (world, go):
        first, *others = world.gateways.values()
        last = others[-1] if others else first

        async def story():
            for _ in range(2 * crashledger.MIN_CRASHES):
                asked = asyncio.ensure_future(
                    world.ask(POPULAR, "unsafe", gateway=first)
                )
                await world.run(2 * relayworld.STEP_S)
                for engine in list(world.engines.values()):
                    if engine.calls:
                        world.crash(engine)
                await asked
                await world.run(1.0)
                await world.ask(POPULAR, "unsafe", gateway=last)
                await world.run(crashworld.RESTART_S + 1.0)

        go(story())
        assert world.arrivals[POPULAR] >= 3 * crashledger.MIN_CRASHES
        check_none_proper(world)


def running_is_stopped() -> None:
    """Put a request into quarantine while engines run it."""
    with crashworld.fleet(3, 6) as (world, go):
        body = b"slow"
        world.serve_s[body] = 4.0

        async def story():
            asked = asyncio.ensure_future(world.ask(body, "stream"))
            await world.run(0.5)
            put_in_quarantine(world, body, "stream")
            await world.run(0.2)
            assert asked.done(), "it still runs"

        go(story())


def fixed_is_released() -> None:
    """Fix a poison request; it is answered after its first term."""
    with crashworld.fleet(3, 6) as (world, go):
        body = crashworld.POISON

        async def story():
            task = asyncio.ensure_future(world.repeat_poison(body, 0.2))
            await world.run(3.0)
            task.cancel()
            world.fixed = True
            await world.run(quarantine.FIRST_TRIAL_DELAY_S)
            await world.ask(body, world.poisons[body])
            await world.run(1.0)
            answer = await world.ask(body, world.poisons[body])
            assert answer.status == 200, answer.status

        go(story())


# --- planted defects -----------------------------------------------------------


def fingerprint_without(part: str):
    """Return a fingerprint function that leaves one part out."""
    right = fingerprints.compute

    def wrong(method, host, target, workspace, body):
        given = {
            "method": method,
            "host": host,
            "target": target,
            "workspace": workspace,
            "body": body,
        }
        blank = given[part]
        given[part] = bytes(len(blank)) if part == "body" else ""
        return right(**given)

    return wrong


def counts_reports(self, crash, now):
    """Count each report as a crash of its own."""
    key = attrs.evolve(crash.endpoint, incarnation=next(REPORTS))
    RIGHT_RECORD(self, attrs.evolve(crash, endpoint=key), now)


def convicts_everybody(self, fingerprint, convicted, now):
    """Convict whoever was in flight at some crashes."""
    del convicted, now
    return len(self.suspected[fingerprint]) >= crashledger.MIN_CRASHES


def counts_together(self, fingerprint, endpoints):
    """Count crashes that happened at once one by one."""
    del self, fingerprint
    return float(len(endpoints))


def tells_changes_only(self, now):
    """Tell of nothing that was there before this leader."""
    table = self.state.quarantine
    if self.quarantine_revision < 0:
        self.quarantine_revision = table.revision
        return
    RIGHT_PUBLISH(self, now)


def forgets_at_full_sync(self, added, ended, whole, more):
    """Take a full sync for nothing."""
    if whole:
        return quarantine.ViewChange()
    return RIGHT_LEARN(self, added, ended, whole, more)


REPORTS = itertools.count(2)
RIGHT_RECORD = crashledger.CrashLedger.record
RIGHT_PUBLISH = hub.Hub.publish_quarantine
RIGHT_LEARN = quarantine.QuarantineView.learn
DEFECTS = {
    "the fingerprint leaves out the body": (
        (fingerprints, "compute", fingerprint_without("body")),
        other_workspace_is_served,
    ),
    "the fingerprint leaves out the path": (
        (fingerprints, "compute", fingerprint_without("target")),
        other_workspace_is_served,
    ),
    "the fingerprint leaves out the workspace": (
        (fingerprints, "compute", fingerprint_without("workspace")),
        lambda: poison_beside("nothing"),
    ),
    "crashes are counted by report": (
        (crashledger.CrashLedger, "record", counts_reports),
        one_crash_counts_once,
    ),
    "crashes at once are counted one by one": (
        (crashledger.CrashLedger, "longest_sequence", counts_together),
        lambda: convicts_nobody("a rack crashes under a popular request"),
    ),
    "whoever was in flight is convicted": (
        (crashledger.CrashLedger, "is_culprit", convicts_everybody),
        lambda: convicts_nobody(
            "a bystander follows poison to three endpoints"
        ),
    ),
    "answers clear nobody": (
        (crashreporter.CrashReporter, "clear", lambda self, f: None),
        lambda: answered_between_crashes(1),
    ),
    "suspects are not published": (
        (hub.Hub, "publish_suspects", lambda self: None),
        lambda: answered_between_crashes(2),
    ),
    "suspects are sent to the same engines": (
        (isolation.Isolation, "is_isolated", lambda self, f: False),
        storm_convicts_nobody,
    ),
    "watched requests are forgotten": (
        (crashreporter.CrashReporter, "watch", lambda self, changes: None),
        lambda: answered_between_crashes(2),
    ),
    "nothing is published": (
        (hub.Hub, "publish_quarantine", lambda self, now: None),
        lambda: poison_beside("nothing"),
    ),
    "later gateways learn nothing": (
        (quarantine.QuarantineView, "learn", forgets_at_full_sync),
        lambda: poison_beside("a cold restart of all gateways"),
    ),
    "a new leader publishes changes only": (
        (hub.Hub, "publish_quarantine", tells_changes_only),
        lambda: poison_beside("a new leader without a copy"),
    ),
    "no trial is ever due": (
        (quarantine.Entry, "allows_trial", lambda self, unix_s: False),
        fixed_is_released,
    ),
    "what runs is not stopped": (
        (contentguard.ContentGuard, "stop_if_quarantined", lambda self: None),
        running_is_stopped,
    ),
    "broken connections count as crashes": (
        (
            crashdetector.CrashDetector,
            "has_crashed",
            lambda self, endpoint, listener: True,
        ),
        lambda: proper_beside("a client's engines break off in turn"),
    ),
}
