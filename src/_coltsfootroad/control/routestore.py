"""Stores the current route configuration, which is the highest version."""

import attrs

from _coltsfootroad.control import messages
from _coltsfootroad.core import routedelta
from _coltsfootroad.core import routes as routes_lib

# Earlier versions from which deltas can be computed. In a burst of changes, a
# gateway that does not poll for two seconds falls dozens of versions behind.
MAX_RECENT = 32


@attrs.define
class RouteStore:
    """Holds the current version and the document that it was parsed from.

    Attributes:
        config: The current version, None before the first one.
        source: The document that it was parsed from.
        recent: Earlier versions since the process started, newest last.
        deltas: Cached deltas to the current version by base version; None if
            the complete version has to be sent.
    """

    config: routes_lib.RouteConfig | None = None
    source: bytes = b""
    recent: dict[int, routes_lib.RouteConfig] = attrs.Factory(dict)
    deltas: dict[int, routedelta.RouteDelta | None] = attrs.Factory(dict)

    @property
    def version(self) -> int:
        """Return the current version."""
        return (
            routes_lib.NO_VERSION
            if self.config is None
            else self.config.version
        )

    def put(self, command: messages.PutRoutes) -> messages.RoutesCopy:
        """Store a higher version; acknowledge any other without a change.

        An operator resends a version whose outcome is unknown, possibly after a
        later version is in use. The first configuration that was stored under
        a version number keeps it.
        """
        if self.adopt(command.config):
            self.source = command.source
        return messages.RoutesCopy(version=self.version)

    def adopt(self, config: routes_lib.RouteConfig) -> bool:
        """Apply a version if it is higher; return whether it was applied."""
        if config.version <= self.version:
            return False
        self.retain_current()
        self.config = config
        return True

    def retain_current(self) -> None:
        """Keep the current version as a base for deltas."""
        self.deltas.clear()
        if self.config is not None:
            self.recent[self.version] = self.config
        while len(self.recent) > MAX_RECENT:
            del self.recent[next(iter(self.recent))]

    def update_since(
        self, version: int
    ) -> tuple[routes_lib.RouteConfig | None, routedelta.RouteDelta | None]:
        """Return the update for a gateway: a complete version or a delta.

        Both are None if its version is the current one or a later one.
        """
        if self.version <= version:
            return None, None
        if version not in self.deltas:
            base = self.recent.get(version)
            computed = routedelta.between(base, self.config) if base else None
            self.deltas[version] = computed
        delta = self.deltas[version]
        return (None, delta) if delta is not None else (self.config, None)
