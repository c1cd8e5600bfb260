"""One replica: consensus, state, and while leading the hub; no sockets."""

import collections
from collections.abc import Callable
import random
import traceback

import attrs

from _coltsfootroad.control import commandlog
from _coltsfootroad.control import coordinator as coordinator_lib
from _coltsfootroad.control import crashreports
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
from _coltsfootroad.control import voterwatch
from _coltsfootroad.control import watchcache
from _coltsfootroad.control import watching
from _coltsfootroad.core import errors

SNAPSHOT_EVERY = 4_096
# The log has to stay far below the memory and disk of a small VM, and holds
# complete versions of the routes.
SNAPSHOT_BYTES = 8 * 1024 * 1024
FULL_DISK_RETRY_S = 1.0
MAX_WAITING = 10_000
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
class RefusedByFault:
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
class Waiter:
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
    wall: Callable[[], float]
    rng: random.Random
    started_at: float = 0.0
    raft: raft_lib.Raft = attrs.field(init=False)
    state: state_lib.ControlState = attrs.field(init=False)
    coordinator: coordinator_lib.Coordinator | None = None
    # What it knows while another replica leads, and what it begins with.
    watch_cache: watchcache.WatchCache = attrs.field()
    waiters: dict[int, Waiter] = attrs.Factory(dict)
    pending: list[ready_lib.Ready] = attrs.Factory(list)
    blocked_until: float = 0.0
    snapshot_due_at: float = 0.0
    syncs: int = 0
    in_process: bool = False
    log_bytes: int = 0
    faults: collections.deque[RefusedByFault] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_FAULTS)
    )
    watch: voterwatch.VoterWatch = attrs.field(init=False)
    # Why this replica, as leader, changed the set last; for the log.
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
        self.watch = voterwatch.VoterWatch(self.raft)

    # --- time and messages -----------------------------------------------

    @property
    def is_blocked(self) -> bool:
        """Return whether a full disk keeps this replica from acting."""
        return bool(self.pending)

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
        self.raft.timer.stand_at_once(now)
        self.tick(now)
        return True

    def tick(self, now: float) -> None:
        """Run the timers."""
        if not self.is_blocked:
            self.raft.tick(now)
            self.tend_replicas(now)
            self.quarantine_delayed(now)
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
        if self.in_process:
            # A reply made while applying may lead to a call; the loop
            # below picks up what it proposed.
            return
        self.in_process = True
        try:
            while self.process_one(now):
                pass
        finally:
            self.in_process = False
        self.update_coordinator(now)

    def process_one(self, now: float) -> bool:
        """Carry out one `Ready`; return whether there may be another."""
        self.raft.flush_appends(now)
        if not self.pending:
            ready = self.raft.take_ready()
            if ready.is_empty():
                return False
            self.pending.append(ready)
        elif now < self.blocked_until:
            return False
        ready = self.pending[0]
        if not self.persist(ready):
            self.blocked_until = now + FULL_DISK_RETRY_S
            return False
        self.pending.clear()
        if ready.entries:
            self.raft.synced(ready.entries[-1].index, now)
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
        waiter = self.waiters.pop(entry.index, None)
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
            return self.refuse_by_fault(command, entry.index)

    def answer_read(self, message: object, now: float) -> object:
        """Answer a call that changes nothing durable; refuse it on a fault.

        Otherwise a caller would end each replica that leads in turn.
        """
        try:
            return reads.answer(self, message, now)
        except errors.BrokenInvariantError:
            raise
        except Exception:  # noqa: BLE001
            return self.refuse_by_fault(message, None)

    def refuse_by_fault(
        self, message: object, index: int | None
    ) -> outcomes.Refused:
        """Keep the present error for the log, and refuse as internal."""
        name = type(message).__name__
        self.faults.append(RefusedByFault(index, name, traceback.format_exc()))
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
        if grown < SNAPSHOT_EVERY and self.log_bytes < SNAPSHOT_BYTES:
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
            raft.compacted(meta)
        else:
            self.snapshot_due_at = now + FULL_DISK_RETRY_S

    def update_coordinator(self, now: float) -> None:
        """Keep a hub exactly while leading."""
        ready = self.raft.is_leader and (
            self.raft.applied >= self.raft.term_start
        )
        if ready and self.coordinator is None:
            self.coordinator = self.take_over(now)
        elif ready:
            self.coordinator.publish_quarantine(now)
        elif not ready and self.coordinator is not None:
            self.watch_cache.step_down(self.coordinator.registry_since, now)
            self.coordinator = None
        if not self.raft.is_leader and self.waiters:
            self.fail_waiters()

    def take_over(self, now: float) -> coordinator_lib.Coordinator:
        """Return the hub of a new leader, which goes on from a good copy."""
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

    def fail_waiters(self) -> None:
        """Tell those who wait that the outcome is not known here."""
        waiters, self.waiters = self.waiters, {}
        for waiter in waiters.values():
            waiter.reply(unavailable("this replica stopped leading"))

    # --- calls -----------------------------------------------------------

    def call(self, message: object, now: float, reply: Reply) -> None:
        """Carry out a call; `reply` is called once, now or later."""
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
            reply(self.answer_read(message, now))

    def record_crashes(
        self, report: crashreports.ReportCrashes, reply: Reply, now: float
    ) -> None:
        """Take a gateway's report of crashes and replicate what follows.

        A conviction that cannot be replicated now follows again from the next
        report.
        """
        for command in self.coordinator.record_crashes(report, now):
            self.propose(command, now, ignore_reply)
        reply(outcomes.Done())

    def quarantine_delayed(self, now: float) -> None:
        """Replicate what crashes prove some time after their reports."""
        if self.coordinator is None or not self.raft.has_lease(now):
            return
        for command in self.coordinator.quarantine_delayed(now):
            self.propose(command, now, ignore_reply)

    def propose(self, command: object, now: float, reply: Reply) -> None:
        """Replicate a command; the reply comes once it is applied."""
        if not self.membership.is_complete(self.raft.replica_set):
            reply(unavailable("the replicas have not all joined yet"))
            return
        if self.is_blocked:
            reply(unavailable("the disk of the leader is full"))
            return
        if len(self.waiters) >= MAX_WAITING:
            reply(unavailable("too many commands wait for the disk"))
            return
        index = self.raft.propose(
            log_lib.EntryKind.COMMAND,
            commandlog.pack(command),
            self.wall(),
            now,
        )
        if index is None:
            reply(outcomes.NotLeader(hint=self.leader_address()))
            return
        # The shell calls `process` once per turn of the loop, so that
        # commands that arrive together share one sync.
        self.waiters[index] = Waiter(self.raft.term, reply)

    def change_replicas(
        self, message: messages.ChangeReplicas, now: float, reply: Reply
    ) -> None:
        """Change the set of replicas, if nothing speaks against it."""
        current = self.raft.replica_set
        wanted = membership_lib.wanted_set(current, message)
        if wanted.is_error():
            reply(outcomes.Refused(failure=wanted.error))
        elif wanted.ok == current:
            reply(outcomes.Done())
        elif self.raft.change_replicas(wanted.ok, now):
            self.change_reason = message.reason or "asked for by an operator"
            index = self.raft.log.last_index
            self.waiters[index] = Waiter(self.raft.term, reply)
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
        fault = self.membership.unfit(
            message.replica, current, self.watch.silences(now)
        )
        if fault:
            failure = errors.Failure(errors.ErrorCode.BAD_REQUEST, fault)
            reply(outcomes.Refused(failure=failure))
            return
        change = self.membership.to_learn(message.replica, current)
        if change is None:
            reply(outcomes.Done())
        else:
            self.change_replicas(change, now, reply)

    def leave(
        self, message: messages.LeaveReplica, reply: Reply, now: float
    ) -> None:
        """Take the vote of a replica that stops, where it can be spared."""
        change = self.membership.to_leave(
            message.replica, self.raft.replica_set, self.watch.silences(now)
        )
        if change is None:
            reply(outcomes.Done())
        else:
            self.change_replicas(change, now, reply)

    def hand_over(self, now: float) -> None:
        """Stop leading, if this replica does, in favour of another one."""
        if self.raft.others() and not self.is_blocked:
            self.raft.hand_over(now)
            self.process(now)

    def tend_replicas(self, now: float) -> None:
        """As leader, let learners vote and take out who has fallen silent."""
        self.watch.tick(now)
        current = self.raft.replica_set
        if not self.raft.has_lease(now) or current.is_joint:
            return
        silences = self.watch.silences(now)
        caught_up = {
            learner.identity
            for learner in current.learners
            if self.raft.has_caught_up(learner.identity)
        }
        change = self.membership.to_promote(current, silences, caught_up)
        if change is None:
            change = self.membership.to_remove(current, silences)
        if change is not None:
            self.change_replicas(change, now, ignore_reply)

    # --- facts -----------------------------------------------------------

    def replica_addresses(self) -> tuple[str, ...]:
        """Return the addresses of all replicas."""
        known = self.raft.replica_set.everyone().values()
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
        known = self.raft.replica_set.everyone().get(self.raft.leader)
        return known.address if known is not None else ""


def ignore_reply(_: object) -> None:
    """Drop an answer that nobody waits for; the step is tried again."""


def unavailable(reason: str) -> outcomes.Refused:
    """Return the refusal of a call that may be tried again."""
    return outcomes.Refused(
        failure=errors.Failure(
            errors.ErrorCode.UNAVAILABLE, reason, errors.Ran.UNKNOWN, 0.5
        )
    )
