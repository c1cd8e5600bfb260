"""Scenarios of requests that crash engines by a part of their prompt."""

from features.support import partworld

Caller = partworld.Caller
SAME_KEY = Caller(workspace="acme", parts=("f1", "a1"), every_s=0.1)
OTHER_KEY = Caller(workspace="other", parts=("f1", "b1"), every_s=0.1)
PROPER = [SAME_KEY, OTHER_KEY]
PROPER_PARTS = ("f1", "a1", "b1")
POISON_PART = "bad1"
QUIET_S = 4.0


def poison_caller(every_s: float, part: str = POISON_PART) -> Caller:
    """Return a caller whose requests have a part that crashes engines."""
    return Caller(workspace="acme", parts=("f1", part), every_s=every_s)


def start(world, callers: list[Caller]) -> None:
    """Start to send the requests of some callers."""
    for caller in callers:
        world.spawn(world.repeat(caller))


def send_one_part(world, go, every_s: float, seconds: float) -> None:
    """Send requests that share one poison part, beside proper ones."""

    async def story():
        partworld.use_workspaces(world, "acme", "other")
        world.poison_parts.add(POISON_PART)
        start(world, PROPER)
        await world.run(QUIET_S)
        start(world, [poison_caller(every_s)])
        await world.run(seconds)

    go(story())


def check_no_proper_part(world) -> None:
    """Check that nothing that proper requests share is in quarantine."""
    for entry in world.state.quarantine.entries.values():
        named = [part for part in PROPER_PARTS if repr(part) in entry.reason]
        assert not named, entry
