"""Tracks the routes in force from the snapshots and deltas of a watch."""

import attrs

from _coltsfootroad.core import routedelta
from _coltsfootroad.core import routes


@attrs.frozen
class Received:
    """Result of a response.

    Attributes:
        config: The version to put in force, None to keep the one held.
        is_current: Whether the version held afterwards was in force when the
            request was sent.
    """

    config: routes.RouteConfig | None
    is_current: bool


@attrs.define
class RouteSync:
    """Decides which version a watcher requests and what a response proves.

    Attributes:
        wants_snapshot: Whether the next request is for a snapshot, as a delta
            did not fit the version held.
    """

    wants_snapshot: bool = False

    def base_version(self, held: routes.RouteConfig | None) -> int:
        """Return the base version of the next response."""
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
        """Process the response to a request with base `requested_version`.

        No snapshot is needed if a delta does not fit only because another
        response has replaced the held version since the request.
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
