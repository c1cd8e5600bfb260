"""Raft replicas behind links of a limited rate, in virtual time."""

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
    """Return a replica with a name."""
    return replicas.Replica(name=name, disk="d", address=f"{name}:1")


@attrs.define
class Link:
    """Outgoing link of a VM, which transmits messages one after the other.

    Attributes:
        rate: Bytes per second.
        free_at: When all messages so far are transmitted.
        sent: Bytes sent so far.
        sent_to: Bytes sent so far, by receiver.
    """

    rate: float
    free_at: float = 0.0
    sent: int = 0
    sent_to: collections.Counter = attrs.Factory(collections.Counter)

    def transmit(self, size: int, now: float, to: str) -> float:
        """Send a message to a replica; return when its last byte is sent."""
        self.sent += size
        self.sent_to[to] += size
        self.free_at = max(self.free_at, now) + size / self.rate
        return self.free_at


class RatedLinks:
    """A cluster whose links have a limited rate and whose disks sync slowly."""

    def __init__(self, voters: int, mbits: float, sync_s: float):
        self.now = 10.0
        self.order = itertools.count()
        self.mail: list = []
        self.sync_s = sync_s
        self.rng = random.Random(4)
        self.names = [f"r{n}" for n in range(voters)]
        self.links = {}
        self.rafts = {}
        # When each disk has completed its pending syncs.
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
        """Start a replica with an empty log, or with a first entry."""
        log = log_lib.Log()
        if first is not None:
            log.append(first)
        self.rafts[identity] = raft_lib.Raft(
            identity, self.rng, log=log, started_at=self.now - 9.0
        )
        self.links[identity] = Link(self.rate)
        self.disks[identity] = self.now

    def run(self, seconds: float, stop=lambda: False) -> float:
        """Run until `stop` or the time limit; return the elapsed seconds."""
        began = self.now
        while self.now < began + seconds and not stop():
            self.now += STEP_S
            self.deliver()
            for identity, raft in self.rafts.items():
                if raft.next_wake() <= self.now:
                    raft.tick(self.now)
                self.carry_out(identity)
            if self.is_leader_established() and not self.leader.has_lease(
                self.now
            ):
                self.lost_lease_s += STEP_S
        return self.now - began

    def is_leader_established(self) -> bool:
        """Return whether the leader has committed an entry of its term."""
        leader = getattr(self, "leader", None)
        return (
            leader is not None and leader.commit >= leader.term_start_index > 0
        )

    def deliver(self) -> None:
        """Deliver the messages that have arrived."""
        while self.mail and self.mail[0][0] <= self.now:
            _, _, to, message = heapq.heappop(self.mail)
            if to in self.rafts and not self.cut & {to, message.sender}:
                self.rafts[to].step(message, self.now)
                self.carry_out(to)

    def carry_out(self, identity: str) -> None:
        """Store, sync and send; disk and link are busy until they complete."""
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
                raft.on_synced(ready.entries[-1].index, self.now)
            for outgoing in ready.messages:
                size = len(wireformats.PEERS.encode(outgoing.message)) + 60
                link = self.links[identity]
                arrives = link.transmit(size, at, outgoing.to) + TRAVEL_S
                item = (arrives, next(self.order), outgoing.to)
                heapq.heappush(self.mail, (*item, outgoing.message))

    def propose(
        self, count: int, size: int, raft: raft_lib.Raft | None = None
    ) -> None:
        """Propose incompressible commands to the leader or another replica."""
        raft = raft or self.leader
        for _ in range(count):
            raft.propose(
                log_lib.EntryKind.COMMAND,
                self.rng.randbytes(size),
                0.0,
                self.now,
            )

    def add_learners(self, names) -> None:
        """Start replicas with empty disks and add them as learners."""
        learners = tuple(replica(name) for name in names)
        for learner in learners:
            self.add(learner.identity)
        current = self.leader.replica_set
        wanted = attrs.evolve(current, learners=learners)
        assert self.leader.change_replicas(wanted, self.now)
