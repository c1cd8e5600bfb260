"""Which replicas get a vote, and which lose it, without an operator.

A VM may lose its disk, be replaced at another address, or never come back.
What is promised: two and a half seconds after the last loss, return or
replacement, the set bears the next losses that it was made for. So no voter
that is gone may stay beside a new one: four voters of which one is gone bear no
loss at all, where three would bear one.
"""

import attrs
from expression import Error
from expression import Ok
from expression import Result

from _coltsfootroad.control import messages
from _coltsfootroad.control import quorum
from _coltsfootroad.control import replicas
from _coltsfootroad.core import errors

# A voter that has not answered ten heartbeats in a row is lost for now. It
# gives its place to a replica that has caught up, and is taken out where the
# set bears too little with it. If it was only frozen it asks for a vote when
# it is back, and has one about a second later, with all that it had stored.
UNRESPONSIVE_AFTER_S = 1.0
# Who has answered one of its last three heartbeats runs: a learner that has
# not gets no vote, a voter that has keeps its name and address to itself.
RESPONSIVE_WITHIN_S = 0.35
# A voter without which the set bears as much is taken out after this long; it
# costs no tolerance, and most that fall silent are back within seconds.
REMOVE_AFTER_S = 10.0
# How often a replica without a vote asks for one.
JOIN_INTERVAL_S = 0.5
# A voter that hears no leader for this long asks whether it is one still: it
# may have lost its vote while it stood still, and those left do not call it.
REJOIN_AFTER_S = 1.0


@attrs.define
class Membership:
    """Decides changes of the replica set; only the leader asks.

    `reply_ages` are seconds since the last reply of each other replica, by
    identity.

    Attributes:
        required_voters: Voters that must exist before anything is
            acknowledged, and below which none is taken out: twice the
            replicas that may be lost at once, plus one.
    """

    required_voters: int = 1

    @property
    def max_failures(self) -> int:
        """Return how many voters may be lost at once."""
        return (self.required_voters - 1) // 2

    def is_complete(self, current: replicas.ReplicaSet) -> bool:
        """Return whether what a quorum holds survives the losses allowed."""
        return len(current.voters) >= self.required_voters

    def join_refusal(
        self,
        replica: replicas.Replica,
        current: replicas.ReplicaSet,
        reply_ages: dict[str, float],
    ) -> str:
        """Return why a replica may not ask for a vote, empty if it may.

        A new disk takes the place of the one before it by name or address;
        two programs that are set up alike would take turns at that.
        """
        for field in ("name", "disk", "address"):
            if not getattr(replica, field):
                return f"the replica needs {field}, which is empty"
        for voter in current.voters:
            # The leader is not among the silences: it runs.
            answers = reply_ages.get(voter.identity, 0.0) < RESPONSIVE_WITHIN_S
            if voter.identity == replica.identity or not answers:
                continue
            for field in ("name", "address"):
                if getattr(voter, field) == getattr(replica, field):
                    return (
                        f"{replica.identity!r} has the {field} of"
                        f" {voter.identity!r}, which answers"
                    )
        return ""

    def plan_learner(
        self, replica: replicas.Replica, current: replicas.ReplicaSet
    ) -> messages.ChangeReplicas | None:
        """Return the change that lets a stranger learn, None if it is known."""
        if replica.identity in current.by_identity():
            return None
        return messages.ChangeReplicas(
            action=messages.ReplicaAction.LEARN,
            replica=replica,
            reason=f"{replica.identity} asked for a vote and learns first",
        )

    def plan_promotion(
        self,
        current: replicas.ReplicaSet,
        reply_ages: dict[str, float],
        caught_up: set[str],
    ) -> messages.ChangeReplicas | None:
        """Return the change that gives a learner a vote, None for now.

        Args:
            current: The set in force.
            reply_ages: Seconds since the last reply of each replica.
            caught_up: Learners that hold nearly all of the log; others must
                not keep them, or the removal of a voter, waiting.
        """
        for learner in current.learners:
            answered_s = reply_ages.get(learner.identity, UNRESPONSIVE_AFTER_S)
            if (
                learner.identity not in caught_up
                or answered_s >= RESPONSIVE_WITHIN_S
            ):
                continue
            replaced = self.replaced_by(learner, current, reply_ages)
            return messages.ChangeReplicas(
                action=messages.ReplicaAction.PROMOTE,
                replica=learner,
                replaces=replaced,
                reason=f"{learner.identity} has caught up, in place of"
                f" {replaced or 'nobody'}",
            )
        return None

    def replaced_by(
        self,
        learner: replicas.Replica,
        current: replicas.ReplicaSet,
        reply_ages: dict[str, float],
    ) -> str:
        """Return whose vote a learner takes over, empty if it gets one more.

        Beside a voter that has just fallen silent it gets one more; if that
        one is lost, it is taken out as soon as that shows.
        """
        for voter in current.voters:
            if voter.name == learner.name or voter.address == learner.address:
                return voter.identity
        if not self.is_complete(current):
            return ""
        silent = longest_unresponsive(current.voters, reply_ages)
        return (
            silent
            if reply_ages.get(silent, 0.0) >= UNRESPONSIVE_AFTER_S
            else ""
        )

    def plan_leave(
        self,
        replica: replicas.Replica,
        current: replicas.ReplicaSet,
        reply_ages: dict[str, float],
    ) -> messages.ChangeReplicas | None:
        """Return the removal of a voter that stops, None if it is to stay.

        It stays where the set bears enough without an answer from it: it is
        probably only restarted, and need not learn again then.
        """
        gone = {replica.identity: UNRESPONSIVE_AFTER_S}
        if not self.can_remove(replica.identity, current, reply_ages | gone):
            return None
        return messages.ChangeReplicas(
            action=messages.ReplicaAction.REMOVE,
            replica=replica,
            reason=f"{replica.identity} stops",
        )

    def plan_removal(
        self, current: replicas.ReplicaSet, reply_ages: dict[str, float]
    ) -> messages.ChangeReplicas | None:
        """Return the removal of a silent replica that can be spared."""
        identity = longest_unresponsive(current.learners, reply_ages)
        if reply_ages.get(identity, 0.0) < REMOVE_AFTER_S:
            identity = longest_unresponsive(current.voters, reply_ages)
            if not self.can_remove(identity, current, reply_ages):
                return None
        return messages.ChangeReplicas(
            action=messages.ReplicaAction.REMOVE,
            replica=current.by_identity()[identity],
            reason=f"{identity} has been silent for"
            f" {reply_ages[identity]:.1f} s",
        )

    def can_remove(
        self,
        identity: str,
        current: replicas.ReplicaSet,
        reply_ages: dict[str, float],
    ) -> bool:
        """Return whether a voter is silent and the set is better without."""
        if not identity or len(current.voters) <= self.required_voters:
            return False
        silent = {i for i, s in reply_ages.items() if s >= UNRESPONSIVE_AFTER_S}
        if identity not in silent:
            return False
        tolerated = quorum.failures_tolerated(current, silent)
        return (
            tolerated < self.max_failures
            or reply_ages[identity] >= REMOVE_AFTER_S
        )


def longest_unresponsive(
    among: tuple[replicas.Replica, ...], reply_ages: dict[str, float]
) -> str:
    """Return the replica that has been silent longest, empty if none is."""
    known = [r.identity for r in among if r.identity in reply_ages]
    return max(known, key=reply_ages.__getitem__, default="")


def requested_set(
    current: replicas.ReplicaSet, message: messages.ChangeReplicas
) -> Result[replicas.ReplicaSet, errors.Failure]:
    """Return the set that a change asks for, or why it is refused."""
    identity = message.replica.identity
    voters = tuple(r for r in current.voters if r.identity != identity)
    # An earlier disk of the same replica will not come back.
    learners = tuple(
        r for r in current.learners if r.name != message.replica.name
    )
    match message.action:
        case messages.ReplicaAction.LEARN:
            if identity in current.voter_identities():
                return refuse(f"replica {identity!r} votes already")
            learners += (message.replica,)
            voters = current.voters
        case messages.ReplicaAction.PROMOTE:
            voters = tuple(r for r in voters if r.identity != message.replaces)
            voters += (message.replica,)
        case messages.ReplicaAction.REMOVE:
            if identity not in current.by_identity():
                return refuse(f"replica {identity!r} is not known")
            if not voters:
                return refuse("the last voter cannot be removed")
    return Ok(attrs.evolve(current, voters=voters, learners=learners))


def refuse(message: str) -> Result[replicas.ReplicaSet, errors.Failure]:
    """Return the refusal of a change of replicas."""
    return Error(errors.Failure(errors.ErrorCode.BAD_REQUEST, message))
