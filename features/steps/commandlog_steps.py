"""Steps for the encoding of commands in the replicated log."""

import json

import attrs
from behave import then

from _coltsfootroad.control import commandlog
from _coltsfootroad.control import messages
from _coltsfootroad.control import state as state_lib
from features.support import gatewaybed


def version_of(count: int) -> messages.PutRoutes:
    """Return the command that stores a version with a number of routes."""
    config = gatewaybed.config(version=7)
    template = config.routes[0]
    routes = tuple(
        attrs.evolve(template, name=f"r{number}", prefix=f"/p{number}/")
        for number in range(count)
    )
    config = attrs.evolve(config, routes=routes)
    source = json.dumps([attrs.asdict(r) for r in routes], default=str)
    return messages.PutRoutes(config=config, source=source.encode())


@then(
    "a version of {routes:d} routes is decoded unchanged from at most {limit:d}"
    " bytes"
)
def is_decoded_unchanged(context, routes, limit):
    command = version_of(routes)
    data = commandlog.pack(command)
    assert len(data) <= limit, len(data)
    assert commandlog.unpack(data).ok == command


@then("decoding the log entry {text} returns an error")
def decoding_returns_error(context, text):
    data = text.encode().decode("unicode_escape").encode("latin-1")
    assert commandlog.unpack(data).is_error()


@then("an uncompressed version of {routes:d} routes is decoded")
def uncompressed_is_decoded(context, routes):
    command = version_of(routes)
    data = state_lib.COMMANDS.encode(command)
    assert commandlog.unpack(data).ok == command
