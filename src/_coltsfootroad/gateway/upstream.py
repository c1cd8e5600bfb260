"""Connections to endpoints: kept ones, and one request on each.

tornado's connection class parses and frames; this module decides which
connection may carry which request and what the end of an answer proves.
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

from _coltsfootroad.gateway import sockets
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import settings as settings_lib
from _coltsfootroad.shell import traffic

# A connection within a place takes 2 ms; a lost packet is sent again after
# a second, which no short request can wait for.
CONNECT_TIMEOUT_S = 0.4
# A kept connection is used within this part of the time that the endpoint
# promised to keep it; closing may cross with the next request.
KEEP_SHARE = 0.5
# Used when an endpoint does not say how long it keeps connections.
UNSTATED_KEEP_S = 1.0
MAX_IDLE_PER_ENDPOINT = 8
MAX_HEADER_BYTES = 64 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024
CHUNK_BYTES = 64 * 1024
# How the bodies of requests and answers are counted.
REQUEST_KIND = "request"
ANSWER_KIND = "answer"


class CallEnd(enum.Enum):
    """How a call on a connection ended."""

    COMPLETE = "complete"
    NOT_SENT = "not_sent"
    LOST = "lost"
    SILENT = "silent"
    # Ended by the gateway, as the request is not to run any longer.
    STOPPED = "stopped"


@attrs.frozen(kw_only=True)
class UpstreamRequest:
    """What is sent: the request line, headers and body as they are."""

    method: str
    target: str
    headers: httputil.HTTPHeaders
    body: bytes = b""


class AnswerSink(abc.ABC):
    """Takes an answer as it arrives."""

    @abc.abstractmethod
    def on_head(self, status: int, reason: str, headers) -> bool:
        """Take status and headers; False gives the answer up."""

    @abc.abstractmethod
    def on_data(self, data: bytes):
        """Take bytes of the body; may return a future to wait for."""


def always() -> bool:
    """Let everything be sent."""
    return True


@attrs.define
class KeptConnection:
    """An idle connection and until when it may be used."""

    stream: iostream.IOStream
    use_until: float


class AnswerReader(httputil.HTTPMessageDelegate):
    """Passes tornado's parsing events to a sink."""

    def __init__(self, sink: AnswerSink):
        self.sink = sink
        self.headers = None
        self.complete = False
        self.status = 0
        self.given_up = False

    def headers_received(self, start_line, headers):
        """Take the head of an answer; interim ones are dropped."""
        if start_line.code < 200:
            return
        self.status = start_line.code
        self.headers = headers
        self.given_up = not self.sink.on_head(
            start_line.code, start_line.reason, headers
        )
        return

    def data_received(self, chunk):
        """Take a piece of the body."""
        traffic.count_received(ANSWER_KIND, len(chunk))
        return None if self.given_up else self.sink.on_data(chunk)

    def finish(self):
        """Note that the framing says that the answer is whole."""
        self.complete = True

    def on_connection_close(self):
        """Leave the answer as incomplete."""


@attrs.define
class EndpointPool:
    """The connections to one endpoint's address."""

    address: str
    idle: list[KeptConnection] = attrs.Factory(list)
    busy: int = 0
    opened: int = 0

    async def connect(self) -> iostream.IOStream | None:
        """Return a new connection, None if there is none in time."""
        raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sockets.tune(raw)
        stream = iostream.IOStream(raw)
        self.opened += 1
        try:
            await asyncio.wait_for(
                stream.connect(settings_lib.split_address(self.address)),
                CONNECT_TIMEOUT_S,
            )
        except (iostream.StreamClosedError, OSError, TimeoutError):
            stream.close()
            return None
        except asyncio.CancelledError:
            stream.close()
            raise
        return stream

    def take_idle(self) -> iostream.IOStream | None:
        """Return a kept connection that is surely still good."""
        now = clocks.boot_time()
        while self.idle:
            kept = self.idle.pop()
            if now < kept.use_until and is_quiet(kept.stream):
                return kept.stream
            kept.stream.close()
        return None

    async def call(
        self,
        request: UpstreamRequest,
        sink: AnswerSink,
        reuse: bool,
        may_send: Callable[[], bool] = always,
    ) -> CallEnd:
        """Send a request and read its answer.

        A request that must not run twice goes on a new connection: when a
        kept one turns out closed, nothing proves that it did not run.
        `may_send` is asked right before the first byte is written.
        """
        stream = self.take_idle() if reuse else None
        if stream is None:
            stream = await self.connect()
        if stream is None:
            return CallEnd.NOT_SENT
        if not may_send():
            stream.close()
            return CallEnd.NOT_SENT
        self.busy += 1
        try:
            return await self.exchange(stream, request, sink)
        finally:
            self.busy -= 1

    async def exchange(
        self,
        stream: iostream.IOStream,
        request: UpstreamRequest,
        sink: AnswerSink,
    ) -> CallEnd:
        """Run one request on an open connection, then keep or close it."""
        connection = http1connection.HTTP1Connection(stream, True, PARAMETERS)
        reader = AnswerReader(sink)
        keep = False
        try:
            start = httputil.RequestStartLine(
                request.method, request.target, "HTTP/1.1"
            )
            written = connection.write_headers(
                start, request.headers, request.body
            )
            written.add_done_callback(forget_failure)
            traffic.count_sent(REQUEST_KIND, len(request.body))
            connection.finish()
            stream.set_nodelay(True)
            await connection.read_response(reader)
            whole = reader.complete and stream.error is None
            keep = whole and may_keep(stream, reader, written.done())
            return CallEnd.COMPLETE if whole else CallEnd.LOST
        except (iostream.StreamClosedError, OSError):
            return CallEnd.LOST
        finally:
            if keep:
                self.keep(connection.detach(), reader.headers)
            else:
                stream.close()

    def keep(self, stream: iostream.IOStream, headers) -> None:
        """Keep a connection for as long as the endpoint promises to."""
        promised_s = keep_alive_s(headers)
        if len(self.idle) >= MAX_IDLE_PER_ENDPOINT or promised_s <= 0:
            stream.close()
            return
        use_until = clocks.boot_time() + promised_s * KEEP_SHARE
        # A close callback makes the stream watch for the other side's end.
        stream.set_close_callback(do_nothing)
        self.idle.append(KeptConnection(stream, use_until))

    def close(self) -> None:
        """Close the idle connections."""
        for kept in self.idle:
            kept.stream.close()
        self.idle.clear()


PARAMETERS = http1connection.HTTP1ConnectionParameters(
    max_header_size=MAX_HEADER_BYTES,
    max_body_size=MAX_BODY_BYTES,
    chunk_size=CHUNK_BYTES,
    decompress=False,
)


def do_nothing() -> None:
    """Take the end of an idle connection; it is found closed later."""


def forget_failure(future: asyncio.Future) -> None:
    """Fetch a failed write's error; the reading side reports it."""
    if not future.cancelled():
        future.exception()


def is_quiet(stream: iostream.IOStream) -> bool:
    """Return whether an idle connection is open and nothing has come in.

    Bytes that an endpoint sends unasked would be read as the next answer.
    """
    if stream.closed() or stream._read_buffer_size:  # noqa: SLF001
        return False
    try:
        waiting = stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    # Neither an end nor extra bytes may stand before the next answer.
    del waiting
    return False


def may_keep(
    stream: iostream.IOStream, reader: AnswerReader, all_written: bool
) -> bool:
    """Return whether a connection can carry another request.

    An endpoint may answer before it has read a long body; what is left of
    that body would then be taken for the next request.
    """
    if reader.given_up or not all_written or stream.closed():
        return False
    tokens = reader.headers.get("Connection", "").lower()
    framed = (
        "Content-Length" in reader.headers
        or "Transfer-Encoding" in reader.headers
    )
    return framed and "close" not in tokens and is_quiet(stream)


def keep_alive_s(headers) -> float:
    """Return for how many seconds the other side keeps a connection."""
    for word in headers.get("Keep-Alive", "").split(","):
        name, _, value = word.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            return float(value)
    return UNSTATED_KEEP_S
