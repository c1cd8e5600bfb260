"""An entry's leased share of the fleet-wide limits of each workspace."""

import attrs

# Size of a workspace's token bucket, in seconds of its rate.
BURST_S = 2.0


@attrs.frozen(kw_only=True)
class Share:
    """A part of one workspace's limits, leased to one entry.

    Attributes:
        workspace: Name of the workspace.
        grant: Grant number, which grows with every grant to this entry.
        tokens_per_s: Rate share, None if the workspace has no rate limit.
        concurrency: Requests in flight, None if there is no such limit.
        lease_s: Lease duration in seconds, counted from the time at which the
            entry sent its request.
    """

    workspace: str
    grant: int
    tokens_per_s: float | None
    concurrency: int | None
    lease_s: float


@attrs.frozen(kw_only=True)
class Demand:
    """The part of one workspace's limits that an entry can use now."""

    workspace: str
    tokens_per_s: float = 0.0
    concurrency: int = 0


@attrs.define
class WorkspaceMeter:
    """Token bucket and concurrency count of one workspace at one entry."""

    share: Share | None = None
    lease_until: float = float("-inf")
    tokens: float = 0.0
    filled_at: float = 0.0
    in_flight: int = 0
    waiting: int = 0
    rate_used: float = 0.0
    rate_at: float = 0.0

    def is_active(self, now: float) -> bool:
        """Return whether a share was granted and is in use or still leased."""
        busy = self.in_flight or self.waiting or self.rate_used >= 1
        return self.share is not None and (busy or self.has_lease(now))

    def refill(self, now: float) -> None:
        """Add the tokens earned since the last call, up to the lease's end."""
        share = self.share
        earned_until = min(now, self.lease_until)
        if share is not None and share.tokens_per_s is not None:
            seconds = max(0.0, earned_until - self.filled_at)
            cap = BURST_S * share.tokens_per_s
            if self.tokens < cap:
                earned = seconds * share.tokens_per_s
                self.tokens = min(cap, self.tokens + earned)
        self.filled_at = max(self.filled_at, now)

    def has_lease(self, now: float) -> bool:
        """Return whether the lease of a share is valid now."""
        return self.share is not None and now < self.lease_until

    def can_start(self, now: float) -> bool:
        """Return whether the share has room for one more request now."""
        if not self.has_lease(now):
            return False
        self.refill(now)
        limit = self.share.concurrency
        if limit is not None and self.in_flight >= limit:
            return False
        # Any positive balance is enough: a request larger than the bucket
        # makes the balance negative, as it could never be covered in full.
        return self.share.tokens_per_s is None or self.tokens > 0

    def start(self, cost_tokens: int, now: float) -> None:
        """Charge a request at its start."""
        self.refill(now)
        self.in_flight += 1
        self.tokens -= cost_tokens
        self.record_rate(cost_tokens, now)

    def finish(self, unused_tokens: int) -> None:
        """End a request and refund the tokens that it did not use."""
        self.in_flight -= 1
        self.tokens += unused_tokens

    def record_rate(self, tokens: float, now: float) -> None:
        """Add tokens to the rate in use, which decays over one second."""
        elapsed = max(now - self.rate_at, 0.0)
        self.rate_used *= max(0.0, 1.0 - elapsed)
        self.rate_used += tokens
        self.rate_at = now

    def refill_at(self, now: float) -> float:
        """Return when the token balance is expected to be positive again."""
        share = self.share
        if share is None or not share.tokens_per_s or self.tokens > 0:
            return now
        return now - self.tokens / share.tokens_per_s


@attrs.define
class LimitTable:
    """Meters of all workspaces that have sent requests to an entry."""

    meters: dict[str, WorkspaceMeter] = attrs.Factory(dict)

    def meter(self, workspace: str) -> WorkspaceMeter:
        """Return the meter of a workspace, created on first use."""
        return self.meters.setdefault(workspace, WorkspaceMeter())

    def apply(self, shares: tuple[Share, ...], requested_at: float, now: float):
        """Apply granted shares; their leases count from `requested_at`."""
        for share in shares:
            meter = self.meter(share.workspace)
            if meter.share is not None and share.grant <= meter.share.grant:
                continue
            meter.refill(now)
            if meter.share is None and share.tokens_per_s is not None:
                meter.tokens = max(meter.tokens, share.tokens_per_s)
            meter.share = share
            meter.lease_until = requested_at + share.lease_s

    def demands(self, now: float) -> tuple[Demand, ...]:
        """Return the demand of each active workspace."""
        found = []
        for name, meter in self.meters.items():
            wanted = meter.in_flight + meter.waiting
            if not wanted and meter.rate_used < 1:
                continue
            meter.record_rate(0, now)
            found.append(
                Demand(
                    workspace=name,
                    tokens_per_s=meter.rate_used + max(0.0, -meter.tokens),
                    concurrency=wanted,
                )
            )
        return tuple(found)

    def grants(self) -> dict[str, int]:
        """Return the newest grant number applied per workspace."""
        return {
            name: meter.share.grant
            for name, meter in self.meters.items()
            if meter.share is not None
        }
