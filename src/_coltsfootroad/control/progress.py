"""Replication progress of a follower, as the leader tracks it.

Entries are sent only to a follower whose log is known to match up to the entry
before them. Until then empty appends probe for that entry, one per reply or
heartbeat, so the search transfers no entries. Afterwards entries are pipelined
within a window and resent with exponential backoff: a log of several megabytes
must not saturate the leader's link and delay heartbeats.
"""

import collections
import enum

import attrs

from _coltsfootroad.control import log as log_lib

# Bytes of entries or of a snapshot that may be in flight to one replica. A link
# of 10 Mbit/s transfers them in a quarter of a leader lease.
WINDOW_BYTES = 128 * 1024
# Maximum size of one message, so that a window holds several.
MESSAGE_BYTES = 64 * 1024
# Without a reply that shows progress, in-flight data is resent after this time,
# which doubles with each resend. Messages arrive in order, so most losses are
# found sooner, by a rejected append.
RESEND_MIN_S = 0.6
RESEND_MAX_S = 4.8
NEVER = float("-inf")


@attrs.frozen
class InflightBatch:
    """Last index and size in bytes of the entries of one in-flight message."""

    last_index: int
    size: int


class State(enum.Enum):
    """Replication state of a follower."""

    PROBE = "probe"
    REPLICATE = "replicate"


@attrs.define
class Progress:
    """Replication progress of one replica; the admin dump shows its fields.

    Attributes:
        since: When the leader started to replicate to it.
        next_index: Index of the next entry to send.
        match: Index of the last entry known to match the leader's log.
        state: Whether the end of the matching log is known.
        acked_at: When the newest message that it replied to was sent.
        heard_at: When its last reply arrived.
        current_at: When it last held all entries that were committed at the
            previous heartbeat.
        snapshot: The snapshot that is being sent, None for none.
        snapshot_offset: Bytes of the snapshot that have arrived.
        batches: Entries in flight.
        advanced_at: When it last made progress, or when the first of `batches`
            was sent.
        resend_s: Seconds without progress after which in-flight data is
            resent.
    """

    since: float
    next_index: int
    match: int = 0
    state: State = State.PROBE
    acked_at: float = NEVER
    heard_at: float = NEVER
    current_at: float = NEVER
    snapshot: log_lib.SnapshotMeta | None = None
    snapshot_offset: int = 0
    batches: collections.deque[InflightBatch] = attrs.Factory(collections.deque)
    advanced_at: float = NEVER
    resend_s: float = RESEND_MIN_S

    @property
    def available_bytes(self) -> int:
        """Return how many bytes of entries the in-flight window allows now."""
        if self.state is State.PROBE:
            return 0
        in_flight = sum(batch.size for batch in self.batches)
        return max(0, min(MESSAGE_BYTES, WINDOW_BYTES - in_flight))

    def record_sent(
        self, entries: tuple[log_lib.Entry, ...], now: float
    ) -> None:
        """Record entries that are sent."""
        if not entries:
            return
        if not self.batches:
            self.advanced_at = now
        size = sum(len(e.data) + log_lib.ENTRY_OVERHEAD for e in entries)
        self.batches.append(InflightBatch(entries[-1].index, size))
        self.next_index = entries[-1].index + 1

    def record_match(self, match: int, now: float) -> None:
        """Record the last matching index."""
        if match > self.match:
            self.mark_progress(now)
            self.match = match
        if self.state is State.PROBE:
            self.state = State.REPLICATE
            self.next_index = self.match + 1
        while self.batches and self.batches[0].last_index <= self.match:
            self.batches.popleft()
        self.next_index = max(self.next_index, self.match + 1)
        self.snapshot = None

    def record_commit(self, commit: int, now: float) -> None:
        """Record whether it holds all entries up to a commit index."""
        if self.match >= commit:
            self.current_at = now

    def record_rejection(self, prev_index: int, common_index: int) -> bool:
        """Record a rejected append; return whether to probe at once.

        Args:
            prev_index: Index of the entry before those of the append.
            common_index: Last index at which both logs may match.
        """
        if self.state is State.REPLICATE:
            # Messages were lost, or the follower lost unsynced entries in a
            # crash.
            if prev_index <= self.match:
                return False
            self.probe_from_match()
            return True
        if prev_index != self.next_index - 1:
            # Reply to an earlier or repeated probe.
            return False
        earlier = self.next_index
        self.next_index = max(self.match, common_index) + 1
        return self.next_index < earlier

    def probe_from_match(self) -> None:
        """Probe whether the follower still holds the acknowledged entries."""
        self.state = State.PROBE
        self.batches.clear()
        self.next_index = self.match + 1

    def record_snapshot_received(self, offset: int, now: float) -> bool:
        """Record the received bytes of a snapshot; return whether they grew."""
        if offset <= self.snapshot_offset:
            return False
        self.snapshot_offset = offset
        self.mark_progress(now)
        return True

    def mark_progress(self, now: float) -> None:
        """Record progress and reset the resend timeout."""
        self.advanced_at = now
        self.resend_s = RESEND_MIN_S

    def prepare_snapshot(self, meta: log_lib.SnapshotMeta, now: float) -> bool:
        """Return whether a chunk of a snapshot is to be sent or resent."""
        if self.snapshot is None or self.snapshot.index != meta.index:
            self.snapshot = meta
            self.snapshot_offset = 0
            self.batches.clear()
            self.mark_progress(now)
            return True
        return self.has_resend_timed_out(now)

    def has_resend_timed_out(self, now: float) -> bool:
        """Return whether to resend in-flight data, and double the timeout."""
        if now < self.advanced_at + self.resend_s:
            return False
        self.advanced_at = now
        self.resend_s = min(RESEND_MAX_S, 2 * self.resend_s)
        return True

    def resend_if_timed_out(self, now: float) -> None:
        """Probe again from the last match if in-flight entries timed out."""
        if self.batches and self.has_resend_timed_out(now):
            self.probe_from_match()
