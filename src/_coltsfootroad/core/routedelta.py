"""Deltas between two versions of the routes.

Versions change many times a second, contain hundreds of routes, and every
gateway needs the newest one. A whole version takes a hundred times the bytes of
a delta of one route.
"""

import attrs

from _coltsfootroad.core import routes

# Host and prefix of a route, unique within a version.
RouteKey = tuple[str, str]
# With a larger share of changed routes the whole version is sent: it is read
# about as fast, and it repairs whatever state a gateway holds.
MAX_CHANGED_SHARE = 0.5


@attrs.frozen(kw_only=True)
class RouteDelta:
    """The changes from version `base` to `version`.

    Attributes:
        changed: Routes that are new or different.
        dropped: Keys of the removed routes.
        services: All services if any changed, else None.
        holders: All key holders if any changed, else None.
        limits: The limits if they changed, else None.
    """

    base: int
    version: int
    changed: tuple[routes.Route, ...] = ()
    dropped: tuple[RouteKey, ...] = ()
    services: tuple[routes.ServiceSpec, ...] | None = None
    holders: tuple[routes.KeyHolder, ...] | None = None
    limits: routes.CallerLimits | None = None


def by_key(config: routes.RouteConfig) -> dict[RouteKey, routes.Route]:
    """Return the routes of a version by host and prefix."""
    return {(route.host, route.prefix): route for route in config.routes}


def between(
    old: routes.RouteConfig, new: routes.RouteConfig
) -> RouteDelta | None:
    """Return the delta, None if the whole version should be sent."""
    before, after = by_key(old), by_key(new)
    changed = tuple(
        route for key, route in after.items() if before.get(key) != route
    )
    if len(changed) > MAX_CHANGED_SHARE * len(after):
        return None
    return RouteDelta(
        base=old.version,
        version=new.version,
        changed=changed,
        dropped=tuple(key for key in before if key not in after),
        services=new.services if new.services != old.services else None,
        holders=new.holders if new.holders != old.holders else None,
        limits=new.limits if new.limits != old.limits else None,
    )


def apply(
    old: routes.RouteConfig | None, delta: RouteDelta
) -> routes.RouteConfig | None:
    """Return the newer version, None if `old` is not the base of the delta."""
    if old is None or old.version != delta.base:
        return None
    by_route_key = by_key(old)
    for key in delta.dropped:
        by_route_key.pop(key, None)
    by_route_key.update({(r.host, r.prefix): r for r in delta.changed})
    return routes.RouteConfig(
        version=delta.version,
        routes=tuple(by_route_key.values()),
        services=old.services if delta.services is None else delta.services,
        holders=old.holders if delta.holders is None else delta.holders,
        limits=old.limits if delta.limits is None else delta.limits,
    )
