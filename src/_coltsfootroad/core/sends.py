"""Tracks the sends of a request and decides whether it may be sent again.

A request that failed at an endpoint is sent to other endpoints only as often as
its route allows, since most such failures are caused by the request itself: in
one deployment, 18 of 25 lookups that failed at one endpoint also failed at a
second one, and retrying at both did not answer more of them.
"""

import enum

import attrs

# Extra sends for endpoints that proved not to have run the request. Such a send
# costs only a round trip, and the request cannot run twice.
EXTRA_NOT_RUN_SENDS = 2


class Outcome(enum.Enum):
    """Outcome of a send to one endpoint."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    LOST = "lost"
    FAULT = "fault"
    NO_MEMORY = "no_memory"


@attrs.define
class SendHistory:
    """The sends of one request.

    Attributes:
        attempts: Number of endpoints at which it may run, by its route.
        idempotent: Whether it may run more than once.
        count: Number of sends to endpoints.
        runs: Number of sends that may have run.
        tried: Endpoints that were chosen, regardless of the outcome.
    """

    attempts: int
    idempotent: bool
    count: int = 0
    runs: int = 0
    tried: set[str] = attrs.Factory(set)

    def may_fail_over(self) -> bool:
        """Return whether a silent send may fail over to another endpoint."""
        return self.idempotent and self.runs + 1 < self.attempts

    def stop_reason(self, outcome: Outcome) -> str:
        """Return why the request may not be sent again, empty if it may."""
        reason = self.run_limit_reason(outcome)
        if reason or outcome is Outcome.NO_MEMORY:
            return reason
        if self.count >= self.attempts + EXTRA_NOT_RUN_SENDS:
            return f"it was sent {self.count} times"
        return ""

    def run_limit_reason(self, outcome: Outcome) -> str:
        """Return why the request may not run again, empty if it may."""
        if outcome is Outcome.NO_MEMORY:
            return ""
        if outcome is not Outcome.NOT_RUN and not self.idempotent:
            return "it may have run and must not run twice"
        if self.runs >= self.attempts:
            return f"{self.runs} endpoints of {self.attempts} were used"
        return ""
