"""Replicas in virtual time whose processes stall and whose disks sync slowly.

A stalled process does not read its messages. When it resumes, its timers run
first, as in an event loop that was late.
"""

import collections
import heapq
import itertools
import random

import attrs

from _coltsfootroad.control import log as log_lib
from _coltsfootroad.control import raft as raft_lib
from _coltsfootroad.control import replicas

STEP_S = 0.002
MESSAGE_S = 0.001
# About as often as operators and endpoints change the state.
WRITE_EVERY_S = 0.5
RUNS_AT_LEAST_S = 0.02
RUNS_AT_MOST_S = 0.3
START_S = 100.0


@attrs.frozen(kw_only=True)
class Lateness:
    """Duration of stalls and syncs.

    Attributes:
        stall_s: Maximum duration of a stall; between stalls a process runs for
            at most `RUNS_AT_MOST_S`.
        sync_s: Maximum duration of a sync, which blocks the process.
        at_once: Whether all processes stall at the same time.
    """

    stall_s: float = 0.0
    sync_s: float = 0.0
    at_once: bool = False


@attrs.define(eq=False)
class Process:
    """One replica, its unread messages, and when it runs."""

    raft: raft_lib.Raft
    inbox: collections.deque = attrs.Factory(collections.deque)
    busy_until: float = 0.0
    # Time span in which it runs.
    runs_from: float = 0.0
    runs_until: float = 0.0

    def is_running(self, now: float) -> bool:
        """Return whether it is neither stalled nor blocked by a sync."""
        return self.runs_from <= now < self.runs_until and (
            now >= self.busy_until
        )

    def leads(self) -> bool:
        """Return whether it leads and has applied an entry of its term."""
        raft = self.raft
        return raft.is_leader and raft.applied >= raft.term_start_index


@attrs.define(eq=False)
class LateCluster:
    """Replicas with random stalls and syncs within the bounds of `lateness`."""

    rng: random.Random
    lateness: Lateness
    count: int = 3
    now: float = START_S
    order: itertools.count = attrs.Factory(itertools.count)
    mail: list = attrs.Factory(list)
    processes: dict[str, Process] = attrs.Factory(dict)
    down: set[str] = attrs.Factory(set)
    leaders: dict[int, str] = attrs.Factory(dict)
    syncs: int = 0
    write_at: float = 0.0
    # Start of the current span without a leader, and the longest such span.
    began_without: float = START_S
    longest_s: float = 0.0
    led_s: float = 0.0

    def __attrs_post_init__(self):
        voters = tuple(
            replicas.Replica(name=name, disk="d", address=f"{name}:1")
            for name in "abcdefg"[: self.count]
        )
        first = log_lib.Entry(
            term=0,
            index=1,
            kind=log_lib.EntryKind.REPLICAS,
            replica_set=replicas.ReplicaSet(voters=voters),
        )
        for voter in voters:
            log = log_lib.Log()
            log.append(first)
            raft = raft_lib.Raft(voter.identity, self.rng, log=log)
            raft.timer.started_at = self.now - 10.0
            raft.timer.leader_contact_at = self.now - 10.0
            raft.timer.has_ticked = True
            raft.timer.reset(self.now)
            self.processes[voter.identity] = Process(raft)

    def run(self, seconds: float) -> None:
        """Advance the time."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            self.deliver()
            for identity, process in self.processes.items():
                if identity not in self.down:
                    self.run_process(process)
            self.record_leader()
            self.check_leases()

    def deliver(self) -> None:
        """Move arrived messages into the inboxes."""
        while self.mail and self.mail[0][0] <= self.now:
            _, _, to, message = heapq.heappop(self.mail)
            if to not in self.down:
                self.processes[to].inbox.append(message)

    def run_process(self, process: Process) -> None:
        """Run a process if it is not stalled, its timer first."""
        self.draw_next_run(process)
        if not process.is_running(self.now):
            return
        raft = process.raft
        if raft.next_wake() <= self.now:
            raft.tick(self.now)
            self.carry_out(process)
        if process.leads() and self.now >= self.write_at:
            self.write_at = self.now + WRITE_EVERY_S
            raft.propose(log_lib.EntryKind.COMMAND, b"x", self.now, self.now)
            self.carry_out(process)
        while process.inbox and process.is_running(self.now):
            raft.step(process.inbox.popleft(), self.now)
            self.carry_out(process)

    def draw_next_run(self, process: Process) -> None:
        """Draw the next time span of a process, once the last is over."""
        if self.now < process.runs_until:
            return
        stall_s = self.rng.uniform(0.0, self.lateness.stall_s)
        runs_s = self.rng.uniform(RUNS_AT_LEAST_S, RUNS_AT_MOST_S)
        stalled = [process]
        if self.lateness.at_once:
            stalled = list(self.processes.values())
        for other in stalled:
            other.runs_from = self.now + stall_s
            other.runs_until = other.runs_from + runs_s

    def carry_out(self, process: Process) -> None:
        """Store, sync and send, in the order of a replica."""
        raft = process.raft
        while True:
            raft.flush_appends(self.now)
            ready = raft.take_ready()
            if ready.is_empty():
                return
            if ready.must_sync():
                self.syncs += 1
                busy_s = self.rng.uniform(0.0, self.lateness.sync_s)
                begin = max(self.now, process.busy_until)
                process.busy_until = begin + busy_s
            if ready.entries:
                raft.on_synced(ready.entries[-1].index, self.now)
            sent_at = max(self.now, process.busy_until)
            for outgoing in ready.messages:
                item = (sent_at + MESSAGE_S, next(self.order), outgoing.to)
                heapq.heappush(self.mail, (*item, outgoing.message))

    def record_leader(self) -> None:
        """Record the time without a leader; check for one leader per term."""
        leading = False
        for identity, process in self.processes.items():
            if identity in self.down or not process.raft.is_leader:
                continue
            term = process.raft.term
            assert self.leaders.setdefault(term, identity) == identity, term
            leading = leading or process.leads()
        if leading:
            self.led_s += STEP_S
            self.began_without = self.now
        self.longest_s = max(self.longest_s, self.now - self.began_without)

    def lose_leader(self) -> None:
        """Take the leader down, with its unread messages."""
        for identity, process in self.processes.items():
            if process.raft.is_leader:
                self.down.add(identity)
                return

    def check_leases(self) -> None:
        """Check that at most one replica holds a lease."""
        holders = [
            identity
            for identity, process in self.processes.items()
            if process.raft.has_lease(self.now)
        ]
        assert len(holders) <= 1, holders
