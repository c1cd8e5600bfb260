"""Steps for mutants of the log repair."""

import random

from behave import then

from features.support import logpairs
from features.support import mutants
from features.support import replacements
from features.support import survivors

BURST = "all storm for 6 s; leader cut for 3 s; 8 s; leader wiped"
FULL = "follower full for 3 s; 5.5 s; leader wiped"
ELECTION_S = 3.0
# Twice the number of heartbeats per second.
MAX_PROBES = 20


def repairs_old_leader() -> bool:
    """Return whether the set recovers from a burst at a leader that is cut off."""
    return not replacements.faults_after(BURST, 1, 0)


def recovers_from_full_disk() -> bool:
    """Return whether a replica is a voter again after its disk was full."""
    return not replacements.faults_after(FULL, 1, 0)


def keeps_new_learner() -> bool:
    """Return whether a leader of some age keeps a learner before its reply."""
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


def detects_lagging_voter() -> bool:
    """Return whether a voter that replies and stores nothing is detected."""
    site = replacements.Site(random.Random(5))
    site.begin()
    identity = site.identity(site.replicas[site.follower()]).identity
    leader = site.leader()
    now = site.clock(leader)
    leader.node.raft.progress[identity].current_at = now - 5.0
    return identity in leader.node.voter_monitor.view(now).lagging


def elects_one_of_two() -> bool:
    """Return whether two voters in different terms elect a leader."""
    rafts = [
        survivors.survivor(name, term, (5, end), 9.0)
        for name, term, end in zip(
            survivors.NAMES, (5, 6), (11, 10), strict=True
        )
    ]
    return survivors.time_to_lead(rafts, ELECTION_S) is not None


def probes_without_entries() -> bool:
    """Return whether a follower that lost entries is probed at a low rate."""
    pair = logpairs.after_loss()
    pair.run_with_third(1.0)
    probes = pair.appends[1:]
    return len(probes) < MAX_PROBES and not any(p.entries for p in probes)


CHECKS = (
    repairs_old_leader,
    probes_without_entries,
    recovers_from_full_disk,
    keeps_new_learner,
    detects_lagging_voter,
    elects_one_of_two,
)


def holds(check) -> bool:
    """Return whether a check holds; an AssertionError counts as a failure."""
    try:
        return check()
    except AssertionError:
        return False


@then("each mutant of the log repair fails a check that holds without it")
def mutants_detected(context):
    del context
    assert all(holds(check) for check in CHECKS)
    missed = []
    for label in mutants.REPAIRING:
        with mutants.injected(mutants.REPAIRING, label):
            if all(holds(check) for check in CHECKS):
                missed.append(label)
    assert len(mutants.REPAIRING) >= 7 and not missed, missed
