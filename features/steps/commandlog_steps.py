"""Steps on the bytes of commands in the replicated log."""

import json

import attrs
from behave import then

from _coltsfootroad.control import commandlog
from _coltsfootroad.control import messages
from _coltsfootroad.control import state as state_lib
from features.support import gatewaybed


def version_of(routes: int) -> messages.PutRoutes:
    """Return the command that puts a version with so many routes."""
    config = gatewaybed.config(version=7)
    pattern = config.routes[0]
    found = tuple(
        attrs.evolve(pattern, name=f"r{number}", prefix=f"/p{number}/")
        for number in range(routes)
    )
    config = attrs.evolve(config, routes=found)
    source = json.dumps([attrs.asdict(r) for r in found], default=str)
    return messages.PutRoutes(config=config, source=source.encode())


@then("a version of {routes:d} routes comes back, in at most {most:d} bytes")
def comes_back(context, routes, most):
    command = version_of(routes)
    data = commandlog.pack(command)
    assert len(data) <= most, len(data)
    assert commandlog.unpack(data).ok == command


@then("the log's bytes {text} are no command")
def no_command(context, text):
    data = text.encode().decode("unicode_escape").encode("latin-1")
    assert commandlog.unpack(data).is_error()


@then("a version of {routes:d} routes that was not compressed is read")
def plain(context, routes):
    command = version_of(routes)
    data = state_lib.COMMANDS.encode(command)
    assert commandlog.unpack(data).ok == command
