"""Whether a short prompt is sent away at once because of a queue.

The pattern it answers: for some seconds more short prompts come than the
batches hold. Those that come too late for their aim wait, take each place
that becomes free, and so everybody after them is late as well, long after
the rush. Sent away while many already wait, callers come back when places
are free, and those who come meanwhile are served in time. A short queue is
left alone: most of those in it are still served sooner than if they came back.
"""

import random

import attrs

# Prompts above this are few and take no place from the short ones for long;
# their callers bear a late start better than a second try.
MAX_SHEDDABLE_TOKENS = 30_000
# Requests that wait although they are late, as a share of all places, above
# which a caller who comes for the first time is sent away; and above which
# one who comes back is, who would not come a third time.
FIRST_TRY_SHARE = 0.15
RETRY_SHARE = 0.3
# When to come back, in seconds, drawn so that callers do not return at once.
# An answer takes about two seconds, so most places change hands meanwhile.
RETRY_AFTER_RANGE_S = (0.6, 1.4)


@attrs.frozen(kw_only=True)
class Candidate:
    """A request before its first send.

    Attributes:
        prompt_tokens: Length of its prompt.
        predicted_s: Predicted time to the first event.
        target_s: Its aim.
        returned: Whether its caller seems to have been here before.
    """

    prompt_tokens: int
    predicted_s: float
    target_s: float
    is_retry: bool


def shed_retry_after_s(
    candidate: Candidate, waiting: int, slots: int, rng: random.Random
) -> float | None:
    """Return when to come back, None for a request that is to be sent.

    `waiting` requests are late already, at engines with so many `places`.
    """
    if candidate.prompt_tokens > MAX_SHEDDABLE_TOKENS:
        return None
    if candidate.predicted_s <= candidate.target_s:
        # Late or not, no queue makes it so, and a place is free: after a loss
        # of everything those who were held meanwhile come all at once.
        return None
    share = RETRY_SHARE if candidate.is_retry else FIRST_TRY_SHARE
    if waiting <= share * slots:
        return None
    return rng.uniform(*RETRY_AFTER_RANGE_S)
