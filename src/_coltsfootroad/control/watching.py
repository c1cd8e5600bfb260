"""How gateways and relays ask what is new, and what they are told."""

import attrs

from _coltsfootroad.core import addresses
from _coltsfootroad.core import registry
from _coltsfootroad.core import routedelta
from _coltsfootroad.core import routes as routes_lib


@attrs.frozen(kw_only=True)
class Watch:
    """Ask for what is new; the answer may be held back for `wait_s`.

    Attributes:
        member: The gateway itself.
        routes_version: Version in force at the gateway, -1 for none.
        epoch: Epoch of the registry that `registry_mark` belongs to.
        registry_mark: Position up to which the gateway knows the registry.
        announcements: What the gateway knows of endpoints, for a leader
            that is new and has to learn it again.
        wait_s: Seconds for which an answer without news may be held back.
    """

    member: addresses.Member
    routes_version: int
    epoch: str = ""
    registry_mark: int = 0
    announcements: tuple[registry.Announcement, ...] = ()
    wait_s: float = 0.0


@attrs.frozen(kw_only=True)
class News:
    """What is new since a watch; proves the version as of the asking.

    Attributes:
        epoch: Changes when the registry started anew.
        registry_mark: Position that the gateway knows after this.
        routes: Newer version of the routes, if it has to be told whole.
        routes_delta: Changes to a newer version of the routes.
        members: Live gateways that changed since the mark.
        lost_members: Gateways that are gone since the mark.
        announcements: Endpoints changed since the mark.
        gone: Endpoints whose lease ended since the mark.
        left: Endpoints that signed off since the mark, for good.
        replicas: Addresses of the replicas of the control state.
        registry_age_s: Seconds since the leader began to hear endpoints.
    """

    epoch: str
    registry_mark: int
    registry_age_s: float = 0.0
    routes: routes_lib.RouteConfig | None = None
    routes_delta: routedelta.RouteDelta | None = None
    members: tuple[addresses.Member, ...] = ()
    lost_members: tuple[str, ...] = ()
    announcements: tuple[registry.Announcement, ...] = ()
    gone: tuple[str, ...] = ()
    left: tuple[registry.Announcement, ...] = ()
    replicas: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing that a gateway has to take."""
        return self.routes is None and not (
            self.routes_delta
            or self.members
            or self.lost_members
            or self.announcements
            or self.gone
            or self.left
        )
