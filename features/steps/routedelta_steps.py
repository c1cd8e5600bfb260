"""Steps on deltas between versions of the routes."""

import attrs
from behave import given
from behave import then
from behave import when

from _coltsfootroad.control import messages
from _coltsfootroad.control import routestore
from _coltsfootroad.control import watching
from _coltsfootroad.core import routedelta
from _coltsfootroad.core import routes
from _coltsfootroad.gateway import watch as watch_lib
from _coltsfootroad.shell import wireformats
from features.support import gatewaybed


def route(number: int) -> routes.Route:
    """Return a route with a prefix of its own."""
    first = gatewaybed.config().routes[0]
    return attrs.evolve(first, name=f"r{number}", prefix=f"/p{number}/")


def without_listener():
    """Return a gateway whose listener ignores limits."""
    gateway = gatewaybed.Bed.without_sockets("g1")
    gateway.front.apply = lambda _limits: None
    return gateway


def put(context, config: routes.RouteConfig) -> None:
    """Put a version in force."""
    context.store.put(messages.PutRoutes(config=config, source=b"x"))


@given("a version of {count:d} routes")
def version_of(context, count):
    found = tuple(route(number) for number in range(count))
    context.old = gatewaybed.config(5, routes=found)
    context.store = routestore.RouteStore()
    put(context, context.old)


@when("the next version {changes}")
def next_version(context, changes):
    old = context.old
    wanted = {
        "changes nothing": {},
        "adds 2 routes": {"routes": (*old.routes, route(90), route(91))},
        "drops 3 routes": {"routes": old.routes[3:]},
        "moves a route": {
            "routes": (
                attrs.evolve(old.routes[0], prefix="/new/"),
                *old.routes[1:],
            )
        },
        "revokes a key": {
            "holders": (routes.KeyHolder(workspace="acme", keys=()),)
        },
        "changes the limits": {"limits": routes.CallerLimits(body_bytes=1)},
        "adds a service": {
            "services": (*old.services, routes.ServiceSpec(name="more"))
        },
        "changes all routes": {
            "routes": tuple(attrs.evolve(r, timeout_s=9.0) for r in old.routes)
        },
    }
    context.new = attrs.evolve(old, version=8, **wanted[changes])
    put(context, context.new)


@when("{count:d} versions follow that add a route each")
def many_versions(context, count):
    context.new = context.old
    for number in range(count):
        context.new = attrs.evolve(
            context.new,
            version=context.new.version + 1,
            routes=(*context.new.routes, route(100 + number)),
        )
        put(context, context.new)


def news(context) -> watching.News:
    """Return the response to a gateway with the old version."""
    snapshot, delta = context.store.news(context.old.version)
    return watching.News(
        epoch="e", registry_mark=1, routes=snapshot, routes_delta=delta
    )


@then("it is sent as a {form}, in at most {most:d} bytes")
def sent_as(context, form, most):
    found = news(context)
    assert (found.routes_delta is not None) == (form == "delta")
    assert not found.is_empty
    size = len(wireformats.CALLS.encode(found))
    assert size <= most, size


@then("a gateway that applies it has the next version in force")
@then("a gateway that applies the update has the next version in force")
def in_force(context):
    gateway = without_listener()
    gateway.view.adopt(context.old)
    decoded = wireformats.CALLS.decode(
        wireformats.CALLS.encode(news(context))
    ).ok
    watch = watch_lib.Watch(gateway)
    assert watch.apply_routes(watch.next_request(), decoded)
    config = gateway.view.table.config
    assert set(config.routes) == set(context.new.routes)
    assert attrs.evolve(config, routes=()) == attrs.evolve(
        context.new, routes=()
    )


@when("a gateway {state} gets a delta to the next version")
def does_not_fit(context, state):
    context.gateway = without_listener()
    if state == "at another version":
        context.gateway.view.adopt(attrs.evolve(context.old, version=2))
    context.before = context.gateway.view.version
    delta = routedelta.RouteDelta(base=5, version=6)
    watch = watch_lib.Watch(context.gateway)
    context.taken = watch.apply_routes(
        watch.next_request(),
        watching.News(epoch="e", registry_mark=1, routes_delta=delta),
    )
    context.watch = watch


@then("it keeps its version and requests a snapshot")
def requests_snapshot(context):
    assert not context.taken
    assert context.gateway.view.version == context.before
    assert context.watch.next_request().routes_version == routes.NO_VERSION


@then("at most {most:d} versions are stored and an old gateway gets a snapshot")
def bounded(context, most):
    assert len(context.store.recent) <= most
    assert news(context).routes is context.new
