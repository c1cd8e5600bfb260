"""How many more losses a set of replicas bears, and who of it is missing."""

import attrs

from _coltsfootroad.control import replicas


@attrs.frozen(kw_only=True)
class QuorumView:
    """What one replica knows of the voters.

    Attributes:
        bears: Voters that may still be lost with a quorum left; below zero
            when there is none now, None for a follower, which hears only its
            leader.
        missing: Seconds for which each voter that does not answer has been
            silent, by identity; None for one that was never heard.
    """

    bears: int | None
    missing: dict[str, float | None]

    @property
    def is_lost(self) -> bool:
        """Return whether too few voters answer for anything to be decided."""
        return self.bears is not None and self.bears < 0


def losses_borne(current: replicas.ReplicaSet, silent: set[str]) -> int:
    """Return how many more voters may fall silent with a quorum left."""
    spare = spare_votes(current.voters, silent)
    if not current.is_joint:
        return spare
    return min(spare, spare_votes(current.old_voters, silent))


def spare_votes(voters: tuple[replicas.Replica, ...], silent: set[str]) -> int:
    """Return by how many the voters that answer exceed a majority."""
    answering = sum(1 for voter in voters if voter.identity not in silent)
    return answering - (len(voters) // 2 + 1)
