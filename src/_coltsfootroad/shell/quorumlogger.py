"""Logs elections, replica set changes, quorum and fault tolerance."""

from _coltsfootroad.control import node as node_lib
from _coltsfootroad.control import quorum
from _coltsfootroad.control import raft as raft_lib
from _coltsfootroad.control import replicas
from _coltsfootroad.shell import logs

LOG = logs.logger("quorum")
# Interval between log lines that repeat an unresolved state.
REPEAT_INTERVAL_S = 10.0
# Interval between log lines of a candidate that gets too few votes.
CAMPAIGN_REPEAT_INTERVAL_S = 2.0
# Replicas that start together join within about a second each, one after the
# other. After this time, those that are missing were probably not deployed.
JOIN_GRACE_S = 6.0
CANDIDATE_ROLES = (raft_lib.Role.PRE_CANDIDATE, raft_lib.Role.CANDIDATE)
NEVER = float("-inf")


class QuorumLogger:
    """Compares the state that a replica sees with the one last logged."""

    def __init__(self, node: node_lib.ControlNode):
        self.node = node
        self.logged_set = node.raft.replica_set
        self.is_lost = False
        self.led_term = 0
        self.logged_tolerance: int | None = None
        self.reduced_since = NEVER
        self.tolerance_logged_at = NEVER
        self.campaign_logged_at = NEVER
        # When this replica began to lead an incomplete set, None if it does
        # not.
        self.incomplete_since: float | None = None
        self.incomplete_logged_at = NEVER

    def log_changes(self, now: float) -> None:
        """Log what has changed since the last call."""
        current = self.node.raft.replica_set
        if current != self.logged_set:
            self.log_replica_set(self.logged_set, current, now)
            self.logged_set = current
        self.log_role_change(now)
        view = self.node.voter_monitor.view(now)
        if view.is_lost != self.is_lost and view.failures_tolerated is not None:
            self.is_lost = view.is_lost
            self.log_quorum(view)
        self.log_tolerance(view, now)
        self.log_incomplete_set(now)
        self.log_faults()

    def log_role_change(self, now: float) -> None:
        """Log gained and lost leadership, and elections without a winner."""
        raft = self.node.raft
        if raft.is_leader and self.led_term != raft.term:
            self.led_term = raft.term
            LOG.info(
                "elected",
                term=raft.term,
                votes=sorted(raft.votes),
                last_index=raft.log.last_index,
                commit=raft.commit,
                **self.election_timer_fields(now),
            )
        elif not raft.is_leader and self.led_term:
            LOG.info(
                "stepped down",
                led_term=self.led_term,
                term=raft.term,
                **self.election_timer_fields(now),
            )
            self.led_term = 0
        if raft.role in CANDIDATE_ROLES and not raft.timer.has_recent_contact(
            now
        ):
            self.log_campaign(now)

    def log_campaign(self, now: float) -> None:
        """Log refused votes with their reasons, and unresponsive voters."""
        if now < self.campaign_logged_at + CAMPAIGN_REPEAT_INTERVAL_S:
            return
        self.campaign_logged_at = now
        raft = self.node.raft
        responded = raft.votes | raft.refusals.keys()
        LOG.info(
            "not elected",
            role=raft.role.value,
            term=raft.term,
            last_term=raft.log.last_term,
            last_index=raft.log.last_index,
            votes=sorted(raft.votes),
            refused=dict(raft.refusals),
            unanswered=sorted(raft.replica_set.voter_identities() - responded),
            **self.election_timer_fields(now),
        )

    def election_timer_fields(self, now: float) -> dict[str, float | int]:
        """Return the state that determines the election time-out."""
        timer = self.node.raft.timer
        return {
            "timeout_scale": round(timer.timeout_scale(now), 2),
            "election_in_s": round(timer.election_at - now, 2),
            "failed_elections": timer.failed_elections,
            "leader_gap_s": round(timer.leader_gap_s, 2),
        }

    def log_tolerance(self, view: quorum.QuorumView, now: float) -> None:
        """Log a change of the fault tolerance; repeat while it is reduced."""
        tolerated = view.failures_tolerated
        if tolerated is None:
            self.logged_tolerance = None
            return
        is_reduced = tolerated < self.node.membership.max_failures
        if not is_reduced:
            self.reduced_since = now
        is_repeat = tolerated == self.logged_tolerance
        is_due = (
            is_reduced and now >= self.tolerance_logged_at + REPEAT_INTERVAL_S
        )
        if is_repeat and not is_due:
            return
        if self.logged_tolerance is None:
            self.reduced_since = now
        raft = self.node.raft
        log = LOG.warning if is_reduced else LOG.info
        log(
            "fault tolerance reduced" if is_reduced else "fault tolerance",
            failures_tolerated=tolerated,
            before=self.logged_tolerance,
            reduced_for_s=round(now - self.reduced_since, 1),
            voters=identities(raft.replica_set.voters),
            needed=self.node.membership.required_voters,
            silent=view.silent,
            lagging=view.lagging,
            term=raft.term,
            commit=raft.commit,
        )
        self.logged_tolerance = tolerated
        self.tolerance_logged_at = now

    def log_incomplete_set(self, now: float) -> None:
        """Log an error while fewer replicas vote than the settings require.

        No command is accepted meanwhile. If too few replicas with a disk are
        deployed, this lasts until more are added.
        """
        raft, membership = self.node.raft, self.node.membership
        if not raft.is_leader or membership.is_complete(raft.replica_set):
            self.incomplete_since = None
            return
        if self.incomplete_since is None:
            self.incomplete_since = now
        waited_s = now - self.incomplete_since
        is_due = now >= self.incomplete_logged_at + REPEAT_INTERVAL_S
        if waited_s < JOIN_GRACE_S or not is_due:
            return
        self.incomplete_logged_at = now
        LOG.error(
            "too few replicas",
            joined=len(raft.replica_set.voters),
            needed=membership.required_voters,
            lost_at_once=membership.max_failures,
            voters=identities(raft.replica_set.voters),
            learners=identities(raft.replica_set.learners),
            waited_s=round(waited_s, 1),
            fix="deploy control on more VMs with a disk, or lower lost_at_once",
        )

    def log_faults(self) -> None:
        """Log commands that were not applied, and calls without an answer."""
        while self.node.faults:
            failure = self.node.faults.popleft()
            is_call = failure.index is None
            LOG.error(
                "call not answered" if is_call else "command not applied",
                index=failure.index,
                kind=failure.kind,
                fault=failure.fault,
            )

    def log_replica_set(
        self,
        before: replicas.ReplicaSet,
        after: replicas.ReplicaSet,
        now: float,
    ) -> None:
        """Log a change of the replica set, and the leader's reason."""
        raft = self.node.raft
        view = self.node.voter_monitor.view(now)
        LOG.info(
            "replica set changed",
            before=identities(before.voters),
            voters=identities(after.voters),
            joint=after.is_joint,
            learners=identities(after.learners),
            why=self.node.change_reason if raft.is_leader else "replicated",
            silent=view.silent,
            failures_tolerated=view.failures_tolerated,
            term=raft.term,
            index=raft.replica_set_index(),
        )

    def log_quorum(self, view: quorum.QuorumView) -> None:
        """Log that the quorum was lost or regained."""
        raft = self.node.raft
        LOG.warning(
            "quorum lost" if view.is_lost else "quorum regained",
            voters=identities(raft.replica_set.voters),
            silent=view.silent,
            lagging=view.lagging,
            failures_tolerated=view.failures_tolerated,
            term=raft.term,
        )


def identities(voters: tuple[replicas.Replica, ...]) -> list[str]:
    """Return the identities of replicas."""
    return [voter.identity for voter in voters]
