"""Steps for work before and after a program imports its libraries."""

import json
import socket

from behave import given
from behave import then
from behave import when

from _coltsfootroad.fakes import ports
from _coltsfootroad.shell import earlylistener
from _coltsfootroad.shell import metrics

FLAG = "--settings"


def write_settings(context, content: str) -> list[str]:
    """Write a settings file; return the command line that names it."""
    path = context.folder / "settings.json"
    path.write_text(content)
    return ["program", FLAG, str(path)]


@given("settings that enable the early listener")
def enable_early_listener(context):
    context.address = f"127.0.0.1:{ports.free_port()}"
    settings = {"listen": context.address, "listen_early": True}
    context.arguments = write_settings(context, json.dumps(settings))


@when("a caller connects before the program's event loop runs")
def connect_caller(context):
    earlylistener.listen(context.arguments)
    host, port = context.address.split(":")
    context.caller = socket.create_connection((host, int(port)), timeout=2)
    context.caller.sendall(b"hello")


@then("the program accepts the connection at the same address")
def check_accepted(context):
    listener = earlylistener.take_listener(context.address)
    listener.setblocking(True)
    connection, _ = listener.accept()
    assert connection.recv(5) == b"hello"
    assert context.address not in earlylistener.listeners
    for opened in (connection, listener, context.caller):
        opened.close()


@given("settings with {fault}")
def write_faulty_settings(context, fault):
    address = f"127.0.0.1:{ports.free_port()}"
    settings = {"listen": address, "listen_early": True}
    context.occupied = None
    if fault == "no early listener":
        settings["listen_early"] = False
    elif fault == "no address":
        del settings["listen"]
    elif fault == "an invalid address":
        settings["listen"] = "nowhere"
    elif fault == "an address in use":
        context.occupied = earlylistener.open_listener(address)
    content = json.dumps(settings)
    if fault == "a truncated file":
        content = content[:10]
    elif fault == "a list in place of an object":
        content = "[1]"
    context.arguments = write_settings(context, content)


@then("no listener is opened early")
def check_no_listener(context):
    earlylistener.listen(context.arguments)
    earlylistener.listen(["program", FLAG])
    earlylistener.listen(["program"])
    assert earlylistener.listeners == {}, earlylistener.listeners
    if context.occupied is not None:
        context.occupied.close()


@when(
    "{before:d} samples are recorded before the first scrape and {after:d} after it"
)
def record_samples(context, before, after):
    registered = metrics.Metrics.start("test")
    histogram = registered.histogram("test_seconds", "Seconds")
    context.texts = []
    for count in (before, after):
        for _ in range(count):
            histogram.record(0.2)
        context.texts.append(registered.text().decode())


@then("the histogram counts {first:d}, then {second:d}")
def check_counts(context, first, second):
    for text, count in zip(context.texts, (first, second), strict=True):
        lines = [w for w in text.splitlines() if "seconds_count" in w]
        assert float(lines[0].split()[-1]) == count, lines
