"""What the HTTP handlers of all programs share."""

import hashlib
import hmac
import json

import tornado.httpserver
import tornado.web

from _coltsfootroad.core import errors
from _coltsfootroad.shell import listening
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import settings as settings_lib

IDLE_TIMEOUT_S = 300.0
MAX_HEADER_BYTES = 64 * 1024
# Unavailable is an ordinary answer, which the part that gives it logs.
UNLOGGED_STATUSES = (503,)
MIN_LOGGED_STATUS = 500
LOG = logs.logger("web")
JSON_TYPE = "application/json"


def listen(
    app: tornado.web.Application, address: str, max_body_bytes: int
) -> tornado.httpserver.HTTPServer:
    """Serve an application on `ip:port`; bounds are set, not left open."""
    app.settings["log_function"] = log_request
    server = tornado.httpserver.HTTPServer(
        app,
        max_body_size=max_body_bytes,
        max_buffer_size=max_body_bytes + MAX_HEADER_BYTES,
        max_header_size=MAX_HEADER_BYTES,
        idle_connection_timeout=IDLE_TIMEOUT_S,
    )
    host, port = settings_lib.split_address(address)
    with listening.at(address):
        server.listen(port, host)
    return server


def log_request(handler: tornado.web.RequestHandler) -> None:
    """Log a request that ended in a fault of ours, and no other."""
    status = handler.get_status()
    if status >= MIN_LOGGED_STATUS and status not in UNLOGGED_STATUSES:
        LOG.warning(
            "{} {} ended with status {}",
            handler.request.method,
            handler.request.path,
            handler.get_status(),
        )


def failure_body(failure: errors.Failure, **more) -> bytes:
    """Return the JSON body that shows a failure."""
    detail = {
        "code": failure.code.value,
        "message": failure.message,
        "ran": failure.ran.value,
    }
    if failure.retry_after_s is not None:
        detail["retry_after_s"] = failure.retry_after_s
    return json.dumps({"error": detail | more}).encode()


def secrets_equal(presented: str, expected: str) -> bool:
    """Compare two secrets in constant time; an empty one fits nobody."""
    return bool(expected) and hmac.compare_digest(
        presented.encode(), expected.encode()
    )


def hash_key(key: str) -> str:
    """Return the hash under which configuration holds an API key."""
    return hashlib.sha256(key.encode()).hexdigest()


class Handler(tornado.web.RequestHandler):
    """Base of all handlers: typed errors, no default pages."""

    def set_default_headers(self):
        """Say nothing of the server."""
        self.clear_header("Server")

    def write_error(self, status_code, **kwargs):
        """Show tornado's own refusals in our form."""
        failure = errors.Failure(errors.ErrorCode.BAD_REQUEST, self._reason)
        if status_code >= 500:
            # A fault of ours; what had been begun by then is not known.
            failure = errors.Failure(
                errors.ErrorCode.INTERNAL, self._reason, errors.Ran.UNKNOWN
            )
        self.send_json(status_code, failure_body(failure))

    def fail(self, failure: errors.Failure, **more) -> None:
        """Answer with a failure."""
        if failure.retry_after_s is not None:
            seconds = max(1, round(failure.retry_after_s))
            self.set_header("Retry-After", str(seconds))
        self.send_json(failure.http_status, failure_body(failure, **more))

    def send_json(self, status: int, body: bytes) -> None:
        """Answer with a JSON body."""
        reason = None if status in tornado.web.httputil.responses else "Failed"
        self.set_status(status, reason)
        self.set_header("Content-Type", JSON_TYPE)
        self.finish(body)

    def send_value(self, value: object) -> None:
        """Answer with a value as JSON."""
        self.send_json(200, json.dumps(value).encode())

    def bearer_token(self) -> str:
        """Return the bearer token of the request, empty if there is none."""
        header = self.request.headers.get("Authorization", "")
        scheme, _, token = header.partition(" ")
        return token.strip() if scheme.lower() == "bearer" else ""

    def read_json(self) -> dict | None:
        """Return the body as a JSON object, None if it is none."""
        try:
            value = json.loads(self.request.body)
        except (ValueError, RecursionError):
            return None
        return value if isinstance(value, dict) else None


class AdminHandler(Handler):
    """Base of handlers that need the admin token."""

    def initialize(self, token: str, **parts):
        """Keep the token and whatever the handler works on."""
        self.token = token
        for name, part in parts.items():
            setattr(self, name, part)

    def prepare(self):
        """Refuse callers without the token."""
        if not secrets_equal(self.bearer_token(), self.token):
            self.fail(
                errors.Failure(
                    errors.ErrorCode.UNAUTHORIZED,
                    "the Authorization header holds no valid admin token",
                )
            )


class DumpHandler(AdminHandler):
    """Shows the state of the process."""

    def get(self):
        """Answer with a dump."""
        self.send_json(200, self.dump())


class MetricsHandler(Handler):
    """Shows the metrics."""

    def initialize(self, metrics):
        """Keep the metrics."""
        self.metrics = metrics

    def get(self):
        """Answer with Prometheus text."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.metrics.text())


def admin_routes(token: str, dump, metrics) -> list[tuple]:
    """Return the routes that every program has on its admin listener."""
    return [
        (r"/admin/dump", DumpHandler, {"token": token, "dump": dump}),
        (r"/metrics", MetricsHandler, {"metrics": metrics}),
    ]
