"""HTTP API for operators: requests in quarantine."""

import re

import attrs

from _coltsfootroad.control import crashreports
from _coltsfootroad.core import documents
from _coltsfootroad.core import errors
from _coltsfootroad.core import fingerprints
from _coltsfootroad.core import promptparts
from _coltsfootroad.core import quarantine
from _coltsfootroad.shell import operatorapi

DIGEST_PATTERN = re.compile(rf"[0-9a-f]{{{2 * fingerprints.DIGEST_BYTES}}}")
MAX_REASON_CHARS = 200


@attrs.frozen(kw_only=True)
class NewEntry:
    """A quarantine entry in the form that operators submit.

    Attributes:
        workspace: The workspace whose requests are refused.
        reason: Why they are refused.
        body_bytes: Size of the request's body.
        fingerprint: Hex digest, as log lines show it; empty for a part.
        part: A part of prompts instead of a content; the workspace may be
            `fingerprints.ANY_WORKSPACE`.
    """

    workspace: str
    reason: str
    body_bytes: int = 0
    fingerprint: str = ""
    part: str = ""

    def identity(self) -> fingerprints.Fingerprint:
        """Return the fingerprint of what is refused."""
        if self.part:
            return fingerprints.of_part(self.part.lower(), self.workspace)
        return fingerprints.Fingerprint(
            workspace=self.workspace,
            body_bytes=self.body_bytes,
            digest=bytes.fromhex(self.fingerprint),
        )


class QuarantineHandler(operatorapi.OperatorHandler):
    """Lists and adds quarantine entries."""

    async def get(self):
        """Send all entries, oldest first."""
        answer = await self.call_leader(crashreports.ReadQuarantine())
        if answer is not None:
            entries = [to_document(entry) for entry in answer.entries]
            self.send_value({"entries": entries})

    async def post(self):
        """Add an entry: gateways refuse the request from now on."""
        try:
            new_entry = documents.CONVERTER.structure(
                self.read_json(), NewEntry
            )
        except Exception as error:  # noqa: BLE001
            self.send_bad_request(documents.describe_errors(error, "entry"))
            return
        error_text = validation_error(new_entry)
        if error_text:
            self.send_bad_request(error_text)
            return
        command = crashreports.Quarantine(
            fingerprint=new_entry.identity(), reason=new_entry.reason
        )
        if await self.call_leader(command) is not None:
            self.send_value({"done": True})

    def send_bad_request(self, message: str) -> None:
        """Send a failure for a malformed request."""
        self.fail(errors.Failure(errors.ErrorCode.BAD_REQUEST, message))


class QuarantineEntryHandler(operatorapi.OperatorHandler):
    """Removes quarantine entries."""

    async def delete(self, digest):
        """Remove the entries of a digest, those of a part in all workspaces."""
        answer = await self.call_leader(crashreports.ReadQuarantine())
        if answer is None:
            return
        matches = [e for e in answer.entries if e.fingerprint.text == digest]
        if not matches:
            text = f"no request {digest!r} is in quarantine"
            self.fail(errors.Failure(errors.ErrorCode.NOT_FOUND, text))
            return
        for entry in matches:
            command = crashreports.EndQuarantine(
                fingerprint=entry.fingerprint, reason="removed by an operator"
            )
            if await self.call_leader(command) is None:
                return
        self.send_value({"done": True})


def validation_error(new_entry: NewEntry) -> str:
    """Return why an entry is invalid, empty if it is valid."""
    if not 0 < len(new_entry.reason) <= MAX_REASON_CHARS:
        return f"reason must hold 1 to {MAX_REASON_CHARS} characters"
    if new_entry.part:
        return part_error(new_entry)
    if not DIGEST_PATTERN.fullmatch(new_entry.fingerprint):
        return (
            f"fingerprint must hold {2 * fingerprints.DIGEST_BYTES} lower-case"
            f" hex digits, not {new_entry.fingerprint!r}"
        )
    if new_entry.body_bytes < 0:
        return f"body_bytes must not be negative, as {new_entry.body_bytes} is"
    return ""


def part_error(new_entry: NewEntry) -> str:
    """Return why the part of an entry is invalid, empty if it is valid."""
    if new_entry.fingerprint:
        return "an entry has a fingerprint or a part, not both"
    stated = promptparts.shared_parts(f"{new_entry.part},")
    if stated != (new_entry.part.lower(),):
        return (
            f"part must be an id of 1 to {promptparts.MAX_ID_CHARS} characters"
            f" without commas and colons, not {new_entry.part!r}"
        )
    return ""


def to_document(entry: quarantine.Entry) -> dict:
    """Return an entry as JSON values."""
    return {
        "workspace": entry.fingerprint.workspace,
        "kind": "part" if entry.fingerprint.is_part else "content",
        "body_bytes": entry.fingerprint.body_bytes,
        "fingerprint": entry.fingerprint.text,
        "reason": entry.reason,
        "crashes": entry.crashes,
        "endpoints": list(entry.endpoints),
        "since": entry.since,
        "trials": entry.trials,
        "trial_at": entry.trial_at,
    }


def routes(server) -> list[tuple]:
    """Return the HTTP routes of this module.

    Args:
        server: Has `settings.admin_token` and a coroutine method `call`.
    """
    arguments = {"token": server.settings.admin_token, "server": server}
    return [
        (r"/v1/quarantine", QuarantineHandler, arguments),
        (r"/v1/quarantine/([0-9a-f]+)", QuarantineEntryHandler, arguments),
    ]
