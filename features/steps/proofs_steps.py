"""Steps for the route versions that watchers count as current."""

from unittest import mock

import attrs
from behave import given
from behave import then
from behave import when

from _coltsfootroad.control import watchcache
from _coltsfootroad.control import watching
from _coltsfootroad.core import addresses
from _coltsfootroad.core import routedelta
from _coltsfootroad.core import routes
from _coltsfootroad.gateway import watch as watch_lib
from features.support import gatewaybed
from features.support import relayhistories
from features.support import virtualloop

NONE = routes.NO_VERSION
REQUESTED_AT_S = 2_000.0
RELAY = relayhistories.RELAY
FROZEN_S = 8.0
OBSERVED_S = 4.0


def number(text: str) -> int:
    """Return the version that a table cell names."""
    return NONE if text == "none" else int(text)


def response(text: str) -> watching.News:
    """Return the response that a table cell names."""
    kind, *rest = text.split()
    empty = watching.News(epoch="e/1", registry_mark=1)
    if kind == "snapshot":
        return attrs.evolve(empty, routes=gatewaybed.config(int(rest[0])))
    if kind == "delta":
        delta = routedelta.RouteDelta(base=int(rest[0]), version=int(rest[2]))
        return attrs.evolve(empty, routes_delta=delta)
    return empty


class GatewayWatcher:
    """A gateway, reduced to its watch of the routes."""

    def __init__(self, held: int):
        self.gateway = gatewaybed.Bed.without_sockets("g1", "za")
        self.gateway.front.apply = lambda limits: None
        if held != NONE:
            self.gateway.adopt(gatewaybed.config(held))
        self.watch = watch_lib.Watch(self.gateway)

    def receive(self, requested: int, reply: watching.News) -> None:
        """Apply a response to a request from a given version."""
        poll_request = attrs.evolve(
            self.watch.next_request(), routes_version=requested
        )
        self.watch.apply_response(poll_request, reply, REQUESTED_AT_S)

    @property
    def version(self) -> int:
        """Return the version held."""
        return self.gateway.view.version

    @property
    def confirmed_at(self) -> float:
        """Return when the version held was known to be current."""
        return self.gateway.view.confirmed_at

    @property
    def next_base_version(self) -> int:
        """Return the version from which the next request asks for changes."""
        return self.watch.next_request().routes_version


class RelayWatcher:
    """A relay, reduced to its watch of the routes."""

    def __init__(self, held: int):
        self.watch_cache = watchcache.WatchCache(RELAY)
        if held != NONE:
            self.watch_cache.routes.adopt(gatewaybed.config(held))

    def receive(self, requested: int, reply: watching.News) -> None:
        """Apply a response to a request from a given version."""
        request = watching.RelayWatch(relay=RELAY, routes_version=requested)
        self.watch_cache.apply_response(
            request, reply, REQUESTED_AT_S, REQUESTED_AT_S + 0.01
        )

    @property
    def version(self) -> int:
        """Return the version held."""
        return self.watch_cache.routes.version

    @property
    def confirmed_at(self) -> float:
        """Return when the version held was known to be current."""
        return self.watch_cache.confirmed_at

    @property
    def next_base_version(self) -> int:
        """Return the version from which the next request asks for changes."""
        return self.watch_cache.next_request(REQUESTED_AT_S, 0.0).routes_version


WATCHERS = {"gateway": GatewayWatcher, "relay": RelayWatcher}


@given("a {kind} that holds version {held}")
def watcher(context, kind, held):
    context.watcher = WATCHERS[kind](number(held))


@when("it requested changes from version {requested} and gets {what}")
def receive_response(context, requested, what):
    context.watcher.receive(number(requested), response(what))


@then("its version is {version} and it is {state}")
def check_version(context, version, state):
    assert context.watcher.version == number(version), context.watcher.version
    is_confirmed = context.watcher.confirmed_at == REQUESTED_AT_S
    assert is_confirmed == (state == "current"), context.watcher.confirmed_at


@then("it requests changes from version {version} the next time")
def requests_from(context, version):
    assert context.watcher.next_base_version == number(version)


# --- deposed leaders ---------------------------------------------------------


@when("the leader is frozen while its successor takes a version")
def leader_is_frozen(context):
    depose(context.world, context.run)


@then("the gateways that reach only the deposed leader get no proof from it")
def no_proof(context):
    check_deposed(context.world, context.run)


def depose(world, run) -> None:
    """Freeze the leader and cut its zone's gateways off from other processes."""
    assert world.leader().name == "replica-0"
    world.isolate("replica-0")
    for name, gateway in world.gateways.items():
        if gateway.settings.availability_zone == "za":
            for process in relayhistories.PROCESSES:
                if process != "replica-0":
                    world.cut(name, process)
    world.frozen["replica-0"] = world.now + FROZEN_S
    run(1.5)
    assert world.leader().name != "replica-0"
    world.put_version()


def check_deposed(world, run) -> None:
    """Check that a deposed leader that runs again confirms no version."""
    put_at = world.acked[-1][0]
    run(FROZEN_S + OBSERVED_S)
    zone_views = [
        gateway.view
        for gateway in world.gateways.values()
        if gateway.settings.availability_zone == "za"
    ]
    assert zone_views
    for view in zone_views:
        assert view.version < world.acked[-1][1]
        assert view.confirmed_at < put_at, view.confirmed_at - put_at


# --- attachments -------------------------------------------------------------


def request(incarnation: int, attachment: int) -> watching.Watch:
    """Return a request of gateway g."""
    member = addresses.Member(
        entry="g",
        incarnation=incarnation,
        address=f"10.0.0.9:{incarnation}",
        availability_zone="za",
    )
    return watching.Watch(
        member=member, attachment=attachment, routes_version=NONE, wait_s=0.4
    )


@given(
    "a relay that gateway g watches with incarnation {incarnation:d} and"
    " attachment {attachment:d}"
)
def watched_relay(context, incarnation, attachment):
    context.watch_cache = watchcache.WatchCache(RELAY)
    context.watch_cache.renew_watcher(
        request(incarnation, attachment), REQUESTED_AT_S
    )
    context.lease_end = context.watch_cache.watchers["g"].until


@when(
    "a request of incarnation {incarnation:d} and attachment {attachment:d}"
    " arrives late"
)
def late_request(context, incarnation, attachment):
    late = request(incarnation, attachment)
    context.watch_cache.renew_watcher(late, REQUESTED_AT_S + 1.0)


@then(
    "the relay reports incarnation {incarnation:d} and attachment"
    " {attachment:d} of gateway g"
)
def reports(context, incarnation, attachment):
    (reported,) = context.watch_cache.next_request(
        REQUESTED_AT_S + 1.0, 0.0
    ).attached
    assert reported.order == (incarnation, attachment), reported.order


@then("the lease of gateway g is not renewed")
def not_renewed(context):
    assert context.watch_cache.watchers["g"].until == context.lease_end


# --- defects -----------------------------------------------------------------

ORIGINAL_STEP_DOWN = watchcache.WatchCache.step_down


def accepts_unfit_delta(original):
    """Return a defective function that confirms the version in any case."""

    def confirm_always(self, *response):
        original(self, *response)
        return True

    return confirm_always


def confirms_at_step_down(self, registry_since, now):
    """Confirm the version held when stepping down."""
    ORIGINAL_STEP_DOWN(self, registry_since, now)
    self.confirmed_at = now


def accepts_any_request(self, request, now):
    """Accept a request without comparing attachments."""
    attached = watching.Attached(
        member=request.member, attachment=request.attachment
    )
    self.unreported[request.member.entry] = attached
    self.watchers[request.member.entry] = watchcache.Watcher(
        attached, now + request.wait_s
    )


def check_unfit_delta(kind: str) -> None:
    """Check that a delta that does not fit confirms no version."""
    with virtualloop.virtual_time():
        subject = WATCHERS[kind](2)
        subject.receive(2, response("delta 3 to 4"))
        assert subject.confirmed_at != REQUESTED_AT_S


def check_deposed_leader() -> None:
    """Check that a deposed leader confirms no version."""
    with relayhistories.fleet(4) as (world, run):
        depose(world, run)
        check_deposed(world, run)


def check_late_request() -> None:
    """Check that a late request changes nothing."""
    watch_cache = watchcache.WatchCache(RELAY)
    watch_cache.renew_watcher(request(2, 3), REQUESTED_AT_S)
    watch_cache.renew_watcher(request(2, 2), REQUESTED_AT_S)
    assert watch_cache.watchers["g"].attached.order == (2, 3)


DEFECTS = {
    "a relay confirms its version when a delta does not fit": (
        watchcache.WatchCache,
        "apply_routes",
        accepts_unfit_delta(watchcache.WatchCache.apply_routes),
        lambda: check_unfit_delta("relay"),
    ),
    "a gateway confirms its version when a delta does not fit": (
        watch_lib.Watch,
        "apply_routes",
        accepts_unfit_delta(watch_lib.Watch.apply_routes),
        lambda: check_unfit_delta("gateway"),
    ),
    "a deposed leader confirms its routes when it steps down": (
        watchcache.WatchCache,
        "step_down",
        confirms_at_step_down,
        check_deposed_leader,
    ),
    "a relay accepts a request of an earlier attachment": (
        watchcache.WatchCache,
        "renew_watcher",
        accepts_any_request,
        check_late_request,
    ),
}


@when('the proof defect "{label}" is planted')
def plant_defect(context, label):
    context.defect = DEFECTS[label]


@then("a scenario of this feature fails")
def detected(context):
    owner, name, defective, check = context.defect
    check()
    with mock.patch.object(owner, name, defective):
        assert relayhistories.fails_check(check), "the defect was not noticed"
