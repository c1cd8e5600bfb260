"""The live entries or gateways, as the leader tells of them."""

import attrs

from _coltsfootroad.core import addresses

# A new leader hears of each member with that one's next question, 1.2 s
# later at the most; its first list is nearly empty. Members that the leader
# before knew stay for somewhat longer than that.
CARRY_OVER_S = 1.6
UNKNOWN_AGE_S = float("inf")


@attrs.define
class MemberView:
    """The members by name, kept over a change of leader.

    Attributes:
        known: The members that count as alive.
        carried: Names that only a former leader has told of.
        changes: Number of changes so far, so that users may keep what they
            work out from the members.
    """

    known: dict[str, addresses.Member] = attrs.Factory(dict)
    carried_over: set[str] = attrs.Factory(set)
    changes: int = 0

    def learn(
        self,
        changed: tuple[addresses.Member, ...],
        lost: tuple[str, ...],
        from_new_leader: bool,
        leader_age_s: float = UNKNOWN_AGE_S,
    ) -> None:
        """Take changes, or `anew` all that a new leader has heard so far.

        `leader_age_s` says for how long that leader has been listening.
        """
        if from_new_leader:
            self.carried_over = set(self.known)
        self.carried_over -= {member.entry for member in changed}
        gone = set(lost)
        if leader_age_s >= CARRY_OVER_S:
            gone |= self.carried_over
        self.carried_over -= gone
        for name in gone:
            self.known.pop(name, None)
        for member in changed:
            self.known[member.entry] = member
        if from_new_leader or changed or gone:
            self.changes += 1
