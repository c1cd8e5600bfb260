"""HTTP handlers of an entry: callers, address questions, endpoints."""

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
    """Base of the handlers that work on an entry."""

    def initialize(self, server):
        """Keep the entry."""
        self.server = server
        self.core = server.core
        self.request_id = ""

    def now(self) -> float:
        """Return seconds on the loop's clock."""
        return self.server.loop.time()

    def on_connection_close(self):
        """Tell the core that nobody waits any more."""
        if self.request_id:
            self.server.close_channel(self.request_id)

    def authenticate_caller(self) -> parsing.Caller | None:
        """Return who asks, by API key; None after having refused.

        An outdated configuration refuses nobody for good: keys and services
        that it lacks may exist by now.
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
        hashed = web.hash_key(self.bearer_token())
        for name, workspace in self.core.config.workspaces.items():
            for known in workspace.key_sha256:
                if web.secrets_equal(known, hashed):
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
        """Answer with a failure, and with other entries where they help."""
        more = {}
        if failure.code in (
            errors.ErrorCode.ENTRY_FENCED,
            errors.ErrorCode.ENTRY_DRAINING,
        ):
            found = self.core.addresses_for(
                self.request.remote_ip, "", self.now()
            )
            more["addresses"] = list(found.addresses)
        self.fail(failure, **more)

    def find_service(
        self, name: str, kind: servicekind.ServiceKind
    ) -> config_lib.Service | None:
        """Return a service's settings; None after having refused."""
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
        """Return the terms in the headers; None after having refused."""
        options = parsing.parse_options(self.request.headers)
        if options.is_error():
            self.fail(options.error)
            return None
        return options.ok


class AddressHandler(EntryHandler):
    """Tells callers which entries to use."""

    def get(self):
        """Answer with addresses, best first, and how long they hold."""
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
    """Serves prompts, streamed or whole."""

    def initialize(self, server, chat):
        """Keep the entry and the form of the answer."""
        super().initialize(server)
        self.chat = chat

    async def post(self):
        """Admit a prompt and answer it."""
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
            # The caller left; on_connection_close has told the core.
            pass
        finally:
            self.server.close_channel(self.request_id)

    def read_request(self) -> request_lib.Request | None:
        """Return the request; None after having refused."""
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
        """Wait for the end and answer once."""
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
        """Answer with server-sent events, each as it comes."""
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
                    # The status is sent already: a stream without its end
                    # mark is not whole, and this says why.
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
        """Return a piece of the answer in the form of the protocol."""
        shown = text.decode(errors="replace")
        choice = {"index": 0, "finish_reason": None}
        if self.chat:
            choice["delta"] = {"content": shown}
            kind = "chat.completion.chunk"
        else:
            choice["text"] = shown
            kind = "text_completion"
        return {"id": self.request_id, "object": kind, "choices": [choice]}

    def completion_document(self, text: bytes, tokens: int) -> dict:
        """Return a whole answer in the form of the protocol."""
        shown = text.decode(errors="replace")
        choice = {"index": 0, "finish_reason": "stop"}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": shown}
            kind = "chat.completion"
        else:
            choice["text"] = shown
            kind = "text_completion"
        return {
            "id": self.request_id,
            "object": kind,
            "choices": [choice],
            "usage": {"completion_tokens": tokens},
        }


def stored_text(answer: request_lib.Answer | None) -> bytes:
    """Return the text of an answer that was stored for resends."""
    if answer is None:
        return b""
    if answer.content_type != claiming.STREAM_CONTENT_TYPE:
        raise errors.BrokenInvariantError(
            f"an engine's answer is stored as {answer.content_type!r}"
        )
    return answer.body


class ServiceHandler(EntryHandler):
    """Forwards plain HTTP calls to a service."""

    async def forward(self, name: str, path: str):
        """Admit a call and answer with what the service answered."""
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
        """Return the call to forward."""
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
        """Answer as the service did."""
        known = answer.status in tornado.web.httputil.responses
        self.set_status(answer.status, None if known else "Unknown")
        self.set_header("Content-Type", answer.content_type)
        self.finish(answer.body if answer.status != 204 else None)

    get = post = put = delete = patch = head = options = forward


class EndpointHandler(EntryHandler):
    """Takes what endpoints say of themselves."""

    def initialize(self, server, kind):
        """Keep the entry and the kind of message."""
        super().initialize(server)
        self.kind = kind

    def prepare(self):
        """Refuse endpoints without the token, where one is set."""
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
        """Take one message."""
        document = self.read_json()
        if document is None:
            document = {}
        if self.kind is endpoints.LoadReport:
            document["measured_at"] = self.now()
        try:
            message = documents.CONVERTER.structure(document, self.kind)
        except Exception as error:  # noqa: BLE001
            # cattrs raises groups of whatever the hooks raise.
            text = documents.explain(error).replace("config", "body", 1)
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
        """Give a message to the core."""
        method = {
            registry.Announcement: self.core.on_announcement,
            endpoints.LoadReport: self.core.on_load,
            prefixes.CacheEvent: self.core.on_cache_event,
        }[self.kind]
        self.server.run_core(method, message, self.now())


class HealthHandler(EntryHandler):
    """Says whether the entry admits requests."""

    def get(self):
        """Answer 200 while requests are admitted, else 503."""
        current = self.core.freshness.is_current(self.now())
        ready = current and not self.core.draining
        self.set_status(200 if ready else 503)
        self.finish({"ready": ready, "version": self.core.freshness.version})


def routes(server) -> list[tuple]:
    """Return the routes of callers and endpoints."""
    parts = {"server": server}
    return [
        (r"/v1/addresses", AddressHandler, parts),
        (r"/v1/completions", CompletionHandler, parts | {"chat": False}),
        (r"/v1/chat/completions", CompletionHandler, parts | {"chat": True}),
        (r"/services/([^/]+)(/.*)?", ServiceHandler, parts),
        (
            r"/v1/endpoints/announce",
            EndpointHandler,
            parts | {"kind": registry.Announcement},
        ),
        (
            r"/v1/endpoints/load",
            EndpointHandler,
            parts | {"kind": endpoints.LoadReport},
        ),
        (
            r"/v1/endpoints/cache",
            EndpointHandler,
            parts | {"kind": prefixes.CacheEvent},
        ),
        (r"/health", HealthHandler, parts),
    ]
