"""Lends the part of the retry slack that no gateway holds by itself.

A gateway asks for retries when its own part is used up, beside its requests.
What is lent counts until the last moment at which it may arrive, and for a
window after that.
"""

import collections
import math

import attrs

from _coltsfootroad.core import retryloans
from _coltsfootroad.core import windowbudget

# Part of the slack that is lent.
LOAN_PART = 0.55
# Clocks of VMs may run apart by this much over a loan and a window.
CLOCK_MARGIN_S = 0.5
# Most that one loan takes of what is left, so that other gateways find some.
LOAN_FRACTION = 0.25
# A gateway that gets nothing asks again after this time at the soonest.
MIN_RETRY_S = 0.5
# Pause between gateways that got nothing and ask again, which bounds what all
# of them cost the leader.
RETRY_SPACING_S = 0.04
# Services whose loans are kept; more of them get none.
MAX_SERVICES = 4_096


@attrs.frozen(kw_only=True)
class BorrowRetries:
    """Ask the leader for retries of a service.

    Attributes:
        gateway: Who asks.
        service: Whose requests are to be sent again.
        wanted: Retries that could be used now.
        slack: Retries that the fleet may send in a window beyond the ratio.
        window_s: Length of that window in seconds.
    """

    gateway: str
    service: str
    wanted: int
    slack: float
    window_s: float


@attrs.frozen(kw_only=True)
class RetriesLent:
    """How many retries a gateway may send, and when to ask for more."""

    amount: int
    retry_after_s: float = 0.0


@attrs.define
class Lent:
    """A loan and until when it counts."""

    until: float
    amount: int


@attrs.define
class ServiceLoans:
    """The loans of one service that count, oldest first.

    Attributes:
        next_retry_at: When the next gateway that gets nothing may ask again.
    """

    loans: collections.deque[Lent] = attrs.Factory(collections.deque)
    amount: int = 0
    next_retry_at: float = 0.0

    def add(self, amount: int, until: float) -> None:
        """Note a loan."""
        self.loans.append(Lent(until, amount))
        self.amount += amount

    def refuse(self, until: float, now: float) -> RetriesLent:
        """Return that nothing is lent, and when to ask again.

        Those that ask at once come back one after another.
        """
        at = max(until, now + MIN_RETRY_S, self.next_retry_at)
        self.next_retry_at = at + RETRY_SPACING_S
        return RetriesLent(amount=0, retry_after_s=at - now)

    def expire(self, now: float) -> None:
        """Drop loans that no window holds any more."""
        while self.loans and self.loans[0].until <= now:
            self.amount -= self.loans.popleft().amount


@attrs.define
class RetryLender:
    """Lends retries within the slack of each service.

    A leader does not know what the one before it has lent, and takes it for
    all of the slack until that has left the window.

    Attributes:
        started_at: When it began to lead.
        services: What is lent, by service.
    """

    started_at: float
    services: dict[str, ServiceLoans] = attrs.Factory(dict)

    def lend(self, request: BorrowRetries, now: float) -> RetriesLent:
        """Return what a gateway may send within `LOAN_S` of its request."""
        hold_s = hold_time_s(request.window_s)
        lent = self.loans_of(request.service, now)
        if lent is None:
            return RetriesLent(amount=0, retry_after_s=hold_s)
        if now < self.started_at + hold_s:
            return lent.refuse(self.started_at + hold_s, now)
        lent.expire(now)
        left = math.floor(request.slack * LOAN_PART) - lent.amount
        if left < 1 or request.wanted < 1:
            first = lent.loans[0].until if lent.loans else now + hold_s
            return lent.refuse(first, now)
        most = max(1, math.floor(left * LOAN_FRACTION))
        amount = min(request.wanted, most)
        lent.add(amount, now + hold_s)
        return RetriesLent(amount=amount)

    def loans_of(self, service: str, now: float) -> ServiceLoans | None:
        """Return the loans of a service, None for one service too many."""
        if service not in self.services:
            if len(self.services) >= MAX_SERVICES:
                self.drop_unused(now)
            if len(self.services) >= MAX_SERVICES:
                return None
            self.services[service] = ServiceLoans()
        return self.services[service]

    def drop_unused(self, now: float) -> None:
        """Forget services of which nothing is lent."""
        for lent in self.services.values():
            lent.expire(now)
        self.services = {
            service: lent
            for service, lent in self.services.items()
            if lent.amount
        }

    def outstanding(self) -> dict[str, int]:
        """Return the retries that are lent, by service."""
        return {name: lent.amount for name, lent in self.services.items()}


def hold_time_s(window_s: float) -> float:
    """Return for how long a loan counts."""
    on_the_way_s = retryloans.LOAN_LIFETIME_S + windowbudget.ARRIVAL_LAG_S
    return window_s + on_the_way_s + CLOCK_MARGIN_S
