"""Raft consensus core with pre-vote, check-quorum and leader leases.

Performs no I/O. The caller passes in messages and the current time, and
carries out each `Ready` in order: store, sync, send, apply.

Preferred over a primary/backup pair with a fixed leader and over one Paxos
instance per register; see docs/design/consensus.md.
"""

import enum
import random

import attrs

from _coltsfootroad.control import electiontimer
from _coltsfootroad.control import log as log_lib
from _coltsfootroad.control import peers
from _coltsfootroad.control import progress as progress_lib
from _coltsfootroad.control import ready as ready_lib
from _coltsfootroad.control import replicas
from _coltsfootroad.control import snapshots
from _coltsfootroad.core import errors

# Number of entries that a learner may lack and still be promoted to a voter.
MAX_PROMOTION_LAG = 64


class Role(enum.Enum):
    """Raft role of a replica."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.define
class Raft:
    """Raft state machine of one replica.

    Attributes:
        identity: Identity of this replica, see `replicas.Replica`.
        rng: Randomizes election timeouts.
        log: Entries after the newest snapshot.
        hard_state: Term and vote, which are stored before any message.
        reader: Reads chunks of the stored snapshot.
        started_at: When the process started.
        role: Current role.
        leader: Identity of the known leader of the term, empty for none.
        commit: Index of the last committed entry.
        applied: Index of the last entry that was passed on to be applied.
        last_contact_at: Arrival of the last message of each other replica.
        timer: Election timer.
        heartbeat_at: When the leader sends heartbeats next.
        heartbeat_commit: Commit index at the previous heartbeat.
        leader_since: When this replica became leader.
        quorum_check_since: Time from which missing replies count in the quorum
            check; moved forward when this process was stalled.
        elected_term: Last term whose election is over, with or without a
            leader.
        term_start_index: Index of the no-op entry of the leader's own term.
        votes: Voters that granted a vote or pre-vote in this campaign.
        refusals: Why other voters refused it, by identity.
        idle: Voters that have had no leader since they started.
        progress: Replication progress of each replica, on the leader.
        incoming: Chunks of the snapshot that is being received.
        ready: Work collected for the caller.
    """

    identity: str
    rng: random.Random
    log: log_lib.Log = attrs.Factory(log_lib.Log)
    hard_state: ready_lib.HardState = ready_lib.HardState()
    reader: ready_lib.SnapshotReader = attrs.Factory(ready_lib.SnapshotReader)
    started_at: float = 0.0
    role: Role = Role.FOLLOWER
    leader: str = ""
    commit: int = 0
    applied: int = 0
    last_contact_at: dict[str, float] = attrs.Factory(dict)
    timer: electiontimer.ElectionTimer = attrs.field(init=False)
    heartbeat_at: float = 0.0
    heartbeat_commit: int = 0
    leader_since: float = 0.0
    quorum_check_since: float = 0.0
    elected_term: int = 0
    term_start_index: int = 0
    votes: set[str] = attrs.Factory(set)
    refusals: dict[str, peers.Refusal] = attrs.Factory(dict)
    idle: set[str] = attrs.Factory(set)
    progress: dict[str, progress_lib.Progress] = attrs.Factory(dict)
    incoming: snapshots.IncomingSnapshot = attrs.Factory(
        snapshots.IncomingSnapshot
    )
    ready: ready_lib.Ready = attrs.Factory(ready_lib.Ready)

    def __attrs_post_init__(self):
        self.commit = self.applied = self.log.snapshot.index
        self.timer = electiontimer.ElectionTimer(self.rng, self.started_at)
        # A previous process may have voted in this term. The outcome of that
        # election is unknown and must not count as a failed election.
        self.elected_term = self.term

    # --- state -----------------------------------------------------------

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.hard_state.term

    @property
    def replica_set(self) -> replicas.ReplicaSet:
        """Return the current replica set: the newest one in the log."""
        return self.log.replica_set()

    @property
    def is_leader(self) -> bool:
        """Return whether this replica is the leader."""
        return self.role is Role.LEADER

    @property
    def is_idle(self) -> bool:
        """Return whether it has neither had a leader nor led since its start.

        If all voters are idle, no lease can be valid, because its holder has
        restarted as well. They skip the wait for the end of the lease, which
        shortens the first election after a restart of all replicas.
        """
        return not self.is_leader and self.timer.has_no_leader_since_start

    def has_leader_contact(self, now: float) -> bool:
        """Return whether it leads or has had recent contact with its leader."""
        return self.is_leader or bool(
            self.leader and self.timer.has_recent_contact(now)
        )

    def peer_identities(self) -> list[str]:
        """Return the identities of all other replicas."""
        return [i for i in self.replica_set.by_identity() if i != self.identity]

    def has_lease(self, now: float) -> bool:
        """Return whether this leader holds a lease: no other leader can exist.

        Reads of the applied state are linearizable while the lease is held and
        an entry of the current term has been applied.
        """
        if not self.is_leader or self.applied < self.term_start_index:
            return False
        acked_at = {i: p.acked_at for i, p in self.progress.items()}
        acked_at[self.identity] = now
        lease_s = electiontimer.LEADER_LEASE_S
        return now < self.replica_set.quorum_value(acked_at) + lease_s

    # --- input -----------------------------------------------------------

    def take_ready(self) -> ready_lib.Ready:
        """Return the collected work for the caller and start a new `Ready`."""
        for index in range(self.applied + 1, self.commit + 1):
            self.ready.committed.append(self.log.entry(index))
        self.applied = self.commit
        ready, self.ready = self.ready, ready_lib.Ready()
        return ready

    def tick(self, now: float) -> None:
        """Run the election timer, heartbeats and the quorum check."""
        self.timer.start(now)
        if self.is_leader:
            self.check_quorum(now)
        if self.is_leader and now >= self.heartbeat_at:
            self.broadcast_appends(now)
        elif not self.is_leader and self.timer.has_timed_out(now):
            self.record_failed_election(now)
            self.campaign(True, now)

    def next_wake(self) -> float:
        """Return when `tick` is due next."""
        return self.heartbeat_at if self.is_leader else self.timer.election_at

    def propose(
        self, kind: log_lib.EntryKind, data: bytes, at: float, now: float
    ) -> int | None:
        """Append a command; return its index, None if not the leader."""
        if not self.is_leader:
            return None
        entry = log_lib.Entry(
            term=self.term,
            index=self.log.last_index + 1,
            kind=kind,
            at=at,
            data=data,
        )
        self.append_as_leader(entry, now)
        return entry.index

    def flush_appends(self, now: float) -> None:
        """Send the entries proposed since the last call, in one batch."""
        if not self.is_leader:
            return
        for identity in self.peer_identities():
            progress = self.progress[identity]
            # A replica that needs a snapshot always lacks entries. It is sent
            # chunks in response to its replies and with heartbeats instead.
            first = self.log.snapshot.index + 1
            lacks_entries = first <= progress.next_index <= self.log.last_index
            if lacks_entries and progress.available_bytes:
                self.send_append(identity, now)

    def on_synced(self, index: int, now: float) -> None:
        """Record that the leader's own disk has synced up to `index`."""
        if not self.is_leader:
            return
        own = self.progress[self.identity]
        own.match = max(own.match, index)
        self.advance_commit(now)

    def step(self, message: peers.PeerMessage, now: float) -> None:
        """Handle a message from another replica."""
        self.last_contact_at[message.sender] = now
        if isinstance(message, peers.VoteRequest):
            self.on_vote_request(message, now)
            return
        if message.term > self.term:
            self.become_follower(message.term, "", now)
        match message:
            case peers.VoteReply():
                self.on_vote_reply(message, now)
            case peers.Append():
                self.on_append(message, now)
            case peers.AppendReply():
                self.on_append_reply(message, now)
            case peers.SnapshotChunk():
                self.on_snapshot_chunk(message, now)
            case peers.SnapshotReply():
                self.on_snapshot_reply(message, now)
            case peers.TakeOver():
                self.on_take_over(message, now)

    # --- elections -------------------------------------------------------

    def set_hard_state(self, state: ready_lib.HardState) -> None:
        """Change term or vote, which must be synced before any message."""
        if state != self.hard_state:
            self.hard_state = state
            self.ready.hard_state = state

    def become_follower(self, term: int, leader: str, now: float) -> None:
        """Become a follower in this term or a later one."""
        if term > self.term:
            self.set_hard_state(ready_lib.HardState(term=term))
        if self.role is not Role.FOLLOWER:
            self.timer.reset(now)
        self.role = Role.FOLLOWER
        self.leader = leader
        self.progress = {}

    def transfer_leadership(self, now: float) -> None:
        """Step down and transfer leadership to the most up-to-date voter.

        The target campaigns at once, which saves the election timeout of 0.6 s
        to 1.2 s. The lease ends before the message is sent. The target
        campaigns only if it is still in the sender's term, so a delayed message
        has no effect.
        """
        if not self.is_leader:
            return
        target = self.transfer_target(now)
        if target:
            self.send(
                target, peers.TakeOver(term=self.term, sender=self.identity)
            )
        self.become_follower(self.term, "", now)

    def transfer_target(self, now: float) -> str:
        """Return the responsive voter with the highest match, empty if none."""
        matches = {
            identity: self.progress[identity].match
            for identity in self.replica_set.voter_identities()
            if identity != self.identity
            and now
            < self.progress[identity].acked_at + electiontimer.LEADER_LEASE_S
        }
        return max(matches, key=matches.__getitem__, default="")

    def record_failed_election(self, now: float) -> None:
        """Record that the term in which this replica voted had no leader."""
        if self.hard_state.vote and self.elected_term < self.term:
            self.elected_term = self.term
            self.timer.record_failure(now)

    def on_take_over(self, message: peers.TakeOver, now: float) -> None:
        """Campaign at once: leadership transfer, TimeoutNow in Raft terms."""
        if message.term == self.term and message.sender == self.leader:
            self.campaign(False, now, handed_over=True)

    def campaign(
        self,
        pre: bool,
        now: float,
        all_idle: bool = False,
        handed_over: bool = False,
    ) -> None:
        """Request pre-votes or votes from all other voters.

        Args:
            pre: Whether to request pre-votes, which change no term.
            now: Current time.
            all_idle: All voters have had no leader since they started.
            handed_over: The previous leader has transferred its leadership.
        """
        if self.is_idle:
            self.timer.reset_cold_start(pre, now)
        else:
            self.timer.reset(now)
        if self.identity not in self.replica_set.voter_identities():
            return
        self.leader = ""
        self.votes = {self.identity}
        self.refusals = {}
        self.idle = {self.identity} if self.is_idle else set()
        if pre:
            self.role = Role.PRE_CANDIDATE
            term = self.term + 1
        else:
            self.role = Role.CANDIDATE
            self.set_hard_state(
                ready_lib.HardState(term=self.term + 1, vote=self.identity)
            )
            term = self.term
        for identity in self.replica_set.voter_identities():
            if identity != self.identity:
                self.send(
                    identity,
                    peers.VoteRequest(
                        term=term,
                        sender=self.identity,
                        pre=pre,
                        last_index=self.log.last_index,
                        last_term=self.log.last_term,
                        all_idle=all_idle,
                        handed_over=handed_over,
                    ),
                )
        self.count_votes(now)

    def on_vote_request(self, message: peers.VoteRequest, now: float) -> None:
        """Grant or refuse a vote or a pre-vote."""
        sticky = self.timer.is_sticky(now)
        if message.pre and sticky and self.is_idle:
            self.reply_vote(
                message,
                peers.Refusal.HEARD_LEADER,
                idle=self.vote_refusal(message) is None,
            )
            return
        sticky = sticky and not (message.all_idle and self.is_idle)
        sticky = sticky and not message.handed_over
        if sticky or self.is_leader_with_lease(now):
            self.reply_vote(message, peers.Refusal.HEARD_LEADER)
            return
        if message.term > self.term and not message.pre:
            self.become_follower(message.term, "", now)
        refusal = self.vote_refusal(message)
        if refusal is None and not message.pre:
            self.set_hard_state(
                ready_lib.HardState(term=self.term, vote=message.sender)
            )
            self.timer.reset(now)
        idle = message.pre and refusal is None and self.is_idle
        self.reply_vote(message, refusal, idle)

    def vote_refusal(self, message: peers.VoteRequest) -> peers.Refusal | None:
        """Return why a vote is refused, None if it is granted."""
        min_term = self.term + 1 if message.pre else self.term
        if message.term < min_term:
            return peers.Refusal.TERM
        if not message.pre and self.hard_state.vote not in ("", message.sender):
            return peers.Refusal.VOTED
        return None if self.is_up_to_date(message) else peers.Refusal.LOG

    def is_up_to_date(self, message: peers.VoteRequest) -> bool:
        """Return whether a candidate's log is at least as up to date."""
        log_end = (message.last_term, message.last_index)
        return log_end >= (self.log.last_term, self.log.last_index)

    def is_leader_with_lease(self, now: float) -> bool:
        """Return whether this replica leads and holds a lease."""
        return self.has_lease(now)

    def reply_vote(
        self,
        message: peers.VoteRequest,
        refusal: peers.Refusal | None,
        idle: bool = False,
    ) -> None:
        """Reply to a vote request."""
        self.send(
            message.sender,
            peers.VoteReply(
                term=self.term,
                sender=self.identity,
                pre=message.pre,
                granted=refusal is None,
                asked_term=message.term,
                idle=idle,
                refusal=refusal,
            ),
        )

    def on_vote_reply(self, message: peers.VoteReply, now: float) -> None:
        """Record the reply to a vote request of the current campaign."""
        expected_role = Role.PRE_CANDIDATE if message.pre else Role.CANDIDATE
        expected_term = self.term + 1 if message.pre else self.term
        if (
            self.role is not expected_role
            or message.asked_term != expected_term
        ):
            return
        if message.idle:
            self.idle.add(message.sender)
        if message.granted:
            self.votes.add(message.sender)
        elif message.refusal is not None:
            self.refusals[message.sender] = message.refusal
        self.count_votes(now)

    def count_votes(self, now: float) -> None:
        """Advance the campaign on a quorum of votes.

        A pre-candidate also advances once all voters have replied that they
        are idle.
        """
        if not self.replica_set.has_quorum(self.votes):
            voters = set(self.replica_set.voter_identities())
            pre_candidate = self.role is Role.PRE_CANDIDATE
            if pre_candidate and self.is_idle and voters <= self.idle:
                self.campaign(False, now, all_idle=True)
            return
        if self.role is Role.PRE_CANDIDATE:
            self.campaign(False, now)
        elif self.role is Role.CANDIDATE:
            self.become_leader(now)

    def become_leader(self, now: float) -> None:
        """Become leader and append a no-op entry of the new term.

        Entries of earlier terms commit only together with an entry of the
        current term.
        """
        self.role = Role.LEADER
        self.leader = self.identity
        self.leader_since = now
        self.elected_term = self.term
        self.heartbeat_commit = self.commit
        self.timer.leader_contact_at = now
        first = self.log.last_index + 1
        self.progress = {
            identity: progress_lib.Progress(since=now, next_index=first)
            for identity in self.replica_set.by_identity()
        }
        self.progress[self.identity].match = self.log.last_index
        self.term_start_index = first
        self.append_as_leader(
            log_lib.Entry(
                term=self.term, index=first, kind=log_lib.EntryKind.NOOP
            ),
            now,
        )
        self.broadcast_appends(now)

    def check_quorum(self, now: float) -> None:
        """Step down when a quorum has not replied for an election timeout.

        Time in which this process was stalled does not count, because replies
        of that time have not been read yet.
        """
        replied_at = {i: p.heard_at for i, p in self.progress.items()}
        replied_at[self.identity] = now
        since = max(
            self.replica_set.quorum_value(replied_at),
            self.leader_since,
            self.quorum_check_since,
        )
        delay_s = now - self.heartbeat_at
        if delay_s > electiontimer.LATE_TICK_S:
            since = self.quorum_check_since = since + delay_s
        timeout_s = (
            electiontimer.ELECTION_TIMEOUT_MAX_S * self.timer.timeout_scale(now)
        )
        if now - since > timeout_s:
            self.become_follower(self.term, "", now)

    # --- replication -----------------------------------------------------

    def send(self, to: str, message: peers.PeerMessage) -> None:
        """Queue a message to be sent after the sync."""
        self.ready.messages.append(ready_lib.Outgoing(to=to, message=message))

    def append_as_leader(self, entry: log_lib.Entry, now: float) -> None:
        """Append an entry to the leader's log."""
        self.log.append(entry)
        self.ready.entries.append(entry)
        if entry.kind is log_lib.EntryKind.REPLICAS:
            self.update_tracked_replicas(now)

    def update_tracked_replicas(self, now: float) -> None:
        """Track progress of exactly the replicas of the current set."""
        by_identity = self.replica_set.by_identity()
        for identity in by_identity:
            if identity not in self.progress:
                self.progress[identity] = progress_lib.Progress(
                    since=now, next_index=self.log.last_index
                )
        for identity in set(self.progress) - set(by_identity) - {self.identity}:
            del self.progress[identity]

    def broadcast_appends(self, now: float) -> None:
        """Send heartbeats to all replicas, with the entries that they lack."""
        self.heartbeat_at = now + electiontimer.HEARTBEAT_INTERVAL_S
        for identity in self.peer_identities():
            progress = self.progress[identity]
            progress.record_commit(self.heartbeat_commit, now)
            progress.resend_if_timed_out(now)
            self.send_append(identity, now)
        self.heartbeat_commit = self.commit

    def send_append(self, identity: str, now: float) -> None:
        """Send entries from `next_index` on, or a snapshot chunk.

        If the in-flight window is full, the append is empty. It then serves as
        a heartbeat, and its reply shows whether the in-flight entries arrived.
        """
        progress = self.progress[identity]
        prev = progress.next_index - 1
        prev_term = self.log.term_at(prev)
        if prev_term is None:
            self.send_snapshot(identity, progress, now)
            return
        entries = ()
        if progress.available_bytes:
            entries = self.log.slice(
                progress.next_index, progress.available_bytes
            )
        progress.record_sent(entries, now)
        self.send(
            identity,
            peers.Append(
                term=self.term,
                sender=self.identity,
                prev_index=prev,
                prev_term=prev_term,
                entries=entries,
                commit=self.commit,
                sent_at=now,
            ),
        )

    def on_append(self, message: peers.Append, now: float) -> None:
        """Append entries of the leader and reply with the last match."""
        if message.term < self.term:
            self.reply_append(message, False, self.log.last_index)
            return
        self.on_leader_contact(message.sender, now)
        prev = message.prev_index
        if prev < self.log.snapshot.index:
            # Committed entries are the same on every leader, so all entries
            # up to the commit index match.
            self.reply_append(message, True, self.commit)
            return
        if self.log.term_at(prev) != message.prev_term:
            common = self.log.last_index_within(prev, message.prev_term)
            self.reply_append(message, False, max(common, self.commit))
            return
        self.append_entries(message.entries)
        match = prev + len(message.entries)
        self.commit = max(self.commit, min(message.commit, match))
        self.reply_append(message, True, match)

    def on_leader_contact(self, leader: str, now: float) -> None:
        """Record a message from the leader of the current term."""
        if self.role is not Role.FOLLOWER or self.leader != leader:
            self.become_follower(self.term, leader, now)
        self.elected_term = self.term
        self.timer.on_leader_message(now, self.term)

    def append_entries(self, entries: tuple[log_lib.Entry, ...]) -> None:
        """Append new entries and truncate conflicting ones."""
        for entry in entries:
            stored_term = self.log.term_at(entry.index)
            if stored_term == entry.term:
                continue
            if stored_term is not None:
                self.truncate_log_from(entry.index)
            self.log.append(entry)
            self.ready.entries.append(entry)

    def truncate_log_from(self, index: int) -> None:
        """Truncate entries that conflict with those of the leader."""
        if index <= self.commit:
            raise errors.BrokenInvariantError(
                f"committed entry {index} would be truncated"
            )
        self.log.truncate_from(index)
        self.ready.entries = [e for e in self.ready.entries if e.index < index]
        earlier = self.ready.truncate_from
        self.ready.truncate_from = min(earlier, index) if earlier else index

    def reply_append(
        self, message: peers.Append, success: bool, match: int
    ) -> None:
        """Reply to an append."""
        self.send(
            message.sender,
            peers.AppendReply(
                term=self.term,
                sender=self.identity,
                success=success,
                prev_index=message.prev_index,
                match=match,
                match_term=self.log.term_at(match) or 0,
                sent_at=message.sent_at,
            ),
        )

    def on_append_reply(self, message: peers.AppendReply, now: float) -> None:
        """Record a follower's match or rejection and send what follows."""
        progress = self.progress.get(message.sender)
        if not self.is_leader or progress is None:
            return
        if message.term < self.term:
            return
        progress.acked_at = max(progress.acked_at, message.sent_at)
        progress.heard_at = now
        if message.success:
            self.record_match(message.sender, progress, message.match, now)
            return
        common = self.log.last_index_within(message.match, message.match_term)
        if progress.record_rejection(message.prev_index, common):
            self.send_append(message.sender, now)

    def record_match(
        self,
        sender: str,
        progress: progress_lib.Progress,
        match: int,
        now: float,
    ) -> None:
        """Record the last matching index and send the entries after it."""
        progress.record_match(match, now)
        self.advance_commit(now)
        # This reply may have committed the removal of its sender.
        is_tracked = self.progress.get(sender) is progress
        lacks_entries = progress.next_index <= self.log.last_index
        if is_tracked and lacks_entries and progress.available_bytes:
            self.send_append(sender, now)

    def advance_commit(self, now: float) -> None:
        """Commit entries of the current term that a quorum has synced."""
        matches = {i: float(p.match) for i, p in self.progress.items()}
        quorum_match = self.replica_set.quorum_value(matches)
        if quorum_match <= self.commit or quorum_match == float("-inf"):
            return
        index = int(quorum_match)
        # An entry of an earlier term can be stored on a quorum and still be
        # overwritten by a later leader.
        if self.log.term_at(index) != self.term:
            return
        self.commit = index
        self.on_commit_advanced(now)

    def on_commit_advanced(self, now: float) -> None:
        """Finish a membership change once it is committed.

        A joint set is followed by the final set. A leader that is no voter of
        the final set steps down.
        """
        current = self.replica_set
        set_index = self.replica_set_index()
        if set_index > self.commit:
            return
        if current.is_joint:
            self.change_replicas(attrs.evolve(current, old_voters=()), now)
        elif self.identity not in current.voter_identities():
            self.become_follower(self.term, "", now)

    def replica_set_index(self) -> int:
        """Return the index of the entry that holds the current set."""
        for entry in reversed(self.log.entries):
            if entry.kind is log_lib.EntryKind.REPLICAS:
                return entry.index
        return self.log.snapshot.index

    # --- snapshots -------------------------------------------------------

    def send_snapshot(
        self, identity: str, progress: progress_lib.Progress, now: float
    ) -> None:
        """Send the next chunk of the newest snapshot, if one is due.

        Otherwise an empty chunk serves as the heartbeat. An append cannot,
        because the log no longer holds the entry before `next_index`.
        """
        due = progress.prepare_snapshot(self.log.snapshot, now)
        size = progress_lib.MESSAGE_BYTES if due else 0
        self.send_snapshot_chunk(identity, progress, size, now)

    def send_snapshot_chunk(
        self,
        identity: str,
        progress: progress_lib.Progress,
        size: int,
        now: float,
    ) -> None:
        """Send up to `size` bytes of a snapshot from the replica's offset."""
        meta = progress.snapshot
        data: bytes | None = b""
        if size:
            data = self.reader.read(meta.index, progress.snapshot_offset, size)
        if data is None:
            return
        self.send(
            identity,
            peers.SnapshotChunk(
                term=self.term,
                sender=self.identity,
                meta=meta,
                offset=progress.snapshot_offset,
                data=data,
                sent_at=now,
            ),
        )

    def on_snapshot_chunk(
        self, message: peers.SnapshotChunk, now: float
    ) -> None:
        """Collect the chunks of a snapshot and install it when complete."""
        if message.term < self.term:
            return
        self.on_leader_contact(message.sender, now)
        meta = message.meta
        if meta.index <= self.commit:
            self.reply_snapshot(message, meta.size, True)
            return
        received = self.incoming.add_chunk(meta, message.offset, message.data)
        if received < meta.size:
            self.reply_snapshot(message, received, False)
            return
        self.install_snapshot(meta, self.incoming.finish())
        self.reply_snapshot(message, meta.size, True)

    def install_snapshot(self, meta: log_lib.SnapshotMeta, data: bytes) -> None:
        """Replace the log by a snapshot and queue it for the state machine."""
        self.log.restore(meta)
        self.commit = self.applied = meta.index
        self.ready.entries = []
        self.ready.truncate_from = 0
        self.ready.snapshot = meta
        self.ready.snapshot_data = data

    def reply_snapshot(
        self, message: peers.SnapshotChunk, received: int, done: bool
    ) -> None:
        """Reply with the number of bytes of a snapshot received so far."""
        self.send(
            message.sender,
            peers.SnapshotReply(
                term=self.term,
                sender=self.identity,
                index=message.meta.index,
                received=received,
                done=done,
                sent_at=message.sent_at,
            ),
        )

    def on_snapshot_reply(
        self, message: peers.SnapshotReply, now: float
    ) -> None:
        """Send the next chunk, or the entries after a complete snapshot."""
        progress = self.progress.get(message.sender)
        if not self.is_leader or progress is None:
            return
        if message.term < self.term:
            return
        progress.acked_at = max(progress.acked_at, message.sent_at)
        progress.heard_at = now
        if message.done:
            if message.index > progress.match:
                self.record_match(message.sender, progress, message.index, now)
            return
        snapshot = progress.snapshot
        if snapshot is None or message.index != snapshot.index:
            return
        if progress.record_snapshot_received(message.received, now):
            size = progress_lib.MESSAGE_BYTES
            self.send_snapshot_chunk(message.sender, progress, size, now)

    def compact_log(self, meta: log_lib.SnapshotMeta) -> None:
        """Drop the entries that a stored snapshot covers."""
        self.log.compact(meta)

    # --- replica set -----------------------------------------------------

    def change_replicas(
        self, target_set: replicas.ReplicaSet, now: float
    ) -> bool:
        """Append a new replica set; return False if refused.

        Refused while another change is in progress, or if a new voter has not
        caught up. A change of voters uses joint consensus, which needs a
        majority of the old and the new voters. A failed replica is thus
        replaced by a caught-up learner in one step, without a smaller voter
        set in between.
        """
        if not self.is_leader or self.commit < self.term_start_index:
            return False
        current = self.replica_set
        if self.replica_set_index() > self.commit:
            return False
        if not current.is_joint and target_set.voters != current.voters:
            if not self.new_voters_have_caught_up(target_set):
                return False
            target_set = attrs.evolve(target_set, old_voters=current.voters)
        self.append_as_leader(
            log_lib.Entry(
                term=self.term,
                index=self.log.last_index + 1,
                kind=log_lib.EntryKind.REPLICAS,
                replica_set=target_set,
            ),
            now,
        )
        self.flush_appends(now)
        return True

    def new_voters_have_caught_up(
        self, target_set: replicas.ReplicaSet
    ) -> bool:
        """Return whether each added voter has caught up as a learner."""
        current_voters = self.replica_set.voter_identities()
        return all(
            self.has_caught_up(replica.identity)
            for replica in target_set.voters
            if replica.identity not in current_voters
        )

    def has_caught_up(self, identity: str) -> bool:
        """Return whether a replica lacks few enough entries to be promoted."""
        progress = self.progress.get(identity)
        if progress is None or not progress.match:
            return False
        return progress.match + MAX_PROMOTION_LAG >= self.log.last_index
