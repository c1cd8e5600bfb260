"""Steps of the bounds that no other feature would miss."""

import os
import pathlib
import subprocess
import sys
from unittest import mock

from behave import given
from behave import then
from behave import when

from _coltsfootroad.control import log as log_lib
from _coltsfootroad.control import storage
from _coltsfootroad.core import endpointset
from _coltsfootroad.core import outliers
from _coltsfootroad.core import registry
from _coltsfootroad.core import retries
from _coltsfootroad.shell import disk

# More retries than any budget here holds.
MANY = 1_000
PROGRAMS = pathlib.Path(sys.executable).parent


@given("an empty data folder")
def empty_folder(context):
    context.data = disk.DataFolder(context.folder / "data")
    context.data.open()
    context.data.load()


@when("a batch is stored")
def store(context):
    context.sizes = []
    real_sync = os.fdatasync

    def sync(descriptor):
        context.sizes.append(os.fstat(descriptor).st_size)
        real_sync(descriptor)

    entry = log_lib.Entry(
        term=1, index=1, kind=log_lib.EntryKind.COMMAND, data=b"x" * 100
    )
    with mock.patch.object(os, "fdatasync", sync):
        stored = context.data.store(storage.Batch(entries=(entry,)))
        context.synced_by_answer = list(context.sizes)
    assert stored.is_ok()


@then("the log was synced after its last byte and before the answer")
def synced(context):
    path = context.data.log_path(context.data.sequence)
    size = path.stat().st_size
    context.data.close()
    assert size > 100
    assert context.synced_by_answer == [size], context.synced_by_answer


@given("a retry budget that {spent} and then {requests:d} fresh requests")
def spent_budget(context, spent, requests):
    context.budget = retries.RetryBudget()
    if spent == "is spent":
        for _ in range(MANY):
            context.budget.take()
    for _ in range(requests):
        context.budget.on_request()


@then("it allows {most:d} retries and no more")
def allows(context, most):
    taken = sum(context.budget.take() for _ in range(MANY))
    # A share of a tenth is not exact in binary.
    assert most - 1 <= taken <= most, taken


@when("all of {count:d} endpoints fail again and again")
def all_fail(context, count):
    table = outliers.OutlierDetector()
    names = [f"e{n}" for n in range(count)]
    for _ in range(2 * outliers.FAILURES_TO_EJECT):
        for name in names:
            table.on_failure(name, 10.0)
    context.ejected = [n for n in names if table.is_ejected(n, 10.1)]


@then("{most:d} of them are ejected")
def ejected(context, most):
    assert len(context.ejected) == most, context.ejected


@when('"{program}" is asked for help')
def asked_for_help(context, program):
    context.help = subprocess.run(
        [str(PROGRAMS / program), "--help"],
        capture_output=True,
        text=True,
        timeout=30,
        check=True,
    ).stdout


@then('the help names "{words}"')
def help_names(context, words):
    assert words in context.help, context.help


def rest_after_failures() -> float:
    """Return how long an endpoint rests that fails again and again."""
    endpoints = endpointset.EndpointSet()
    endpoints.learn(announcement("e1"))
    return max(endpoints.on_failure("e1", 0.0, True) for _ in range(30))


def gone_endpoints() -> int:
    """Return how many gone endpoints are remembered of many."""
    endpoints = endpointset.EndpointSet()
    for number in range(9_000):
        endpoints.add_tombstone(f"e{number}", 1)
    return len(endpoints.tombstones)


def announcement(name: str) -> registry.Announcement:
    """Return what an endpoint says of itself."""
    return registry.Announcement(
        endpoint=name, incarnation=1, seq=1, service="s"
    )


BOUNDED = {
    "the rest after 30 failures in a row": rest_after_failures,
    "the number of gone endpoints of 9000": gone_endpoints,
}


@then("{what} stays at or below {most:g}")
def stays_below(context, what, most):
    found = BOUNDED[what]()
    assert 0 < found <= most, found
