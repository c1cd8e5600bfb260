"""Where a request has been sent, and whether it may go on to another endpoint.

An endpoint's own failure is tried elsewhere as far as the route's attempts go,
not beyond: most such failures are the request's own. Of the lookups that failed
at one endpoint of a deployment, 18 of 25 failed at a second one, and asking the
two again left as many without an answer.
"""

import enum

import attrs

# Sends beyond the route's attempts when an endpoint proved that it did not
# run the request: such a send costs a round trip and can run nothing twice.
EXTRA_UNRUN_SENDS = 2


class Outcome(enum.Enum):
    """What a send to one endpoint came to."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    LOST = "lost"
    FAULT = "fault"
    NO_MEMORY = "no_memory"


@attrs.define
class Sends:
    """The sends of one request.

    Attributes:
        attempts: Endpoints at which it may run, by its route.
        idempotent: Whether it may run more than once.
        count: Sends so far.
        runs: Those of them that may have run.
        tried: Endpoints that were chosen, whatever came of it.
    """

    attempts: int
    idempotent: bool
    count: int = 0
    runs: int = 0
    tried: set[str] = attrs.Factory(set)

    def may_switch(self) -> bool:
        """Return whether another endpoint could take over a silent send."""
        return self.idempotent and self.runs + 1 < self.attempts

    def stop_reason(self, outcome: Outcome) -> str:
        """Return why nothing more may be sent, empty if something may be."""
        if outcome is Outcome.NO_MEMORY:
            return ""
        if outcome is not Outcome.NOT_RUN and not self.idempotent:
            return "it may have run and must not run twice"
        if self.runs >= self.attempts:
            return f"{self.runs} endpoints of {self.attempts} were used"
        if self.count >= self.attempts + EXTRA_UNRUN_SENDS:
            return f"it was sent {self.count} times"
        return ""
