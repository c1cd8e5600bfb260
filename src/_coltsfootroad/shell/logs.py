"""Logging with logbook: prefixed text lines, or one JSON object per line.

Structured lines go to standard output through a bounded buffer. If the reader
of the output is slow, lines are dropped and counted, so that logging never
blocks the program.
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
# About a megabyte of lines, buffered for a slow reader.
MAX_BUFFERED_LINES = 4_096
# Size of one write; a pipe holds 64 KiB.
CHUNK_BYTES = 32 * 1024
STDOUT_FD = 1
ENCODER = msgspec.json.Encoder()


def logger(part: str) -> logbook.Logger:
    """Return the logger of a component, whose name prefixes its lines."""
    return logbook.Logger(part)


class LogRateLimit:
    """Limits the log lines of one kind in each time window.

    Untrusted input may arrive at any rate, and the first lines are as
    informative as all of them.
    """

    def __init__(self, lines: int, window_s: float):
        self.lines = lines
        self.window_s = window_s
        self.window_start = float("-inf")
        self.line_count = 0

    def allows(self, now: float) -> bool:
        """Return whether another line may be written at `now`."""
        if now - self.window_start >= self.window_s:
            self.window_start = now
            self.line_count = 0
        self.line_count += 1
        return self.line_count <= self.lines


class LineBuffer:
    """Buffers lines for a file descriptor that may not accept them."""

    def __init__(self, descriptor: int, limit: int = MAX_BUFFERED_LINES):
        self.descriptor = descriptor
        self.limit = limit
        self.lines: collections.deque[bytes] = collections.deque()
        self.unwritten = b""
        self.dropped = 0

    def add(self, line: bytes) -> None:
        """Write or buffer a line; drop and count it if the buffer is full."""
        if len(self.lines) >= self.limit:
            self.dropped += 1
            return
        self.lines.append(line)
        self.flush()

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        while self.unwritten or self.lines:
            if not self.unwritten:
                self.unwritten = self.next_chunk()
            try:
                written = os.write(self.descriptor, self.unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone; the buffered lines are lost.
                self.dropped += len(self.lines) + 1
                self.lines.clear()
                self.unwritten = b""
                return
            self.unwritten = self.unwritten[written:]

    def next_chunk(self) -> bytes:
        """Remove and return complete lines of about `CHUNK_BYTES`."""
        chunk = bytearray()
        while self.lines and len(chunk) < CHUNK_BYTES:
            chunk += self.lines.popleft()
        return bytes(chunk)


class JsonHandler(logbook.Handler):
    """Writes each record as one JSON object with its keyword fields."""

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
    """Return the number of lines dropped since the start."""
    return OUTPUT.dropped


def start(level: str, structured: bool = False) -> None:
    """Send log records of at least `level` to the output.

    Text lines go to standard error, structured lines to standard output.
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
