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
# Largest multiple of the usual pauses.
MAX_SCALE = 4.0
# Multiple of a leader's longest recent pause for which it is waited for.
GAP_MARGIN = 2.0
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
        gap_s: Longest pause between two messages of one leader.
        gap_at: When a pause was that long.
        failed: Elections in a row in which votes were given to no avail.
        failed_at: When the last of them was given up.
        deferred: Whether the present pause was extended as it ended late.
    """

    rng: random.Random
    started_at: float
    heard_leader_at: float = attrs.field(init=False)
    election_at: float = attrs.field(init=False)
    ticked: bool = False
    heard_term: int = 0
    gap_s: float = 0.0
    gap_at: float = NEVER
    failed: int = 0
    failed_at: float = NEVER
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
        self.election_at = now + pause * self.scale(now)
        self.deferred = False

    def scale(self, now: float) -> float:
        """Return by how much pauses are longer than usual.

        Votes and heartbeats of processes that are late take longer than the
        usual pauses, so no election would ever come to its end.
        """
        scale = 1.0
        if now < self.gap_at + FORGET_S:
            scale = max(scale, GAP_MARGIN * self.gap_s / ELECTION_MIN_S)
        if now < self.failed_at + FORGET_S:
            scale = max(scale, 2.0**self.failed)
        return min(scale, MAX_SCALE)

    def note_failed(self, now: float) -> None:
        """Note an election in which votes were given and nobody led."""
        if now >= self.failed_at + FORGET_S:
            self.failed = 0
        self.failed += 1
        self.failed_at = now

    def is_due(self, now: float) -> bool:
        """Return whether to stand for election, with all messages read.

        A pause that ends late is extended once.
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
        if self.failed > EARLY_FAILURES and now < self.failed_at + FORGET_S:
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
        """Note a pause between two messages of one leader."""
        if gap_s >= self.gap_s or now >= self.gap_at + FORGET_S:
            self.gap_s = gap_s
            self.gap_at = now

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
