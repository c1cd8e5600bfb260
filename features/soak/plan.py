"""Draws the faults of a soak from its seed; nothing here runs anything."""

import enum
import random

import attrs

# Faults begin after this, when the fleet serves, and end this long before
# the callers do, so that recovery is seen as well.
QUIET_S = 4.0
SETTLE_S = 8.0
# Mean pause between two faults; they last for seconds, so several overlap.
MEAN_GAP_S = 0.8
# Free of faults on replicas before and after a lost disk: one may be lost at
# a time, and a replica counts as lost until it has caught up.
WIPE_CLEAR_S = 8.0
KEY_COUNT = 6


class Kind(enum.Enum):
    """What is done, and to what kind of target."""

    KILL_GATEWAY = "kill gateway"
    PAUSE_GATEWAY = "pause gateway"
    STOP_GATEWAY = "stop gateway"
    RELOAD_GATEWAY = "reload gateway"
    KILL_REPLICA = "kill replica"
    PAUSE_REPLICA = "pause replica"
    STOP_REPLICA = "stop replica"
    KILL_ALL_REPLICAS = "kill all replicas"
    WIPE_REPLICA = "wipe replica"
    STORAGE = "storage of replica"
    WALL_CLOCK = "wall clock of replica"
    REPLICA_LINK = "link to replica"
    ENDPOINT_LINK = "link to endpoint"
    CRASH_ENDPOINT = "crash endpoint"
    LEAVE_ENDPOINT = "leave endpoint"
    MISBEHAVE = "misbehave endpoint"
    VERSION = "version"
    STORM = "storm of versions"
    RACE = "race of versions"
    REVOKE = "revoke key"


GATEWAY_KINDS = (
    Kind.KILL_GATEWAY,
    Kind.PAUSE_GATEWAY,
    Kind.STOP_GATEWAY,
    Kind.RELOAD_GATEWAY,
)
REPLICA_KINDS = (
    Kind.KILL_REPLICA,
    Kind.PAUSE_REPLICA,
    Kind.STOP_REPLICA,
    Kind.KILL_ALL_REPLICAS,
    Kind.WIPE_REPLICA,
    Kind.STORAGE,
    Kind.WALL_CLOCK,
    Kind.REPLICA_LINK,
)
ENDPOINT_KINDS = (
    Kind.ENDPOINT_LINK,
    Kind.CRASH_ENDPOINT,
    Kind.LEAVE_ENDPOINT,
    Kind.MISBEHAVE,
)
# What each kind may do, drawn with the fault.
WAYS = {
    Kind.STORAGE: ("slow", "full"),
    Kind.WALL_CLOCK: ("forward", "back"),
    Kind.REPLICA_LINK: ("delay", "reset", "drop_in", "drop_out", "silence"),
    Kind.ENDPOINT_LINK: ("delay", "reset", "drop_in", "drop_out", "silence"),
    Kind.MISBEHAVE: (
        "fail",
        "reject",
        "reset",
        "truncate",
        "misattribute",
        "unsigned",
        "twice",
        "stall",
        "die_in_event",
    ),
}


@attrs.frozen(kw_only=True)
class Size:
    """How many of each take part, and for how long.

    Attributes:
        seconds: Of faults, quiet times not counted.
    """

    replicas: int = 3
    gateways: int = 4
    endpoints: int = 5
    callers: int = 8
    seconds: float = 20.0

    @property
    def end_s(self) -> float:
        """Return when the callers stop, in seconds from their start."""
        return QUIET_S + self.seconds + SETTLE_S


@attrs.frozen(kw_only=True)
class Fault:
    """One thing done to one target; `for_s` is its length."""

    at: float
    kind: Kind
    target: int = 0
    for_s: float = 0.0
    way: str = ""


def draw(seed: int, size: Size) -> list[Fault]:
    """Return the faults of a seed in order of time; the same each time."""
    rng = random.Random(seed)
    found = []
    at = QUIET_S
    while True:
        at += rng.expovariate(1 / MEAN_GAP_S)
        if at >= QUIET_S + size.seconds:
            break
        found.append(draw_one(rng, at, size))
    return without_double_losses(found)


def draw_one(rng: random.Random, at: float, size: Size) -> Fault:
    """Return a fault that begins at a time."""
    kind = rng.choice(list(Kind))
    target = 0
    if kind in GATEWAY_KINDS:
        target = rng.randrange(size.gateways)
    elif kind in REPLICA_KINDS:
        target = rng.randrange(size.replicas)
    elif kind in ENDPOINT_KINDS:
        target = rng.randrange(size.endpoints)
    elif kind is Kind.REVOKE:
        target = rng.randrange(1, KEY_COUNT)
    return Fault(
        at=at,
        kind=kind,
        target=target,
        for_s=rng.uniform(0.3, 4.0),
        way=rng.choice(WAYS.get(kind, ("",))),
    )


def without_double_losses(faults: list[Fault]) -> list[Fault]:
    """Drop lost disks that meet another fault of the replicas."""
    replica = [f for f in faults if f.kind in REPLICA_KINDS]

    def alone(fault: Fault) -> bool:
        return all(
            other is fault
            or other.at > fault.at + WIPE_CLEAR_S
            or other.at + other.for_s < fault.at - WIPE_CLEAR_S
            for other in replica
        )

    return [f for f in faults if f.kind is not Kind.WIPE_REPLICA or alone(f)]
