"""Operators' HTTP interface of the control state."""

import json

import msgspec
import tornado.web

from _coltsfootroad.control import messages
from _coltsfootroad.control import outcomes
from _coltsfootroad.core import documents
from _coltsfootroad.core import errors
from _coltsfootroad.shell import web

MAX_PATCH_ID = 200
MAX_BODY_BYTES = 8 * 1024 * 1024


def application(routes: list[tuple]) -> tornado.web.Application:
    """Return an application whose unknown paths get our errors."""
    return tornado.web.Application(routes, default_handler_class=MissingHandler)


class MissingHandler(web.Handler):
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
    """Base of the handlers that ask the leader."""

    async def ask(self, message: object) -> object | None:
        """Return the answer, None after having shown a failure."""
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
        """Answer with version and document."""
        answer = await self.ask(messages.ReadConfig())
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
        version = read_version(self.request.headers.get("If-Match", ""))
        patch_id = self.request.headers.get("X-Patch-Id", "")
        if version is None:
            self.bad("header If-Match must hold the version number patched")
            return
        if not patch_id or len(patch_id) > MAX_PATCH_ID:
            self.bad(
                "header X-Patch-Id must hold 1 to"
                f" {MAX_PATCH_ID} characters, the same in every resend"
            )
            return
        if self.read_json() is None:
            self.bad("the body is not a JSON object")
            return
        answer = await self.ask(
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

    def bad(self, message: str) -> None:
        """Refuse a malformed request."""
        self.fail(errors.Failure(errors.ErrorCode.BAD_REQUEST, message))


def read_version(header: str) -> int | None:
    """Return the number in an If-Match header, None if there is none."""
    text = header.strip().strip('"')
    return int(text) if text.isdigit() else None


class StatusHandler(OperatorHandler):
    """Shows replicas, entries and endpoints."""

    async def get(self):
        """Answer with the leader's view."""
        answer = await self.ask(messages.ReadStatus())
        if answer is not None:
            self.send_json(200, answer.document)


class ReplicaHandler(OperatorHandler):
    """Shows this replica and changes the set of replicas."""

    async def get(self):
        """Answer with who this replica is; any replica answers."""
        info = await self.server.call(messages.ReplicaHello())
        self.send_json(200, msgspec.json.encode(info))

    async def post(self):
        """Change the set of replicas."""
        try:
            change = documents.CONVERTER.structure(
                self.read_json(), messages.ChangeReplicas
            )
        except Exception as error:  # noqa: BLE001
            text = documents.describe_errors(error)
            self.fail(errors.Failure(errors.ErrorCode.BAD_REQUEST, text))
            return
        if await self.ask(change) is not None:
            self.send_value({"done": True})


class SnapshotHandler(OperatorHandler):
    """Hands out a copy of the whole state."""

    async def get(self):
        """Answer with the bytes of a snapshot."""
        answer = await self.ask(messages.TakeSnapshot())
        if answer is not None:
            self.set_header("Content-Type", "application/octet-stream")
            self.set_header("X-Index", str(answer.index))
            self.finish(answer.data)


def routes(server) -> list[tuple]:
    """Return the routes of operators."""
    parts = {"token": server.settings.admin_token, "server": server}
    return [
        (r"/v1/config", ConfigHandler, parts),
        (r"/v1/status", StatusHandler, parts),
        (r"/v1/replica", ReplicaHandler, parts),
        (r"/v1/snapshot", SnapshotHandler, parts),
    ]
