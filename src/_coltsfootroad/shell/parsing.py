"""Parses callers' HTTP requests into requests of the core."""

import uuid

import attrs
from expression import Error
from expression import Ok
from expression import Result
import xxhash

from _coltsfootroad.core import config as config_lib
from _coltsfootroad.core import errors
from _coltsfootroad.core import headernumbers
from _coltsfootroad.core import request as request_lib
from _coltsfootroad.shell import endpointclient
from _coltsfootroad.shell import web

KEY_HEADER = "Idempotency-Key"
NON_IDEMPOTENT_HEADER = "X-Colts-Non-Idempotent"
DEADLINE_HEADER = "X-Colts-Deadline-S"
PRIORITY_HEADER = "X-Colts-Priority"
SESSION_HEADER = "X-Colts-Session"
MAX_KEY_LENGTH = 200
MAX_SESSION_LENGTH = 200
DEFAULT_MAX_TOKENS = 256
BLOCK_BYTES = 4_096
MAX_HASHED_BLOCKS = 512
# Methods that HTTP defines as idempotent.
IDEMPOTENT_METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE")
# Headers that concern only the connection between caller and entry.
UNFORWARDED_HEADERS = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "authorization",
    "expect",
    "accept-encoding",
}


@attrs.frozen(kw_only=True)
class RequestOptions:
    """Options that the headers of a request set.

    Attributes:
        key: Idempotency key, empty if absent.
        key_time: Unix time at which the key was created.
        non_idempotent: Whether the request must not run twice.
        deadline_s: Requested time to the deadline.
        priority: Requested priority; 0 is the highest.
        session: Name of the session that the request belongs to.
    """

    key: str = ""
    key_time: float = 0.0
    non_idempotent: bool = False
    deadline_s: float | None = None
    priority: int | None = None
    session: str = ""


def bad_request(message: str, code=errors.ErrorCode.BAD_REQUEST):
    """Return a failure for a malformed request."""
    return Error(errors.Failure(code, message))


def key_time(key: str) -> float | None:
    """Return the unix time in an idempotency key, None if it holds none.

    A key is `<unix seconds>-<anything>` or a UUID of version 7. Every key must
    show its age, since a claim may be dropped only when its key is too old to
    be admitted.
    """
    head, _, rest = key.partition("-")
    if len(head) == 10 and headernumbers.is_number(head) and rest:
        return float(head)
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    return (parsed.int >> 80) / 1000.0


def parse_options(headers) -> Result[RequestOptions, errors.Failure]:
    """Return the options in the headers, or a failure naming the header."""
    key = headers.get(KEY_HEADER, "")
    created_at = key_time(key) if key else 0.0
    if len(key) > MAX_KEY_LENGTH:
        return bad_request(
            f"header {KEY_HEADER} is longer than {MAX_KEY_LENGTH} characters"
        )
    if created_at is None:
        return bad_request(
            f"header {KEY_HEADER} is {key!r}; it must start with unix"
            " seconds and '-' or be a UUID of version 7, to show its age",
            errors.ErrorCode.KEY_WITHOUT_AGE,
        )
    deadline = parse_number(headers, DEADLINE_HEADER, float)
    priority = parse_number(headers, PRIORITY_HEADER, int)
    for number in (deadline, priority):
        if number.is_error():
            return number
    if deadline.ok is not None and not 0 < deadline.ok < float("inf"):
        return bad_request(f"header {DEADLINE_HEADER} must be above 0")
    if priority.ok is not None and not 0 <= priority.ok <= 9:
        return bad_request(f"header {PRIORITY_HEADER} must be 0 to 9")
    flag = headers.get(NON_IDEMPOTENT_HEADER, "false").lower()
    if flag not in ("true", "false"):
        return bad_request(
            f"header {NON_IDEMPOTENT_HEADER} must be true or false"
        )
    return Ok(
        RequestOptions(
            key=key,
            key_time=created_at,
            non_idempotent=flag == "true",
            deadline_s=deadline.ok,
            priority=priority.ok,
            session=headers.get(SESSION_HEADER, "")[:MAX_SESSION_LENGTH],
        )
    )


def parse_number(headers, name: str, kind):
    """Return the number in a header, None if the header is absent."""
    text = headers.get(name)
    if text is None:
        return Ok(None)
    try:
        return Ok(kind(text))
    except ValueError:
        return bad_request(f"header {name} is {text!r}, must be a number")


def parse_prompt(body: dict, chat: bool) -> Result[str, errors.Failure]:
    """Return the text of the prompt, or a failure naming the field."""
    if not chat:
        prompt = body.get("prompt")
        if not isinstance(prompt, str) or not prompt:
            return bad_request("field prompt must be a text that is not empty")
        return Ok(prompt)
    turns = body.get("messages")
    if not isinstance(turns, list) or not turns:
        return bad_request("field messages must be a list that is not empty")
    texts = []
    for index, turn in enumerate(turns):
        content = turn.get("content") if isinstance(turn, dict) else None
        if not isinstance(content, str):
            return bad_request(
                f"field messages[{index}].content must be a text"
            )
        texts.append(content)
    return Ok("\n".join(texts))


def block_hashes(text: bytes) -> tuple[str, ...]:
    """Return chained hashes of a prompt's complete blocks."""
    hashes = []
    digest = xxhash.xxh3_64()
    complete_blocks = min(len(text) // BLOCK_BYTES, MAX_HASHED_BLOCKS)
    for number in range(complete_blocks):
        digest.update(text[number * BLOCK_BYTES : (number + 1) * BLOCK_BYTES])
        hashes.append(digest.hexdigest())
    return tuple(hashes)


def body_hash(method: str, path: str, body: bytes) -> str:
    """Return the hash that a resend under the same key must match."""
    digest = xxhash.xxh3_128(f"{method} {path}\n".encode())
    digest.update(body)
    return digest.hexdigest()


def parse_output_tokens(body: dict) -> Result[int, errors.Failure]:
    """Return the maximum number of output tokens."""
    value = body.get("max_tokens", DEFAULT_MAX_TOKENS)
    if not isinstance(value, int) or isinstance(value, bool) or value < 1:
        return bad_request(
            f"field max_tokens is {value!r}, must be a number above 0"
        )
    return Ok(min(value, headernumbers.MAX_COUNT))


@attrs.frozen(kw_only=True)
class Caller:
    """The caller of a request.

    Attributes:
        workspace: Name of its workspace.
        settings: Settings of its workspace.
        now: Arrival time of the request on the event loop's clock.
    """

    workspace: str
    settings: config_lib.Workspace
    now: float


def engine_request(
    body: dict,
    raw: bytes,
    chat: bool,
    options: RequestOptions,
    caller: Caller,
    service: config_lib.Service,
    bytes_per_token: float,
) -> Result[request_lib.Request, errors.Failure]:
    """Return the request for an engine, or a failure naming the field."""
    prompt = parse_prompt(body, chat)
    if prompt.is_error():
        return prompt
    output = parse_output_tokens(body)
    if output.is_error():
        return output
    stream = body.get("stream", False)
    if not isinstance(stream, bool):
        return bad_request(f"field stream is {stream!r}, must be true or false")
    text = prompt.ok.encode()
    path = "chat" if chat else "completion"
    return Ok(
        make_request(
            options,
            caller,
            service,
            service_name=body["model"],
            prompt_tokens=max(1, round(len(text) / bytes_per_token)),
            output_tokens=output.ok,
            body_hash=body_hash("POST", path, raw),
            prefix_hashes=block_hashes(text),
            payload=endpointclient.EngineCall(
                body=body, chat=chat, stream=stream
            ),
        )
    )


def plain_request(
    service_name: str,
    call: endpointclient.PlainCall,
    options: RequestOptions,
    caller: Caller,
    service: config_lib.Service,
) -> request_lib.Request:
    """Return the request for a plain service.

    A request is never sent twice if its method is not idempotent or its header
    says so; with a key it also gets a durable claim.
    """
    non_idempotent = (
        options.non_idempotent or call.method not in IDEMPOTENT_METHODS
    )
    return make_request(
        attrs.evolve(options, non_idempotent=non_idempotent),
        caller,
        service,
        service_name=service_name,
        prompt_tokens=1,
        output_tokens=0,
        body_hash=body_hash(call.method, call.path, call.body),
        prefix_hashes=(),
        payload=call,
    )


def make_request(
    options: RequestOptions,
    caller: Caller,
    service: config_lib.Service,
    service_name: str,
    **fields,
) -> request_lib.Request:
    """Return a request; `fields` depend on the kind of its service."""
    requested_s = options.deadline_s or service.default_deadline_s
    priority = caller.settings.priority
    if options.priority is not None:
        # A caller may lower its priority, but not raise it.
        priority = max(priority, options.priority)
    return request_lib.Request(
        request_id=uuid.uuid4().hex,
        workspace=caller.workspace,
        service=service_name,
        arrived_at=caller.now,
        deadline_at=caller.now + min(requested_s, service.max_deadline_s),
        kind=service.kind,
        priority=priority,
        non_idempotent=options.non_idempotent,
        idempotency_key=options.key,
        key_time=options.key_time,
        session=options.session,
        **fields,
    )


def parse_body(raw: bytes) -> Result[dict, errors.Failure]:
    """Return a body as a JSON object that names a service."""
    body = web.parse_object(raw)
    if body is None:
        return bad_request("the body is not a JSON object in UTF-8")
    if not isinstance(body.get("model"), str):
        return bad_request("field model must name a service")
    return Ok(body)
