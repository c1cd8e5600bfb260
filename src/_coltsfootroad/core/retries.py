"""Retry budget and backoff of an entry, the only layer that retries."""

import random

import attrs

BUDGET_RATIO = 0.1
BUDGET_MAX = 20.0
BASE_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
MAX_ATTEMPTS = 4


@attrs.define
class RetryBudget:
    """Limits retries to a share of new requests.

    Without a budget, failing endpoints multiply the load by the number of
    attempts while the remaining endpoints have the least spare capacity.
    """

    tokens: float = BUDGET_MAX
    ratio: float = BUDGET_RATIO

    def on_request(self) -> None:
        """Add the share of a retry that one new request earns."""
        self.tokens = min(BUDGET_MAX, self.tokens + self.ratio)

    def take(self) -> bool:
        """Spend one retry; return whether the budget had one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Return the jittered exponential backoff in seconds after an attempt."""
    ceiling = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2 ** (attempt - 1))
    return rng.uniform(BASE_BACKOFF_S / 2, ceiling)
