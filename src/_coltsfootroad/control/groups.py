"""Reservations of several engines at once, for the longest prompts."""

import attrs

from _coltsfootroad.control import messages

# A refused group keeps its place in line this long without asking again.
TICKET_S = 2.0
MARGIN_S = 1.0


@attrs.define
class GroupHold:
    """Engines that one group holds, until its lease ends."""

    engines: dict[str, int]
    until: float


@attrs.define
class Ticket:
    """A refused group's place in line."""

    engines: frozenset[str]
    since: float
    until: float


@attrs.define
class GroupLedger:
    """Grants groups of engines all or nothing, one group per engine.

    A single table decides, so no two groups can each hold a part of what
    the other needs. A refused group gets a ticket: later groups that want
    one of its engines wait behind it, so it is not passed over for ever.
    """

    holds: dict[str, GroupHold] = attrs.Factory(dict)
    tickets: dict[str, Ticket] = attrs.Factory(dict)

    def reserve(
        self, request: messages.GroupReserve, now: float
    ) -> messages.GroupAnswer:
        """Reserve or renew all engines of a group, or none of them."""
        self.expire(now)
        busy = self.busy_for(request)
        if busy:
            self.queue_ticket(request, now)
            return messages.GroupAnswer(
                group=request.group, granted=False, busy=tuple(sorted(busy))
            )
        self.tickets.pop(request.group, None)
        self.holds[request.group] = GroupHold(
            dict(request.engines), now + request.lease_s + MARGIN_S
        )
        return messages.GroupAnswer(group=request.group, granted=True)

    def busy_for(self, request: messages.GroupReserve) -> set[str]:
        """Return the wanted engines that others hold or come first for."""
        wanted = set(request.engines)
        busy: set[str] = set()
        for group, hold in self.holds.items():
            if group != request.group:
                busy |= wanted & set(hold.engines)
        if request.group in self.holds:
            return busy
        mine = self.tickets.get(request.group)
        for group, ticket in self.tickets.items():
            earlier = mine is None or ticket.since < mine.since
            if group != request.group and earlier:
                busy |= wanted & ticket.engines
        return busy

    def queue_ticket(self, request: messages.GroupReserve, now: float) -> None:
        """Give a refused group a place in line, or keep its place."""
        known = self.tickets.get(request.group)
        since = known.since if known is not None else now
        self.tickets[request.group] = Ticket(
            frozenset(request.engines), since, now + TICKET_S
        )

    def release(self, group: str) -> None:
        """Free what a group holds."""
        self.holds.pop(group, None)
        self.tickets.pop(group, None)

    def expire(self, now: float) -> None:
        """Free the groups whose entry has stopped renewing."""
        for table in (self.holds, self.tickets):
            for group, item in list(table.items()):
                if item.until <= now:
                    del table[group]

    def held_tokens(self, now: float) -> dict[str, int]:
        """Return the tokens reserved on each engine."""
        self.expire(now)
        total: dict[str, int] = {}
        for hold in self.holds.values():
            for engine, tokens in hold.engines.items():
                total[engine] = total.get(engine, 0) + tokens
        return total
