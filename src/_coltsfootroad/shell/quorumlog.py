"""Logs what a replica learns of the others: elections, set, tolerance."""

from _coltsfootroad.control import node as node_lib
from _coltsfootroad.control import quorum
from _coltsfootroad.control import raft as raft_lib
from _coltsfootroad.control import replicas
from _coltsfootroad.shell import logs

LOG = logs.logger("quorum")
# Pause between lines that repeat an unresolved state.
REPEAT_S = 10.0
# Pause between lines of a replica that seeks votes and gets too few.
CAMPAIGN_REPEAT_S = 2.0
CANDIDATES = (raft_lib.Role.PRE_CANDIDATE, raft_lib.Role.CANDIDATE)
NEVER = float("-inf")


class QuorumLog:
    """Compares what a replica believes with what was logged last."""

    def __init__(self, node: node_lib.ControlNode):
        self.node = node
        self.logged_set = node.raft.replica_set
        self.is_lost = False
        self.led_term = 0
        self.tolerated: int | None = None
        self.reduced_since = NEVER
        self.tolerance_logged_at = NEVER
        self.campaign_logged_at = NEVER

    def note(self, now: float) -> None:
        """Log what has changed since the last call."""
        current = self.node.raft.replica_set
        if current != self.logged_set:
            self.log_set(self.logged_set, current, now)
            self.logged_set = current
        self.note_role(now)
        view = self.node.voter_monitor.view(now)
        if view.is_lost != self.is_lost and view.failures_tolerated is not None:
            self.is_lost = view.is_lost
            self.log_quorum(view)
        self.note_tolerance(view, now)
        self.note_faults()

    def note_role(self, now: float) -> None:
        """Log an election won or lost, and a campaign without a result."""
        raft = self.node.raft
        if raft.is_leader and self.led_term != raft.term:
            self.led_term = raft.term
            LOG.info(
                "elected",
                term=raft.term,
                votes=sorted(raft.votes),
                last_index=raft.log.last_index,
                commit=raft.commit,
                **self.lateness(now),
            )
        elif not raft.is_leader and self.led_term:
            LOG.info(
                "stepped down",
                led_term=self.led_term,
                term=raft.term,
                **self.lateness(now),
            )
            self.led_term = 0
        if raft.role in CANDIDATES and not raft.timer.has_recent_contact(now):
            self.log_campaign(now)

    def log_campaign(self, now: float) -> None:
        """Log who refuses a vote, and why, and who does not respond."""
        if now < self.campaign_logged_at + CAMPAIGN_REPEAT_S:
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
            **self.lateness(now),
        )

    def lateness(self, now: float) -> dict[str, float | int]:
        """Return what decides how long this replica waits for a leader."""
        timer = self.node.raft.timer
        return {
            "timeout_scale": round(timer.timeout_scale(now), 2),
            "election_in_s": round(timer.election_at - now, 2),
            "failed_elections": timer.failed_elections,
            "leader_gap_s": round(timer.leader_gap_s, 2),
        }

    def note_tolerance(self, view: quorum.QuorumView, now: float) -> None:
        """Log a change of the fault tolerance; repeat while it is reduced."""
        tolerated = view.failures_tolerated
        if tolerated is None:
            self.tolerated = None
            return
        is_reduced = tolerated < self.node.membership.max_failures
        if not is_reduced:
            self.reduced_since = now
        is_repeat = tolerated == self.tolerated
        is_due = is_reduced and now >= self.tolerance_logged_at + REPEAT_S
        if is_repeat and not is_due:
            return
        if self.tolerated is None:
            self.reduced_since = now
        raft = self.node.raft
        log = LOG.warning if is_reduced else LOG.info
        log(
            "fault tolerance reduced" if is_reduced else "fault tolerance",
            failures_tolerated=tolerated,
            before=self.tolerated,
            reduced_for_s=round(now - self.reduced_since, 1),
            voters=names(raft.replica_set.voters),
            silent=view.silent,
            lagging=view.lagging,
            term=raft.term,
            commit=raft.commit,
        )
        self.tolerated = tolerated
        self.tolerance_logged_at = now

    def note_faults(self) -> None:
        """Log commands that were not applied, and calls without an answer."""
        while self.node.faults:
            found = self.node.faults.popleft()
            is_call = found.index is None
            LOG.error(
                "call not answered" if is_call else "command not applied",
                index=found.index,
                kind=found.kind,
                fault=found.fault,
            )

    def log_set(
        self,
        before: replicas.ReplicaSet,
        after: replicas.ReplicaSet,
        now: float,
    ) -> None:
        """Log a change of the set, and why the leader made it."""
        raft = self.node.raft
        view = self.node.voter_monitor.view(now)
        LOG.info(
            "replica set changed",
            before=names(before.voters),
            voters=names(after.voters),
            joint=after.is_joint,
            learners=names(after.learners),
            why=self.node.change_reason if raft.is_leader else "replicated",
            silent=view.silent,
            failures_tolerated=view.failures_tolerated,
            term=raft.term,
            index=raft.replica_set_index(),
        )

    def log_quorum(self, view: quorum.QuorumView) -> None:
        """Log that no quorum is available any more, or that one is again."""
        raft = self.node.raft
        LOG.warning(
            "quorum lost" if view.is_lost else "quorum regained",
            voters=names(raft.replica_set.voters),
            silent=view.silent,
            lagging=view.lagging,
            failures_tolerated=view.failures_tolerated,
            term=raft.term,
        )


def names(voters: tuple[replicas.Replica, ...]) -> list[str]:
    """Return the identities, for a log line."""
    return [voter.identity for voter in voters]
