"""Reservations of several engines at once, for the longest prompts."""

import attrs

from _coltsfootroad.control import messages

# Time for which a refused group keeps its queue position without a retry.
TICKET_LIFETIME_S = 2.0
LEASE_MARGIN_S = 1.0


@attrs.define
class GroupHold:
    """Engines reserved by one group, until its lease ends."""

    engines: dict[str, int]
    until: float


@attrs.define
class Ticket:
    """A refused group's queue position."""

    engines: frozenset[str]
    since: float
    until: float


@attrs.define
class GroupLedger:
    """Grants groups of engines all or nothing, one group per engine.

    A single table decides, so two groups cannot deadlock by each holding
    engines that the other needs. A refused group gets a ticket; later groups
    that need one of its engines wait behind it, so it is not starved.
    """

    holds: dict[str, GroupHold] = attrs.Factory(dict)
    tickets: dict[str, Ticket] = attrs.Factory(dict)

    def reserve(
        self, request: messages.GroupReserve, now: float
    ) -> messages.GroupAnswer:
        """Reserve or renew all engines of a group, or none."""
        self.expire(now)
        busy = self.unavailable_engines(request)
        if busy:
            self.renew_ticket(request, now)
            return messages.GroupAnswer(
                group=request.group, granted=False, busy=tuple(sorted(busy))
            )
        self.tickets.pop(request.group, None)
        self.holds[request.group] = GroupHold(
            dict(request.engines), now + request.lease_s + LEASE_MARGIN_S
        )
        return messages.GroupAnswer(group=request.group, granted=True)

    def unavailable_engines(self, request: messages.GroupReserve) -> set[str]:
        """Return engines held by other groups, or with an earlier ticket."""
        wanted = set(request.engines)
        busy: set[str] = set()
        for group, hold in self.holds.items():
            if group != request.group:
                busy |= wanted & set(hold.engines)
        if request.group in self.holds:
            return busy
        own_ticket = self.tickets.get(request.group)
        for group, ticket in self.tickets.items():
            earlier = own_ticket is None or ticket.since < own_ticket.since
            if group != request.group and earlier:
                busy |= wanted & ticket.engines
        return busy

    def renew_ticket(self, request: messages.GroupReserve, now: float) -> None:
        """Issue a ticket to a refused group, or renew it with its position."""
        known = self.tickets.get(request.group)
        since = known.since if known is not None else now
        self.tickets[request.group] = Ticket(
            frozenset(request.engines), since, now + TICKET_LIFETIME_S
        )

    def release(self, group: str) -> None:
        """Release the engines and the ticket of a group."""
        self.holds.pop(group, None)
        self.tickets.pop(group, None)

    def expire(self, now: float) -> None:
        """Drop reservations and tickets whose lease has ended."""
        for table in (self.holds, self.tickets):
            for group, item in list(table.items()):
                if item.until <= now:
                    del table[group]

    def reserved_tokens(self, now: float) -> dict[str, int]:
        """Return the tokens reserved per engine."""
        self.expire(now)
        total: dict[str, int] = {}
        for hold in self.holds.values():
            for engine, tokens in hold.engines.items():
                total[engine] = total.get(engine, 0) + tokens
        return total
