"""Leases with fencing tokens, for work that one process does at a time."""

import attrs

# Added to a lease before another holder gets it. The holder counts from before
# its request and this side from after the grant; the margin covers clock drift.
LEASE_MARGIN_S = 1.0


@attrs.frozen(kw_only=True)
class TakeLease:
    """Takes or renews a lease by name."""

    name: str
    holder: str
    lease_s: float


@attrs.frozen(kw_only=True)
class DropLease:
    """Releases a lease early, after the holder has stopped acting."""

    name: str
    holder: str


@attrs.frozen(kw_only=True)
class Lease:
    """The holder of a lease, its fencing token and its end."""

    name: str
    holder: str
    fence: int
    until: float


@attrs.frozen(kw_only=True)
class LeaseAnswer:
    """Outcome of `TakeLease`; `fence` is the current holder's token."""

    granted: bool
    holder: str
    fence: int
    previous_until: float = 0.0


@attrs.define
class LeaseTable:
    """All leases; fencing tokens only increase."""

    leases: dict[str, Lease] = attrs.Factory(dict)
    last_fence: int = 0

    def take(self, command: TakeLease, now: float) -> LeaseAnswer:
        """Grant a free lease or renew it for its holder."""
        current = self.leases.get(command.name)
        if current is not None and current.holder == command.holder:
            # Renewal of an expired lease gets a new token: another holder
            # may have taken and released it in between.
            ended = now >= current.until + LEASE_MARGIN_S
            fence = self.next_fence() if ended else current.fence
            return self.grant(command, fence, now, 0.0)
        if current is not None and now < current.until + LEASE_MARGIN_S:
            return LeaseAnswer(
                granted=False, holder=current.holder, fence=current.fence
            )
        previous = current.until if current is not None else 0.0
        return self.grant(command, self.next_fence(), now, previous)

    def grant(
        self, command: TakeLease, fence: int, now: float, previous: float
    ) -> LeaseAnswer:
        """Record a lease and return the answer to its holder."""
        self.leases[command.name] = Lease(
            name=command.name,
            holder=command.holder,
            fence=fence,
            until=now + command.lease_s,
        )
        return LeaseAnswer(
            granted=True,
            holder=command.holder,
            fence=fence,
            previous_until=previous,
        )

    def next_fence(self) -> int:
        """Return a fencing token above all earlier ones."""
        self.last_fence += 1
        return self.last_fence

    def drop(self, command: DropLease) -> None:
        """End a lease that its holder releases."""
        current = self.leases.get(command.name)
        if current is not None and current.holder == command.holder:
            del self.leases[command.name]
