"""Lends the part of the retry slack that is not divided among gateways.

A gateway borrows retries when its own part is used up, without delaying its
requests. A loan counts until the latest time at which its retries may arrive,
plus one window.
"""

import collections
import math

import attrs

from _coltsfootroad.core import retryloans
from _coltsfootroad.core import windowbudget

# Fraction of the slack that is lent.
LENDABLE_FRACTION = 0.55
# Clock drift between VMs during a loan and a window.
CLOCK_MARGIN_S = 0.5
# Maximum of one loan, as a fraction of what is available; the remainder is for
# other gateways.
MAX_LOAN_FRACTION = 0.25
# Minimum delay before a refused gateway retries.
MIN_RETRY_DELAY_S = 0.5
# Interval between the retries of refused gateways, which limits the load on the
# leader.
RETRY_SPACING_S = 0.04
# Services with loans; further services get none.
MAX_SERVICES = 4_096


@attrs.frozen(kw_only=True)
class BorrowRetries:
    """Requests retries of a service from the leader.

    Attributes:
        gateway: Name of the borrowing gateway.
        service: Service whose requests are retried.
        wanted: Retries that the gateway could send now.
        slack: Retries per window allowed to the fleet beyond the ratio.
        window_s: Length of the window in seconds.
    """

    gateway: str
    service: str
    wanted: int
    slack: float
    window_s: float


@attrs.frozen(kw_only=True)
class RetriesLent:
    """Number of retries lent, and the delay before the next request."""

    amount: int
    retry_after_s: float = 0.0


@attrs.define
class Loan:
    """A loan, and the time until which it counts."""

    until: float
    amount: int


@attrs.define
class ServiceLoans:
    """The loans of one service that count, oldest first.

    Attributes:
        next_retry_at: When the next refused gateway may retry.
    """

    loans: collections.deque[Loan] = attrs.Factory(collections.deque)
    amount: int = 0
    next_retry_at: float = 0.0

    def add(self, amount: int, until: float) -> None:
        """Add a loan."""
        self.loans.append(Loan(until, amount))
        self.amount += amount

    def refuse(self, until: float, now: float) -> RetriesLent:
        """Return a refusal with a retry delay.

        Gateways that are refused at the same time get staggered delays.
        """
        retry_at = max(until, now + MIN_RETRY_DELAY_S, self.next_retry_at)
        self.next_retry_at = retry_at + RETRY_SPACING_S
        return RetriesLent(amount=0, retry_after_s=retry_at - now)

    def expire(self, now: float) -> None:
        """Drop loans that are in no window any more."""
        while self.loans and self.loans[0].until <= now:
            self.amount -= self.loans.popleft().amount


@attrs.define
class RetryLender:
    """Lends retries within the slack of each service.

    A new leader does not know the loans of the previous one. It assumes that
    all of the slack was lent, until such loans have left the window.

    Attributes:
        started_at: When this replica became the leader.
        services: Loans by service.
    """

    started_at: float
    services: dict[str, ServiceLoans] = attrs.Factory(dict)

    def lend(self, request: BorrowRetries, now: float) -> RetriesLent:
        """Return the retries that a gateway may send while the loan lasts."""
        lifetime_s = loan_lifetime_s(request.window_s)
        service_loans = self.loans_of(request.service, now)
        if service_loans is None:
            return RetriesLent(amount=0, retry_after_s=lifetime_s)
        if now < self.started_at + lifetime_s:
            return service_loans.refuse(self.started_at + lifetime_s, now)
        service_loans.expire(now)
        available = (
            math.floor(request.slack * LENDABLE_FRACTION) - service_loans.amount
        )
        if available < 1 or request.wanted < 1:
            earliest_end = (
                service_loans.loans[0].until
                if service_loans.loans
                else now + lifetime_s
            )
            return service_loans.refuse(earliest_end, now)
        max_loan = max(1, math.floor(available * MAX_LOAN_FRACTION))
        amount = min(request.wanted, max_loan)
        service_loans.add(amount, now + lifetime_s)
        return RetriesLent(amount=amount)

    def loans_of(self, service: str, now: float) -> ServiceLoans | None:
        """Return the loans of a service, None beyond `MAX_SERVICES`."""
        if service not in self.services:
            if len(self.services) >= MAX_SERVICES:
                self.drop_unused(now)
            if len(self.services) >= MAX_SERVICES:
                return None
            self.services[service] = ServiceLoans()
        return self.services[service]

    def drop_unused(self, now: float) -> None:
        """Drop services without loans."""
        for service_loans in self.services.values():
            service_loans.expire(now)
        self.services = {
            service: service_loans
            for service, service_loans in self.services.items()
            if service_loans.amount
        }

    def outstanding(self) -> dict[str, int]:
        """Return the retries lent, by service."""
        return {
            name: service_loans.amount
            for name, service_loans in self.services.items()
        }


def loan_lifetime_s(window_s: float) -> float:
    """Return the time in seconds for which a loan counts."""
    transit_s = retryloans.LOAN_LIFETIME_S + windowbudget.ARRIVAL_LAG_S
    return window_s + transit_s + CLOCK_MARGIN_S
