"""HTTP client that sends the core's attempts to endpoints."""

import abc
from collections.abc import Callable
import json

import attrs
from expression import Error
from expression import Ok
from expression import Result
import pycurl
from tornado import curl_httpclient
import tornado.httpclient

from _coltsfootroad.core import actions
from _coltsfootroad.core import entry as entry_lib
from _coltsfootroad.core import eventstream
from _coltsfootroad.core import request as request_lib

Fault = entry_lib.Fault
OnChunk = Callable[[request_lib.Chunk], None]

CONNECT_TIMEOUT_S = 2.0
MANAGEMENT_TIMEOUT_S = 3.0
RAN_HEADER = "X-Ran"
GENERATE_PATH = "/v1/generate"
CANCEL_PATH = "/v1/cancel"
PRIORITY_PATH = "/v1/priority"
ORDER_PATH = "/v1/orders"
EXPORT_PATH = "/v1/kv/export"
IMPORT_PATH = "/v1/kv/import"
# The only curl errors that prove that no byte was written.
NOT_SENT_CURL_ERRORS = (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST)


@attrs.frozen(kw_only=True)
class PlainCall:
    """An HTTP request to a plain service, as the caller sent it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@attrs.frozen(kw_only=True)
class EngineCall:
    """A prompt for an engine.

    Attributes:
        body: The caller's JSON document.
        chat: Whether it is a chat completion.
        stream: Whether the caller requests a stream.
    """

    body: dict
    chat: bool
    stream: bool


class EndpointClient(abc.ABC):
    """Sends requests to endpoints; a fault states whether they ran."""

    @abc.abstractmethod
    async def generate(
        self,
        address: str,
        dispatch: actions.Dispatch,
        part: actions.Part,
        owner: str,
        resume_text: str,
        remaining_s: float,
        on_chunk: OnChunk,
    ) -> Fault | None:
        """Run one part of an attempt; return None once its stream ended."""

    @abc.abstractmethod
    async def call(
        self, address: str, dispatch: actions.Dispatch, remaining_s: float
    ) -> Result[request_lib.Answer, Fault]:
        """Send one request to a plain service."""

    @abc.abstractmethod
    async def cancel(self, address: str, cancel: actions.Cancel) -> bool:
        """Cancel an attempt; return whether the engine confirms it."""

    @abc.abstractmethod
    async def reprioritise(
        self, address: str, change: actions.Reprioritise
    ) -> None:
        """Change the priority of queued work; failures are ignored."""

    @abc.abstractmethod
    async def export_kv(
        self, address: str, key: tuple[str, int]
    ) -> Result[str, str]:
        """Return a handle of the KV cache of an attempt."""

    @abc.abstractmethod
    async def import_kv(
        self, address: str, key: tuple[str, int], handle: str
    ) -> bool:
        """Import the KV cache of a handle; return whether that succeeded."""

    @abc.abstractmethod
    async def order(self, address: str, order: dict) -> Result[dict, str]:
        """Send an order to an endpoint; return its response."""


class HttpEndpointClient(EndpointClient):
    """Sends requests with tornado's curl client.

    It reuses connections; tornado's simple client opens one per request.
    """

    def __init__(self, max_connections: int):
        self.client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=max_connections
        )

    async def generate(
        self, address, dispatch, part, owner, resume_text, remaining_s, on_chunk
    ):
        """Stream the output of one part from an engine."""
        reader = EventReader(on_chunk)
        document = generate_document(
            dispatch, part, owner, resume_text, remaining_s
        )
        request = tornado.httpclient.HTTPRequest(
            f"http://{address}{GENERATE_PATH}",
            method="POST",
            body=json.dumps(document),
            headers={"Content-Type": "application/json"},
            connect_timeout=min(CONNECT_TIMEOUT_S, remaining_s),
            request_timeout=remaining_s,
            streaming_callback=reader.feed,
            follow_redirects=False,
            prepare_curl_callback=forbid_curl_resends(dispatch.request),
        )
        try:
            response = await self.client.fetch(request, raise_error=False)
        except tornado.httpclient.HTTPError as error:
            return classify_error(error)
        if response.error is not None and response.code == 599:
            return classify_error(response.error)
        if response.code != 200:
            return classify_status(response)
        return None if reader.ended else Fault.LOST

    async def call(self, address, dispatch, remaining_s):
        """Forward a caller's HTTP request."""
        call = dispatch.request.payload
        request = tornado.httpclient.HTTPRequest(
            f"http://{address}{call.path}",
            method=call.method,
            body=call.body
            if call.body or call.method in BODY_METHODS
            else None,
            headers=call.headers,
            connect_timeout=min(CONNECT_TIMEOUT_S, remaining_s),
            request_timeout=remaining_s,
            follow_redirects=False,
            allow_nonstandard_methods=True,
            prepare_curl_callback=forbid_curl_resends(dispatch.request),
        )
        try:
            response = await self.client.fetch(request, raise_error=False)
        except tornado.httpclient.HTTPError as error:
            return Error(classify_error(error))
        if response.code == 599:
            return Error(classify_error(response.error))
        if response.headers.get(RAN_HEADER) == "no":
            return Error(Fault.NOT_RUN)
        content_type = response.headers.get(
            "Content-Type", "application/octet-stream"
        )
        return Ok(
            request_lib.Answer(
                status=response.code,
                body=response.body or b"",
                content_type=content_type,
            )
        )

    async def post(self, address: str, path: str, document: dict):
        """Post JSON; return the response if its status is 200, else None."""
        request = tornado.httpclient.HTTPRequest(
            f"http://{address}{path}",
            method="POST",
            body=json.dumps(document),
            headers={"Content-Type": "application/json"},
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=MANAGEMENT_TIMEOUT_S,
        )
        try:
            response = await self.client.fetch(request, raise_error=False)
        except tornado.httpclient.HTTPError:
            return None
        return response if response.code == 200 else None

    async def cancel(self, address, cancel):
        """Cancel one attempt."""
        document = {
            "request_id": cancel.request_id,
            "attempt": cancel.attempt,
        }
        return await self.post(address, CANCEL_PATH, document) is not None

    async def reprioritise(self, address, change):
        """Change the priority of one attempt."""
        document = {
            "request_id": change.request_id,
            "attempt": change.attempt,
            "priority": change.priority,
        }
        await self.post(address, PRIORITY_PATH, document)

    async def export_kv(self, address, key):
        """Export the KV cache of an attempt."""
        document = {"request_id": key[0], "attempt": key[1]}
        response = await self.post(address, EXPORT_PATH, document)
        if response is None:
            return Error("no response with status 200")
        return Ok(json.loads(response.body)["handle"])

    async def import_kv(self, address, key, handle):
        """Import a KV cache for an attempt."""
        document = {
            "request_id": key[0],
            "attempt": key[1],
            "handle": handle,
        }
        return await self.post(address, IMPORT_PATH, document) is not None

    async def order(self, address, order):
        """Send an order to an endpoint."""
        response = await self.post(address, ORDER_PATH, order)
        if response is None:
            return Error("no response with status 200")
        return Ok(json.loads(response.body))


BODY_METHODS = ("POST", "PUT", "PATCH")


def generate_document(dispatch, part, owner, resume_text, remaining_s) -> dict:
    """Return the JSON document that requests one part of an attempt."""
    request = dispatch.request
    return {
        "request_id": request.request_id,
        "attempt": dispatch.attempt,
        "owner": owner,
        "mark": part.mark,
        "part": part.index,
        "parts": len(dispatch.parts),
        "priority": dispatch.priority,
        "deadline_s": remaining_s,
        "prompt_tokens": part_prompt_tokens(dispatch, part),
        "kv_tokens": part.kv_tokens,
        "max_tokens": request.output_tokens,
        "resume_offset": dispatch.resume_offset,
        "resume_text": resume_text,
        "prefix_hashes": list(request.prefix_hashes),
        "body": request.payload.body,
    }


def part_prompt_tokens(dispatch, part) -> int:
    """Return the prompt tokens of a part.

    An engine that runs the complete prompt gets its full length, as it knows
    best what it has cached.
    """
    if len(dispatch.parts) == 1:
        return dispatch.request.prompt_tokens
    return part.prompt_tokens


def forbid_curl_resends(request: request_lib.Request):
    """Return a callback that prevents resends by libcurl, if required.

    If a reused connection turns out to be closed, libcurl resends the request
    by itself. A fresh connection prevents this for non-idempotent requests.
    """
    if not request.non_idempotent:
        return None

    def prepare(curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)

    return prepare


def classify_error(error: Exception) -> Fault:
    """Return the fault that an error of the HTTP client proves."""
    if getattr(error, "errno", None) in NOT_SENT_CURL_ERRORS:
        return Fault.NOT_SENT
    return Fault.LOST


def classify_status(response) -> Fault:
    """Return the fault that an error status proves."""
    if response.headers.get(RAN_HEADER) == "no":
        return Fault.NOT_RUN
    return Fault.LOST


class EventReader:
    """Parses server-sent events, each of which holds one chunk."""

    def __init__(self, on_chunk: OnChunk):
        self.on_chunk = on_chunk
        self.splitter = eventstream.EventSplitter()
        self.ended = False

    def feed(self, data: bytes) -> None:
        """Parse the events that received bytes complete.

        What follows an event that is too long is dropped, so that the stream
        does not end and counts as lost.
        """
        for event in self.splitter.feed(data):
            self.parse_event(event.data)

    def parse_event(self, event: bytes) -> None:
        """Forward the chunk in an event; ignore events without one."""
        if not event.startswith(b"data: "):
            return
        try:
            fields = json.loads(event[len(b"data: ") :])
            chunk = request_lib.Chunk(
                offset=int(fields["offset"]),
                tokens=int(fields["tokens"]),
                data=str(fields.get("text", "")).encode(),
                final=bool(fields.get("final", False)),
            )
        except (ValueError, KeyError, TypeError):
            return
        self.ended = self.ended or chunk.final
        self.on_chunk(chunk)
