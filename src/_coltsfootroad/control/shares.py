"""Divides each workspace's limits into leased shares per entry.

The shares of a limit never add up to more than the limit.
"""

import math

import attrs

from _coltsfootroad.control import messages
from _coltsfootroad.core import config as config_lib
from _coltsfootroad.core import limits

LEASE_S = 4.0
# Added to a share's lease before it is granted to another entry.
LEASE_MARGIN_S = 1.0
# Fraction of a limit that is divided evenly, so that an idle entry can start
# its first request without a round trip.
EVEN_FRACTION = 0.3


@attrs.define
class Grant:
    """A grant to one entry; it counts until it ends or is replaced."""

    number: int
    tokens_per_s: float
    concurrency: int
    until: float


@attrs.define
class EntryShare:
    """One entry's grants and demand for one workspace."""

    grants: list[Grant] = attrs.Factory(list)
    demand_tokens: float = 0.0
    demand_concurrency: int = 0
    in_flight: int = 0
    last_sync_at: float = 0.0

    def granted_tokens_per_s(self) -> float:
        """Return the highest rate that the entry may be using."""
        return max((g.tokens_per_s for g in self.grants), default=0.0)

    def granted_concurrency(self) -> int:
        """Return the maximum of requests that the entry may have in flight."""
        granted = max((g.concurrency for g in self.grants), default=0)
        return max(granted, self.in_flight)

    def expire(self, now: float) -> None:
        """Drop grants that have ended, including the margin."""
        self.grants = [g for g in self.grants if g.until + LEASE_MARGIN_S > now]
        if (
            not self.grants
            and now - self.last_sync_at > LEASE_S + LEASE_MARGIN_S
        ):
            self.in_flight = 0

    def acknowledge(self, number: int) -> None:
        """Drop grants that the entry has replaced by a newer one."""
        self.grants = [g for g in self.grants if g.number >= number]


@attrs.define
class ShareTable:
    """Shares of all workspaces over all entries.

    The sum of what entries may be using never exceeds the limit: a grant
    counts until the entry acknowledges a later one, or until its lease and
    margin have passed. During the first lease after a start, entries keep what
    they hold, since the grants of the previous leader are not known.
    """

    started_at: float
    by_workspace: dict[str, dict[str, EntryShare]] = attrs.Factory(dict)
    last_grant: int = 0

    def is_learning(self, now: float) -> bool:
        """Return whether grants of a previous leader may still be in use."""
        return now < self.started_at + LEASE_S + LEASE_MARGIN_S

    def on_sync(
        self,
        entry: str,
        request: messages.SyncRequest,
        config: config_lib.Config,
        entry_count: int,
        now: float,
    ) -> tuple[limits.Share, ...]:
        """Return new shares for an entry that reports its demand."""
        self.record_demands(entry, request, now)
        holdings = {h.workspace: h for h in request.holdings}
        shares = []
        wanted = {d.workspace for d in request.demands}
        if self.is_learning(now):
            wanted |= set(holdings)
        for name in wanted & set(config.workspaces):
            workspace = config.workspaces[name]
            holding = holdings.get(name)
            if not workspace.is_limited:
                continue
            if self.is_learning(now):
                share = self.renew_holding(entry, name, workspace, holding, now)
            else:
                share = self.grant(entry, name, workspace, entry_count, now)
            if share is not None:
                shares.append(share)
        return tuple(shares)

    def record_demands(
        self, entry: str, request: messages.SyncRequest, now: float
    ) -> None:
        """Record the demands, holdings and acknowledgements of an entry."""
        for by_entry in self.by_workspace.values():
            share = by_entry.get(entry)
            if share is not None:
                share.demand_tokens = 0.0
                share.demand_concurrency = 0
                share.in_flight = 0
                share.last_sync_at = now
        for demand in request.demands:
            share = self.entry_share(demand.workspace, entry)
            share.demand_tokens = demand.tokens_per_s
            share.demand_concurrency = demand.concurrency
        for holding in request.holdings:
            share = self.entry_share(holding.workspace, entry)
            share.in_flight = holding.in_flight
            share.acknowledge(holding.grant)
            # New grants get numbers above those of earlier leaders, even of
            # ended grants: an entry ignores shares with a lower number.
            self.last_grant = max(self.last_grant, holding.grant)
            share.last_sync_at = now

    def entry_share(self, workspace: str, entry: str) -> EntryShare:
        """Return an entry's share record of a workspace."""
        by_entry = self.by_workspace.setdefault(workspace, {})
        return by_entry.setdefault(entry, EntryShare())

    def renew_holding(
        self,
        entry: str,
        name: str,
        workspace: config_lib.Workspace,
        holding: messages.Holding | None,
        now: float,
    ) -> limits.Share | None:
        """Renew exactly what an entry holds, while `is_learning`."""
        if holding is None or holding.remaining_s <= 0:
            return None
        tokens = holding.tokens_per_s or 0.0
        concurrency = holding.concurrency or 0
        return self.record_grant(
            entry, name, workspace, tokens, concurrency, now
        )

    def grant(
        self,
        entry: str,
        name: str,
        workspace: config_lib.Workspace,
        entry_count: int,
        now: float,
    ) -> limits.Share:
        """Return an entry's share by demand, within the ungranted remainder."""
        by_entry = self.by_workspace.setdefault(name, {})
        by_entry.setdefault(entry, EntryShare())
        for other, share in list(by_entry.items()):
            share.expire(now)
            if other != entry and not share.grants and not share.in_flight:
                del by_entry[other]
        count = max(entry_count, 1)
        tokens = math.inf
        if workspace.tokens_per_s is not None:
            tokens = entry_part(
                workspace.tokens_per_s,
                {e: s.demand_tokens for e, s in by_entry.items()},
                {e: s.granted_tokens_per_s() for e, s in by_entry.items()},
                entry,
                count,
            )
        concurrency = 0
        if workspace.concurrency is not None:
            concurrency = math.floor(
                entry_part(
                    workspace.concurrency,
                    {e: s.demand_concurrency for e, s in by_entry.items()},
                    {e: s.granted_concurrency() for e, s in by_entry.items()},
                    entry,
                    count,
                )
                + ROUNDING_TOLERANCE
            )
        return self.record_grant(
            entry, name, workspace, tokens, concurrency, now
        )

    def record_grant(
        self,
        entry: str,
        name: str,
        workspace: config_lib.Workspace,
        tokens: float,
        concurrency: int,
        now: float,
    ) -> limits.Share:
        """Record a grant and return it as a share."""
        self.last_grant += 1
        self.entry_share(name, entry).grants.append(
            Grant(self.last_grant, tokens, concurrency, now + LEASE_S)
        )
        has_rate = workspace.tokens_per_s is not None
        has_concurrency = workspace.concurrency is not None
        return limits.Share(
            workspace=name,
            grant=self.last_grant,
            tokens_per_s=tokens if has_rate else None,
            concurrency=concurrency if has_concurrency else None,
            lease_s=LEASE_S,
        )


ROUNDING_TOLERANCE = 1e-9


def entry_part(
    limit: float,
    demands: dict[str, float],
    granted: dict[str, float],
    entry: str,
    count: int,
) -> float:
    """Return an entry's part of a limit.

    The target is an even part plus a part of the remainder in proportion to
    demand. It is capped at what the grants to other entries leave.
    """
    even_part = EVEN_FRACTION * limit / count
    total = sum(demands.values())
    demand_part = limit - EVEN_FRACTION * limit
    if total > 0:
        wanted = even_part + demand_part * demands.get(entry, 0.0) / total
    else:
        wanted = limit / count
    granted_to_others = sum(v for e, v in granted.items() if e != entry)
    return max(0.0, min(wanted, limit - granted_to_others))
