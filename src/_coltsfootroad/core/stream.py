"""Puts the chunks of one answer in order, without duplicates."""

import attrs

from _coltsfootroad.core import request as request_lib

# Chunks buffered behind a gap. An engine with longer gaps is considered faulty.
MAX_BUFFERED_CHUNKS = 256


@attrs.define
class AnswerStream:
    """Orders and deduplicates the chunks of the current attempt.

    Chunks carry their attempt's number, so that late chunks of an earlier
    attempt are not mixed into the current one.
    """

    attempt: int = 0
    next_offset: int = 0
    held: dict[int, request_lib.Chunk] = attrs.Factory(dict)
    complete: bool = False
    overflow: bool = False

    def begin(self, attempt: int) -> None:
        """Start a new attempt that continues at `next_offset`."""
        self.attempt = attempt
        self.held.clear()

    def add(
        self, attempt: int, chunk: request_lib.Chunk
    ) -> list[request_lib.Chunk]:
        """Add a chunk; return the chunks that are now in order."""
        if attempt != self.attempt or self.complete:
            return []
        if chunk.offset < self.next_offset:
            return []
        if len(self.held) >= MAX_BUFFERED_CHUNKS:
            self.overflow = True
            return []
        self.held[chunk.offset] = chunk
        return self.release()

    def release(self) -> list[request_lib.Chunk]:
        """Return the buffered chunks that follow without a gap."""
        ready = []
        while self.next_offset in self.held and not self.complete:
            chunk = self.held.pop(self.next_offset)
            ready.append(chunk)
            self.next_offset += chunk.tokens
            if chunk.final:
                self.complete = True
            elif chunk.tokens <= 0:
                break
        return ready
