"""The thin adapter between the core's attempts and endpoints over HTTP."""

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
# The only curl outcomes before a first byte can have been written.
NOT_SENT_CURL_ERRORS = (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST)


@attrs.frozen(kw_only=True)
class PlainCall:
    """An HTTP request for a plain service, as the caller made it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@attrs.frozen(kw_only=True)
class EngineCall:
    """What an engine is asked to generate from.

    `body` is the caller's JSON; `prompt_bytes` the size of its prompt.
    """

    body: dict
    chat: bool
    stream: bool


class EndpointClient(abc.ABC):
    """Talks to endpoints; every failure says what it proves."""

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
        """Run one part of an attempt; None once its stream has ended."""

    @abc.abstractmethod
    async def call(
        self, address: str, dispatch: actions.Dispatch, remaining_s: float
    ) -> Result[request_lib.Answer, Fault]:
        """Make one call of a plain service."""

    @abc.abstractmethod
    async def cancel(self, address: str, cancel: actions.Cancel) -> bool:
        """Return whether the engine confirms that it holds nothing."""

    @abc.abstractmethod
    async def reprioritise(
        self, address: str, change: actions.Reprioritise
    ) -> None:
        """Change the priority of waiting work; failure does no harm."""

    @abc.abstractmethod
    async def export_kv(
        self, address: str, key: tuple[str, int]
    ) -> Result[str, str]:
        """Return a handle to the KV cache of an attempt."""

    @abc.abstractmethod
    async def import_kv(
        self, address: str, key: tuple[str, int], handle: str
    ) -> bool:
        """Return whether an engine has taken the cache behind a handle."""

    @abc.abstractmethod
    async def order(self, address: str, order: dict) -> Result[dict, str]:
        """Give an order; return the engine's answer."""


class HttpEndpointClient(EndpointClient):
    """Uses tornado's curl client.

    tornado's simple client opens a connection for each request.
    """

    def __init__(self, max_connections: int):
        self.client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=max_connections
        )

    async def generate(
        self, address, dispatch, part, owner, resume_text, remaining_s, on_chunk
    ):
        """Stream one part from an engine."""
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
        """Post JSON and return the response, None without one."""
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
        """Export the cache of an attempt."""
        document = {"request_id": key[0], "attempt": key[1]}
        response = await self.post(address, EXPORT_PATH, document)
        if response is None:
            return Error("no answer or a refusal")
        return Ok(json.loads(response.body)["handle"])

    async def import_kv(self, address, key, handle):
        """Import a cache for an attempt."""
        document = {
            "request_id": key[0],
            "attempt": key[1],
            "handle": handle,
        }
        return await self.post(address, IMPORT_PATH, document) is not None

    async def order(self, address, order):
        """Give an order."""
        response = await self.post(address, ORDER_PATH, order)
        if response is None:
            return Error("no answer or a refusal")
        return Ok(json.loads(response.body))


BODY_METHODS = ("POST", "PUT", "PATCH")


def generate_document(dispatch, part, owner, resume_text, remaining_s) -> dict:
    """Return the JSON that asks an engine for one part of an attempt."""
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
    """Return the tokens of a part; what is cached the engine knows best."""
    if len(dispatch.parts) == 1:
        return dispatch.request.prompt_tokens
    return part.prompt_tokens


def forbid_curl_resends(request: request_lib.Request):
    """Return a callback that keeps libcurl from sending anything twice.

    On a kept connection that turns out dead, libcurl sends the request once
    more by itself. A connection of its own rules that out for work that
    must not run twice.
    """
    if not request.non_idempotent:
        return None

    def prepare(curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)

    return prepare


def classify_error(error: Exception) -> Fault:
    """Return what a failed exchange proves."""
    if getattr(error, "errno", None) in NOT_SENT_CURL_ERRORS:
        return Fault.NOT_SENT
    return Fault.LOST


def classify_status(response) -> Fault:
    """Return what a refusal by status proves."""
    if response.headers.get(RAN_HEADER) == "no":
        return Fault.NOT_RUN
    return Fault.LOST


class EventReader:
    """Reads server-sent events whose data is one chunk each."""

    def __init__(self, on_chunk: OnChunk):
        self.on_chunk = on_chunk
        self.buffer = b""
        self.ended = False

    def feed(self, data: bytes) -> None:
        """Take bytes as they arrive."""
        self.buffer += data
        while b"\n\n" in self.buffer:
            event, self.buffer = self.buffer.split(b"\n\n", 1)
            self.parse_event(event)

    def parse_event(self, event: bytes) -> None:
        """Hand on the chunk in an event; others are passed over."""
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
