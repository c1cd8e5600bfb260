"""Estimates the prefill and decode speed of an engine.

The linear split into prefill and decode follows eq. (1) and (7) of the
E3-Agent paper (Research Paper, 2025, section 3.4). Other parts of that paper
are not implemented.
"""

import collections

import attrs

DEFAULT_PREFILL_RATE = 20_000.0
DEFAULT_TOKEN_S = 0.03
WINDOW = 32
MIN_SAMPLES = 3
MIN_RATE = 10.0
MAX_RATE = 5_000_000.0
# Weight of a new estimate; samples with much queueing time say more about the
# queue than about the engine.
SMOOTHING = 0.25


@attrs.define
class ServiceTime:
    """Online estimate of one engine's speed.

    Attributes:
        prefill_rate: Prompt tokens prefilled per second.
        token_s: Seconds between generated tokens.
    """

    prefill_rate: float = DEFAULT_PREFILL_RATE
    token_s: float = DEFAULT_TOKEN_S
    rates: collections.deque = attrs.Factory(
        lambda: collections.deque(maxlen=WINDOW)
    )

    def observe_prefill(self, tokens: int, ahead: float, seconds: float):
        """Add a sample: a first token `seconds` after the prompt was sent.

        `tokens` is the length of the prompt, `ahead` the prompt tokens that
        were queued before it.
        """
        if seconds <= 0 or tokens <= 0:
            return
        rate = (tokens + max(ahead, 0.0)) / seconds
        self.rates.append(min(max(rate, MIN_RATE), MAX_RATE))
        if len(self.rates) < MIN_SAMPLES:
            return
        ordered = sorted(self.rates)
        # The upper quartile, as unknown queueing can only lower a sample.
        target = ordered[(len(ordered) * 3) // 4]
        self.prefill_rate += SMOOTHING * (target - self.prefill_rate)

    def observe_decode(self, tokens: int, seconds: float) -> None:
        """Add a sample: `tokens` generated in `seconds` after the first one."""
        if tokens <= 0 or seconds <= 0:
            return
        self.token_s += SMOOTHING * (seconds / tokens - self.token_s)

    def prefill_s(self, tokens: float) -> float:
        """Return the predicted seconds to prefill `tokens`."""
        return tokens / self.prefill_rate

    def decode_s(self, tokens: int) -> float:
        """Return the predicted seconds to generate `tokens`."""
        return tokens * self.token_s
