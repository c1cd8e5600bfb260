"""Replicas on VMs that fail and are replaced, in virtual time, with an operator.

A history is a line such as `follower gone; 1.5 s; d added; leader wiped`: each
step names a replica and the event that hits it, or seconds to wait.
"""

import random
import re

import attrs

from _coltsfootroad.control import electiontimer
from _coltsfootroad.control import membership
from _coltsfootroad.control import messages
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import quorum
from features.support import controlmachine

NAMES = "abcdefgh"
# Time from the return of a VM until its program listens.
START_S = 1.5
RESTART_S = 1.0
# Time from SIGTERM to the exit of a program without pending work.
STOP_S = 0.5
LEAVE_EVERY_S = 0.1
FORM_S = 12.0
WRITE_EVERY_S = 0.8
STORM_EVERY_S = 0.05
# Trailing blanks of a change in a burst, so that a few changes fill a message.
STORM_PADDING = b" " * 3000
# Time from a loss, return or replacement until the next losses are tolerated.
RECOVERY_S = 2.5
# Longest time from the last event of a history until the set has recovered: a
# start, the recovery time and an election.
HISTORY_END_S = START_S + RECOVERY_S + electiontimer.ELECTION_TIMEOUT_MAX_S
STEP = re.compile(r"(?P<who>\w+) (?P<verb>[a-z ]+?)(?: for (?P<s>[\d.]+) s)?$")
WAIT = re.compile(r"(?P<s>[\d.]+) s$")


class NoneLeftError(Exception):
    """A history names a leader or a follower, and there is none."""


@attrs.define(eq=False)
class Site(controlmachine.Cluster):
    """Replicas on VMs that fail, and an operator who sends changes.

    Methods that are named like the verbs of a history carry out its steps.
    """

    losses: int = 1
    writes: int = 0
    storm_until: float = 0.0
    is_gone: set[str] = attrs.Factory(set)
    stopping: set[str] = attrs.Factory(set)

    def begin(self) -> None:
        """Start all replicas with empty disks and wait until they are voters."""
        self.required_voters = 2 * self.losses + 1
        first, *rest = NAMES[: self.required_voters]
        self.add(first, bootstrap=True)
        for name in rest:
            self.add(name)
        self.at(self.now, self.ask)
        self.at(self.now, self.write)
        self.run_until(self.now + FORM_S)
        assert len(self.voters()) == self.required_voters, self.voters()

    # --- programs and operators ------------------------------------------

    def ask(self) -> None:
        """Let each replica that is not a voter ask the leader to join."""
        for replica in list(self.replicas.values()):
            node = replica.node
            if not self.is_up(replica.name) or replica.name in self.stopping:
                continue
            if node.voter_monitor.should_join(self.clock(replica)):
                self.ask_leader(replica)
        self.at(self.now + membership.JOIN_INTERVAL_S, self.ask)

    def ask_leader(self, replica: controlmachine.SimReplica) -> None:
        """Send a replica's join call to the leader, if it can be reached."""
        leader = self.leader()
        if leader is None or (replica.name, leader.name) in self.cuts:
            return
        message = messages.JoinReplica(replica=self.identity(replica))
        self.call(leader.name, message, roam=False)

    def write(self) -> None:
        """Let the operator send a change based on the leader's version."""
        leader = self.leader()
        if leader is not None:
            self.patch(leader)
        self.at(self.now + WRITE_EVERY_S, self.write)

    def call_leader(self, answers: list) -> None:
        """Send a change to the leader; append its reply, even a refusal."""
        leader = self.leader()
        self.writes += 1
        command = messages.PatchConfig(
            patch_id=f"w{self.writes}",
            base_version=leader.node.state.configs.version,
            patch=b"{}",
        )
        now = self.clock(leader)
        self.guard(leader, leader.node.call, command, now, answers.append)
        self.guard(leader, leader.node.process, now)

    def storm(self, _: str, for_s: float) -> None:
        """Send a burst of changes to every replica that leads."""
        is_first = self.now >= self.storm_until
        self.storm_until = self.now + for_s
        if is_first:
            self.write_storm()

    def write_storm(self) -> None:
        """Send a change to every replica that leads, until the burst ends."""
        if self.now >= self.storm_until:
            return
        for replica in self.replicas.values():
            is_running = replica.node is not None and self.is_up(replica.name)
            if is_running and replica.node.raft.is_leader:
                self.patch(replica, STORM_PADDING)
        self.at(self.now + STORM_EVERY_S, self.write_storm)

    def patch(self, leader: controlmachine.SimReplica, padding: bytes = b""):
        """Send one change to a leader; return the operation."""
        self.writes += 1
        patch = b'{"fleet": {"address_validity_s": %d}}' % self.writes + padding
        command = messages.PatchConfig(
            patch_id=f"w{self.writes}",
            base_version=leader.node.state.configs.version,
            patch=patch,
        )
        return self.call(leader.name, command, roam=False)

    # --- events of VMs ---------------------------------------------------

    def gone(self, name: str, _=0.0) -> None:
        """Remove a VM permanently."""
        self.crash(self.replicas[name])
        self.is_gone.add(name)

    def stopped(self, name: str, _=0.0) -> None:
        """Stop a replica, then remove its VM permanently."""
        replica = self.replicas[name]
        self.stopping.add(name)
        self.guard(
            replica, replica.node.transfer_leadership, self.clock(replica)
        )
        self.at(self.now + LEAVE_EVERY_S, self.leave, replica)
        self.at(self.now + STOP_S, self.gone, name)

    def leave(self, replica: controlmachine.SimReplica) -> None:
        """Ask the leader to remove a stopping replica, until it agrees."""
        leader = self.leader()
        if replica.node is None:
            return
        if leader is not None and leader is not replica:
            message = messages.LeaveReplica(replica=self.identity(replica))
            answer = self.call(leader.name, message, roam=False).answer
            if isinstance(answer, outcomes.Done):
                return
        self.at(self.now + LEAVE_EVERY_S, self.leave, replica)

    def added(self, name: str, _=0.0) -> None:
        """Start a replica on a new VM, with an empty disk."""
        self.add(name)

    def wiped(self, name: str, down_s: float) -> None:
        """Remove a VM's disk; the VM returns later at the same address."""
        self.crash(self.replicas[name])
        self.at(self.now + (down_s or START_S), self.add, name)

    def restarted(self, name: str, down_s: float) -> None:
        """Kill a replica and restart it from its disk later."""
        replica = self.replicas[name]
        self.crash(replica)
        self.at(self.now + (down_s or RESTART_S), self.start, replica)

    def cut(self, name: str, for_s: float) -> None:
        """Isolate a VM from the network, and reconnect it later."""
        for other in self.replicas:
            self.cuts |= {(name, other), (other, name)}
        self.at(self.now + for_s, self.joined, name)

    def joined(self, name: str) -> None:
        """Reconnect a VM to the network."""
        self.cuts = {pair for pair in self.cuts if name not in pair}

    def frozen(self, name: str, for_s: float) -> None:
        """Freeze a VM."""
        self.replicas[name].frozen_until = self.now + for_s

    def full(self, name: str, for_s: float) -> None:
        """Fill a replica's disk, and free space later."""
        disk = self.replicas[name].disk
        disk.full = True
        self.at(self.now + for_s, setattr, disk, "full", False)

    # --- histories -------------------------------------------------------

    def run_history(self, history: str) -> None:
        """Run a history, and wait until the set has recovered."""
        for step in history.split("; "):
            self.take_step(step)
        self.run_until(self.now + HISTORY_END_S)

    def take_step(self, step: str) -> None:
        """Carry out one step of a history."""
        wait = WAIT.match(step)
        if wait:
            self.run_until(self.now + float(wait["s"]))
            return
        found = STEP.match(step)
        act = getattr(self, found["verb"])
        for name in self.named(found["who"]):
            act(name, float(found["s"] or 0.0))

    def named(self, who: str) -> list[str]:
        """Return the replicas that a word of a history selects."""
        if who == "all":
            return [n for n in self.replicas if n not in self.is_gone]
        if who == "rest":
            return [n for n, r in self.replicas.items() if r.node is not None]
        if who == "leader":
            return [self.known_leader()]
        if who == "follower":
            return [self.follower()]
        return [who]

    def follower(self) -> str:
        """Return a running voter that is not the leader."""
        leader = self.known_leader()
        names = [n for n in self.voters() if self.is_up(n) and n != leader]
        if not names:
            raise NoneLeftError("no follower")
        return names[0]

    def known_leader(self) -> str:
        """Return the name of the leader."""
        leader = self.leader()
        if leader is None:
            raise NoneLeftError("no leader")
        return leader.name

    def is_up(self, name: str) -> bool:
        """Return whether a replica runs and is not frozen."""
        replica = self.replicas[name]
        return replica.node is not None and self.now >= replica.frozen_until

    def voters(self) -> list[str]:
        """Return the names of the voters, as the leader knows them."""
        leader = self.leader()
        if leader is None:
            return []
        return [r.name for r in leader.node.raft.replica_set.voters]

    # --- invariants after a history --------------------------------------

    def faults(self) -> list[str]:
        """Return descriptions of the invariants that do not hold."""
        leader = self.leader()
        if leader is None:
            return ["no leader"]
        found = []
        change = self.patch(leader)
        last = self.call(leader.name, messages.ReadConfig(), roam=False)
        committed = leader.node.raft.commit
        self.run_until(self.now + 1.0)
        if change.answer is None or last.answer is None:
            found.append("no answer")
        lagging = [n for n in self.voters() if self.lags(n, committed)]
        if lagging:
            found.append(f"{lagging} lack entry {committed}")
        tolerated = self.failures_tolerated()
        if tolerated < self.losses:
            found.append(f"tolerates {tolerated} failures, not {self.losses}")
        running = {n for n in self.replicas if self.is_up(n)}
        without = sorted(running - set(self.voters()))
        if without:
            found.append(f"{without} run and are no voters")
        controlmachine.check_history(self.operations)
        return found

    def failures_tolerated(self) -> int:
        """Return how many more failures the set tolerates in fact."""
        leader = self.leader()
        current = leader.node.raft.replica_set
        failed = {
            voter.identity
            for voter in current.voters
            if not self.votes_as(voter)
        }
        return quorum.failures_tolerated(current, failed)

    def lags(self, name: str, committed: int) -> bool:
        """Return whether a replica runs and lacks a committed entry."""
        replica = self.replicas[name]
        return self.is_up(name) and replica.node.raft.commit < committed

    def votes_as(self, voter) -> bool:
        """Return whether a voter runs on the disk of its identity."""
        replica = self.replicas[voter.name]
        return self.is_up(voter.name) and replica.disk_name == voter.disk


def faults_after(history: str, losses: int, seed: int) -> list[str]:
    """Run a history on a new site; return the violated invariants."""
    site = Site(random.Random(seed), losses=losses)
    site.begin()
    try:
        site.run_history(history)
    except NoneLeftError as error:
        return [str(error)]
    return site.faults()


def time_without_leader(history: str, seed: int) -> float:
    """Return the seconds without a leader in the 3 s after a history."""
    site = Site(random.Random(seed))
    site.begin()
    for step in history.split("; "):
        site.take_step(step)
    without = 0
    for _ in range(300):
        site.run_until(site.now + 0.01)
        without += site.leader() is None
    return without / 100


def draw(seed: int) -> tuple[int, str]:
    """Return the failures to tolerate at once, and a random history.

    Failures follow one after the other. Before the next one pass the recovery
    time and the time until the VM returns.
    """
    rng = random.Random(seed)
    losses = rng.choice((1, 1, 1, 2))
    spare = list(NAMES[2 * losses + 1 :])
    steps = []
    for _ in range(rng.randint(2, 6)):
        steps += draw_loss(rng, spare)
    return losses, "; ".join(steps)


def history_of(events: list[tuple], losses: int) -> str:
    """Return the history of generated events, with the recovery time after each.

    An event is a kind, whether it hits the leader, how many replicas it hits at
    once (up to `losses`), for how long, and how much time passes in addition to
    the recovery time.
    """
    spare = list(NAMES[2 * losses + 1 :])
    steps = []
    for kind, hits_leader, count, away_s, more_s in events:
        # The leader is hit last: afterwards there is no leader to select.
        targets = ["follower"] * min(count, losses)
        if hits_leader:
            targets[-1] = "leader"
        if kind in ("gone", "stopped") and len(spare) < len(targets):
            kind = "wiped"
        steps += steps_of(kind, targets, away_s, spare)
        back_s = RECOVERY_S + more_s
        if kind not in ("gone", "stopped"):
            back_s += away_s
        steps.append(f"{back_s:.1f} s")
    return "; ".join(steps)


def steps_of(
    kind: str, targets: list[str], away_s: float, spare: list[str]
) -> list[str]:
    """Return the steps of one event, without the wait after it."""
    if kind == "all restarted":
        return [f"all restarted for {away_s:.1f} s"]
    if kind == "wiped, rest restarted":
        wipes = [f"{who} wiped for {away_s:.1f} s" for who in targets]
        return [*wipes, f"rest restarted for {away_s:.1f} s"]
    if kind == "cut in a storm":
        cuts = [f"{who} cut for {away_s:.1f} s" for who in targets]
        return [f"all storm for {away_s + 1.0:.1f} s", *cuts]
    if kind == "gone":
        new = [f"{spare.pop()} added" for _ in targets]
        return [*(f"{who} gone" for who in targets), f"{away_s:.1f} s", *new]
    if kind == "stopped":
        new = [f"{spare.pop()} added" for _ in targets]
        # One after the other, as in a planned replacement by a platform.
        stops = [
            step for who in targets for step in (f"{who} stopped", "1.0 s")
        ]
        return [*new, f"{away_s:.1f} s", *stops]
    return [f"{who} {kind} for {away_s:.1f} s" for who in targets]


def draw_loss(rng: random.Random, spare: list[str]) -> list[str]:
    """Return the steps of one random failure and the wait after it."""
    who = rng.choice(("leader", "follower"))
    kinds = ["wiped", "restarted", "frozen"]
    if spare:
        kinds += ["gone", "planned"]
    kind = rng.choice(kinds)
    away_s = round(rng.uniform(0.3, 4.0), 1)
    recovery_s = round(RECOVERY_S + rng.uniform(0.0, 2.0), 1)
    if kind == "gone":
        new = spare.pop()
        return [f"{who} gone", f"{away_s} s", f"{new} added", f"{recovery_s} s"]
    if kind == "planned":
        new = spare.pop()
        return [f"{new} added", f"{away_s} s", f"{who} gone", f"{recovery_s} s"]
    back_s = round(away_s + recovery_s, 1)
    return [f"{who} {kind} for {away_s} s", f"{back_s} s"]
