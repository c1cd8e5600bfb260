"""Share of a fleet-wide limit that one gateway uses without coordination."""

import collections

import attrs


@attrs.define
class ShareInterval:
    """A share and the time until which it was held."""

    share: float
    until: float = float("inf")


@attrs.define
class MinimumShare:
    """Minimum of the shares that a gateway held within a time span.

    Gateways learn of joined and lost members at different times, and a
    restarted gateway does not know the usage of its previous process. If all
    gateways saw the same members at some time within the span, their minimum
    shares add up to at most 1. The minimum is 0 for a process that has not run
    for the whole span, and for one whose proof of the members expired within
    it, as the other gateways then considered it lost.

    Attributes:
        span_s: Length of the span, which ends now.
        lease_s: Age of the proof up to which a share is held.
        proved_at: Time of the newest proof that the members are current.
        held: Shares held within the span, in increasing order.
    """

    span_s: float
    lease_s: float
    proved_at: float = float("-inf")
    held: collections.deque[ShareInterval] = attrs.Factory(
        lambda: collections.deque([ShareInterval(0.0)])
    )

    def update(self, share: float, now: float, proved_at: float) -> None:
        """Set the share held from `now` on, from members of `proved_at`."""
        expired_at = self.proved_at + self.lease_s
        if now > expired_at:
            self.replace(0.0, expired_at)
        self.proved_at = max(self.proved_at, proved_at)
        self.replace(share, now)

    def replace(self, share: float, at: float) -> None:
        """Replace the share that is held, from a time on."""
        if share == self.held[-1].share:
            return
        self.held[-1].until = at
        while self.held and self.held[-1].share >= share:
            self.held.pop()
        self.held.append(ShareInterval(share))

    def minimum(self, now: float) -> float:
        """Return the minimum share of the span that ends now."""
        if now > self.proved_at + self.lease_s:
            return 0.0
        while len(self.held) > 1 and self.held[0].until <= now - self.span_s:
            self.held.popleft()
        return self.held[0].share
