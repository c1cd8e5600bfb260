"""Steps on announcements that watchers deliver to a leader that lacks them."""

import attrs
from behave import given
from behave import then
from behave import when

from _coltsfootroad.control import watchcache
from _coltsfootroad.control import watching
from _coltsfootroad.core import registry
from _coltsfootroad.gateway import watch as watch_lib
from features.support import gatewaybed
from features.support import relayhistories

NOW_S = 2_000.0
MAX_REQUESTS = 50
RELAY = relayhistories.RELAY


def announcement(number: int, seq: int = 1) -> registry.Announcement:
    """Return an announcement of an endpoint."""
    return registry.Announcement(
        endpoint=f"e{number}",
        incarnation=1,
        seq=seq,
        service="s",
        address=f"10.1.{number // 250}.{number % 250}:1",
    )


def response(whole: bool = False) -> watching.News:
    """Return a leader's response, complete if `whole`."""
    changes = watching.Changes(whole=True) if whole else None
    return watching.News(epoch="e/2", registry_mark=1, told=changes)


class RelaySubject:
    """A relay whose leader lacks some endpoints."""

    def __init__(self, count: int):
        self.watch_cache = watchcache.WatchCache(RELAY)
        self.watch_cache.backlog.add_all(announcement(n) for n in range(count))

    def request(self) -> watching.RelayWatch:
        """Return the next request."""
        return self.watch_cache.next_request(NOW_S, 0.0)

    def receive(self, request, news) -> None:
        """Handle the response to a request."""
        self.watch_cache.apply_response(request, news, NOW_S, NOW_S)


class GatewaySubject:
    """A gateway after the response of a leader without any endpoints."""

    def __init__(self, count: int):
        self.gateway = gatewaybed.Bed.without_sockets("g1", "za")
        for number in range(count):
            self.gateway.learn_endpoint(announcement(number))
        self.watch = watch_lib.Watch(self.gateway)
        self.watch.epoch = "e/1"
        self.receive(self.request(), response(whole=True))

    def request(self) -> watching.Watch:
        """Return the next request."""
        return self.watch.next_request()

    def receive(self, request, news) -> None:
        """Handle the response to a request."""
        self.watch.apply_response(request, news, NOW_S)


SUBJECTS = {"relay": RelaySubject, "gateway": GatewaySubject}


@given("a {kind} with {count:d} undelivered endpoints")
def subject(context, kind, count):
    context.subject = SUBJECTS[kind](count)
    context.count = count


@when("{lost:d} of 2 responses are lost until all endpoints are delivered")
def deliver(context, lost):
    context.requests = []
    context.delivered = []
    for number in range(MAX_REQUESTS):
        request = context.subject.request()
        if not request.announcements:
            return
        context.requests.append(request)
        if number % 2 >= lost:
            context.delivered += request.announcements
            context.subject.receive(request, response())
    raise AssertionError("announcements are still undelivered")


@then("each endpoint was delivered, in {count:d} requests of at most {most:d}")
def delivered(context, count, most):
    names = {item.endpoint for item in context.delivered}
    assert len(names) == context.count, len(names)
    assert len(context.requests) == count, len(context.requests)
    sizes = [len(request.announcements) for request in context.requests]
    assert max(sizes, default=0) <= most, sizes


@when("its endpoint is announced again while a request is in flight")
def announced_again(context):
    request = context.subject.request()
    context.newer = attrs.evolve(request.announcements[0], seq=2)
    context.subject.watch_cache.backlog.add(context.newer)
    context.subject.receive(request, response())


@then("the newer announcement is in the next request")
def newer_is_next(context):
    assert context.subject.request().announcements == (context.newer,)


@when("one of its endpoints expires before the request")
def expires(context):
    context.subject.gateway.endpoints.expire("e0")


@then("the request contains only the other endpoint")
def other_only(context):
    sent = context.subject.request().announcements
    assert [item.endpoint for item in sent] == ["e1"], sent
