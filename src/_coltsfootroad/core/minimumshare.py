"""The part of a fleet's limit that one gateway can use without a message."""

import collections

import attrs


@attrs.define
class ShareInterval:
    """A share and until when it was held."""

    share: float
    until: float = float("inf")


@attrs.define
class MinimumShare:
    """The least share that a gateway held at any time of a span.

    Gateways learn at different moments that a member came or was lost, and a
    restarted one does not know what the process before it has used. Where all
    saw the same members at some moment of the span, least shares add up to 1
    at most. A process that has not run for the whole span has none, and so
    has one whose proof was too old meanwhile: the others took it for lost.

    Attributes:
        span_s: The span, up to now.
        lease_s: Age of the proof up to which a share is held.
        proved_at: When the members were proved last.
        held: Shares in force within the span, each less than the next one.
    """

    span_s: float
    lease_s: float
    proved_at: float = float("-inf")
    held: collections.deque[ShareInterval] = attrs.Factory(
        lambda: collections.deque([ShareInterval(0.0)])
    )

    def update(self, share: float, now: float, proved_at: float) -> None:
        """Note the share in force from `now` on, by members of `proved_at`."""
        expired_at = self.proved_at + self.lease_s
        if now > expired_at:
            self.replace(0.0, expired_at)
        self.proved_at = max(self.proved_at, proved_at)
        self.replace(share, now)

    def replace(self, share: float, at: float) -> None:
        """Put another share in force."""
        if share == self.held[-1].share:
            return
        self.held[-1].until = at
        while self.held and self.held[-1].share >= share:
            self.held.pop()
        self.held.append(ShareInterval(share))

    def minimum(self, now: float) -> float:
        """Return the least share of the span that ends now."""
        if now > self.proved_at + self.lease_s:
            return 0.0
        while len(self.held) > 1 and self.held[0].until <= now - self.span_s:
            self.held.popleft()
        return self.held[0].share
