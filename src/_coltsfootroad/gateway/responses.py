"""Takes endpoints' answers: whole, or event by event, and judges them."""

import attrs
from tornado import httputil

from _coltsfootroad.core import eventstream
from _coltsfootroad.gateway import names as names_lib
from _coltsfootroad.gateway import reply as reply_lib
from _coltsfootroad.gateway import upstream

MISDIRECTED = 421
NOT_RUN_STATUSES = (408, 421, 429, 503)
REDIRECTION = 300


@attrs.define
class BufferedResponse(upstream.ResponseSink):
    """An answer that is collected whole before the caller gets any of it.

    Attributes:
        names: The header names in use.
        request_id: Id that a genuine answer echoes.
        genuine: Whether the answer is the endpoint's own, to this request.
    """

    names: names_lib.HeaderNames
    request_id: str
    status: int = 0
    reason: str = ""
    headers: httputil.HTTPHeaders = attrs.Factory(httputil.HTTPHeaders)
    parts: list[bytes] = attrs.Factory(list)
    genuine: bool = False

    def on_head(self, status, reason, headers):
        """Take the head if the answer belongs to this request."""
        self.status = status
        self.reason = reason
        self.headers = headers
        self.genuine = self.is_genuine()
        return self.genuine

    def on_data(self, data):
        """Keep a piece."""
        self.parts.append(data)

    def is_genuine(self) -> bool:
        """Return whether an answer is the endpoint's own, to this request."""
        if self.headers.get(self.names.request_id, "") != self.request_id:
            # What was not read cannot be echoed.
            return self.status in NOT_RUN_STATUSES and self.proves_not_run()
        if self.headers.get("Content-Encoding"):
            return False
        signed = self.names.signature in self.headers
        return signed or self.status >= REDIRECTION

    def proves_not_run(self) -> bool:
        """Return whether an answer proves that the request did not run."""
        return self.status == MISDIRECTED or self.names.not_run in self.headers

    def is_body_complete(self) -> bool:
        """Return whether nothing is missing that framing cannot show."""
        return True


@attrs.define(kw_only=True)
class StreamedResponse(BufferedResponse):
    """A stream whose events are passed on as they become whole."""

    reply: reply_lib.Reply
    splitter: eventstream.EventSplitter = attrs.Factory(
        eventstream.EventSplitter
    )

    def on_head(self, status, reason, headers):
        """Begin the caller's answer with the first endpoint's head."""
        kept = BufferedResponse.on_head(self, status, reason, headers)
        if kept and self.is_stream():
            self.reply.open_stream(status, reason, headers)
        return kept

    def is_stream(self) -> bool:
        """Return whether the body is to be passed on event by event."""
        return 200 <= self.status < REDIRECTION

    def on_data(self, data):
        """Pass on the events that are whole."""
        if not self.is_stream():
            self.parts.append(data)
            return None
        return self.reply.pass_events(self.splitter.feed(data))

    def is_body_complete(self):
        """Return whether no half event is left."""
        return not self.splitter.pending
