"""Receives and checks endpoints' responses, buffered or event by event."""

import asyncio
from collections.abc import Callable
import enum

import attrs
from tornado import httputil

from _coltsfootroad.core import eventstream
from _coltsfootroad.gateway import names as names_lib
from _coltsfootroad.gateway import reply as reply_lib
from _coltsfootroad.gateway import responselimits
from _coltsfootroad.gateway import upstream

MISDIRECTED = 421
NOT_RUN_STATUSES = (408, 421, 429, 503)
REDIRECTION = 300
# Larger chunks of a stream are divided, and other requests are served between
# the pieces: 64 KB that hold only blank lines are 32,000 events.
PIECE_BYTES = 8 * 1024


def ignore_size(_: int) -> None:
    """Ignore the size of a buffered body."""


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
        on_buffered: Called with the number of bytes that are buffered.
        body: The body, as far as it was received.
        genuine: Whether the endpoint itself responded, and to this request.
    """

    names: names_lib.HeaderNames
    request_id: str
    on_buffered: Callable[[int], None] = ignore_size
    status: int = 0
    reason: str = ""
    headers: httputil.HTTPHeaders = attrs.Factory(httputil.HTTPHeaders)
    body: bytearray = attrs.Factory(bytearray)
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
        self.body += data
        self.on_buffered(len(self.body))

    def body_limit(self):
        """Return the limit of a body that is buffered."""
        if self.status < REDIRECTION:
            return responselimits.MAX_BODY_BYTES, responselimits.Fault.BODY
        return (
            responselimits.MAX_ERROR_BODY_BYTES,
            responselimits.Fault.ERROR_BODY,
        )

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
            BufferedResponse.on_data(self, data)
            return None
        if len(data) <= PIECE_BYTES:
            return self.forward(data)
        return self.forward_pieces(memoryview(data))

    def body_limit(self):
        """Return the limit of all events, or of an error response."""
        if not self.is_stream():
            return BufferedResponse.body_limit(self)
        return responselimits.MAX_STREAM_BYTES, responselimits.Fault.STREAM

    def forward(self, data):
        """Forward the events that a piece completes."""
        written = self.reply.forward_events(self.splitter.feed(data))
        self.on_buffered(len(self.splitter.pending))
        if self.splitter.is_over_limit:
            self.abandon(responselimits.Fault.EVENT)
        return written

    async def forward_pieces(self, data) -> None:
        """Forward the events of a large chunk piece by piece."""
        for start in range(0, len(data), PIECE_BYTES):
            written = self.forward(data[start : start + PIECE_BYTES])
            if written is not None:
                await written
            await asyncio.sleep(0)

    def is_body_complete(self):
        """Return whether no partial event is left."""
        return not self.splitter.pending
