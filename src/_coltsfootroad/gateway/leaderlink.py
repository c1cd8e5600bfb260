"""Calls from a gateway to the leader, wherever it is."""

from _coltsfootroad.control import outcomes
from _coltsfootroad.shell import logs

LOG = logs.logger("leader-link")
# The process that the gateway watches, the leader that it names, and two more
# for a leader that has just changed.
MAX_ATTEMPTS = 4
CALL_TIMEOUT_S = 0.5


class LeaderLink:
    """Finds the leader by way of the processes that the gateway knows."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.leader = ""

    async def call(self, message: object) -> object | None:
        """Return the leader's answer, None if it gave none in time."""
        watch = self.gateway.watch
        address = self.leader or watch.choice.current
        reason = "no process of control is known"
        for _ in range(MAX_ATTEMPTS):
            address = address or self.random_seed_address()
            if not address:
                break
            answer = await watch.channels.call(address, message, CALL_TIMEOUT_S)
            if answer.is_error():
                reason = f"{address}: {answer.error}"
                address = ""
            elif isinstance(answer.ok, outcomes.NotLeader):
                reason = f"{address} does not lead"
                hint = answer.ok.hint
                address = hint if hint != address else ""
            else:
                self.leader = address
                return answer.ok
        self.leader = ""
        LOG.info(
            "leader not reached", call=type(message).__name__, reason=reason
        )
        return None

    def random_seed_address(self) -> str:
        """Return one of the processes that may know the leader."""
        seeds = self.gateway.watch.choice.seeds
        return self.gateway.rng.choice(seeds) if seeds else ""
