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
# A replica on a new VM has started and votes this long after it was begun.
VOTES_AFTER_S = 4.0


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
    REPLACE_REPLICA = "replace replica"
    STORAGE = "storage of replica"
    WALL_CLOCK = "wall clock of replica"
    REPLICA_LINK = "link to replica"
    ENDPOINT_LINK = "link to endpoint"
    CRASH_ENDPOINT = "crash endpoint"
    LEAVE_ENDPOINT = "leave endpoint"
    MISBEHAVE = "misbehave endpoint"
    SHED_ENDPOINTS = "shed at all endpoints"
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
# Replicas that are lost for good.
LOSSES = (Kind.WIPE_REPLICA, Kind.REPLACE_REPLICA)
# Drawn only in histories of their own.
SPECIAL_KINDS = (Kind.REPLACE_REPLICA, Kind.SHED_ENDPOINTS)
DRAWN_KINDS = tuple(kind for kind in Kind if kind not in SPECIAL_KINDS)
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
    Kind.REPLACE_REPLICA: ("without a word", "planned"),
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
        replacing: Whether replicas are replaced, and nothing else is done.
        mbits: Rate of the link before each replica, 0 for no limit.
        routes: Routes of each version that nobody asks for.
        poisons: Requests that end each endpoint that runs them.
        shedding: Whether all endpoints shed while gateways restart in series.
    """

    replicas: int = 3
    gateways: int = 4
    endpoints: int = 5
    callers: int = 8
    seconds: float = 20.0
    replacing: bool = False
    mbits: float = 0.0
    routes: int = 0
    poisons: int = 0
    shedding: bool = False

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
    kind = rng.choice(DRAWN_KINDS)
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


def draw_replacements(seed: int, size: Size) -> list[Fault]:
    """Return faults in which replicas are replaced and others then wiped.

    As many as may be lost at once are replaced, and a moment after their
    successors vote as many others lose their disk; an operator sends versions
    all the time.
    """
    rng = random.Random(seed)
    losses = (size.replicas - 1) // 2
    found = []
    at = QUIET_S
    while at < QUIET_S + size.seconds:
        places = rng.sample(range(size.replicas), 2 * losses)
        for_s = rng.uniform(0.3, 2.0)
        way = rng.choice(WAYS[Kind.REPLACE_REPLICA])
        for place in places[:losses]:
            kind = Kind.REPLACE_REPLICA
            found.append(
                Fault(at=at, kind=kind, target=place, for_s=for_s, way=way)
            )
        at += for_s + VOTES_AFTER_S
        for place in places[losses:]:
            kind = Kind.WIPE_REPLICA
            found.append(Fault(at=at, kind=kind, target=place, for_s=1.0))
        at += 1.0 + VOTES_AFTER_S + rng.uniform(0.0, 2.0)
    versions = [
        Fault(at=QUIET_S + n, kind=Kind.VERSION) for n in range(int(at))
    ]
    return sorted(found + versions, key=lambda fault: fault.at)


def draw_beside_poison(seed: int, size: Size) -> list[Fault]:
    """Return faults of gateways, versions and the leader, none of endpoints."""
    rng = random.Random(seed)
    at = QUIET_S
    found = [Fault(at=QUIET_S + size.seconds / 2, kind=Kind.KILL_REPLICA)]
    while at < QUIET_S + size.seconds:
        at += rng.expovariate(1 / (3 * MEAN_GAP_S))
        kind = rng.choice((Kind.KILL_GATEWAY, Kind.VERSION))
        target = rng.randrange(size.gateways)
        found.append(Fault(at=at, kind=kind, target=target, for_s=1.0))
    return sorted(found, key=lambda fault: fault.at)


def draw_beside_shedding(seed: int, size: Size) -> list[Fault]:
    """Return series of kills of gateways while all endpoints shed."""
    rng = random.Random(seed)
    at = QUIET_S
    kind = Kind.SHED_ENDPOINTS
    found = [Fault(at=at, kind=kind, for_s=size.seconds)]
    while True:
        at += rng.uniform(1.0, 4.0)
        if at >= QUIET_S + size.seconds:
            break
        count = rng.randint(size.gateways // 2, size.gateways)
        for target in rng.sample(range(size.gateways), count):
            kind = Kind.KILL_GATEWAY
            for_s = rng.uniform(0.2, 0.8)
            found.append(Fault(at=at, kind=kind, target=target, for_s=for_s))
        if rng.random() < 0.3:
            target = rng.randrange(size.replicas)
            kind = Kind.KILL_REPLICA
            found.append(Fault(at=at, kind=kind, target=target, for_s=0.5))
    return found


def is_loss_after(fault: Fault, losses: list[Fault]) -> bool:
    """Return whether a fault takes replicas after others were lost."""
    is_later = bool(losses) and fault.at > losses[-1].at
    return fault.kind in LOSSES and is_later


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
