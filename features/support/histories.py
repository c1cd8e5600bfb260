"""Directed histories: short event sequences that lead to rare failures.

Each history runs on a machine after `build`. The machine's oracle and teardown
check it; some histories assert more.
"""

import random

from _coltsfootroad.control import electiontimer
from _coltsfootroad.control import log as log_lib
from _coltsfootroad.control import messages
from _coltsfootroad.control import peers
from _coltsfootroad.control import raft as raft_lib
from _coltsfootroad.control import ready as ready_lib
from _coltsfootroad.control import replicas
from _coltsfootroad.core import errors
from _coltsfootroad.core import registry
from features.support import requestmachine

REQUEST = {}
CONTROL = {}
SEEDS = range(4)


def history(table):
    """Register a history; its name, with spaces, is the label."""

    def register(run):
        table[run.__name__.replace("_", " ")] = run
        return run

    return register


# --- request path ------------------------------------------------------------


def submit_prompt(machine, entry, prompt=200, output=4, seconds=12.0, blocks=0):
    """Submit a prompt through an entry; return its record."""
    machine.submit(
        entry,
        service="assistant",
        prompt_tokens=prompt,
        output_tokens=output,
        deadline_at=machine.world.network.now + seconds,
        prefix_hashes=tuple(f"b{n}" for n in range(blocks)),
    )
    return machine.world.callers.records.get(f"r{machine.number}")


def charge(machine, entry, key="k1", body="x", seconds=5.0):
    """Submit a charge through an entry; return its record."""
    machine.charge(entry, key, body, seconds)
    return machine.world.callers.records[f"r{machine.number}"]


def advance(machine, seconds):
    """Run the simulated world for some seconds."""
    machine.world.network.run_until(machine.world.network.now + seconds)


@history(REQUEST)
def entry_dies_with_a_group(machine):
    record = submit_prompt(machine, "entry-0", prompt=30_000)
    advance(machine, 0.6)
    machine.world.entries.kill("entry-0")
    assert not record.finished
    advance(machine, 1.0)


@history(REQUEST)
def entry_crashes_during_a_charge_that_is_resent(machine):
    charge(machine, "entry-0", seconds=1.0)
    advance(machine, 0.1)
    machine.world.entries.kill("entry-0")
    for _ in range(5):
        advance(machine, 1.5)
        resent = charge(machine, "entry-1")
    advance(machine, 2.0)
    assert resent.failure.ran is errors.Ran.UNKNOWN, resent


@history(REQUEST)
def charge_is_resent_while_it_runs_and_after(machine):
    first = charge(machine, "entry-0")
    advance(machine, 0.1)
    second = charge(machine, "entry-1")
    advance(machine, 1.5)
    third = charge(machine, "entry-1")
    advance(machine, 1.0)
    assert first.finished and third.finished
    assert second.failure.code is errors.ErrorCode.IN_PROGRESS, second


@history(REQUEST)
def key_comes_with_another_body(machine):
    charge(machine, "entry-0")
    advance(machine, 1.0)
    other = charge(machine, "entry-1", body="y")
    advance(machine, 1.0)
    assert other.failure.code is errors.ErrorCode.KEY_REUSED, other


@history(REQUEST)
def caller_hangs_up_in_a_charge(machine):
    record = charge(machine, "entry-0")
    advance(machine, 0.1)
    machine.hang_up(machine.number, "entry-0")
    advance(machine, 2.0)
    resent = charge(machine, "entry-1")
    advance(machine, 1.0)
    assert resent.finished and not record.failure, resent


@history(REQUEST)
def service_crashes_during_a_charge(machine):
    record = charge(machine, "entry-0")
    advance(machine, 0.1)
    for name in requestmachine.PLAIN:
        machine.world.endpoints.kill(name)
    advance(machine, 1.0)
    machine.start_endpoints(None)
    advance(machine, 3.0)
    assert record.failure.ran is errors.Ran.UNKNOWN, record


@history(REQUEST)
def engine_crashes_during_a_stream(machine):
    records = [submit_prompt(machine, "entry-0", output=8) for _ in range(3)]
    advance(machine, 0.1)
    machine.world.endpoints.kill("engine-0")
    advance(machine, 0.02)
    machine.world.endpoints.kill("engine-1")
    advance(machine, 5.0)
    assert all(record.finished for record in records), records


@history(REQUEST)
def messages_come_twice_and_out_of_order(machine):
    machine.world.network.duplication = 0.9
    machine.world.network.extra_delay_s = 0.3
    machine.oracle.uninformed.update(requestmachine.ENTRIES)
    records = [
        submit_prompt(machine, name, output=8)
        for name in requestmachine.ENTRIES
        for _ in range(5)
    ]
    advance(machine, 8.0)
    assert all(record.finished for record in records), records


@history(REQUEST)
def cancels_are_lost(machine):
    submit_prompt(machine, "entry-0", prompt=30_000)
    advance(machine, 0.5)
    machine.hang_up(machine.number, "entry-0")
    machine.world.network.cut("entry-0", "*", both=False)
    submit_prompt(machine, "entry-0", prompt=30_000)
    advance(machine, 0.2)
    machine.world.network.heal()
    record = submit_prompt(machine, "entry-0", prompt=30_000)
    advance(machine, 0.6)
    machine.world.network.cut("entry-0", "*", both=False)
    machine.hang_up(machine.number, "entry-0")
    advance(machine, 0.2)
    assert not record.finished


@history(REQUEST)
def cancel_is_lost_while_its_engine_works(machine):
    # Fuzzing alone rarely finds a cancel that is never repeated.
    record = submit_prompt(
        machine, "entry-0", prompt=400, output=2_000, seconds=20.0
    )
    advance(machine, 0.3)
    machine.world.network.cut("entry-0", "*", both=False)
    machine.hang_up(machine.number, "entry-0")
    advance(machine, 0.2)
    machine.world.network.heal()
    advance(machine, 3.0)
    assert not record.finished


@history(REQUEST)
def isolated_entry_stops_admitting(machine):
    machine.world.network.cut("control", "entry-0")
    machine.patch({"services": {"assistant": {"max_queue": 7}}})
    advance(machine, requestmachine.BOUND_S + 1.0)
    record = submit_prompt(machine, "entry-0")
    advance(machine, 1.0)
    assert record.failure.code is errors.ErrorCode.ENTRY_FENCED, record


@history(REQUEST)
def control_answers_are_slow(machine):
    machine.world.network.cuts.clear()
    for _ in range(6):
        machine.patch({"services": {"assistant": {"max_queue": 9}}})
        machine.world.network.extra_delay_s = 1.9
        machine.oracle.uninformed.update(requestmachine.ENTRIES)
        advance(machine, 1.7)
    machine.world.network.cut("control", "entry-0")
    machine.patch({"services": {"assistant": {"max_queue": 8}}})
    advance(machine, 4.0)


@history(REQUEST)
def entry_is_restarted_after_many_changes(machine):
    machine.world.entries.kill("entry-0")
    for size in range(1, 20):
        machine.patch({"services": {"assistant": {"max_queue": size}}})
    machine.world.entries.start("entry-0")
    advance(machine, 1.0)
    fresh = machine.world.entries.by_name["entry-0"].core.freshness
    assert fresh.config.services["assistant"].max_queue == 19
    machine.patch({"services": {"assistant": {"max_queue": 5}}})
    advance(machine, 2.0)
    assert fresh.config.services["assistant"].max_queue == 5


@history(REQUEST)
def late_announcement_of_a_left_endpoint(machine):
    endpoint = machine.world.endpoints.by_name["engine-0"]
    old = registry.Announcement(
        endpoint="engine-0",
        incarnation=endpoint.incarnation,
        seq=endpoint.seq,
        service="assistant",
        address="engine-0",
        kv_tokens=requestmachine.KV_TOKENS,
    )
    machine.world.endpoints.leave("engine-0")
    machine.oracle.left_at["engine-0"] = machine.world.network.now
    advance(machine, requestmachine.LEAVE_S + 0.1)
    for entry in machine.world.entries.by_name.values():
        machine.world.entries.run_core(entry, entry.core.on_announcement, old)
    for _ in range(12):
        submit_prompt(machine, "entry-0")
    advance(machine, 1.0)


@history(REQUEST)
def late_announcement_from_before_a_restart(machine):
    world = machine.world
    endpoint = world.endpoints.by_name["engine-0"]
    old = registry.Announcement(
        endpoint="engine-0",
        incarnation=endpoint.incarnation,
        seq=10**6,
        service="assistant",
        address="engine-0",
        kv_tokens=requestmachine.KV_TOKENS,
    )
    world.endpoints.kill("engine-0")
    world.endpoints.start("engine-0")
    advance(machine, 1.0)
    world.endpoints.leave("engine-0")
    machine.oracle.left_at["engine-0"] = world.network.now
    advance(machine, requestmachine.LEAVE_S + 0.1)
    for entry in world.entries.by_name.values():
        world.entries.run_core(entry, entry.core.on_announcement, old)
    for _ in range(12):
        submit_prompt(machine, "entry-0")
    advance(machine, 1.0)


@history(REQUEST)
def group_ends_and_its_engines_are_free_at_once(machine):
    record = submit_prompt(machine, "entry-0", prompt=30_000)
    advance(machine, 4.0)
    assert record.finished, record
    assert (
        not machine.world.control.coordinator.groups.holds
    ), "a group outlived its request"


@history(REQUEST)
def workspace_over_its_rate_is_told_at_once(machine):
    submit_prompt(machine, "entry-0")
    advance(machine, 0.2)
    core = machine.world.entries.by_name["entry-0"].core
    core.limits.meter("shop").tokens = -50.0 * requestmachine.TOKENS_PER_S
    record = submit_prompt(machine, "entry-0")
    advance(machine, 0.01)
    assert record.failure.code is errors.ErrorCode.RATE_LIMITED, record
    assert record.failure.retry_after_s > 10, record
    core.limits.meter("shop").tokens = 0.0


@history(REQUEST)
def shares_move_between_entries(machine):
    for number in range(10):
        entry = requestmachine.ENTRIES[number % 2]
        for _ in range(8):
            submit_prompt(machine, entry, prompt=3_000, output=8, seconds=6.0)
        advance(machine, 0.7)
        if number == 5:
            machine.world.network.cut("control", "entry-0")


@history(REQUEST)
def shares_are_granted_again_after_a_long_outage(machine):
    for _ in range(4):
        submit_prompt(machine, "entry-0", prompt=3_000, output=8, seconds=6.0)
    advance(machine, 8.0)
    machine.world.control.stop()
    advance(machine, 8.0)
    machine.world.control.start()
    advance(machine, 7.0)
    record = submit_prompt(machine, "entry-0", seconds=3.0)
    advance(machine, 4.0)
    assert record.finished, record


@history(REQUEST)
def shares_over_a_restart_of_control(machine):
    for _ in range(8):
        submit_prompt(machine, "entry-0", prompt=3_000, output=8, seconds=6.0)
    advance(machine, 0.8)
    for _ in range(3):
        machine.world.network.cut("entry-0", "control")
        machine.world.control.stop()
        machine.world.control.start()
        for _ in range(8):
            submit_prompt(
                machine, "entry-1", prompt=3_000, output=8, seconds=6.0
            )
        advance(machine, 0.9)
        machine.world.network.heal()
        advance(machine, 5.0)


# --- control state -----------------------------------------------------------


def advance_cluster(machine, seconds):
    """Run the simulated cluster for some seconds."""
    machine.cluster.run_until(machine.cluster.now + seconds)


def other_voters(machine, name):
    """Return the names of the other voters."""
    return [n for n in machine.voters() if n != name]


def patch(machine, name, base, number):
    """Send a patch of version `base` through a replica."""
    return machine.cluster.call(
        name,
        messages.PatchConfig(
            patch_id=f"h{number}",
            base_version=base,
            patch=b'{"fleet": {"address_validity_s": %d}}' % number,
        ),
    )


@history(CONTROL)
def read_from_a_leader_that_was_cut_off(machine):
    old = machine.cluster.leader().name
    machine.isolate(old)
    remaining = other_replicas(machine, old)
    # The isolated leader steps down after the longest election timeout. Another
    # leader has to be elected after the shortest for both to lead at once.
    shorten_election_timeouts(machine, remaining[0])
    patch(machine, remaining[0], 0, 1)
    for _ in range(30):
        advance_cluster(machine, 0.1)
        machine.read(old)


def shorten_election_timeouts(machine, *names):
    """Set the election timeouts of replicas to the minimum."""
    cluster = machine.cluster
    for name in names:
        replica = cluster.replicas[name]
        due = cluster.clock(replica) + electiontimer.ELECTION_TIMEOUT_MIN_S
        replica.node.raft.timer.election_at = due
        cluster.plan_tick(replica)


@history(CONTROL)
def second_candidate_of_a_term_gets_no_vote(_):
    voter = raft_lib.Raft("a#0", random.Random(1), started_at=-9.0)
    granted = []
    for sender in ("b#0", "c#0", "b#0"):
        request = peers.VoteRequest(
            term=5, sender=sender, pre=False, last_index=9, last_term=4
        )
        voter.step(request, 0.0)
        (outgoing,) = voter.take_ready().messages
        granted.append(outgoing.message.granted)
    assert granted == [True, False, True], granted


def other_replicas(machine, name):
    """Return the names of the other replicas of the cluster."""
    return [n for n in machine.cluster.replicas if n != name]


@history(CONTROL)
def cut_off_leader_steps_down(machine):
    old = machine.cluster.leader()
    machine.isolate(old.name)
    advance_cluster(machine, 4.0)
    assert not old.node.raft.is_leader


@history(CONTROL)
def uncommitted_entries_are_replaced_permanently(machine):
    old = machine.cluster.leader()
    machine.isolate(old.name)
    for number in range(3):
        patch(machine, old.name, number, number + 1)
    advance_cluster(machine, 3.0)
    remaining = other_replicas(machine, old.name)
    patch(machine, remaining[0], 0, 50)
    advance_cluster(machine, 1.0)
    machine.mend()
    advance_cluster(machine, 2.0)
    machine.restart(old.name)
    advance_cluster(machine, 2.0)
    patch(machine, remaining[0], 1, 51)


@history(CONTROL)
def replica_that_missed_entries_cannot_lead(machine):
    leader = machine.cluster.leader().name
    behind, ahead = other_replicas(machine, leader)
    machine.isolate(behind)
    for number in range(3):
        patch(machine, leader, number, number + 1)
        advance_cluster(machine, 0.3)
    machine.crash(leader)
    machine.cluster.cuts.clear()
    machine.freeze(ahead, None, 2.0)
    advance_cluster(machine, 8.0)


@history(CONTROL)
def entry_of_an_old_term_is_not_committed_by_counting(_):
    replica_set = replicas.ReplicaSet(
        voters=tuple(
            replicas.Replica(name=n, disk="0", address=n) for n in "abc"
        )
    )
    log = log_lib.Log()
    for index in (1, 2):
        log.append(
            log_lib.Entry(
                term=1,
                index=index,
                kind=log_lib.EntryKind.REPLICAS,
                replica_set=replica_set,
            )
        )
    raft = raft_lib.Raft(
        identity="a#0",
        rng=random.Random(1),
        log=log,
        hard_state=ready_lib.HardState(term=3),
    )
    raft.campaign(False, 10.0)
    raft.step(
        peers.VoteReply(
            term=4, sender="b#0", pre=False, granted=True, asked_term=4
        ),
        10.0,
    )
    assert raft.is_leader
    reply = peers.AppendReply(
        term=4, sender="b#0", success=True, prev_index=0, match=2, sent_at=10.0
    )
    raft.step(reply, 10.0)
    assert raft.commit == 0, "an old term's entry was committed"


@history(CONTROL)
def learner_that_is_behind_gets_no_vote(machine):
    cluster = machine.cluster
    for number in range(100):
        patch(machine, cluster.leader().name, number, number + 1)
    advance_cluster(machine, 1.0)
    lost = next(r for r in other_voters(machine, cluster.leader().name))
    known = machine.voters()[lost]
    machine.crash(lost)
    cluster.add(lost)
    for other in cluster.replicas:
        cluster.cuts |= {(lost, other), (other, lost)}
    machine.join(lost, replaces=known)
    assert machine.voters()[lost] == known, "it votes without the log"


def run_until_entry_stored(cluster, leader: str, name: str) -> None:
    """Run the cluster until a replica has stored an entry of the leader."""
    identity = cluster.identity(cluster.replicas[name]).identity
    progress = cluster.replicas[leader].node.raft.progress[identity]
    end = cluster.now + 0.5
    while not progress.match and cluster.now < end:
        cluster.run_until(cluster.now + 0.002)
    assert progress.match, progress


@history(CONTROL)
def swap_of_a_voter_cannot_split_the_system(machine):
    cluster = machine.cluster
    leader = cluster.leader().name
    out, stays = other_replicas(machine, leader)
    cluster.add("d")
    # Without the cut, the leader would promote d at the next heartbeat after d
    # has stored an entry.
    cluster.cuts |= {("d", leader), (leader, "d")}
    machine.change(messages.ReplicaAction.LEARN, "d")
    advance_cluster(machine, 1.0)
    cluster.cuts.clear()
    run_until_entry_stored(cluster, leader, "d")
    for member in (leader, "d"):
        for other in (out, stays):
            cluster.cuts |= {(member, other), (other, member)}
    out_identity = machine.voters()[out]
    machine.change(messages.ReplicaAction.PROMOTE, "d", out_identity)
    patch(machine, leader, 0, 1)
    advance_cluster(machine, 1.0)
    patch(machine, stays, 0, 2)
    advance_cluster(machine, 4.0)
    machine.crash("d")


@history(CONTROL)
def second_replica_is_lost_right_after_a_repair(machine):
    cluster = machine.cluster
    leader = cluster.leader().name
    first, second = other_replicas(machine, leader)
    patch(machine, leader, 0, 1)
    machine.lose_disk(first)
    machine.crash(second)
    advance_cluster(machine, 3.0)
    answer = patch(machine, first, 1, 2)
    advance_cluster(machine, 2.0)
    assert answer.answer is not None, "no quorum after the repair"


@history(CONTROL)
def replica_that_was_sent_a_snapshot_continues(machine):
    cluster = machine.cluster
    leader = cluster.leader().name
    for number in range(5):
        patch(machine, leader, number, number + 1)
        advance_cluster(machine, 0.3)
    for name in cluster.replicas:
        machine.snapshot(name)
    lost = other_voters(machine, leader)[0]
    machine.lose_disk(lost)
    advance_cluster(machine, 3.0)
    log = cluster.replicas[lost].node.raft.log
    assert log.snapshot.index, "it was sent the log, not the snapshot"
    patch(machine, leader, 5, 6)
    advance_cluster(machine, 2.0)


@history(CONTROL)
def key_is_claimed_by_two(machine):
    for token in ("t1", "t2", "t1", "t2"):
        machine.claim("a", "k1", token)
        advance_cluster(machine, 1.2)


@history(CONTROL)
def lease_is_wanted_by_two(machine):
    for number in range(80):
        machine.lease("a", "x" if number < 4 else "xy"[number // 8 % 2])
        advance_cluster(machine, 0.1)


@history(CONTROL)
def lease_is_granted_after_its_requester_timed_out(machine):
    leader = machine.cluster.leader().name
    machine.lease(leader, "y")
    advance_cluster(machine, 0.3)
    for name in other_replicas(machine, leader):
        machine.crash(name)
    # Without a quorum no lease can be granted, and y holds it at this request.
    machine.lease(leader, "x")
    advance_cluster(machine, 3.0)
    machine.mend()
    advance_cluster(machine, 3.0)
    granted = [holder for holder, *_ in machine.cluster.leases]
    assert granted[-1] == "x", granted


@history(CONTROL)
def concurrent_patches_of_one_version(machine):
    first = patch(machine, "a", 0, 1)
    second = patch(machine, "b", 0, 2)
    advance_cluster(machine, 2.0)
    refused = [o for o in (first, second) if o.answer.failure is not None]
    assert len(refused) == 1, "both patches were merged"


@history(CONTROL)
def patch_is_resent_after_a_lost_answer(machine):
    first = patch(machine, "a", 0, 1)
    advance_cluster(machine, 1.0)
    machine.crash(machine.cluster.leader().name)
    advance_cluster(machine, 4.0)
    machine.mend()
    second = patch(machine, "b", 0, 1)
    advance_cluster(machine, 2.0)
    assert second.answer == first.answer, second.answer


@history(CONTROL)
def old_votes_survive_a_crash(machine):
    for seed in SEEDS:
        machine.cluster.rng.seed(seed)
        leader = machine.cluster.leader()
        if leader is not None:
            machine.crash(leader.name)
        advance_cluster(machine, 1.3)
        for name in list(machine.cluster.replicas):
            machine.restart(name)
        advance_cluster(machine, 4.0)


def run_one(machine_class, table, label) -> None:
    """Run a history and its teardown for each seed; raise on a failure."""
    for seed in SEEDS:
        machine = machine_class()
        machine.build(seed=seed)
        table[label](machine)
        machine.teardown()
