"""Borrows retries from the leader when a service's budget is exhausted."""

from collections.abc import Callable
import random

import attrs

from _coltsfootroad.control import retrylending
from _coltsfootroad.core import retryloans
from _coltsfootroad.core import windowbudget
from _coltsfootroad.gateway import leaderclient
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import logs

LOG = logs.logger("retries")
# Pause after a loan; retries refused meanwhile are added to the next request.
PAUSE_S = 0.1
# Pause after the leader was not reached.
FAILURE_PAUSE_S = 1.0
# Pauses are randomly extended by up to this part, to spread the requests of
# different gateways.
JITTER = 0.5
MAX_WANTED = 32


@attrs.define(eq=False)
class BorrowState:
    """State of borrowing for one service.

    Attributes:
        is_in_flight: Whether a request to the leader is in flight.
        not_before: Boot clock seconds of the earliest next request.
        refused: The budget's count of refused retries at the last request.
    """

    is_in_flight: bool = False
    not_before: float = 0.0
    refused: int = 0


@attrs.define(eq=False)
class RetryBorrower:
    """Borrows retries for a gateway while its endpoints fail.

    No caller's request waits for a loan: a request that needs a retry and gets
    none fails, and the loan serves later requests.
    """

    gateway: str
    link: leaderclient.LeaderClient
    rng: random.Random
    spawn: Callable[[object], None]
    services: dict[str, BorrowState] = attrs.Factory(dict)

    def borrow_if_exhausted(
        self,
        service: str,
        budget: windowbudget.WindowBudget,
        slack_share: float,
        now: float,
    ) -> None:
        """Request a loan if the next retry would be refused."""
        if budget.has_room(slack_share) or budget.loans.remaining(now):
            return
        state = self.services.setdefault(service, BorrowState())
        if state.is_in_flight or now < state.not_before:
            return
        state.is_in_flight = True
        wanted = min(MAX_WANTED, 1 + budget.refused - state.refused)
        state.refused = budget.refused
        self.spawn(self.borrow(service, budget, state, wanted))

    async def borrow(
        self,
        service: str,
        budget: windowbudget.WindowBudget,
        state: BorrowState,
        wanted: int,
    ) -> None:
        """Send one request to the leader and add the lent retries."""
        requested_at = clocks.boot_time()
        try:
            answer = await self.link.call(
                retrylending.BorrowRetries(
                    gateway=self.gateway,
                    service=service,
                    wanted=wanted,
                    slack=budget.slack,
                    window_s=budget.window_s,
                )
            )
        finally:
            state.is_in_flight = False
        now = clocks.boot_time()
        lent = answer
        if not isinstance(lent, retrylending.RetriesLent):
            lent = retrylending.RetriesLent(
                amount=0, retry_after_s=FAILURE_PAUSE_S
            )
        budget.loans.add(lent.amount, requested_at + retryloans.LOAN_LIFETIME_S)
        pause_s = max(PAUSE_S, lent.retry_after_s)
        state.not_before = now + pause_s * self.rng.uniform(1.0, 1.0 + JITTER)
        LOG.info(
            "retries borrowed" if lent.amount else "no retries lent",
            service=service,
            wanted=wanted,
            amount=lent.amount,
            retry_after_s=round(lent.retry_after_s, 2),
            took_s=round(now - requested_at, 3),
            answer=type(answer).__name__,
        )
