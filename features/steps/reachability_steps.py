"""Steps for the evidence on the path to a service."""

from behave import given
from behave import then
from behave import when

from _coltsfootroad.core import endpointset
from _coltsfootroad.core import reachability
from _coltsfootroad.core import registry

SERVICE = "shop"


def announce(context, name: str, incarnation: int) -> None:
    """Announce an incarnation of an endpoint."""
    context.endpoints.learn(
        registry.Announcement(
            endpoint=name,
            incarnation=incarnation,
            seq=1,
            service=SERVICE,
            address="127.0.0.1:1",
        )
    )


@given("a service with {count:d} endpoints")
def service_with(context, count):
    context.endpoints = endpointset.EndpointSet()
    context.reach = reachability.Reachability(context.endpoints)
    for number in range(1, count + 1):
        announce(context, f"e{number}", 1)


@when('connections of this gateway end as "{events}"')
def connections_end(context, events):
    now = 100.0
    for event in events.split():
        if event.startswith("wait-"):
            now += float(event.removeprefix("wait-"))
            continue
        endpoint = context.endpoints.known[event[:-1]]
        if event.endswith("+"):
            context.reach.record_success(endpoint, now)
        else:
            context.reach.record_failure(endpoint, now)


@when("endpoint {name} restarts")
def restarts(context, name):
    announce(context, name, 2)


def candidates(context) -> set[str]:
    """Return the names of the endpoints that may be probed next."""
    serving = context.endpoints.serving_endpoints(SERVICE)
    found = context.reach.of(SERVICE).probe_candidates(serving)
    return {endpoint.name for endpoint in found}


@then("the gateway counts as partitioned: {partitioned}")
def counts_as_partitioned(context, partitioned):
    found = context.reach.is_partitioned_from(SERVICE)
    assert found == (partitioned == "yes"), context.reach.services


@then("endpoint {name} is no candidate of the next probe")
def no_candidate(context, name):
    assert name not in candidates(context)


@then("only endpoint {name} is a candidate of the next probe")
def only_candidate(context, name):
    assert candidates(context) == {name}, candidates(context)
