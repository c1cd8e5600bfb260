"""Bounds the memory that a gateway holds for all callers together.

Streams hold little, as each write of events waits until the caller has read
the previous one. Other responses are written at once, and requests are
buffered until their bodies are complete.
"""

import attrs
from tornado import iostream

from _coltsfootroad.core import heldmemory
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import metrics as metrics_lib

LOG = logs.logger("front")


@attrs.define(eq=False)
class CallerConnection:
    """Reports the bytes held for one request of a caller's connection.

    Attributes:
        memory: The memory held for all callers.
        connection: The caller's connection.
        holding: Bytes that are held.
        is_flushing: Whether bytes wait for the caller to read.
        read_at: Boot clock seconds when the caller had last read all bytes
            that had to wait; 0 before.
    """

    memory: "CallerMemory"
    connection: object
    holding: heldmemory.Holding = attrs.Factory(heldmemory.Holding)
    is_flushing: bool = False
    read_at: float = 0.0

    def hold_request(self, size: int) -> None:
        """Set the bytes of the request's body."""
        self.memory.update(self, request=size)

    def hold_response(self, size: int) -> None:
        """Set the bytes of an endpoint's response that are buffered."""
        if size != self.holding.response:
            self.memory.update(self, response=size)

    def release(self) -> None:
        """Forget request and response; bytes may remain unread."""
        self.memory.update(self, request=0, response=0)

    def on_written(self) -> None:
        """Record the bytes that remain unread, until they are read."""
        stream = self.connection.stream
        unread = unread_bytes(stream)
        if unread and not self.is_flushing:
            self.is_flushing = True
            # Done once all previous bytes are sent, or the stream is closed.
            stream.write(b"").add_done_callback(self.on_flushed)
        if unread != self.holding.unread:
            self.memory.update(self, unread=unread)

    def on_flushed(self, _) -> None:
        """Record what was written since."""
        self.is_flushing = False
        self.read_at = clocks.boot_time()
        self.on_written()


@attrs.define(eq=False)
class CallerMemory:
    """Closes callers' connections while too many bytes are held for them.

    Attributes:
        held: The bytes by connection and their limit.
        by_holding: Connections with at least one byte.
        closed: Number of connections that were closed.
    """

    held: heldmemory.HeldMemory
    by_holding: dict[heldmemory.Holding, CallerConnection] = attrs.Factory(dict)
    closed: int = 0

    def open(self, connection) -> CallerConnection:
        """Return the record of a caller's connection."""
        return CallerConnection(self, connection)

    def update(self, caller: CallerConnection, **sizes: int) -> None:
        """Set sizes of a connection; close others if that is too much."""
        self.held.update(caller.holding, **sizes)
        if caller.holding.total:
            self.by_holding[caller.holding] = caller
        else:
            self.by_holding.pop(caller.holding, None)
        if self.held.is_over_limit():
            self.enforce()
        self.held.peak = max(self.held.peak, self.held.total)

    def enforce(self) -> None:
        """Close connections until the sum is within its limit."""
        # Callers may have read a part since.
        for caller in self.by_holding.values():
            unread = unread_bytes(caller.connection.stream)
            self.held.update(caller.holding, unread=unread)
        while self.held.is_over_limit():
            victim = self.held.victim()
            if victim is None:
                return
            self.close(self.by_holding.pop(victim))

    def close(self, caller: CallerConnection) -> None:
        """Close the connection of a slow reader."""
        holding = caller.holding
        self.closed += 1
        LOG.warning(
            "slow reader closed",
            unread=holding.unread,
            request_bytes=holding.request,
            response_bytes=holding.response,
            held=self.held.total,
            limit=self.held.limit,
            connections=len(self.held.holdings),
        )
        self.held.drop(holding)
        # Unlike closing the HTTP connection, this runs its close callback,
        # which cancels the exchange.
        caller.connection.stream.close()

    def dump(self) -> dict:
        """Return the state for operators."""
        return {
            "held": self.held.total,
            "limit": self.held.limit,
            "peak": self.held.peak,
            "connections": len(self.by_holding),
            "closed": self.closed,
        }

    def add_metrics(self, metrics: metrics_lib.Metrics) -> None:
        """Register the metrics."""
        metrics.gauge(
            "colts_gateway_held_bytes",
            "Bytes held for callers",
            lambda: self.held.total,
        )
        metrics.gauge(
            "colts_gateway_held_limit_bytes",
            "Most bytes that may be held for callers",
            lambda: self.held.limit,
        )
        metrics.counter(
            "colts_gateway_slow_readers_closed",
            "Connections closed as too many bytes were held for callers",
            lambda: self.closed,
        )


def unread_bytes(stream: iostream.IOStream | None) -> int:
    """Return the bytes that wait in the process until the caller reads."""
    if stream is None or stream.closed():
        return 0
    return len(stream._write_buffer)  # noqa: SLF001
