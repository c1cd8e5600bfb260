"""Charges the sends of one request to its service's retry budget."""

import attrs

from _coltsfootroad.core import windowbudget
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import logs

LOG = logs.logger("request")


@attrs.define(eq=False)
class SendBudget:
    """Charges one exchange's sends to the retry budget.

    The budget limits the sends of a request that reach an endpoint, beyond the
    first one. A send is therefore free if no earlier one reached an endpoint.
    A retry is reserved when another send is decided on, and charged right
    before the first byte is written.

    Attributes:
        exchange: The exchange; its request must be admitted before use.
        arrivals: Number of sends that may have reached an endpoint.
        retry: The retry reserved for the next send, None for none.
    """

    exchange: object
    arrivals: int = 0
    retry: windowbudget.RetryReservation | None = None

    @property
    def budget(self) -> windowbudget.WindowBudget:
        """Return the retry budget of the request's service."""
        return self.exchange.gateway.budget(self.exchange.service.name)

    def slack_share(self, now: float) -> float:
        """Return the gateway's share of the budget's slack."""
        return self.exchange.gateway.slack_share.minimum(now)

    def allows_another_send(self) -> bool:
        """Return whether the budget allows one more send."""
        return not self.arrivals or self.reserve(clocks.boot_time())

    def reserve(self, now: float) -> bool:
        """Reserve a retry for the next send; return whether that succeeded."""
        if self.retry is not None:
            return True
        share = self.slack_share(now)
        self.retry = self.budget.reserve(share, now)
        is_reserved = self.retry is not None
        self.exchange.gateway.retry_borrower.borrow_if_exhausted(
            self.exchange.service.name, self.budget, share, now
        )
        self.log("retry reserved" if is_reserved else "retry refused", now)
        return is_reserved

    def charge(self) -> bool:
        """Charge the send that is about to start; return if it is allowed."""
        now = clocks.boot_time()
        if self.arrivals:
            if not self.reserve(now):
                return False
            retry, self.retry = self.retry, None
            if not self.budget.charge(retry, self.slack_share(now), now):
                self.log("retry refused", now)
                return False
        self.arrivals += 1
        return True

    def on_not_arrived(self) -> None:
        """Take back the arrival of the last send, which reached no endpoint."""
        self.arrivals -= 1

    def release(self) -> None:
        """Return a reserved retry that was not sent to the budget."""
        retry, self.retry = self.retry, None
        if retry is not None:
            self.budget.release(retry)

    def log(self, event: str, now: float) -> None:
        """Log a decision of the budget with its inputs."""
        exchange, budget = self.exchange, self.budget
        share = self.slack_share(now)
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
            lent=budget.loans.remaining(now),
            members=len(exchange.gateway.view.members),
            incarnation_age_s=round(now - exchange.gateway.started_at, 2),
        )
