"""Steps that check when a fleet of test processes counts as started."""

import json

import attrs
from behave import given
from behave import then
from behave import when

from _coltsfootroad.fakes import fleet as fleet_lib

ENTRIES = ("entry-0", "entry-1")


@attrs.frozen
class Response:
    """An HTTP response of an entry."""

    code: int
    body: bytes = b""


@attrs.define
class ScriptedFleet(fleet_lib.Fleet):
    """A fleet without processes, with scripted responses of its entries."""

    known: dict[str, tuple[int, int]] = attrs.Factory(dict)
    health: dict[str, int | None] = attrs.Factory(dict)

    def fetch(self, url, **arguments):
        """Return the scripted response to a health check."""
        del arguments
        entry = next(n for n, a in self.listen.items() if a in url)
        code = self.health[entry]
        return None if code is None else Response(code)

    def admin_fetch(self, name, path, **arguments):
        """Return the part of an entry's dump that the readiness check reads."""
        del path, arguments
        members, endpoints = self.known[name]
        document = {
            "pools": {"assistant": {"views": dict.fromkeys(range(endpoints))}},
            "freshness": {
                "member_view": {"known": dict.fromkeys(ENTRIES[:members])}
            },
        }
        return Response(200, json.dumps(document).encode())


@given("a fleet of 2 entries and 3 endpoints as its entries see it")
def scripted_fleet(context):
    context.fleet = ScriptedFleet(
        context.folder,
        engines=2,
        plain=1,
        listen={name: f"address-of-{name}" for name in ENTRIES},
        known=dict.fromkeys(ENTRIES, (2, 3)),
        health=dict.fromkeys(ENTRIES, 200),
    )


@when('"{entry}" knows {members:d} entries and {endpoints:d} endpoints')
def knows(context, entry, members, endpoints):
    context.fleet.known[entry] = (members, endpoints)


@when('"{entry}" answers its health check with {code}')
def answers_health(context, entry, code):
    context.fleet.health[entry] = None if code == "none" else int(code)


@then("the fleet counts as {state}")
def counts_as(context, state):
    assert context.fleet.is_ready() == (state == "started")
