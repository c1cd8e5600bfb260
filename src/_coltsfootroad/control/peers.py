"""Raft messages between replicas.

Class and field names are part of the wire format.
"""

import enum
import functools

import attrs

from _coltsfootroad.control import log as log_lib

# Terms, indexes and sizes below this fit into the log's format with room to
# count on.
MAX_NUMBER = 2**62


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


def fault_of(message: PeerMessage) -> str:
    """Return why no replica can have sent a message, empty if one can.

    A term near the end of the log's format, or entries that do not follow each
    other, would be stored and end each replica at its next step.
    """
    values = (message, *getattr(message, "entries", ()))
    if isinstance(message, SnapshotChunk):
        values += (message.meta,)
    for value in values:
        for name in number_fields(type(value)):
            number = getattr(value, name)
            if not 0 <= number < MAX_NUMBER:
                return f"{name} is {number}"
    if isinstance(message, Append):
        return entries_fault(message)
    return ""


def entries_fault(message: Append) -> str:
    """Return why the entries of an append are no part of a log."""
    index, term = message.prev_index, message.prev_term
    for entry in message.entries:
        index += 1
        if entry.index != index:
            return f"entry {entry.index} is at the place of {index}"
        if not term <= entry.term <= message.term:
            return f"entry {index} of term {entry.term} follows {term}"
        term = entry.term
        is_set = entry.kind is log_lib.EntryKind.REPLICAS
        if is_set and not (entry.replica_set and entry.replica_set.voters):
            return f"entry {index} holds no replica set"
    return ""


@functools.cache
def number_fields(kind: type) -> tuple[str, ...]:
    """Return the names of a class's integers."""
    return tuple(f.name for f in attrs.fields(kind) if f.type is int)
