"""Steps on what watchers of the routes count as current."""

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
ASKED_AT_S = 2_000.0
RELAY = relayhistories.RELAY
FROZEN_S = 8.0
OBSERVED_S = 4.0


def number(text: str) -> int:
    """Return a version of a table."""
    return NONE if text == "none" else int(text)


def response(text: str) -> watching.News:
    """Return the response that a table names."""
    kind, *rest = text.split()
    empty = watching.News(epoch="e/1", registry_mark=1)
    if kind == "snapshot":
        return attrs.evolve(empty, routes=gatewaybed.config(int(rest[0])))
    if kind == "delta":
        delta = routedelta.RouteDelta(base=int(rest[0]), version=int(rest[2]))
        return attrs.evolve(empty, routes_delta=delta)
    return empty


class GatewayWatcher:
    """A gateway, as far as it follows the version in force."""

    def __init__(self, held: int):
        self.gateway = gatewaybed.Bed.without_sockets("g1", "za")
        self.gateway.front.apply = lambda limits: None
        if held != NONE:
            self.gateway.adopt(gatewaybed.config(held))
        self.watch = watch_lib.Watch(self.gateway)

    def receive(self, asked: int, news: watching.News) -> None:
        """Take a response to a request that named a version."""
        question = attrs.evolve(self.watch.question(), routes_version=asked)
        self.watch.take(question, news, ASKED_AT_S)

    @property
    def version(self) -> int:
        """Return the version held."""
        return self.gateway.view.version

    @property
    def proved_at(self) -> float:
        """Return when the version held was surely current."""
        return self.gateway.view.confirmed_at

    @property
    def asks_from(self) -> int:
        """Return the version that the next request names."""
        return self.watch.question().routes_version


class RelayWatcher:
    """A relay, as far as it follows the version in force."""

    def __init__(self, held: int):
        self.watch_cache = watchcache.WatchCache(RELAY)
        if held != NONE:
            self.watch_cache.routes.adopt(gatewaybed.config(held))

    def receive(self, asked: int, news: watching.News) -> None:
        """Take a response to a request that named a version."""
        request = watching.RelayWatch(relay=RELAY, routes_version=asked)
        self.watch_cache.apply_response(
            request, news, ASKED_AT_S, ASKED_AT_S + 0.01
        )

    @property
    def version(self) -> int:
        """Return the version held."""
        return self.watch_cache.routes.version

    @property
    def proved_at(self) -> float:
        """Return when the version held was surely current."""
        return self.watch_cache.confirmed_at

    @property
    def asks_from(self) -> int:
        """Return the version that the next request names."""
        return self.watch_cache.next_request(ASKED_AT_S, 0.0).routes_version


WATCHERS = {"gateway": GatewayWatcher, "relay": RelayWatcher}


@given("a {kind} that holds version {held}")
def watcher(context, kind, held):
    context.watcher = WATCHERS[kind](number(held))


@when("it asked from version {asked} and gets {what}")
def gets(context, asked, what):
    context.watcher.receive(number(asked), response(what))


@then("its version is {version} and it is {current}")
def holds(context, version, current):
    assert context.watcher.version == number(version), context.watcher.version
    is_proved = context.watcher.proved_at == ASKED_AT_S
    assert is_proved == (current == "proved"), context.watcher.proved_at


@then("it asks from version {version} the next time")
def asks_from(context, version):
    assert context.watcher.asks_from == number(version)


# --- deposed leaders ---------------------------------------------------------


@when("the leader stands still while another one takes a version")
def leader_stands_still(context):
    depose(context.world, context.go)


@then("the gateways that reach only the deposed leader have no proof from it")
def no_proof(context):
    check_deposed(context.world, context.go)


def depose(world, go) -> None:
    """Freeze the leader, and leave the gateways of its zone nobody else."""
    assert world.leader().name == "replica-0"
    world.isolate("replica-0")
    for name, gateway in world.gateways.items():
        if gateway.settings.availability_zone == "za":
            for process in relayhistories.PROCESSES:
                if process != "replica-0":
                    world.cut(name, process)
    world.frozen["replica-0"] = world.now + FROZEN_S
    go(1.5)
    assert world.leader().name != "replica-0"
    world.put_version()


def check_deposed(world, go) -> None:
    """Check that a deposed leader that runs again proves nothing."""
    put_at = world.acked[-1][0]
    go(FROZEN_S + OBSERVED_S)
    near = [
        gateway.view
        for gateway in world.gateways.values()
        if gateway.settings.availability_zone == "za"
    ]
    assert near
    for view in near:
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
        request(incarnation, attachment), ASKED_AT_S
    )
    context.lease_end = context.watch_cache.watchers["g"].until


@when(
    "a request of incarnation {incarnation:d} and attachment {attachment:d}"
    " arrives late"
)
def late_request(context, incarnation, attachment):
    late = request(incarnation, attachment)
    context.watch_cache.renew_watcher(late, ASKED_AT_S + 1.0)


@then(
    "the relay reports incarnation {incarnation:d} and attachment"
    " {attachment:d} of gateway g"
)
def reports(context, incarnation, attachment):
    (reported,) = context.watch_cache.next_request(
        ASKED_AT_S + 1.0, 0.0
    ).attached
    assert reported.order == (incarnation, attachment), reported.order


@then("the lease of gateway g is not renewed")
def not_renewed(context):
    assert context.watch_cache.watchers["g"].until == context.lease_end


# --- defects -----------------------------------------------------------------

RIGHT_STEP_DOWN = watchcache.WatchCache.step_down


def proves_misfit(right):
    """Return a change of `take_routes` that counts a misfit as a proof."""

    def take_routes(self, *response):
        right(self, *response)
        return True

    return take_routes


def proves_stepping_down(self, registry_since, now):
    """Count the version held as current at the end of the own term."""
    RIGHT_STEP_DOWN(self, registry_since, now)
    self.confirmed_at = now


def takes_any_watcher(self, request, now):
    """Take a request whatever is known of the gateway."""
    attached = watching.Attached(
        member=request.member, attachment=request.attachment
    )
    self.unreported[request.member.entry] = attached
    self.watchers[request.member.entry] = watchcache.Watcher(
        attached, now + request.wait_s
    )


def check_misfit(kind: str) -> None:
    """Check that a delta that does not fit proves nothing."""
    with virtualloop.virtual_time():
        subject = WATCHERS[kind](2)
        subject.receive(2, response("delta 3 to 4"))
        assert subject.proved_at != ASKED_AT_S


def check_stepping_down() -> None:
    """Check that a deposed leader proves nothing."""
    with relayhistories.fleet(4) as (world, go):
        depose(world, go)
        check_deposed(world, go)


def check_late_request() -> None:
    """Check that a late request changes nothing."""
    watch_cache = watchcache.WatchCache(RELAY)
    watch_cache.renew_watcher(request(2, 3), ASKED_AT_S)
    watch_cache.renew_watcher(request(2, 2), ASKED_AT_S)
    assert watch_cache.watchers["g"].attached.order == (2, 3)


DEFECTS = {
    "a relay proves the version held when a delta does not fit": (
        watchcache.WatchCache,
        "apply_routes",
        proves_misfit(watchcache.WatchCache.apply_routes),
        lambda: check_misfit("relay"),
    ),
    "a gateway proves the version held when a delta does not fit": (
        watch_lib.Watch,
        "take_routes",
        proves_misfit(watch_lib.Watch.take_routes),
        lambda: check_misfit("gateway"),
    ),
    "a deposed leader proves its routes from when it stepped down": (
        watchcache.WatchCache,
        "step_down",
        proves_stepping_down,
        check_stepping_down,
    ),
    "a relay takes a request of an earlier attachment": (
        watchcache.WatchCache,
        "renew_watcher",
        takes_any_watcher,
        check_late_request,
    ),
}


@when('the proof defect "{label}" is planted')
def planted(context, label):
    context.defect = DEFECTS[label]


@then("a scenario of this feature fails")
def caught(context):
    owner, name, wrong, check = context.defect
    check()
    with mock.patch.object(owner, name, wrong):
        assert relayhistories.broke(check), "the defect was not noticed"
