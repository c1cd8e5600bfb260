"""Bounds what all clients together may cost a process.

Covers the connections to all HTTP listeners of the process: their number, the
bytes of requests that are being received or served, and the bytes of responses
that clients have not read. Streams hold little, as each write of events waits
until the caller has read the previous one.
"""

import abc
import asyncio
import collections

import attrs
from tornado import iostream

from _coltsfootroad.core import clientlimits
from _coltsfootroad.core import heldmemory
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import machinememory
from _coltsfootroad.shell import metrics as metrics_lib
from _coltsfootroad.shell import settings as settings_lib

LOG = logs.logger("clients")
# Clients may cause closed connections at any rate.
CLOSED_LOG_LIMIT = logs.LogRateLimit(20, 10.0)
# Bytes of a request beside its body: the headers and the last reads.
MAX_UNPARSED_BYTES = 256 * 1024
# Headers are read in small parts, so that few chunks of a body come with them.
HEADER_READ_BYTES = 2 * 1024
# Chunked bodies that are parsed at a time; others wait for their turn. A small
# chunk costs as much time as a large one, and the event loop serves others only
# after it has parsed some chunks of every body that has bytes.
MAX_PARSING = 4
# Reasons why a connection is closed or not accepted.
MEMORY = "memory"
CONNECTIONS = "connections"


class Refusable(abc.ABC):
    """A request that is being received, which has not run."""

    @abc.abstractmethod
    def refuse(self) -> None:
        """Respond that the request was not run, as far as that is possible."""


@attrs.define(eq=False)
class ClientConnection:
    """Reports what one client's connection costs.

    Attributes:
        memory: What all clients cost.
        stream: The client's connection.
        holding: Bytes that are held.
        request: The request that is being received, None if there is none.
        request_count: Number of requests so far.
        is_chunked: Whether the body of the request is sent in chunks.
        is_flushing: Whether bytes wait for the client to read.
        read_at: Boot clock seconds when the client had last read all bytes
            that had to wait; 0 before.
    """

    memory: "ClientMemory"
    stream: iostream.IOStream
    holding: heldmemory.Holding = attrs.Factory(heldmemory.Holding)
    request: Refusable | None = None
    request_count: int = 0
    is_chunked: bool = False
    is_flushing: bool = False
    read_at: float = 0.0

    def readable_bytes(self, size: int) -> int:
        """Return how many bytes, up to a size, may be read now."""
        if self.holding.stage is not heldmemory.Stage.RECEIVING:
            return HEADER_READ_BYTES
        if self.is_chunked and not self.memory.begin_parsing(self):
            return 0
        return size

    def is_parsing(self) -> bool:
        """Return whether buffered bytes of a request are being parsed.

        A connection that reads waits for further bytes.
        """
        is_waiting = self.stream.closed() or self.stream.reading()
        is_receiving = self.holding.stage is heldmemory.Stage.RECEIVING
        return (
            is_receiving and not is_waiting and buffered_bytes(self.stream) > 0
        )

    def on_received(self, buffered: int) -> None:
        """Record that bytes arrived, and how many are buffered now."""
        self.holding.progress_at = clocks.boot_time()
        self.memory.record_progress(self)
        self.memory.update_soon(self, buffered=buffered)

    def begin_request(self, request: Refusable, is_chunked: bool) -> None:
        """Start to receive a request, whose headers were read."""
        self.request = request
        self.request_count += 1
        self.is_chunked = is_chunked
        self.holding.stage = heldmemory.Stage.RECEIVING
        self.memory.update(
            self,
            request=0,
            response=0,
            buffered=buffered_bytes(self.stream),
        )

    def hold_request(self, size: int) -> None:
        """Set the bytes of the request's body."""
        self.memory.update(
            self, request=size, buffered=buffered_bytes(self.stream)
        )

    def begin_service(self) -> None:
        """Record that the request is complete; it may run from now on."""
        self.request = None
        self.holding.stage = heldmemory.Stage.SERVING
        self.memory.waiting.pop(self, None)
        self.memory.update(self, buffered=buffered_bytes(self.stream))

    def hold_response(self, size: int) -> None:
        """Set the bytes of an endpoint's response that are buffered."""
        if size != self.holding.response:
            self.memory.update(self, response=size)

    def release(self, request_number: int) -> None:
        """Forget request and response; bytes may remain unread.

        Args:
            request_number: `request_count` at the beginning of that request;
                the next one may have begun.
        """
        if request_number != self.request_count:
            return
        self.request = None
        self.holding.stage = heldmemory.Stage.IDLE
        self.holding.progress_at = clocks.boot_time()
        self.memory.record_progress(self)
        self.memory.update(self, request=0, response=0)

    def on_written(self) -> None:
        """Record the bytes that remain unread, until they are read."""
        unread = unread_bytes(self.stream)
        if unread and not self.is_flushing:
            self.is_flushing = True
            # Done once all previous bytes are sent, or the stream is closed.
            self.stream.write(b"").add_done_callback(self.on_flushed)
        if unread != self.holding.unread:
            self.memory.update(self, unread=unread)

    def on_flushed(self, _) -> None:
        """Record what was written since."""
        self.is_flushing = False
        self.read_at = clocks.boot_time()
        self.on_written()

    def on_closed(self) -> None:
        """Forget a connection that is closed."""
        self.memory.forget(self)


@attrs.define(eq=False)
class ClientMemory:
    """Closes clients' connections while they cost the process too much.

    Attributes:
        held: The bytes by connection and their limit.
        max_connections: Most connections that may be open.
        body_timeout_s: Longest wait for a complete body.
        open: All open connections.
        waiting: Those without a request that runs, the one that has been
            silent for longest first.
        by_holding: Connections with at least one byte.
        closed_by_reason: Number of connections that were closed or refused.
        is_enforcing: Whether the limit is about to be enforced.
        parsing: Connections whose buffered bytes are being parsed.
    """

    held: heldmemory.HeldMemory
    max_connections: int
    body_timeout_s: float
    open: set[ClientConnection] = attrs.Factory(set)
    waiting: dict[ClientConnection, None] = attrs.Factory(dict)
    by_holding: dict[heldmemory.Holding, ClientConnection] = attrs.Factory(dict)
    closed_by_reason: collections.Counter = attrs.Factory(collections.Counter)
    is_enforcing: bool = False
    parsing: set[ClientConnection] = attrs.Factory(set)

    @classmethod
    def of(
        cls, settings: settings_lib.ProcessSettings, max_body_bytes: int = 0
    ) -> "ClientMemory":
        """Return the limits that follow from a program's settings.

        Args:
            settings: What the process may use.
            max_body_bytes: Largest body that a listener of the process takes,
                for which the limit always has room.
        """
        memory_bytes = machinememory.usable_bytes(settings.memory_mb)
        limit_bytes = max(
            heldmemory.limit_bytes(memory_bytes, settings.held_memory_share),
            max_body_bytes + MAX_UNPARSED_BYTES,
        )
        return cls(
            heldmemory.HeldMemory(limit_bytes),
            settings.max_client_connections
            or clientlimits.max_connections(
                memory_bytes,
                machinememory.usable_descriptors(settings.file_descriptors),
            ),
            settings.body_timeout_s,
        )

    @property
    def closed(self) -> int:
        """Return how many connections were closed to free memory."""
        return self.closed_by_reason[MEMORY]

    def admits(self) -> bool:
        """Return whether another connection may be opened.

        The connection that has been silent for longest is closed for it,
        unless requests run on all of them.
        """
        if len(self.open) < self.max_connections:
            return True
        victim = next(iter(self.waiting), None)
        if victim is None:
            self.count_closed(CONNECTIONS, None)
            return False
        self.close(victim, CONNECTIONS)
        return True

    def accept(self, stream: iostream.IOStream) -> ClientConnection:
        """Return the record of a new connection, which counts until closed."""
        client = self.track_exchange(stream)
        client.holding.progress_at = clocks.boot_time()
        self.open.add(client)
        self.waiting[client] = None
        return client

    def track_exchange(self, stream: iostream.IOStream) -> ClientConnection:
        """Return a record of the bytes that are held for one connection."""
        return ClientConnection(self, stream)

    def begin_parsing(self, client: ClientConnection) -> bool:
        """Return whether a connection may read, and so parse, more chunks.

        The others keep their bytes in the kernel until it is their turn. Large
        chunks are parsed at once, so that these bodies do not wait.
        """
        self.parsing = {other for other in self.parsing if other.is_parsing()}
        if len(self.parsing) >= MAX_PARSING and client not in self.parsing:
            return False
        self.parsing.add(client)
        return True

    def record_progress(self, client: ClientConnection) -> None:
        """Move a connection without a running request to the end."""
        if client.holding.stage is heldmemory.Stage.SERVING:
            return
        if client in self.open:
            self.waiting.pop(client, None)
            self.waiting[client] = None

    def forget(self, client: ClientConnection) -> None:
        """Remove a connection that is closed."""
        self.held.drop(client.holding)
        self.by_holding.pop(client.holding, None)
        self.open.discard(client)
        self.waiting.pop(client, None)

    def track(self, client: ClientConnection) -> None:
        """Remember a connection while it holds bytes."""
        if client.holding.total:
            self.by_holding[client.holding] = client
        else:
            self.by_holding.pop(client.holding, None)

    def update(self, client: ClientConnection, **sizes: int) -> None:
        """Set sizes of a connection; close others if that is too much."""
        if client.stream is not None and client.stream.closed():
            self.forget(client)
            return
        self.held.update(client.holding, **sizes)
        self.track(client)
        if self.held.is_over_limit():
            self.enforce()
        self.held.peak = max(self.held.peak, self.held.total)

    def update_soon(self, client: ClientConnection, **sizes: int) -> None:
        """Set sizes of a connection that must not be closed at once."""
        self.held.update(client.holding, **sizes)
        self.track(client)
        if self.held.is_over_limit() and not self.is_enforcing:
            self.is_enforcing = True
            asyncio.get_running_loop().call_soon(self.enforce)

    def enforce(self) -> None:
        """Close connections until the sum is within its limit."""
        self.is_enforcing = False
        # Clients may have read a part since.
        for client in self.by_holding.values():
            unread = unread_bytes(client.stream)
            self.held.update(client.holding, unread=unread)
        while self.held.is_over_limit():
            victim = self.held.victim(clocks.boot_time())
            if victim is None:
                return
            self.close(self.by_holding[victim], MEMORY)

    def close(self, client: ClientConnection, reason: str) -> None:
        """Refuse a request that is being received; close the connection."""
        self.count_closed(reason, client)
        request, client.request = client.request, None
        self.forget(client)
        if request is not None:
            request.refuse()
        # Unlike closing the HTTP connection, this runs its close callback,
        # which cancels the exchange.
        client.stream.close()

    def count_closed(
        self, reason: str, client: ClientConnection | None
    ) -> None:
        """Count and log a closed connection, None for a new one."""
        self.closed_by_reason[reason] += 1
        if not CLOSED_LOG_LIMIT.allows(clocks.boot_time()):
            return
        holding = heldmemory.Holding() if client is None else client.holding
        LOG.warning(
            "client connection closed",
            reason=reason,
            stage=holding.stage.value if client is not None else "new",
            unread=holding.unread,
            request_bytes=holding.request + holding.buffered,
            response_bytes=holding.response,
            held=self.held.total,
            limit=self.held.limit,
            connections=len(self.open),
            max_connections=self.max_connections,
        )

    def dump(self) -> dict:
        """Return the state for operators."""
        return {
            "held": self.held.total,
            "limit": self.held.limit,
            "peak": self.held.peak,
            "connections": len(self.open),
            "max_connections": self.max_connections,
            "closed": dict(self.closed_by_reason),
        }

    def add_metrics(self, metrics: metrics_lib.Metrics) -> None:
        """Register the metrics."""
        metrics.gauge(
            "colts_client_connections",
            "Open connections of clients",
            lambda: len(self.open),
        )
        metrics.gauge(
            "colts_client_connections_limit",
            "Most connections of clients",
            lambda: self.max_connections,
        )
        metrics.gauge(
            "colts_client_held_bytes",
            "Bytes held for clients",
            lambda: self.held.total,
        )
        metrics.gauge(
            "colts_client_held_limit_bytes",
            "Most bytes that may be held for clients",
            lambda: self.held.limit,
        )
        metrics.labelled_counter(
            "colts_client_connections_closed",
            "Connections closed or refused, by the limit that was met",
            "reason",
            lambda: dict(self.closed_by_reason),
        )


def unread_bytes(stream: iostream.IOStream | None) -> int:
    """Return the bytes that wait in the process until the client reads."""
    if stream is None or stream.closed():
        return 0
    return len(stream._write_buffer)  # noqa: SLF001


def buffered_bytes(stream: iostream.IOStream | None) -> int:
    """Return the bytes that were read from a connection, but not parsed."""
    if stream is None or stream.closed():
        return 0
    return stream._read_buffer_size  # noqa: SLF001
