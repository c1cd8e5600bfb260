"""The live entries or gateways, as reported by the leader."""

import attrs

from _coltsfootroad.core import addresses

# A new leader learns of each member with that member's next request, at most
# 1.2 s later, so its first list is nearly empty. Members of the previous leader
# are kept for somewhat longer than that.
CARRY_OVER_S = 1.6
UNKNOWN_AGE_S = float("inf")


@attrs.define
class MemberView:
    """The members by name, kept over a change of leader.

    Attributes:
        known: Members that count as alive.
        carried_over: Names that only a previous leader has reported.
        changes: Number of changes, so that results computed from the members
            can be cached.
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
        """Apply changes.

        With `from_new_leader`, `changed` holds all members that a new leader
        knows so far. `leader_age_s` is the time for which it has led.
        """
        if from_new_leader:
            self.carried_over = set(self.known)
        self.carried_over -= {member.entry for member in changed}
        removed = set(lost)
        if leader_age_s >= CARRY_OVER_S:
            removed |= self.carried_over
        self.carried_over -= removed
        for name in removed:
            self.known.pop(name, None)
        for member in changed:
            self.known[member.entry] = member
        if from_new_leader or changed or removed:
            self.changes += 1
