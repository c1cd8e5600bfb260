"""A work item: one request, or one part of a prompt, at one endpoint."""

import attrs


@attrs.define
class WorkItem:
    """A request or part of a prompt that was sent to an endpoint.

    Attributes:
        endpoint: Name of the endpoint.
        prompt_tokens: Tokens of the whole prompt.
        output_tokens: Upper bound on generated tokens.
        kv_tokens: Upper bound on the KV cache tokens at this endpoint.
        parts: Number of engines over which the prefill is split.
        leads: Whether this endpoint decodes and returns the answer.
        sent_at: Time of the send, seconds of the local clock.
        writing: Whether the first event of the answer has arrived.
        gap_target_s: Target for the pause between two events; 0 after a longer
            pause, or if pauses do not matter.
        value: Relative cost of a late answer to the caller.
        late: Whether it had missed its target when it was sent. An engine
            serves it after requests that can meet theirs.
        workspace: Short hash of the caller's workspace, 0 for none.
        queued: Whether no engine had room for it within its target, however
            long its caller had waited before.
        slowdown: The engine's slowdown by this stream, 0 without a reading.
        slowdown_read_at: Time of that reading.
    """

    endpoint: str
    prompt_tokens: int = 0
    output_tokens: int = 0
    kv_tokens: int = 0
    parts: int = 1
    leads: bool = True
    sent_at: float = 0.0
    writing: bool = False
    gap_target_s: float = 0.0
    value: float = 1.0
    late: bool = False
    workspace: int = 0
    queued: bool = False
    slowdown: float = 0.0
    slowdown_read_at: float = float("-inf")

    @property
    def is_late_waiting(self) -> bool:
        """Return whether it is late and its first event has not arrived."""
        return self.late and self.leads and not self.writing
