"""Prompt length bands whose borders adapt to the arrivals."""

import attrs

# Names and upper borders, in tokens, of the length classes of reports.
REPORT_CLASSES = (("1k", 3_200), ("10k", 32_000), ("100k", 320_000))
LONGEST_CLASS = "1m"

BAND_COUNT = 4
# Ratio of adjacent borders. Within a band no prompt waits behind one more than
# this many times as long.
BORDER_RATIO = 16
SHORT_QUANTILE = 0.8
MIN_SHORT_BORDER = 2_048
MAX_SHORT_BORDER = 16_384
INITIAL_SHORT_BORDER = 4_096
# Arrivals between two recomputations, and the factor on older counts.
RECOMPUTE_EVERY = 256
DECAY = 0.5
BUCKET_COUNT = 24


def report_class(prompt_tokens: int) -> str:
    """Return the report class (`1k` to `1m`) of a prompt length."""
    for name, border in REPORT_CLASSES:
        if prompt_tokens <= border:
            return name
    return LONGEST_CLASS


@attrs.define
class LengthBands:
    """Assigns prompts to length bands; band 0 has the shortest.

    The short border is the 0.8 quantile of recent arrivals, rounded up to a
    power of two and clamped. The clamp keeps a period of mostly long prompts
    from turning medium ones into short ones.
    """

    short_border: int = INITIAL_SHORT_BORDER
    counts: list[float] = attrs.Factory(lambda: [0.0] * BUCKET_COUNT)
    since_recompute: int = 0

    def observe(self, prompt_tokens: int) -> None:
        """Count an arrival; recompute the border at a fixed interval."""
        bucket = min(prompt_tokens.bit_length(), BUCKET_COUNT - 1)
        self.counts[bucket] += 1
        self.since_recompute += 1
        if self.since_recompute >= RECOMPUTE_EVERY:
            self.recompute()

    def recompute(self) -> None:
        """Set the short border from the counts, and decay the counts."""
        self.since_recompute = 0
        target = SHORT_QUANTILE * sum(self.counts)
        cumulative = 0.0
        for bucket, count in enumerate(self.counts):
            cumulative += count
            if cumulative >= target:
                edge = 1 << bucket
                break
        else:
            edge = MAX_SHORT_BORDER
        self.short_border = min(max(edge, MIN_SHORT_BORDER), MAX_SHORT_BORDER)
        self.counts = [count * DECAY for count in self.counts]

    def band(self, prompt_tokens: int) -> int:
        """Return the band of a prompt, from 0 (short) to `BAND_COUNT - 1`."""
        border = self.short_border
        for band in range(BAND_COUNT - 1):
            if prompt_tokens <= border:
                return band
            border *= BORDER_RATIO
        return BAND_COUNT - 1
