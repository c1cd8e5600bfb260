"""What the entry core asks the shell to do."""

import attrs

from _coltsfootroad.core import errors
from _coltsfootroad.core import request as request_lib


@attrs.frozen(kw_only=True)
class Part:
    """The share of one engine in a dispatch; groups have several.

    `mark` numbers this entry's dispatches to the endpoint; load reports
    name the last one that they contain.
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
        parts: One part per engine; the first is the leader that answers.
        priority: Engine priority, 0 served first.
        resume_offset: Tokens that the caller has already received.
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
    """What other entries are told of a dispatch, at once.

    Load reports come a second late; two entries would send to the same idle
    engine meanwhile. `mark` settles whether a report contains it already.
    """

    owner: str
    endpoint: str
    mark: int
    band: int
    prompt_tokens: int
    kv_tokens: int


@attrs.frozen(kw_only=True)
class Cancel:
    """Tell an endpoint to drop an attempt; repeated until confirmed."""

    endpoint: str
    request_id: str
    attempt: int


@attrs.frozen(kw_only=True)
class Reprioritise:
    """Change the priority of an attempt that waits at an engine."""

    endpoint: str
    request_id: str
    attempt: int
    priority: int


@attrs.frozen(kw_only=True)
class TakeClaim:
    """Ask the control state for the right to run a key."""

    request: request_lib.Request


@attrs.frozen(kw_only=True)
class SettleClaim:
    """Tell the control state how a claimed key ended.

    `ran` is `NO` when the key may be claimed again, `YES` with the answer,
    `UNKNOWN` when nothing can be proved.
    """

    request: request_lib.Request
    ran: errors.Ran
    answer: request_lib.Answer | None = None


@attrs.frozen(kw_only=True)
class ReserveGroup:
    """Reserve memory on several engines, all or nothing, or renew it."""

    group: str
    service: str
    request_id: str
    engines: dict[str, int]
    lease_s: float


@attrs.frozen(kw_only=True)
class ReleaseGroup:
    """End a group's reservation."""

    group: str


@attrs.frozen(kw_only=True)
class Emit:
    """Hand a new piece of the answer to the caller."""

    request_id: str
    chunk: request_lib.Chunk


@attrs.frozen(kw_only=True)
class Finish:
    """Tell the caller that its answer is whole."""

    request_id: str
    answer: request_lib.Answer | None = None


@attrs.frozen(kw_only=True)
class Fail:
    """Give the caller its final failure."""

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
