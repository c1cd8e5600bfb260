"""HTTP API of an entry for callers and endpoints."""

import json

import tornado.iostream
import tornado.web

from _coltsfootroad.core import actions
from _coltsfootroad.core import admission
from _coltsfootroad.core import claiming
from _coltsfootroad.core import config as config_lib
from _coltsfootroad.core import documents
from _coltsfootroad.core import endpoints
from _coltsfootroad.core import errors
from _coltsfootroad.core import prefixes
from _coltsfootroad.core import registry
from _coltsfootroad.core import request as request_lib
from _coltsfootroad.core import servicekind
from _coltsfootroad.shell import endpointclient
from _coltsfootroad.shell import parsing
from _coltsfootroad.shell import web

SSE_TYPE = "text/event-stream"


class EntryHandler(web.Handler):
    """Base class of an entry's handlers."""

    def initialize(self, server):
        """Store the entry's server and core."""
        self.server = server
        self.core = server.core
        self.request_id = ""

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return self.server.loop.time()

    def on_connection_close(self):
        """Close the request's channel when the caller disconnects."""
        if self.request_id:
            self.server.close_channel(self.request_id)

    def authenticate_caller(self) -> parsing.Caller | None:
        """Return the caller by its API key; None once a failure is sent.

        An entry with an outdated configuration sends a failure that callers
        may retry, since missing keys and services may have been added.
        """
        if not self.core.freshness.is_current(self.now()):
            self.fail_with_addresses(
                errors.Failure(
                    errors.ErrorCode.ENTRY_FENCED,
                    "this entry has no current configuration",
                    retry_after_s=admission.ENTRY_RETRY_S,
                )
            )
            return None
        presented_hash = web.hash_key(self.bearer_token())
        for name, workspace in self.core.config.workspaces.items():
            for key_hash in workspace.key_sha256:
                if web.secrets_equal(key_hash, presented_hash):
                    return parsing.Caller(
                        workspace=name, settings=workspace, now=self.now()
                    )
        self.fail(
            errors.Failure(
                errors.ErrorCode.UNAUTHORIZED,
                "the Authorization header holds no valid API key",
            )
        )
        return None

    def fail_with_addresses(self, failure: errors.Failure) -> None:
        """Send a failure, with entries' addresses if fenced or draining."""
        extra_fields = {}
        if failure.code in (
            errors.ErrorCode.ENTRY_FENCED,
            errors.ErrorCode.ENTRY_DRAINING,
        ):
            found = self.core.addresses_for(
                self.request.remote_ip, "", self.now()
            )
            extra_fields["addresses"] = list(found.addresses)
        self.fail(failure, **extra_fields)

    def find_service(
        self, name: str, kind: servicekind.ServiceKind
    ) -> config_lib.Service | None:
        """Return a service's settings; None once a failure is sent."""
        service = self.core.config.services.get(name)
        if service is None or service.kind is not kind:
            self.fail(
                errors.Failure(
                    errors.ErrorCode.UNKNOWN_SERVICE,
                    f"{kind.value} service {name!r} is not configured",
                )
            )
            return None
        if len(self.request.body) > service.max_body_bytes:
            self.fail(
                errors.Failure(
                    errors.ErrorCode.TOO_LARGE,
                    f"the body has {len(self.request.body)} bytes, service"
                    f" {name!r} takes {service.max_body_bytes}",
                )
            )
            return None
        return service

    def parse_options(self) -> parsing.RequestOptions | None:
        """Return the options in the headers; None once a failure is sent."""
        options = parsing.parse_options(self.request.headers)
        if options.is_error():
            self.fail(options.error)
            return None
        return options.ok


class AddressHandler(EntryHandler):
    """Lists the entries that callers may use."""

    def get(self):
        """Send addresses in order of preference, and their validity."""
        found = self.core.addresses_for(
            self.request.remote_ip,
            self.get_query_argument("availability_zone", ""),
            self.now(),
        )
        self.send_value(
            {
                "addresses": list(found.addresses),
                "valid_for_s": found.valid_for_s,
            }
        )


class CompletionHandler(EntryHandler):
    """Serves completions and chat completions, streamed or not."""

    def initialize(self, server, chat):
        """Store the server and whether the API is the chat API."""
        super().initialize(server)
        self.chat = chat

    async def post(self):
        """Submit a prompt to the core and send the output."""
        request = self.read_request()
        if request is None:
            return
        self.request_id = request.request_id
        channel = self.server.submit(request)
        try:
            if request.payload.stream:
                await self.send_stream(channel)
            else:
                await self.send_completion(channel)
        except tornado.iostream.StreamClosedError:
            # The caller disconnected; on_connection_close closed the channel.
            pass
        finally:
            self.server.close_channel(self.request_id)

    def read_request(self) -> request_lib.Request | None:
        """Return the parsed request; None once a failure is sent."""
        caller = self.authenticate_caller()
        if caller is None:
            return None
        body = parsing.parse_body(self.request.body)
        if body.is_error():
            self.fail(body.error)
            return None
        service = self.find_service(
            body.ok["model"], servicekind.ServiceKind.ENGINE
        )
        options = self.parse_options() if service is not None else None
        if options is None:
            return None
        request = parsing.engine_request(
            body.ok,
            self.request.body,
            self.chat,
            options,
            caller,
            service,
            self.server.settings.bytes_per_token,
        )
        if request.is_error():
            self.fail(request.error)
            return None
        return request.ok

    async def send_completion(self, channel) -> None:
        """Collect the complete output and send it in one response."""
        texts = []
        tokens = 0
        while True:
            event = await channel.events.get()
            match event:
                case actions.Emit():
                    texts.append(event.chunk.data)
                    tokens += event.chunk.tokens
                case actions.Fail():
                    self.fail_with_addresses(event.failure)
                    return
                case actions.Finish():
                    text = stored_text(event.answer) or b"".join(texts)
                    self.send_value(self.completion_document(text, tokens))
                    return

    async def send_stream(self, channel) -> None:
        """Send the output as server-sent events, chunk by chunk."""
        started = False
        while True:
            event = await channel.events.get()
            if isinstance(event, actions.Fail) and not started:
                self.fail_with_addresses(event.failure)
                return
            if not started:
                started = True
                self.set_header("Content-Type", SSE_TYPE)
                self.set_header("Cache-Control", "no-store")
            match event:
                case actions.Emit():
                    self.write_event(self.chunk_document(event.chunk.data))
                    await self.flush()
                case actions.Fail():
                    # The status line is already sent. The missing [DONE] event
                    # marks the stream as incomplete; this one gives the reason.
                    self.write(b"data: ")
                    self.write(web.failure_body(event.failure) + b"\n\n")
                    return
                case actions.Finish():
                    text = stored_text(event.answer)
                    if text:
                        self.write_event(self.chunk_document(text))
                    self.write(b"data: [DONE]\n\n")
                    return

    def write_event(self, value: dict) -> None:
        """Write one server-sent event."""
        self.write(b"data: " + json.dumps(value).encode() + b"\n\n")

    def chunk_document(self, text: bytes) -> dict:
        """Return a chunk of the output in the format of the API."""
        content = text.decode(errors="replace")
        choice = {"index": 0, "finish_reason": None}
        if self.chat:
            choice["delta"] = {"content": content}
            kind = "chat.completion.chunk"
        else:
            choice["text"] = content
            kind = "text_completion"
        return {"id": self.request_id, "object": kind, "choices": [choice]}

    def completion_document(self, text: bytes, tokens: int) -> dict:
        """Return the complete output in the format of the API."""
        content = text.decode(errors="replace")
        choice = {"index": 0, "finish_reason": "stop"}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": content}
            kind = "chat.completion"
        else:
            choice["text"] = content
            kind = "text_completion"
        return {
            "id": self.request_id,
            "object": kind,
            "choices": [choice],
            "usage": {"completion_tokens": tokens},
        }


def stored_text(answer: request_lib.Answer | None) -> bytes:
    """Return the stored output that a resent request gets, if any."""
    if answer is None:
        return b""
    if answer.content_type != claiming.STREAM_CONTENT_TYPE:
        raise errors.BrokenInvariantError(
            f"stored engine output has content type {answer.content_type!r}"
        )
    return answer.body


class ServiceHandler(EntryHandler):
    """Forwards HTTP requests to plain services."""

    async def forward(self, name: str, path: str):
        """Submit a request to the core and send the service's response."""
        caller = self.authenticate_caller()
        if caller is None:
            return
        service = self.find_service(name, servicekind.ServiceKind.PLAIN)
        options = self.parse_options() if service is not None else None
        if options is None:
            return
        request = parsing.plain_request(
            name, self.make_plain_call(path), options, caller, service
        )
        self.request_id = request.request_id
        channel = self.server.submit(request)
        try:
            event = await channel.events.get()
            if isinstance(event, actions.Fail):
                self.fail_with_addresses(event.failure)
            else:
                self.send_answer(event.answer)
        finally:
            self.server.close_channel(self.request_id)

    def make_plain_call(self, path: str) -> endpointclient.PlainCall:
        """Return the HTTP request to forward."""
        query = f"?{self.request.query}" if self.request.query else ""
        headers = {
            name: value
            for name, value in self.request.headers.items()
            if name.lower() not in parsing.UNFORWARDED_HEADERS
        }
        return endpointclient.PlainCall(
            method=self.request.method,
            path=(path or "/") + query,
            headers=headers,
            body=self.request.body,
        )

    def send_answer(self, answer: request_lib.Answer) -> None:
        """Send the service's response."""
        is_standard = answer.status in tornado.web.httputil.responses
        self.set_status(answer.status, None if is_standard else "Unknown")
        self.set_header("Content-Type", answer.content_type)
        self.finish(answer.body if answer.status != 204 else None)

    get = post = put = delete = patch = head = options = forward


class EndpointHandler(EntryHandler):
    """Receives announcements, loads and cache events from endpoints."""

    def initialize(self, server, kind):
        """Store the server and the type of the messages."""
        super().initialize(server)
        self.message_type = kind

    def prepare(self):
        """Refuse requests without the endpoint token, if one is configured."""
        expected_token = self.server.settings.endpoint_token
        if expected_token and not web.secrets_equal(
            self.bearer_token(), expected_token
        ):
            self.fail(
                errors.Failure(
                    errors.ErrorCode.UNAUTHORIZED,
                    "the Authorization header holds no endpoint token",
                )
            )

    def post(self):
        """Decode one message and pass it to the core."""
        document = self.read_json()
        if document is None:
            document = {}
        if self.message_type is endpoints.LoadReport:
            document["measured_at"] = self.now()
        try:
            message = documents.CONVERTER.structure(document, self.message_type)
        except Exception as error:  # noqa: BLE001
            # cattrs wraps the exceptions of hooks in exception groups.
            text = documents.describe_errors(error).replace("config", "body", 1)
            self.fail(errors.Failure(errors.ErrorCode.BAD_REQUEST, text))
            return
        self.pass_to_core(message)
        members = self.core.freshness.members
        self.send_value(
            {
                "lease_s": self.core.config.fleet.endpoint_lease_s,
                "entries": [m.address for m in members],
            }
        )

    def pass_to_core(self, message) -> None:
        """Pass a message to the core."""
        method = {
            registry.Announcement: self.core.on_announcement,
            endpoints.LoadReport: self.core.on_load,
            prefixes.CacheEvent: self.core.on_cache_event,
        }[self.message_type]
        self.server.run_core(method, message, self.now())


class HealthHandler(EntryHandler):
    """Reports whether the entry admits requests."""

    def get(self):
        """Send 200 while requests are admitted, else 503."""
        is_current = self.core.freshness.is_current(self.now())
        ready = is_current and not self.core.draining
        self.set_status(200 if ready else 503)
        self.finish({"ready": ready, "version": self.core.freshness.version})


def routes(server) -> list[tuple]:
    """Return the HTTP routes for callers and endpoints."""
    arguments = {"server": server}
    return [
        (r"/v1/addresses", AddressHandler, arguments),
        (r"/v1/completions", CompletionHandler, arguments | {"chat": False}),
        (
            r"/v1/chat/completions",
            CompletionHandler,
            arguments | {"chat": True},
        ),
        (r"/services/([^/]+)(/.*)?", ServiceHandler, arguments),
        (
            r"/v1/endpoints/announce",
            EndpointHandler,
            arguments | {"kind": registry.Announcement},
        ),
        (
            r"/v1/endpoints/load",
            EndpointHandler,
            arguments | {"kind": endpoints.LoadReport},
        ),
        (
            r"/v1/endpoints/cache",
            EndpointHandler,
            arguments | {"kind": prefixes.CacheEvent},
        ),
        (r"/health", HealthHandler, arguments),
    ]
