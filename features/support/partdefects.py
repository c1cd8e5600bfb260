"""Defects of the quarantine of parts, each with a history that detects it."""

import functools

import attrs

from _coltsfootroad.control import coordinator
from _coltsfootroad.core import fingerprints
from _coltsfootroad.core import promptparts
from _coltsfootroad.core import quarantine
from _coltsfootroad.core import sharedfeatures
from _coltsfootroad.gateway import answeredparts
from _coltsfootroad.gateway import contentguard
from _coltsfootroad.gateway import crashdetector
from _coltsfootroad.gateway import crashreporter
from features.support import crashhistories
from features.support import ledgerpatterns
from features.support import parthistories
from features.support import partworld

RIGHT_PARTS = promptparts.shared_parts
RIGHT_ADD = sharedfeatures.Evidence.add
RIGHT_OF_PARTS = fingerprints.of_parts
RIGHT_WATCH = crashreporter.CrashReporter.watch


def with_last_part(text: str) -> tuple[str, ...]:
    """Return the shared parts and the request's own."""
    return RIGHT_PARTS(f"{text},")


def with_tokens(text: str) -> tuple[str, ...]:
    """Return parts with their counts of tokens."""
    return tuple(text.split(",")[:-1])


def without_division(self, endpoint, crash_at, suspects) -> None:
    """Blame each feature for a whole crash."""
    RIGHT_ADD(self, endpoint, crash_at, suspects[:1])


def in_all_workspaces(parts, workspace) -> dict:
    """Return fingerprints that do not depend on the workspace."""
    del workspace
    return RIGHT_OF_PARTS(parts, fingerprints.ANY_WORKSPACE)


def isolates_parts(self, changes) -> None:
    """Isolate watched parts like contents."""
    RIGHT_WATCH(self, changes)
    self.watched.update(dict.fromkeys(self.answers.watched))
    self.isolation.update(self.watched)


def play(name: str, seed: int = 1, mode=partworld.CrashMode.RESET) -> None:
    """Play a history and check it."""
    with partworld.fleet(seed=seed) as (world, go):
        world.mode = mode
        history = parthistories.HISTORIES[name]
        parthistories.play(world, go, history)
        parthistories.check(world, history)


def first_part_is_no_culprit() -> None:
    """Crash endpoints under one part, beside others with the same first part."""
    reports = [
        attrs.evolve(
            report,
            suspects=tuple(
                attrs.evolve(suspect, parts=("f1", "p1") if not n else ("f1",))
                for n, suspect in enumerate(report.suspects)
            ),
        )
        for number in range(6)
        for report in ledgerpatterns.in_a_row(
            1, f"poison{number}", f"proper{number}", first=number
        )
    ]
    ledger = ledgerpatterns.ledger_of(reports)
    features = sharedfeatures.SharedFeatures(ledger)
    found = []
    for delay_s in (0.0, 1.0, 2.0):
        now = reports[-1].at + sharedfeatures.RIVAL_DELAY_S + delay_s
        found += features.find_culprits([c.fingerprint for c in found], now)
    names = [culprit.label for culprit in found]
    assert names == ["p1"], names


def own_parts_are_ignored() -> None:
    """Check that a report names no part that only one request has."""
    assert promptparts.shared_parts("f1:8,own:2") == ("f1",)


def bounded_trials() -> None:
    """Check the sends of a part over a long time."""
    with partworld.fleet(3, 6, seed=1) as (world, go):
        history = parthistories.History(
            poison=(parthistories.poison_caller(1.0),), seconds=600.0
        )
        parthistories.play(world, go, history)
        world.check_sends()


def is_not_isolated() -> None:
    """Check that watched parts leave all endpoints to their requests."""
    with partworld.fleet(seed=1) as (world, go):
        watched = (
            parthistories.part("f1", "acme"),
            parthistories.part("f1", "other"),
        )
        leader = world.leader().coordinator
        for feature in watched:
            leader.fleet_state.put_suspect(feature)
        world.leader().watch_server.wake_watches()
        go(world.run(0.5))
        for gateway in world.gateways.values():
            assert gateway.crash_reporter.answers.watched.issuperset(watched)
            assert not gateway.isolation.suspects, gateway.isolation


def restarted_gateways_refuse() -> None:
    """Restart all gateways while a part is in quarantine."""
    with partworld.fleet(seed=1) as (world, go):

        async def story():
            await crashhistories.restart_gateways(world)
            await world.run(5.0)

        parthistories.play(world, go, parthistories.HISTORIES["one part"])
        go(story())
        world.check_sends()


def streams_are_stopped() -> None:
    """Quarantine a part while a stream with it runs."""
    with partworld.fleet(3, 6, seed=1) as (world, go):
        caller = partworld.Caller(workspace="acme", parts=("f1", "p1"))

        async def story():
            world.spawn(world.send(caller))
            await world.run(0.3)
            parthistories.put_in_quarantine(world, "p1")
            await world.run(0.2)
            busy = [e for e in world.engines.values() if e.calls]
            assert not busy, "an engine still runs the request"

        go(story())


one_part = functools.partial(play, "one part")
DEFECTS = {
    "parts are never convicted": (
        (coordinator.Coordinator, "quarantine_features", lambda self, now: []),
        one_part,
    ),
    "the last part counts": (
        (promptparts, "shared_parts", with_last_part),
        own_parts_are_ignored,
    ),
    "counts of tokens are part of the identity": (
        (promptparts, "shared_parts", with_tokens),
        functools.partial(play, "one part, each request sent once"),
    ),
    "each feature is blamed for a whole crash": (
        (sharedfeatures.Evidence, "add", without_division),
        first_part_is_no_culprit,
    ),
    "answers are not reported": (
        (
            answeredparts.AnsweredParts,
            "on_answer",
            lambda self, workspace, header, now: False,
        ),
        functools.partial(play, "a part that comes only with a rare template"),
    ),
    "a crash passes for the end of a response": (
        (
            crashdetector.CrashDetector,
            "has_ended",
            parthistories.never_ended,
        ),
        functools.partial(play, "one part", 1, partworld.CrashMode.CLOSED),
    ),
    "an entry of one workspace holds in all": (
        (fingerprints, "of_parts", in_all_workspaces),
        functools.partial(play, "requests that state a part of others"),
    ),
    "popular parts are isolated": (
        (crashreporter.CrashReporter, "watch", isolates_parts),
        is_not_isolated,
    ),
    "running requests are not stopped": (
        (contentguard.ContentGuard, "stop_if_quarantined", lambda self: None),
        streams_are_stopped,
    ),
    "later gateways learn nothing": (
        (
            quarantine.QuarantineView,
            "learn",
            crashhistories.ignores_full_updates,
        ),
        restarted_gateways_refuse,
    ),
    "trials are not counted": (
        (quarantine, "trial_time", lambda trials, unix_s: unix_s + 60.0),
        bounded_trials,
    ),
}
