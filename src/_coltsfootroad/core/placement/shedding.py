"""Decides whether to shed a short prompt because late requests are queued.

In a burst, more short prompts arrive than the batches have slots for. Prompts
that have already missed their target take each slot that becomes free, so that
all later prompts are late too, long after the burst. If prompts are shed while
many late requests wait, their callers retry when slots are free, and prompts
that arrive meanwhile meet their target. A short queue is not shed: most of its
requests are served sooner than after a retry.
"""

import random

import attrs

# Longer prompts are never shed: they are few, and a late start costs their
# callers less than a retry.
MAX_SHEDDABLE_TOKENS = 30_000
# Late waiting requests, as a share of all batch slots, above which a first
# attempt or a retry is shed. Callers do not retry twice, so retries have the
# higher threshold.
FIRST_TRY_SHARE = 0.15
RETRY_SHARE = 0.3
# Range of the retry delay in seconds, drawn at random so that callers do not
# return at the same time. An answer takes about two seconds, so most slots are
# reassigned within the delay.
RETRY_AFTER_RANGE_S = (0.6, 1.4)


@attrs.frozen(kw_only=True)
class Candidate:
    """A request before its first send.

    Attributes:
        prompt_tokens: Length of its prompt.
        predicted_s: Predicted time to the first event.
        target_s: Target for the time to the first event.
        is_retry: Whether its caller seems to have tried before.
    """

    prompt_tokens: int
    predicted_s: float
    target_s: float
    is_retry: bool


def shed_retry_after_s(
    candidate: Candidate, waiting: int, slots: int, rng: random.Random
) -> float | None:
    """Return the retry delay in seconds, or None if the request is not shed.

    `waiting` is the number of late requests that wait at engines with `slots`
    batch slots.
    """
    if candidate.prompt_tokens > MAX_SHEDDABLE_TOKENS:
        return None
    if candidate.predicted_s <= candidate.target_s:
        # A slot is free. After an outage all held requests arrive at once and
        # are late already, but no queue delays them.
        return None
    share = RETRY_SHARE if candidate.is_retry else FIRST_TRY_SHARE
    if waiting <= share * slots:
        return None
    return rng.uniform(*RETRY_AFTER_RANGE_S)
