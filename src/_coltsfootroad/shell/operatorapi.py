"""HTTP API for operators: configuration, status, replicas, snapshots."""

import json

import msgspec
import tornado.web

from _coltsfootroad.control import messages
from _coltsfootroad.control import outcomes
from _coltsfootroad.core import documents
from _coltsfootroad.core import errors
from _coltsfootroad.core import headernumbers
from _coltsfootroad.shell import web

MAX_PATCH_ID_CHARS = 200
MAX_BODY_BYTES = 8 * 1024 * 1024


def make_application(routes: list[tuple]) -> tornado.web.Application:
    """Return an application that answers unknown paths with a `Failure`."""
    return tornado.web.Application(
        routes, default_handler_class=NotFoundHandler
    )


class NotFoundHandler(web.Handler):
    """Answers paths that do not exist."""

    def prepare(self):
        """Refuse every method."""
        self.fail(
            errors.Failure(
                errors.ErrorCode.NOT_FOUND,
                f"path {self.request.path!r} does not exist",
            )
        )


class OperatorHandler(web.AdminHandler):
    """Base class of the handlers that call the leader."""

    async def call_leader(self, message: object) -> object | None:
        """Return the leader's answer, or None after sending a failure.

        If this replica does not lead, the failure names the leader.
        """
        answer = await self.server.call(message)
        if isinstance(answer, outcomes.NotLeader):
            self.fail(
                errors.Failure(
                    errors.ErrorCode.UNAVAILABLE,
                    "this replica does not lead",
                    errors.Ran.NO,
                    0.5,
                ),
                leader=answer.hint,
            )
            return None
        if isinstance(answer, outcomes.Refused):
            self.fail(answer.failure)
            return None
        return answer


class ConfigHandler(OperatorHandler):
    """Reads and patches the configuration."""

    async def get(self):
        """Send the version and the document."""
        answer = await self.call_leader(messages.ReadConfig())
        if answer is not None:
            self.set_header("ETag", f'"{answer.version}"')
            self.send_value(
                {
                    "version": answer.version,
                    "config": json.loads(answer.document),
                }
            )

    async def patch(self):
        """Apply a JSON Merge Patch against the version in If-Match."""
        version = parse_if_match(self.request.headers.get("If-Match", ""))
        patch_id = self.request.headers.get("X-Patch-Id", "")
        if version is None:
            self.send_bad_request(
                "header If-Match must hold the version number patched"
            )
            return
        if not patch_id or len(patch_id) > MAX_PATCH_ID_CHARS:
            self.send_bad_request(
                "header X-Patch-Id must hold 1 to"
                f" {MAX_PATCH_ID_CHARS} characters, the same in every resend"
            )
            return
        if self.read_json() is None:
            self.send_bad_request("the body is not a JSON object")
            return
        answer = await self.call_leader(
            messages.PatchConfig(
                patch_id=patch_id,
                base_version=version,
                patch=self.request.body,
            )
        )
        if answer is None:
            return
        if answer.failure is not None:
            self.fail(answer.failure, current_version=answer.version)
            return
        self.send_value({"version": answer.version})

    def send_bad_request(self, message: str) -> None:
        """Send a failure for a malformed request."""
        self.fail(errors.Failure(errors.ErrorCode.BAD_REQUEST, message))


def parse_if_match(header: str) -> int | None:
    """Return the version in an If-Match header, None if there is none."""
    text = header.strip().strip('"')
    return headernumbers.read_integer(text)


class StatusHandler(OperatorHandler):
    """Shows replicas, entries and endpoints."""

    async def get(self):
        """Send the leader's status document."""
        answer = await self.call_leader(messages.ReadStatus())
        if answer is not None:
            self.send_json(200, answer.document)


class ReplicaHandler(OperatorHandler):
    """Shows this replica and changes the replica set."""

    async def get(self):
        """Send information on this replica; any replica has it."""
        info = await self.server.call(messages.ReplicaHello())
        self.send_json(200, msgspec.json.encode(info))

    async def post(self):
        """Change the replica set."""
        try:
            change = documents.CONVERTER.structure(
                self.read_json(), messages.ChangeReplicas
            )
        except Exception as error:  # noqa: BLE001
            text = documents.describe_errors(error)
            self.fail(errors.Failure(errors.ErrorCode.BAD_REQUEST, text))
            return
        if await self.call_leader(change) is not None:
            self.send_value({"done": True})


class SnapshotHandler(OperatorHandler):
    """Exports a copy of the replicated state."""

    async def get(self):
        """Send the bytes of a snapshot."""
        answer = await self.call_leader(messages.TakeSnapshot())
        if answer is not None:
            self.set_header("Content-Type", "application/octet-stream")
            self.set_header("X-Index", str(answer.index))
            self.finish(answer.data)


def routes(server) -> list[tuple]:
    """Return the HTTP routes of this module.

    Args:
        server: Has `settings.admin_token` and a coroutine method `call`.
    """
    arguments = {"token": server.settings.admin_token, "server": server}
    return [
        (r"/v1/config", ConfigHandler, arguments),
        (r"/v1/status", StatusHandler, arguments),
        (r"/v1/replica", ReplicaHandler, arguments),
        (r"/v1/snapshot", SnapshotHandler, arguments),
    ]
