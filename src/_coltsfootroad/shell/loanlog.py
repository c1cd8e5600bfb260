"""Logs what the leader lends to gateways, and counts it."""

from _coltsfootroad.control import node as node_lib
from _coltsfootroad.control import retrylending
from _coltsfootroad.shell import logs

LOG = logs.logger("retries")
# Lines in one second; gateways ask at once when all endpoints fail.
LINES_PER_S = 20


class LoanLog:
    """Writes a line for each answer to a gateway that asks for retries."""

    def __init__(self, node: node_lib.ControlNode):
        self.node = node
        self.lines = logs.LogRateLimit(LINES_PER_S, 1.0)

    def note(
        self, request: retrylending.BorrowRetries, answer: object, now: float
    ) -> None:
        """Log an answer with what decided it."""
        hub = self.node.hub
        lent = isinstance(answer, retrylending.RetriesLent)
        if hub is None or not lent or not self.lines.allows(now):
            return
        lender = hub.retry_lender
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
        """Return the retries lent of all services, None if none leads."""
        hub = self.node.hub
        if hub is None:
            return None
        return sum(hub.retry_lender.outstanding().values())
