"""Decides whether an entry's configuration counts as current."""

import attrs

from _coltsfootroad.core import addresses
from _coltsfootroad.core import config as config_lib
from _coltsfootroad.core import members as members_lib


@attrs.define
class Freshness:
    """An entry's configuration and the proof that it is current.

    An answered heartbeat proves that the version was current when the heartbeat
    was *sent*. Past the staleness bound the entry fences itself: it cannot
    distinguish its own isolation from a loss of the quorum, and further service
    could ignore a limit or a revocation by operators.
    """

    version: int = -1
    document: dict = attrs.Factory(dict)
    config: config_lib.Config = attrs.Factory(config_lib.Config)
    confirmed_at: float = float("-inf")
    member_view: members_lib.MemberView = attrs.Factory(members_lib.MemberView)

    @property
    def members(self) -> tuple[addresses.Member, ...]:
        """Return the live entries as last reported."""
        return tuple(self.member_view.known.values())

    def confirm(self, requested_at: float) -> None:
        """Record that the version was current at `requested_at`."""
        self.confirmed_at = max(self.confirmed_at, requested_at)

    def is_current(self, now: float) -> bool:
        """Return whether the proof is fresh enough to admit requests."""
        bound = self.config.fleet.staleness_bound_s
        return self.version >= 0 and now - self.confirmed_at < bound

    def stale_at(self) -> float:
        """Return the time at which the present proof expires."""
        return self.confirmed_at + self.config.fleet.staleness_bound_s

    def adopt(
        self, version: int, document: dict, config: config_lib.Config
    ) -> bool:
        """Put a version in force if it is newer than the present one."""
        if version <= self.version:
            return False
        self.version = version
        self.document = document
        self.config = config
        return True
