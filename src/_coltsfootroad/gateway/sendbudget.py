"""Charges the sends of one request to its service's retry budget."""

import attrs

from _coltsfootroad.core import windowbudget
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import logs

LOG = logs.logger("request")


@attrs.define(eq=False)
class SendBudget:
    """What one exchange has taken out of the retry budget.

    The budget bounds arrivals beyond a request's first one, so a send after
    others that reached no endpoint costs nothing. A retry is reserved when the
    request goes on, and charged right before its first byte is written.

    Attributes:
        exchange: The exchange, once its request is admitted.
        arrivals: Sends that may have reached an endpoint.
        retry: What is reserved for the next send, None for nothing.
    """

    exchange: object
    arrivals: int = 0
    retry: windowbudget.Retry | None = None

    @property
    def budget(self) -> windowbudget.WindowBudget:
        """Return the retry budget of the request's service."""
        return self.exchange.gateway.budget(self.exchange.service.name)

    def floor_share(self, now: float) -> float:
        """Return the gateway's settled part of the slack."""
        return self.exchange.gateway.floor_share.least(now)

    def allows_another_send(self) -> bool:
        """Return whether the budget allows one more send."""
        return not self.arrivals or self.reserve(clocks.boot_time())

    def reserve(self, now: float) -> bool:
        """Hold a retry for the next send, if the budget has one."""
        if self.retry is not None:
            return True
        share = self.floor_share(now)
        self.retry = self.budget.reserve(share, now)
        is_reserved = self.retry is not None
        self.exchange.gateway.retry_borrower.borrow_if_exhausted(
            self.exchange.service.name, self.budget, share, now
        )
        self.log("retry reserved" if is_reserved else "retry refused", now)
        return is_reserved

    def charge(self) -> bool:
        """Charge the send that is about to be written; return if it may be."""
        now = clocks.boot_time()
        if self.arrivals:
            if not self.reserve(now):
                return False
            retry, self.retry = self.retry, None
            if not self.budget.charge(retry, self.floor_share(now), now):
                self.log("retry refused", now)
                return False
        self.arrivals += 1
        return True

    def release(self) -> None:
        """Give back the retry that was reserved and not sent."""
        retry, self.retry = self.retry, None
        if retry is not None:
            self.budget.release(retry)

    def log(self, event: str, now: float) -> None:
        """Log a decision of the budget with what it was taken from."""
        exchange, budget = self.exchange, self.budget
        share = self.floor_share(now)
        LOG.info(
            event,
            request=exchange.request_id,
            service=exchange.service.name,
            send=exchange.sends.count + 1,
            arrivals=self.arrivals,
            used=budget.used(),
            allowed=round(budget.allowed(share), 2),
            requests=len(budget.requests),
            share=round(share, 4),
            lent=budget.loans.left(now),
            members=len(exchange.gateway.view.members),
            incarnation_age_s=round(now - exchange.gateway.started_at, 2),
        )
