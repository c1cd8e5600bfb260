"""The set of replicas and what counts as a quorum of it."""

import attrs


@attrs.frozen(kw_only=True)
class Replica:
    """One replica; its identity names its disk.

    A replica that comes back with an empty disk has a new `disk` and so is
    a stranger: as its old self it could vote twice in one term.
    """

    name: str
    disk: str
    address: str

    @property
    def identity(self) -> str:
        """Return the identity that votes and acknowledges."""
        return f"{self.name}#{self.disk}"


@attrs.frozen(kw_only=True)
class ReplicaSet:
    """Voters, learners, and during a change also the voters before it."""

    voters: tuple[Replica, ...] = ()
    old_voters: tuple[Replica, ...] = ()
    learners: tuple[Replica, ...] = ()

    @property
    def is_joint(self) -> bool:
        """Return whether a change of voters is under way."""
        return bool(self.old_voters)

    def by_identity(self) -> dict[str, Replica]:
        """Return all replicas by identity."""
        members = self.voters + self.old_voters + self.learners
        return {replica.identity: replica for replica in members}

    def voter_identities(self) -> set[str]:
        """Return the identities that may vote now."""
        return {r.identity for r in self.voters + self.old_voters}

    def has_quorum(self, identities: set[str]) -> bool:
        """Return whether the identities are a majority of each voter set."""
        if not is_majority(self.voters, identities):
            return False
        return not self.old_voters or is_majority(self.old_voters, identities)

    def quorum_value(self, values: dict[str, float]) -> float:
        """Return the largest value that a quorum has reached."""
        reached = majority_value(self.voters, values)
        if not self.old_voters:
            return reached
        return min(reached, majority_value(self.old_voters, values))


def is_majority(voters: tuple[Replica, ...], identities: set[str]) -> bool:
    """Return whether more than half of the voters are among identities."""
    count = sum(1 for r in voters if r.identity in identities)
    return count > len(voters) // 2


def majority_value(
    voters: tuple[Replica, ...], values: dict[str, float]
) -> float:
    """Return the largest value that more than half of the voters reached."""
    found = sorted(
        (values.get(r.identity, float("-inf")) for r in voters), reverse=True
    )
    return found[len(found) // 2] if found else float("-inf")
