"""Steps on suspects that are isolated from each other."""

import itertools
from unittest import mock

from behave import given
from behave import then
from behave import when

from _coltsfootroad.core import endpointset
from _coltsfootroad.core import fingerprints
from _coltsfootroad.core import hashing
from _coltsfootroad.core import isolation
from _coltsfootroad.core import registry

NOW = 100.0
DOWN_UNTIL = 200.0


def fingerprint_of(number: int) -> fingerprints.Fingerprint:
    """Return the fingerprint of a suspect."""
    return fingerprints.compute("POST", "h", "/x", "acme", b"%d" % number)


def engine(number: int, incarnation: int = 1, is_down: bool = False):
    """Return an engine as a gateway knows it."""
    announcement = registry.Announcement(
        endpoint=f"engine-{number}",
        incarnation=incarnation,
        seq=1,
        service="shop",
        address=f"10.0.0.{number}:1",
        state=registry.EndpointState.SERVING,
    )
    return endpointset.KnownEndpoint(
        announcement, ejected_until=DOWN_UNTIL if is_down else 0.0
    )


def selected(context, number: int, avoid=()) -> set[str]:
    """Return the names of the engines that a suspect may be sent to."""
    found = context.isolation.select(
        context.suspects[number], context.engines, set(avoid), NOW
    )
    return {known.name for known in found}


@given("{suspects:d} suspects and {engines:d} engines, {down:d} of them down")
def given_suspects(context, suspects, engines, down):
    context.suspects = [fingerprint_of(number) for number in range(suspects)]
    context.engines = [
        engine(number, is_down=number < down) for number in range(engines)
    ]
    context.isolation = isolation.Isolation()
    context.isolation.update(context.suspects)


@then("no engine is assigned to two suspects")
def assigned_to_one(context):
    taken = [selected(context, n) for n in range(len(context.suspects))]
    assert sum(map(len, taken)) == len(set().union(*taken)), taken


@then("{count:d} suspects have an engine")
def have_engines(context, count):
    with_engine = [
        n for n in range(len(context.suspects)) if selected(context, n)
    ]
    assert len(with_engine) == count, with_engine


@then("each suspect has a running engine")
def each_has(context):
    running = {e.name for e in context.engines if e.ejected_until <= NOW}
    for number in range(len(context.suspects)):
        found = selected(context, number)
        assert found and found <= running, (number, found)


@then("no request is isolated")
def none_isolated(context):
    assert not context.isolation.is_isolated(context.suspects[0])


@then("only suspects are isolated")
def only_suspects(context):
    assert all(map(context.isolation.is_isolated, context.suspects))
    assert not context.isolation.is_isolated(fingerprint_of(-1))


@given(
    "{suspects:d} suspects and {engines:d} engines that start {times:d} times"
)
def restarts(context, suspects, engines, times):
    given_suspects(context, suspects, engines, 0)
    context.rounds = []
    for incarnation in range(1, times + 1):
        context.engines = [engine(n, incarnation) for n in range(engines)]
        # Most of the fleet is down, so two suspects must not share an engine.
        down = [engine(n + engines, is_down=True) for n in range(2 * engines)]
        context.engines += down
        with_engine = [n for n in range(suspects) if selected(context, n)]
        context.rounds.append(with_engine)


@then("any two suspects have been separated by an incarnation")
def separated(context):
    numbers = range(len(context.suspects))
    for one, other in itertools.permutations(numbers, 2):
        assert any(
            one in with_engine and other not in with_engine
            for with_engine in context.rounds
        ), (one, other)


@when("the first suspect is cleared")
def clear_first(context):
    context.before = [selected(context, n) for n in range(1, 5)]
    context.suspects = context.suspects[1:]
    context.isolation.update(context.suspects)


@then("the other suspects keep their engines")
def keep_engines(context):
    for number, before in enumerate(context.before):
        assert before <= selected(context, number), number


@then("a suspect that has tried all of its engines is sent to another one")
def sent_elsewhere(context):
    own = selected(context, 0)
    other = selected(context, 0, avoid=own)
    assert other and not other & own, (own, other)


@then("a second choice computes no hash")
def no_hash(context):
    selected(context, 0)
    with mock.patch.object(
        hashing, "stable_hash", wraps=hashing.stable_hash
    ) as computed:
        selected(context, 1)
    assert not computed.called, computed.call_count
