"""Decides which connection is closed when clients make a process hold too much.

A client that does not read its response, or stops in the middle of a request,
makes the process hold bytes for it. Limits on single requests and responses do
not bound the sum over all connections: on a VM with 200 MB, 13 unread responses
of 16 MB are more than the memory.
"""

import enum

import attrs

# A single request and its response always fit, also on a VM with little memory.
MIN_LIMIT_BYTES = 32 * 1024 * 1024
# Added to the time without progress, so that bytes alone decide between
# requests whose bytes have just arrived.
MIN_SILENCE_S = 0.01


class Stage(enum.Enum):
    """What a connection is used for."""

    IDLE = "idle"
    RECEIVING = "receiving"
    SERVING = "serving"


@attrs.define(eq=False)
class Holding:
    """Bytes that are held for one connection.

    Attributes:
        unread: Bytes of responses that the client has not read.
        request: Bytes of the request's body.
        response: Bytes of an endpoint's response that is not complete yet.
        buffered: Bytes that arrived and belong to none of these yet.
        stage: What the connection is used for.
        progress_at: Boot clock seconds when bytes last arrived.
    """

    unread: int = 0
    request: int = 0
    response: int = 0
    buffered: int = 0
    stage: Stage = Stage.IDLE
    progress_at: float = 0.0

    @property
    def total(self) -> int:
        """Return the bytes that are held."""
        return self.unread + self.request + self.response + self.buffered

    def stalled_byte_seconds(self, now: float) -> float:
        """Return the bytes held, times the time without progress."""
        return self.total * (max(0.0, now - self.progress_at) + MIN_SILENCE_S)


@attrs.define
class HeldMemory:
    """The bytes that are held for all connections of a process.

    Attributes:
        limit: Most bytes that may be held.
        holdings: Holdings with at least one byte.
        total: Sum over all holdings.
        peak: Largest sum so far, after the victims were removed.
    """

    limit: int
    holdings: set[Holding] = attrs.Factory(set)
    total: int = 0
    peak: int = 0

    def update(self, holding: Holding, **sizes: int) -> None:
        """Set some sizes of a holding."""
        before = holding.total
        for name, size in sizes.items():
            setattr(holding, name, size)
        self.total += holding.total - before
        if holding.total:
            self.holdings.add(holding)
        else:
            self.holdings.discard(holding)

    def drop(self, holding: Holding) -> None:
        """Set all sizes of a holding to 0."""
        self.update(holding, unread=0, request=0, response=0, buffered=0)

    def is_over_limit(self) -> bool:
        """Return whether a connection must be closed."""
        return self.total > self.limit

    def victim(self, now: float) -> Holding | None:
        """Return the connection to close first, None if nothing is held.

        It has the most unread bytes. Where closing all slow readers would not
        suffice, they are not the cause. A request that is still being received
        comes next, as it has not run: the one that holds the most bytes for the
        longest time without progress. Otherwise it holds the most bytes of all.
        """
        unread = sum(holding.unread for holding in self.holdings)
        if self.total - unread <= self.limit:
            return max(self.holdings, key=lambda h: h.unread, default=None)
        receiving = [h for h in self.holdings if h.stage is not Stage.SERVING]
        received = sum(holding.total for holding in receiving)
        if receiving and self.total - received <= self.limit:
            return max(receiving, key=lambda h: h.stalled_byte_seconds(now))
        return max(self.holdings, key=lambda h: h.total, default=None)


def limit_bytes(memory_bytes: int, share: float) -> int:
    """Return the most bytes to hold on a VM, as a share of its memory."""
    return max(MIN_LIMIT_BYTES, int(memory_bytes * share))
