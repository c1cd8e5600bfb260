"""Identifies requests by content, or by parts that they share.

Both are independent of sender and attempt.
"""

import functools
import hashlib

import attrs

# Long enough against second preimages. A caller who finds a collision can harm
# only its own workspace, as fingerprints of two workspaces are never equal.
DIGEST_BYTES = 16
LENGTH_BYTES = 8
# Length of the body in fingerprints of parts. No request has it, so processes
# that do not know such fingerprints hold them without effect.
PART_BODY_BYTES = -1
# Workspace of fingerprints of a part in all workspaces.
ANY_WORKSPACE = "*"
MAX_CACHED_PARTS = 4_096


@attrs.frozen(kw_only=True)
class Fingerprint:
    """Identity of a request's content or of a part that requests share.

    Attributes:
        workspace: Workspace of the caller's key, empty on public routes, or
            `ANY_WORKSPACE`.
        body_bytes: Length of the body, so that requests with different lengths
            differ without a digest; `PART_BODY_BYTES` for a part.
        digest: Digest of method, host, target and body, or of a part's id.
    """

    workspace: str
    body_bytes: int
    digest: bytes

    @property
    def text(self) -> str:
        """Return the digest in the notation of logs and operator commands."""
        return self.digest.hex()

    @property
    def is_part(self) -> bool:
        """Return whether it identifies a part of prompts."""
        return self.body_bytes == PART_BODY_BYTES


def compute(
    method: str, host: str, target: str, workspace: str, body: bytes
) -> Fingerprint:
    """Return the fingerprint of a request, in time linear in the body."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method.encode(), host.lower().encode(), target.encode()):
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    digest.update(body)
    return Fingerprint(
        workspace=workspace, body_bytes=len(body), digest=digest.digest()
    )


@functools.lru_cache(MAX_CACHED_PARTS)
def of_part(part: str, workspace: str = ANY_WORKSPACE) -> Fingerprint:
    """Return the fingerprint of a part in one workspace or in all."""
    digest = hashlib.blake2b(part.encode(), digest_size=DIGEST_BYTES)
    return Fingerprint(
        workspace=workspace, body_bytes=PART_BODY_BYTES, digest=digest.digest()
    )


def of_parts(parts: tuple[str, ...], workspace: str) -> dict[Fingerprint, str]:
    """Return the fingerprints of a request's parts, each with the part's id."""
    return {
        of_part(part, scope): part
        for part in parts
        for scope in (workspace, ANY_WORKSPACE)
    }
