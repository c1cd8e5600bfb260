"""Consensus core: Raft with pre-vote, stickiness, check-quorum, leases.

Does no I/O. The shell feeds messages and time, and carries out each
`Ready` in order: store, sync, then send, then apply.

Chosen over a fixed-leader primary/backup pair and over Paxos per register;
see docs/design/consensus.md.
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

# Entries by which a learner may lag and still be made a voter.
MAX_PROMOTION_LAG = 64


class Role(enum.Enum):
    """What a replica is doing."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.define
class Raft:
    """One replica of the log."""

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
    # When each other replica was last heard, in any role.
    last_contact_at: dict[str, float] = attrs.Factory(dict)
    timer: electiontimer.ElectionTimer = attrs.field(init=False)
    heartbeat_at: float = 0.0
    # Commit index at the previous heartbeat.
    heartbeat_commit: int = 0
    leader_since: float = 0.0
    # From when the silence of a quorum counts, after this process stood still.
    quorum_check_since: float = 0.0
    # Last term whose election is over, with a leader or without.
    elected_term: int = 0
    term_start_index: int = 0
    votes: set[str] = attrs.Factory(set)
    # Why others refused their votes in the last campaign, by identity.
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
        # How the election of an earlier process's term ended is not known.
        self.elected_term = self.term

    # --- facts -----------------------------------------------------------

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.hard_state.term

    @property
    def replica_set(self) -> replicas.ReplicaSet:
        """Return the set in force, which is the newest in the log."""
        return self.log.replica_set()

    @property
    def is_leader(self) -> bool:
        """Return whether this replica leads."""
        return self.role is Role.LEADER

    @property
    def is_idle(self) -> bool:
        """Return whether it has neither heard a leader nor led since it began.

        When all voters are idle no lease can be in force: whoever held one
        has started again, too. They need not wait until it would have ended.
        After a loss of all power a leader stands that much sooner.
        """
        return not self.is_leader and self.timer.has_no_leader_since_start

    def has_leader_contact(self, now: float) -> bool:
        """Return whether it leads, or has heard its leader lately."""
        return self.is_leader or bool(
            self.leader and self.timer.has_recent_contact(now)
        )

    def peer_identities(self) -> list[str]:
        """Return the identities of all other replicas."""
        return [i for i in self.replica_set.by_identity() if i != self.identity]

    def has_lease(self, now: float) -> bool:
        """Return whether no other leader can exist now.

        Reads of the applied state are linearizable while this holds and an
        entry of the own term has been applied.
        """
        if not self.is_leader or self.applied < self.term_start_index:
            return False
        acked = {i: p.acked_at for i, p in self.progress.items()}
        acked[self.identity] = now
        lease_s = electiontimer.LEADER_LEASE_S
        return now < self.replica_set.quorum_value(acked) + lease_s

    # --- input -----------------------------------------------------------

    def take_ready(self) -> ready_lib.Ready:
        """Return the work for the shell and begin to collect anew."""
        for index in range(self.applied + 1, self.commit + 1):
            self.ready.committed.append(self.log.entry(index))
        self.applied = self.commit
        ready, self.ready = self.ready, ready_lib.Ready()
        return ready

    def tick(self, now: float) -> None:
        """Run the timers."""
        self.timer.start(now)
        if self.is_leader:
            self.check_quorum(now)
        if self.is_leader and now >= self.heartbeat_at:
            self.broadcast_appends(now)
        elif not self.is_leader and self.timer.has_timed_out(now):
            self.record_failed_election(now)
            self.campaign(True, now)

    def next_wake(self) -> float:
        """Return when `tick` is wanted next."""
        return self.heartbeat_at if self.is_leader else self.timer.election_at

    def propose(
        self, kind: log_lib.EntryKind, data: bytes, at: float, now: float
    ) -> int | None:
        """Append a command if leading; return its index."""
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
        """Send what was proposed since the last call, in one batch."""
        if not self.is_leader:
            return
        for identity in self.peer_identities():
            progress = self.progress[identity]
            # A replica that needs a snapshot is behind all the time; its
            # pieces go out on its answers and on heartbeats.
            first = self.log.snapshot.index + 1
            lacks = first <= progress.next_index <= self.log.last_index
            if lacks and progress.available_bytes:
                self.send_append(identity, now)

    def on_synced(self, index: int, now: float) -> None:
        """Count the own disk for what has been synced up to `index`."""
        if not self.is_leader:
            return
        own = self.progress[self.identity]
        own.match = max(own.match, index)
        self.advance_commit(now)

    def step(self, message: peers.PeerMessage, now: float) -> None:
        """Take a message from another replica."""
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
        """Change term or vote; both must be synced before any message."""
        if state != self.hard_state:
            self.hard_state = state
            self.ready.hard_state = state

    def become_follower(self, term: int, leader: str, now: float) -> None:
        """Follow, in this term or a later one."""
        if term > self.term:
            self.set_hard_state(ready_lib.HardState(term=term))
        if self.role is not Role.FOLLOWER:
            self.timer.reset(now)
        self.role = Role.FOLLOWER
        self.leader = leader
        self.progress = {}

    def transfer_leadership(self, now: float) -> None:
        """Stop leading, and let the voter that has most be elected at once.

        Nobody waits until it is noticed that the leader is gone: 0.6 s to
        1.2 s less without one. The lease ends before the message leaves, and
        the receiver stands only in the next term, so a message that comes
        late meets a term that has moved on and changes nothing.
        """
        if not self.is_leader:
            return
        heir = self.transfer_target(now)
        if heir:
            self.send(
                heir, peers.TakeOver(term=self.term, sender=self.identity)
            )
        self.become_follower(self.term, "", now)

    def transfer_target(self, now: float) -> str:
        """Return the other voter that has answered lately and has most."""
        answering = {
            identity: self.progress[identity].match
            for identity in self.replica_set.voter_identities()
            if identity != self.identity
            and now
            < self.progress[identity].acked_at + electiontimer.LEADER_LEASE_S
        }
        return max(answering, key=answering.__getitem__, default="")

    def record_failed_election(self, now: float) -> None:
        """Note a term that got this replica's vote and had no leader."""
        if self.hard_state.vote and self.elected_term < self.term:
            self.elected_term = self.term
            self.timer.record_failure(now)

    def on_take_over(self, message: peers.TakeOver, now: float) -> None:
        """Stand for election at once, as the leader asks."""
        if message.term == self.term and message.sender == self.leader:
            self.campaign(False, now, handed_over=True)

    def campaign(
        self,
        pre: bool,
        now: float,
        all_idle: bool = False,
        handed_over: bool = False,
    ) -> None:
        """Ask for votes, first only whether they would be given."""
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
        """Vote, or say whether a vote would be given."""
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
        """Return why a candidate gets no vote, None if it gets one."""
        least_term = self.term + 1 if message.pre else self.term
        if message.term < least_term:
            return peers.Refusal.TERM
        if not message.pre and self.hard_state.vote not in ("", message.sender):
            return peers.Refusal.VOTED
        return None if self.is_up_to_date(message) else peers.Refusal.LOG

    def is_up_to_date(self, message: peers.VoteRequest) -> bool:
        """Return whether a candidate's log has all that the own one has."""
        mark = (message.last_term, message.last_index)
        return mark >= (self.log.last_term, self.log.last_index)

    def is_leader_with_lease(self, now: float) -> bool:
        """Return whether this leader is surely still followed."""
        return self.has_lease(now)

    def reply_vote(
        self,
        message: peers.VoteRequest,
        refusal: peers.Refusal | None,
        idle: bool = False,
    ) -> None:
        """Answer a vote request."""
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
        """Count a vote."""
        wanted_role = Role.PRE_CANDIDATE if message.pre else Role.CANDIDATE
        wanted_term = self.term + 1 if message.pre else self.term
        if self.role is not wanted_role or message.asked_term != wanted_term:
            return
        if message.idle:
            self.idle.add(message.sender)
        if message.granted:
            self.votes.add(message.sender)
        elif message.refusal is not None:
            self.refusals[message.sender] = message.refusal
        self.count_votes(now)

    def count_votes(self, now: float) -> None:
        """Go on once a quorum has answered yes, or all that they are idle."""
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
        """Lead, and commit an entry of the own term first of all."""
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
        """Step down when a quorum has not answered for long.

        Time in which this process did not run does not count: what was
        answered meanwhile waits to be read.
        """
        heard = {i: p.heard_at for i, p in self.progress.items()}
        heard[self.identity] = now
        since = max(
            self.replica_set.quorum_value(heard),
            self.leader_since,
            self.quorum_check_since,
        )
        late_s = now - self.heartbeat_at
        if late_s > electiontimer.LATE_TICK_S:
            since = self.quorum_check_since = since + late_s
        bound_s = (
            electiontimer.ELECTION_TIMEOUT_MAX_S * self.timer.timeout_scale(now)
        )
        if now - since > bound_s:
            self.become_follower(self.term, "", now)

    # --- replication -----------------------------------------------------

    def send(self, to: str, message: peers.PeerMessage) -> None:
        """Queue a message for after the sync."""
        self.ready.messages.append(ready_lib.Outgoing(to=to, message=message))

    def append_as_leader(self, entry: log_lib.Entry, now: float) -> None:
        """Append an entry as leader."""
        self.log.append(entry)
        self.ready.entries.append(entry)
        if entry.kind is log_lib.EntryKind.REPLICAS:
            self.update_tracked_replicas(now)

    def update_tracked_replicas(self, now: float) -> None:
        """Keep progress of exactly the replicas in force."""
        by_identity = self.replica_set.by_identity()
        for identity in by_identity:
            if identity not in self.progress:
                self.progress[identity] = progress_lib.Progress(
                    since=now, next_index=self.log.last_index
                )
        for identity in set(self.progress) - set(by_identity) - {self.identity}:
            del self.progress[identity]

    def broadcast_appends(self, now: float) -> None:
        """Send a heartbeat, with entries where some are missing."""
        self.heartbeat_at = now + electiontimer.HEARTBEAT_INTERVAL_S
        for identity in self.peer_identities():
            progress = self.progress[identity]
            progress.record_commit(self.heartbeat_commit, now)
            progress.resend_if_timed_out(now)
            self.send_append(identity, now)
        self.heartbeat_commit = self.commit

    def send_append(self, identity: str, now: float) -> None:
        """Send entries from where a replica is, or the snapshot.

        Without room for entries it is a heartbeat, which also finds out
        whether those that are under way have arrived.
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
        """Take entries from the leader."""
        if message.term < self.term:
            self.reply_append(message, False, self.log.last_index)
            return
        self.on_leader_contact(message.sender, now)
        prev = message.prev_index
        if prev < self.log.snapshot.index:
            # Every leader has the same entries up to the commit index.
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
        """Note that the leader of the current term is alive."""
        if self.role is not Role.FOLLOWER or self.leader != leader:
            self.become_follower(self.term, leader, now)
        self.elected_term = self.term
        self.timer.on_leader_message(now, self.term)

    def append_entries(self, entries: tuple[log_lib.Entry, ...]) -> None:
        """Append what is new, dropping what contradicts it."""
        for entry in entries:
            known = self.log.term_at(entry.index)
            if known == entry.term:
                continue
            if known is not None:
                self.truncate_log_from(entry.index)
            self.log.append(entry)
            self.ready.entries.append(entry)

    def truncate_log_from(self, index: int) -> None:
        """Drop entries that a new leader does not have."""
        if index <= self.commit:
            raise errors.BrokenInvariantError(
                f"committed entry {index} would be dropped"
            )
        self.log.truncate_from(index)
        self.ready.entries = [e for e in self.ready.entries if e.index < index]
        earlier = self.ready.truncate_from
        self.ready.truncate_from = min(earlier, index) if earlier else index

    def reply_append(
        self, message: peers.Append, success: bool, match: int
    ) -> None:
        """Answer an append."""
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
        """Note how far a replica is and send more."""
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
        """Note up to where a replica is the same, and send what follows."""
        progress.record_match(match, now)
        self.advance_commit(now)
        # The response may have completed the sender's own removal.
        is_tracked = self.progress.get(sender) is progress
        lacks = progress.next_index <= self.log.last_index
        if is_tracked and lacks and progress.available_bytes:
            self.send_append(sender, now)

    def advance_commit(self, now: float) -> None:
        """Commit what a quorum has synced, of the own term only."""
        matches = {i: float(p.match) for i, p in self.progress.items()}
        reached = self.replica_set.quorum_value(matches)
        if reached <= self.commit or reached == float("-inf"):
            return
        index = int(reached)
        # An entry of an earlier term can be on a quorum and still be
        # dropped by a later leader.
        if self.log.term_at(index) != self.term:
            return
        self.commit = index
        self.on_commit_advanced(now)

    def on_commit_advanced(self, now: float) -> None:
        """Finish a change of replicas, or step down when not in it."""
        current = self.replica_set
        in_log = self.replica_set_index()
        if in_log > self.commit:
            return
        if current.is_joint:
            self.change_replicas(attrs.evolve(current, old_voters=()), now)
        elif self.identity not in current.voter_identities():
            self.become_follower(self.term, "", now)

    def replica_set_index(self) -> int:
        """Return the index of the set in force."""
        for entry in reversed(self.log.entries):
            if entry.kind is log_lib.EntryKind.REPLICAS:
                return entry.index
        return self.log.snapshot.index

    # --- snapshots -------------------------------------------------------

    def send_snapshot(
        self, identity: str, progress: progress_lib.Progress, now: float
    ) -> None:
        """Send the next piece of the newest snapshot, if one is due.

        Else an empty piece is the heartbeat, as the leader has no entries
        that the replica could be asked about.
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
        """Send up to `size` bytes of a snapshot from where a replica is."""
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
        """Collect a snapshot and install it when it is whole."""
        if message.term < self.term:
            return
        self.on_leader_contact(message.sender, now)
        meta = message.meta
        if meta.index <= self.commit:
            self.reply_snapshot(message, meta.size, True)
            return
        received = self.incoming.take(meta, message.offset, message.data)
        if received < meta.size:
            self.reply_snapshot(message, received, False)
            return
        self.install_snapshot(meta, self.incoming.finish())
        self.reply_snapshot(message, meta.size, True)

    def install_snapshot(self, meta: log_lib.SnapshotMeta, data: bytes) -> None:
        """Replace log and state by a snapshot."""
        self.log.restore(meta)
        self.commit = self.applied = meta.index
        self.ready.entries = []
        self.ready.truncate_from = 0
        self.ready.snapshot = meta
        self.ready.snapshot_data = data

    def reply_snapshot(
        self, message: peers.SnapshotChunk, received: int, done: bool
    ) -> None:
        """Say how much of a snapshot has arrived."""
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
        """Send the next piece, or go on with entries."""
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
        sending = progress.snapshot
        if sending is None or message.index != sending.index:
            return
        if progress.record_snapshot_received(message.received, now):
            size = progress_lib.MESSAGE_BYTES
            self.send_snapshot_chunk(message.sender, progress, size, now)

    def compact_log(self, meta: log_lib.SnapshotMeta) -> None:
        """Drop what a stored snapshot covers."""
        self.log.compact(meta)

    # --- replica set -----------------------------------------------------

    def change_replicas(self, wanted: replicas.ReplicaSet, now: float) -> bool:
        """Append a new replica set; False when another change runs.

        A change of voters goes through a joint set that needs a majority of
        both, so that a repair swaps a dead replica for a caught-up learner
        in one step and never passes through a smaller set.
        """
        if not self.is_leader or self.commit < self.term_start_index:
            return False
        current = self.replica_set
        if self.replica_set_index() > self.commit:
            return False
        if not current.is_joint and wanted.voters != current.voters:
            if not self.new_voters_have_caught_up(wanted):
                return False
            wanted = attrs.evolve(wanted, old_voters=current.voters)
        self.append_as_leader(
            log_lib.Entry(
                term=self.term,
                index=self.log.last_index + 1,
                kind=log_lib.EntryKind.REPLICAS,
                replica_set=wanted,
            ),
            now,
        )
        self.flush_appends(now)
        return True

    def new_voters_have_caught_up(self, wanted: replicas.ReplicaSet) -> bool:
        """Return whether every new voter has caught up as a learner."""
        known = self.replica_set.voter_identities()
        return all(
            self.has_caught_up(replica.identity)
            for replica in wanted.voters
            if replica.identity not in known
        )

    def has_caught_up(self, identity: str) -> bool:
        """Return whether a replica has most entries, and so may vote."""
        progress = self.progress.get(identity)
        if progress is None or not progress.match:
            return False
        return progress.match + MAX_PROMOTION_LAG >= self.log.last_index
