"""The routes in force at a gateway and the proof that they are current."""

import attrs

from _coltsfootroad.core import addresses
from _coltsfootroad.core import members as members_lib
from _coltsfootroad.core import rotation as rotation_lib
from _coltsfootroad.core import routes

NEVER = float("-inf")


@attrs.define
class RouteView:
    """One version of the routes; never goes back within a process.

    Times are of the boot clock, which includes suspension: a vm that resumes
    after a pause finds its proof too old at once.

    Attributes:
        staleness_bound_s: Age from which the proof is no longer valid.
        confirmed_at: Time at which the last answered watch was *sent*.
    """

    staleness_bound_s: float
    table: routes.RouteTable | None = None
    confirmed_at: float = NEVER
    member_view: members_lib.MemberView = attrs.Factory(members_lib.MemberView)
    rotation: rotation_lib.Rotation = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.rotation = rotation_lib.Rotation(self.member_view)

    @property
    def members(self) -> dict[str, addresses.Member]:
        """Return the live gateways by name."""
        return self.member_view.known

    @property
    def config(self) -> routes.RouteConfig | None:
        """Return the routes in force."""
        return None if self.table is None else self.table.config

    @property
    def version(self) -> int:
        """Return the version in force, `NO_VERSION` for none."""
        config = self.config
        return routes.NO_VERSION if config is None else config.version

    def adopt(self, config: routes.RouteConfig) -> bool:
        """Put a version in force if it is higher than the present one."""
        if config.version <= self.version:
            return False
        self.table = routes.RouteTable(config)
        return True

    def confirm(self, requested_at: float) -> None:
        """Record that the version was current at `requested_at`."""
        self.confirmed_at = max(self.confirmed_at, requested_at)

    def age_s(self, now: float) -> float:
        """Return the age of the proof."""
        return now - self.confirmed_at

    def is_current(self, now: float) -> bool:
        """Return whether the proof is fresh enough to send requests."""
        return (
            self.table is not None and self.age_s(now) < self.staleness_bound_s
        )
