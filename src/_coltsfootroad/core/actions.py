"""Actions that the entry core returns and the shell performs."""

import attrs

from _coltsfootroad.core import errors
from _coltsfootroad.core import request as request_lib


@attrs.frozen(kw_only=True)
class Part:
    """The part of a dispatch for one engine; a group has several.

    `mark` numbers this entry's dispatches to the endpoint. A load report names
    the last mark that it includes.
    """

    endpoint: str
    index: int = 0
    prompt_tokens: int = 0
    kv_tokens: int = 0
    mark: int = 0


@attrs.frozen(kw_only=True)
class Dispatch:
    """Send one attempt to one endpoint, or its parts to a group.

    Attributes:
        request: The request itself.
        attempt: Number of the attempt, from 1.
        parts: One part per engine; the engine of the first one answers.
        priority: Engine priority, 0 is served first.
        resume_offset: Number of tokens that the caller has received already.
        deadline_at: Seconds on the entry's clock.
    """

    request: request_lib.Request
    attempt: int
    parts: tuple[Part, ...]
    priority: int
    resume_offset: int
    deadline_at: float

    @property
    def endpoint(self) -> str:
        """Return the endpoint that answers."""
        return self.parts[0].endpoint


@attrs.frozen(kw_only=True)
class DispatchNote:
    """Notifies the other entries of a dispatch at once.

    Load reports arrive up to a second later; until then two entries would send
    to the same idle engine. `mark` shows whether a report includes the
    dispatch.
    """

    owner: str
    endpoint: str
    mark: int
    band: int
    prompt_tokens: int
    kv_tokens: int


@attrs.frozen(kw_only=True)
class Cancel:
    """Cancel an attempt at an endpoint; repeated until confirmed."""

    endpoint: str
    request_id: str
    attempt: int


@attrs.frozen(kw_only=True)
class Reprioritise:
    """Change the priority of an attempt that is queued at an engine."""

    endpoint: str
    request_id: str
    attempt: int
    priority: int


@attrs.frozen(kw_only=True)
class TakeClaim:
    """Request the claim of an idempotency key from the control plane."""

    request: request_lib.Request


@attrs.frozen(kw_only=True)
class SettleClaim:
    """Report the outcome of a claimed request to the control plane.

    `ran` is `NO` if the key may be claimed again, `YES` with the answer, and
    `UNKNOWN` if the request may have run.
    """

    request: request_lib.Request
    ran: errors.Ran
    answer: request_lib.Answer | None = None


@attrs.frozen(kw_only=True)
class ReserveGroup:
    """Reserve memory on all engines of a group or none, or renew the lease."""

    group: str
    service: str
    request_id: str
    engines: dict[str, int]
    lease_s: float


@attrs.frozen(kw_only=True)
class ReleaseGroup:
    """Release a group's reservation."""

    group: str


@attrs.frozen(kw_only=True)
class Emit:
    """Send a chunk of the answer to the caller."""

    request_id: str
    chunk: request_lib.Chunk


@attrs.frozen(kw_only=True)
class Finish:
    """Complete the caller's request; `answer` is None after a stream."""

    request_id: str
    answer: request_lib.Answer | None = None


@attrs.frozen(kw_only=True)
class Fail:
    """End the caller's request with its final failure."""

    request_id: str
    failure: errors.Failure


Action = (
    Dispatch
    | DispatchNote
    | Cancel
    | Reprioritise
    | TakeClaim
    | SettleClaim
    | ReserveGroup
    | ReleaseGroup
    | Emit
    | Finish
    | Fail
)
