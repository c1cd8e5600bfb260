"""Loads whose mix alternates between short and long prompts.

The sizes, rates and latency targets are those of two deployments, small and
grown. In phases of ten seconds, the rate of one class of prompts is 2.4 to 2.8
times its mean, and that of the other a third or a twentieth.
"""

import math

import attrs

from _coltsfootroad.core import routes


@attrs.frozen(kw_only=True)
class PromptClass:
    """One class of prompts with log-normal sizes.

    `value` is the value of an answer in time, `late_value` that of a late one.
    """

    name: str
    per_s: float
    prompt: float
    prompt_spread: float
    prompt_max: float
    events: float
    events_spread: float
    target_s: float
    gap_s: float
    deadline_s: float
    value: float
    late_value: float


@attrs.frozen(kw_only=True)
class Load:
    """A deployment and its prompts.

    Each phase has a duration in seconds and a rate factor for each class.
    """

    name: str
    engines: int
    spec: routes.EngineSpec
    prompt_classes: tuple[PromptClass, ...]
    phases: tuple[tuple[float, tuple[float, ...]], ...]


def spec(slots: int, kv_tokens: int, stride: int) -> routes.EngineSpec:
    """Return an engine with the speeds of both deployments."""
    return routes.EngineSpec(
        slots=slots,
        kv_tokens=kv_tokens,
        stride=stride,
        step_s=0.000925,
        per_sequence_s=0.00000966,
        context_s_per_token=0.00000000254,
        read_tokens_per_s=256_000.0,
        pair_s=0.0917e-9,
        chunk_tokens=2_048,
        hop_s=0.0001,
    )


def prompt_classes(rates, longest, values, late) -> tuple[PromptClass, ...]:
    """Return the three classes of a deployment."""
    return (
        PromptClass(
            name="short",
            per_s=rates[0],
            prompt=4_960,
            prompt_spread=0.9,
            prompt_max=23_800,
            events=34,
            events_spread=0.7,
            target_s=0.3,
            gap_s=0.2,
            deadline_s=10.0,
            value=values[0],
            late_value=late[0],
        ),
        PromptClass(
            name="middle",
            per_s=rates[1],
            prompt=45_000,
            prompt_spread=0.5,
            prompt_max=110_000,
            events=20,
            events_spread=0.6,
            target_s=1.5,
            gap_s=0.5,
            deadline_s=10.0,
            value=values[1],
            late_value=late[1],
        ),
        PromptClass(
            name="long",
            per_s=rates[2],
            prompt=longest[0],
            prompt_spread=0.55,
            prompt_max=1_000_000,
            events=17,
            events_spread=0.5,
            target_s=longest[1],
            gap_s=0.8,
            deadline_s=15.0,
            value=values[2],
            late_value=late[2],
        ),
    )


SMALL = prompt_classes(
    (15.4, 1.12, 0.462), (210_000, 3.0), (1.3, 3.1, 22.0), (0.33, 0.79, 5.4)
)
GROWN = prompt_classes(
    (38.3, 3.51, 1.04), (300_000, 4.0), (1.4, 2.6, 30.0), (0.34, 0.66, 7.5)
)
SHIFTED = prompt_classes(
    (28.7, 4.56, 0.779), (300_000, 4.0), (1.4, 2.6, 30.0), (0.34, 0.66, 7.5)
)
LARGE = tuple(
    attrs.evolve(prompt_class, events=events, gap_s=gap_s)
    for prompt_class, events, gap_s in zip(
        prompt_classes(
            (80.9, 8.64, 1.98),
            (300_000, 4.0),
            (1.4, 2.3, 26.0),
            (0.34, 0.58, 6.6),
        ),
        (24.3, 14.6, 12.2),
        (0.25, 0.6, 1.0),
        strict=True,
    )
)
HUGE = tuple(
    attrs.evolve(prompt_class, per_s=9.0 * prompt_class.per_s)
    for prompt_class in LARGE
)
# The deployment with uneven engines. The stride and the spreads are assumed to be
# those of the deployments above.
UNEVEN = tuple(
    attrs.evolve(prompt_class, target_s=target_s, gap_s=gap_s)
    for prompt_class, target_s, gap_s in zip(
        prompt_classes(
            (40.9, 4.99, 0.935),
            (260_000, 8.057),
            (1.8, 2.4, 12.0),
            (0.19, 0.59, 4.7),
        ),
        (0.271, 1.533, 8.057),
        (0.25, 0.6, 1.0),
        strict=True,
    )
)
UNEVEN_SPEC = routes.EngineSpec(
    slots=6,
    kv_tokens=344_250,
    stride=52,
    step_s=0.00131,
    per_sequence_s=0.0000137,
    context_s_per_token=0.0000000036,
    read_tokens_per_s=154_000.0,
    pair_s=0.152e-9,
    chunk_tokens=2_048,
    hop_s=0.00014,
)
# Bursts of long prompts, then of short ones.
UNEVEN_PHASES = (
    (4.0, (1.0, 1.0, 1.0)),
    (6.0, (1.0, 1.0, 2.45)),
    (6.0, (1.8, 1.0, 1.0)),
    (14.0, (1.0, 1.0, 1.0)),
)
# Rate factors of the short, middle and long class.
SHORT_HEAVY = (2.45, 0.5, 0.05)
LONG_HEAVY = (0.34, 1.3, 2.7)
EVEN = (1.0, 1.0, 1.0)
# Seconds and rate factors of each phase.
SHORT_FIRST_PHASES = (
    (2.0, EVEN),
    (10.0, SHORT_HEAVY),
    (10.5, LONG_HEAVY),
    (10.0, SHORT_HEAVY),
    (3.0, EVEN),
)
LONG_FIRST_PHASES = (
    (2.0, EVEN),
    (10.0, LONG_HEAVY),
    (10.5, SHORT_HEAVY),
    (10.0, LONG_HEAVY),
    (3.0, EVEN),
)


# The first deployment of docs/design/load-parts.md: an engine has 177 prefill
# tokens a millisecond, and a prompt of the long class takes 7 engine-seconds.
COMPETING_SPEC = routes.EngineSpec(
    slots=6,
    kv_tokens=267_750,
    stride=52,
    step_s=0.00085,
    per_sequence_s=0.00000966,
    context_s_per_token=0.00000000254,
    read_tokens_per_s=177_000.0,
    pair_s=0.175e-9,
    chunk_tokens=2_048,
    hop_s=0.0001,
)
COMPETING = tuple(
    attrs.evolve(
        prompt_class,
        target_s=target_s,
        gap_s=gap_s,
        prompt_max=min(prompt_class.prompt_max, 700_000),
    )
    for prompt_class, target_s, gap_s in zip(
        prompt_classes(
            (42.5, 2.7, 1.16),
            (220_000, 4.023),
            (1.3, 3.5, 29.0),
            (0.33, 0.88, 7.4),
        ),
        (0.308, 1.513, 4.023),
        (0.25, 0.6, 1.0),
        strict=True,
    )
)
COMPETING_LONG = (0.3, 1.0, 2.75)
COMPETING_SHORT = (2.4, 1.0, 0.05)
OSCILLATION = 0.55
OSCILLATION_PERIOD_S = 13.0


def oscillating(phases):
    """Return the phases in steps of half a second, with the oscillation."""
    found, at = [], 0.0
    for seconds, factors in phases:
        for _ in range(round(2 * seconds)):
            angle = 2 * math.pi * at / OSCILLATION_PERIOD_S
            factor = 1 + OSCILLATION * math.sin(angle)
            found.append((0.5, tuple(factor * x for x in factors)))
            at += 0.5
    return tuple(found)


COMPETING_PHASES = oscillating(
    (
        (2.0, EVEN),
        (10.0, COMPETING_SHORT),
        (10.0, COMPETING_LONG),
        (10.0, COMPETING_SHORT),
        (10.0, COMPETING_LONG),
        (5.0, COMPETING_SHORT),
    )
)


def scale_phases(phases, factor: float):
    """Return phases with all rates multiplied by a factor."""
    return tuple((s, tuple(factor * x for x in xs)) for s, xs in phases)


ALL_LOADS = (
    Load(
        name="small",
        engines=14,
        spec=spec(8, 450_000, 46),
        prompt_classes=SMALL,
        phases=SHORT_FIRST_PHASES,
    ),
    Load(
        name="small-back",
        engines=14,
        spec=spec(8, 450_000, 46),
        prompt_classes=SMALL,
        phases=LONG_FIRST_PHASES,
    ),
    Load(
        name="small-busy",
        engines=11,
        spec=spec(8, 450_000, 46),
        prompt_classes=SMALL,
        phases=scale_phases(LONG_FIRST_PHASES, 1.25),
    ),
    Load(
        name="grown",
        engines=45,
        spec=spec(6, 382_500, 52),
        prompt_classes=GROWN,
        phases=SHORT_FIRST_PHASES,
    ),
    Load(
        name="grown-back",
        engines=45,
        spec=spec(6, 382_500, 52),
        prompt_classes=GROWN,
        phases=LONG_FIRST_PHASES,
    ),
    Load(
        name="grown-lost",
        engines=36,
        spec=spec(6, 382_500, 52),
        prompt_classes=GROWN,
        phases=SHORT_FIRST_PHASES,
    ),
    Load(
        name="grown-busy",
        engines=38,
        spec=spec(6, 382_500, 52),
        prompt_classes=GROWN,
        phases=scale_phases(LONG_FIRST_PHASES, 1.25),
    ),
    Load(
        name="shifted",
        engines=45,
        spec=spec(6, 382_500, 52),
        prompt_classes=SHIFTED,
        phases=SHORT_FIRST_PHASES,
    ),
    Load(
        name="shifted-back",
        engines=45,
        spec=spec(6, 382_500, 52),
        prompt_classes=SHIFTED,
        phases=LONG_FIRST_PHASES,
    ),
    Load(
        name="shifted-busy",
        engines=39,
        spec=spec(6, 382_500, 52),
        prompt_classes=SHIFTED,
        phases=scale_phases(LONG_FIRST_PHASES, 1.5),
    ),
    Load(
        name="large",
        engines=112,
        spec=spec(5, 450_000, 73),
        prompt_classes=LARGE,
        phases=SHORT_FIRST_PHASES,
    ),
    Load(
        name="large-back",
        engines=112,
        spec=spec(5, 450_000, 73),
        prompt_classes=LARGE,
        phases=LONG_FIRST_PHASES,
    ),
    Load(
        name="large-busy",
        engines=112,
        spec=spec(5, 450_000, 73),
        prompt_classes=LARGE,
        phases=scale_phases(SHORT_FIRST_PHASES, 1.7),
    ),
    Load(
        name="uneven",
        engines=69,
        spec=UNEVEN_SPEC,
        prompt_classes=UNEVEN,
        phases=UNEVEN_PHASES,
    ),
    Load(
        name="huge",
        engines=1_000,
        spec=spec(5, 450_000, 73),
        prompt_classes=HUGE,
        phases=SHORT_FIRST_PHASES,
    ),
    Load(
        name="huge-busy",
        engines=1_000,
        spec=spec(5, 450_000, 73),
        prompt_classes=HUGE,
        phases=scale_phases(SHORT_FIRST_PHASES, 1.7),
    ),
    Load(
        name="competing",
        engines=60,
        spec=COMPETING_SPEC,
        prompt_classes=COMPETING,
        phases=COMPETING_PHASES,
    ),
    Load(
        name="competing-lost",
        engines=48,
        spec=COMPETING_SPEC,
        prompt_classes=COMPETING,
        phases=COMPETING_PHASES,
    ),
    Load(
        name="competing-busy",
        engines=40,
        spec=COMPETING_SPEC,
        prompt_classes=COMPETING,
        phases=COMPETING_PHASES,
    ),
)
