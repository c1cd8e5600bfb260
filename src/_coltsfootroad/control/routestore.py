"""The version of the routes in force; the highest version wins."""

import attrs

from _coltsfootroad.control import messages
from _coltsfootroad.core import routedelta
from _coltsfootroad.core import routes as routes_lib

# Versions to which changes can be told: in a storm of them a gateway that does
# not ask for two seconds is some dozens behind.
MAX_RECENT = 32


@attrs.define
class RouteStore:
    """Keeps one complete version and the document it was read from.

    Attributes:
        recent: Earlier versions since the process started, newest last.
        deltas: Changes up to the version in force, by the version they
            begin at; None for those that have to be sent whole.
    """

    config: routes_lib.RouteConfig | None = None
    source: bytes = b""
    recent: dict[int, routes_lib.RouteConfig] = attrs.Factory(dict)
    deltas: dict[int, routedelta.RouteDelta | None] = attrs.Factory(dict)

    @property
    def version(self) -> int:
        """Return the version in force."""
        return (
            routes_lib.NO_VERSION
            if self.config is None
            else self.config.version
        )

    def put(self, command: messages.PutRoutes) -> messages.RoutesCopy:
        """Take a higher version; acknowledge any other without a change.

        An operator resends what got no clear answer, also after a later
        version; whatever came under a number first keeps that number.
        """
        if self.adopt(command.config):
            self.source = command.source
        return messages.RoutesCopy(version=self.version)

    def adopt(self, config: routes_lib.RouteConfig) -> bool:
        """Put a higher version in force; never a lower one."""
        if config.version <= self.version:
            return False
        self.retain_current()
        self.config = config
        return True

    def retain_current(self) -> None:
        """Keep the version in force, which is about to be replaced."""
        self.deltas.clear()
        if self.config is not None:
            self.recent[self.version] = self.config
        while len(self.recent) > MAX_RECENT:
            del self.recent[next(iter(self.recent))]

    def news(
        self, version: int
    ) -> tuple[routes_lib.RouteConfig | None, routedelta.RouteDelta | None]:
        """Return what a gateway with some version lacks, whole or as changes.

        Nothing, where it has the version in force or a later one.
        """
        if self.version <= version:
            return None, None
        if version not in self.deltas:
            known = self.recent.get(version)
            found = routedelta.between(known, self.config) if known else None
            self.deltas[version] = found
        delta = self.deltas[version]
        return (None, delta) if delta is not None else (self.config, None)
