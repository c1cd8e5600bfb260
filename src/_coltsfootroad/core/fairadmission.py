"""Decides whether a prompt is sent or refused while capacity is scarce.

Load that it addresses: 24 workspaces, a few of them large, whose demand
exceeds the engines for seconds. First-come first-served, a workspace with nine
tenths of the demand gets nine tenths of the engines, and all callers are late.
While capacity suffices, the decision is always to send.

The granted engine time of each workspace is measured over the last seconds. The
capacity is divided max-min fairly: workspaces below the water level get what
they ask for, and the others the level. A prompt of a workspace above the level
is refused before it is sent, and never held.
"""

import enum
import random

import attrs

from _coltsfootroad.core import fairqueue
from _coltsfootroad.core.fairness import refusalledger
from _coltsfootroad.core.fairness import servedshare
from _coltsfootroad.core.fairness import usage

# Share of the last seconds' prompts that were queued or refused at which
# capacity counts as scarce, and below which it no longer does. A prompt is
# queued if no engine had room for it within its target. A retry always comes
# after its target, so how late prompts are says nothing of the capacity.
SCARCE_SHARE = 0.25
AMPLE_SHARE = 0.05
# Such prompts at which the share is significant: single ones are prediction
# errors.
MIN_MISSED = 8
# Capacity stays scarce for at least this long after the last such prompts: a
# load that oscillates within it does not switch the decision.
HOLD_S = 3.0
# Share of the engines' time that is divided. The factors below and the share
# that drains queues leave enough unused.
CAPACITY_SHARE = 1.0
# Part of it that is held back while all prompts are queued, so that the queues
# drain within seconds. Without it a queue, once long, makes all later prompts
# late for as long as demand lasts.
DRAIN_SHARE = 0.5
# The level is computed this often at most, as it takes time with the number of
# workspaces.
LEVEL_INTERVAL_S = 0.1
# Factor on a workspace's level for a prompt that can no longer meet its target.
# Prompts that can meet their targets come first; otherwise retries, which are
# late, would take all capacity in a lasting overload.
LATE_FACTOR = 0.8
# Factor for all but a retry at the stated time. Callers retry once, so refusing
# a retry loses the request.
FIRST_TRY_FACTOR = 0.95
# Factor for a retry before the stated time. The usage of a workspace above its
# share stays near its level, so that early retries of its callers are refused
# and gain nothing.
EARLY_RETRY_FACTOR = 0.5
# Least factor by which requests of one workspace are ordered: the value per
# engine-second, relative to the mean. Factors are at most 1, as more than the
# capacity would lengthen the queues.
MIN_VALUE_FACTOR = 0.9
RETRY_FACTORS = {
    refusalledger.Retry.DUE: 1.0,
    refusalledger.Retry.NONE: FIRST_TRY_FACTOR,
    refusalledger.Retry.EARLY: EARLY_RETRY_FACTOR,
}
# Bounds of the stated retry delay, in seconds; usage decays within
# them. A caller's remaining time limits it further.
MIN_RETRY_S, MAX_RETRY_S = 0.4, 3.0
# Relative range of the delay, so that callers do not return together.
RETRY_SPREAD = 0.3
# Part of the caller's remaining time that a delay may take at most.
RETRY_PART = 1 / 3


class Reason(enum.Enum):
    """Why a prompt is refused."""

    DEADLINE = "deadline"
    SHARE = "share"


@attrs.frozen(kw_only=True)
class Arrival:
    """A prompt before its first send.

    Attributes:
        workspace: Tag of its workspace.
        groups: Names of its workspace, session and size class.
        engine_s: Engine time that it needs.
        value: Relative value of an answer.
        priority: Of its workspace, else of its route; 0 is the highest.
        predicted_s: Predicted seconds until the first event.
        target_left_s: Seconds until its target.
        left_s: Seconds until its deadline.
        retry: What is known of an earlier try.
    """

    workspace: int
    groups: tuple[str, ...] = ()
    engine_s: float
    value: float
    priority: int = fairqueue.MIDDLE_PRIORITY
    predicted_s: float
    target_left_s: float
    left_s: float
    retry: refusalledger.Retry = refusalledger.Retry.NONE


@attrs.frozen(kw_only=True)
class Refusal:
    """A refusal with the inputs that led to it, for the log.

    Attributes:
        reason: Why it is refused.
        retry_after_s: Seconds after which the caller is to retry.
        used_s: Engine-seconds that the workspace used of the last seconds.
        allowed_s: Engine-seconds that it may use.
        total_s: Engine-seconds that all workspaces used.
        queued_share: Share of queued prompts of the last seconds.
    """

    reason: Reason
    retry_after_s: float
    used_s: float = 0.0
    allowed_s: float = 0.0
    total_s: float = 0.0
    queued_share: float = 0.0


def retry_delay_s(
    expected_s: float, left_s: float, rng: random.Random
) -> float:
    """Return a spread delay, at most a third of the remaining time."""
    limit_s = max(0.0, RETRY_PART * left_s)
    most_s = min(limit_s, (1 + RETRY_SPREAD) * expected_s)
    least_s = min((1 - RETRY_SPREAD) * expected_s, (1 - RETRY_SPREAD) * most_s)
    return rng.uniform(least_s, most_s)


def water_level(
    used_s: dict[int, float], weights: dict[int, float], capacity_s: float
) -> float:
    """Return the level up to which usage, by weight, fits into a capacity.

    If all of it fits, the level is what the largest user may reach.
    """
    left_s = capacity_s
    left_weight = sum(weights.get(tag, 1.0) for tag in used_s)
    by_level = sorted(
        (engine_s / weights.get(tag, 1.0), tag)
        for tag, engine_s in used_s.items()
    )
    for level, tag in by_level:
        weight = weights.get(tag, 1.0)
        is_last = tag == by_level[-1][1]
        if is_last or level * left_weight > left_s:
            return left_s / left_weight
        left_s -= level * weight
        left_weight -= weight
    return capacity_s


@attrs.define
class Scarcity:
    """Whether capacity is scarce, with hysteresis.

    Attributes:
        scarce: The current state.
        missed_at: Last time at which prompts were queued or refused.
        changes: How often the state has changed.
    """

    scarce: bool = False
    missed_at: float = float("-inf")
    changes: int = 0

    def update(self, recent: usage.Usage, now: float) -> bool:
        """Return whether capacity is scarce at a time."""
        share = recent.missed_share()
        if recent.missed(now) >= MIN_MISSED and share >= SCARCE_SHARE:
            self.missed_at = now
            self.changes += not self.scarce
            self.scarce = True
        elif self.scarce and share > AMPLE_SHARE:
            self.missed_at = now
        elif self.scarce and now - self.missed_at > HOLD_S:
            self.scarce = False
            self.changes += 1
        return self.scarce


@attrs.define
class FairAdmission:
    """Decides on the prompts of one service.

    Attributes:
        rng: Spreads the retry delays.
        weights: Weights of workspaces that have a priority, by tag.
        recent: Recent usage by workspace.
        scarcity: Whether capacity is scarce.
        served: Requests served and refused here, by group.
        offered_value: Decaying value of all prompts, as `offered`.
        level_s: The water level, and `level_at` when it was computed.
        refused: Number of refusals by reason.
    """

    rng: random.Random
    weights: dict[int, float] = attrs.Factory(dict)
    recent: usage.Usage = attrs.Factory(usage.Usage)
    scarcity: Scarcity = attrs.Factory(Scarcity)
    served: servedshare.ServedShares = attrs.Factory(servedshare.ServedShares)
    offered_value: float = 0.0
    offered_s: float = 0.0
    level_s: float = float("inf")
    level_at: float = float("-inf")
    refused: dict[Reason, int] = attrs.Factory(dict)

    def decide(
        self, arrival: Arrival, engines: int, knows_others: bool, now: float
    ) -> Refusal | None:
        """Return why a prompt is refused, None to send it now.

        `engines` is the number of the service's engines. Without updates
        of other gateways, usage is unknown and nothing is refused for fairness.
        """
        self.note_offered(arrival)
        refusal = self.deadline_refusal(arrival)
        is_scarce = self.scarcity.update(self.recent, now)
        if refusal is None and is_scarce and knows_others:
            refusal = self.share_refusal(arrival, engines, now)
        if refusal is not None:
            self.refused[refusal.reason] = (
                self.refused.get(refusal.reason, 0) + 1
            )
        self.served.record(arrival.groups, refusal is None, now)
        return refusal

    def note_offered(self, arrival: Arrival) -> None:
        """Update the mean value per engine-second."""
        # Averages about the last 100 prompts.
        self.offered_value = 0.99 * self.offered_value + arrival.value
        self.offered_s = 0.99 * self.offered_s + arrival.engine_s

    def deadline_refusal(self, arrival: Arrival) -> Refusal | None:
        """Refuse a prompt whose first event is predicted after its deadline."""
        if arrival.predicted_s <= arrival.left_s:
            return None
        expected_s = arrival.predicted_s - arrival.left_s
        return Refusal(
            reason=Reason.DEADLINE,
            retry_after_s=self.delay_s(expected_s, arrival),
        )

    def share_refusal(
        self, arrival: Arrival, engines: int, now: float
    ) -> Refusal | None:
        """Refuse a prompt of a workspace that has used its share."""
        used_s = self.recent.used_s(arrival.workspace, now)
        allowed_s = self.allowed_s(arrival, engines, now)
        if used_s < allowed_s:
            return None
        early = arrival.retry is refusalledger.Retry.EARLY
        if not early and self.served.protects(arrival.groups, now):
            return None
        self.recent.add_refused(now)
        excess = used_s / max(allowed_s, 1e-9) - 1.0
        return Refusal(
            reason=Reason.SHARE,
            retry_after_s=self.delay_s(
                MIN_RETRY_S + excess * usage.DECAY_S, arrival
            ),
            used_s=used_s,
            allowed_s=allowed_s,
            total_s=sum(self.recent.all_used_s(now).values()),
            queued_share=self.recent.queued_share(),
        )

    def allowed_s(self, arrival: Arrival, engines: int, now: float) -> float:
        """Return the engine-seconds that a prompt's workspace may have used."""
        if now - self.level_at >= LEVEL_INTERVAL_S:
            self.level_at = now
            drain = 1.0 - DRAIN_SHARE * self.recent.queued_share()
            capacity_s = CAPACITY_SHARE * drain * engines * usage.DECAY_S
            self.level_s = water_level(
                self.recent.all_used_s(now), self.weights, capacity_s
            )
        allowed_s = self.level_s * fairqueue.priority_factor(arrival.priority)
        mean = self.offered_value / max(self.offered_s, 1e-9)
        relative = arrival.value / max(arrival.engine_s, 1e-9) / max(mean, 1e-9)
        allowed_s *= min(1.0, max(MIN_VALUE_FACTOR, relative))
        if arrival.predicted_s > arrival.target_left_s:
            allowed_s *= LATE_FACTOR
        return allowed_s * RETRY_FACTORS[arrival.retry]

    def delay_s(self, expected_s: float, arrival: Arrival) -> float:
        """Return the retry delay for an expected time to capacity."""
        bounded_s = min(MAX_RETRY_S, max(MIN_RETRY_S, expected_s))
        return retry_delay_s(bounded_s, arrival.left_s, self.rng)
