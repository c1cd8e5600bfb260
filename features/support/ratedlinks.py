"""Replicas of the log behind links of a limited rate, in virtual time."""

import collections
import heapq
import itertools
import random

import attrs

from _coltsfootroad.control import log as log_lib
from _coltsfootroad.control import raft as raft_lib
from _coltsfootroad.control import replicas
from _coltsfootroad.shell import wireformats

STEP_S = 0.005
TRAVEL_S = 0.001
MBIT = 125_000.0


def replica(name: str) -> replicas.Replica:
    """Return a replica of a name."""
    return replicas.Replica(name=name, disk="d", address=f"{name}:1")


@attrs.define
class Link:
    """The way out of a VM: messages leave it one after the other.

    Attributes:
        rate: Bytes a second.
        free_at: When what was written so far has left.
        sent: Bytes so far.
        sent_to: The same by receiver.
    """

    rate: float
    free_at: float = 0.0
    sent: int = 0
    sent_to: collections.Counter = attrs.Factory(collections.Counter)

    def leave(self, size: int, now: float, to: str) -> float:
        """Write a message to a replica; return when its last byte has left."""
        self.sent += size
        self.sent_to[to] += size
        self.free_at = max(self.free_at, now) + size / self.rate
        return self.free_at


class RatedLinks:
    """A leader and others, with links and disks that take their time."""

    def __init__(self, voters: int, mbits: float, sync_s: float):
        self.now = 10.0
        self.order = itertools.count()
        self.mail: list = []
        self.sync_s = sync_s
        self.rng = random.Random(4)
        self.names = [f"r{n}" for n in range(voters)]
        self.links = {}
        self.rafts = {}
        # When each disk has done what it was given.
        self.disks = {}
        self.lost_lease_s = 0.0
        # Replicas whose messages are lost in both directions.
        self.cut: set[str] = set()
        self.rate = mbits * MBIT
        first = log_lib.Entry(
            term=0,
            index=1,
            kind=log_lib.EntryKind.REPLICAS,
            replica_set=replicas.ReplicaSet(
                voters=tuple(replica(name) for name in self.names)
            ),
        )
        for name in self.names:
            self.add(replica(name).identity, first)
        self.leader = self.rafts["r0#d"]
        self.run(1.5, stop=lambda: self.leader.is_leader)
        if not self.leader.is_leader:
            leaders = [r for r in self.rafts.values() if r.is_leader]
            self.leader = leaders[0]
        self.run(0.5)

    def add(self, identity: str, first: log_lib.Entry | None = None) -> None:
        """Start a replica."""
        log = log_lib.Log()
        if first is not None:
            log.append(first)
        self.rafts[identity] = raft_lib.Raft(
            identity, self.rng, log=log, started_at=self.now - 9.0
        )
        self.links[identity] = Link(self.rate)
        self.disks[identity] = self.now

    def run(self, seconds: float, stop=lambda: False) -> float:
        """Let time pass until `stop`; return how long it took."""
        began = self.now
        while self.now < began + seconds and not stop():
            self.now += STEP_S
            self.deliver()
            for identity, raft in self.rafts.items():
                if raft.next_wake() <= self.now:
                    raft.tick(self.now)
                self.carry_out(identity)
            if self.leader_led() and not self.leader.has_lease(self.now):
                self.lost_lease_s += STEP_S
        return self.now - began

    def leader_led(self) -> bool:
        """Return whether the leader has been one for a while."""
        leader = getattr(self, "leader", None)
        return leader is not None and leader.commit >= leader.term_start > 0

    def deliver(self) -> None:
        """Hand over the messages that have arrived."""
        while self.mail and self.mail[0][0] <= self.now:
            _, _, to, message = heapq.heappop(self.mail)
            if to in self.rafts and not self.cut & {to, message.sender}:
                self.rafts[to].step(message, self.now)
                self.carry_out(to)

    def carry_out(self, identity: str) -> None:
        """Store, sync, send: a disk and a link are busy until they are done."""
        raft = self.rafts[identity]
        while True:
            raft.flush_appends(self.now)
            ready = raft.take_ready()
            if ready.is_empty():
                return
            at = max(self.now, self.disks[identity])
            if ready.must_sync():
                at += self.sync_s
                self.disks[identity] = at
            if ready.entries:
                raft.synced(ready.entries[-1].index, self.now)
            for outgoing in ready.messages:
                size = len(wireformats.PEERS.encode(outgoing.message)) + 60
                link = self.links[identity]
                arrives = link.leave(size, at, outgoing.to) + TRAVEL_S
                item = (arrives, next(self.order), outgoing.to)
                heapq.heappush(self.mail, (*item, outgoing.message))

    def propose(
        self, count: int, size: int, raft: raft_lib.Raft | None = None
    ) -> None:
        """Append commands that do not compress, to the leader or another."""
        raft = raft or self.leader
        for _ in range(count):
            raft.propose(
                log_lib.EntryKind.COMMAND,
                self.rng.randbytes(size),
                0.0,
                self.now,
            )

    def let_learn(self, names) -> None:
        """Start replicas with empty disks and let them learn."""
        learners = tuple(replica(name) for name in names)
        for learner in learners:
            self.add(learner.identity)
        current = self.leader.replica_set
        wanted = attrs.evolve(current, learners=learners)
        assert self.leader.change_replicas(wanted, self.now)
