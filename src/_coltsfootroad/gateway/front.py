"""The listener for callers: tornado parses, an exchange serves."""

import asyncio
import traceback

from tornado import httpserver
from tornado import httputil

from _coltsfootroad.core import errors
from _coltsfootroad.core import routes
from _coltsfootroad.gateway import admission
from _coltsfootroad.gateway import exchange as exchange_lib
from _coltsfootroad.gateway import sockets
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import earlylistener
from _coltsfootroad.shell import listening
from _coltsfootroad.shell import logs

LOG = logs.logger("front")
# Idle connections are kept longer than callers may use them, so that a
# close does not cross with a request.
IDLE_MARGIN_S = 5.0
# A stopping gateway gives a request on a kept connection this time to
# arrive before it closes the connection.
CLOSE_IDLE_AFTER_S = 0.05


class MessageReader(httputil.HTTPMessageDelegate):
    """Collects one request and hands it to an exchange."""

    def __init__(self, gateway, connection):
        self.gateway = gateway
        self.connection = connection
        self.start = None
        self.headers = None
        self.parts: list[bytes] = []
        self.arrived_at = 0.0
        self.task: asyncio.Task | None = None

    def headers_received(self, start_line, headers):
        """Take the head."""
        self.start = start_line
        self.headers = headers
        self.arrived_at = clocks.boot_time()

    def data_received(self, chunk):
        """Take a piece of the body."""
        self.parts.append(chunk)

    def finish(self):
        """Serve the request now that it is whole."""
        request = admission.CallerRequest(
            self.start, self.headers, b"".join(self.parts), self.arrived_at
        )
        exchange = exchange_lib.Exchange(self.gateway, self.connection, request)
        self.connection.set_close_callback(self.on_caller_gone)
        self.gateway.running.add(exchange)
        self.task = asyncio.ensure_future(exchange.run())
        self.task.add_done_callback(lambda task: self.on_done(exchange, task))

    def on_caller_gone(self):
        """Stop whatever runs for a caller that has gone."""
        if self.task is not None and not self.task.done():
            self.task.cancel()

    def on_done(self, exchange, task: asyncio.Task) -> None:
        """Take the end of an exchange; a fault of ours ends in a log."""
        self.gateway.running.discard(exchange)
        if task.cancelled():
            LOG.info(
                "caller gone",
                request=exchange.request_id,
                sends=exchange.sends.count if exchange.sends else 0,
                after_s=round(clocks.boot_time() - self.arrived_at, 3),
            )
            self.gateway.note_failure(errors.ErrorCode.CALLER_GONE.value)
            self.connection.close()
            return
        fault = task.exception()
        if fault is not None:
            LOG.error(
                "exchange failed",
                request=exchange.request_id,
                fault="".join(traceback.format_exception(fault)),
            )
            self.connection.close()

    def on_connection_close(self):
        """Stop whatever runs for a caller that has gone."""
        self.on_caller_gone()


class FrontServer(httpserver.HTTPServer):
    """Sets socket options on each connection that is accepted."""

    def handle_stream(self, stream, address):
        """Serve a new connection."""
        if not stream.closed():
            sockets.tune(stream.socket)
        super().handle_stream(stream, address)


class Front(httputil.HTTPServerConnectionDelegate):
    """Makes a reader for each request and knows all connections."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.server: FrontServer | None = None

    def start_request(self, server_conn, request_conn):
        """Return what reads the next request of a connection."""
        return MessageReader(self.gateway, request_conn)

    def on_close(self, server_conn):
        """Take the end of a connection."""

    def listen(self, address: str) -> None:
        """Open the listener."""
        limits = routes.CallerLimits()
        self.server = FrontServer(
            self,
            max_header_size=limits.header_bytes,
            max_body_size=limits.body_bytes,
            max_buffer_size=limits.body_bytes + limits.header_bytes,
            idle_connection_timeout=limits.idle_timeout_s + IDLE_MARGIN_S,
        )
        with listening.at(address):
            self.server.add_sockets([earlylistener.take_listener(address)])

    def apply(self, limits: routes.CallerLimits) -> None:
        """Put a version's limits in force for new connections."""
        parameters = self.server.conn_params
        parameters.max_header_size = limits.header_bytes
        parameters.max_body_size = limits.body_bytes
        parameters.header_timeout = limits.idle_timeout_s + IDLE_MARGIN_S

    async def close(self) -> None:
        """Stop listening and close what is idle."""
        if self.server is not None:
            self.server.stop()
            await asyncio.sleep(CLOSE_IDLE_AFTER_S)
