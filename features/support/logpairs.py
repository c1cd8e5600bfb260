"""A leader and one follower that exchange messages without delay."""

import random

from _coltsfootroad.control import log as log_lib
from _coltsfootroad.control import peers
from _coltsfootroad.control import raft as raft_lib
from _coltsfootroad.control import ready as ready_lib
from _coltsfootroad.control import replicas
from features.support import ratedlinks

# Greater than the terms of all entries.
FAR_TERM = 100
NOW = 50.0


class Pair:
    """A leader and a follower that exchange messages without delay.

    Each message of the follower is delivered `times` times.
    """

    def __init__(self, own: list[int], other: list[int], times: int = 1):
        self.now = NOW
        self.times = times
        self.leader = raft_of("r0", own)
        self.follower = raft_of("r1", other)
        self.appends: list[peers.Append] = []

    def lead(self) -> None:
        """Make the leader replica the leader."""
        self.leader.become_leader(self.now)
        self.exchange()

    def run(self, seconds: float) -> None:
        """Advance the time."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.01
            self.leader.tick(self.now)
            self.exchange()

    def run_with_third(self, seconds: float) -> None:
        """Advance the time while a third voter keeps up the leader lease."""
        third = self.leader.progress[ratedlinks.replica("r2").identity]
        end = self.now + seconds
        while self.now < end:
            third.acked_at = self.now
            self.run(0.05)

    def exchange(self) -> None:
        """Deliver messages in both directions until there are none."""
        for _ in range(1_000):
            sent = self.take(self.leader, self.follower)
            appends = [m for m in sent if isinstance(m, peers.Append)]
            self.appends += appends
            replies = self.take(self.follower, self.leader)
            if not sent and not replies:
                return
        raise AssertionError("messages are exchanged without an end")

    def take(self, source: raft_lib.Raft, target: raft_lib.Raft) -> list:
        """Carry out the work of one replica; return its messages to the other."""
        source.flush_appends(self.now)
        ready = source.take_ready()
        if ready.entries:
            source.on_synced(ready.entries[-1].index, self.now)
        sent = [
            outgoing.message
            for outgoing in ready.messages
            if outgoing.to == target.identity
        ]
        for message in sent:
            repeats = self.times if source is self.follower else 1
            for _ in range(repeats):
                target.step(message, self.now)
        return sent


def raft_of(name: str, terms: list[int], count: int = 3) -> raft_lib.Raft:
    """Return a replica whose log has one entry for each of the terms."""
    raft = raft_lib.Raft(
        identity=ratedlinks.replica(name).identity,
        rng=random.Random(7),
        hard_state=ready_lib.HardState(term=FAR_TERM),
    )
    voters = tuple(ratedlinks.replica(f"r{n}") for n in range(count))
    raft.log.append(
        log_lib.Entry(
            term=0,
            index=1,
            kind=log_lib.EntryKind.REPLICAS,
            replica_set=replicas.ReplicaSet(voters=voters),
        )
    )
    for entry_term in terms:
        raft.log.append(
            log_lib.Entry(
                term=entry_term,
                index=raft.log.last_index + 1,
                kind=log_lib.EntryKind.COMMAND,
                data=b"x" * 2000,
            )
        )
    return raft


def after_loss() -> Pair:
    """Return a pair whose follower has lost acknowledged entries."""
    pair = Pair([1] * 40, [1] * 40)
    pair.lead()
    pair.follower.log.truncate_from(20)
    pair.follower.commit = pair.follower.applied = 19
    pair.appends.clear()
    pair.leader.propose(log_lib.EntryKind.COMMAND, b"x", 0.0, pair.now)
    return pair


def leader_of(count: int) -> raft_lib.Raft:
    """Return a leader whose first entry is not acknowledged yet."""
    raft = raft_of("r0", [1], count)
    raft.become_leader(NOW)
    raft.take_ready()
    raft.on_synced(raft.log.last_index, NOW)
    return raft
