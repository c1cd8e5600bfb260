"""Raft messages between replicas.

Class and field names are part of the wire format.
"""

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
    """Request for a vote, or for a pre-vote.

    Attributes:
        term: Term of the campaign.
        sender: Identity of the candidate.
        pre: Whether this is a pre-vote, which changes no term.
        last_index: Index of the last entry of the candidate's log.
        last_term: Term of that entry.
        all_idle: Every voter has just replied that it has had no leader since
            it started and would grant its vote.
        handed_over: The leader of the previous term has transferred its
            leadership to the sender and ended its lease before.
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
    """Reply to a vote request.

    Attributes:
        term: Term of the voter.
        sender: Identity of the voter.
        pre: As in the request.
        granted: Whether the vote is granted.
        asked_term: Term of the request.
        idle: The voter has had no leader since it started, and would grant its
            vote if all other voters are idle as well.
        refusal: Why the vote is refused, None if it is granted.
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
    """AppendEntries request; without entries a heartbeat or a probe.

    Attributes:
        term: Term of the leader.
        sender: Identity of the leader.
        prev_index: Index of the entry before `entries`.
        prev_term: Term of that entry.
        entries: Entries to append, may be empty.
        commit: Commit index of the leader.
        sent_at: When it was sent, on the leader's own clock.
    """

    term: int
    sender: str
    prev_index: int
    prev_term: int
    entries: tuple[log_lib.Entry, ...]
    commit: int
    sent_at: float


@attrs.frozen(kw_only=True)
class AppendReply:
    """Reply to an append.

    Attributes:
        term: Term of the follower.
        sender: Identity of the follower.
        success: Whether the entry at `prev_index` matched.
        prev_index: As in the append.
        match: Index of the last entry that matches the leader's log; in a
            rejection, of the last entry that may match.
        sent_at: As in the append, for the leader's lease.
        match_term: Term of the entry at `match`, 0 if unknown.
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
    """Chunk of a snapshot, for a replica that lacks compacted entries."""

    term: int
    sender: str
    meta: log_lib.SnapshotMeta
    offset: int
    data: bytes
    sent_at: float


@attrs.frozen(kw_only=True)
class SnapshotReply:
    """Reply to a chunk: bytes received so far, `done` once installed."""

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
