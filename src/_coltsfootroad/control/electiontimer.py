"""When a replica stands for election, and whom it may vote for until then."""

import random

import attrs

# A lost packet is sent again within 0.3 s; an election must not begin for
# that. Longer times are longer without a leader after a loss, during which
# gateways that have just started know no routes.
HEARTBEAT_INTERVAL_S = 0.1
ELECTION_TIMEOUT_MIN_S = 0.6
ELECTION_TIMEOUT_MAX_S = 1.2
# Clocks may drift by a tenth against each other; a lease ends well before
# any follower may elect somebody else.
LEADER_LEASE_S = 0.75 * ELECTION_TIMEOUT_MIN_S
# A replica that has heard no leader since it started asks this often whether
# it would get votes. Asking disturbs nobody: who hears a leader says no.
COLD_START_TIMEOUT_MIN_S = 0.06
COLD_START_TIMEOUT_MAX_S = 0.18
# How often it asks again when votes were split, or are long on their way.
SPLIT_VOTE_TIMEOUT_MIN_S = 0.15
SPLIT_VOTE_TIMEOUT_MAX_S = 0.45
NEVER = float("-inf")
# Failed elections after which replicas that have heard no leader wait as long
# as others.
MAX_COLD_START_FAILURES = 1
# A timer that fires this late shows that the process did not run meanwhile;
# what others sent is read first.
LATE_TICK_S = 0.1
LATE_TICK_EXTENSION_S = 0.1
# Largest multiple of the usual timeouts.
MAX_TIMEOUT_SCALE = 4.0
MAX_TIMEOUT_DOUBLINGS = 2
# Multiple of a leader's longest recent gap for which followers wait.
LEADER_GAP_MARGIN = 2.0
# Lateness that has not been seen for this long is forgotten.
LATENESS_RETENTION_S = 10.0


@attrs.define
class ElectionTimer:
    """The times that decide elections, of one replica.

    Attributes:
        rng: Draws the pauses.
        started_at: When the process started.
        heard_leader_at: When a leader was last heard; a restarted replica has
            forgotten whom it heard, and takes its start for that. So it keeps
            to the promise that it may have made: no votes for a while.
        election_at: When it stands for election next.
        ticked: Whether the timer has run since the start.
        heard_term: Term of the leader that was heard last.
        leader_gap_s: Longest time between two messages of one leader.
        leader_gap_at: When it was that long.
        failed_elections: Elections in a row in which votes were granted and
            nobody led.
        election_failed_at: When the last of them ended.
        deferred: Whether the timeout that fired late was extended.
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
        """Draw the first time to stand, at the first tick.

        Replicas that were started at once are ready at once as well.
        """
        if not self.has_ticked:
            self.has_ticked = True
            pause = self.rng.uniform(0.0, COLD_START_TIMEOUT_MAX_S)
            self.election_at = max(self.election_at, now + pause)

    def expire_now(self, now: float) -> None:
        """Stand now: nobody else exists whose leader could be disturbed."""
        self.leader_contact_at = NEVER
        self.election_at = now
        self.has_ticked = True

    def reset(self, now: float) -> None:
        """Wait a random time for a leader."""
        pause = self.rng.uniform(ELECTION_TIMEOUT_MIN_S, ELECTION_TIMEOUT_MAX_S)
        self.election_at = now + pause * self.timeout_scale(now)
        self.is_extended = False

    def timeout_scale(self, now: float) -> float:
        """Return by how much timeouts are longer than usual.

        Votes and heartbeats of processes that are late take longer than the
        usual timeouts, so that no election would succeed.
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
        """Note an election in which votes were granted and nobody led."""
        if not self.has_failed_lately(now):
            self.failed_elections = 0
        self.failed_elections += 1
        self.election_failed_at = now

    def has_failed_lately(self, now: float) -> bool:
        """Return whether elections failed within the remembered time."""
        return now < self.election_failed_at + LATENESS_RETENTION_S

    def has_timed_out(self, now: float) -> bool:
        """Return whether to stand for election, with all messages read.

        A timeout that fires late is extended once.
        """
        if now < self.election_at:
            return False
        if now < self.election_at + LATE_TICK_S or self.is_extended:
            return True
        self.is_extended = True
        self.election_at = now + LATE_TICK_EXTENSION_S
        return False

    def reset_cold_start(self, pre: bool, now: float) -> None:
        """Wait a short time, as nobody has heard a leader since the start."""
        is_repeated = self.failed_elections > MAX_COLD_START_FAILURES
        if is_repeated and self.has_failed_lately(now):
            self.reset(now)
            return
        first = (COLD_START_TIMEOUT_MIN_S, COLD_START_TIMEOUT_MAX_S)
        split = (SPLIT_VOTE_TIMEOUT_MIN_S, SPLIT_VOTE_TIMEOUT_MAX_S)
        self.election_at = now + self.rng.uniform(*first if pre else split)
        self.is_extended = False

    def on_leader_message(self, now: float, term: int) -> None:
        """Note that the leader of a term is heard."""
        if term == self.leader_term:
            self.record_leader_gap(now - self.leader_contact_at, now)
        self.leader_term = term
        self.leader_contact_at = now
        self.reset(now)

    def record_leader_gap(self, gap_s: float, now: float) -> None:
        """Note the time between two messages of one leader."""
        if (
            gap_s >= self.leader_gap_s
            or now >= self.leader_gap_at + LATENESS_RETENTION_S
        ):
            self.leader_gap_s = gap_s
            self.leader_gap_at = now

    @property
    def has_no_leader_since_start(self) -> bool:
        """Return whether no leader has been heard since the start."""
        return self.leader_contact_at <= self.started_at

    def is_sticky(self, now: float) -> bool:
        """Return whether a leader is protected from those who do not hear it.

        Its lease rests on this.
        """
        return now < self.leader_contact_at + ELECTION_TIMEOUT_MIN_S

    def has_recent_contact(self, now: float) -> bool:
        """Return whether the leader that was heard may lead still."""
        return now < self.leader_contact_at + ELECTION_TIMEOUT_MAX_S
