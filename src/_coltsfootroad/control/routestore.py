"""The version of the routes in force; the highest version wins."""

import attrs

from _coltsfootroad.control import messages
from _coltsfootroad.core import routes as routes_lib

NO_VERSION = -1


@attrs.define
class RouteStore:
    """Keeps one complete version and the document it was read from."""

    config: routes_lib.RouteConfig | None = None
    source: bytes = b""

    @property
    def version(self) -> int:
        """Return the version in force."""
        return NO_VERSION if self.config is None else self.config.version

    def put(self, command: messages.PutRoutes) -> messages.RoutesCopy:
        """Take a higher version; acknowledge any other without a change.

        An operator resends what got no clear answer, also after a later
        version; whatever came under a number first keeps that number.
        """
        if command.config.version > self.version:
            self.config = command.config
            self.source = command.source
        return messages.RoutesCopy(version=self.version)

    def newer_than(self, version: int) -> routes_lib.RouteConfig | None:
        """Return the version in force if it is above the given one."""
        return self.config if self.version > version else None
