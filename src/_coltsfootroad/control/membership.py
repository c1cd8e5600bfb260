"""Which replicas get a vote, and which lose it, without an operator.

A VM may lose its disk, be replaced at another address, or never come back.
Each step is one change of the replica set, so two losses in a row never meet
a set that is larger than what still lives.
"""

import attrs

from _coltsfootroad.control import messages
from _coltsfootroad.control import replicas

# A replica that restarts or is frozen is back within a few seconds; taking
# its vote earlier would only make it catch up as a learner again.
RETIRE_S = 10.0
# A joining replica takes the place of one that is silent for this long.
REPLACE_S = 4.0
# How often a replica without a vote asks for one.
JOIN_EVERY_S = 0.5


@attrs.define
class Membership:
    """Decides changes of the replica set; only the leader asks.

    Attributes:
        required_voters: Voters that must exist before anything is
            acknowledged, and below which none is taken out: twice the
            replicas that may be lost at once, plus one.
    """

    required_voters: int = 1

    def is_complete(self, current: replicas.ReplicaSet) -> bool:
        """Return whether what a quorum holds survives the losses allowed."""
        return len(current.voters) >= self.required_voters

    def next_step(
        self,
        replica: replicas.Replica,
        current: replicas.ReplicaSet,
        silences: dict[str, float],
    ) -> messages.ChangeReplicas | None:
        """Return the next change that brings a replica in, None if none."""
        identity = replica.identity
        if identity in {r.identity for r in current.voters}:
            return None
        if identity not in {r.identity for r in current.learners}:
            return messages.ChangeReplicas(
                action=messages.ReplicaAction.LEARN,
                replica=replica,
                reason=f"{identity} asked for a vote and learns first",
            )
        replaces = self.replaced_by(replica, current, silences)
        return messages.ChangeReplicas(
            action=messages.ReplicaAction.PROMOTE,
            replica=replica,
            replaces=replaces,
            reason=f"{identity} has caught up, in place of"
            f" {replaces or 'nobody'}",
        )

    def replaced_by(
        self,
        replica: replicas.Replica,
        current: replicas.ReplicaSet,
        silences: dict[str, float],
    ) -> str:
        """Return the identity whose vote a new voter takes over, or none."""
        for voter in current.voters:
            if voter.name == replica.name or voter.address == replica.address:
                return voter.identity
        if len(current.voters) < self.required_voters:
            return ""
        silent = longest_silent(current, silences)
        if silent and silences[silent] >= REPLACE_S:
            return silent
        return ""

    def to_retire(
        self, current: replicas.ReplicaSet, silences: dict[str, float]
    ) -> messages.ChangeReplicas | None:
        """Return the removal of a silent voter that can be spared."""
        if current.is_joint or len(current.voters) <= self.required_voters:
            return None
        silent = longest_silent(current, silences)
        if not silent or silences[silent] < RETIRE_S:
            return None
        replica = current.everyone()[silent]
        return messages.ChangeReplicas(
            action=messages.ReplicaAction.REMOVE,
            replica=replica,
            reason=f"{silent} has been silent for {silences[silent]:.1f} s",
        )


def longest_silent(
    current: replicas.ReplicaSet, silences: dict[str, float]
) -> str:
    """Return the voter that has been silent longest, empty if none is."""
    voters = [r.identity for r in current.voters if r.identity in silences]
    return max(voters, key=silences.__getitem__, default="")
