"""Steps for crowds of clients that send large or incomplete requests."""

import functools
import threading
import time

import attrs
from behave import given
from behave import then
from behave import when

from _coltsfootroad.shell import channels
from features.support import crowd
from features.support import crowdhttp2
from features.support import crowdsystem

# The memory of the VM.
MAX_BYTES = crowdsystem.MEMORY_MB * 1_000_000
# In this time the crowd sends all that the process takes.
SEND_MESSAGES_S = 10.0
# Ordinary requests while a crowd sends.
REQUESTS_MEANWHILE = 10
REQUEST_INTERVAL_S = 0.5


def start(context, program: str, listener: str, **options) -> None:
    """Start a program and select the listener that a crowd sends to."""
    context.system = crowdsystem.System(context.folder, **options)
    context.add_cleanup(context.system.stop)
    context.system.start(program)
    context.program = program
    context.listener = crowdsystem.LISTENERS[program][listener]
    context.target = context.listener.target(context.system.settings[program])
    context.listener_port = context.target.address[1]
    context.process = context.system.processes[program]
    context.watches = {}
    context.answers = {}


@given("the listener for {listener} of a {program}")
def listener_of_program(context, listener, program):
    start(context, program, listener)
    context.descriptor_limit = crowdsystem.FILE_DESCRIPTORS


@given(
    "{limit:d} descriptors at most and the listener for {listener} of a"
    " {program}"
)
def listener_with_descriptors(context, limit, listener, program):
    start(context, program, listener, descriptor_limit=limit)
    context.descriptor_limit = limit


def watch_process(context, port: int) -> crowd.Watch:
    """Start to watch the process and a port of it."""
    watch = crowd.Watch(context.process.pid, port)
    watch.start()
    return watch


def send(context, what: str, count: int, pieces) -> None:
    """Let a crowd send, and an ordinary client while the crowd is open."""
    watch = watch_process(context, context.target.address[1])
    clients = crowd.Crowd(context.target)
    try:
        clients.connect(count, pieces)
        clients.send()
        context.answers[what] = context.system.ask(
            context.program, context.listener
        )
        if context.target.address[1] != context.listener_port:
            check_grpc(context, what)
    finally:
        clients.close()
        watch.close()
    context.watches[what] = watch


@when("crowds send each kind of large and incomplete request")
def send_all_shapes(context):
    for name, shape in crowd.SHAPES.items():
        if context.process.poll() is not None:
            return
        send(
            context,
            name,
            crowd.client_count(context.target, name),
            functools.partial(member, context.target, shape),
        )


def member(target: crowd.Target, shape: crowd.Shape, number: int):
    """Return the pieces of one client of a crowd."""
    return shape(target, number % crowd.COMPLETES == 0)


@when("{count:d} clients send bodies of {size:d} KB in chunks of 1 byte")
def send_small_chunks(context, count, size):
    watch = watch_process(context, context.target.address[1])
    clients = crowd.Crowd(context.target)
    clients.connect(
        count,
        lambda number: crowd.chunked_small(
            context.target, number % crowd.COMPLETES == 0, size * crowd.KB
        ),
    )
    sending = threading.Thread(target=clients.send)
    sending.start()
    try:
        for number in range(REQUESTS_MEANWHILE):
            time.sleep(REQUEST_INTERVAL_S)
            what = f"request {number} meanwhile"
            context.answers[what] = context.system.ask(
                context.program, context.listener
            )
            context.watches[what] = watch
    finally:
        clients.close()
        sending.join()
        watch.close()


@when("{count:d} clients send {what} and stay open")
def send_and_stay(context, count, what):
    pieces = crowd.OPEN_SHAPES[what]
    send(context, what, count, lambda _: pieces(context.target))


def grpc_address(context) -> str:
    """Return the address of the program's gRPC listener."""
    is_control = context.program != "entry"
    name = "listen" if is_control else "peer_listen"
    return context.system.settings[context.program][name]


def check_grpc(context, what: str) -> None:
    """Record a gRPC call to a control process, if it is not answered."""
    is_control = context.program != "entry"
    if is_control and not crowdsystem.call_replica(grpc_address(context)):
        context.answers[what] = 0, b"no response to a gRPC call"


@when("{count:d} clients of the gRPC listener send {what} and stay open")
def send_to_grpc(context, count, what):
    host, _, port = grpc_address(context).rpartition(":")
    context.target = attrs.evolve(context.target, address=(host, int(port)))
    pieces = crowd.OPEN_SHAPES[what]
    send(context, what, count, lambda _: pieces(context.target))


@when(
    "{count:d} clients send messages of 32 MB to the gRPC listener without the"
    " last byte"
)
def send_messages(context, count):
    host, _, port = grpc_address(context).rpartition(":")
    stopped = threading.Event()
    path = channels.PEER if context.program == "entry" else channels.CALL
    size = channels.MAX_MESSAGE_BYTES
    threads = [
        threading.Thread(
            target=crowdhttp2.Http2Client(
                (host, int(port)), path, size, stopped
            ).run
        )
        for _ in range(count)
    ]
    watch = watch_process(context, int(port))
    try:
        for thread in threads:
            thread.start()
        time.sleep(SEND_MESSAGES_S)
        context.answers["messages"] = context.system.ask(
            context.program, context.listener
        )
        check_grpc(context, "messages")
    finally:
        stopped.set()
        for thread in threads:
            thread.join()
        watch.close()
    context.watches["messages"] = watch


@then(
    "the process runs, stays within its memory and descriptors, and answers an"
    " ordinary request each time"
)
def process_is_sound(context):
    found = []
    code = context.process.poll()
    if code is not None:
        found.append(f"the process ended with {code}")
    for what, watch in context.watches.items():
        if watch.peak_bytes > MAX_BYTES:
            found.append(f"{what}: {watch.peak_bytes / 1e6:.0f} MB in use")
        if watch.peak_descriptors >= context.descriptor_limit:
            found.append(f"{what}: {watch.peak_descriptors} descriptors")
        status, body = context.answers[what]
        if status != 200:
            found.append(f"{what}: ordinary request got {status} {body[:99]}")
    peaks = {
        what: (
            round(watch.peak_bytes / 1e6),
            round(watch.peak_queued_bytes / 1e6),
            watch.peak_descriptors,
        )
        for what, watch in context.watches.items()
    }
    assert not found, "; ".join(
        [*found, f"peaks in MB, unread MB, descriptors: {peaks}"]
    )
    print(f"peaks in MB, unread MB, descriptors: {peaks}")
