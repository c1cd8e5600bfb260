"""Serves HTTP to clients that may send anything and stay connected.

All listeners of a process share one `ClientMemory`, which bounds what their
clients cost together.
"""

import io
import socket

from tornado import http1connection
from tornado import httpserver
from tornado import httputil
from tornado import iostream
from tornado import netutil
from tornado import web as tornado_web

from _coltsfootroad.core import clientlimits
from _coltsfootroad.core import errors
from _coltsfootroad.shell import clientmemory
from _coltsfootroad.shell import listening
from _coltsfootroad.shell import settings as settings_lib
from _coltsfootroad.shell import web

# Size of a read. Small reads keep little of a request outside its body.
READ_BYTES = 16 * 1024
IDLE_TIMEOUT_S = 300.0
MAX_HEADER_BYTES = 64 * 1024
RETRY_AFTER_S = 1


class ClientStream(iostream.IOStream):
    """A client's connection, which reports what it holds.

    Attributes:
        client: The record of the connection.
    """

    def __init__(
        self,
        raw: socket.socket,
        clients: clientmemory.ClientMemory,
        **options: int,
    ):
        super().__init__(raw, **options)
        self.client = clients.accept(self)

    def read_from_fd(self, buf):
        """Read from the socket and record the number of bytes.

        Nothing is read while it is not this connection's turn; the event loop
        calls again, as the socket stays readable.
        """
        size = self.client.readable_bytes(len(buf))
        if not size:
            return None
        with memoryview(buf) as view, view[:size] as part:
            count = super().read_from_fd(part)
        if count:
            self.client.on_received(clientmemory.buffered_bytes(self) + count)
        return count

    def close_fd(self):
        """Close the socket and forget the connection."""
        super().close_fd()
        self.client.on_closed()


class BufferedRequest(httputil.HTTPMessageDelegate, clientmemory.Refusable):
    """Buffers the body of a request, so that one limit covers all bodies.

    Handlers receive the whole body at once.

    Attributes:
        delegate: Handles the complete request; None once it has begun to.
        connection: The client's connection.
        client: The record of the connection.
        body: The body, as far as it was received.
        is_refused: Whether the request was refused and must not run.
    """

    def __init__(
        self,
        delegate: httputil.HTTPMessageDelegate,
        connection: http1connection.HTTP1Connection,
    ):
        self.delegate = delegate
        self.connection = connection
        self.client = connection.stream.client
        # Returns its bytes without a copy.
        self.body = io.BytesIO()
        self.is_refused = False

    def headers_received(self, start_line, headers):
        """Receive the headers."""
        encoding = headers.get("Transfer-Encoding", "")
        self.client.begin_request(self, "chunked" in encoding.lower())
        return self.delegate.headers_received(start_line, headers)

    def data_received(self, chunk):
        """Receive a chunk of the body."""
        if self.is_refused:
            return
        self.body.write(chunk)
        self.client.hold_request(self.body.tell())

    def finish(self):
        """Pass the complete request on."""
        if self.is_refused:
            return
        self.client.begin_service()
        if self.connection.stream.closed():
            return
        # The delegate keeps the body, for as long as it is referenced itself.
        delegate, self.delegate = self.delegate, None
        if self.body.tell():
            delegate.data_received(self.body.getvalue())
        self.drop_body()
        delegate.finish()

    def drop_body(self) -> None:
        """Free the bytes of the body."""
        self.body = io.BytesIO()

    def on_connection_close(self):
        """Drop a request whose connection is closed."""
        self.drop_body()
        if self.delegate is not None:
            self.delegate.on_connection_close()

    def refuse(self):
        """Respond that the request was not run."""
        self.is_refused = True
        self.drop_body()
        failure = errors.Failure(
            errors.ErrorCode.UNAVAILABLE,
            "too many bytes of requests are being received",
            retry_after_s=RETRY_AFTER_S,
        )
        body = web.failure_body(failure)
        lines = (
            "HTTP/1.1 503 Service Unavailable",
            f"Content-Type: {web.JSON_TYPE}",
            f"Content-Length: {len(body)}",
            f"Retry-After: {RETRY_AFTER_S}",
            "Connection: close",
        )
        head = "\r\n".join(lines) + "\r\n\r\n"
        stream = self.connection.stream
        if stream is not None and not stream.closed():
            stream.write(head.encode() + body)


class ClientServer(httpserver.HTTPServer):
    """An HTTP server whose connections count towards a `ClientMemory`."""

    def initialize(self, request_callback, clients, **options):
        """Set the limits of a listener.

        Args:
            request_callback: As of `HTTPServer`.
            clients: What all clients of the process cost.
            options: Further options of `HTTPServer`.
        """
        self.clients = clients
        super().initialize(
            request_callback,
            chunk_size=READ_BYTES,
            body_timeout=clients.body_timeout_s,
            **options,
        )

    def handle_stream(self, stream, address):
        """Serve a new connection, or close it if there are too many."""
        if stream.closed():
            return
        if not self.clients.admits():
            stream.close()
            return
        self.tune(stream.socket)
        # The stream has not read anything yet.
        client_stream = ClientStream(
            stream.socket,
            self.clients,
            max_buffer_size=self.max_buffer_size,
            read_chunk_size=self.read_chunk_size,
        )
        super().handle_stream(client_stream, address)

    def tune(self, raw: socket.socket) -> None:
        """Set options of an accepted socket; the default is none."""

    def start_request(self, server_conn, request_conn):
        """Return the delegate of the next request of a connection."""
        return BufferedRequest(
            super().start_request(server_conn, request_conn), request_conn
        )


def limit_receive_buffer(listener: socket.socket) -> None:
    """Bound the receive buffers of the connections that a listener accepts."""
    # Linux doubles the size that is set.
    size = clientlimits.RECEIVE_BUFFER_BYTES // 2
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def listen(
    app: tornado_web.Application,
    address: str,
    max_body_bytes: int,
    clients: clientmemory.ClientMemory,
) -> ClientServer:
    """Serve an application on `ip:port`, with limits on sizes and idle time.

    Args:
        app: Handles the requests.
        address: Where to listen.
        max_body_bytes: Largest body of a request in bytes.
        clients: What all clients of the process cost.

    Raises:
        ListenError: The address cannot be bound.
    """
    app.settings["log_function"] = on_request_done
    server = ClientServer(
        app,
        clients,
        max_body_size=max_body_bytes,
        max_buffer_size=max_body_bytes + MAX_HEADER_BYTES,
        max_header_size=MAX_HEADER_BYTES,
        idle_connection_timeout=IDLE_TIMEOUT_S,
    )
    host, port = settings_lib.split_address(address)
    with listening.errors_at(address):
        listeners = netutil.bind_sockets(port, host)
        for listener in listeners:
            limit_receive_buffer(listener)
        server.add_sockets(listeners)
    return server


def on_request_done(handler: tornado_web.RequestHandler) -> None:
    """Release what is held for a request; log an internal error."""
    web.log_request(handler)
    # Handlers are parts of reference cycles, which are collected much later.
    handler.request.body = b""
    stream = handler.request.connection.stream
    if stream is not None and not stream.closed():
        stream.client.release(stream.client.request_count)
        stream.client.on_written()
