"""Which voters are available, by what one replica has heard of them."""

import attrs

from _coltsfootroad.control import electiontimer
from _coltsfootroad.control import membership as membership_lib
from _coltsfootroad.control import quorum
from _coltsfootroad.control import raft as raft_lib

# A leader that was called this late has stood still; heartbeats, on which the
# answers of others depend, are due five times as often.
STALL_THRESHOLD_S = 0.5
# A replica that wants votes has asked everybody at least once in this time.
UNRESPONSIVE_WITHOUT_LEADER_S = 2 * electiontimer.ELECTION_TIMEOUT_MAX_S
# A voter that has lacked committed entries for this long counts as unavailable:
# with it alone the leader commits nothing.
LAGGING_AFTER_S = 1.0


@attrs.define
class VoterMonitor:
    """Tells voters that are silent from those that were not listened to.

    Attributes:
        raft: The replica that hears, or does not.
    """

    raft: raft_lib.Raft
    ticked_at: float = float("-inf")
    since: float = float("-inf")

    def tick(self, now: float) -> None:
        """Note that this replica runs.

        One that stood still, or has just started, has not taken the answers
        of others: that says nothing of them.
        """
        if now > self.ticked_at + STALL_THRESHOLD_S:
            self.since = now
        self.ticked_at = now

    def reply_ages(self, now: float) -> dict[str, float]:
        """Return for how many seconds others have not answered this leader.

        A replica that joined lately counts from when it was first sent to.
        """
        return {
            identity: now - max(progress.acked_at, progress.since, self.since)
            for identity, progress in self.raft.progress.items()
            if identity != self.raft.identity
        }

    def contact_ages(self, now: float) -> dict[str, float]:
        """Return how long ago others were heard; inf where never."""
        raft = self.raft
        never = float("-inf")
        return {
            i: now - raft.last_contact_at.get(i, never)
            for i in raft.peer_identities()
        }

    def is_uncertain(self, now: float) -> bool:
        """Return whether this replica cannot judge who is available.

        Only the leader sends to a follower, and one that has just started has
        not had the time to hear others.
        """
        raft = self.raft
        if not raft.replica_set.voters:
            return True
        if raft.is_leader:
            return False
        is_new = now < raft.started_at + UNRESPONSIVE_WITHOUT_LEADER_S
        return is_new or raft.has_leader_contact(now)

    def view(self, now: float) -> quorum.QuorumView:
        """Return which voters are unavailable, and how many more may fail."""
        raft = self.raft
        if self.is_uncertain(now):
            return quorum.QuorumView(failures_tolerated=None)
        reply_ages, bound_s = (
            self.contact_ages(now),
            UNRESPONSIVE_WITHOUT_LEADER_S,
        )
        if raft.is_leader:
            reply_ages, bound_s = (
                self.reply_ages(now),
                membership_lib.UNRESPONSIVE_AFTER_S,
            )
        voters = raft.replica_set.voter_identities()
        silent = {
            identity: round(silence_s, 2) if silence_s < 1e9 else None
            for identity, silence_s in reply_ages.items()
            if identity in voters and silence_s >= bound_s
        }
        lagging = {
            identity: round(lag_s, 2)
            for identity, lag_s in self.commit_lags(now).items()
            if identity in voters
            and identity not in silent
            and lag_s >= LAGGING_AFTER_S
        }
        return quorum.QuorumView(
            failures_tolerated=quorum.failures_tolerated(
                raft.replica_set, silent.keys() | lagging.keys()
            ),
            silent=silent,
            lagging=lagging,
        )

    def commit_lags(self, now: float) -> dict[str, float]:
        """Return for how long others lack entries that are committed."""
        if not self.raft.is_leader:
            return {}
        return {
            identity: now - max(progress.current_at, progress.since, self.since)
            for identity, progress in self.raft.progress.items()
            if identity != self.raft.identity
        }

    def should_join(self, now: float) -> bool:
        """Return whether this replica is no voter, or may be none any more."""
        raft = self.raft
        if raft.identity not in raft.replica_set.voter_identities():
            return True
        unheard_s = now - raft.timer.leader_contact_at
        return not raft.is_leader and (
            unheard_s >= membership_lib.REJOIN_AFTER_S
        )
