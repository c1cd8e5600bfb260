"""Follows the routes in force by the snapshots and deltas that a watch gets."""

import attrs

from _coltsfootroad.core import routedelta
from _coltsfootroad.core import routes


@attrs.frozen
class Received:
    """What a response brought.

    Attributes:
        config: The version to put in force, None to keep the one held.
        is_current: Whether the version held after this was in force when the
            request was sent.
    """

    config: routes.RouteConfig | None
    is_current: bool


@attrs.define
class RouteSync:
    """Decides what a watcher requests, and what a response proves.

    Attributes:
        wants_snapshot: Whether the next request is for a whole version, as a
            delta did not fit the version held.
    """

    wants_snapshot: bool = False

    def base_version(self, held: routes.RouteConfig | None) -> int:
        """Return the version from which the next response is to begin."""
        if held is None or self.wants_snapshot:
            return routes.NO_VERSION
        return held.version

    def receive(
        self,
        held: routes.RouteConfig | None,
        requested_version: int,
        snapshot: routes.RouteConfig | None,
        delta: routedelta.RouteDelta | None,
    ) -> Received:
        """Take a response to a request from `requested_version` on.

        A delta that does not fit because another response has moved the held
        version on since the request does not call for a snapshot.
        """
        held_version = routes.NO_VERSION if held is None else held.version
        if delta is None or delta.version <= held_version:
            if snapshot is not None:
                self.wants_snapshot = False
            return Received(snapshot, is_current=True)
        config = routedelta.apply(held, delta)
        fits = config is not None
        self.wants_snapshot = not fits and requested_version == held_version
        return Received(config, is_current=fits)
