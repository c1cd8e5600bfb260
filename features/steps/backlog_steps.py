"""Steps on announcements that watchers bring to a leader that lacks them."""

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
MOST_REQUESTS = 50
RELAY = relayhistories.RELAY


def announcement(number: int, seq: int = 1) -> registry.Announcement:
    """Return what an endpoint announces."""
    return registry.Announcement(
        endpoint=f"e{number}",
        incarnation=1,
        seq=seq,
        service="s",
        address=f"10.1.{number // 250}.{number % 250}:1",
    )


def response(whole: bool = False) -> watching.News:
    """Return a response of a leader, that may know nothing."""
    told = watching.Changes(whole=True) if whole else None
    return watching.News(epoch="e/2", registry_mark=1, told=told)


class RelaySubject:
    """A relay whose leader lacks endpoints."""

    def __init__(self, count: int):
        self.watch_cache = watchcache.WatchCache(RELAY)
        self.watch_cache.backlog.add_all(announcement(n) for n in range(count))

    def request(self) -> watching.RelayWatch:
        """Return the next request."""
        return self.watch_cache.next_request(NOW_S, 0.0)

    def receive(self, request, news) -> None:
        """Take the response to a request."""
        self.watch_cache.apply_response(request, news, NOW_S, NOW_S)


class GatewaySubject:
    """A gateway that a leader which knows nothing has answered."""

    def __init__(self, count: int):
        self.gateway = gatewaybed.Bed.without_sockets("g1", "za")
        for number in range(count):
            self.gateway.learn_endpoint(announcement(number))
        self.watch = watch_lib.Watch(self.gateway)
        self.watch.epoch = "e/1"
        self.receive(self.request(), response(whole=True))

    def request(self) -> watching.Watch:
        """Return the next request."""
        return self.watch.question()

    def receive(self, request, news) -> None:
        """Take the response to a request."""
        self.watch.take(request, news, NOW_S)


SUBJECTS = {"relay": RelaySubject, "gateway": GatewaySubject}


@given("a {kind} that has to bring {count:d} endpoints")
def subject(context, kind, count):
    context.subject = SUBJECTS[kind](count)
    context.count = count


@when("{lost:d} of 2 responses are lost until nothing is left")
def deliver(context, lost):
    context.requests = []
    context.delivered = []
    for number in range(MOST_REQUESTS):
        request = context.subject.request()
        if not request.announcements:
            return
        context.requests.append(request)
        if number % 2 >= lost:
            context.delivered += request.announcements
            context.subject.receive(request, response())
    raise AssertionError("something is left")


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
    context.later = attrs.evolve(request.announcements[0], seq=2)
    context.subject.watch_cache.backlog.add(context.later)
    context.subject.receive(request, response())


@then("the later announcement is in the next request")
def later_is_next(context):
    assert context.subject.request().announcements == (context.later,)


@when("one of its endpoints expires before the request")
def expires(context):
    context.subject.gateway.endpoints.expire("e0")


@then("the request tells of the other one only")
def other_only(context):
    told = context.subject.request().announcements
    assert [item.endpoint for item in told] == ["e1"], told
