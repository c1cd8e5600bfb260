"""Calls from a gateway to the current leader of the control plane."""

from _coltsfootroad.control import outcomes
from _coltsfootroad.shell import logs

LOG = logs.logger("leader-link")
# The polled process, the leader that it names, and two more after a change of
# the leader.
MAX_ATTEMPTS = 4
CALL_TIMEOUT_S = 0.5


class LeaderClient:
    """Finds and calls the leader, following redirects from known processes."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.leader = ""

    async def call(self, message: object) -> object | None:
        """Return the leader's reply, None if there is none in time."""
        watch = self.gateway.watch
        address = self.leader or watch.choice.current
        reason = "no control process is known"
        for _ in range(MAX_ATTEMPTS):
            address = address or self.random_seed_address()
            if not address:
                break
            answer = await watch.channels.call(address, message, CALL_TIMEOUT_S)
            if answer.is_error():
                reason = f"{address}: {answer.error}"
                address = ""
            elif isinstance(answer.ok, outcomes.NotLeader):
                reason = f"{address} is not the leader"
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
        """Return the address of a random control process, empty for none."""
        seeds = self.gateway.watch.choice.seeds
        return self.gateway.rng.choice(seeds) if seeds else ""
