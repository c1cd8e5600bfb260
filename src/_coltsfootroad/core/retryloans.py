"""Retries that the leader has lent to one gateway for one service."""

import collections

import attrs

# Time after its request within which a lent retry may be sent.
LOAN_LIFETIME_S = 4.0


@attrs.define
class Loan:
    """Retries that may be sent until the loan expires."""

    until: float
    remaining: int


@attrs.define
class RetryLoans:
    """Unexpired loans, in the order of their expiry."""

    loans: collections.deque[Loan] = attrs.Factory(collections.deque)

    def add(self, amount: int, until: float) -> None:
        """Add a loan; it must not expire before loans added earlier."""
        if amount > 0:
            self.loans.append(Loan(until, amount))

    def take(self, now: float) -> float | None:
        """Take one retry; return its expiry time, None if no retry is lent."""
        self.expire(now)
        if not self.loans:
            return None
        first = self.loans[0]
        first.remaining -= 1
        if not first.remaining:
            self.loans.popleft()
        return first.until

    def return_unused(self, until: float) -> None:
        """Return one unsent retry to the loans."""
        self.loans.appendleft(Loan(until, 1))

    def remaining(self, now: float) -> int:
        """Return the number of retries that may be sent now."""
        self.expire(now)
        return sum(loan.remaining for loan in self.loans)

    def expire(self, now: float) -> None:
        """Drop expired loans."""
        while self.loans and self.loans[0].until < now:
            self.loans.popleft()
