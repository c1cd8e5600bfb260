"""Steps for elections of replicas in virtual time, without disks."""

import heapq
import itertools
import random

from behave import given
from behave import then
from behave import when

from _coltsfootroad.control import log as log_lib
from _coltsfootroad.control import peers
from _coltsfootroad.control import raft as raft_lib
from _coltsfootroad.control import ready as ready_lib
from _coltsfootroad.control import replicas
from features.support import survivors

NAMES = ("a", "b", "c")
DELAY_S = 0.001
TICK_S = 0.005


def replica_set() -> replicas.ReplicaSet:
    """Return the set of three voters."""
    return replicas.ReplicaSet(
        voters=tuple(
            replicas.Replica(name=name, disk="d", address=f"{name}:1")
            for name in NAMES
        )
    )


class Cluster:
    """Three replicas whose messages, clock and restarts the test controls."""

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.order = itertools.count()
        self.mail: list = []
        self.rafts: dict[str, raft_lib.Raft] = {}
        self.down: set[str] = set()
        self.cut: set[str] = set()
        self.frozen: set[str] = set()
        first = log_lib.Entry(
            term=0,
            index=1,
            kind=log_lib.EntryKind.REPLICAS,
            replica_set=replica_set(),
        )
        for replica in replica_set().voters:
            log = log_lib.Log()
            log.append(first)
            raft = raft_lib.Raft(replica.identity, self.rng, log=log)
            raft.timer.started_at = self.now - 10.0
            raft.timer.leader_contact_at = self.now - 10.0
            raft.timer.reset(self.now)
            self.rafts[replica.identity] = raft

    def run(self, seconds: float) -> None:
        """Advance the time."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S / 5
            self.deliver()
            for identity, raft in self.rafts.items():
                if identity not in self.down | self.frozen:
                    if raft.next_wake() <= self.now:
                        raft.tick(self.now)
                    self.carry_out(identity)

    def deliver(self) -> None:
        """Deliver the messages that are due."""
        while self.mail and self.mail[0][0] <= self.now:
            _, _, sender, to, message = heapq.heappop(self.mail)
            if {sender, to} & self.cut or to in self.down | self.frozen:
                continue
            self.rafts[to].step(message, self.now)
            self.carry_out(to)

    def carry_out(self, identity: str) -> None:
        """Carry out the work of a replica; a sync takes no time."""
        raft = self.rafts[identity]
        while True:
            raft.flush_appends(self.now)
            ready = raft.take_ready()
            if ready.is_empty():
                return
            if ready.entries:
                raft.on_synced(ready.entries[-1].index, self.now)
            for outgoing in ready.messages:
                due = self.now + DELAY_S
                item = (due, next(self.order), identity, outgoing.to)
                heapq.heappush(self.mail, (*item, outgoing.message))

    def restart(self, identity: str) -> None:
        """Restart a replica with its stored log and hard state."""
        old = self.rafts[identity]
        self.rafts[identity] = raft_lib.Raft(
            identity,
            self.rng,
            log=old.log,
            hard_state=old.hard_state,
            started_at=self.now,
        )

    def leaders(self) -> list[str]:
        """Return the replicas that hold a lease, in their own view."""
        return [
            identity
            for identity, raft in self.rafts.items()
            if identity not in self.down and raft.has_lease(self.now)
        ]


def with_leader(seed: int = 3) -> Cluster:
    """Return a cluster with an elected leader."""
    cluster = Cluster(seed)
    while len(cluster.leaders()) != 1:
        cluster.run(0.05)
    return cluster


def followers(cluster: Cluster) -> list[str]:
    """Return the replicas that do not lead."""
    leader = cluster.leaders()[0]
    return [identity for identity in cluster.rafts if identity != leader]


@given("three replicas with a leader")
def replicas_with_leader(context):
    context.cluster = with_leader()


@given(
    "three replicas with a leader, of which {ahead:d} hold an additional entry"
)
def some_hold_additional_entry(context, ahead):
    cluster = with_leader()
    names = cluster.leaders() + followers(cluster)
    context.ahead = names[:ahead]
    for identity in context.ahead:
        log = cluster.rafts[identity].log
        term = log.last_term
        kind = log_lib.EntryKind.NOOP
        log.append(
            log_lib.Entry(term=term, index=log.last_index + 1, kind=kind)
        )
    context.cluster = cluster


@when("{who} restart but one {later}")
def restart_but_one(context, who, later):
    cluster = context.cluster
    *first, last = list(cluster.rafts)
    restart(cluster, first)
    cluster.down.add(last)
    if later != "never":
        wait_s = float(later.split()[0])
        context.elapsed_s = run_until_led(cluster, wait_s)
        cluster.restart(last)
        cluster.down.clear()


@when("both followers restart while the leader is {state}")
def restart_followers(context, state):
    cluster = context.cluster
    leader = cluster.leaders()[0]
    restart(cluster, followers(cluster))
    (cluster.cut if state == "cut off" else cluster.frozen).add(leader)


@when("all restart at once")
def restart_all(context):
    restart(context.cluster, list(context.cluster.rafts))


@when("one follower restarts")
def restart_one(context):
    cluster = context.cluster
    context.leader = cluster.leaders()[0]
    context.term = cluster.rafts[context.leader].term
    restart(cluster, followers(cluster)[:1])


def restart(cluster: Cluster, names: list[str]) -> None:
    """Restart replicas; messages in flight to them are lost."""
    for identity in names:
        cluster.restart(identity)
    cluster.mail = [item for item in cluster.mail if item[3] not in names]


def run_until_led(cluster: Cluster, limit_s: float) -> float:
    """Run until a new leader holds a lease; return the elapsed seconds."""
    began = cluster.now
    old = {
        identity for identity, raft in cluster.rafts.items() if raft.is_leader
    }
    while cluster.now < began + limit_s:
        cluster.run(TICK_S)
        if set(cluster.leaders()) - old - cluster.cut - cluster.frozen:
            break
    return cluster.now - began


@then(
    "a leader is elected after {least:g} s at the earliest and {most:g} s at"
    " the latest"
)
def leader_is_elected(context, least, most):
    elapsed_s = getattr(context, "elapsed_s", 0.0)
    elapsed_s += run_until_led(context.cluster, 3.0)
    assert least <= elapsed_s <= most, elapsed_s


@when("the leader transfers its leadership and is cut off {after:d} ms later")
def transfers_leadership_and_is_cut_off(context, after):
    cluster = context.cluster
    (context.old,) = cluster.leaders()
    cluster.rafts[context.old].transfer_leadership(cluster.now)
    cluster.carry_out(context.old)
    cluster.run(after * DELAY_S)
    cluster.cut = {context.old}


@then(
    "at most one replica holds a lease, and another leader is elected within"
    " {most:g} s"
)
def another_is_elected(context, most):
    cluster = context.cluster
    elected_after_s = None
    for step in range(2000):
        leaders = cluster.leaders()
        assert len(leaders) <= 1, (step, leaders)
        if elected_after_s is None and leaders and leaders != [context.old]:
            elected_after_s = step * DELAY_S
        cluster.run(DELAY_S)
    assert (
        elected_after_s is not None and elected_after_s <= most
    ), elected_after_s


@then("the leader remains the same in the same term for {seconds:g} s")
def leader_remains(context, seconds):
    cluster = context.cluster
    for _ in range(int(seconds / 0.05)):
        cluster.run(0.05)
        assert cluster.leaders() == [context.leader], cluster.leaders()
    assert cluster.rafts[context.leader].term == context.term


@then("a replica with the additional entry is elected within {most:g} s")
def up_to_date_replica_is_elected(context, most):
    run_until_led(context.cluster, most)
    (leader,) = context.cluster.leaders()
    assert leader in context.ahead, leader


FAULTS = ("restart", "restart", "restart all", "cut", "freeze", "repair")


@then(
    "in {count:d} random histories of restarts, network cuts and freezes at most"
    " one replica holds a lease"
)
def one_lease_during_restarts(context, count):
    for seed in range(count):
        play_drawn(seed, FAULTS)


@then(
    "in {count:d} random histories that include leadership transfers at most one"
    " replica holds a lease"
)
def one_lease_during_transfers(context, count):
    for seed in range(count):
        play_drawn(seed, (*FAULTS, "transfer", "transfer", "transfer"))


def play_drawn(seed: int, kinds: tuple[str, ...]) -> None:
    """Run a random history; check that at most one lease is ever held."""
    cluster = with_leader(seed)
    rng = random.Random(seed)
    for _ in range(6):
        act(cluster, rng, kinds)
        for _ in range(rng.randint(1, 60)):
            cluster.run(TICK_S)
            assert len(cluster.leaders()) <= 1, (seed, cluster.leaders())


def act(cluster: Cluster, rng: random.Random, kinds: tuple[str, ...]) -> None:
    """Apply a random fault to the cluster, or repair all faults."""
    names = list(cluster.rafts)
    what = rng.choice(kinds)
    if what == "restart all":
        restart(cluster, [n for n in names if n not in cluster.frozen])
    elif what == "restart":
        some = rng.sample(names, rng.randint(1, 2))
        restart(cluster, [n for n in some if n not in cluster.frozen])
    elif what == "cut":
        cluster.cut = {rng.choice(names)}
    elif what == "freeze":
        cluster.frozen = {rng.choice(names)}
    elif what == "transfer":
        for identity in cluster.leaders():
            cluster.rafts[identity].transfer_leadership(cluster.now)
    else:
        cluster.cut.clear()
        cluster.frozen.clear()


# --- one voter and one request -----------------------------------------------

ASKED_AT = 100.0
ME, OTHER, THIRD = (r.identity for r in replica_set().voters)


@given("a voter that {has}")
def one_replica(context, has):
    log = log_lib.Log()
    log.append(
        log_lib.Entry(
            term=0,
            index=1,
            kind=log_lib.EntryKind.REPLICAS,
            replica_set=replica_set(),
        )
    )
    words = has.split()
    ago_s = float(words[-3]) if words[-1] == "ago" else 0.0
    started = ASKED_AT - (ago_s if words[0] == "started" else 9.0)
    raft = raft_lib.Raft(ME, random.Random(1), log=log, started_at=started)
    if words[0] == "received":
        raft.on_leader_contact(OTHER, ASKED_AT - ago_s)
    elif words[0] in ("leads", "led"):
        led_at = ASKED_AT - ago_s
        raft.set_hard_state(ready_lib.HardState(term=1, vote=ME))
        raft.become_leader(led_at)
        for identity in (OTHER, THIRD):
            raft.progress[identity].acked_at = led_at
        raft.commit = raft.applied = raft.log.last_index
    if words[0] == "led":
        raft.become_follower(raft.term, "", ASKED_AT - ago_s)
    raft.take_ready()
    context.raft = raft


@when("another voter requests {what}")
def requests(context, what):
    raft = context.raft
    current = "too old" not in what
    request = peers.VoteRequest(
        term=raft.term + 1,
        sender=THIRD,
        pre="pre-vote" in what,
        last_index=9 if current else 0,
        last_term=raft.log.last_term if current else 0,
        all_idle="all are idle" in what,
    )
    raft.step(request, ASKED_AT)
    (outgoing,) = raft.take_ready().messages
    context.answer = outgoing.message


@then("the voter replies {answer}")
def replies(context, answer):
    reply = (context.answer.granted, context.answer.idle)
    assert reply == ("yes" in answer, "idle" in answer), context.answer


@when("three replicas restart at the same instant, {count:d} times")
def restart_repeatedly(context, count):
    context.times = []
    for seed in range(count):
        cluster = with_leader(seed)
        restart(cluster, list(cluster.rafts))
        context.times.append(run_until_led(cluster, 3.0))


@then("9 in 10 have a leader within {most:g} s, all within {longest:g} s")
def votes_rarely_split(context, most, longest):
    times = sorted(context.times)
    assert times[len(times) * 9 // 10] <= most, times
    assert times[-1] <= longest, times[-5:]


# --- two voters of three -----------------------------------------------------


@given("two of three voters in terms {terms} whose logs end at {ends}")
def two_voters(context, terms, ends):
    states = zip(terms.split(", "), ends.split(", "), strict=True)
    context.rafts = [
        survivors.survivor(name, int(term), (5, int(end)), 9.0)
        for name, (term, end) in zip(survivors.NAMES, states, strict=True)
    ]


@then("one of them is elected within {most:g} s")
def one_of_two_is_elected(context, most):
    assert survivors.time_to_lead(context.rafts, most) is not None, [
        (raft.term, raft.log.last_index, raft.refusals)
        for raft in context.rafts
    ]


@then(
    "with every pair of terms, logs and last contacts a leader is elected within"
    " {most:g} s"
)
def all_pairs_elect_a_leader(_, most):
    stuck = survivors.stuck_pairs(most)
    assert not stuck, (len(stuck), stuck[:5])


@when("a replica has recorded {count:d} failed elections")
def failed_elections_recorded(context, count):
    raft = raft_lib.Raft("a#d", random.Random(1))
    for _ in range(count):
        raft.timer.record_failure(100.0)
    context.timer = raft.timer


@when("a replica restarts with a stored vote and campaigns")
def restarts_with_vote(context):
    raft = raft_lib.Raft(
        "a#d",
        random.Random(1),
        hard_state=ready_lib.HardState(term=3, vote="b#d"),
        started_at=100.0,
    )
    raft.tick(100.0)
    raft.tick(raft.next_wake())
    context.timer = raft.timer


@then("its election timeouts are at most {times:g} times the regular ones")
def timeouts_are_bounded(context, times):
    assert context.timer.timeout_scale(100.2) <= times
