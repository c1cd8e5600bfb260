"""Listens for callers' requests and serves each with an `Exchange`."""

import asyncio
import traceback

from tornado import httputil

from _coltsfootroad.core import errors
from _coltsfootroad.core import routes
from _coltsfootroad.gateway import admission
from _coltsfootroad.gateway import exchange as exchange_lib
from _coltsfootroad.gateway import sockets
from _coltsfootroad.shell import clientserver
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import earlylistener
from _coltsfootroad.shell import listening
from _coltsfootroad.shell import logs

LOG = logs.logger("front")
# Idle connections are kept open for longer than callers may reuse them, so that
# no request is sent on a connection that is being closed.
IDLE_MARGIN_S = 5.0
# A stopping gateway waits this long for requests in transit on idle
# connections before they are closed.
CLOSE_IDLE_AFTER_S = 0.05


class RequestReader(httputil.HTTPMessageDelegate):
    """Reads one request and starts its exchange."""

    def __init__(self, gateway, connection):
        self.gateway = gateway
        self.connection = connection
        self.start = None
        self.headers = None
        self.body = b""
        self.caller = connection.stream.client
        self.request_number = 0
        self.arrived_at = 0.0
        self.task: asyncio.Task | None = None

    def headers_received(self, start_line, headers):
        """Receive the headers."""
        self.start = start_line
        self.headers = headers
        self.request_number = self.caller.request_count
        self.arrived_at = clocks.boot_time()

    def data_received(self, chunk):
        """Receive the whole body."""
        self.body = chunk

    def finish(self):
        """Start to serve the complete request."""
        names = self.gateway.dialect.names
        request = admission.CallerRequest(
            self.start,
            self.headers,
            self.body,
            self.arrived_at,
            self.headers.get(names.forwarded_by, ""),
        )
        self.body = b""
        exchange = exchange_lib.Exchange(
            self.gateway, self.connection, request, caller=self.caller
        )
        self.connection.set_close_callback(self.on_caller_gone)
        self.gateway.running.add(exchange)
        self.task = asyncio.ensure_future(exchange.run())
        self.task.add_done_callback(lambda task: self.on_done(exchange, task))

    def on_caller_gone(self):
        """Cancel the exchange because the caller has disconnected."""
        if self.task is not None and not self.task.done():
            self.task.cancel()

    def on_done(self, exchange, task: asyncio.Task) -> None:
        """Handle the end of an exchange; log its exception if there is one."""
        self.gateway.running.discard(exchange)
        self.caller.release(self.request_number)
        # An exchange is part of reference cycles, which are collected later.
        exchange.request.body = b""
        if task.cancelled():
            LOG.info(
                "caller gone",
                request=exchange.request_id,
                sends=exchange.sends.count if exchange.sends else 0,
                after_s=round(clocks.boot_time() - self.arrived_at, 3),
            )
            self.gateway.record_failure(errors.ErrorCode.CALLER_GONE.value)
            self.connection.close()
            return
        error = task.exception()
        if error is not None:
            LOG.error(
                "exchange failed",
                request=exchange.request_id,
                fault="".join(traceback.format_exception(error)),
            )
            self.connection.close()

    def on_connection_close(self):
        """Cancel the exchange because the caller has disconnected."""
        self.on_caller_gone()


class FrontServer(clientserver.ClientServer):
    """Sets socket options on accepted connections."""

    def tune(self, raw):
        """Set the options of a caller's connection."""
        sockets.tune(raw)


class Front(httputil.HTTPServerConnectionDelegate):
    """Owns the HTTP server and creates a reader for each request."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.server: FrontServer | None = None

    def start_request(self, server_conn, request_conn):
        """Return a reader for the next request of a connection."""
        return RequestReader(self.gateway, request_conn)

    def on_close(self, server_conn):
        """Ignore the end of a connection; its reader handles it."""

    def listen(self, address: str) -> None:
        """Open the listener."""
        limits = routes.CallerLimits()
        self.server = FrontServer(
            self,
            self.gateway.caller_memory,
            max_header_size=limits.header_bytes,
            max_body_size=limits.body_bytes,
            max_buffer_size=limits.body_bytes + limits.header_bytes,
            idle_connection_timeout=limits.idle_timeout_s + IDLE_MARGIN_S,
        )
        with listening.errors_at(address):
            listener = earlylistener.take_listener(address)
            clientserver.limit_receive_buffer(listener)
            self.server.add_sockets([listener])

    def apply(self, limits: routes.CallerLimits) -> None:
        """Apply limits to new connections."""
        parameters = self.server.conn_params
        parameters.max_header_size = limits.header_bytes
        parameters.max_body_size = limits.body_bytes
        parameters.header_timeout = limits.idle_timeout_s + IDLE_MARGIN_S

    async def close(self) -> None:
        """Stop listening and wait briefly for requests in transit."""
        if self.server is not None:
            self.server.stop()
            await asyncio.sleep(CLOSE_IDLE_AFTER_S)
