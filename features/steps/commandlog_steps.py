"""Steps for the encoding of commands in the replicated log."""

import json
from unittest import mock

import attrs
from behave import then

from _coltsfootroad.control import commandlog
from _coltsfootroad.control import messages
from _coltsfootroad.control import packing
from _coltsfootroad.control import state as state_lib
from _coltsfootroad.control import watching
from _coltsfootroad.core import addresses
from _coltsfootroad.core import routedelta
from _coltsfootroad.core import routes as routes_lib
from _coltsfootroad.gateway import watch
from _coltsfootroad.shell import wireformats
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
    data = commandlog.pack(command).ok
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


def wide_version() -> messages.PutRoutes:
    """Return a version whose integers are beyond 64 bits on either side."""
    command = version_of(2)
    config = attrs.evolve(
        command.config,
        version=2**64,
        routes=tuple(
            attrs.evolve(
                route,
                priority=-(2**63) - 1,
                timeout_s=float("inf"),
                splits=(routes_lib.Split(service="plain", weight=10**400),),
            )
            for route in command.config.routes
        ),
        limits=routes_lib.CallerLimits(header_bytes=2**200 - 1),
    )
    return attrs.evolve(command, config=config, source=b"\xff")


def recoded_by_gateway(message: object) -> object:
    """Return a message after its way between a gateway and control."""
    return watch.MESSAGES.decode(wireformats.CALLS.encode(message)).ok


@then("a version with integers beyond 64 bits is decoded unchanged from {form}")
def wide_is_decoded_unchanged(_, form):
    command = wide_version()
    config = command.config
    news = watching.News(epoch="e", registry_mark=1, routes=config)
    delta = routedelta.RouteDelta(
        base=2**64, version=2**70, changed=config.routes
    )
    request = watching.Watch(
        member=addresses.Member(entry="g", incarnation=1, address="a"),
        routes_version=2**64,
        wait_s=float("inf"),
    )
    stored = state_lib.ControlState()
    stored.apply(command, 1.0)
    calls = wireformats.CALLS
    decoded, expected = {
        "a log entry": lambda: (
            commandlog.unpack(commandlog.pack(command).ok).ok,
            command,
        ),
        "a call of a replica": lambda: (
            calls.decode(calls.encode(command)).ok,
            command,
        ),
        "a request of a gateway": lambda: (
            calls.decode(watch.MESSAGES.encode(request)).ok,
            request,
        ),
        "a response to a gateway": lambda: (recoded_by_gateway(news), news),
        "a delta to a gateway": lambda: (
            recoded_by_gateway(attrs.evolve(news, routes_delta=delta)),
            attrs.evolve(news, routes_delta=delta),
        ),
        "a snapshot": lambda: (
            state_lib.load(state_lib.save(stored)).routes.config,
            config,
        ),
    }[form]()
    assert decoded == expected, decoded


@then("packing a command {fault} returns the error {code}")
def packing_returns_error(_, fault, code):
    command = version_of(300)
    if fault == "with half a surrogate pair":
        route = attrs.evolve(command.config.routes[0], name="\ud800")
        config = attrs.evolve(command.config, routes=(route,))
        command = attrs.evolve(command, config=config)
    with mock.patch.object(packing, "MAX_PLAIN_BYTES", 20_000):
        packed = commandlog.pack(command)
    assert packed.is_error(), packed
    assert packed.error.code.value == code, packed.error
