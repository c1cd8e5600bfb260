"""Writes a response to a caller, or closes the connection if it is partial."""

from collections.abc import Callable

import attrs
from tornado import http1connection
from tornado import httputil
from tornado import iostream

from _coltsfootroad.core import errors
from _coltsfootroad.core import eventstream
from _coltsfootroad.gateway import names as names_lib
from _coltsfootroad.gateway import upstream
from _coltsfootroad.shell import clientmemory
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import web

LOG = logs.logger("request")
# Larger bodies are written separately from the headers.
MAX_COPIED_BYTES = 64 * 1024


@attrs.define(eq=False)
class Reply:
    """Writes the response to the caller's connection.

    Attributes:
        gateway: The gateway that responds.
        connection: The caller's connection.
        request_id: ID of the request.
        arrived_at: Boot clock seconds when the request's headers were read.
        on_event: Called with the number of events before each write of new
            events.
        caller: Records what the caller has not read.
        streaming: Whether the response has begun as a stream.
        last_event: ID of the last event that was forwarded.
        last_event_at: Boot clock seconds when that event was forwarded.
        first_event_s: Seconds from the request's headers to its first event,
            None before it.
        longest_pause_s: Longest pause between two events in seconds.
        is_write_blocked: Whether the caller's connection did not take the last
            events at once. The next ones are read after that.
    """

    gateway: object
    connection: http1connection.HTTP1Connection
    request_id: str
    arrived_at: float
    on_event: Callable[[int], None]
    caller: clientmemory.ClientConnection
    streaming: bool = False
    last_event: int | None = None
    last_event_at: float = 0.0
    first_event_s: float | None = None
    longest_pause_s: float = 0.0
    is_write_blocked: bool = False

    def open_stream(self, status: int, reason: str, headers) -> None:
        """Start a streamed response; a resumed stream keeps its headers."""
        if self.streaming:
            return
        self.streaming = True
        kept = end_to_end_headers(headers)
        if "Content-Length" in kept:
            # Another endpoint may have to complete the stream.
            del kept["Content-Length"]
        self.write_headers(status, reason, kept)

    def forward_events(self, events: list[eventstream.Event]):
        """Forward complete events, each event ID once."""
        found = []
        for event in events:
            last = self.last_event
            if event.number is not None:
                if last is not None and event.number <= last:
                    continue
                self.last_event = event.number
            found.append(event.data)
        if not found:
            return None
        self.on_event(len(found))
        self.record_event_time(clocks.boot_time())
        written = self.connection.write(b"".join(found))
        written.add_done_callback(upstream.consume_exception)
        self.caller.on_written()
        self.is_write_blocked = self.connection.stream.writing()
        return written

    def record_event_time(self, now: float) -> None:
        """Record the time at which events are forwarded."""
        if self.first_event_s is None:
            self.first_event_s = round(now - self.arrived_at, 3)
        else:
            pause_s = now - self.last_event_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_event_at = now

    def write_headers(self, status: int, reason: str, headers, body=None):
        """Write status and headers; announce if the connection will close."""
        if self.gateway.closes_connections():
            headers["Connection"] = "close"
            self.connection._disconnect_on_finish = True  # noqa: SLF001
        start = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        self.connection.stream.set_nodelay(True)
        written = self.connection.write_headers(start, headers, body)
        written.add_done_callback(upstream.consume_exception)

    def complete(self, sink) -> None:
        """Complete the response with an endpoint's complete response."""
        if self.streaming and not sink.is_stream():
            self.abort_stream(f"a later send got status {sink.status}")
            return
        if not self.streaming:
            headers = end_to_end_headers(sink.headers)
            headers["Content-Length"] = str(len(sink.body))
            self.write_response(sink.status, sink.reason, headers, sink.body)
        self.finish()
        # The body now counts as unread.
        self.caller.hold_response(0)
        self.caller.on_written()
        self.gateway.record_response(
            sink.status, clocks.boot_time() - self.arrived_at
        )

    def write_response(
        self, status: int, reason: str, headers, body: bytearray
    ) -> None:
        """Write a complete response; a large body is not copied."""
        if len(body) <= MAX_COPIED_BYTES:
            self.write_headers(status, reason, headers, bytes(body))
            return
        self.write_headers(status, reason, headers)
        written = self.connection.write(body)
        written.add_done_callback(upstream.consume_exception)

    def finish(self) -> None:
        """Mark the response as complete."""
        try:
            self.connection.finish()
        except iostream.StreamClosedError:
            LOG.info(
                "caller gone at end of response",
                request=self.request_id,
            )

    def abort_stream(self, reason: str) -> None:
        """Close the connection, so that the response is seen as incomplete."""
        LOG.warning(
            "stream broken off",
            request=self.request_id,
            last_event=self.last_event,
            reason=reason,
        )
        self.connection.close()
        self.gateway.record_failure("broken_off")

    def refuse(self, failure: errors.Failure, route: str) -> None:
        """Respond with a failure that the gateway itself reports."""
        view = self.gateway.view
        now = clocks.boot_time()
        LOG.info(
            "refused",
            request=self.request_id,
            code=failure.code.value,
            reason=failure.message,
            ran=failure.ran.value,
            route=route,
            version=view.version,
            proof_age_s=round(min(view.age_s(now), 1e6), 3),
            after_s=round(now - self.arrived_at, 3),
        )
        body = web.failure_body(failure)
        headers = httputil.HTTPHeaders(
            {
                "Content-Type": web.JSON_TYPE,
                "Content-Length": str(len(body)),
            }
        )
        if self.request_id:
            headers[self.gateway.dialect.names.request_id] = self.request_id
        if failure.retry_after_s is not None:
            headers[self.gateway.dialect.names.retry_after] = (
                f"{failure.retry_after_s:g}"
            )
        status = failure.http_status
        self.write_headers(status, reason_phrase(status), headers, body)
        self.finish()
        self.gateway.record_failure(failure.code.value)


def reason_phrase(status: int) -> str:
    """Return the standard reason phrase of a status."""
    return httputil.responses.get(status, "Failed")


def end_to_end_headers(headers) -> httputil.HTTPHeaders:
    """Return an endpoint's headers without the hop-by-hop ones."""
    kept = httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in names_lib.HOP_BY_HOP:
            kept.add(name, value)
    return kept
