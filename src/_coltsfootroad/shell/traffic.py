"""Counts the messages and bytes that this process exchanges, by kind.

Traffic between availability zones is expensive, and a saturated link delays
all messages on it. The counts show which kind of message causes the traffic.
"""

import enum

import attrs

from _coltsfootroad.shell import logs
from _coltsfootroad.shell import metrics as metrics_lib

LOG = logs.logger("traffic")
LOG_INTERVAL_S = 10.0


class Direction(enum.Enum):
    """Whether this process sends or receives a message."""

    SENT = "sent"
    RECEIVED = "received"


@attrs.define
class Count:
    """Number and total bytes of the messages of one kind."""

    messages: int = 0
    size: int = 0


@attrs.define
class Traffic:
    """Counts the messages of one process by direction and kind.

    Attributes:
        counts: Totals since the start of the process.
        logged: Totals at the last log line.
        logged_at: Boot time of the last log line.
    """

    counts: dict[Direction, dict[str, Count]] = attrs.Factory(
        lambda: {direction: {} for direction in Direction}
    )
    logged: dict[Direction, dict[str, Count]] = attrs.Factory(
        lambda: {direction: {} for direction in Direction}
    )
    logged_at: float = 0.0

    def count(self, direction: Direction, kind: str, size: int) -> None:
        """Count one message of `size` bytes."""
        counts = self.counts[direction]
        count = counts.get(kind)
        if count is None:
            count = counts[kind] = Count()
        count.messages += 1
        count.size += size

    def byte_counts(self, direction: Direction) -> dict[str, float]:
        """Return the bytes of each kind since the process started."""
        counts = self.counts[direction]
        return {kind: float(count.size) for kind, count in counts.items()}

    def message_counts(self, direction: Direction) -> dict[str, float]:
        """Return the number of messages of each kind since the start."""
        counts = self.counts[direction]
        return {kind: float(count.messages) for kind, count in counts.items()}

    def log_if_due(self, now: float) -> None:
        """Log the counts since the last line, every `LOG_INTERVAL_S`."""
        if now - self.logged_at < LOG_INTERVAL_S:
            return
        self.logged_at = now
        LOG.info(
            "exchanged",
            sent=self.counts_since_log(Direction.SENT),
            received=self.counts_since_log(Direction.RECEIVED),
        )

    def counts_since_log(self, direction: Direction) -> dict[str, list[int]]:
        """Return messages and bytes by kind since the last log line."""
        before = self.logged[direction]
        counts = self.counts[direction]
        self.logged[direction] = {k: attrs.evolve(c) for k, c in counts.items()}
        changes = {}
        for kind, count in counts.items():
            previous = before.get(kind, Count())
            if count.messages > previous.messages:
                changes[kind] = [
                    count.messages - previous.messages,
                    count.size - previous.size,
                ]
        return changes

    def add_metrics(self, metrics: metrics_lib.Metrics) -> None:
        """Register the counts as metrics."""
        for direction in Direction:
            metrics.labelled_counter(
                f"colts_bytes_{direction.value}",
                f"Bytes of messages {direction.value}, by kind",
                "kind",
                lambda direction=direction: self.byte_counts(direction),
            )
            metrics.labelled_counter(
                f"colts_messages_{direction.value}",
                f"Messages {direction.value}, by kind",
                "kind",
                lambda direction=direction: self.message_counts(direction),
            )


# Shared by all connections of this process.
PROCESS = Traffic()


def count_sent(kind: str, size: int) -> None:
    """Count a message that this process sends."""
    PROCESS.count(Direction.SENT, kind, size)


def count_received(kind: str, size: int) -> None:
    """Count a message that this process has received."""
    PROCESS.count(Direction.RECEIVED, kind, size)
