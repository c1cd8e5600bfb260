"""Steps on endless responses, slow readers and the bytes that they hold."""

import asyncio
import contextlib
import json
import pathlib
import socket
import subprocess
import sys
import time
import tracemalloc
from unittest import mock

import attrs
from behave import given
from behave import then
from behave import when
from tornado import iostream

from _coltsfootroad.core import clientlimits
from _coltsfootroad.core import eventstream
from _coltsfootroad.core import heldmemory
from _coltsfootroad.fakes import ports as ports_lib
from _coltsfootroad.gateway import endpointprobe
from _coltsfootroad.gateway import memoryreservation
from _coltsfootroad.shell import clientmemory
from _coltsfootroad.shell import machinememory
from _coltsfootroad.shell import settings as settings_lib
from features.support import endlessendpoint
from features.support import gatewaybed

# The adapter's folder has the name of a standard library module.
sys.path.insert(0, str(pathlib.Path("platform").resolve()))

from coltsplatform import controlapi  # noqa: E402

KB = 1024
MB = 1024 * KB
LONGEST_ADDED_PAUSE_S = 0.05
HEARTBEAT_S = 0.002
# A pause caused by the fault is in each trial, one by other load is not.
TRIALS = 5
# Longer than a busy machine takes for the responses of these tests.
LONG_TIMEOUT_S = 20.0
NOW = 100.0


@attrs.define
class EndlessBed:
    """A gateway with endpoints in another process.

    Attributes:
        bed: The gateway.
        ports: Ports of the endpoints, the last one speaks first.
        bytes_read: Bytes that the gateway read from them.
    """

    bed: gatewaybed.Bed
    ports: list[int]
    bytes_read: int = 0

    def announce(self) -> None:
        """Announce the endpoints that wait for requests."""
        for number, port in enumerate(self.ports[:2]):
            name = f"e{number}"
            endpoint = gatewaybed.ScriptedEndpoint(name, [])
            endpoint.address = f"127.0.0.1:{port}"
            self.bed.announce(endpoint, max_running=8)

    def count_reads(self):
        """Return a context in which bytes of the endpoints are counted."""
        read = iostream.IOStream.read_from_fd

        def counting(stream, buffer):
            count = read(stream, buffer)
            if count and is_connected_to(stream.socket, self.ports):
                self.bytes_read += count
            return count

        return mock.patch.object(iostream.IOStream, "read_from_fd", counting)

    @property
    def failures(self) -> int:
        """Return the failures that count against endpoints."""
        known = self.bed.gateway.endpoints.known.values()
        return sum(endpoint.failures for endpoint in known)

    def check_no_crash(self) -> None:
        """Check that no crash was found and no request is suspected."""
        detector = self.bed.gateway.crash_detector
        assert not detector.crashed, detector.crashed
        assert not detector.suspects, detector.suspects
        assert not self.bed.gateway.lost_in_crashes


def is_connected_to(raw, ports: list[int]) -> bool:
    """Return whether a socket is connected to one of some ports."""
    try:
        return raw.getpeername()[1] in ports
    except OSError:
        return False


def run_endless(story) -> None:
    """Run a coroutine function with endpoints that send without end."""

    async def run(ports):
        bed = gatewaybed.Bed()
        endless = EndlessBed(bed, ports)
        try:
            endless.announce()
            await story(endless)
        finally:
            await bed.close()

    with subprocess.Popen(
        [sys.executable, endlessendpoint.__file__],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    ) as process:
        ports = [int(word) for word in process.stdout.readline().split()]
        try:
            asyncio.run(run(ports))
        finally:
            process.stdin.close()


async def measure(endless: EndlessBed, ask) -> tuple[object, int, int]:
    """Return a result, the peak of memory in bytes, and the bytes read."""
    endless.bytes_read = 0
    tracemalloc.start()
    try:
        with endless.count_reads():
            result = await ask()
        return result, tracemalloc.get_traced_memory()[1], endless.bytes_read
    finally:
        tracemalloc.stop()


@when("a {kind} request gets {fault} without end")
def gets_endless(context, kind, fault):
    async def story(endless):
        context.answer, context.peak, context.bytes_read = await measure(
            endless, lambda: endless.bed.ask(f"/{kind}/{fault}")
        )
        endless.check_no_crash()
        context.failures = endless.failures
        counts = endless.bed.gateway.dump()
        assert b'"held":0' in counts.replace(b" ", b""), counts

    run_endless(story)


@then(
    "it ends with {status:d} after {sends:d} failed sends, {held:d} KB held and"
    " {read:d} KB read at most"
)
def ends_with(context, status, sends, held, read):
    answer = context.answer
    assert answer.status == status, answer.status
    assert context.failures == sends, context.failures
    assert context.peak <= held * KB, context.peak
    assert context.bytes_read <= read * KB, context.bytes_read
    if status == 502:
        assert b'"ran": "unknown"' in answer.body, answer.body


@then("a request for memory that gets {fault} without end is not granted")
def memory_not_granted(context, fault):
    async def story(endless):
        gateway = endless.bed.gateway
        share = memoryreservation.MemoryShare(
            endpoint=gateway.endpoints.known["e0"], tokens=1
        )
        reservation = memoryreservation.MemoryReservation(
            gateway, "r-1", fault, (share,)
        )
        granted, peak, read = await measure(endless, reservation.reserve)
        assert not granted
        # The parser needs 0.1 ms for each chunk of one byte, so the time of the
        # request ends before its limit is reached.
        in_time = fault != "tiny-chunks"
        assert not in_time or endless.failures == 1, endless.failures
        assert peak <= 500 * KB, peak
        assert read <= 200 * KB, read
        endless.check_no_crash()

    run_endless(story)


@then("a probe of an endpoint that sends without end reads nothing")
def probe_reads_nothing(context):
    async def story(endless):
        address = f"127.0.0.1:{endless.ports[-1]}"
        state, peak, read = await measure(
            endless, lambda: endpointprobe.probe(address)
        )
        assert state is endpointprobe.ListenerState.OPEN
        assert peak <= 100 * KB, peak
        assert not read, read

    run_endless(story)


@then("a sound {kind} request with a {large} gets all bytes")
def gets_all(context, kind, large):
    async def story(endless):
        answer = await endless.bed.ask(f"/{kind}/{large}")
        expected = {
            "large-body": endlessendpoint.LARGE_BODY,
            "large-event": 4
            * len(endlessendpoint.event(1, endlessendpoint.LARGE_EVENT)),
        }[large]
        assert answer.status == 200, answer.status
        assert answer.whole
        assert len(answer.body) == expected, len(answer.body)
        assert not endless.failures

    run_endless(story)


async def ask_from_process(port: int, path: str) -> None:
    """Send a request from another process and read the response.

    A thread of this process would compete with the event loop for the
    interpreter lock, which delays each of its system calls by 5 ms.
    """
    headers = gatewaybed.request_headers(5_000, gatewaybed.KEY)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        endlessendpoint.__file__,
        str(port),
        path,
        json.dumps(headers),
    )
    assert not await process.wait()


async def longest_pause_s(work) -> float:
    """Return the longest pause of the event loop while work is done."""
    task = asyncio.ensure_future(work)
    longest_s = 0.0
    last = time.monotonic()
    while not task.done():
        await asyncio.sleep(HEARTBEAT_S)
        now = time.monotonic()
        longest_s = max(longest_s, now - last)
        last = now
    task.result()
    return longest_s


@then("{faults} add no pause above 50 ms to other requests")
def add_no_pause(context, faults):
    async def story(endless):
        async def ask_all(names):
            for name in names:
                # The endpoints serve a path without its fault from the second
                # request on.
                kind, _, fault = name.partition("/")
                path = f"/{kind}/{time.monotonic_ns()}/{fault}"
                await ask_from_process(endless.bed.port, path)

        added = []
        for _ in range(TRIALS):
            names = faults.split(", ")
            sound = [f"{name.partition('/')[0]}/sound" for name in names]
            without_s = await longest_pause_s(ask_all(sound))
            added.append(await longest_pause_s(ask_all(names)) - without_s)
            if added[-1] <= LONGEST_ADDED_PAUSE_S:
                return
            for known in endless.bed.gateway.endpoints.known.values():
                known.ejected_until = 0.0
        raise AssertionError(added)

    run_endless(story)


# --- events --------------------------------------------------------------


class CountingBuffer(bytearray):
    """Counts the bytes that are searched."""

    searched = 0

    def find(self, separator, start=0):
        """Search and count the bytes until the position that is found."""
        position = super().find(separator, start)
        end = len(self) if position < 0 else position + len(separator)
        self.searched += max(0, end - start)
        return position


@then(
    "{size:d} KB of {content} in chunks of {chunk:d} bytes are searched at most"
    " {times:g} times"
)
def searched_once(context, size, content, chunk, times):
    data = {
        "an event without end": b"a",
        "small events": b"id: 1\ndata: 0123456789\n\n",
        "blank lines": b"\n",
        "carriage returns": b"\r\n",
    }[content]
    splitter = eventstream.EventSplitter(max_event_bytes=32 * MB)
    splitter.pending = CountingBuffer()
    total = size * KB
    stream = (data * (total // len(data) + 1))[:total]
    for start in range(0, total, chunk):
        splitter.feed(stream[start : start + chunk])
    searched = splitter.pending.searched
    # Both ends of events are searched for.
    assert searched <= 2 * times * total, searched / total


@then("an event of {size:d} bytes {verdict} with a limit of {limit:d}")
def event_limit(context, size, verdict, limit):
    splitter = eventstream.EventSplitter(max_event_bytes=limit)
    before = b"id: 1\n\n"
    data = before + b"a" * (size - 2) + b"\n\n"
    found = [e for byte in data for e in splitter.feed(bytes([byte]))]
    assert found[0].data == before
    assert splitter.is_over_limit == (verdict == "is refused")
    assert len(found) == (1 if splitter.is_over_limit else 2)
    assert not splitter.pending


# --- callers -------------------------------------------------------------


@when("callers hold {holdings} of {limit:d} bytes")
def callers_hold(context, holdings, limit):
    held = heldmemory.HeldMemory(limit)
    names = {}
    for text in holdings.split(", "):
        name, unread, request = text.split()
        holding = heldmemory.Holding()
        names[holding] = name
        held.update(holding, unread=int(unread), request=int(request))
    context.closed = close_victims(held, names)


def close_victims(
    held: heldmemory.HeldMemory, names: dict[heldmemory.Holding, str]
) -> list[str]:
    """Drop victims until the limit is met; return their names."""
    closed = []
    while held.is_over_limit():
        victim = held.victim(NOW)
        closed.append(names[victim])
        held.drop(victim)
    assert held.total == sum(holding.total for holding in held.holdings)
    return closed


@when("requests hold {holdings} of {limit:d} bytes")
def requests_hold(context, holdings, limit):
    held = heldmemory.HeldMemory(limit)
    names = {}
    for text in holdings.split(", "):
        name, stage, size, silent_s = text.split()
        holding = heldmemory.Holding(
            stage=heldmemory.Stage(stage), progress_at=NOW - int(silent_s)
        )
        names[holding] = name
        held.update(holding, request=int(size))
    context.closed = close_victims(held, names)


@then(
    "{memory:d} MB and {descriptors:d} descriptors allow {clients:d} connections"
    " of clients and {peers:d} of peers"
)
def connection_limits(_, memory, descriptors, clients, peers):
    memory_bytes = memory * machinememory.BYTES_PER_MB
    found = clientlimits.max_connections(memory_bytes, descriptors)
    assert found == clients, found
    found = clientlimits.max_peer_connections(descriptors)
    assert found == peers, found


@then("{names} are closed in this order")
def closed_in_order(context, names):
    expected = [] if names == "none" else names.split(", ")
    assert context.closed == expected, context.closed


@given("a gateway that may hold {limit:d} MB for callers")
def may_hold(context, limit):
    context.limit = limit * MB


def set_long_timeout(bed: gatewaybed.Bed) -> None:
    """Put routes with LONG_TIMEOUT_S in force."""
    routes = tuple(
        attrs.evolve(route, timeout_s=LONG_TIMEOUT_S)
        for route in gatewaybed.config().routes
    )
    bed.gateway.adopt(gatewaybed.config(version=2, routes=routes))


async def request_without_reading(port: int, path: str):
    """Send a request and return its connection; nothing is read."""
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * KB)
    raw.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(raw, ("127.0.0.1", port))
    reader, writer = await asyncio.open_connection(sock=raw, limit=KB)
    writer.write(
        f"POST {path} HTTP/1.1\r\nHost: {gatewaybed.HOST}\r\n"
        f"X-Request-Id: r-1\r\nX-Deadline-Ms: 20000\r\n"
        f"X-Api-Key: {gatewaybed.KEY}\r\nContent-Length: 0\r\n\r\n".encode()
    )
    return reader, writer


@then(
    "of {count:d} callers that read no response of 12 MB at least {least:d} are"
    " closed and others are served"
)
def slow_readers(context, count, least):
    async def story(endless):
        memory = endless.bed.gateway.caller_memory
        memory.held.limit = context.limit
        set_long_timeout(endless.bed)
        slow = []
        for _ in range(count):
            slow.append(
                await request_without_reading(
                    endless.bed.port, "/safe/large-body"
                )
            )
        end = time.monotonic() + LONG_TIMEOUT_S
        while memory.closed < least and time.monotonic() < end:
            await asyncio.sleep(0.05)
        assert memory.held.peak <= context.limit, memory.held.peak
        assert least <= memory.closed <= count, memory.closed
        answer = await endless.bed.ask("/safe/sound")
        assert answer.status == 200, answer
        assert not endless.failures
        # Callers that leave release what was held for them.
        for _, writer in slow:
            writer.transport.abort()
        while memory.held.total and time.monotonic() < end:
            await asyncio.sleep(0.05)
        assert not memory.held.total, memory.dump()

    run_endless(story)


@then("a stream whose caller does not read for {pause:g} s is not sent again")
def slow_stream(context, pause):
    async def story(endless):
        set_long_timeout(endless.bed)
        reader, writer = await request_without_reading(
            endless.bed.port, "/stream/large-events"
        )
        await asyncio.sleep(pause)
        received, tail = 0, b""
        while not tail.endswith(b"0\r\n\r\n"):
            tail = await reader.read(MB)
            assert tail, received
            received += len(tail)
        writer.close()
        expected = endlessendpoint.MANY_EVENTS * endlessendpoint.LARGE_EVENT
        assert expected <= received <= expected * 1.1, received
        assert not endless.failures

    run_endless(story)


# --- control processes -----------------------------------------------------


@then("an announcement with {fault} to a control process gets {answer}")
def announcement_limited(context, fault, answer):
    start = b"PUT /v1/instances/i-1 HTTP/1.1\r\nHost: control\r\n"
    endless = {
        "a header line without end": (start + b"X-A: ", b"a" * KB),
        "header lines without end": (start, b"X-A: b\r\n" * 128),
        "a body without end": (
            start + b"Transfer-Encoding: chunked\r\n\r\n",
            endlessendpoint.chunk(b" " * KB),
        ),
        "a body of 65 KB": (
            start + b"Content-Length: 66560\r\n\r\n",
            b" " * KB,
        ),
        "a body of 60 KB": (
            start + b"Content-Length: 61440\r\n\r\n",
            b" " * KB,
        ),
    }

    async def story():
        port = ports_lib.free_port()
        settings = mock.Mock(
            availability_zones=(), api_listen=f"127.0.0.1:{port}"
        )
        clients = clientmemory.ClientMemory.of(
            settings_lib.ProcessSettings(), controlapi.MAX_BODY_BYTES
        )
        server = controlapi.listen(mock.Mock(), settings, clients)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        first, repeated = endless[fault]
        writer.write(first)
        sent = 0
        # Enough to exceed the limit of configurations as well.
        while sent < 16 * MB and not reader.at_eof():
            writer.write(repeated)
            sent += len(repeated)
            if fault.startswith("a body of") and sent == int(fault[10:12]) * KB:
                break
            try:
                await writer.drain()
            except ConnectionError:
                break
            await asyncio.sleep(0)
        received = b""
        with contextlib.suppress(ConnectionError):
            received = await asyncio.wait_for(reader.read(KB), 5.0)
        writer.close()
        server.stop()
        return received, sent

    received, sent = asyncio.run(story())
    assert sent < 8 * MB, sent
    if answer == "refused as unreadable":
        assert b"400" in received.split(b"\r\n")[0], received
        assert b"bad_request" in received, received
    else:
        assert b"bad_request" not in received, received
