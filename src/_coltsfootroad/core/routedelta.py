"""What has changed between two versions of the routes.

The pattern it answers: versions come many times a second, with hundreds of
routes each, and every gateway needs the newest. A whole version takes a
hundred times the bytes of a change of one route.
"""

import attrs

from _coltsfootroad.core import routes

# A place of a route: host and prefix, unique within a version.
RouteKey = tuple[str, str]
# Above this part of the routes a whole version is sent, as reading it is
# about as quick and it heals whatever a gateway may hold.
MAX_CHANGED_SHARE = 0.5


@attrs.frozen(kw_only=True)
class RouteDelta:
    """The way from version `base` to `version`.

    Attributes:
        changed: Routes that are new or different.
        dropped: Places whose routes are gone.
        services: All services if any changed, else None.
        holders: All holders of keys if any changed, else None.
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
    """Return the routes of a version by their places."""
    return {(route.host, route.prefix): route for route in config.routes}


def between(
    old: routes.RouteConfig, new: routes.RouteConfig
) -> RouteDelta | None:
    """Return what changed, None where the whole version is as good."""
    before, after = by_key(old), by_key(new)
    changed = tuple(
        route for place, route in after.items() if before.get(place) != route
    )
    if len(changed) > MAX_CHANGED_SHARE * len(after):
        return None
    return RouteDelta(
        base=old.version,
        version=new.version,
        changed=changed,
        dropped=tuple(place for place in before if place not in after),
        services=new.services if new.services != old.services else None,
        holders=new.holders if new.holders != old.holders else None,
        limits=new.limits if new.limits != old.limits else None,
    )


def apply(
    old: routes.RouteConfig | None, delta: RouteDelta
) -> routes.RouteConfig | None:
    """Return the newer version, None if the delta is not from `old` on."""
    if old is None or old.version != delta.base:
        return None
    found = by_key(old)
    for place in delta.dropped:
        found.pop(place, None)
    found.update({(r.host, r.prefix): r for r in delta.changed})
    return routes.RouteConfig(
        version=delta.version,
        routes=tuple(found.values()),
        services=old.services if delta.services is None else delta.services,
        holders=old.holders if delta.holders is None else delta.holders,
        limits=old.limits if delta.limits is None else delta.limits,
    )
