"""Replication progress of a follower, as the leader tracks it.

Entries go out only to a follower whose log is known to match up to the entry
before them. Until then empty appends probe for that entry, one per response or
heartbeat, so a search costs no bulk. Afterwards entries are pipelined within a
window, and are sent again after growing pauses: a log of megabytes must not
fill the leader's link and delay heartbeats.
"""

import collections
import enum

import attrs

from _coltsfootroad.control import log as log_lib

# Bytes of entries, or of a snapshot, that may be under way to one replica: a
# link of 10 Mbit/s carries them in a quarter of a leader's lease.
WINDOW_BYTES = 128 * 1024
# Most bytes of one message, so that a window holds several.
MESSAGE_BYTES = 64 * 1024
# Without an answer that takes it further, a replica is sent the same again
# after this time; the time doubles with each repetition. Messages arrive in
# order, so a loss mostly shows sooner, by an answer that does not fit.
RESEND_MIN_S = 0.6
RESEND_MAX_S = 4.8
NEVER = float("-inf")


@attrs.frozen
class InflightBatch:
    """Entries that were sent in one message: the last index, and bytes."""

    last_index: int
    size: int


class State(enum.Enum):
    """How a follower is sent entries."""

    PROBE = "probe"
    REPLICATE = "replicate"


@attrs.define
class Progress:
    """Where another replica stands.

    Attributes:
        since: When the leader began to send it anything.
        next_index: The entry to be sent next.
        match: Up to here its log is the same.
        state: Whether the end of the common log is known.
        acked_at: When the newest message that it answered was sent.
        heard_at: When an answer of it arrived.
        current_at: When it last held all that was committed a heartbeat before.
        snapshot: The snapshot that it is sent, None if it needs none.
        snapshot_offset: How much of it has arrived.
        batches: What is under way.
        advanced_at: When it last got further, or got the first of `batches`.
        resend_s: When what is under way counts as lost.
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
        """Return how many bytes of entries may be sent now."""
        if self.state is State.PROBE:
            return 0
        under_way = sum(batch.size for batch in self.batches)
        return max(0, min(MESSAGE_BYTES, WINDOW_BYTES - under_way))

    def record_sent(
        self, entries: tuple[log_lib.Entry, ...], now: float
    ) -> None:
        """Note entries that are sent."""
        if not entries:
            return
        if not self.batches:
            self.advanced_at = now
        size = sum(len(e.data) + log_lib.ENTRY_OVERHEAD for e in entries)
        self.batches.append(InflightBatch(entries[-1].index, size))
        self.next_index = entries[-1].index + 1

    def record_match(self, match: int, now: float) -> None:
        """Note up to where its log is the same."""
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
        """Note whether it holds what is committed."""
        if self.match >= commit:
            self.current_at = now

    def record_rejection(self, prev_index: int, common_index: int) -> bool:
        """Note an append that did not fit; return whether to probe at once.

        Args:
            prev_index: The entry that the append was to follow.
            common_index: Last entry that both logs may have in common.
        """
        if self.state is State.REPLICATE:
            # Messages were lost, or unsynced entries in a crash.
            if prev_index <= self.match:
                return False
            self.probe_from_match()
            return True
        if prev_index != self.next_index - 1:
            # Response to an earlier probe, or to a repetition of one.
            return False
        earlier = self.next_index
        self.next_index = max(self.match, common_index) + 1
        return self.next_index < earlier

    def probe_from_match(self) -> None:
        """Find out whether the follower still has what it acknowledged."""
        self.state = State.PROBE
        self.batches.clear()
        self.next_index = self.match + 1

    def record_snapshot_received(self, offset: int, now: float) -> bool:
        """Note how much of a snapshot arrived; return whether it is more."""
        if offset <= self.snapshot_offset:
            return False
        self.snapshot_offset = offset
        self.mark_progress(now)
        return True

    def mark_progress(self, now: float) -> None:
        """Note that it got further."""
        self.advanced_at = now
        self.resend_s = RESEND_MIN_S

    def prepare_snapshot(self, meta: log_lib.SnapshotMeta, now: float) -> bool:
        """Return whether a piece of a snapshot is due: new, or sent again."""
        if self.snapshot is None or self.snapshot.index != meta.index:
            self.snapshot = meta
            self.snapshot_offset = 0
            self.batches.clear()
            self.mark_progress(now)
            return True
        return self.has_resend_timed_out(now)

    def has_resend_timed_out(self, now: float) -> bool:
        """Return whether what is under way is to be sent again."""
        if now < self.advanced_at + self.resend_s:
            return False
        self.advanced_at = now
        self.resend_s = min(RESEND_MAX_S, 2 * self.resend_s)
        return True

    def resend_if_timed_out(self, now: float) -> None:
        """Send again from where its log is the same, if that is due."""
        if self.batches and self.has_resend_timed_out(now):
            self.probe_from_match()
