"""Availability of voters, as observed by one replica."""

import attrs

from _coltsfootroad.control import electiontimer
from _coltsfootroad.control import membership as membership_lib
from _coltsfootroad.control import quorum
from _coltsfootroad.control import raft as raft_lib

# A leader whose tick is this late was stalled. Heartbeats, which other replicas
# reply to, are due five times as often.
STALL_THRESHOLD_S = 0.5
# Without a leader, each running voter sends vote requests to all others at
# least once in this time.
UNRESPONSIVE_WITHOUT_LEADER_S = 2 * electiontimer.ELECTION_TIMEOUT_MAX_S
# A voter that has lacked committed entries for this long counts as unavailable,
# because it does not help the leader to commit.
LAGGING_AFTER_S = 1.0


@attrs.define
class VoterMonitor:
    """Determines which voters are unresponsive or lagging.

    Time in which this replica was stalled and read no messages does not count
    against other replicas.

    Attributes:
        raft: Raft state of the observing replica.
        ticked_at: When `tick` ran last.
        since: Start of the observation: the process start or the last stall.
    """

    raft: raft_lib.Raft
    ticked_at: float = float("-inf")
    since: float = float("-inf")

    def tick(self, now: float) -> None:
        """Record that this replica is running; detect that it was stalled.

        After a stall or a start it has not yet read the replies of other
        replicas, so their age says nothing about them.
        """
        if now > self.ticked_at + STALL_THRESHOLD_S:
            self.since = now
        self.ticked_at = now

    def reply_ages(self, now: float) -> dict[str, float]:
        """Return the seconds since each replica last replied to this leader.

        For a replica that was added later, counts from its first message.
        """
        return {
            identity: now - max(progress.acked_at, progress.since, self.since)
            for identity, progress in self.raft.progress.items()
            if identity != self.raft.identity
        }

    def contact_ages(self, now: float) -> dict[str, float]:
        """Return the seconds since each replica's last message, or inf."""
        raft = self.raft
        no_contact_at = float("-inf")
        return {
            i: now - raft.last_contact_at.get(i, no_contact_at)
            for i in raft.peer_identities()
        }

    def is_uncertain(self, now: float) -> bool:
        """Return whether this replica cannot know which voters are available.

        A follower receives messages of the leader only, and a replica that has
        just started has had no time to receive messages.
        """
        raft = self.raft
        if not raft.replica_set.voters:
            return True
        if raft.is_leader:
            return False
        is_new = now < raft.started_at + UNRESPONSIVE_WITHOUT_LEADER_S
        return is_new or raft.has_leader_contact(now)

    def view(self, now: float) -> quorum.QuorumView:
        """Return the unavailable voters and the remaining fault tolerance."""
        raft = self.raft
        if self.is_uncertain(now):
            return quorum.QuorumView(failures_tolerated=None)
        ages, threshold_s = (
            self.contact_ages(now),
            UNRESPONSIVE_WITHOUT_LEADER_S,
        )
        if raft.is_leader:
            ages, threshold_s = (
                self.reply_ages(now),
                membership_lib.UNRESPONSIVE_AFTER_S,
            )
        voters = raft.replica_set.voter_identities()
        silent = {
            identity: round(age_s, 2) if age_s < 1e9 else None
            for identity, age_s in ages.items()
            if identity in voters and age_s >= threshold_s
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
        """Return the seconds for which each replica lacks committed entries."""
        if not self.raft.is_leader:
            return {}
        return {
            identity: now - max(progress.current_at, progress.since, self.since)
            for identity, progress in self.raft.progress.items()
            if identity != self.raft.identity
        }

    def should_join(self, now: float) -> bool:
        """Return whether this replica is no voter or may have been removed."""
        raft = self.raft
        if raft.identity not in raft.replica_set.voter_identities():
            return True
        contact_age_s = now - raft.timer.leader_contact_at
        return not raft.is_leader and (
            contact_age_s >= membership_lib.REJOIN_AFTER_S
        )
