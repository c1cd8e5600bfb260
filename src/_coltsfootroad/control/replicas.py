"""Replica sets and their quorums."""

import attrs


@attrs.frozen(kw_only=True)
class Replica:
    """One replica, identified by its name and its disk.

    A replica that restarts with an empty disk has a new `disk` and therefore a
    new identity. Under its old identity it could vote twice in one term.
    """

    name: str
    disk: str
    address: str

    @property
    def identity(self) -> str:
        """Return the identity under which it votes and acknowledges."""
        return f"{self.name}#{self.disk}"


@attrs.frozen(kw_only=True)
class ReplicaSet:
    """Voters and learners.

    `old_voters` are the previous voters during joint consensus, else empty.
    """

    voters: tuple[Replica, ...] = ()
    old_voters: tuple[Replica, ...] = ()
    learners: tuple[Replica, ...] = ()

    @property
    def is_joint(self) -> bool:
        """Return whether this is a joint set of old and new voters."""
        return bool(self.old_voters)

    def by_identity(self) -> dict[str, Replica]:
        """Return all replicas by identity."""
        members = self.voters + self.old_voters + self.learners
        return {replica.identity: replica for replica in members}

    def voter_identities(self) -> set[str]:
        """Return the identities of new and old voters."""
        return {r.identity for r in self.voters + self.old_voters}

    def has_quorum(self, identities: set[str]) -> bool:
        """Return whether the identities are a majority of each voter set."""
        if not is_majority(self.voters, identities):
            return False
        return not self.old_voters or is_majority(self.old_voters, identities)

    def quorum_value(self, values: dict[str, float]) -> float:
        """Return the largest value that a quorum has reached.

        Values are log indexes or times, by identity.
        """
        reached = majority_value(self.voters, values)
        if not self.old_voters:
            return reached
        return min(reached, majority_value(self.old_voters, values))


def is_majority(voters: tuple[Replica, ...], identities: set[str]) -> bool:
    """Return whether the identities include more than half of the voters."""
    count = sum(1 for r in voters if r.identity in identities)
    return count > len(voters) // 2


def majority_value(
    voters: tuple[Replica, ...], values: dict[str, float]
) -> float:
    """Return the largest value that more than half of the voters reached."""
    descending = sorted(
        (values.get(r.identity, float("-inf")) for r in voters), reverse=True
    )
    return descending[len(descending) // 2] if descending else float("-inf")
