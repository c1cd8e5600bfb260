"""Clients that send large, endless or incomplete requests and stay open."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import pathlib
import re
import selectors
import socket
import threading
import time

import attrs

KB = 1024
MB = 1024 * KB
# Bytes that a crowd offers, three times the memory of the tested VM.
OFFERED_BYTES = 600 * MB
MAX_CLIENTS = 150
SMALL_CHUNK_CLIENTS = 60
SMALL_CHUNK_BODY_BYTES = 30 * KB
# Every tenth client completes its request.
COMPLETES = 10
ANNOUNCED_BYTES = 1024 * MB
# A crowd is done once nothing could be sent for this long.
QUIET_S = 1.0
MAX_SEND_S = 40.0
CHUNK_BYTES = 64 * KB
# As long as the largest body that a listener takes.
BODY = memoryview(b"x" * (32 * MB))
SAMPLE_INTERVAL_S = 0.02
# Written to /proc/<pid>/clear_refs, it makes VmHWM start anew.
RESET_PEAK = "5"


@attrs.frozen
class Target:
    """Where a crowd sends its requests.

    Attributes:
        address: IP address and port.
        line: Method and path.
        headers: Further headers.
        body_limit: Largest legal body in bytes.
    """

    address: tuple[str, int]
    line: str
    headers: tuple[str, ...]
    body_limit: int

    def head(self, *fields: str) -> bytes:
        """Return a request's line and headers."""
        lines = [f"{self.line} HTTP/1.1", *self.headers, *fields]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


Pieces = Iterator[bytes | memoryview]
Shape = Callable[[Target, bool], Pieces]


def repeated(size: int, piece: int) -> Pieces:
    """Yield some bytes in pieces."""
    while size > 0:
        found = BODY[: min(size, piece)]
        yield found
        size -= len(found)


def chunk(data: bytes | memoryview) -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def sized(piece: int) -> Shape:
    """Return a body with a length, one byte short unless it completes."""

    def pieces(target: Target, completes: bool) -> Pieces:
        limit = target.body_limit
        yield target.head(f"Content-Length: {limit}")
        yield from repeated(limit if completes else limit - 1, piece)

    return pieces


def chunked(target: Target, completes: bool) -> Pieces:
    """Yield a body in large chunks, without its end unless it completes."""
    yield target.head("Transfer-Encoding: chunked")
    for piece in repeated(target.body_limit - 1, CHUNK_BYTES):
        yield chunk(piece)
    if completes:
        yield chunk(b"")


def chunked_small(
    target: Target, completes: bool, size: int = SMALL_CHUNK_BODY_BYTES
) -> Pieces:
    """Yield a body in chunks of one byte, without its end as above."""
    yield target.head("Transfer-Encoding: chunked")
    size = min(target.body_limit - 1, size)
    for _ in range(size // KB):
        yield chunk(b"x") * KB
    if completes:
        yield chunk(b"")


def announced_over(target: Target, completes: bool) -> Pieces:
    """Yield part of a body whose announced length is far over the limit."""
    yield target.head(f"Content-Length: {ANNOUNCED_BYTES}")
    yield from repeated(2 * target.body_limit, CHUNK_BYTES)


def sent_over(target: Target, completes: bool) -> Pieces:
    """Yield chunks far beyond the limit, without an end."""
    yield target.head("Transfer-Encoding: chunked")
    for piece in repeated(4 * target.body_limit, CHUNK_BYTES):
        yield chunk(piece)


SHAPES: dict[str, Shape] = {
    "bodies sent at once": sized(len(BODY)),
    "bodies in pieces of 4 KB": sized(4 * KB),
    "bodies in chunks of 64 KB": chunked,
    "bodies in chunks of 1 byte": chunked_small,
    "announced bodies over the limit": announced_over,
    "endless bodies": sent_over,
}


def client_count(target: Target, shape: str) -> int:
    """Return how many clients a crowd has."""
    if shape == "bodies in chunks of 1 byte":
        return SMALL_CHUNK_CLIENTS
    return min(MAX_CLIENTS, -(-OFFERED_BYTES // target.body_limit))


@attrs.define(eq=False)
class Client:
    """One client of a crowd, and the bytes that it has yet to send."""

    connection: socket.socket
    pieces: Pieces
    unsent: memoryview = memoryview(b"")

    def send(self) -> int:
        """Send what the connection takes; return the number of bytes.

        Raises:
            OSError: The connection is closed.
        """
        total = 0
        for _ in range(16):
            if not self.unsent:
                self.unsent = memoryview(next(self.pieces, b""))
            if not self.unsent:
                return total
            try:
                sent = self.connection.send(self.unsent)
            except BlockingIOError:
                return total
            total += sent
            self.unsent = self.unsent[sent:]
        return total


@attrs.define(eq=False)
class Crowd:
    """Clients that send at the same time and then stay open."""

    target: Target
    clients: list[Client] = attrs.Factory(list)

    def connect(self, count: int, pieces: Callable[[int], Pieces]) -> None:
        """Open some connections; those that are refused are left out."""
        for number in range(count):
            connection = socket.socket()
            connection.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                connection.connect(self.target.address)
            self.clients.append(Client(connection, pieces(number)))

    def send(self) -> None:
        """Send until all is sent, closed by the server, or stalled."""
        ready = selectors.DefaultSelector()
        for client in self.clients:
            ready.register(client.connection, selectors.EVENT_WRITE, client)
        end = time.monotonic() + MAX_SEND_S
        quiet_at = time.monotonic() + QUIET_S
        while ready.get_map() and time.monotonic() < min(end, quiet_at):
            for key, _ in ready.select(QUIET_S / 4):
                try:
                    sent = key.data.send()
                except OSError:
                    sent = 0
                if not sent:
                    ready.unregister(key.fileobj)
                else:
                    quiet_at = time.monotonic() + QUIET_S
        ready.close()

    def close(self) -> None:
        """Close all connections."""
        for client in self.clients:
            client.connection.close()


def queued_bytes(port: int) -> int:
    """Return the bytes that arrived at a port and were not read."""
    total = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].rpartition(":")[2], 16) == port:
            total += int(fields[4].rpartition(":")[2], 16)
    return total


def status_bytes(pid: int, field: str) -> int:
    """Return a size in the status of a process."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    found = re.search(rf"^{field}:\s+(\d+) kB", status, re.MULTILINE)
    # A process that has ended uses no memory.
    return int(found[1]) * KB if found else 0


def descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir()))


@attrs.define(eq=False)
class Watch:
    """Samples what a process uses, until it is closed.

    Attributes:
        pid: Identifies the process.
        port: Port whose unread bytes count as well.
        peak_bytes: Largest sum of resident memory and unread bytes.
        peak_queued_bytes: Most unread bytes.
        peak_descriptors: Most open descriptors.
    """

    pid: int
    port: int
    peak_bytes: int = 0
    peak_queued_bytes: int = 0
    peak_descriptors: int = 0
    stopped: threading.Event = attrs.Factory(threading.Event)
    thread: threading.Thread | None = None

    def start(self) -> None:
        """Start to sample in a thread, with the present memory as peak."""
        with contextlib.suppress(OSError):
            pathlib.Path(f"/proc/{self.pid}/clear_refs").write_text(RESET_PEAK)
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self) -> None:
        """Sample until the process has ended or the watch is closed."""
        while not self.stopped.wait(SAMPLE_INTERVAL_S):
            try:
                self.sample()
            except OSError:
                return

    def sample(self) -> None:
        """Take one sample."""
        queued = queued_bytes(self.port)
        self.peak_queued_bytes = max(self.peak_queued_bytes, queued)
        used = status_bytes(self.pid, "VmRSS") + queued
        self.peak_bytes = max(self.peak_bytes, used)
        self.peak_descriptors = max(
            self.peak_descriptors, descriptors(self.pid)
        )

    def close(self) -> None:
        """Stop; include the peak of resident memory that no sample met."""
        self.stopped.set()
        self.thread.join()
        with contextlib.suppress(OSError):
            peak = status_bytes(self.pid, "VmHWM")
            self.peak_bytes = max(self.peak_bytes, peak)


def stopped_body(target: Target) -> Pieces:
    """Yield a request without the last byte of its short body."""
    yield target.head("Content-Length: 100")
    yield BODY[:99]


def stopped_header(target: Target) -> Pieces:
    """Yield a request without the end of its headers."""
    yield target.head().removesuffix(b"\r\n")


def long_stopped_header(target: Target) -> Pieces:
    """Yield long headers without their end."""
    yield target.head("X-Long: " + "x" * 3 * KB).removesuffix(b"\r\n")


def stopped_chunk_line(target: Target) -> Pieces:
    """Yield a body whose last chunk has no complete first line."""
    yield target.head("Transfer-Encoding: chunked")
    yield chunk(BODY[: 8 * KB]) + b"1"


def following_bytes(target: Target) -> Pieces:
    """Yield a request that takes long, and bytes of the next one."""
    yield target.head(f"Content-Length: {8 * KB}")
    yield BODY[: 12 * KB]


def nothing(target: Target) -> Pieces:
    """Yield no bytes."""
    yield b""


# What clients send that use up connections.
OPEN_SHAPES: dict[str, Callable[[Target], Pieces]] = {
    "short bodies without their end": stopped_body,
    "headers without their end": stopped_header,
    "nothing": nothing,
    "long headers without their end": long_stopped_header,
    "chunks without their first line": stopped_chunk_line,
    "bytes behind a slow request": following_bytes,
}
