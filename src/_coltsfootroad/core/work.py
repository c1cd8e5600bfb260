"""One request, or one part of a prompt, at one endpoint."""

import attrs


@attrs.define
class Work:
    """What is known of a piece of work.

    Attributes:
        endpoint: Where it is.
        prompt_tokens: Tokens of the whole prompt.
        output_tokens: Tokens that it may write at most.
        kv_tokens: Tokens of the endpoint's memory that it fills at most.
        parts: Engines among which the prompt is read.
        leads: Whether this endpoint writes the answer.
        sent_at: When it was sent, seconds of the local clock.
        writing: Whether its first event has come.
        gap_target_s: Longest pause that is still on time, 0 once one was
            longer or if pauses do not matter.
        value: What its caller loses by a late answer, relative.
        late: Whether it was late already when it was sent; an engine then
            serves it after those that can be on time.
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

    @property
    def is_late_waiting(self) -> bool:
        """Return whether it waits for its first event although it is late."""
        return self.late and self.leads and not self.writing
