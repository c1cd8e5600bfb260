"""Logs changes of the replica set, and a quorum that is lost or regained."""

from _coltsfootroad.control import node as node_lib
from _coltsfootroad.control import quorum
from _coltsfootroad.control import replicas
from _coltsfootroad.shell import logs

LOG = logs.logger("quorum")


class QuorumLog:
    """Compares what a replica believes with what was logged last."""

    def __init__(self, node: node_lib.ControlNode):
        self.node = node
        self.logged_set = node.raft.replica_set
        self.is_lost = False

    def note(self, now: float) -> None:
        """Log what has changed since the last call."""
        current = self.node.raft.replica_set
        if current != self.logged_set:
            self.log_set(self.logged_set, current, now)
            self.logged_set = current
        view = self.node.watch.view(now)
        if view.is_lost != self.is_lost and view.bears is not None:
            self.is_lost = view.is_lost
            self.log_quorum(view)

    def log_set(
        self,
        before: replicas.ReplicaSet,
        after: replicas.ReplicaSet,
        now: float,
    ) -> None:
        """Log a change of the set, and why the leader made it."""
        raft = self.node.raft
        view = self.node.watch.view(now)
        LOG.info(
            "replica set changed",
            before=names(before.voters),
            voters=names(after.voters),
            joint=after.is_joint,
            learners=names(after.learners),
            why=self.node.change_reason if raft.is_leader else "told by leader",
            silent=view.missing,
            bears=view.bears,
            term=raft.term,
            index=raft.replica_set_index(),
        )

    def log_quorum(self, view: quorum.QuorumView) -> None:
        """Log that no quorum answers any more, or that one does again."""
        raft = self.node.raft
        LOG.warning(
            "quorum lost" if view.is_lost else "quorum regained",
            voters=names(raft.replica_set.voters),
            missing=view.missing,
            bears=view.bears,
            term=raft.term,
        )


def names(voters: tuple[replicas.Replica, ...]) -> list[str]:
    """Return the identities, for a log line."""
    return [voter.identity for voter in voters]
