"""Stateful fuzz test of the replicated control state against an oracle."""

import heapq
import json
import random

import attrs
from expression import Error
from hypothesis import stateful
from hypothesis import strategies as st

from _coltsfootroad.control import fences
from _coltsfootroad.control import membership
from _coltsfootroad.control import messages
from _coltsfootroad.control import node as node_lib
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import replicas
from _coltsfootroad.control import storage
from _coltsfootroad.core import errors

NAMES = ("a", "b", "c")
VOTER = st.sampled_from(NAMES)
FAULTS = (
    "crash",
    "restart",
    "crash_before_sync",
    "freeze",
    "isolate",
    "cut_one_way",
    "lose_messages",
    "repeat_messages",
    "delay_messages",
    "fill_disk",
    "lose_disk",
    "snapshot",
)
LOSS = 0.2
DUPLICATION = 0.3
DELAY_S = 0.5
DRIFT = 0.05
START_UNIX_S = 1_800_000_000.0
SETTLE_S = 40.0
CALL_TIMEOUT_S = 6.0
RETRY_S = 0.2
LEASE_S = 2.0
MAX_CALLS = 2_000
MAX_CALLS_PER_S = 200
# An operation reaches two replicas and returns, in up to two messages each.
CALLS_PER_OPERATION = 8
# Trailing blanks of a patch in a burst, so that a few fill a message.
PADDING = b" " * 3000
KEY_TIME = START_UNIX_S


class CrashedError(Exception):
    """The process was killed during a step."""


class FaultyDisk(storage.MemoryStorage):
    """A disk on which a crash can occur between write and sync."""

    def __init__(self):
        super().__init__()
        self.crash_next = False
        self.full = False

    def store(self, batch):
        """Store a batch, unless the disk is full or the process is killed."""
        if self.full:
            return Error(
                errors.Failure(errors.ErrorCode.UNAVAILABLE, "disk is full")
            )
        if self.crash_next:
            # Written but not synced, so the crash loses it.
            self.crash_next = False
            raise CrashedError
        return super().store(batch)


@attrs.define(eq=False)
class WatchedNode(node_lib.ControlNode):
    """A replica whose applied entries are compared with the other replicas'."""

    all_applied: dict[int, tuple] = attrs.Factory(dict)

    def apply(self, entry):
        """Compare the entry, then apply it."""
        seen = (entry.term, entry.kind, entry.data)
        known = self.all_applied.setdefault(entry.index, seen)
        assert known == seen, f"entry {entry.index} differs"
        super().apply(entry)


@attrs.define(eq=False)
class SimReplica:
    """Process and disk of one replica."""

    name: str
    disk_name: str
    disk: FaultyDisk
    rate: float
    node: node_lib.ControlNode | None = None
    frozen_until: float = 0.0
    starts: int = 0
    ticking: float | None = None


@attrs.define
class Operation:
    """One call of a client, with the times of call and reply."""

    command: object
    called_at: float
    answered_at: float | None = None
    answer: object = None


@attrs.define(eq=False)
class Cluster:
    """Replicas in virtual time, connected by a faulty network."""

    rng: random.Random
    required_voters: int = 1
    now: float = 0.0
    queue: list = attrs.Factory(list)
    number: int = 0
    replicas: dict[str, SimReplica] = attrs.Factory(dict)
    cuts: set = attrs.Factory(set)
    loss: float = 0.0
    duplication: float = 0.0
    delay_s: float = 0.0
    operations: list[Operation] = attrs.Factory(list)
    applied: dict[int, tuple] = attrs.Factory(dict)
    leaders: dict[int, str] = attrs.Factory(dict)
    leases: list = attrs.Factory(list)

    # --- time ------------------------------------------------------------

    def at(self, when, call, *arguments):
        """Schedule a call; fail on an endless exchange of messages."""
        self.number += 1
        busiest = MAX_CALLS + MAX_CALLS_PER_S * self.now
        busiest += CALLS_PER_OPERATION * len(self.operations)
        assert self.number < busiest, "storm of messages"
        heapq.heappush(self.queue, (when, self.number, call, arguments))

    def run_until(self, end):
        """Run all scheduled calls up to a time."""
        while self.queue and self.queue[0][0] <= end:
            when, _, call, arguments = heapq.heappop(self.queue)
            self.now = max(self.now, when)
            call(*arguments)
        self.now = max(self.now, end)

    def clock(self, replica):
        """Return the time of a replica's own clock, which drifts."""
        return self.now * replica.rate

    # --- processes -------------------------------------------------------

    def add(self, name, bootstrap=False):
        """Add a replica with an empty disk."""
        old = self.replicas.get(name)
        starts = old.starts + 1 if old else 0
        rate = 1.0 + self.rng.uniform(-DRIFT, DRIFT)
        replica = SimReplica(
            name, f"disk{starts}", FaultyDisk(), rate, starts=starts
        )
        self.replicas[name] = replica
        self.start(replica)
        if bootstrap:
            replica.node.bootstrap(self.clock(replica))

    def identity(self, replica):
        """Return a replica as a member of a replica set."""
        return replicas.Replica(
            name=replica.name, disk=replica.disk_name, address=replica.name
        )

    def start(self, replica):
        """Start a replica's process from its disk."""
        replica.disk.crash_next = False
        replica.node = WatchedNode(
            replica=self.identity(replica),
            storage=replica.disk,
            send=self.sender(replica),
            wall_clock=lambda: START_UNIX_S + self.now,
            rng=random.Random(self.rng.random()),
            started_at=self.clock(replica),
            all_applied=self.applied,
            membership=membership.Membership(self.required_voters),
        )
        replica.ticking = None
        self.plan_tick(replica)

    def crash(self, replica):
        """Kill a replica's process."""
        replica.node = None

    def guard(self, replica, call, *arguments):
        """Run a step of a replica, during which it may be killed."""
        if replica.node is None:
            return
        try:
            call(*arguments)
        except CrashedError:
            self.crash(replica)
            return
        self.check(replica)
        self.plan_tick(replica)

    def check(self, replica):
        """Check that each term has at most one leader."""
        raft = replica.node.raft
        if raft.is_leader:
            known = self.leaders.setdefault(raft.term, raft.identity)
            assert known == raft.identity, f"two leaders in {raft.term}"

    def plan_tick(self, replica):
        """Schedule the next tick of a replica."""
        node = replica.node
        if node is None:
            return
        at = max(node.next_wake() / replica.rate, self.now + 0.01)
        if replica.ticking is not None and replica.ticking <= at:
            return
        replica.ticking = at
        self.at(at, self.tick, replica, node, at)

    def tick(self, replica, node, at):
        """Run a replica's timers."""
        if replica.node is not node or replica.ticking != at:
            return
        replica.ticking = None
        if self.now < replica.frozen_until:
            replica.ticking = replica.frozen_until
            self.at(
                replica.frozen_until,
                self.tick,
                replica,
                node,
                replica.frozen_until,
            )
            return
        self.guard(replica, node.tick, self.clock(replica))

    # --- network ---------------------------------------------------------

    def sender(self, replica):
        """Return the send function of a replica."""

        def send(identity, message):
            target = self.replicas[identity.partition("#")[0]]
            self.deliver(replica, target, message)

        return send

    def deliver(self, source, target, message):
        """Deliver a message late, twice or never."""
        cut = (source.name, target.name) in self.cuts
        if cut or self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            delay = 0.001 + self.rng.uniform(0, self.delay_s)
            self.at(self.now + delay, self.arrive, target, message)

    def arrive(self, target, message):
        """Pass a message to the process that runs on the target now."""
        if self.now < target.frozen_until:
            self.at(target.frozen_until, self.arrive, target, message)
        elif target.node is not None:
            self.guard(target, target.node.on_peer, message, self.clock(target))

    # --- clients ---------------------------------------------------------

    def call(self, name, command, roam=True):
        """Call one replica, then the others in turn; record the operation."""
        operation = Operation(command, self.now)
        self.operations.append(operation)
        self.try_call(name, operation)
        if roam:
            self.at(self.now + RETRY_S, self.roam, name, operation)
        return operation

    def roam(self, name, operation):
        """Call the next replica, as a client does, until the call times out."""
        over = self.now > operation.called_at + CALL_TIMEOUT_S
        if operation.answer is not None or over:
            return
        name = NAMES[(NAMES.index(name) + 1) % len(NAMES)]
        self.try_call(name, operation)
        self.at(self.now + RETRY_S, self.roam, name, operation)

    def try_call(self, name, operation):
        """Send an operation to one replica once."""
        replica = self.replicas.get(name)
        if replica is None or self.now < replica.frozen_until:
            return
        node = replica.node
        if node is None:
            return

        def reply(answer):
            refusal = (outcomes.NotLeader, outcomes.Refused)
            if operation.answer is None and not isinstance(answer, refusal):
                operation.answer = answer
                operation.answered_at = self.now
                self.note_lease(operation)

        def step():
            node.call(operation.command, self.clock(replica), reply)
            node.process(self.clock(replica))

        self.guard(replica, step)

    def note_lease(self, operation):
        """Check that no other holder had a granted lease at the same time.

        A holder uses a lease from the reply on and counts its end from the
        call, so a reply after that end grants nothing.
        """
        command = operation.command
        if not isinstance(command, fences.TakeLease):
            return
        if not operation.answer.granted:
            return
        since = operation.answered_at
        until = operation.called_at + LEASE_S
        for holder, start, end, fence in self.leases:
            if holder == command.holder:
                continue
            overlap = max(start, since) < min(end, until)
            assert not overlap, "lease held twice"
            assert fence != operation.answer.fence, "fence given twice"
        self.leases.append(
            (command.holder, since, until, operation.answer.fence)
        )

    def leader(self):
        """Return the running leader of the highest term, None for none."""
        leading = [
            r
            for r in self.replicas.values()
            if r.node is not None
            and r.node.raft.is_leader
            and self.now >= r.frozen_until
        ]
        return max(leading, key=lambda r: r.node.raft.term, default=None)


class ControlMachine(stateful.RuleBasedStateMachine):
    """Runs a small cluster through random commands and faults."""

    @stateful.initialize(seed=st.integers(0, 2**16))
    def build(self, seed):
        """Start three replicas and wait until they are voters."""
        self.cluster = Cluster(random.Random(seed))
        self.number = 0
        self.cluster.add("a", bootstrap=True)
        self.cluster.run_until(0.5)
        for name in NAMES[1:]:
            self.cluster.add(name)
            self.join(name)
        assert len(self.voters()) == len(NAMES)

    def voters(self):
        """Return the identities of the leader's voters by name."""
        leader = self.cluster.leader()
        found = leader.node.raft.replica_set if leader else None
        return {r.name: r.identity for r in found.voters} if found else {}

    def change(self, action, name, replaces=""):
        """Ask the leader for a membership change."""
        leader = self.cluster.leader()
        if leader is None:
            return
        change = messages.ChangeReplicas(
            action=action,
            replica=self.cluster.identity(self.cluster.replicas[name]),
            replaces=replaces,
        )
        self.cluster.call(leader.name, change)

    def join(self, name, replaces=""):
        """Add a replica as a learner, then promote it."""
        self.change(messages.ReplicaAction.LEARN, name)
        self.cluster.run_until(self.cluster.now + 1.0)
        self.change(messages.ReplicaAction.PROMOTE, name, replaces)
        self.cluster.run_until(self.cluster.now + 1.0)

    @stateful.rule(name=VOTER, version=st.integers(-1, 0), repeat=st.booleans())
    def patch(self, name, version, repeat):
        """Send an operator's patch, maybe with a stale version or a known id."""
        replica = self.cluster.replicas[name]
        if replica.node is None:
            return
        if not repeat or not self.number:
            self.number += 1
        base = max(0, replica.node.state.configs.version + version)
        document = {"fleet": {"address_validity_s": self.number + 1}}
        self.cluster.call(
            name,
            messages.PatchConfig(
                patch_id=f"p{self.number}/{base}",
                base_version=base,
                patch=json.dumps(document).encode(),
            ),
        )

    @stateful.rule(count=st.sampled_from((1, 10, 30)))
    def burst(self, count):
        """Send changes to every replica that leads.

        An isolated leader also accepts them, without a quorum.
        """
        for name, replica in self.cluster.replicas.items():
            for _ in range(count):
                node = replica.node
                if node is None or not node.raft.is_leader:
                    break
                self.number += 1
                document = {"fleet": {"address_validity_s": self.number + 1}}
                command = messages.PatchConfig(
                    patch_id=f"b{self.number}",
                    base_version=node.state.configs.version,
                    patch=json.dumps(document).encode() + PADDING,
                )
                self.cluster.call(name, command, roam=False)

    @stateful.rule(name=VOTER)
    def read(self, name):
        """Read the configuration from one replica."""
        self.cluster.call(name, messages.ReadConfig(), roam=False)

    @stateful.rule(
        name=VOTER,
        key=st.sampled_from(("k1", "k2")),
        token=st.sampled_from(("t1", "t2")),
    )
    def claim(self, name, key, token):
        """Request a claim."""
        self.cluster.call(
            name,
            messages.TakeClaim(
                workspace="w",
                key=key,
                key_time=KEY_TIME,
                body_hash="h",
                token=token,
                lease_s=1.0,
            ),
        )

    @stateful.rule(name=VOTER, holder=st.sampled_from(("x", "y")))
    def lease(self, name, holder):
        """Request the lease that only one holder may have."""
        self.cluster.call(
            name,
            fences.TakeLease(name="orders", holder=holder, lease_s=LEASE_S),
        )

    @stateful.rule(seconds=st.sampled_from((0.05, 0.3, 1.0, 3.0)))
    def wait(self, seconds):
        """Advance the time."""
        self.cluster.run_until(self.cluster.now + seconds)

    @stateful.rule(
        kind=st.sampled_from(FAULTS),
        name=VOTER,
        far=VOTER,
        seconds=st.sampled_from((0.5, 2.5, 5.0)),
    )
    def fault(self, kind, name, far, seconds):
        """Inject a fault."""
        leader = self.cluster.leader()
        if name == far and leader is not None:
            # If both names are equal, hit the leader: its faults have the
            # most effect.
            name = leader.name
        getattr(self, kind)(name, far, seconds)

    @stateful.rule()
    def mend(self):
        """Repair network and disks and restart killed replicas."""
        cluster = self.cluster
        cluster.cuts.clear()
        cluster.loss = cluster.duplication = cluster.delay_s = 0.0
        for replica in cluster.replicas.values():
            replica.disk.full = False
            replica.disk.crash_next = False
            if replica.node is None:
                cluster.start(replica)

    def crash(self, name, *_):
        """Kill a replica."""
        self.cluster.crash(self.cluster.replicas[name])

    def restart(self, name, *_):
        """Kill a replica and restart it at once."""
        self.cluster.crash(self.cluster.replicas[name])
        self.cluster.start(self.cluster.replicas[name])

    def crash_before_sync(self, name, *_):
        """Kill a replica between its next write and sync."""
        self.cluster.replicas[name].disk.crash_next = True

    def freeze(self, name, _, seconds):
        """Freeze a replica."""
        replica = self.cluster.replicas[name]
        replica.frozen_until = max(
            replica.frozen_until, self.cluster.now + seconds
        )

    def isolate(self, name, *_):
        """Isolate a replica from all others."""
        for other in self.cluster.replicas:
            self.cluster.cuts |= {(name, other), (other, name)}

    def cut_one_way(self, name, far, _):
        """Drop all messages from one replica to another."""
        self.cluster.cuts.add((name, far))

    def lose_messages(self, *_):
        """Drop a fraction of all messages."""
        self.cluster.loss = LOSS

    def repeat_messages(self, *_):
        """Deliver a fraction of all messages twice."""
        self.cluster.duplication = DUPLICATION

    def delay_messages(self, *_):
        """Deliver messages late and out of order."""
        self.cluster.delay_s = DELAY_S

    def fill_disk(self, name, *_):
        """Fill a disk."""
        self.cluster.replicas[name].disk.full = True

    def lose_disk(self, name, *_):
        """Lose a disk and replace the replica, if a quorum is running."""
        cluster = self.cluster
        known = self.voters()
        if name not in known or cluster.leader().name == name:
            return
        lost = known[name]
        left = [n for n in known if n != name and self.is_up(n, known)]
        if len(left) * 2 <= len(known):
            # Without a quorum the repair is a manual restore.
            return
        cluster.crash(cluster.replicas[name])
        cluster.add(name)
        self.join(name, replaces=lost)

    def is_up(self, name, known):
        """Return whether a voter runs on the disk of its identity."""
        replica = self.cluster.replicas[name]
        identity = self.cluster.identity(replica).identity
        return replica.node is not None and identity == known[name]

    def snapshot(self, name, *_):
        """Make a replica save a snapshot now."""
        node = self.cluster.replicas[name].node
        if node is None or node.is_blocked or not node.raft.applied:
            return
        limit, node_lib.SNAPSHOT_ENTRIES = node_lib.SNAPSHOT_ENTRIES, 1
        try:
            node.maybe_snapshot(self.cluster.clock(self.cluster.replicas[name]))
        finally:
            node_lib.SNAPSHOT_ENTRIES = limit

    def teardown(self):
        """Repair all faults; all replicas must agree and serve again."""
        if not hasattr(self, "cluster"):
            return
        cluster = self.cluster
        self.mend()
        cluster.run_until(cluster.now + SETTLE_S)
        leader = cluster.leader()
        assert leader is not None, "no leader after repair"
        last = cluster.call(leader.name, messages.ReadConfig())
        assert last.answer is not None, "no answer after repair"
        cluster.run_until(cluster.now + CALL_TIMEOUT_S)
        self.check_agreement(leader)
        check_history(cluster.operations)

    def check_agreement(self, leader):
        """Check that all voters have applied the same state."""
        wanted = leader.node.state.configs.document
        known = self.voters()
        for name in known:
            if self.is_up(name, known):
                node = self.cluster.replicas[name].node
                found = node.state.configs.document
                assert found == wanted, f"{name} differs"


def check_history(operations: list[Operation]) -> None:
    """Check that patches and reads are linearizable, and claims unique."""
    check_versions(operations)
    check_claims(operations)


def check_versions(operations: list[Operation]) -> None:
    """Check that versions never decrease in real time and have one patch each.

    A patch or read with a reply takes effect at some time between call and
    reply. A later call must not see an older version.
    """
    answered = [o for o in operations if o.answer is not None]
    winners: dict[int, bytes] = {}
    seen = []
    for operation in sorted(answered, key=lambda o: o.answered_at):
        version = version_of(operation)
        if version is None:
            continue
        seen.append((operation.answered_at, version))
        command = operation.command
        if isinstance(command, messages.PatchConfig):
            if operation.answer.failure is None:
                won = winners.setdefault(version, command.patch_id)
                assert won == command.patch_id, "two patches won"
        else:
            check_read(operation, version, seen)


def check_read(operation: Operation, version: int, seen: list) -> None:
    """Check that a read is not older than replies before its call."""
    before = [v for at, v in seen if at < operation.called_at]
    assert version >= max(before, default=0), "stale read"


def version_of(operation: Operation) -> int | None:
    """Return the version in a reply, None if it has none."""
    if isinstance(operation.answer, messages.PatchAnswer):
        if operation.answer.failure is not None:
            return None
        return operation.answer.version
    if isinstance(operation.answer, messages.ConfigUpdate):
        return operation.answer.version
    return None


def check_claims(operations: list[Operation]) -> None:
    """Check that each key was granted to at most one token."""
    owners: dict[str, str] = {}
    for operation in operations:
        answer = operation.answer
        if not isinstance(answer, messages.ClaimAnswer):
            continue
        if answer.status is messages.ClaimStatus.GRANTED:
            command = operation.command
            owner = owners.setdefault(command.key, command.token)
            assert owner == command.token, f"{command.key} granted twice"
