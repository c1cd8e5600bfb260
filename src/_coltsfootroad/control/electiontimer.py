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
    """

    rng: random.Random
    started_at: float
    heard_leader_at: float = attrs.field(init=False)
    election_at: float = attrs.field(init=False)
    ticked: bool = False

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
        self.election_at = now + pause

    def reset_early(self, pre: bool, now: float) -> None:
        """Wait a short time, as nobody has heard a leader since the start."""
        first = (FIRST_PAUSE_MIN_S, FIRST_PAUSE_MAX_S)
        split = (SPLIT_PAUSE_MIN_S, SPLIT_PAUSE_MAX_S)
        self.election_at = now + self.rng.uniform(*first if pre else split)

    def hear(self, now: float) -> None:
        """Note that the leader is heard."""
        self.heard_leader_at = now
        self.reset(now)

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
