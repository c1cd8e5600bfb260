"""Retries that the leader has lent to one gateway, for one service."""

import collections

import attrs

# A lent retry is sent within this time after it was asked for.
LOAN_LIFETIME_S = 4.0


@attrs.define
class Loan:
    """Retries that may be sent until a time."""

    until: float
    remaining: int


@attrs.define
class RetryLoans:
    """The loans that have not ended, in the order in which they end."""

    loans: collections.deque[Loan] = attrs.Factory(collections.deque)

    def add(self, amount: int, until: float) -> None:
        """Take a loan; a later one ends later."""
        if amount > 0:
            self.loans.append(Loan(until, amount))

    def take(self, now: float) -> float | None:
        """Take one retry; return until when it may be sent, None for none."""
        self.expire(now)
        if not self.loans:
            return None
        first = self.loans[0]
        first.remaining -= 1
        if not first.remaining:
            self.loans.popleft()
        return first.until

    def return_unused(self, until: float) -> None:
        """Take back one retry that was not sent."""
        self.loans.appendleft(Loan(until, 1))

    def remaining(self, now: float) -> int:
        """Return how many retries may be sent now."""
        self.expire(now)
        return sum(loan.remaining for loan in self.loans)

    def expire(self, now: float) -> None:
        """Drop loans that have ended."""
        while self.loans and self.loans[0].until < now:
            self.loans.popleft()
