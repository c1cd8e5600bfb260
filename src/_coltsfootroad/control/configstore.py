"""Configuration versions and the replies to their patches."""

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
    """Digest of the patch that used a patch id, and the reply to it."""

    digest: str
    answer: messages.PatchAnswer


@attrs.define
class ConfigStore:
    """Current configuration, recent patches, and replies for resent patches.

    Attributes:
        version: Current version, incremented by each accepted patch.
        document: Current configuration as JSON values.
        config: Current configuration, parsed.
        history: Recent patches by the version that they resulted in.
        answers: Recent patch records by patch id.
    """

    version: int = 0
    document: dict = attrs.Factory(dict)
    config: config_lib.Config = attrs.Factory(config_lib.Config)
    history: collections.OrderedDict = attrs.Factory(collections.OrderedDict)
    answers: collections.OrderedDict = attrs.Factory(collections.OrderedDict)

    def patch(self, command: messages.PatchConfig) -> messages.PatchAnswer:
        """Apply a patch, or repeat the earlier reply to its patch id."""
        digest = patch_digest(command)
        record = self.answers.get(command.patch_id)
        if record is not None:
            if record.digest == digest:
                return record.answer
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
        """Apply a patch if its base version is current and it is valid."""
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
        parsed = config_lib.parse(document)
        if parsed.is_error():
            return self.refuse(parsed.error.code, parsed.error.message)
        self.version += 1
        self.document = document
        self.config = parsed.ok
        self.history[self.version] = command.patch
        while len(self.history) > MAX_HISTORY:
            self.history.popitem(last=False)
        return messages.PatchAnswer(version=self.version)

    def refuse(
        self, code: errors.ErrorCode, message: str
    ) -> messages.PatchAnswer:
        """Return a refusal with the current version."""
        return messages.PatchAnswer(
            version=self.version, failure=errors.Failure(code, message)
        )

    def update_since(self, version: int) -> messages.ConfigUpdate | None:
        """Return the update from `version`, None if it is current.

        Sends the patches in between if they are known and small, else the
        complete document.
        """
        if version == self.version:
            return None
        missing = range(version + 1, self.version + 1)
        if version >= 0 and all(v in self.history for v in missing):
            patches = tuple(self.history[v] for v in missing)
            if sum(len(p) for p in patches) <= MAX_DELTA_BYTES:
                return messages.ConfigUpdate(
                    version=self.version, base_version=version, patches=patches
                )
        return messages.ConfigUpdate(
            version=self.version, document=json.dumps(self.document).encode()
        )


def patch_digest(command: messages.PatchConfig) -> str:
    """Return a digest of a patch and its base version."""
    digest = xxhash.xxh3_128(str(command.base_version).encode())
    digest.update(command.patch)
    return digest.hexdigest()


def read_json(data: bytes) -> object:
    """Return the decoded JSON, or None if it is invalid."""
    try:
        return msgspec.json.decode(data)
    except msgspec.MsgspecError:
        return None


def apply_update(
    version: int, document: dict, update: messages.ConfigUpdate
) -> tuple[int, dict] | None:
    """Return the version and document after an update.

    Returns None if the update is not newer or is based on another version; the
    receiver then requests the complete document. Intermediate versions are
    never used.
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
    """Return the parsed and validated configuration of a document."""
    return config_lib.parse(document)
