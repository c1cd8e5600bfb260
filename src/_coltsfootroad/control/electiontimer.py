"""When a replica stands for election, and whom it may vote for until then."""

import random

import attrs

# A lost packet is sent again within 0.3 s; an election must not begin for
# that. Longer times are longer without a leader after a loss, during which
# gateways that have just started know no routes.
HEARTBEAT_S = 0.1
ELECTION_MIN_S = 0.6
ELECTION_MAX_S = 1.2
# Clocks may drift by a tenth against each other; a lease ends well before
# any follower may elect somebody else.
LEASE_S = 0.75 * ELECTION_MIN_S
# A replica that has heard no leader since it started asks this often whether
# it would get votes. Asking disturbs nobody: who hears a leader says no.
FIRST_PAUSE_MIN_S = 0.06
FIRST_PAUSE_MAX_S = 0.18
# How often it asks again when votes were split, or are long on their way.
SPLIT_PAUSE_MIN_S = 0.15
SPLIT_PAUSE_MAX_S = 0.45
NEVER = float("-inf")
# Failed elections after which replicas that have heard no leader wait as long
# as others.
EARLY_FAILURES = 1
# A timer that fires this late shows that the process did not run meanwhile;
# what others sent is read first.
LATE_S = 0.1
CATCH_UP_S = 0.1
# Largest multiple of the usual timeouts.
MAX_SCALE = 4.0
MAX_DOUBLINGS = 2
# Multiple of a leader's longest recent gap for which followers wait.
LEADER_GAP_MARGIN = 2.0
# Lateness that has not been seen for this long is forgotten.
FORGET_S = 10.0


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
    heard_leader_at: float = attrs.field(init=False)
    election_at: float = attrs.field(init=False)
    ticked: bool = False
    heard_term: int = 0
    leader_gap_s: float = 0.0
    leader_gap_at: float = NEVER
    failed_elections: int = 0
    election_failed_at: float = NEVER
    deferred: bool = False

    def __attrs_post_init__(self):
        self.heard_leader_at = self.started_at
        self.election_at = self.started_at

    def begin(self, now: float) -> None:
        """Draw the first time to stand, at the first tick.

        Replicas that were started at once are ready at once as well.
        """
        if not self.ticked:
            self.ticked = True
            pause = self.rng.uniform(0.0, FIRST_PAUSE_MAX_S)
            self.election_at = max(self.election_at, now + pause)

    def stand_at_once(self, now: float) -> None:
        """Stand now: nobody else exists whose leader could be disturbed."""
        self.heard_leader_at = NEVER
        self.election_at = now
        self.ticked = True

    def reset(self, now: float) -> None:
        """Wait a random time for a leader."""
        pause = self.rng.uniform(ELECTION_MIN_S, ELECTION_MAX_S)
        self.election_at = now + pause * self.timeout_scale(now)
        self.deferred = False

    def timeout_scale(self, now: float) -> float:
        """Return by how much timeouts are longer than usual.

        Votes and heartbeats of processes that are late take longer than the
        usual timeouts, so that no election would succeed.
        """
        scale = 1.0
        if now < self.leader_gap_at + FORGET_S:
            needed_s = LEADER_GAP_MARGIN * self.leader_gap_s
            scale = max(scale, needed_s / ELECTION_MIN_S)
        if self.has_failed_lately(now):
            doublings = min(self.failed_elections, MAX_DOUBLINGS)
            scale = max(scale, 2.0**doublings)
        return min(scale, MAX_SCALE)

    def note_failed(self, now: float) -> None:
        """Note an election in which votes were granted and nobody led."""
        if not self.has_failed_lately(now):
            self.failed_elections = 0
        self.failed_elections += 1
        self.election_failed_at = now

    def has_failed_lately(self, now: float) -> bool:
        """Return whether elections failed within the remembered time."""
        return now < self.election_failed_at + FORGET_S

    def is_due(self, now: float) -> bool:
        """Return whether to stand for election, with all messages read.

        A timeout that fires late is extended once.
        """
        if now < self.election_at:
            return False
        if now < self.election_at + LATE_S or self.deferred:
            return True
        self.deferred = True
        self.election_at = now + CATCH_UP_S
        return False

    def reset_early(self, pre: bool, now: float) -> None:
        """Wait a short time, as nobody has heard a leader since the start."""
        is_repeated = self.failed_elections > EARLY_FAILURES
        if is_repeated and self.has_failed_lately(now):
            self.reset(now)
            return
        first = (FIRST_PAUSE_MIN_S, FIRST_PAUSE_MAX_S)
        split = (SPLIT_PAUSE_MIN_S, SPLIT_PAUSE_MAX_S)
        self.election_at = now + self.rng.uniform(*first if pre else split)
        self.deferred = False

    def hear(self, now: float, term: int) -> None:
        """Note that the leader of a term is heard."""
        if term == self.heard_term:
            self.note_gap(now - self.heard_leader_at, now)
        self.heard_term = term
        self.heard_leader_at = now
        self.reset(now)

    def note_gap(self, gap_s: float, now: float) -> None:
        """Note the time between two messages of one leader."""
        if gap_s >= self.leader_gap_s or now >= self.leader_gap_at + FORGET_S:
            self.leader_gap_s = gap_s
            self.leader_gap_at = now

    @property
    def heard_none(self) -> bool:
        """Return whether no leader has been heard since the start."""
        return self.heard_leader_at <= self.started_at

    def is_sticky(self, now: float) -> bool:
        """Return whether a leader is protected from those who do not hear it.

        Its lease rests on this.
        """
        return now < self.heard_leader_at + ELECTION_MIN_S

    def heard_lately(self, now: float) -> bool:
        """Return whether the leader that was heard may lead still."""
        return now < self.heard_leader_at + ELECTION_MAX_S
