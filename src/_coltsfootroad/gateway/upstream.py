"""Sends requests to endpoints over pooled HTTP/1.1 connections.

tornado parses and frames the messages; this module decides which connection
may carry a request, and what the end of a call proves about its execution.
"""

import abc
import asyncio
from collections.abc import Callable
import enum
import socket

import attrs
from tornado import http1connection
from tornado import httputil
from tornado import iostream

from _coltsfootroad.core import headernumbers
from _coltsfootroad.gateway import responselimits
from _coltsfootroad.gateway import sockets
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import settings as settings_lib
from _coltsfootroad.shell import traffic

# Connecting within a site takes 2 ms. TCP retransmits a lost SYN after one
# second, too late for a short request.
CONNECT_TIMEOUT_S = 0.4
# Part of the endpoint's keep-alive time in which an idle connection is reused;
# later, the endpoint may close it while the next request is in flight.
KEEP_ALIVE_FRACTION = 0.5
# Used when an endpoint states no keep-alive time.
DEFAULT_KEEP_ALIVE_S = 1.0
MAX_IDLE_PER_ENDPOINT = 8
CHUNK_BYTES = 64 * 1024
# Traffic counters of request and response bodies.
REQUEST_KIND = "request"
RESPONSE_KIND = "answer"


class ConnectFailure(enum.Enum):
    """Why a new connection was not established."""

    REFUSED = "refused"
    UNANSWERED = "unanswered"
    FAILED = "failed"


class ConnectObserver(abc.ABC):
    """Follows one attempt to connect."""

    @abc.abstractmethod
    def on_started(self) -> None:
        """Receive the start of the attempt."""

    @abc.abstractmethod
    def on_ended(self, failure: ConnectFailure | None) -> None:
        """Receive the result; `failure` is None for a new connection."""

    @abc.abstractmethod
    def on_cancelled(self) -> None:
        """Receive the end of an attempt without a result."""


class CallEnd(enum.Enum):
    """How a call on a connection ended."""

    COMPLETE = "complete"
    # No connection was established.
    NOT_SENT = "not_sent"
    # The sender itself refused the send right before it.
    NOT_ALLOWED = "not_allowed"
    LOST = "lost"
    # The response violates HTTP or has no end. The endpoint is at fault, and
    # has not crashed. The request may have run.
    MALFORMED = "malformed"
    SILENT = "silent"
    # Cancelled by the gateway because the request went into quarantine.
    STOPPED = "stopped"


# Ends of calls that wrote nothing to the connection.
NOTHING_SENT = (CallEnd.NOT_SENT, CallEnd.NOT_ALLOWED)
# Ends that the gateway itself caused, so that the endpoint is not at fault.
OWN_ENDS = (CallEnd.NOT_ALLOWED, CallEnd.STOPPED)


@attrs.frozen(kw_only=True)
class UpstreamRequest:
    """The request line, headers and body that are sent unchanged."""

    method: str
    target: str
    headers: httputil.HTTPHeaders
    body: bytes = b""


class ResponseSink(abc.ABC):
    """Receives a response as it arrives.

    Attributes:
        fault: Why the response was abandoned, None if it was not.
    """

    fault: responselimits.Fault | None = None

    @abc.abstractmethod
    def on_head(self, status: int, reason: str, headers) -> bool:
        """Receive status and headers; return False to discard the body."""

    @abc.abstractmethod
    def on_data(self, data: bytes):
        """Receive body bytes; may return a future to wait for.

        Raises:
            HTTPInputError: If the response is over a limit, see `abandon`.
        """

    def body_limit(self) -> tuple[int, responselimits.Fault]:
        """Return the largest body in bytes, and the fault of a larger one."""
        return (
            responselimits.MAX_DISCARDED_BODY_BYTES,
            responselimits.Fault.DISCARDED_BODY,
        )

    def abandon(self, fault: responselimits.Fault) -> None:
        """Close the connection, as the response cannot be read to its end.

        Raises:
            HTTPInputError: Always; the HTTP parser closes the connection.
        """
        self.fault = fault
        raise responselimits.input_error(fault)


def allow_send() -> bool:
    """Allow every request to be sent."""
    return True


@attrs.define
class IdleConnection:
    """An idle connection and the time until which it may be reused."""

    stream: iostream.IOStream
    use_until: float


class ResponseReader(httputil.HTTPMessageDelegate):
    """Forwards tornado's parser callbacks to a sink.

    Attributes:
        sink: Receives the response.
        headers: Headers of the response, None before they arrive.
        complete: Whether the response is complete by its framing.
        status: HTTP status, 0 before the headers arrive.
        aborted: Whether the sink discards the body.
        body_bytes: Number of bytes of the body that were received.
        sink_failed: Whether the sink did not accept the body; mostly, the
            caller has closed its connection.
        is_cancelled: Whether the call was cancelled while the sink waited.
    """

    def __init__(self, sink: ResponseSink):
        self.sink = sink
        self.headers = None
        self.complete = False
        self.status = 0
        self.aborted = False
        self.body_bytes = 0
        self.sink_failed = False
        self.is_cancelled = False

    def headers_received(self, start_line, headers):
        """Receive the headers; 1xx responses are ignored."""
        if start_line.code < 200:
            return
        self.status = start_line.code
        self.headers = headers
        self.aborted = not self.sink.on_head(
            start_line.code, start_line.reason, headers
        )
        return

    def data_received(self, chunk):
        """Receive a chunk of the body."""
        traffic.count_received(RESPONSE_KIND, len(chunk))
        self.body_bytes += len(chunk)
        if self.aborted:
            limit, fault = ResponseSink.body_limit(self.sink)
        else:
            limit, fault = self.sink.body_limit()
        if self.body_bytes > limit:
            self.sink.abandon(fault)
        if self.aborted:
            return None
        waiting = self.sink.on_data(chunk)
        return None if waiting is None else self.wait_for(waiting)

    async def wait_for(self, waiting) -> None:
        """Wait until the sink has accepted a chunk."""
        try:
            await waiting
        except httputil.HTTPInputError:
            raise
        except asyncio.CancelledError:
            # The parser would report a cancellation as a fault of the sink.
            self.is_cancelled = True
            raise httputil.HTTPInputError("cancelled") from None
        except Exception:
            self.sink_failed = True
            raise

    def finish(self):
        """Mark the response as complete according to its framing."""
        self.complete = True

    def on_connection_close(self):
        """Leave the response marked as incomplete."""


@attrs.define
class EndpointPool:
    """The connection pool of one endpoint's address."""

    address: str
    idle: list[IdleConnection] = attrs.Factory(list)
    busy: int = 0
    opened: int = 0

    async def connect(
        self, observer: ConnectObserver | None = None
    ) -> iostream.IOStream | None:
        """Return a new connection, None on failure or time-out."""
        if observer is None:
            stream, _ = await self.open_stream()
            return stream
        observer.on_started()
        try:
            stream, failure = await self.open_stream()
        except asyncio.CancelledError:
            observer.on_cancelled()
            raise
        observer.on_ended(failure)
        return stream

    async def open_stream(
        self,
    ) -> tuple[iostream.IOStream | None, ConnectFailure | None]:
        """Return a new connection, or why there is none."""
        raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sockets.tune(raw)
        stream = iostream.IOStream(raw)
        self.opened += 1
        try:
            # Unlike `asyncio.wait_for`, this does not drop a cancellation that
            # arrives together with the result.
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.connect(settings_lib.split_address(self.address))
        except (iostream.StreamClosedError, OSError, TimeoutError) as error:
            stream.close()
            return None, connect_failure(error)
        except asyncio.CancelledError:
            stream.close()
            raise
        return stream, None

    def take_idle(self) -> iostream.IOStream | None:
        """Return an idle connection that is safe to reuse, None if none is."""
        now = clocks.boot_time()
        while self.idle:
            idle_connection = self.idle.pop()
            if now < idle_connection.use_until and is_open_without_input(
                idle_connection.stream
            ):
                return idle_connection.stream
            idle_connection.stream.close()
        return None

    async def call(
        self,
        request: UpstreamRequest,
        sink: ResponseSink,
        reuse: bool,
        may_send: Callable[[], bool] = allow_send,
        observer: ConnectObserver | None = None,
    ) -> CallEnd:
        """Send a request and read its response.

        A request that must not run twice needs a new connection: if a reused
        one turns out to be closed, nothing proves that the request did not
        run. `may_send` is called right before the first byte is written.
        """
        stream = self.take_idle() if reuse else None
        if stream is None:
            stream = await self.connect(observer)
        if stream is None:
            return CallEnd.NOT_SENT
        if not may_send():
            stream.close()
            return CallEnd.NOT_ALLOWED
        self.busy += 1
        try:
            return await self.exchange(stream, request, sink)
        finally:
            self.busy -= 1

    async def exchange(
        self,
        stream: iostream.IOStream,
        request: UpstreamRequest,
        sink: ResponseSink,
    ) -> CallEnd:
        """Run one request on a connection, then pool or close it."""
        connection = http1connection.HTTP1Connection(stream, True, PARAMETERS)
        reader = ResponseReader(sink)
        keep = False
        try:
            start = httputil.RequestStartLine(
                request.method, request.target, "HTTP/1.1"
            )
            written = connection.write_headers(
                start, request.headers, request.body
            )
            written.add_done_callback(consume_exception)
            traffic.count_sent(REQUEST_KIND, len(request.body))
            connection.finish()
            stream.set_nodelay(True)
            await connection.read_response(reader)
            if not reader.complete:
                # The parser closed the connection, or the sink failed.
                if reader.is_cancelled:
                    raise asyncio.CancelledError
                if reader.sink_failed:
                    return CallEnd.LOST
                return self.abandoned(request, reader, sink.fault)
            is_complete = reader.complete and stream.error is None
            keep = is_complete and is_reusable(stream, reader, written.done())
            return CallEnd.COMPLETE if is_complete else CallEnd.LOST
        except (iostream.StreamClosedError, OSError):
            if isinstance(stream.error, iostream.UnsatisfiableReadError):
                return self.abandoned(request, reader, unbounded_line(reader))
            return CallEnd.LOST
        finally:
            if keep:
                self.keep(connection.detach(), reader.headers)
            else:
                stream.close()

    def abandoned(
        self,
        request: UpstreamRequest,
        reader: ResponseReader,
        fault: responselimits.Fault | None,
    ) -> CallEnd:
        """Record a response that is not read any further."""
        reader.sink.fault = fault or responselimits.Fault.FRAMING
        responselimits.record(
            self.address, reader.sink.fault, request.target, reader.body_bytes
        )
        return CallEnd.MALFORMED

    def keep(self, stream: iostream.IOStream, headers) -> None:
        """Pool a connection for part of the endpoint's keep-alive time."""
        keep_alive_time_s = keep_alive_s(headers)
        if len(self.idle) >= MAX_IDLE_PER_ENDPOINT or keep_alive_time_s <= 0:
            stream.close()
            return
        use_until = clocks.boot_time() + keep_alive_time_s * KEEP_ALIVE_FRACTION
        # With a close callback, the stream detects that the peer closes.
        stream.set_close_callback(ignore_close)
        self.idle.append(IdleConnection(stream, use_until))

    def close(self) -> None:
        """Close the idle connections."""
        for idle_connection in self.idle:
            idle_connection.stream.close()
        self.idle.clear()


PARAMETERS = http1connection.HTTP1ConnectionParameters(
    max_header_size=responselimits.MAX_HEAD_BYTES,
    # Sinks have lower limits; this one applies to streams.
    max_body_size=responselimits.MAX_STREAM_BYTES,
    chunk_size=CHUNK_BYTES,
    decompress=False,
)


def connect_failure(error: Exception) -> ConnectFailure:
    """Return why a connection failed, by the error of the attempt."""
    cause = getattr(error, "real_error", None) or error
    if isinstance(cause, TimeoutError):
        return ConnectFailure.UNANSWERED
    if isinstance(cause, (ConnectionRefusedError, ConnectionResetError)):
        return ConnectFailure.REFUSED
    return ConnectFailure.FAILED


def unbounded_line(reader: ResponseReader) -> responselimits.Fault:
    """Return the fault of a line without end: in the head or of a chunk."""
    if reader.headers is None:
        return responselimits.Fault.HEAD
    return responselimits.Fault.FRAMING


def ignore_close() -> None:
    """Ignore that an idle connection closed; `take_idle` detects it."""


def consume_exception(future: asyncio.Future) -> None:
    """Retrieve a failed write's exception; the reader reports the failure."""
    if not future.cancelled():
        future.exception()


def is_open_without_input(stream: iostream.IOStream) -> bool:
    """Return whether an idle connection is open and has no unread input.

    Unsolicited bytes would be parsed as the next response.
    """
    if stream.closed() or stream._read_buffer_size:  # noqa: SLF001
        return False
    try:
        waiting = stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    # The peer has closed the connection or sent unsolicited bytes.
    del waiting
    return False


def is_reusable(
    stream: iostream.IOStream, reader: ResponseReader, all_written: bool
) -> bool:
    """Return whether a connection can carry another request.

    An endpoint may respond before it has read a long body; the rest of that
    body would then be parsed as the next request.
    """
    if reader.aborted or not all_written or stream.closed():
        return False
    tokens = reader.headers.get("Connection", "").lower()
    framed = (
        "Content-Length" in reader.headers
        or "Transfer-Encoding" in reader.headers
    )
    return framed and "close" not in tokens and is_open_without_input(stream)


def keep_alive_s(headers) -> float:
    """Return the peer's keep-alive time in seconds."""
    for parameter in headers.get("Keep-Alive", "").split(","):
        name, _, value = parameter.strip().partition("=")
        stated_s = headernumbers.read_count(value.strip())
        if name.lower() == "timeout" and stated_s is not None:
            return float(stated_s)
    return DEFAULT_KEEP_ALIVE_S
