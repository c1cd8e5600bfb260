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
CHUNK_BYTES = 32 * 1024
STDOUT_FD = 1
ENCODER = msgspec.json.Encoder()


def logger(part: str) -> logbook.Logger:
    """Return the logger of a part; the part's name is the prefix."""
    return logbook.Logger(part)


class LogRateLimit:
    """Lets some lines of a kind through in each span of time.

    What strangers send may come at any rate; the first lines tell as much as
    all of them.
    """

    def __init__(self, lines: int, window_s: float):
        self.lines = lines
        self.window_s = window_s
        self.window_start = float("-inf")
        self.line_count = 0

    def allows(self, now: float) -> bool:
        """Return whether one more line may be written at `now`."""
        if now - self.window_start >= self.window_s:
            self.window_start = now
            self.line_count = 0
        self.line_count += 1
        return self.line_count <= self.lines


class LineBuffer:
    """Lines on their way to a file descriptor that may not take them."""

    def __init__(self, descriptor: int, limit: int = MAX_BUFFERED_LINES):
        self.descriptor = descriptor
        self.limit = limit
        self.lines: collections.deque[bytes] = collections.deque()
        self.unwritten = b""
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
        while self.unwritten or self.lines:
            if not self.unwritten:
                self.unwritten = self.next_chunk()
            try:
                written = os.write(self.descriptor, self.unwritten)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; what is left cannot be told.
                self.dropped += len(self.lines) + 1
                self.lines.clear()
                self.unwritten = b""
                return
            self.unwritten = self.unwritten[written:]

    def next_chunk(self) -> bytes:
        """Return some whole lines."""
        chunk = bytearray()
        while self.lines and len(chunk) < CHUNK_BYTES:
            chunk += self.lines.popleft()
        return bytes(chunk)


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


OUTPUT = LineBuffer(STDOUT_FD)


def dropped() -> int:
    """Return how many lines were dropped since the start."""
    return OUTPUT.dropped


def start(level: str, structured: bool = False) -> None:
    """Send log records of at least `level` to the output.

    Sentences go to standard error, structured lines to standard output.
    """
    logbook.set_datetime_format("utc")
    if structured:
        os.set_blocking(STDOUT_FD, False)
        JsonHandler(OUTPUT, level).push_application()
        return
    handler = logbook.StreamHandler(
        sys.stderr, level=level, format_string=FORMAT, bubble=False
    )
    handler.push_application()
