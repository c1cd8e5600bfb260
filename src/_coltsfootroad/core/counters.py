"""What an entry counts."""

import attrs


@attrs.define
class Counters:
    """Counts for metrics; they only grow."""

    admitted: int = 0
    refused: int = 0
    finished: int = 0
    failed: int = 0
    retries: int = 0
    resumed: int = 0
    late_chunks: int = 0
    cancels: int = 0
