"""Predicts how long an engine reads a prompt and how long a pass takes."""

from _coltsfootroad.core import routes


def prefill_s(spec: routes.EngineSpec, tokens: int, parts: int = 1) -> float:
    """Return the seconds in which each of `parts` engines reads its part.

    Attention grows with the pairs of a token and an earlier one, so reading
    210,000 tokens takes ten times as long as reading 45,000.
    """
    pairs = tokens * tokens / 2
    whole = tokens / spec.read_tokens_per_s + pairs * spec.pair_s
    return whole / max(1, parts)


def pass_s(spec: routes.EngineSpec, writers: int, context: int) -> float:
    """Return the seconds of a pass: the pause between a stream's events.

    `context` is the sum of the tokens that the writers attend to.
    """
    if not writers:
        return spec.step_s
    step = spec.step_s + writers * spec.per_sequence_s
    step += context * spec.context_s_per_token
    return spec.stride * step
