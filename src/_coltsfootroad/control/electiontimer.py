"""Election timer: when a replica campaigns and when it may grant votes."""

import random

import attrs

# A lost packet is retransmitted within 0.3 s, which must not start an election.
# Longer timeouts delay the election after the loss of a leader, and gateways
# that start without a leader have no routes.
HEARTBEAT_INTERVAL_S = 0.1
ELECTION_TIMEOUT_MIN_S = 0.6
ELECTION_TIMEOUT_MAX_S = 1.2
# Shorter than the minimum election timeout, as clocks may drift by 10 %: a
# lease ends well before any follower may elect another leader.
LEADER_LEASE_S = 0.75 * ELECTION_TIMEOUT_MIN_S
# Interval of pre-votes of a replica that has had no leader since it started. A
# pre-vote disrupts no leader: voters in contact with one refuse it.
COLD_START_TIMEOUT_MIN_S = 0.06
COLD_START_TIMEOUT_MAX_S = 0.18
# Interval of its campaigns after a split vote or when replies are slow.
SPLIT_VOTE_TIMEOUT_MIN_S = 0.15
SPLIT_VOTE_TIMEOUT_MAX_S = 0.45
NEVER = float("-inf")
# Failed elections after which a replica that has had no leader since it started
# uses the regular election timeout.
MAX_COLD_START_FAILURES = 1
# A timer that fires this late shows that the process was stalled. Messages that
# arrived in the meantime are read first, so the timeout is extended.
LATE_TICK_S = 0.1
LATE_TICK_EXTENSION_S = 0.1
# Largest multiple of the regular election timeout.
MAX_TIMEOUT_SCALE = 4.0
MAX_TIMEOUT_DOUBLINGS = 2
# Minimum election timeout as a multiple of the leader's longest recent gap.
LEADER_GAP_MARGIN = 2.0
# Leader gaps and failed elections are forgotten after this time.
LATENESS_RETENTION_S = 10.0


@attrs.define
class ElectionTimer:
    """Election timer of one replica.

    Attributes:
        rng: Randomizes the timeouts.
        started_at: When the process started.
        leader_contact_at: When the last message of a leader arrived, initially
            the start of the process. A restarted replica does not know when it
            last had contact, and must still grant no votes while the lease of
            that leader may be valid.
        election_at: When the replica campaigns next.
        has_ticked: Whether the timer has run since the start.
        leader_term: Term of the last known leader.
        leader_gap_s: Longest recent time between two messages of one leader.
        leader_gap_at: When that gap ended.
        failed_elections: Consecutive elections in which this replica voted and
            no leader was elected.
        election_failed_at: When the last of them ended.
        is_extended: Whether the current timeout fired late and was extended.
    """

    rng: random.Random
    started_at: float
    leader_contact_at: float = attrs.field(init=False)
    election_at: float = attrs.field(init=False)
    has_ticked: bool = False
    leader_term: int = 0
    leader_gap_s: float = 0.0
    leader_gap_at: float = NEVER
    failed_elections: int = 0
    election_failed_at: float = NEVER
    is_extended: bool = False

    def __attrs_post_init__(self):
        self.leader_contact_at = self.started_at
        self.election_at = self.started_at

    def start(self, now: float) -> None:
        """Draw the first timeout, at the first tick.

        Replicas that are started together also become ready together, so the
        timeout is random to avoid split votes.
        """
        if not self.has_ticked:
            self.has_ticked = True
            pause = self.rng.uniform(0.0, COLD_START_TIMEOUT_MAX_S)
            self.election_at = max(self.election_at, now + pause)

    def expire_now(self, now: float) -> None:
        """Campaign at the next tick, as the only voter of a new system."""
        self.leader_contact_at = NEVER
        self.election_at = now
        self.has_ticked = True

    def reset(self, now: float) -> None:
        """Start a new random election timeout."""
        pause = self.rng.uniform(ELECTION_TIMEOUT_MIN_S, ELECTION_TIMEOUT_MAX_S)
        self.election_at = now + pause * self.timeout_scale(now)
        self.is_extended = False

    def timeout_scale(self, now: float) -> float:
        """Return the factor by which election timeouts are extended.

        Votes and heartbeats of stalled processes and slow disks take longer
        than the regular timeout, so no election would succeed within it.
        """
        scale = 1.0
        if now < self.leader_gap_at + LATENESS_RETENTION_S:
            needed_s = LEADER_GAP_MARGIN * self.leader_gap_s
            scale = max(scale, needed_s / ELECTION_TIMEOUT_MIN_S)
        if self.has_failed_lately(now):
            doublings = min(self.failed_elections, MAX_TIMEOUT_DOUBLINGS)
            scale = max(scale, 2.0**doublings)
        return min(scale, MAX_TIMEOUT_SCALE)

    def record_failure(self, now: float) -> None:
        """Record an election with granted votes and without a leader."""
        if not self.has_failed_lately(now):
            self.failed_elections = 0
        self.failed_elections += 1
        self.election_failed_at = now

    def has_failed_lately(self, now: float) -> bool:
        """Return whether an election failed within the retention time."""
        return now < self.election_failed_at + LATENESS_RETENTION_S

    def has_timed_out(self, now: float) -> bool:
        """Return whether the election timeout has expired.

        A timeout that fires late is extended once, so that pending messages
        are read before the replica campaigns.
        """
        if now < self.election_at:
            return False
        if now < self.election_at + LATE_TICK_S or self.is_extended:
            return True
        self.is_extended = True
        self.election_at = now + LATE_TICK_EXTENSION_S
        return False

    def reset_cold_start(self, pre: bool, now: float) -> None:
        """Start the short timeout of a replica that has had no leader yet."""
        is_repeated = self.failed_elections > MAX_COLD_START_FAILURES
        if is_repeated and self.has_failed_lately(now):
            self.reset(now)
            return
        pre_vote_range = (COLD_START_TIMEOUT_MIN_S, COLD_START_TIMEOUT_MAX_S)
        vote_range = (SPLIT_VOTE_TIMEOUT_MIN_S, SPLIT_VOTE_TIMEOUT_MAX_S)
        self.election_at = now + self.rng.uniform(
            *pre_vote_range if pre else vote_range
        )
        self.is_extended = False

    def on_leader_message(self, now: float, term: int) -> None:
        """Record a message of the leader of a term and reset the timeout."""
        if term == self.leader_term:
            self.record_leader_gap(now - self.leader_contact_at, now)
        self.leader_term = term
        self.leader_contact_at = now
        self.reset(now)

    def record_leader_gap(self, gap_s: float, now: float) -> None:
        """Record the time between two messages of one leader."""
        if (
            gap_s >= self.leader_gap_s
            or now >= self.leader_gap_at + LATENESS_RETENTION_S
        ):
            self.leader_gap_s = gap_s
            self.leader_gap_at = now

    @property
    def has_no_leader_since_start(self) -> bool:
        """Return whether there was no leader contact since the start."""
        return self.leader_contact_at <= self.started_at

    def is_sticky(self, now: float) -> bool:
        """Return whether votes are refused because a leader may hold a lease.

        Leader stickiness, on which the leader lease depends: a voter grants no
        vote within the minimum election timeout after its last leader contact.
        """
        return now < self.leader_contact_at + ELECTION_TIMEOUT_MIN_S

    def has_recent_contact(self, now: float) -> bool:
        """Return whether the last known leader may still be leading."""
        return now < self.leader_contact_at + ELECTION_TIMEOUT_MAX_S
