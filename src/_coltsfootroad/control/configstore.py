"""Numbered configuration versions and the answers to their patches."""

import collections
import json

import attrs
from expression import Result
import msgspec
import xxhash

from _coltsfootroad.control import messages
from _coltsfootroad.core import config as config_lib
from _coltsfootroad.core import errors

MAX_PATCH_ANSWERS = 20_000
MAX_HISTORY = 512
MAX_DELTA_BYTES = 64 * 1024


@attrs.define
class PatchRecord:
    """What a patch id was used for and what was answered."""

    digest: str
    answer: messages.PatchAnswer


@attrs.define
class ConfigStore:
    """The current document, recent patches, and answers for resends."""

    version: int = 0
    document: dict = attrs.Factory(dict)
    config: config_lib.Config = attrs.Factory(config_lib.Config)
    history: collections.OrderedDict = attrs.Factory(collections.OrderedDict)
    answers: collections.OrderedDict = attrs.Factory(collections.OrderedDict)

    def patch(self, command: messages.PatchConfig) -> messages.PatchAnswer:
        """Apply a patch, or repeat the answer that its id got before."""
        digest = patch_digest(command)
        known = self.answers.get(command.patch_id)
        if known is not None:
            if known.digest == digest:
                return known.answer
            return self.refuse(
                errors.ErrorCode.PATCH_ID_REUSED,
                f"patch id {command.patch_id!r} was used for another patch",
            )
        answer = self.apply(command)
        self.answers[command.patch_id] = PatchRecord(digest, answer)
        while len(self.answers) > MAX_PATCH_ANSWERS:
            self.answers.popitem(last=False)
        return answer

    def apply(self, command: messages.PatchConfig) -> messages.PatchAnswer:
        """Change the document if the patch is current and valid."""
        if command.base_version != self.version:
            return self.refuse(
                errors.ErrorCode.STALE_VERSION,
                f"patch is against version {command.base_version},"
                f" current is {self.version}; nothing was changed",
            )
        patch = read_json(command.patch)
        if not isinstance(patch, dict):
            return self.refuse(
                errors.ErrorCode.INVALID_CONFIG, "patch is not a JSON object"
            )
        document = config_lib.merge_patch(self.document, patch)
        checked = config_lib.parse(document)
        if checked.is_error():
            return self.refuse(checked.error.code, checked.error.message)
        self.version += 1
        self.document = document
        self.config = checked.ok
        self.history[self.version] = command.patch
        while len(self.history) > MAX_HISTORY:
            self.history.popitem(last=False)
        return messages.PatchAnswer(version=self.version)

    def refuse(
        self, code: errors.ErrorCode, message: str
    ) -> messages.PatchAnswer:
        """Return a refusal that names the current version."""
        return messages.PatchAnswer(
            version=self.version, failure=errors.Failure(code, message)
        )

    def update_since(self, version: int) -> messages.ConfigUpdate | None:
        """Return what brings `version` up to date; None if it is current."""
        if version == self.version:
            return None
        wanted = range(version + 1, self.version + 1)
        if version >= 0 and all(v in self.history for v in wanted):
            patches = tuple(self.history[v] for v in wanted)
            if sum(len(p) for p in patches) <= MAX_DELTA_BYTES:
                return messages.ConfigUpdate(
                    version=self.version, base_version=version, patches=patches
                )
        return messages.ConfigUpdate(
            version=self.version, document=json.dumps(self.document).encode()
        )


def patch_digest(command: messages.PatchConfig) -> str:
    """Return a digest of what a patch asks for."""
    digest = xxhash.xxh3_128(str(command.base_version).encode())
    digest.update(command.patch)
    return digest.hexdigest()


def read_json(data: bytes) -> object:
    """Return decoded JSON, or None when it is none."""
    try:
        return msgspec.json.decode(data)
    except msgspec.MsgspecError:
        return None


def apply_update(
    version: int, document: dict, update: messages.ConfigUpdate
) -> tuple[int, dict] | None:
    """Return the version and document after an update, never an older one.

    Returns None when the update does not fit; the whole document is then
    asked for. Nothing between the old and the new version is ever in force.
    """
    if update.version <= version:
        return None
    if update.document:
        return update.version, read_json(update.document)
    if update.base_version != version:
        return None
    for patch in update.patches:
        document = config_lib.merge_patch(document, read_json(patch))
    return update.version, document


def parse_document(document: dict) -> Result:
    """Return the checked configuration of a document."""
    return config_lib.parse(document)
