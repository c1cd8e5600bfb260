"""Fault tolerance of a replica set, and its unavailable voters."""

import attrs

from _coltsfootroad.control import replicas


@attrs.frozen(kw_only=True)
class QuorumView:
    """Availability of the voters, as observed by one replica.

    Attributes:
        failures_tolerated: Number of further voters that may fail without the
            loss of the quorum; negative if it is lost, None on a follower,
            which receives messages of its leader only.
        silent: Seconds since the last message of each unresponsive voter, by
            identity; None if none has arrived.
        lagging: Seconds for which each responsive voter has lacked committed
            entries, by identity; known to the leader only.
    """

    failures_tolerated: int | None
    silent: dict[str, float | None] = attrs.Factory(dict)
    lagging: dict[str, float] = attrs.Factory(dict)

    @property
    def is_lost(self) -> bool:
        """Return whether fewer voters than a quorum are available."""
        return (
            self.failures_tolerated is not None and self.failures_tolerated < 0
        )


def failures_tolerated(
    current: replicas.ReplicaSet, unavailable: set[str]
) -> int:
    """Return how many more voters may fail without losing the quorum.

    A joint set needs a majority of the old and of the new voters.
    """
    spare = spare_votes(current.voters, unavailable)
    if not current.is_joint:
        return spare
    return min(spare, spare_votes(current.old_voters, unavailable))


def spare_votes(
    voters: tuple[replicas.Replica, ...], unavailable: set[str]
) -> int:
    """Return the number of available voters beyond a majority."""
    available = sum(1 for v in voters if v.identity not in unavailable)
    return available - (len(voters) // 2 + 1)
