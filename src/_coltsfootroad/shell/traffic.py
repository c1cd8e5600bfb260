"""Counts the messages and bytes that this process exchanges, by kind.

Bytes between availability zones are dear, and a link that is full delays
whatever else is on it. These counts say which kind of message to look at.
"""

import enum

import attrs

from _coltsfootroad.shell import logs
from _coltsfootroad.shell import metrics as metrics_lib

LOG = logs.logger("traffic")
# Pause between two log lines of a process.
LOG_EVERY_S = 10.0


class Direction(enum.Enum):
    """Which way a message goes."""

    SENT = "sent"
    RECEIVED = "received"


@attrs.define
class Count:
    """Messages of one kind and their bytes."""

    messages: int = 0
    size: int = 0


@attrs.define
class Traffic:
    """The messages of one process by direction and kind."""

    counts: dict[Direction, dict[str, Count]] = attrs.Factory(
        lambda: {direction: {} for direction in Direction}
    )
    logged: dict[Direction, dict[str, Count]] = attrs.Factory(
        lambda: {direction: {} for direction in Direction}
    )
    logged_at: float = 0.0

    def note(self, direction: Direction, kind: str, size: int) -> None:
        """Count one message of `size` bytes."""
        counts = self.counts[direction]
        count = counts.get(kind)
        if count is None:
            count = counts[kind] = Count()
        count.messages += 1
        count.size += size

    def sizes(self, direction: Direction) -> dict[str, float]:
        """Return the bytes of each kind since the start."""
        counts = self.counts[direction]
        return {kind: float(count.size) for kind, count in counts.items()}

    def numbers(self, direction: Direction) -> dict[str, float]:
        """Return the messages of each kind since the start."""
        counts = self.counts[direction]
        return {kind: float(count.messages) for kind, count in counts.items()}

    def log(self, now: float) -> None:
        """Write what came since the last line, one line in some seconds."""
        if now - self.logged_at < LOG_EVERY_S:
            return
        self.logged_at = now
        LOG.info(
            "exchanged",
            sent=self.news(Direction.SENT),
            received=self.news(Direction.RECEIVED),
        )

    def news(self, direction: Direction) -> dict[str, list[int]]:
        """Return messages and bytes by kind since the last line."""
        before = self.logged[direction]
        counts = self.counts[direction]
        self.logged[direction] = {k: attrs.evolve(c) for k, c in counts.items()}
        found = {}
        for kind, count in counts.items():
            known = before.get(kind, Count())
            if count.messages > known.messages:
                found[kind] = [
                    count.messages - known.messages,
                    count.size - known.size,
                ]
        return found

    def add_metrics(self, metrics: metrics_lib.Metrics) -> None:
        """Register the counts."""
        for direction in Direction:
            metrics.labelled_counter(
                f"colts_bytes_{direction.value}",
                f"Bytes of messages {direction.value}, by kind",
                "kind",
                lambda direction=direction: self.sizes(direction),
            )
            metrics.labelled_counter(
                f"colts_messages_{direction.value}",
                f"Messages {direction.value}, by kind",
                "kind",
                lambda direction=direction: self.numbers(direction),
            )


# A process has one set of links, whatever program it runs.
PROCESS = Traffic()


def sent(kind: str, size: int) -> None:
    """Count a message that leaves this process."""
    PROCESS.note(Direction.SENT, kind, size)


def received(kind: str, size: int) -> None:
    """Count a message that came to this process."""
    PROCESS.note(Direction.RECEIVED, kind, size)
