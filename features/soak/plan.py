"""Draws the faults of a soak from its seed, without running anything."""

import enum
import random

import attrs

from _coltsfootroad.gateway import names

# Faults start after WARM_UP_S, when the fleet serves, and end RECOVERY_S before
# the callers stop, so that recovery is checked too.
WARM_UP_S = 4.0
RECOVERY_S = 8.0
# Mean time between the starts of faults; they last for seconds and overlap.
MEAN_FAULT_INTERVAL_S = 0.8
# Time without replica faults before and after a lost disk: only one replica may
# be lost at a time, and it counts as lost until it has caught up.
WIPE_ISOLATION_S = 8.0
KEY_COUNT = 6
PARTS_HEADER = names.HeaderNames().prompt_parts
# Part of all prompts, and start of the parts that crash endpoints.
FIRST_PART = "first"
POISON_PART = "poison"
# Longer than the time that a gateway has to find another way.
CUT_DURATION_S = (5.0, 8.0)
# A replacement replica has started and votes within this time.
REPLACEMENT_START_S = 4.0


class FaultKind(enum.Enum):
    """The action of a fault and the kind of its target."""

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
    CUT_GATEWAY = "cut gateway off from endpoints"
    VERSION = "version"
    VERSION_BURST = "storm of versions"
    VERSION_RACE = "race of versions"
    REVOKE = "revoke key"
    EVACUATE = "evacuate zone"


GATEWAY_KINDS = (
    FaultKind.KILL_GATEWAY,
    FaultKind.PAUSE_GATEWAY,
    FaultKind.STOP_GATEWAY,
    FaultKind.RELOAD_GATEWAY,
)
REPLICA_KINDS = (
    FaultKind.KILL_REPLICA,
    FaultKind.PAUSE_REPLICA,
    FaultKind.STOP_REPLICA,
    FaultKind.KILL_ALL_REPLICAS,
    FaultKind.WIPE_REPLICA,
    FaultKind.STORAGE,
    FaultKind.WALL_CLOCK,
    FaultKind.REPLICA_LINK,
)
# Faults that lose a replica's disk permanently.
LOSS_KINDS = (FaultKind.WIPE_REPLICA, FaultKind.REPLACE_REPLICA)
# Drawn only for soaks of their own.
SPECIAL_KINDS = (
    FaultKind.REPLACE_REPLICA,
    FaultKind.SHED_ENDPOINTS,
    FaultKind.CUT_GATEWAY,
    FaultKind.EVACUATE,
)
DRAWN_KINDS = tuple(kind for kind in FaultKind if kind not in SPECIAL_KINDS)
ENDPOINT_KINDS = (
    FaultKind.ENDPOINT_LINK,
    FaultKind.CRASH_ENDPOINT,
    FaultKind.LEAVE_ENDPOINT,
    FaultKind.MISBEHAVE,
)
KINDS_BESIDE_CUTS = (
    FaultKind.KILL_GATEWAY,
    FaultKind.STOP_GATEWAY,
    FaultKind.RELOAD_GATEWAY,
    FaultKind.CRASH_ENDPOINT,
    FaultKind.VERSION,
)
KINDS_BESIDE_EVACUATIONS = (
    FaultKind.KILL_GATEWAY,
    FaultKind.PAUSE_GATEWAY,
    FaultKind.KILL_REPLICA,
    FaultKind.CRASH_ENDPOINT,
    FaultKind.VERSION,
)
ZONES = 3
# Longer than the time in which an order has its full effect.
EVACUATION_DURATION_S = (7.0, 9.0)
# A gateway that is suspended for the longest of these loses its proof.
DURATION_BESIDE_EVACUATIONS_S = (0.3, 6.0)
# Modes of each kind, one of which is drawn with the fault.
MODES = {
    FaultKind.STORAGE: ("slow", "full"),
    FaultKind.WALL_CLOCK: ("forward", "back"),
    FaultKind.REPLICA_LINK: (
        "delay",
        "reset",
        "drop_in",
        "drop_out",
        "silence",
    ),
    FaultKind.ENDPOINT_LINK: (
        "delay",
        "reset",
        "drop_in",
        "drop_out",
        "silence",
    ),
    FaultKind.REPLACE_REPLICA: ("without a word", "planned"),
    FaultKind.CUT_GATEWAY: ("reset", "silent", "refuse new"),
    FaultKind.MISBEHAVE: (
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
class SoakOptions:
    """Size and duration of a soak, and which faults it injects.

    Attributes:
        seconds: Duration of the faults, without warm-up and recovery.
        replacing: Whether the only faults are replaced and wiped replicas.
        mbits: Rate of the link to each replica in Mbit/s, 0 for no limit.
        routes: Additional routes of each version that receive no requests.
        poisons: Poison requests, which crash each endpoint that runs them.
        poison_parts: Parts of prompts that crash each endpoint that begins to
            answer them.
        shedding: Whether all endpoints shed while gateways restart in series.
        cutting: Whether gateways are cut off from all endpoints in series.
        evacuating: Whether zones are evacuated one after the other.
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
    poison_parts: int = 0
    shedding: bool = False
    cutting: bool = False
    evacuating: bool = False

    @property
    def callers_stop_s(self) -> float:
        """Return how long the callers run, in seconds."""
        return WARM_UP_S + self.seconds + RECOVERY_S


@attrs.frozen(kw_only=True)
class Fault:
    """One fault on one target, `at` seconds after the callers start."""

    at: float
    kind: FaultKind
    target: int = 0
    duration_s: float = 0.0
    mode: str = ""


def draw_faults(seed: int, options: SoakOptions) -> list[Fault]:
    """Return the faults of a seed by start time; deterministic."""
    rng = random.Random(seed)
    found = []
    at = WARM_UP_S
    while True:
        at += rng.expovariate(1 / MEAN_FAULT_INTERVAL_S)
        if at >= WARM_UP_S + options.seconds:
            break
        found.append(draw_fault(rng, at, options))
    return without_overlapping_wipes(found)


def draw_fault(rng: random.Random, at: float, options: SoakOptions) -> Fault:
    """Return a random fault that starts at a given time."""
    kind = rng.choice(DRAWN_KINDS)
    target = 0
    if kind in GATEWAY_KINDS:
        target = rng.randrange(options.gateways)
    elif kind in REPLICA_KINDS:
        target = rng.randrange(options.replicas)
    elif kind in ENDPOINT_KINDS:
        target = rng.randrange(options.endpoints)
    elif kind is FaultKind.REVOKE:
        target = rng.randrange(1, KEY_COUNT)
    return Fault(
        at=at,
        kind=kind,
        target=target,
        duration_s=rng.uniform(0.3, 4.0),
        mode=rng.choice(MODES.get(kind, ("",))),
    )


def draw_replacements(seed: int, options: SoakOptions) -> list[Fault]:
    """Return faults that replace replicas and then wipe others.

    As many replicas as may fail at once are replaced. Shortly after the
    replacements vote, as many others lose their disk. An operator puts a
    version in force every second.
    """
    rng = random.Random(seed)
    losses = (options.replicas - 1) // 2
    found = []
    at = WARM_UP_S
    while at < WARM_UP_S + options.seconds:
        indexes = rng.sample(range(options.replicas), 2 * losses)
        duration_s = rng.uniform(0.3, 2.0)
        mode = rng.choice(MODES[FaultKind.REPLACE_REPLICA])
        for index in indexes[:losses]:
            kind = FaultKind.REPLACE_REPLICA
            found.append(
                Fault(
                    at=at,
                    kind=kind,
                    target=index,
                    duration_s=duration_s,
                    mode=mode,
                )
            )
        at += duration_s + REPLACEMENT_START_S
        for index in indexes[losses:]:
            kind = FaultKind.WIPE_REPLICA
            found.append(Fault(at=at, kind=kind, target=index, duration_s=1.0))
        at += 1.0 + REPLACEMENT_START_S + rng.uniform(0.0, 2.0)
    versions = [
        Fault(at=WARM_UP_S + n, kind=FaultKind.VERSION) for n in range(int(at))
    ]
    return sorted(found + versions, key=lambda fault: fault.at)


def draw_with_poison(seed: int, options: SoakOptions) -> list[Fault]:
    """Return gateway kills, versions and the kill of one replica."""
    rng = random.Random(seed)
    at = WARM_UP_S
    found = [
        Fault(at=WARM_UP_S + options.seconds / 2, kind=FaultKind.KILL_REPLICA)
    ]
    while at < WARM_UP_S + options.seconds:
        at += rng.expovariate(1 / (3 * MEAN_FAULT_INTERVAL_S))
        kind = rng.choice((FaultKind.KILL_GATEWAY, FaultKind.VERSION))
        target = rng.randrange(options.gateways)
        found.append(Fault(at=at, kind=kind, target=target, duration_s=1.0))
    return sorted(found, key=lambda fault: fault.at)


def draw_with_shedding(seed: int, options: SoakOptions) -> list[Fault]:
    """Return series of gateway kills while all endpoints shed."""
    rng = random.Random(seed)
    at = WARM_UP_S
    kind = FaultKind.SHED_ENDPOINTS
    found = [Fault(at=at, kind=kind, duration_s=options.seconds)]
    while True:
        at += rng.uniform(1.0, 4.0)
        if at >= WARM_UP_S + options.seconds:
            break
        count = rng.randint(options.gateways // 2, options.gateways)
        for target in rng.sample(range(options.gateways), count):
            kind = FaultKind.KILL_GATEWAY
            duration_s = rng.uniform(0.2, 0.8)
            found.append(
                Fault(at=at, kind=kind, target=target, duration_s=duration_s)
            )
        if rng.random() < 0.3:
            target = rng.randrange(options.replicas)
            kind = FaultKind.KILL_REPLICA
            found.append(Fault(at=at, kind=kind, target=target, duration_s=0.5))
    return found


def draw_with_cuts(seed: int, options: SoakOptions) -> list[Fault]:
    """Return series of cuts of one or most gateways beside other faults.

    Cuts of a series begin together; the next series may overlap. Signals,
    restarts of gateways, crashes of endpoints and versions come at random.
    """
    rng = random.Random(seed)
    found = []
    at = WARM_UP_S
    while at < WARM_UP_S + options.seconds:
        count = rng.choice((1, 1, options.gateways // 2, options.gateways - 1))
        duration_s = rng.uniform(*CUT_DURATION_S)
        mode = rng.choice(MODES[FaultKind.CUT_GATEWAY])
        for target in rng.sample(range(options.gateways), count):
            found.append(
                Fault(
                    at=at,
                    kind=FaultKind.CUT_GATEWAY,
                    target=target,
                    duration_s=duration_s,
                    mode=mode,
                )
            )
        at += rng.uniform(0.6, 1.2) * duration_s
    at = WARM_UP_S
    while at < WARM_UP_S + options.seconds:
        at += rng.expovariate(1 / (3 * MEAN_FAULT_INTERVAL_S))
        kind = rng.choice(KINDS_BESIDE_CUTS)
        is_endpoint = kind is FaultKind.CRASH_ENDPOINT
        targets = options.endpoints if is_endpoint else options.gateways
        target = rng.randrange(targets)
        found.append(Fault(at=at, kind=kind, target=target, duration_s=1.0))
    return sorted(found, key=lambda fault: fault.at)


def zone_of(number: int) -> str:
    """Return the zone of an endpoint by its number."""
    return f"z{number % ZONES}"


def draw_with_evacuations(seed: int, options: SoakOptions) -> list[Fault]:
    """Return evacuations of one zone after the other beside other faults."""
    rng = random.Random(seed)
    found = []
    at = WARM_UP_S
    while at < WARM_UP_S + options.seconds:
        duration_s = rng.uniform(*EVACUATION_DURATION_S)
        found.append(
            Fault(
                at=at,
                kind=FaultKind.EVACUATE,
                target=rng.randrange(ZONES),
                duration_s=duration_s,
            )
        )
        at += duration_s + rng.uniform(1.0, 3.0)
    at = WARM_UP_S
    while at < WARM_UP_S + options.seconds:
        at += rng.expovariate(1 / (3 * MEAN_FAULT_INTERVAL_S))
        kind = rng.choice(KINDS_BESIDE_EVACUATIONS)
        targets = {
            FaultKind.CRASH_ENDPOINT: options.endpoints,
            FaultKind.KILL_REPLICA: options.replicas,
        }.get(kind, options.gateways)
        duration_s = rng.uniform(*DURATION_BESIDE_EVACUATIONS_S)
        if kind is not FaultKind.PAUSE_GATEWAY:
            duration_s = 1.0
        target = rng.randrange(targets)
        found.append(
            Fault(at=at, kind=kind, target=target, duration_s=duration_s)
        )
    return sorted(found, key=lambda fault: fault.at)


def follows_earlier_loss(fault: Fault, losses: list[Fault]) -> bool:
    """Return whether a fault loses a replica after an earlier loss."""
    is_later = bool(losses) and fault.at > losses[-1].at
    return fault.kind in LOSS_KINDS and is_later


def without_overlapping_wipes(faults: list[Fault]) -> list[Fault]:
    """Drop wipes that come too close to another fault of the replicas."""
    replica = [f for f in faults if f.kind in REPLICA_KINDS]

    def is_isolated(fault: Fault) -> bool:
        return all(
            other is fault
            or other.at > fault.at + WIPE_ISOLATION_S
            or other.at + other.duration_s < fault.at - WIPE_ISOLATION_S
            for other in replica
        )

    return [
        f
        for f in faults
        if f.kind is not FaultKind.WIPE_REPLICA or is_isolated(f)
    ]
