"""Learns how fast an engine reads prompts and generates tokens.

The linear split into prefill and decode follows eq. (1) and (7) of the
E3-Agent paper (Research Paper, 2025, section 3.4); docs/design/paper.md has
what it measured here and what was left out.
"""

import collections

import attrs

DEFAULT_PREFILL_RATE = 20_000.0
DEFAULT_TOKEN_S = 0.03
WINDOW = 32
MIN_SAMPLES = 3
MIN_RATE = 10.0
MAX_RATE = 5_000_000.0
# A sample whose queueing share is larger says more of the queue.
SMOOTHING = 0.25


@attrs.define
class ServiceTime:
    """Online estimate of one engine's speed.

    Attributes:
        prefill_rate: Prompt tokens read per second.
        token_s: Seconds between generated tokens.
    """

    prefill_rate: float = DEFAULT_PREFILL_RATE
    token_s: float = DEFAULT_TOKEN_S
    rates: collections.deque = attrs.Factory(
        lambda: collections.deque(maxlen=WINDOW)
    )

    def observe_prefill(self, tokens: int, ahead: float, seconds: float):
        """Learn from a first token after `ahead` + `tokens` prompt tokens."""
        if seconds <= 0 or tokens <= 0:
            return
        rate = (tokens + max(ahead, 0.0)) / seconds
        self.rates.append(min(max(rate, MIN_RATE), MAX_RATE))
        if len(self.rates) < MIN_SAMPLES:
            return
        ordered = sorted(self.rates)
        # The upper median: hidden queueing only ever lowers a sample.
        target = ordered[(len(ordered) * 3) // 4]
        self.prefill_rate += SMOOTHING * (target - self.prefill_rate)

    def observe_decode(self, tokens: int, seconds: float) -> None:
        """Learn from `tokens` generated after the first in `seconds`."""
        if tokens <= 0 or seconds <= 0:
            return
        self.token_s += SMOOTHING * (seconds / tokens - self.token_s)

    def prefill_s(self, tokens: float) -> float:
        """Return the predicted seconds to read `tokens`."""
        return tokens / self.prefill_rate

    def decode_s(self, tokens: int) -> float:
        """Return the predicted seconds to generate `tokens`."""
        return tokens * self.token_s
