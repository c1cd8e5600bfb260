"""One replica of the control plane, without network I/O.

Combines consensus, storage, the state machine and, while leading, the
coordinator.
"""

import collections
from collections.abc import Callable
import contextlib
import random
import traceback

import attrs

from _coltsfootroad.control import commandlog
from _coltsfootroad.control import coordinator as coordinator_lib
from _coltsfootroad.control import crashreports
from _coltsfootroad.control import evacuations
from _coltsfootroad.control import fences
from _coltsfootroad.control import log as log_lib
from _coltsfootroad.control import membership as membership_lib
from _coltsfootroad.control import messages
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
from _coltsfootroad.control import watchcache
from _coltsfootroad.control import watching
from _coltsfootroad.core import errors

# Size of the log at which a snapshot is saved. The log holds complete versions
# of the routes and has to stay far below the memory and disk of a small VM.
SNAPSHOT_ENTRIES = 4_096
SNAPSHOT_BYTES = 8 * 1024 * 1024
FULL_DISK_RETRY_S = 1.0
MAX_PENDING_COMMANDS = 10_000
# Maximum number of faults kept until they are logged.
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
    evacuations.SetEvacuation,
)


@attrs.frozen
class CallFault:
    """An exception raised while a command was applied or a call answered.

    Attributes:
        index: Index of the command's log entry, None for a call.
        kind: Class name of the message.
        fault: Traceback of the exception.
    """

    index: int | None
    kind: str
    fault: str


@attrs.define
class PendingCommand:
    """A proposed command whose reply is sent once it is applied.

    Attributes:
        term: Term in which it was proposed.
        reply: Called once with the reply.
    """

    term: int
    reply: Reply


@attrs.define
class ControlNode:
    """Runs one replica; the caller passes in messages, calls and the time.

    Attributes:
        replica: Name, disk and address of this replica.
        storage: Its durable storage.
        send: Sends a message to another replica, which may be lost.
        wall_clock: Returns unix seconds, for times that outlive a process.
        rng: Randomizes election timeouts.
        started_at: When the process started.
        raft: Consensus state.
        state: State machine that committed commands are applied to.
        coordinator: Live state of the fleet, only while leading.
        watch_cache: Copy of the leader's fleet state, from which the
            coordinator of a new leader starts.
        pending_commands: Commands that wait to be applied, by log index.
        pending_ready: The `Ready` that could not be stored on a full disk.
        blocked_until: When a full disk is tried again.
        snapshot_due_at: When a snapshot that failed is tried again.
        syncs: Number of syncs, for the metrics.
        is_processing: Whether `process` is running.
        log_bytes: Size of the commands applied since the last snapshot.
        faults: Faults that are not logged yet.
        voter_monitor: Availability of the other voters.
        change_reason: Reason of this leader's last membership change, for the
            log.
        membership: Plans membership changes.
    """

    replica: replicas.Replica
    storage: storage_lib.Storage
    send: Send
    wall_clock: Callable[[], float]
    rng: random.Random
    started_at: float = 0.0
    raft: raft_lib.Raft = attrs.field(init=False)
    state: state_lib.ControlState = attrs.field(init=False)
    coordinator: coordinator_lib.Coordinator | None = None
    watch_cache: watchcache.WatchCache = attrs.field()
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
    change_reason: str = ""
    membership: membership_lib.Membership = attrs.Factory(
        membership_lib.Membership
    )

    @watch_cache.default
    def _own_watch_cache(self):
        relay = watching.Relay(
            name=self.replica.name, incarnation=0, address=self.replica.address
        )
        return watchcache.WatchCache(relay)

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
        """Return whether this replica is waiting for space on its disk."""
        return bool(self.pending_ready)

    def bootstrap(self, now: float) -> bool:
        """Create a new system with this replica as its only voter.

        Returns False, without a change, if the storage is not empty.
        """
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
        """Run the Raft timers and plan membership changes."""
        if not self.is_blocked:
            self.raft.tick(now)
            self.update_membership(now)
            self.quarantine_delayed(now)
        self.process(now)

    def next_wake(self) -> float:
        """Return when `tick` is due next."""
        return self.blocked_until if self.is_blocked else self.raft.next_wake()

    def on_peer(self, message: peers.PeerMessage, now: float) -> None:
        """Handle a message from another replica."""
        if not self.is_blocked:
            self.raft.step(message, now)
            self.process(now)

    def process(self, now: float) -> None:
        """Store, sync, send and apply until there is no more work."""
        if self.is_processing:
            # A reply during `apply` may trigger a call. The running loop
            # processes the command that it proposes.
            return
        self.is_processing = True
        try:
            while self.process_next(now):
                pass
        finally:
            self.is_processing = False
        self.update_coordinator(now)

    def process_next(self, now: float) -> bool:
        """Carry out one `Ready`; return whether there may be more work."""
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
        """Store and sync a `Ready`; return False if the disk is full."""
        if not ready.must_sync():
            return True
        self.syncs += 1
        if ready.snapshot is not None:
            # Not after it is stored: unreadable data would end each start.
            state = state_lib.load(ready.snapshot_data)
            stored = self.storage.save_snapshot(
                ready.snapshot,
                ready.snapshot_data,
                self.raft.hard_state,
                tuple(ready.entries),
            )
            if stored.is_ok():
                self.state = state
            return stored.is_ok()
        batch = storage_lib.Batch(
            truncate_from=ready.truncate_from,
            entries=tuple(ready.entries),
            hard_state=ready.hard_state,
        )
        return self.storage.store(batch).is_ok()

    def apply(self, entry: log_lib.Entry) -> None:
        """Apply a committed entry and reply to its pending command."""
        self.log_bytes += len(entry.data)
        answer: object = outcomes.Done()
        if entry.kind is log_lib.EntryKind.COMMAND:
            command = commandlog.unpack(entry.data)
            if command.is_error():
                raise errors.BrokenInvariantError(command.error.message)
            answer = self.apply_command(command.ok, entry)
        pending = self.pending_commands.pop(entry.index, None)
        if pending is None:
            return
        if pending.term == entry.term:
            pending.reply(answer)
        else:
            pending.reply(unavailable("another leader took over"))

    def apply_command(self, command: object, entry: log_lib.Entry) -> object:
        """Apply a command; skip it on an exception, as every replica does.

        Otherwise it would terminate each replica that applies it, and again
        after each restart.
        """
        try:
            return self.state.apply(command, entry.at)
        except errors.BrokenInvariantError:
            raise
        except Exception:  # noqa: BLE001
            return self.refuse_after_fault(command, entry.index)

    def refuse_after_fault(
        self, message: object, index: int | None
    ) -> outcomes.Refused:
        """Record the current exception for the log; return the refusal."""
        name = type(message).__name__
        self.faults.append(CallFault(index, name, traceback.format_exc()))
        return outcomes.Refused(
            failure=errors.Failure(
                errors.ErrorCode.INTERNAL,
                f"{name} failed; the log of the replica says why",
            )
        )

    def maybe_snapshot(self, now: float) -> None:
        """Save a snapshot and compact the log if it has grown too large."""
        raft = self.raft
        applied_entries = raft.applied - raft.log.snapshot.index
        if (
            applied_entries < SNAPSHOT_ENTRIES
            and self.log_bytes < SNAPSHOT_BYTES
        ):
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

    def update_coordinator(self, now: float) -> None:
        """Create the coordinator when leading begins, drop it when it ends."""
        ready = self.raft.is_leader and (
            self.raft.applied >= self.raft.term_start_index
        )
        if ready and self.coordinator is None:
            self.coordinator = self.create_coordinator(now)
        elif ready:
            self.coordinator.publish_quarantine(now)
            self.coordinator.publish_evacuation()
        elif not ready and self.coordinator is not None:
            self.watch_cache.step_down(self.coordinator.registry_since, now)
            self.coordinator = None
        if not self.raft.is_leader and self.pending_commands:
            self.fail_pending_commands()

    def create_coordinator(self, now: float) -> coordinator_lib.Coordinator:
        """Return the coordinator of a new leader.

        It continues from the watch cache if that is fresh.
        """
        registry_since = self.watch_cache.registry_since
        if not self.watch_cache.is_fresh(now):
            self.watch_cache.fleet_state.clear()
            registry_since = now
        coordinator = coordinator_lib.Coordinator(
            epoch=f"{self.replica.identity}/{self.raft.term}",
            state=self.state,
            started_at=now,
            fleet_state=self.watch_cache.fleet_state,
            registry_since=registry_since,
        )
        coordinator.update_relay(self.watch_cache.relay, coordinator_lib.NEVER)
        return coordinator

    def fail_pending_commands(self) -> None:
        """Reply to all pending commands that their outcome is unknown."""
        pending_commands, self.pending_commands = self.pending_commands, {}
        for pending in pending_commands.values():
            pending.reply(unavailable("this replica stopped leading"))

    # --- calls -----------------------------------------------------------

    def call(self, message: object, now: float, reply: Reply) -> None:
        """Handle a call; `reply` is called once, now or later.

        Refuses the call on an exception outside of Raft. Otherwise a call that
        is sent again would terminate one replica after another.
        """
        try:
            self.dispatch(message, now, reply)
        except errors.BrokenInvariantError:
            raise
        except Exception:  # noqa: BLE001
            reply(self.refuse_after_fault(message, None))

    def dispatch(self, message: object, now: float, reply: Reply) -> None:
        """Pass a call to its handler."""
        if isinstance(message, messages.ReplicaHello):
            reply(self.info())
        elif isinstance(message, COMMANDS):
            self.propose(message, now, reply)
        elif self.coordinator is None or not self.raft.has_lease(now):
            reply(outcomes.NotLeader(hint=self.leader_address()))
        elif isinstance(message, messages.ChangeReplicas):
            self.change_replicas(message, now, reply)
        elif isinstance(message, messages.JoinReplica):
            self.join(message, reply, now)
        elif isinstance(message, messages.LeaveReplica):
            self.leave(message, reply, now)
        elif isinstance(message, crashreports.ReportCrashes):
            self.record_crashes(message, reply, now)
        elif isinstance(message, retrylending.BorrowRetries):
            reply(self.coordinator.retry_lender.lend(message, now))
        else:
            reply(reads.answer(self, message, now))

    def record_crashes(
        self, report: crashreports.ReportCrashes, reply: Reply, now: float
    ) -> None:
        """Handle a gateway's crash report and propose resulting quarantines.

        A quarantine that cannot be replicated now is proposed again with the
        next report.
        """
        for command in self.coordinator.record_crashes(report, now):
            self.propose(command, now, discard_reply)
        reply(outcomes.Done())

    def quarantine_delayed(self, now: float) -> None:
        """Propose quarantines that become due some time after a report."""
        if self.coordinator is None or not self.raft.has_lease(now):
            return
        for command in self.coordinator.quarantine_delayed(now):
            self.propose(command, now, discard_reply)

    def propose(self, command: object, now: float, reply: Reply) -> None:
        """Propose a command; reply once it is applied."""
        if not self.membership.is_complete(self.raft.replica_set):
            joined = len(self.raft.replica_set.voters)
            needed = self.membership.required_voters
            reply(
                unavailable(f"{joined} of {needed} needed replicas have joined")
            )
            return
        if self.is_blocked:
            reply(unavailable("the disk of the leader is full"))
            return
        if len(self.pending_commands) >= MAX_PENDING_COMMANDS:
            reply(unavailable("too many commands wait for the disk"))
            return
        if not self.raft.is_leader:
            reply(outcomes.NotLeader(hint=self.leader_address()))
            return
        packed = commandlog.pack(command)
        if packed.is_error():
            reply(outcomes.Refused(failure=packed.error))
            return
        with faults_end_process():
            index = self.raft.propose(
                log_lib.EntryKind.COMMAND, packed.ok, self.wall_clock(), now
            )
        # The caller runs `process` once per iteration of the event loop, so
        # that commands that arrive together share one sync.
        self.pending_commands[index] = PendingCommand(self.raft.term, reply)

    def change_replicas(
        self, message: messages.ChangeReplicas, now: float, reply: Reply
    ) -> None:
        """Propose a membership change, or refuse an invalid one."""
        current = self.raft.replica_set
        target_set = membership_lib.requested_set(current, message)
        if target_set.is_error():
            reply(outcomes.Refused(failure=target_set.error))
        elif target_set.ok == current:
            reply(outcomes.Done())
        elif self.append_replica_set(target_set.ok, message.reason, reply, now):
            with faults_end_process():
                self.process(now)
        else:
            reply(
                unavailable(
                    "another change is under way or the new voter has not"
                    " caught up; try again"
                )
            )

    def append_replica_set(
        self,
        target_set: replicas.ReplicaSet,
        reason: str,
        reply: Reply,
        now: float,
    ) -> bool:
        """Append a replica set to the log; return False if Raft refuses it."""
        with faults_end_process():
            if not self.raft.change_replicas(target_set, now):
                return False
        self.change_reason = reason or "requested by an operator"
        index = self.raft.log.last_index
        self.pending_commands[index] = PendingCommand(self.raft.term, reply)
        return True

    def join(
        self, message: messages.JoinReplica, reply: Reply, now: float
    ) -> None:
        """Add a replica as a learner, which is promoted once it caught up."""
        current = self.raft.replica_set
        reason = self.membership.join_refusal(
            message.replica, current, self.voter_monitor.reply_ages(now)
        )
        if reason:
            failure = errors.Failure(errors.ErrorCode.BAD_REQUEST, reason)
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
        """Remove a voter that is stopping, unless it is to be kept."""
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
        """Transfer the leadership to another replica, if this one leads."""
        if self.raft.peer_identities() and not self.is_blocked:
            self.raft.transfer_leadership(now)
            self.process(now)

    def update_membership(self, now: float) -> None:
        """As leader, promote learners and remove unresponsive replicas."""
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

    # --- state -----------------------------------------------------------

    def replica_addresses(self) -> tuple[str, ...]:
        """Return the addresses of all replicas."""
        members = self.raft.replica_set.by_identity().values()
        return tuple(replica.address for replica in members)

    def info(self) -> messages.ReplicaInfo:
        """Return the identity, role and log position of this replica."""
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
        """Return the address of the known leader, empty for none."""
        leader = self.raft.replica_set.by_identity().get(self.raft.leader)
        return leader.address if leader is not None else ""


@contextlib.contextmanager
def faults_end_process():
    """Raise `BrokenInvariantError` for any exception in a Raft step.

    It ends the process: an incomplete step leaves a state in memory that the
    disk does not hold.
    """
    try:
        yield
    except errors.BrokenInvariantError:
        raise
    except Exception as error:
        raise errors.BrokenInvariantError(
            f"a step of Raft failed: {error!r}"
        ) from error


def discard_reply(_: object) -> None:
    """Ignore the reply to a command that is proposed again on failure."""


def unavailable(reason: str) -> outcomes.Refused:
    """Return the refusal of a call that may be retried."""
    return outcomes.Refused(
        failure=errors.Failure(
            errors.ErrorCode.UNAVAILABLE, reason, errors.Ran.UNKNOWN, 0.5
        )
    )
