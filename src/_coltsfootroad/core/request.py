"""Requests, chunks of their answers, and stored answers."""

import attrs

from _coltsfootroad.core import servicekind


@attrs.frozen(kw_only=True)
class Request:
    """One request of a caller, as admitted or refused by an entry.

    Attributes:
        request_id: Unique over the fleet and over restarts.
        workspace: Name of the workspace that is charged.
        service: Name of the requested service.
        prompt_tokens: Estimated prompt length in tokens, at least 1.
        output_tokens: Upper bound on generated tokens.
        arrived_at: Seconds on the entry's clock.
        deadline_at: Seconds on the entry's clock; always set.
        kind: Engine or plain service.
        priority: Workspace priority, 0 (most urgent) to 9.
        non_idempotent: Whether it must run at most once.
        idempotency_key: Key that identifies resends, empty if there is none.
        key_time: Creation time of the key in unix seconds.
        body_hash: Hash of method, path and body; a resend must match it.
        session: Session name as a hint for locality, may be empty.
        prefix_hashes: Chained hashes of the prompt's blocks, longest prefix
            last.
        payload: Opaque body that the shell sends to the endpoint.
    """

    request_id: str
    workspace: str
    service: str
    prompt_tokens: int
    output_tokens: int
    arrived_at: float
    deadline_at: float
    kind: servicekind.ServiceKind = servicekind.ServiceKind.ENGINE
    priority: int = 5
    non_idempotent: bool = False
    idempotency_key: str = ""
    key_time: float = 0.0
    body_hash: str = ""
    session: str = ""
    prefix_hashes: tuple[str, ...] = ()
    payload: object = None

    @property
    def cost_tokens(self) -> int:
        """Return the tokens charged by rate limits and the fair queue."""
        return self.prompt_tokens + self.output_tokens

    @property
    def needs_claim(self) -> bool:
        """Return whether its key must be claimed before dispatch."""
        return self.non_idempotent and bool(self.idempotency_key)


@attrs.frozen(kw_only=True)
class Chunk:
    """A part of an answer, at a token offset in the answer."""

    offset: int
    tokens: int
    data: bytes
    final: bool = False


@attrs.frozen(kw_only=True)
class Answer:
    """A complete answer as stored for resends; `status` is an HTTP status."""

    status: int
    body: bytes
    content_type: str = "application/json"
