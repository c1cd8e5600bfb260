"""Callers of workspaces compete for engines, in virtual time.

The engines are one queue that drains at one engine-second per engine and second.
Gateways decide with the production code, and learn of each other's sends after
the delay of load summaries.
"""

import heapq
import itertools
import random

import attrs

from _coltsfootroad.core import fairadmission
from _coltsfootroad.core import fairqueue
from _coltsfootroad.core.fairness import refusalledger
from _coltsfootroad.core.fairness import usage
from benchmarks import mixes

SUMMARY_LAG_S = 0.02
GATEWAYS = 12
ENGINES = 60
DEADLINE_S = 10.0
# Callers that disregard Retry-After come back after this time.
IMPATIENT_S = 0.1
LEAVING_S = 1.0
# Work of this many seconds on each engine runs side by side, in batch slots and
# in parts of long prompts; only what exceeds it waits.
SIDE_BY_SIDE_S = 0.3
# Tokens, output tokens, target in seconds, and value of each kind.
KINDS = {
    "short": (5_000, 1_700, 0.308, 1.5),
    "long": (220_000, 900, 4.023, 23.0),
}


@attrs.define(eq=False)
class Caller:
    """One request with its tries and its outcome."""

    at: float
    workspace: str
    kind: str
    session: str = ""
    impatient: bool = False
    leaves: bool = False
    tries: int = 0
    refused_at: float = 0.0
    retry_after_s: float = 0.0
    sent: bool = False
    on_time: bool = False


@attrs.frozen(kw_only=True)
class Stream:
    """Arrivals of one kind of request of one workspace.

    `share` is its demand as a share of all engines' time, in the seconds from
    `start` to `end`; with a `period`, every second half of it is silent.
    """

    workspace: str
    share: float
    kind: str = "short"
    session: str = ""
    start: float = 0.0
    end: float = 30.0
    period: float = 0.0
    impatient: bool = False
    leaves: bool = False

    def arrivals(self, rng: random.Random) -> list[Caller]:
        """Return its callers."""
        per_s = self.share * ENGINES / engine_seconds(self.kind)
        at, found = self.start, []
        while (at := at + rng.expovariate(per_s)) < self.end:
            if not self.period or at % self.period < self.period / 2:
                found.append(
                    Caller(
                        at,
                        self.workspace,
                        self.kind,
                        self.session or self.workspace,
                        self.impatient,
                        self.leaves,
                    )
                )
        return found


def engine_seconds(kind: str) -> float:
    """Return the engine-seconds of a request."""
    return usage.engine_seconds(mixes.COMPETING_SPEC, *KINDS[kind][:2])


@attrs.define
class ScarceWorld:
    """Gateways in front of engines; `priorities` by workspace.

    Attributes:
        engines: Engines that take part, by time since when they do.
        informed: Whether the gateways learn of each other.
        fair: Whether prompts are refused for fairness at all.
    """

    seed: int
    priorities: dict[str, int] = attrs.Factory(dict)
    lost_at: float = float("inf")
    informed: bool = True
    fair: bool = True
    rng: random.Random = attrs.field(init=False)
    gateways: list[fairadmission.FairAdmission] = attrs.field(init=False)
    ledger: refusalledger.RefusalLedger = attrs.Factory(
        refusalledger.RefusalLedger
    )
    backlog_s: float = 0.0
    at: float = 0.0
    events: list = attrs.Factory(list)
    numbers: itertools.count = attrs.Factory(itertools.count)
    callers: list[Caller] = attrs.Factory(list)

    def __attrs_post_init__(self):
        self.rng = random.Random(self.seed)
        weights = {
            usage.workspace_tag(name): fairqueue.priority_factor(priority)
            for name, priority in self.priorities.items()
        }
        self.gateways = [
            fairadmission.FairAdmission(self.rng, weights)
            for _ in range(GATEWAYS)
        ]

    def engines(self) -> int:
        """Return the number of engines; a fifth is lost at `lost_at`."""
        return ENGINES * 4 // 5 if self.at >= self.lost_at else ENGINES

    def run(self, streams: list[Stream]) -> None:
        """Serve all arrivals."""
        for stream in streams:
            for caller in stream.arrivals(self.rng):
                self.callers.append(caller)
                self.schedule(caller.at, self.arrive, caller)
        while self.events:
            at, _, act, args = heapq.heappop(self.events)
            drained_s = (at - self.at) * self.engines()
            self.backlog_s = max(0.0, self.backlog_s - drained_s)
            self.at = at
            act(*args)

    def schedule(self, at: float, act, *args) -> None:
        """Run an act at a time."""
        heapq.heappush(self.events, (at, next(self.numbers), act, args))

    def arrive(self, caller: Caller) -> None:
        """Decide on one try of a caller."""
        now = self.at
        caller.tries += 1
        gateway = self.rng.choice(self.gateways)
        _, _, target_s, value = KINDS[caller.kind]
        waiting_s = self.backlog_s / self.engines() - SIDE_BY_SIDE_S
        predicted_s = max(0.0, waiting_s) + target_s / 3
        left_s = caller.at + target_s - now
        arrival = fairadmission.Arrival(
            workspace=usage.workspace_tag(caller.workspace),
            groups=(
                f"workspace {caller.workspace}",
                f"session {caller.session}",
                f"size {caller.kind}",
            ),
            engine_s=engine_seconds(caller.kind),
            value=value,
            priority=self.priorities.get(caller.workspace, 5),
            predicted_s=predicted_s,
            target_left_s=left_s,
            left_s=caller.at + DEADLINE_S - now,
            retry=self.ledger.classify(id(caller), caller.at + DEADLINE_S, now),
        )
        knows_others = self.informed and self.fair
        refusal = gateway.decide(arrival, self.engines(), knows_others, now)
        if refusal is not None:
            self.refuse(caller, refusal)
            return
        caller.sent = True
        caller.on_time = predicted_s <= left_s
        if not caller.leaves:
            self.backlog_s += arrival.engine_s
        else:
            self.backlog_s += min(arrival.engine_s, LEAVING_S / 6)
        queued = predicted_s > target_s
        for other in self.gateways:
            if other is gateway:
                self.count(other, arrival, queued)
            elif self.informed:
                self.schedule(
                    now + SUMMARY_LAG_S, self.count, other, arrival, queued
                )

    def count(self, gateway, arrival, queued: bool) -> None:
        """Count a send at a gateway."""
        gateway.recent.add(arrival.workspace, arrival.engine_s, queued, self.at)

    def refuse(self, caller: Caller, refusal: fairadmission.Refusal) -> None:
        """Let a refused caller return once, unless it has returned."""
        caller.refused_at, caller.retry_after_s = self.at, refusal.retry_after_s
        self.ledger.record(
            id(caller),
            self.at + refusal.retry_after_s,
            caller.at + DEADLINE_S,
        )
        if caller.tries == 1 and not caller.leaves:
            delay_s = IMPATIENT_S if caller.impatient else refusal.retry_after_s
            self.schedule(self.at + delay_s, self.arrive, caller)

    # --- results ------------------------------------------------------------

    def share(self, outcome: str, **fields) -> float:
        """Return the share of callers with given fields that had an outcome."""
        chosen = [
            caller
            for caller in self.callers
            if all(getattr(caller, k) == v for k, v in fields.items())
        ]
        return sum(getattr(c, outcome) for c in chosen) / max(1, len(chosen))

    def served_s(self, **fields) -> float:
        """Return the engine-seconds of served callers with given fields."""
        return sum(
            engine_seconds(caller.kind)
            for caller in self.callers
            if caller.sent
            and all(getattr(caller, k) == v for k, v in fields.items())
        )

    def changes(self) -> int:
        """Return the most changes of a gateway between scarce and ample."""
        return max(g.scarcity.changes for g in self.gateways)

    def refusals(self) -> int:
        """Return the number of refusals."""
        return sum(sum(g.refused.values()) for g in self.gateways)
