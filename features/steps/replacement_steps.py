"""Steps for histories of VMs that are replaced, restarted, frozen and wiped."""

import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies as st

from features.support import mutants
from features.support import replacements

SEEDS = range(4)
KINDS = (
    "gone",
    "stopped",
    "wiped",
    "restarted",
    "frozen",
    "cut",
    "cut in a storm",
    "all restarted",
    "wiped, rest restarted",
)
EVENT = st.tuples(
    st.sampled_from(KINDS),
    st.booleans(),
    st.integers(1, 2),
    st.floats(0.3, 4.0),
    st.floats(0.0, 2.0),
)


@then(
    "after each of these histories the replica set has its full fault tolerance"
)
def set_recovers(context):
    broken = [
        (row["history"], seed, faults)
        for row in context.table
        for seed in SEEDS
        if (
            faults := replacements.faults_after(
                row["history"], int(row["tolerates"]), seed
            )
        )
    ]
    assert not broken, "\n".join(str(item) for item in broken)


@then(
    "after each of {count:d} random histories the replica set has its full fault"
    " tolerance"
)
def set_recovers_from_random_histories(context, count):
    broken = []
    for seed in range(count):
        losses, history = replacements.draw(seed)
        faults = replacements.faults_after(history, losses, seed)
        if faults:
            broken.append((losses, history, seed, faults))
    assert not broken, "\n".join(str(item) for item in broken)


@then("each mutant of the membership changes fails one of these histories")
def mutants_detected(context):
    missed = []
    for label in mutants.REPLACING:
        with mutants.injected(mutants.REPLACING, label):
            caught = any(breaks(row) for row in context.table)
        if not caught:
            missed.append(label)
    assert len(mutants.REPLACING) >= 5 and not missed, missed


def breaks(row) -> bool:
    """Return whether a history of a table fails or cannot start."""
    try:
        return bool(
            replacements.faults_after(row["history"], int(row["tolerates"]), 0)
        )
    except AssertionError:
        return True


@then(
    'in {count:d} runs of "{history}" there is no leader for at most {most:g} s'
)
def transfers_leadership(context, count, history, most):
    times = [
        replacements.time_without_leader(history, seed) for seed in range(count)
    ]
    assert max(times) <= most, sorted(times)


@then(
    "after each of {count:d} generated histories the replica set has its full"
    " fault tolerance"
)
def set_recovers_from_generated_histories(context, count):
    @hypothesis.settings(
        max_examples=count, derandomize=True, database=None, deadline=None
    )
    @hypothesis.given(
        events=st.lists(EVENT, min_size=1, max_size=6),
        losses=st.integers(1, 2),
        seed=st.integers(0, 2**16),
    )
    def holds(events, losses, seed):
        history = replacements.history_of(events, losses)
        faults = replacements.faults_after(history, losses, seed)
        assert not faults, (losses, history, seed, faults)

    holds()


@given("a leader that has led for {age:g} s and a replica that has failed")
def leader_of_age(context, age):
    site = context.site = replacements.Site(random.Random(5))
    site.begin()
    leader = site.known_leader()
    site.run_until(max(site.now, age))
    assert site.known_leader() == leader
    site.gone(site.follower())
    site.run_until(site.now + replacements.START_S)


@when("a new replica asks to join and its messages are lost for {seconds:g} s")
def messages_lost(context, seconds):
    site = context.site
    site.added("d")
    site.ask_leader(site.replicas["d"])
    # The call has arrived; the next messages of the replica are lost.
    others = set(site.replicas) - {"d"}
    site.cuts |= {("d", other) for other in others}
    site.run_until(site.now + seconds)
    assert "d" not in site.voters(), "promoted before its first reply"
    site.joined("d")


@then("it is a voter within {seconds:g} s and was not removed before")
def is_voter_within(context, seconds):
    site = context.site
    end = site.now + seconds
    while site.now < end and "d" not in site.voters():
        site.run_until(site.now + 0.05)
    assert "d" in site.voters(), site.voters()
    entries = site.leader().node.raft.log.entries
    sets = [e.replica_set for e in entries if e.replica_set is not None]
    known = [any("d#" in i for i in found.by_identity()) for found in sets]
    assert all(known[known.index(True) :]), known
