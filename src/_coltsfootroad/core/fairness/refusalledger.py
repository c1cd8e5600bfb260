"""Remembers refused requests, to tell a due retry from an early one.

A caller retries with a new request ID, often at another gateway, and its stated
timeout does not distinguish a retry from a first try with a short deadline. So
gateways exchange short hashes of the requests that they refused, with the time
of the retry and the caller's deadline. A retry has the same content and the
same deadline; another request with equal content has another deadline.
"""

import enum

import attrs

# A retry may arrive this much before the stated time: callers round to
# milliseconds, and clocks of VMs run at slightly different speeds.
TOLERANCE_S = 0.05
# A retry that is later than this counts as a first try.
VALIDITY_S = 5.0
# Deadlines that differ by less are the same: a try travels for milliseconds,
# and the other gateways learn of a refusal within 30 ms.
DEADLINE_TOLERANCE_S = 0.1
MAX_ENTRIES = 4_096
# Refusals in one message; a summary with more would exceed a datagram's share.
MAX_IN_MESSAGE = 64
MS = 1000


class Retry(enum.Enum):
    """What is known of an earlier try of a request."""

    NONE = "none"
    EARLY = "early"
    DUE = "due"


@attrs.frozen
class RefusedRequest:
    """When a refused request may be retried, and its caller's deadline.

    Both are seconds of the local clock.
    """

    due_at: float
    deadline: float


@attrs.define
class RefusalLedger:
    """Refused requests of all gateways by hash.

    Attributes:
        known: The requests, in the order of the refusals.
        unsent: Own refusals that are not published to other gateways yet.
    """

    known: dict[int, RefusedRequest] = attrs.Factory(dict)
    unsent: dict[int, RefusedRequest] = attrs.Factory(dict)

    def record(self, request: int, due_at: float, deadline: float) -> None:
        """Record an own refusal."""
        refused = RefusedRequest(due_at, deadline)
        self.learn(request, refused)
        self.unsent[request] = refused
        if len(self.unsent) > MAX_IN_MESSAGE:
            del self.unsent[next(iter(self.unsent))]

    def learn(self, request: int, refused: RefusedRequest) -> None:
        """Store a refusal; the oldest is dropped at the limit."""
        self.known.pop(request, None)
        self.known[request] = refused
        if len(self.known) > MAX_ENTRIES:
            del self.known[next(iter(self.known))]

    def classify(self, request: int, deadline: float, now: float) -> Retry:
        """Return whether a request is a retry, and whether it is due.

        An early retry keeps its entry, so that a third try gains nothing.
        """
        refused = self.known.get(request)
        if refused is None:
            return Retry.NONE
        if now > refused.due_at + VALIDITY_S:
            del self.known[request]
            return Retry.NONE
        if abs(deadline - refused.deadline) > DEADLINE_TOLERANCE_S:
            return Retry.NONE
        if now >= refused.due_at - TOLERANCE_S:
            return Retry.DUE
        return Retry.EARLY

    def collect(self, now: float) -> tuple[tuple[int, int, int], ...]:
        """Return the unsent refusals.

        Each is a hash, and the milliseconds until the request is due and until
        its deadline, as clocks differ between VMs.
        """
        found = tuple(
            (
                request,
                max(0, int((refused.due_at - now) * MS)),
                max(0, int((refused.deadline - now) * MS)),
            )
            for request, refused in self.unsent.items()
        )
        self.unsent.clear()
        return found

    def apply(
        self, refusals: tuple[tuple[int, int, int], ...], now: float
    ) -> None:
        """Store another gateway's refusals."""
        for request, due_ms, left_ms in refusals[:MAX_IN_MESSAGE]:
            self.learn(
                request,
                RefusedRequest(now + due_ms / MS, now + left_ms / MS),
            )
