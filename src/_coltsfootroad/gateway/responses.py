"""Receives and checks endpoints' responses, buffered or event by event."""

import enum

import attrs
from tornado import httputil

from _coltsfootroad.core import eventstream
from _coltsfootroad.gateway import names as names_lib
from _coltsfootroad.gateway import reply as reply_lib
from _coltsfootroad.gateway import upstream

MISDIRECTED = 421
NOT_RUN_STATUSES = (408, 421, 429, 503)
REDIRECTION = 300


class Framing(enum.Enum):
    """What marks the end of a body."""

    NONE = "none"
    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


@attrs.define
class BufferedResponse(upstream.ResponseSink):
    """A response that is buffered until it is complete.

    Attributes:
        names: Names of the HTTP headers.
        request_id: Request ID that a genuine response echoes.
        status: HTTP status, 0 before the headers arrive.
        reason: HTTP reason phrase.
        headers: Headers of the response.
        parts: Chunks of the body.
        genuine: Whether the endpoint itself responded, and to this request.
    """

    names: names_lib.HeaderNames
    request_id: str
    status: int = 0
    reason: str = ""
    headers: httputil.HTTPHeaders = attrs.Factory(httputil.HTTPHeaders)
    parts: list[bytes] = attrs.Factory(list)
    genuine: bool = False

    def on_head(self, status, reason, headers):
        """Store the headers; return whether the response is genuine."""
        self.status = status
        self.reason = reason
        self.headers = headers
        self.genuine = self.is_genuine()
        return self.genuine

    def on_data(self, data):
        """Store a chunk of the body."""
        self.parts.append(data)

    def is_genuine(self) -> bool:
        """Return whether the endpoint itself responded, and to this request."""
        if self.headers.get(self.names.request_id, "") != self.request_id:
            # An endpoint that refuses a request unread cannot echo its ID.
            return self.status in NOT_RUN_STATUSES and self.proves_not_run()
        if self.headers.get("Content-Encoding"):
            return False
        signed = self.names.signature in self.headers
        return signed or self.status >= REDIRECTION

    def proves_not_run(self) -> bool:
        """Return whether the response proves that the request did not run."""
        return self.status == MISDIRECTED or self.names.not_run in self.headers

    def framing(self) -> Framing:
        """Return what marks the end of the body."""
        if not self.status:
            return Framing.NONE
        if "Transfer-Encoding" in self.headers:
            return Framing.CHUNKS
        if "Content-Length" in self.headers:
            return Framing.LENGTH
        return Framing.CLOSE

    def ends_with_connection(self) -> bool:
        """Return whether only the end of the connection ends a success.

        A crash in the middle of the body looks the same.
        """
        is_success = self.genuine and self.status < REDIRECTION
        return is_success and self.framing() is Framing.CLOSE

    def is_stream(self) -> bool:
        """Return whether the body is forwarded event by event."""
        return False

    def is_body_complete(self) -> bool:
        """Return whether the body is complete, beyond its HTTP framing."""
        return True


@attrs.define(kw_only=True)
class StreamedResponse(BufferedResponse):
    """A stream whose events are forwarded as soon as they are complete."""

    reply: reply_lib.Reply
    splitter: eventstream.EventSplitter = attrs.Factory(
        eventstream.EventSplitter
    )

    def on_head(self, status, reason, headers):
        """Store the headers; start the caller's response if it is a stream."""
        is_accepted = BufferedResponse.on_head(self, status, reason, headers)
        if is_accepted and self.is_stream():
            self.reply.open_stream(status, reason, headers)
        return is_accepted

    def is_stream(self) -> bool:
        """Return whether the body is forwarded event by event."""
        return 200 <= self.status < REDIRECTION

    def on_data(self, data):
        """Forward complete events, or store a chunk of an error response."""
        if not self.is_stream():
            self.parts.append(data)
            return None
        return self.reply.forward_events(self.splitter.feed(data))

    def is_body_complete(self):
        """Return whether no partial event is left."""
        return not self.splitter.pending
