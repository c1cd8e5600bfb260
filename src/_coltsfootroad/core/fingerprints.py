"""Identifies requests by content, independent of sender and attempt."""

import hashlib

import attrs

# Long enough against second preimages. A caller who finds a collision can harm
# only its own workspace, as fingerprints of two workspaces are never equal.
DIGEST_BYTES = 16
LENGTH_BYTES = 8


@attrs.frozen(kw_only=True)
class Fingerprint:
    """Identity of a request's content, small enough to send to other processes.

    Attributes:
        workspace: Workspace of the caller's key, empty on public routes.
        body_bytes: Length of the body. Requests with different lengths differ
            without a digest.
        digest: Digest of method, host, target and body.
    """

    workspace: str
    body_bytes: int
    digest: bytes

    @property
    def text(self) -> str:
        """Return the digest in the notation of logs and operator commands."""
        return self.digest.hex()


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
