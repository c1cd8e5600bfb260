"""Logs and counts the retries that the leader lends to gateways."""

from _coltsfootroad.control import node as node_lib
from _coltsfootroad.control import retrylending
from _coltsfootroad.shell import logs

LOG = logs.logger("retries")
# When all endpoints fail, all gateways borrow retries at the same time.
MAX_LINES_PER_S = 20


class RetryLoanLogger:
    """Writes a line for each answer to a gateway that borrows retries."""

    def __init__(self, node: node_lib.ControlNode):
        self.node = node
        self.line_limit = logs.LogRateLimit(MAX_LINES_PER_S, 1.0)

    def log_answer(
        self, request: retrylending.BorrowRetries, answer: object, now: float
    ) -> None:
        """Log an answer with the values that determined it."""
        coordinator = self.node.coordinator
        is_lent = isinstance(answer, retrylending.RetriesLent)
        if (
            coordinator is None
            or not is_lent
            or not self.line_limit.allows(now)
        ):
            return
        lender = coordinator.retry_lender
        LOG.info(
            "retries lent" if answer.amount else "no retries lent",
            gateway=request.gateway,
            service=request.service,
            wanted=request.wanted,
            amount=answer.amount,
            retry_after_s=round(answer.retry_after_s, 2),
            outstanding=lender.outstanding().get(request.service, 0),
            slack=request.slack,
            leads_s=round(now - lender.started_at, 2),
        )

    def outstanding(self) -> int | None:
        """Return the retries lent to all services, None if not the leader."""
        coordinator = self.node.coordinator
        if coordinator is None:
            return None
        return sum(coordinator.retry_lender.outstanding().values())
