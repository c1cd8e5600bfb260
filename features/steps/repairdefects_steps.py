"""Steps that plant defects in the repair of replicas."""

import random

from behave import then

from features.support import logpairs
from features.support import mutants
from features.support import replacements
from features.support import survivors

STORM = "all storm for 6 s; leader cut for 3 s; 8 s; leader wiped"
FULL = "follower full for 3 s; 5.5 s; leader wiped"
ELECTION_S = 3.0
# Twice the heartbeats of a second.
MAX_PROBES = 20


def repairs_an_old_leader() -> bool:
    """Return whether a storm at a leader that is cut off leaves a whole set."""
    return not replacements.faults_after(STORM, 1, 0)


def votes_after_a_full_disk() -> bool:
    """Return whether a replica whose disk was full counts again."""
    return not replacements.faults_after(FULL, 1, 0)


def keeps_a_new_learner() -> bool:
    """Return whether a learner beside an old leader stays until it votes."""
    site = replacements.Site(random.Random(5))
    site.begin()
    site.gone(site.follower())
    site.run_until(site.now + replacements.START_S)
    site.added("d")
    site.ask_leader(site.replicas["d"])
    site.cuts.add(("d", site.known_leader()))
    site.run_until(site.now + 0.3)
    learners = site.leader().node.raft.replica_set.learners
    return "d" in [learner.name for learner in learners]


def sees_a_voter_that_lags() -> bool:
    """Return whether a voter that responds and stores nothing is noticed."""
    site = replacements.Site(random.Random(5))
    site.begin()
    identity = site.identity(site.replicas[site.follower()]).identity
    leader = site.leader()
    now = site.clock(leader)
    leader.node.raft.progress[identity].current_at = now - 5.0
    return identity in leader.node.watch.view(now).lagging


def elects_one_of_two() -> bool:
    """Return whether voters in different terms elect a leader."""
    rafts = [
        survivors.survivor(name, term, (5, end), 9.0)
        for name, term, end in zip(
            survivors.NAMES, (5, 6), (11, 10), strict=True
        )
    ]
    return survivors.time_to_lead(rafts, ELECTION_S) is not None


def probes_without_entries() -> bool:
    """Return whether a follower that lost entries is probed at a slow pace."""
    pair = logpairs.after_loss()
    pair.run_with_third(1.0)
    probes = pair.appends[1:]
    return len(probes) < MAX_PROBES and not any(p.entries for p in probes)


CHECKS = (
    repairs_an_old_leader,
    probes_without_entries,
    votes_after_a_full_disk,
    keeps_a_new_learner,
    sees_a_voter_that_lags,
    elects_one_of_two,
)


def holds(check) -> bool:
    """Return whether a check holds; one that cannot run does not."""
    try:
        return check()
    except AssertionError:
        return False


@then(
    "each deliberate defect of repairing is caught by a check that holds"
    " without it"
)
def each_is_caught(context):
    del context
    assert all(holds(check) for check in CHECKS)
    missed = []
    for label in mutants.REPAIRING:
        with mutants.injected(mutants.REPAIRING, label):
            if all(holds(check) for check in CHECKS):
                missed.append(label)
    assert len(mutants.REPAIRING) >= 7 and not missed, missed
