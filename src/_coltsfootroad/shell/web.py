"""Base handlers of HTTP requests shared by all programs."""

import hashlib
import hmac
import json

import msgspec
import tornado.web

from _coltsfootroad.core import errors
from _coltsfootroad.shell import logs

# Expected responses, logged by the components that send them.
UNLOGGED_STATUSES = (503,)
MIN_LOGGED_STATUS = 500
LOG = logs.logger("web")
JSON_TYPE = "application/json"


def log_request(handler: tornado.web.RequestHandler) -> None:
    """Log only requests that ended in an internal error."""
    status = handler.get_status()
    if status >= MIN_LOGGED_STATUS and status not in UNLOGGED_STATUSES:
        LOG.warning(
            "{} {} ended with status {}",
            handler.request.method,
            handler.request.path,
            handler.get_status(),
        )


def failure_body(failure: errors.Failure, **more) -> bytes:
    """Return the JSON body of a failure."""
    detail = {
        "code": failure.code.value,
        "message": failure.message,
        "ran": failure.ran.value,
    }
    if failure.retry_after_s is not None:
        detail["retry_after_s"] = failure.retry_after_s
    return json.dumps({"error": detail | more}).encode()


def parse_object(raw: bytes) -> dict | None:
    """Return a JSON object, None if the bytes are not one in UTF-8.

    Its texts can be encoded again, and its numbers are finite.
    """
    try:
        value = msgspec.json.decode(raw)
    except (msgspec.MsgspecError, RecursionError):
        return None
    return value if isinstance(value, dict) else None


def secrets_equal(presented: str, expected: str) -> bool:
    """Compare secrets in constant time; an empty expected one never matches."""
    return bool(expected) and hmac.compare_digest(
        presented.encode(), expected.encode()
    )


def hash_key(key: str) -> str:
    """Return the hash of an API key, as the configuration stores it."""
    return hashlib.sha256(key.encode()).hexdigest()


class Handler(tornado.web.RequestHandler):
    """Base class of all handlers: typed errors, no default error pages."""

    def set_default_headers(self):
        """Remove the Server header."""
        self.clear_header("Server")

    def write_error(self, status_code, **kwargs):
        """Send tornado's own errors as failures."""
        failure = errors.Failure(errors.ErrorCode.BAD_REQUEST, self._reason)
        if status_code >= 500:
            # After an internal error it is unknown whether the request ran.
            failure = errors.Failure(
                errors.ErrorCode.INTERNAL, self._reason, errors.Ran.UNKNOWN
            )
        self.send_json(status_code, failure_body(failure))

    def fail(self, failure: errors.Failure, **more) -> None:
        """Send a failure."""
        if failure.retry_after_s is not None:
            seconds = max(1, round(failure.retry_after_s))
            self.set_header("Retry-After", str(seconds))
        self.send_json(failure.http_status, failure_body(failure, **more))

    def send_json(self, status: int, body: bytes) -> None:
        """Send a JSON body."""
        reason = None if status in tornado.web.httputil.responses else "Failed"
        self.set_status(status, reason)
        self.set_header("Content-Type", JSON_TYPE)
        self.finish(body)

    def send_value(self, value: object) -> None:
        """Send a value as JSON with status 200."""
        self.send_json(200, json.dumps(value).encode())

    def bearer_token(self) -> str:
        """Return the bearer token of the request, empty if it has none."""
        header = self.request.headers.get("Authorization", "")
        scheme, _, token = header.partition(" ")
        return token.strip() if scheme.lower() == "bearer" else ""

    def read_json(self) -> dict | None:
        """Return the body as a JSON object, None if it is not one."""
        return parse_object(self.request.body)


class LimitedBody:
    """Limits the body of one handler's requests below the listener's limit.

    Handlers with this base need `tornado.web.stream_request_body`. A larger
    body gets status 400, and the connection is closed.

    Attributes:
        max_body_bytes: Largest body in bytes.
        body: The body, as far as it was received.
    """

    max_body_bytes: int

    def prepare(self):
        """Set the limit before the body is read."""
        self.body = bytearray()
        self.request.connection.set_max_body_size(self.max_body_bytes)

    def data_received(self, chunk):
        """Store a chunk of the body."""
        self.body += chunk


class AdminHandler(Handler):
    """Base class of handlers that require the admin token."""

    def initialize(self, token: str, **attributes):
        """Store the token and the handler's other attributes."""
        self.token = token
        for name, value in attributes.items():
            setattr(self, name, value)

    def prepare(self):
        """Refuse requests without the admin token."""
        if not secrets_equal(self.bearer_token(), self.token):
            self.fail(
                errors.Failure(
                    errors.ErrorCode.UNAUTHORIZED,
                    "the Authorization header holds no valid admin token",
                )
            )


class DumpHandler(AdminHandler):
    """Serves a dump of the process state."""

    def get(self):
        """Send the dump."""
        self.send_json(200, self.dump())


class MetricsHandler(Handler):
    """Serves the metrics."""

    def initialize(self, metrics):
        """Store the metrics."""
        self.metrics = metrics

    def get(self):
        """Send the metrics in the Prometheus text format."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.metrics.text())


def admin_routes(token: str, dump, metrics) -> list[tuple]:
    """Return the routes that all admin listeners share."""
    return [
        (r"/admin/dump", DumpHandler, {"token": token, "dump": dump}),
        (r"/metrics", MetricsHandler, {"metrics": metrics}),
    ]
