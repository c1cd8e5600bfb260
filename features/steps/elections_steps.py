"""Steps on elections, with replicas in virtual time and no disk."""

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
    """Return the set of all three."""
    return replicas.ReplicaSet(
        voters=tuple(
            replicas.Replica(name=name, disk="d", address=f"{name}:1")
            for name in NAMES
        )
    )


class Cluster:
    """Three replicas whose messages, clocks and starts a test decides."""

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
        """Let time pass."""
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
        """Hand over the messages that are due."""
        while self.mail and self.mail[0][0] <= self.now:
            _, _, sender, to, message = heapq.heappop(self.mail)
            if {sender, to} & self.cut or to in self.down | self.frozen:
                continue
            self.rafts[to].step(message, self.now)
            self.carry_out(to)

    def carry_out(self, identity: str) -> None:
        """Carry out what a replica wants done; disks take no time."""
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
        """Start a replica again with what its disk holds."""
        old = self.rafts[identity]
        self.rafts[identity] = raft_lib.Raft(
            identity,
            self.rng,
            log=old.log,
            hard_state=old.hard_state,
            started_at=self.now,
        )

    def leaders(self) -> list[str]:
        """Return who leads with a lease, by what each one believes."""
        return [
            identity
            for identity, raft in self.rafts.items()
            if identity not in self.down and raft.has_lease(self.now)
        ]


def with_leader(seed: int = 3) -> Cluster:
    """Return replicas of which one leads."""
    cluster = Cluster(seed)
    while len(cluster.leaders()) != 1:
        cluster.run(0.05)
    return cluster


def followers(cluster: Cluster) -> list[str]:
    """Return who does not lead."""
    leader = cluster.leaders()[0]
    return [identity for identity in cluster.rafts if identity != leader]


@given("three replicas with a leader")
def replicas_with_leader(context):
    context.cluster = with_leader()


@given("three replicas with a leader, of which {ahead:d} hold one entry more")
def some_ahead(context, ahead):
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


@when("{who} start again but one {later}")
def start_but_one(context, who, later):
    cluster = context.cluster
    *first, last = list(cluster.rafts)
    begin(cluster, first)
    cluster.down.add(last)
    if later != "never":
        wait_s = float(later.split()[0])
        context.spent_s = run_until_led(cluster, wait_s)
        cluster.restart(last)
        cluster.down.clear()


@when("both followers start again while the leader is {state}")
def start_followers(context, state):
    cluster = context.cluster
    leader = cluster.leaders()[0]
    begin(cluster, followers(cluster))
    (cluster.cut if state == "cut off" else cluster.frozen).add(leader)


@when("all start again at once")
def start_all(context):
    begin(context.cluster, list(context.cluster.rafts))


@when("one follower starts again")
def start_one(context):
    cluster = context.cluster
    context.leader = cluster.leaders()[0]
    context.term = cluster.rafts[context.leader].term
    begin(cluster, followers(cluster)[:1])


def begin(cluster: Cluster, names: list[str]) -> None:
    """Start replicas again; what was on its way to them is lost."""
    for identity in names:
        cluster.restart(identity)
    cluster.mail = [item for item in cluster.mail if item[3] not in names]


def run_until_led(cluster: Cluster, most_s: float) -> float:
    """Let time pass until somebody who was started leads; return how much."""
    began = cluster.now
    old = {
        identity for identity, raft in cluster.rafts.items() if raft.is_leader
    }
    while cluster.now < began + most_s:
        cluster.run(TICK_S)
        if set(cluster.leaders()) - old - cluster.cut - cluster.frozen:
            break
    return cluster.now - began


@then(
    "one leads after {least:g} s at the earliest and {most:g} s at the latest"
)
def one_leads(context, least, most):
    spent_s = getattr(context, "spent_s", 0.0)
    spent_s += run_until_led(context.cluster, 3.0)
    assert least <= spent_s <= most, spent_s


@when("the leader hands over and is cut off {after:d} ms later")
def hands_over_cut(context, after):
    cluster = context.cluster
    (context.old,) = cluster.leaders()
    cluster.rafts[context.old].transfer_leadership(cluster.now)
    cluster.carry_out(context.old)
    cluster.run(after * DELAY_S)
    cluster.cut = {context.old}


@then("two never hold a lease, and another one leads within {most:g} s")
def another_leads(context, most):
    cluster = context.cluster
    led_after_s = None
    for step in range(2000):
        leaders = cluster.leaders()
        assert len(leaders) <= 1, (step, leaders)
        if led_after_s is None and leaders and leaders != [context.old]:
            led_after_s = step * DELAY_S
        cluster.run(DELAY_S)
    assert led_after_s is not None and led_after_s <= most, led_after_s


@then("the same one leads in the same term for {seconds:g} s")
def same_leads(context, seconds):
    cluster = context.cluster
    for _ in range(int(seconds / 0.05)):
        cluster.run(0.05)
        assert cluster.leaders() == [context.leader], cluster.leaders()
    assert cluster.rafts[context.leader].term == context.term


@then("one of those that are ahead leads within {most:g} s")
def ahead_leads(context, most):
    run_until_led(context.cluster, most)
    (leader,) = context.cluster.leaders()
    assert leader in context.ahead, leader


FAULTS = ("start", "start", "start all", "cut", "freeze", "mend")


@then(
    "over {count:d} drawn histories of starts, cuts and freezes two never hold"
    " one"
)
def never_two(context, count):
    for seed in range(count):
        play_drawn(seed, FAULTS)


@then(
    "over {count:d} drawn histories of these and of leaders that hand over two"
    " never hold one"
)
def never_two_handing_over(context, count):
    for seed in range(count):
        play_drawn(seed, (*FAULTS, "hand over", "hand over", "hand over"))


def play_drawn(seed: int, kinds: tuple[str, ...]) -> None:
    """Play a drawn history; check all the time that one lease is held."""
    cluster = with_leader(seed)
    rng = random.Random(seed)
    for _ in range(6):
        act(cluster, rng, kinds)
        for _ in range(rng.randint(1, 60)):
            cluster.run(TICK_S)
            assert len(cluster.leaders()) <= 1, (seed, cluster.leaders())


def act(cluster: Cluster, rng: random.Random, kinds: tuple[str, ...]) -> None:
    """Start some replicas again, cut or freeze one, or mend everything."""
    names = list(cluster.rafts)
    what = rng.choice(kinds)
    if what == "start all":
        begin(cluster, [n for n in names if n not in cluster.frozen])
    elif what == "start":
        some = rng.sample(names, rng.randint(1, 2))
        begin(cluster, [n for n in some if n not in cluster.frozen])
    elif what == "cut":
        cluster.cut = {rng.choice(names)}
    elif what == "freeze":
        cluster.frozen = {rng.choice(names)}
    elif what == "hand over":
        for identity in cluster.leaders():
            cluster.rafts[identity].transfer_leadership(cluster.now)
    else:
        cluster.cut.clear()
        cluster.frozen.clear()


# --- one replica and one question --------------------------------------------

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
    if words[0] == "heard":
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


@when("another one asks it for {what}")
def asks_for(context, what):
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


@then("it says {answer}")
def says(context, answer):
    found = (context.answer.granted, context.answer.idle)
    assert found == ("yes" in answer, "idle" in answer), context.answer


@when("all of three replicas start again at the same instant, {count:d} times")
def start_often(context, count):
    context.times = []
    for seed in range(count):
        cluster = with_leader(seed)
        begin(cluster, list(cluster.rafts))
        context.times.append(run_until_led(cluster, 3.0))


@then("9 in 10 have a leader within {most:g} s, all within {longest:g} s")
def seldom_split(context, most, longest):
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


@then("one of them leads within {most:g} s")
def one_of_two_leads(context, most):
    assert survivors.time_to_lead(context.rafts, most) is not None, [
        (raft.term, raft.log.last_index, raft.refusals)
        for raft in context.rafts
    ]


@then(
    "of all pairs of terms, logs and last contacts each leads within {most:g} s"
)
def all_pairs_lead(_, most):
    stuck = survivors.stuck_pairs(most)
    assert not stuck, (len(stuck), stuck[:5])


@when("a replica has seen {count:d} failed elections")
def failed_elections(context, count):
    raft = raft_lib.Raft("a#d", random.Random(1))
    for _ in range(count):
        raft.timer.record_failure(100.0)
    context.timer = raft.timer


@when("a replica starts that has voted in its term, and stands for election")
def starts_with_vote(context):
    raft = raft_lib.Raft(
        "a#d",
        random.Random(1),
        hard_state=ready_lib.HardState(term=3, vote="b#d"),
        started_at=100.0,
    )
    raft.tick(100.0)
    raft.tick(raft.next_wake())
    context.timer = raft.timer


@then("its election timeouts are at most {times:g} times the usual ones")
def bounded_timeouts(context, times):
    assert context.timer.timeout_scale(100.2) <= times
