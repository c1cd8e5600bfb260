"""Scenarios of requests that crash engines by a part of their prompt.

Each scenario raises AssertionError if the quarantine fails.
"""

import attrs

from _coltsfootroad.control import crashreports
from _coltsfootroad.core import fingerprints
from features.support import crashhistories
from features.support import crashworld
from features.support import partworld

Caller = partworld.Caller
SAME_KEY = Caller(workspace="acme", parts=("f1", "a1"), every_s=0.1)
OTHER_KEY = Caller(workspace="other", parts=("f1", "b1"), every_s=0.1)
PROPER = (SAME_KEY, OTHER_KEY)
# Proper requests with a template that requests with the poison part have too.
TEMPLATE = Caller(workspace="acme", parts=("f1", "t1"), every_s=0.3)
# Proper requests that all have the same content.
POPULAR = Caller(
    workspace="acme",
    parts=("f1", "a2"),
    kind="safe",
    every_s=0.04,
    body=b"popular",
)
POISON_PART = "bad1"
POISON_BODY = b"poison content"
QUIET_S = 4.0
DEFAULT_EVERY_S = 0.2


@attrs.frozen(kw_only=True)
class History:
    """A mix of callers, with a fault.

    Attributes:
        poison: Callers whose requests crash engines.
        proper: Callers whose requests crash none.
        trouble: Fault that begins with the crashes, as in `crashhistories`.
        culprits: Fingerprints that may be quarantined, None for any part that
            no proper request has.
        seconds: Time from the first crash to the end.
    """

    poison: tuple[Caller, ...]
    proper: tuple[Caller, ...] = PROPER
    trouble: str = "nothing"
    culprits: tuple[fingerprints.Fingerprint, ...] | None = None
    seconds: float = 16.0

    def parts_of(self, callers: tuple[Caller, ...]) -> set[str]:
        """Return all parts that requests of some callers may have."""
        return {part for caller in callers for part in caller.all_parts()}

    def poison_parts(self) -> set[str]:
        """Return the parts that crash engines."""
        return {
            part
            for part in self.parts_of(self.poison)
            if part.startswith("bad")
        }


def poison_caller(
    every_s: float = DEFAULT_EVERY_S, *parts, **changes
) -> Caller:
    """Return a caller whose requests have a part that crashes engines."""
    fields = {
        "workspace": "acme",
        "parts": parts or ("f1", POISON_PART),
        "every_s": every_s,
    }
    return Caller(**(fields | changes))


def play(world, go, history: History) -> None:
    """Play a history."""

    async def story():
        world.poison_parts |= history.poison_parts()
        world.poison_bodies.add(POISON_BODY)
        for caller in history.proper:
            world.spawn(world.repeat(caller))
        await world.run(QUIET_S)
        for caller in history.poison:
            world.spawn(world.repeat(caller))
        world.spawn(crashhistories.TROUBLES[history.trouble](world))
        await world.run(history.seconds)

    go(story())


def check(world, history: History) -> None:
    """Check that parts are refused in time, and nothing else is."""
    world.check_sends()
    check_entries(world, history)
    world.check_served(history.proper)


def check_entries(world, history: History) -> None:
    """Check that nothing is in quarantine that proper requests share."""
    for entry in world.state.quarantine.entries.values():
        if history.culprits is not None:
            assert entry.fingerprint in history.culprits, entry
        for caller in history.proper:
            shared = fingerprints.of_parts(
                tuple(caller.all_parts()), caller.workspace
            )
            assert entry.fingerprint not in shared, entry
            if caller.body is not None:
                content = crashworld.fingerprint(caller.body, caller.kind)
                assert entry.fingerprint != content, entry


def part(name: str, workspace: str = "acme") -> fingerprints.Fingerprint:
    """Return the fingerprint of a part."""
    return fingerprints.of_part(name, workspace)


async def never_ended(self, endpoint) -> bool:
    """Take every endpoint for running, as a defect."""
    del self, endpoint
    return False


def put_in_quarantine(world, name: str) -> None:
    """Put a part into quarantine like an operator."""
    world.apply(crashreports.Quarantine(fingerprint=part(name), reason="test"))


HISTORIES: dict[str, History] = {
    "one part": History(poison=(poison_caller(),)),
    "one part, on plain requests": History(
        poison=(poison_caller(kind="safe"),)
    ),
    "one part, on requests that must not run twice": History(
        poison=(poison_caller(kind="unsafe"),)
    ),
    "one part, each request sent once": History(
        poison=(poison_caller(1.0, attempts=1),), seconds=20.0
    ),
    "one part, first in the prompt": History(
        poison=(poison_caller(0.2, POISON_PART, "f1"),)
    ),
    "one part beside others that change": History(
        poison=(poison_caller(0.2, "f1", ("c1", "c2", "c3"), POISON_PART),)
    ),
    "one part behind several first parts": History(
        poison=(poison_caller(0.2, ("f1", "f2", "f3"), POISON_PART),),
    ),
    "a part that comes only with a template": History(
        poison=(poison_caller(0.2, "f1", "t1", POISON_PART),),
        proper=(*PROPER, TEMPLATE),
    ),
    "a part that comes only with a rare template": History(
        poison=(poison_caller(0.1, "t1", POISON_PART),),
        proper=(*PROPER, attrs.evolve(TEMPLATE, parts=("t1",), every_s=1.5)),
    ),
    "one part beside a popular content": History(
        poison=(poison_caller(0.1),),
        proper=(*PROPER, POPULAR),
    ),
    "three parts beside a popular content": History(
        poison=tuple(
            poison_caller(0.3, "f1", name) for name in ("bad1", "bad2", "bad3")
        ),
        proper=(*PROPER, POPULAR),
        seconds=20.0,
    ),
    "two parts": History(
        poison=(
            poison_caller(0.3),
            poison_caller(0.3, "f1", "bad2"),
        )
    ),
    "three parts": History(
        poison=tuple(
            poison_caller(0.5, "f1", name) for name in ("bad1", "bad2", "bad3")
        ),
        seconds=20.0,
    ),
    "two parts in the same requests": History(
        poison=(poison_caller(0.2, "f1", "bad1", "bad2"),)
    ),
    "a part and a whole content": History(
        poison=(
            poison_caller(),
            poison_caller(0.3, "f1", "a1", body=POISON_BODY),
        )
    ),
    "a part in two workspaces": History(
        poison=(
            poison_caller(0.4),
            poison_caller(0.4, workspace="other"),
        )
    ),
    "a part in four workspaces": History(
        poison=tuple(
            poison_caller(0.8, workspace=name)
            for name in ("acme", "other", "third", "fourth")
        )
    ),
    "requests that state a part of others": History(
        poison=(poison_caller(0.2, "f1", workspace="evil", is_poison=True),),
        proper=PROPER,
    ),
    **{
        f"one part, beside {trouble}": History(
            poison=(poison_caller(),), trouble=trouble, seconds=18.0
        )
        for trouble in (
            "a rack that ends",
            "racks that end in turn",
            "no leader for 2 s",
            "a cold restart of all gateways",
            "a gateway that starts later",
            "a relay that is cut off",
            "a new leader without a copy",
            "engines that break off",
        )
    },
}
# Faults of endpoints without any request that causes them.
PROPER_TROUBLES = (
    "racks that end in turn",
    "engines that break off",
    "unresponsive engines",
    "engines that end at random, and a popular proper request",
)


def run(name: str, seed: int = 1, **fleet: int) -> None:
    """Play a history in a fleet of its own and check it."""
    with partworld.fleet(seed=seed, **fleet) as (world, go):
        play(world, go, HISTORIES[name])
        check(world, HISTORIES[name])
