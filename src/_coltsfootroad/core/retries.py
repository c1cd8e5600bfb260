"""Retry budget and backoff of the one layer that retries."""

import random

import attrs

BUDGET_RATIO = 0.1
BUDGET_MAX = 20.0
BASE_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
MAX_ATTEMPTS = 4


@attrs.define
class RetryBudget:
    """Allows retries only as a share of fresh requests.

    Without it a dying endpoint multiplies its own load by the number of
    attempts just when the rest have the least to spare.
    """

    tokens: float = BUDGET_MAX
    ratio: float = BUDGET_RATIO

    def on_request(self) -> None:
        """Earn a share of a retry for one fresh request."""
        self.tokens = min(BUDGET_MAX, self.tokens + self.ratio)

    def take(self) -> bool:
        """Spend one retry if the budget holds one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Return a fully jittered pause in seconds after a failed attempt."""
    ceiling = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2 ** (attempt - 1))
    return rng.uniform(BASE_BACKOFF_S / 2, ceiling)
