"""One replica: consensus, state, and while leading the hub; no sockets."""

import collections
from collections.abc import Callable
import random
import traceback

import attrs

from _coltsfootroad.control import commandlog
from _coltsfootroad.control import crashreports
from _coltsfootroad.control import fences
from _coltsfootroad.control import hub as hub_lib
from _coltsfootroad.control import log as log_lib
from _coltsfootroad.control import membership as membership_lib
from _coltsfootroad.control import messages
from _coltsfootroad.control import mirror as mirror_lib
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import peers
from _coltsfootroad.control import raft as raft_lib
from _coltsfootroad.control import reads
from _coltsfootroad.control import ready as ready_lib
from _coltsfootroad.control import replicas
from _coltsfootroad.control import retrylending
from _coltsfootroad.control import state as state_lib
from _coltsfootroad.control import storage as storage_lib
from _coltsfootroad.control import votermonitor
from _coltsfootroad.control import watching
from _coltsfootroad.core import errors

SNAPSHOT_ENTRIES = 4_096
# The log has to stay far below the memory and disk of a small VM, and holds
# complete versions of the routes.
SNAPSHOT_BYTES = 8 * 1024 * 1024
FULL_DISK_RETRY_S = 1.0
MAX_PENDING_COMMANDS = 10_000
# Faults that are kept until they are logged.
MAX_FAULTS = 100
Reply = Callable[[object], None]
Send = Callable[[str, peers.PeerMessage], None]

COMMANDS = (
    messages.PatchConfig,
    messages.PutRoutes,
    messages.TakeClaim,
    messages.SettleClaim,
    fences.TakeLease,
    fences.DropLease,
    crashreports.Quarantine,
    crashreports.StartTrial,
    crashreports.EndQuarantine,
)


@attrs.frozen
class CallFault:
    """A command that could not be applied, or a call without an answer.

    Attributes:
        index: The command's entry, None for a call.
        kind: Name of the message.
        fault: The trace of the error.
    """

    index: int | None
    kind: str
    fault: str


@attrs.define
class PendingCommand:
    """Somebody who waits for a proposed command to be applied."""

    term: int
    reply: Reply


@attrs.define
class ControlNode:
    """Runs one replica; the shell gives it messages, calls and time.

    Attributes:
        replica: Who this is.
        storage: Its disk.
        send: Sends a message to another replica; may lose it.
        wall: Returns unix seconds, for what must outlive processes.
    """

    replica: replicas.Replica
    storage: storage_lib.Storage
    send: Send
    wall_clock: Callable[[], float]
    rng: random.Random
    started_at: float = 0.0
    raft: raft_lib.Raft = attrs.field(init=False)
    state: state_lib.ControlState = attrs.field(init=False)
    hub: hub_lib.Hub | None = None
    # What it knows while another replica leads, and what it begins with.
    mirror: mirror_lib.Mirror = attrs.field()
    pending_commands: dict[int, PendingCommand] = attrs.Factory(dict)
    pending_ready: list[ready_lib.Ready] = attrs.Factory(list)
    blocked_until: float = 0.0
    snapshot_due_at: float = 0.0
    syncs: int = 0
    is_processing: bool = False
    log_bytes: int = 0
    faults: collections.deque[CallFault] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_FAULTS)
    )
    voter_monitor: votermonitor.VoterMonitor = attrs.field(init=False)
    # Why this replica, as leader, changed the set last; for the log.
    change_reason: str = ""
    membership: membership_lib.Membership = attrs.Factory(
        membership_lib.Membership
    )

    @mirror.default
    def _own_mirror(self):
        relay = watching.Relay(
            name=self.replica.name, incarnation=0, address=self.replica.address
        )
        return mirror_lib.Mirror(relay)

    def __attrs_post_init__(self):
        loaded = self.storage.load()
        self.state = state_lib.ControlState()
        if loaded.snapshot:
            self.state = state_lib.load(loaded.snapshot)
        self.raft = raft_lib.Raft(
            identity=self.replica.identity,
            rng=self.rng,
            log=loaded.log,
            hard_state=loaded.hard_state,
            reader=self.storage,
            started_at=self.started_at,
        )
        self.voter_monitor = votermonitor.VoterMonitor(self.raft)

    # --- time and messages -----------------------------------------------

    @property
    def is_blocked(self) -> bool:
        """Return whether a full disk keeps this replica from acting."""
        return bool(self.pending_ready)

    def bootstrap(self, now: float) -> bool:
        """Become the only voter of a new system; only on an empty disk."""
        if self.raft.log.last_index or self.raft.term:
            return False
        entry = log_lib.Entry(
            term=0,
            index=1,
            kind=log_lib.EntryKind.REPLICAS,
            replica_set=replicas.ReplicaSet(voters=(self.replica,)),
        )
        self.raft.log.append(entry)
        self.raft.ready.entries.append(entry)
        self.raft.timer.expire_now(now)
        self.tick(now)
        return True

    def tick(self, now: float) -> None:
        """Run the timers."""
        if not self.is_blocked:
            self.raft.tick(now)
            self.update_membership(now)
            self.convict_late(now)
        self.process(now)

    def next_wake(self) -> float:
        """Return when `tick` is wanted next."""
        return self.blocked_until if self.is_blocked else self.raft.next_wake()

    def on_peer(self, message: peers.PeerMessage, now: float) -> None:
        """Take a message from another replica."""
        if not self.is_blocked:
            self.raft.step(message, now)
            self.process(now)

    def process(self, now: float) -> None:
        """Store, sync, send and apply until there is nothing to do."""
        if self.is_processing:
            # A reply made while applying may lead to a call; the loop
            # below picks up what it proposed.
            return
        self.is_processing = True
        try:
            while self.process_next(now):
                pass
        finally:
            self.is_processing = False
        self.update_hub(now)

    def process_next(self, now: float) -> bool:
        """Carry out one `Ready`; return whether there may be another."""
        self.raft.flush_appends(now)
        if not self.pending_ready:
            ready = self.raft.take_ready()
            if ready.is_empty():
                return False
            self.pending_ready.append(ready)
        elif now < self.blocked_until:
            return False
        ready = self.pending_ready[0]
        if not self.persist(ready):
            self.blocked_until = now + FULL_DISK_RETRY_S
            return False
        self.pending_ready.clear()
        if ready.entries:
            self.raft.on_synced(ready.entries[-1].index, now)
        for outgoing in ready.messages:
            self.send(outgoing.to, outgoing.message)
        for entry in ready.committed:
            self.apply(entry)
        self.maybe_snapshot(now)
        return True

    def persist(self, ready: ready_lib.Ready) -> bool:
        """Store and sync; return False when the disk is full."""
        if not ready.must_sync():
            return True
        self.syncs += 1
        if ready.snapshot is not None:
            stored = self.storage.save_snapshot(
                ready.snapshot,
                ready.snapshot_data,
                self.raft.hard_state,
                tuple(ready.entries),
            )
            if stored.is_ok():
                self.state = state_lib.load(ready.snapshot_data)
            return stored.is_ok()
        batch = storage_lib.Batch(
            truncate_from=ready.truncate_from,
            entries=tuple(ready.entries),
            hard_state=ready.hard_state,
        )
        return self.storage.store(batch).is_ok()

    def apply(self, entry: log_lib.Entry) -> None:
        """Apply a committed entry and answer whoever waits for it."""
        self.log_bytes += len(entry.data)
        answer: object = outcomes.Done()
        if entry.kind is log_lib.EntryKind.COMMAND:
            command = commandlog.unpack(entry.data)
            if command.is_error():
                raise errors.BrokenInvariantError(command.error.message)
            answer = self.apply_command(command.ok, entry)
        waiter = self.pending_commands.pop(entry.index, None)
        if waiter is None:
            return
        if waiter.term == entry.term:
            waiter.reply(answer)
        else:
            waiter.reply(unavailable("another leader took over"))

    def apply_command(self, command: object, entry: log_lib.Entry) -> object:
        """Apply a command; one that fails is skipped by every replica.

        Otherwise it would end each replica that applies it, again after each
        start.
        """
        try:
            return self.state.apply(command, entry.at)
        except errors.BrokenInvariantError:
            raise
        except Exception:  # noqa: BLE001
            return self.refuse_after_fault(command, entry.index)

    def answer_read(self, message: object, now: float) -> object:
        """Answer a call that changes nothing durable; refuse it on a fault.

        Otherwise a caller would end each replica that leads in turn.
        """
        try:
            return reads.answer(self, message, now)
        except errors.BrokenInvariantError:
            raise
        except Exception:  # noqa: BLE001
            return self.refuse_after_fault(message, None)

    def refuse_after_fault(
        self, message: object, index: int | None
    ) -> outcomes.Refused:
        """Keep the present error for the log, and refuse as internal."""
        name = type(message).__name__
        self.faults.append(CallFault(index, name, traceback.format_exc()))
        return outcomes.Refused(
            failure=errors.Failure(
                errors.ErrorCode.INTERNAL,
                f"{name} failed; the log of the replica says why",
            )
        )

    def maybe_snapshot(self, now: float) -> None:
        """Save a snapshot when the log has grown long."""
        raft = self.raft
        grown = raft.applied - raft.log.snapshot.index
        if grown < SNAPSHOT_ENTRIES and self.log_bytes < SNAPSHOT_BYTES:
            return
        if now < self.snapshot_due_at:
            return
        data = state_lib.save(self.state)
        meta = log_lib.SnapshotMeta(
            index=raft.applied,
            term=raft.log.term_at(raft.applied),
            replica_set=raft.log.replica_set_at(raft.applied),
            size=len(data),
        )
        keep = raft.log.slice(raft.applied + 1, 1 << 40)
        unstored = {entry.index for entry in raft.ready.entries}
        stored = tuple(e for e in keep if e.index not in unstored)
        saved = self.storage.save_snapshot(meta, data, raft.hard_state, stored)
        if saved.is_ok():
            self.log_bytes = 0
            raft.compact_log(meta)
        else:
            self.snapshot_due_at = now + FULL_DISK_RETRY_S

    def update_hub(self, now: float) -> None:
        """Keep a hub exactly while leading."""
        ready = self.raft.is_leader and (
            self.raft.applied >= self.raft.term_start_index
        )
        if ready and self.hub is None:
            self.hub = self.create_hub(now)
        elif ready:
            self.hub.publish_quarantine(now)
        elif not ready and self.hub is not None:
            self.mirror.step_down(self.hub.heard_since, now)
            self.hub = None
        if not self.raft.is_leader and self.pending_commands:
            self.fail_pending_commands()

    def create_hub(self, now: float) -> hub_lib.Hub:
        """Return the hub of a new leader, which goes on from a good copy."""
        heard_since = self.mirror.heard_since
        if not self.mirror.is_good(now):
            self.mirror.book.clear()
            heard_since = now
        hub = hub_lib.Hub(
            epoch=f"{self.replica.identity}/{self.raft.term}",
            state=self.state,
            started_at=now,
            book=self.mirror.book,
            heard_since=heard_since,
        )
        hub.take_relay(self.mirror.relay, hub_lib.NEVER)
        return hub

    def fail_pending_commands(self) -> None:
        """Tell those who wait that the outcome is not known here."""
        pending_commands, self.pending_commands = self.pending_commands, {}
        for waiter in pending_commands.values():
            waiter.reply(unavailable("this replica stopped leading"))

    # --- calls -----------------------------------------------------------

    def call(self, message: object, now: float, reply: Reply) -> None:
        """Carry out a call; `reply` is called once, now or later."""
        if isinstance(message, messages.ReplicaHello):
            reply(self.info())
        elif isinstance(message, COMMANDS):
            self.propose(message, now, reply)
        elif self.hub is None or not self.raft.has_lease(now):
            reply(outcomes.NotLeader(hint=self.leader_address()))
        elif isinstance(message, messages.ChangeReplicas):
            self.change_replicas(message, now, reply)
        elif isinstance(message, messages.JoinReplica):
            self.join(message, reply, now)
        elif isinstance(message, messages.LeaveReplica):
            self.leave(message, reply, now)
        elif isinstance(message, crashreports.ReportCrashes):
            self.take_crashes(message, reply, now)
        elif isinstance(message, retrylending.BorrowRetries):
            reply(self.hub.retry_lender.lend(message, now))
        else:
            reply(self.answer_read(message, now))

    def take_crashes(
        self, report: crashreports.ReportCrashes, reply: Reply, now: float
    ) -> None:
        """Take a gateway's report of crashes and replicate what follows.

        A conviction that cannot be replicated now follows again from the next
        report.
        """
        for command in self.hub.take_crashes(report, now):
            self.propose(command, now, discard_reply)
        reply(outcomes.Done())

    def convict_late(self, now: float) -> None:
        """Replicate what crashes prove some time after their reports."""
        if self.hub is None or not self.raft.has_lease(now):
            return
        for command in self.hub.convict_late(now):
            self.propose(command, now, discard_reply)

    def propose(self, command: object, now: float, reply: Reply) -> None:
        """Replicate a command; the reply comes once it is applied."""
        if not self.membership.is_complete(self.raft.replica_set):
            reply(unavailable("the replicas have not all joined yet"))
            return
        if self.is_blocked:
            reply(unavailable("the disk of the leader is full"))
            return
        if len(self.pending_commands) >= MAX_PENDING_COMMANDS:
            reply(unavailable("too many commands wait for the disk"))
            return
        index = self.raft.propose(
            log_lib.EntryKind.COMMAND,
            commandlog.pack(command),
            self.wall_clock(),
            now,
        )
        if index is None:
            reply(outcomes.NotLeader(hint=self.leader_address()))
            return
        # The shell calls `process` once per turn of the loop, so that
        # commands that arrive together share one sync.
        self.pending_commands[index] = PendingCommand(self.raft.term, reply)

    def change_replicas(
        self, message: messages.ChangeReplicas, now: float, reply: Reply
    ) -> None:
        """Change the set of replicas, if nothing speaks against it."""
        current = self.raft.replica_set
        wanted = membership_lib.requested_set(current, message)
        if wanted.is_error():
            reply(outcomes.Refused(failure=wanted.error))
        elif wanted.ok == current:
            reply(outcomes.Done())
        elif self.raft.change_replicas(wanted.ok, now):
            self.change_reason = message.reason or "asked for by an operator"
            index = self.raft.log.last_index
            self.pending_commands[index] = PendingCommand(self.raft.term, reply)
            self.process(now)
        else:
            reply(
                unavailable(
                    "another change is under way or the new voter has not"
                    " caught up; try again"
                )
            )

    def join(
        self, message: messages.JoinReplica, reply: Reply, now: float
    ) -> None:
        """Let a replica learn; it gets a vote once it has caught up."""
        current = self.raft.replica_set
        fault = self.membership.join_refusal(
            message.replica, current, self.voter_monitor.reply_ages(now)
        )
        if fault:
            failure = errors.Failure(errors.ErrorCode.BAD_REQUEST, fault)
            reply(outcomes.Refused(failure=failure))
            return
        change = self.membership.plan_learner(message.replica, current)
        if change is None:
            reply(outcomes.Done())
        else:
            self.change_replicas(change, now, reply)

    def leave(
        self, message: messages.LeaveReplica, reply: Reply, now: float
    ) -> None:
        """Take the vote of a replica that stops, where it can be spared."""
        change = self.membership.plan_leave(
            message.replica,
            self.raft.replica_set,
            self.voter_monitor.reply_ages(now),
        )
        if change is None:
            reply(outcomes.Done())
        else:
            self.change_replicas(change, now, reply)

    def transfer_leadership(self, now: float) -> None:
        """Stop leading, if this replica does, in favour of another one."""
        if self.raft.peer_identities() and not self.is_blocked:
            self.raft.transfer_leadership(now)
            self.process(now)

    def update_membership(self, now: float) -> None:
        """As leader, let learners vote and take out who has fallen silent."""
        self.voter_monitor.tick(now)
        current = self.raft.replica_set
        if not self.raft.has_lease(now) or current.is_joint:
            return
        reply_ages = self.voter_monitor.reply_ages(now)
        caught_up = {
            learner.identity
            for learner in current.learners
            if self.raft.has_caught_up(learner.identity)
        }
        change = self.membership.plan_promotion(current, reply_ages, caught_up)
        if change is None:
            change = self.membership.plan_removal(current, reply_ages)
        if change is not None:
            self.change_replicas(change, now, discard_reply)

    # --- facts -----------------------------------------------------------

    def replica_addresses(self) -> tuple[str, ...]:
        """Return the addresses of all replicas."""
        known = self.raft.replica_set.by_identity().values()
        return tuple(replica.address for replica in known)

    def info(self) -> messages.ReplicaInfo:
        """Return who this is and where it stands."""
        return messages.ReplicaInfo(
            replica=self.replica,
            role=self.raft.role.value,
            term=self.raft.term,
            last_index=self.raft.log.last_index,
            commit=self.raft.commit,
            leader=self.leader_address(),
            version=self.state.configs.version,
        )

    def leader_address(self) -> str:
        """Return the address of the leader as far as it is known."""
        known = self.raft.replica_set.by_identity().get(self.raft.leader)
        return known.address if known is not None else ""


def discard_reply(_: object) -> None:
    """Drop an answer that nobody waits for; the step is tried again."""


def unavailable(reason: str) -> outcomes.Refused:
    """Return the refusal of a call that may be tried again."""
    return outcomes.Refused(
        failure=errors.Failure(
            errors.ErrorCode.UNAVAILABLE, reason, errors.Ran.UNKNOWN, 0.5
        )
    )
