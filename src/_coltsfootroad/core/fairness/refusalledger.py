"""Remembers refused requests, to tell a due retry from an early one.

A caller retries with a new request ID, often at another gateway, and its stated
timeout does not distinguish a retry from a first try with a short deadline. So
gateways exchange short hashes of the requests that they refused, with the time
of the retry.
"""

import enum

import attrs

# A retry may arrive this much before the stated time: callers round to
# milliseconds, and clocks of VMs run at slightly different speeds.
TOLERANCE_S = 0.05
# A retry that is later than this counts as a first try.
VALIDITY_S = 5.0
MAX_ENTRIES = 4_096
# Refusals in one message; a summary with more would exceed a datagram's share.
MAX_IN_MESSAGE = 64
MS = 1000


class Retry(enum.Enum):
    """What is known of an earlier try of a request."""

    NONE = "none"
    EARLY = "early"
    DUE = "due"


@attrs.define
class RefusalLedger:
    """Times at which refused requests may be retried, by hash.

    Attributes:
        due: Local times by request hash, in the order of the refusals.
        unsent: Own refusals that other gateways have not been told of.
    """

    due: dict[int, float] = attrs.Factory(dict)
    unsent: dict[int, float] = attrs.Factory(dict)

    def record(self, request: int, due_at: float) -> None:
        """Record an own refusal."""
        self.learn(request, due_at)
        self.unsent[request] = due_at
        if len(self.unsent) > MAX_IN_MESSAGE:
            del self.unsent[next(iter(self.unsent))]

    def learn(self, request: int, due_at: float) -> None:
        """Store a refusal; the oldest is dropped at the limit."""
        self.due.pop(request, None)
        self.due[request] = due_at
        if len(self.due) > MAX_ENTRIES:
            del self.due[next(iter(self.due))]

    def classify(self, request: int, now: float) -> Retry:
        """Return whether a request is a retry, and whether it is due.

        An early retry keeps its entry, so that a third try gains nothing.
        """
        due_at = self.due.get(request)
        if due_at is None or now > due_at + VALIDITY_S:
            self.due.pop(request, None)
            return Retry.NONE
        return Retry.DUE if now >= due_at - TOLERANCE_S else Retry.EARLY

    def collect(self, now: float) -> tuple[tuple[int, int], ...]:
        """Return the unsent refusals with milliseconds until they are due."""
        found = tuple(
            (request, max(0, int((due_at - now) * MS)))
            for request, due_at in self.unsent.items()
        )
        self.unsent.clear()
        return found

    def apply(self, refusals: tuple[tuple[int, int], ...], now: float) -> None:
        """Store another gateway's refusals."""
        for request, due_ms in refusals[:MAX_IN_MESSAGE]:
            self.learn(request, now + due_ms / MS)
