"""Operators' HTTP interface to requests in quarantine."""

import re

import attrs

from _coltsfootroad.control import crashreports
from _coltsfootroad.core import documents
from _coltsfootroad.core import errors
from _coltsfootroad.core import fingerprints
from _coltsfootroad.core import quarantine
from _coltsfootroad.shell import operators

DIGEST = re.compile(rf"[0-9a-f]{{{2 * fingerprints.DIGEST_BYTES}}}")
MAX_REASON = 200


@attrs.frozen(kw_only=True)
class NewEntry:
    """An entry as an operator writes it; `fingerprint` as logs name it."""

    workspace: str
    body_bytes: int
    fingerprint: str
    reason: str


class QuarantineHandler(operators.OperatorHandler):
    """Lists entries and adds one."""

    async def get(self):
        """Answer with all entries, oldest first."""
        copy = await self.ask(crashreports.ReadQuarantine())
        if copy is not None:
            entries = [document_of(entry) for entry in copy.entries]
            self.send_value({"entries": entries})

    async def post(self):
        """Refuse a request from now on."""
        try:
            wanted = documents.CONVERTER.structure(self.read_json(), NewEntry)
        except Exception as error:  # noqa: BLE001
            self.bad(documents.describe_errors(error, "entry"))
            return
        fault = fault_of(wanted)
        if fault:
            self.bad(fault)
            return
        command = crashreports.Quarantine(
            fingerprint=fingerprints.Fingerprint(
                workspace=wanted.workspace,
                body_bytes=wanted.body_bytes,
                digest=bytes.fromhex(wanted.fingerprint),
            ),
            reason=wanted.reason,
        )
        if await self.ask(command) is not None:
            self.send_value({"done": True})

    def bad(self, message: str) -> None:
        """Refuse a malformed request."""
        self.fail(errors.Failure(errors.ErrorCode.BAD_REQUEST, message))


class QuarantineEntryHandler(operators.OperatorHandler):
    """Ends one entry."""

    async def delete(self, digest):
        """Run a request again."""
        copy = await self.ask(crashreports.ReadQuarantine())
        if copy is None:
            return
        found = [e for e in copy.entries if e.fingerprint.text == digest]
        if not found:
            text = f"no request {digest!r} is in quarantine"
            self.fail(errors.Failure(errors.ErrorCode.NOT_FOUND, text))
            return
        command = crashreports.EndQuarantine(
            fingerprint=found[0].fingerprint, reason="removed by an operator"
        )
        if await self.ask(command) is not None:
            self.send_value({"done": True})


def fault_of(wanted: NewEntry) -> str:
    """Return what is wrong with an entry, empty if nothing is."""
    if not DIGEST.fullmatch(wanted.fingerprint):
        return (
            f"fingerprint must hold {2 * fingerprints.DIGEST_BYTES} lower-case"
            f" hex digits, not {wanted.fingerprint!r}"
        )
    if wanted.body_bytes < 0:
        return f"body_bytes must not be negative, as {wanted.body_bytes} is"
    if not 0 < len(wanted.reason) <= MAX_REASON:
        return f"reason must hold 1 to {MAX_REASON} characters"
    return ""


def document_of(entry: quarantine.Entry) -> dict:
    """Return an entry as plain JSON values."""
    return {
        "workspace": entry.fingerprint.workspace,
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
    """Return the routes of operators."""
    parts = {"token": server.settings.admin_token, "server": server}
    return [
        (r"/v1/quarantine", QuarantineHandler, parts),
        (r"/v1/quarantine/([0-9a-f]+)", QuarantineEntryHandler, parts),
    ]
