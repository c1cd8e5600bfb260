"""Logging by logbook: prefixed sentences, or one JSON object a line.

Structured lines go to standard output through a bounded buffer. When the
reader of the output is slow, lines are dropped and counted; the program
never waits for it.
"""

import collections
import os
import sys

import logbook
import msgspec

FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name}"
    " {record.channel}: {record.message}"
)
# Lines that wait for a slow reader: about a megabyte.
MAX_BUFFERED_LINES = 4_096
# Bytes written at once; a pipe takes 64 KiB.
WRITE_BYTES = 32 * 1024
STDOUT = 1
ENCODER = msgspec.json.Encoder()


def logger(part: str) -> logbook.Logger:
    """Return the logger of a part; the part's name is the prefix."""
    return logbook.Logger(part)


class LineLimit:
    """Lets some lines of a kind through in each span of time.

    What strangers send may come at any rate; the first lines tell as much as
    all of them.
    """

    def __init__(self, lines: int, span_s: float):
        self.lines = lines
        self.span_s = span_s
        self.since = float("-inf")
        self.seen = 0

    def allows(self, now: float) -> bool:
        """Return whether one more line may be written at `now`."""
        if now - self.since >= self.span_s:
            self.since = now
            self.seen = 0
        self.seen += 1
        return self.seen <= self.lines


class LineBuffer:
    """Lines on their way to a file descriptor that may not take them."""

    def __init__(self, descriptor: int, limit: int = MAX_BUFFERED_LINES):
        self.descriptor = descriptor
        self.limit = limit
        self.lines: collections.deque[bytes] = collections.deque()
        self.rest = b""
        self.dropped = 0

    def add(self, line: bytes) -> None:
        """Write a line, or keep it for later, or drop and count it."""
        if len(self.lines) >= self.limit:
            self.dropped += 1
            return
        self.lines.append(line)
        self.flush()

    def flush(self) -> None:
        """Write as much as the descriptor takes without waiting."""
        while self.rest or self.lines:
            if not self.rest:
                self.rest = self.take()
            try:
                written = os.write(self.descriptor, self.rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; what is left cannot be told.
                self.dropped += len(self.lines) + 1
                self.lines.clear()
                self.rest = b""
                return
            self.rest = self.rest[written:]

    def take(self) -> bytes:
        """Return some whole lines."""
        taken = bytearray()
        while self.lines and len(taken) < WRITE_BYTES:
            taken += self.lines.popleft()
        return bytes(taken)


class JsonHandler(logbook.Handler):
    """Writes each record as one JSON object with the fields it was given."""

    def __init__(self, buffer: LineBuffer, level: str):
        super().__init__(level=level, bubble=False)
        self.buffer = buffer

    def emit(self, record):
        """Write one record."""
        fields = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name,
            "part": record.channel,
            "event": record.message,
        }
        fields.update(record.kwargs)
        self.buffer.add(ENCODER.encode(fields) + b"\n")


OUTPUT = LineBuffer(STDOUT)


def dropped() -> int:
    """Return how many lines were dropped since the start."""
    return OUTPUT.dropped


def start(level: str, structured: bool = False) -> None:
    """Send log records of at least `level` to the output.

    Sentences go to standard error, structured lines to standard output.
    """
    logbook.set_datetime_format("utc")
    if structured:
        os.set_blocking(STDOUT, False)
        JsonHandler(OUTPUT, level).push_application()
        return
    handler = logbook.StreamHandler(
        sys.stderr, level=level, format_string=FORMAT, bubble=False
    )
    handler.push_application()
