"""Automatic membership changes: promotes learners and removes failed voters.

A VM may lose its disk, be replaced at another address, or never return. 2.5
seconds after the last loss, return or replacement, the replica set tolerates
its configured number of failures again. A failed voter must therefore not stay
in the set beside its replacement: four voters of which one has failed tolerate
no further failure, while three healthy voters tolerate one.
"""

import attrs
from expression import Error
from expression import Ok
from expression import Result

from _coltsfootroad.control import messages
from _coltsfootroad.control import quorum
from _coltsfootroad.control import replicas
from _coltsfootroad.core import errors

# A voter that has not replied to ten heartbeats in a row counts as failed. A
# learner that has caught up replaces it, and it is removed if the set tolerates
# too few failures with it. If it was only frozen, it asks to join on its return
# and is a voter again about a second later, with its stored log.
UNRESPONSIVE_AFTER_S = 1.0
# A replica that has replied to one of the last three heartbeats is running.
# Other learners are not promoted, and no replica may join under the name or
# address of a running voter.
RESPONSIVE_WITHIN_S = 0.35
# An unresponsive voter that does not reduce the fault tolerance below the
# configured number is removed only after this time, as most return within
# seconds.
REMOVE_AFTER_S = 10.0
# Interval at which a replica that is not a voter asks to join.
JOIN_INTERVAL_S = 0.5
# A voter without leader contact for this long asks to join again: it may have
# been removed while it was frozen, and removed replicas receive no messages.
REJOIN_AFTER_S = 1.0


@attrs.define
class Membership:
    """Plans membership changes on the leader.

    `reply_ages` are seconds since the last reply of each other replica, by
    identity.

    Attributes:
        required_voters: Number of voters that must exist before any command
            is accepted, and below which none is removed: twice the number of
            replicas that may fail at once, plus one.
    """

    required_voters: int = 1

    @property
    def max_failures(self) -> int:
        """Return how many voters may fail at once."""
        return (self.required_voters - 1) // 2

    def is_complete(self, current: replicas.ReplicaSet) -> bool:
        """Return whether data on a quorum survives `max_failures` failures."""
        return len(current.voters) >= self.required_voters

    def join_refusal(
        self,
        replica: replicas.Replica,
        current: replicas.ReplicaSet,
        reply_ages: dict[str, float],
    ) -> str:
        """Return why a replica may not join, empty if it may.

        A replica with a new disk replaces the voter of the same name or
        address. Two running programs with the same settings would replace each
        other in turns.
        """
        for field in ("name", "disk", "address"):
            if not getattr(replica, field):
                return f"the replica needs {field}, which is empty"
        for voter in current.voters:
            # `reply_ages` does not contain the leader, which is running.
            is_running = (
                reply_ages.get(voter.identity, 0.0) < RESPONSIVE_WITHIN_S
            )
            if voter.identity == replica.identity or not is_running:
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
        """Return the change that adds a learner, None if it is a member."""
        if replica.identity in current.by_identity():
            return None
        return messages.ChangeReplicas(
            action=messages.ReplicaAction.LEARN,
            replica=replica,
            reason=f"{replica.identity} asked to join, added as a learner",
        )

    def plan_promotion(
        self,
        current: replicas.ReplicaSet,
        reply_ages: dict[str, float],
        caught_up: set[str],
    ) -> messages.ChangeReplicas | None:
        """Return the promotion of a learner to voter, None if not yet possible.

        Args:
            current: The current replica set.
            reply_ages: Seconds since the last reply of each replica.
            caught_up: Learners that hold nearly all of the log. Other learners
                must not delay their promotion or the removal of a voter.
        """
        for learner in current.learners:
            reply_age_s = reply_ages.get(learner.identity, UNRESPONSIVE_AFTER_S)
            if (
                learner.identity not in caught_up
                or reply_age_s >= RESPONSIVE_WITHIN_S
            ):
                continue
            replaced = self.replaced_by(learner, current, reply_ages)
            return messages.ChangeReplicas(
                action=messages.ReplicaAction.PROMOTE,
                replica=learner,
                replaces=replaced,
                reason=f"{learner.identity} has caught up, replaces"
                f" {replaced or 'no voter'}",
            )
        return None

    def replaced_by(
        self,
        learner: replicas.Replica,
        current: replicas.ReplicaSet,
        reply_ages: dict[str, float],
    ) -> str:
        """Return the voter that a learner replaces, empty to add a voter.

        A voter that stopped replying less than `UNRESPONSIVE_AFTER_S` ago is
        not replaced. If it has failed, it is removed later.
        """
        for voter in current.voters:
            if voter.name == learner.name or voter.address == learner.address:
                return voter.identity
        if not self.is_complete(current):
            return ""
        unresponsive = longest_unresponsive(current.voters, reply_ages)
        return (
            unresponsive
            if reply_ages.get(unresponsive, 0.0) >= UNRESPONSIVE_AFTER_S
            else ""
        )

    def plan_leave(
        self,
        replica: replicas.Replica,
        current: replicas.ReplicaSet,
        reply_ages: dict[str, float],
    ) -> messages.ChangeReplicas | None:
        """Return the removal of a voter that is stopping, None to keep it.

        It is kept if the set tolerates enough failures while it is down: it is
        probably restarting, and need not join as a learner again.
        """
        stopped = {replica.identity: UNRESPONSIVE_AFTER_S}
        if not self.can_remove(replica.identity, current, reply_ages | stopped):
            return None
        return messages.ChangeReplicas(
            action=messages.ReplicaAction.REMOVE,
            replica=replica,
            reason=f"{replica.identity} is stopping",
        )

    def plan_removal(
        self, current: replicas.ReplicaSet, reply_ages: dict[str, float]
    ) -> messages.ChangeReplicas | None:
        """Return the removal of an unresponsive replica, None if not due."""
        identity = longest_unresponsive(current.learners, reply_ages)
        if reply_ages.get(identity, 0.0) < REMOVE_AFTER_S:
            identity = longest_unresponsive(current.voters, reply_ages)
            if not self.can_remove(identity, current, reply_ages):
                return None
        return messages.ChangeReplicas(
            action=messages.ReplicaAction.REMOVE,
            replica=current.by_identity()[identity],
            reason=f"{identity} has not replied for"
            f" {reply_ages[identity]:.1f} s",
        )

    def can_remove(
        self,
        identity: str,
        current: replicas.ReplicaSet,
        reply_ages: dict[str, float],
    ) -> bool:
        """Return whether a voter is unresponsive and may be removed."""
        if not identity or len(current.voters) <= self.required_voters:
            return False
        unresponsive = {
            i for i, s in reply_ages.items() if s >= UNRESPONSIVE_AFTER_S
        }
        if identity not in unresponsive:
            return False
        tolerated = quorum.failures_tolerated(current, unresponsive)
        return (
            tolerated < self.max_failures
            or reply_ages[identity] >= REMOVE_AFTER_S
        )


def longest_unresponsive(
    candidates: tuple[replicas.Replica, ...], reply_ages: dict[str, float]
) -> str:
    """Return the identity with the oldest last reply, empty if none."""
    known = [r.identity for r in candidates if r.identity in reply_ages]
    return max(known, key=reply_ages.__getitem__, default="")


def requested_set(
    current: replicas.ReplicaSet, message: messages.ChangeReplicas
) -> Result[replicas.ReplicaSet, errors.Failure]:
    """Return the replica set that a change results in, or its refusal."""
    identity = message.replica.identity
    try:
        identity.encode()
        message.replica.address.encode()
    except UnicodeEncodeError as error:
        return refuse(f"the replica cannot be stored: {error}")
    voters = tuple(r for r in current.voters if r.identity != identity)
    # A learner of the same name has an earlier disk that is lost permanently.
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
    """Return the refusal of a membership change."""
    return Error(errors.Failure(errors.ErrorCode.BAD_REQUEST, message))
