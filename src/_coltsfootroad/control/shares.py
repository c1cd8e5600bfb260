"""Splits each workspace's limits into leased shares, never above the sum."""

import math

import attrs

from _coltsfootroad.control import messages
from _coltsfootroad.core import config as config_lib
from _coltsfootroad.core import limits

LEASE_S = 4.0
# Waited after a share's end before it is given to another entry.
MARGIN_S = 1.0
# Part of a limit that is split evenly, so that an idle entry can start a
# first request without a round trip.
FLOOR_SHARE = 0.3


@attrs.define
class Grant:
    """A promise to one entry; it counts until its end or its replacement."""

    number: int
    tokens_per_s: float
    concurrency: int
    until: float


@attrs.define
class EntryShare:
    """What one entry was promised of one workspace, and what it wants."""

    grants: list[Grant] = attrs.Factory(list)
    demand_tokens: float = 0.0
    demand_concurrency: int = 0
    in_flight: int = 0
    seen_at: float = 0.0

    def promised_tokens(self) -> float:
        """Return the largest rate that the entry may be using."""
        return max((g.tokens_per_s for g in self.grants), default=0.0)

    def promised_concurrency(self) -> int:
        """Return the most requests that the entry may have in flight."""
        granted = max((g.concurrency for g in self.grants), default=0)
        return max(granted, self.in_flight)

    def expire(self, now: float) -> None:
        """Drop promises that have surely ended."""
        self.grants = [g for g in self.grants if g.until + MARGIN_S > now]
        if not self.grants and now - self.seen_at > LEASE_S + MARGIN_S:
            self.in_flight = 0

    def acknowledge(self, number: int) -> None:
        """Drop promises that the entry has replaced by a newer one."""
        self.grants = [g for g in self.grants if g.number >= number]


@attrs.define
class ShareTable:
    """Shares of all workspaces over all entries.

    The sum of what entries may be using never exceeds the limit: a promise
    counts until the entry confirms a later one or its lease and margin have
    passed. For the first lease after a start, entries only keep what they
    hold, since the promises of the previous leader are not known.
    """

    started_at: float
    table: dict[str, dict[str, EntryShare]] = attrs.Factory(dict)
    last_grant: int = 0

    def is_learning(self, now: float) -> bool:
        """Return whether promises of a previous leader may still hold."""
        return now < self.started_at + LEASE_S + MARGIN_S

    def on_sync(
        self,
        entry: str,
        request: messages.SyncRequest,
        config: config_lib.Config,
        entry_count: int,
        now: float,
    ) -> tuple[limits.Share, ...]:
        """Return new shares for an entry that tells what it needs."""
        self.take_demands(entry, request, now)
        holdings = {h.workspace: h for h in request.holdings}
        found = []
        wanted = {d.workspace for d in request.demands}
        if self.is_learning(now):
            wanted |= set(holdings)
        for name in wanted & set(config.workspaces):
            workspace = config.workspaces[name]
            holding = holdings.get(name)
            if not workspace.is_limited:
                continue
            if self.is_learning(now):
                share = self.keep(entry, name, workspace, holding, now)
            else:
                share = self.grant(entry, name, workspace, entry_count, now)
            if share is not None:
                found.append(share)
        return tuple(found)

    def take_demands(
        self, entry: str, request: messages.SyncRequest, now: float
    ) -> None:
        """Note demands, holdings and confirmations of an entry."""
        for by_entry in self.table.values():
            share = by_entry.get(entry)
            if share is not None:
                share.demand_tokens = 0.0
                share.demand_concurrency = 0
                share.in_flight = 0
                share.seen_at = now
        for demand in request.demands:
            share = self.entry_share(demand.workspace, entry)
            share.demand_tokens = demand.tokens_per_s
            share.demand_concurrency = demand.concurrency
        for holding in request.holdings:
            share = self.entry_share(holding.workspace, entry)
            share.in_flight = holding.in_flight
            share.acknowledge(holding.grant)
            # Grants of an earlier leader, ended or not, are outnumbered:
            # an entry takes no share that looks older than what it had.
            self.last_grant = max(self.last_grant, holding.grant)
            share.seen_at = now

    def entry_share(self, workspace: str, entry: str) -> EntryShare:
        """Return the record of a workspace at an entry."""
        by_entry = self.table.setdefault(workspace, {})
        return by_entry.setdefault(entry, EntryShare())

    def keep(
        self,
        entry: str,
        name: str,
        workspace: config_lib.Workspace,
        holding: messages.Holding | None,
        now: float,
    ) -> limits.Share | None:
        """Renew exactly what an entry holds, while still learning."""
        if holding is None or holding.remaining_s <= 0:
            return None
        tokens = holding.tokens_per_s or 0.0
        concurrency = holding.concurrency or 0
        return self.record(entry, name, workspace, tokens, concurrency, now)

    def grant(
        self,
        entry: str,
        name: str,
        workspace: config_lib.Workspace,
        entry_count: int,
        now: float,
    ) -> limits.Share:
        """Return the share of an entry by demand, within what is left."""
        by_entry = self.table.setdefault(name, {})
        by_entry.setdefault(entry, EntryShare())
        for other, share in list(by_entry.items()):
            share.expire(now)
            if other != entry and not share.grants and not share.in_flight:
                del by_entry[other]
        count = max(entry_count, 1)
        tokens = math.inf
        if workspace.tokens_per_s is not None:
            tokens = divide(
                workspace.tokens_per_s,
                {e: s.demand_tokens for e, s in by_entry.items()},
                {e: s.promised_tokens() for e, s in by_entry.items()},
                entry,
                count,
            )
        concurrency = 0
        if workspace.concurrency is not None:
            concurrency = math.floor(
                divide(
                    workspace.concurrency,
                    {e: s.demand_concurrency for e, s in by_entry.items()},
                    {e: s.promised_concurrency() for e, s in by_entry.items()},
                    entry,
                    count,
                )
                + ROUNDING
            )
        return self.record(entry, name, workspace, tokens, concurrency, now)

    def record(
        self,
        entry: str,
        name: str,
        workspace: config_lib.Workspace,
        tokens: float,
        concurrency: int,
        now: float,
    ) -> limits.Share:
        """Remember a promise and return it as a share."""
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


ROUNDING = 1e-9


def divide(
    limit: float,
    demands: dict[str, float],
    promised: dict[str, float],
    entry: str,
    count: int,
) -> float:
    """Return an entry's part of a limit.

    Wanted is an even floor plus a part of the rest in proportion to demand;
    granted is that, cut to what the promises to others leave.
    """
    floor = FLOOR_SHARE * limit / count
    total = sum(demands.values())
    rest = limit - FLOOR_SHARE * limit
    if total > 0:
        wanted = floor + rest * demands.get(entry, 0.0) / total
    else:
        wanted = limit / count
    others = sum(v for e, v in promised.items() if e != entry)
    return max(0.0, min(wanted, limit - others))
