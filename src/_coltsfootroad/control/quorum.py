"""Fault tolerance of a replica set, and which of its voters are unavailable."""

import attrs

from _coltsfootroad.control import replicas


@attrs.frozen(kw_only=True)
class QuorumView:
    """What one replica knows of the voters.

    Attributes:
        failures_tolerated: Voters that may still fail with a quorum left;
            negative without one, None on a follower, to which only its leader
            sends.
        silent: Seconds since the last message of each unresponsive voter, by
            identity; None where there was none.
        lagging: Seconds for which each voter that responds has lacked
            committed entries, by identity; only the leader knows.
    """

    failures_tolerated: int | None
    silent: dict[str, float | None] = attrs.Factory(dict)
    lagging: dict[str, float] = attrs.Factory(dict)

    @property
    def is_lost(self) -> bool:
        """Return whether too few voters are available for any decision."""
        return (
            self.failures_tolerated is not None and self.failures_tolerated < 0
        )


def failures_tolerated(
    current: replicas.ReplicaSet, unavailable: set[str]
) -> int:
    """Return how many more voters may fail with a quorum left."""
    spare = spare_votes(current.voters, unavailable)
    if not current.is_joint:
        return spare
    return min(spare, spare_votes(current.old_voters, unavailable))


def spare_votes(
    voters: tuple[replicas.Replica, ...], unavailable: set[str]
) -> int:
    """Return by how many the available voters exceed a majority."""
    available = sum(1 for v in voters if v.identity not in unavailable)
    return available - (len(voters) // 2 + 1)
