"""Counters of an entry, exported as metrics."""

import attrs


@attrs.define
class Counters:
    """Monotonic counters of requests and attempts."""

    admitted: int = 0
    refused: int = 0
    finished: int = 0
    failed: int = 0
    retries: int = 0
    resumed: int = 0
    late_chunks: int = 0
    cancels: int = 0
