"""Steps on what watchers of the routes count as current."""

import attrs
from behave import given
from behave import then
from behave import when

from _coltsfootroad.control import mirror as mirror_lib
from _coltsfootroad.control import watching
from _coltsfootroad.core import routedelta
from _coltsfootroad.core import routes
from _coltsfootroad.gateway import watch as watch_lib
from features.support import gatewaybed

NONE = routes.NO_VERSION
ASKED_AT_S = 2_000.0
RELAY = watching.Relay(
    name="r", incarnation=1, address="10.0.0.1:1", availability_zone="za"
)


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
        self.mirror = mirror_lib.Mirror(RELAY)
        if held != NONE:
            self.mirror.routes.adopt(gatewaybed.config(held))

    def receive(self, asked: int, news: watching.News) -> None:
        """Take a response to a request that named a version."""
        request = watching.RelayWatch(relay=RELAY, routes_version=asked)
        self.mirror.take(request, news, ASKED_AT_S, ASKED_AT_S + 0.01)

    @property
    def version(self) -> int:
        """Return the version held."""
        return self.mirror.routes.version

    @property
    def proved_at(self) -> float:
        """Return when the version held was surely current."""
        return self.mirror.confirmed_at

    @property
    def asks_from(self) -> int:
        """Return the version that the next request names."""
        return self.mirror.question(ASKED_AT_S, 0.0).routes_version


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
