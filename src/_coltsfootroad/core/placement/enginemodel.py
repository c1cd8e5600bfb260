"""Predicts the durations of an engine's prefill and forward passes."""

from _coltsfootroad.core import routes


def prefill_s(spec: routes.EngineSpec, tokens: int, parts: int = 1) -> float:
    """Return the seconds that each of `parts` engines prefills its part.

    The cost of attention grows with the square of the prompt, so a prefill of
    210,000 tokens takes ten times as long as one of 45,000.
    """
    pairs = tokens * tokens / 2
    total_s = tokens / spec.read_tokens_per_s + pairs * spec.pair_s
    return total_s / max(1, parts)


def saved_s(spec: routes.EngineSpec, held_tokens: int) -> float:
    """Return the seconds of prefill that a held beginning of a prompt saves.

    The tokens that follow still attend to the beginning, so only the pairs
    within it are saved.
    """
    return prefill_s(spec, held_tokens)


def pass_s(spec: routes.EngineSpec, streams: int, context: int) -> float:
    """Return the seconds of a pass, the gap between a stream's events.

    `streams` is the number of decoding streams, `context` the sum of their
    context tokens.
    """
    if not streams:
        return spec.step_s
    step = spec.step_s + streams * spec.per_sequence_s
    step += context * spec.context_s_per_token
    return spec.stride * step
