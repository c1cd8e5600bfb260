"""The answer that a caller gets: one head, one end, or a broken connection."""

from collections.abc import Callable

import attrs
from tornado import http1connection
from tornado import httputil
from tornado import iostream

from _coltsfootroad.core import errors
from _coltsfootroad.core import eventstream
from _coltsfootroad.gateway import names as names_lib
from _coltsfootroad.gateway import upstream
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import web

LOG = logs.logger("request")


@attrs.define(eq=False)
class Reply:
    """Writes to the caller's connection.

    Attributes:
        gateway: The gateway that answers.
        connection: The caller's connection.
        request_id: Id of the request.
        arrived_at: Boot clock seconds when its head was read.
        on_event: Called with each event that is passed on.
        streaming: Whether a stream has begun.
        last_event: Id of the last event that was passed on.
        last_event_at: When that was.
        first_event_s: Seconds from the request's head to its first event,
            None before it.
        longest_pause_s: Seconds of the longest pause between two events.
    """

    gateway: object
    connection: http1connection.HTTP1Connection
    request_id: str
    arrived_at: float
    on_event: Callable[[], None]
    streaming: bool = False
    last_event: int | None = None
    last_event_at: float = 0.0
    first_event_s: float | None = None
    longest_pause_s: float = 0.0

    def open_stream(self, status: int, reason: str, headers) -> None:
        """Begin the caller's answer; a resumed stream keeps its first head."""
        if self.streaming:
            return
        self.streaming = True
        answer = end_to_end_headers(headers)
        if "Content-Length" in answer:
            # Another endpoint may have to finish the stream.
            del answer["Content-Length"]
        self.write_head(status, reason, answer)

    def pass_events(self, events: list[eventstream.Event]):
        """Pass whole events on, each id once."""
        data = b""
        for event in events:
            known = self.last_event
            if event.number is not None:
                if known is not None and event.number <= known:
                    continue
                self.last_event = event.number
            data += event.data
        if not data:
            return None
        self.on_event()
        self.record_event_time(clocks.boot_time())
        written = self.connection.write(data)
        written.add_done_callback(upstream.consume_exception)
        return written

    def record_event_time(self, now: float) -> None:
        """Note when an event is passed on."""
        if self.first_event_s is None:
            self.first_event_s = round(now - self.arrived_at, 3)
        else:
            pause_s = now - self.last_event_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_event_at = now

    def write_head(self, status: int, reason: str, headers, body=None):
        """Write status and headers, and say when the connection closes."""
        if self.gateway.closes_connections():
            headers["Connection"] = "close"
            self.connection._disconnect_on_finish = True  # noqa: SLF001
        start = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        self.connection.stream.set_nodelay(True)
        written = self.connection.write_headers(start, headers, body)
        written.add_done_callback(upstream.consume_exception)

    def complete(self, sink) -> None:
        """End the caller's answer with an endpoint's whole answer."""
        if not self.streaming:
            body = b"".join(sink.parts)
            headers = end_to_end_headers(sink.headers)
            headers["Content-Length"] = str(len(body))
            self.write_head(sink.status, sink.reason, headers, body)
        self.finish()
        self.gateway.record_response(
            sink.status, clocks.boot_time() - self.arrived_at
        )

    def finish(self) -> None:
        """End the caller's answer as whole."""
        try:
            self.connection.finish()
        except iostream.StreamClosedError:
            LOG.info("caller gone at the end", request=self.request_id)

    def abort_stream(self, reason: str) -> None:
        """Close the connection, as a half answer must not look whole."""
        LOG.warning(
            "stream broken off",
            request=self.request_id,
            last_event=self.last_event,
            reason=reason,
        )
        self.connection.close()
        self.gateway.record_failure("broken_off")

    def refuse(self, failure: errors.Failure, route: str) -> None:
        """Answer with a failure of our own."""
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
        self.write_head(status, reason_phrase(status), headers, body)
        self.finish()
        self.gateway.record_failure(failure.code.value)


def reason_phrase(status: int) -> str:
    """Return the usual reason phrase of a status."""
    return httputil.responses.get(status, "Failed")


def end_to_end_headers(headers) -> httputil.HTTPHeaders:
    """Return an endpoint's headers without those of its connection."""
    answer = httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in names_lib.HOP_BY_HOP:
            answer.add(name, value)
    return answer
