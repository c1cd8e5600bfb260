"""Messages between replicas."""

import enum

import attrs

from _coltsfootroad.control import log as log_lib


class Refusal(enum.StrEnum):
    """Why a replica refuses its vote."""

    HEARD_LEADER = "heard_leader"
    TERM = "term"
    LOG = "log"
    VOTED = "voted"


@attrs.frozen(kw_only=True)
class VoteRequest:
    """Ask for a vote; with `pre` only whether one would be given.

    `all_idle` says that every voter has just answered that it has heard no
    leader since it started and would give its vote; `handed_over` that the
    leader of the term before has asked the sender to take over, and given up
    its lease first.
    """

    term: int
    sender: str
    pre: bool
    last_index: int
    last_term: int
    all_idle: bool = False
    handed_over: bool = False


@attrs.frozen(kw_only=True)
class VoteReply:
    """Answer to a vote request of `term`.

    `idle` says that the sender has heard no leader since it started, and would
    vote so if all others say the same.
    """

    term: int
    sender: str
    pre: bool
    granted: bool
    asked_term: int
    idle: bool = False
    refusal: Refusal | None = None


@attrs.frozen(kw_only=True)
class Append:
    """Entries, and the heartbeat; `sent_at` is the leader's own clock."""

    term: int
    sender: str
    prev_index: int
    prev_term: int
    entries: tuple[log_lib.Entry, ...]
    commit: int
    sent_at: float


@attrs.frozen(kw_only=True)
class AppendReply:
    """Answer to an append.

    Attributes:
        prev_index: As in the append.
        match: Up to here the log is the leader's; of a rejection, the last
            index at which it may be.
        match_term: Term of the entry at `match`, 0 where it is not known.
        sent_at: As in the append, for the leader's lease.
    """

    term: int
    sender: str
    success: bool
    prev_index: int
    match: int
    sent_at: float
    match_term: int = 0


@attrs.frozen(kw_only=True)
class SnapshotChunk:
    """A piece of a snapshot for a replica whose log is too far behind."""

    term: int
    sender: str
    meta: log_lib.SnapshotMeta
    offset: int
    data: bytes
    sent_at: float


@attrs.frozen(kw_only=True)
class SnapshotReply:
    """How much of a snapshot has arrived; `done` once it is installed."""

    term: int
    sender: str
    index: int
    received: int
    done: bool
    sent_at: float


@attrs.frozen(kw_only=True)
class TakeOver:
    """The leader of `term` stops; the receiver is to be elected at once."""

    term: int
    sender: str


PeerMessage = (
    VoteRequest
    | VoteReply
    | Append
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | TakeOver
)
