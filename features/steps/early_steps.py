"""Steps on what programs do before and after their libraries are loaded."""

import json
import socket

from behave import given
from behave import then
from behave import when

from _coltsfootroad.fakes import ports
from _coltsfootroad.shell import earlylistener
from _coltsfootroad.shell import metrics

FLAG = "--settings"


def write(context, content: str) -> list[str]:
    """Write a settings file; return the command line that names it."""
    path = context.folder / "settings.json"
    path.write_text(content)
    return ["program", FLAG, str(path)]


@given("settings that ask for an early listener")
def asks(context):
    context.address = f"127.0.0.1:{ports.free_port()}"
    settings = {"listen": context.address, "listen_early": True}
    context.arguments = write(context, json.dumps(settings))


@when("a caller connects before the program's loop runs")
def connects(context):
    earlylistener.listen(context.arguments)
    host, port = context.address.split(":")
    context.caller = socket.create_connection((host, int(port)), timeout=2)
    context.caller.sendall(b"hello")


@then("the program takes the connection over at the same address")
def takes_over(context):
    listener = earlylistener.take_listener(context.address)
    listener.setblocking(True)
    connection, _ = listener.accept()
    assert connection.recv(5) == b"hello"
    assert context.address not in earlylistener.listeners
    for found in (connection, listener, context.caller):
        found.close()


@given("settings with {fault}")
def faulty(context, fault):
    address = f"127.0.0.1:{ports.free_port()}"
    settings = {"listen": address, "listen_early": True}
    context.taken = None
    if fault == "no early listener":
        settings["listen_early"] = False
    elif fault == "no address":
        del settings["listen"]
    elif fault == "an address that is none":
        settings["listen"] = "nowhere"
    elif fault == "an address in use":
        context.taken = earlylistener.open_listener(address)
    content = json.dumps(settings)
    if fault == "half a file":
        content = content[:10]
    elif fault == "a list in place of settings":
        content = "[1]"
    context.arguments = write(context, content)


@then("opening the listener early changes nothing")
def nothing(context):
    earlylistener.listen(context.arguments)
    earlylistener.listen(["program", FLAG])
    earlylistener.listen(["program"])
    assert earlylistener.listeners == {}, earlylistener.listeners
    if context.taken is not None:
        context.taken.close()


@when(
    "{before:d} samples are taken before the metrics are pulled and {after:d} after"
)
def samples(context, before, after):
    found = metrics.Metrics.start("test")
    histogram = found.histogram("test_seconds", "Seconds")
    context.texts = []
    for count in (before, after):
        for _ in range(count):
            histogram.record(0.2)
        context.texts.append(found.text().decode())


@then("the histogram counts {first:d}, then {second:d}")
def counts(context, first, second):
    for text, count in zip(context.texts, (first, second), strict=True):
        lines = [w for w in text.splitlines() if "seconds_count" in w]
        assert float(lines[0].split()[-1]) == count, lines
