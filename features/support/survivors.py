"""Elections by two of three voters, in virtual time."""

import itertools
import random

from _coltsfootroad.control import log as log_lib
from _coltsfootroad.control import raft as raft_lib
from _coltsfootroad.control import ready as ready_lib
from _coltsfootroad.control import replicas

VOTERS = tuple(
    replicas.Replica(name=name, disk="d", address=f"{name}:1") for name in "abc"
)
NAMES = tuple(voter.identity for voter in VOTERS[:2])
LOST = VOTERS[2].identity
BEGIN = 100.0
TICK_S = 0.005
TERMS = (5, 6, 7)
# Term and index of the last entry.
LOGS = ((4, 12), (5, 10), (5, 11))
# Seconds since the last leader contact; None for a replica that just started.
CONTACTS = (0.0, 9.0, None)


def survivor(
    name: str, term: int, log_end: tuple[int, int], contact: float | None
) -> raft_lib.Raft:
    """Return one of three voters with the given term, log end and contact."""
    log = log_lib.Log()
    log.append(
        log_lib.Entry(
            term=0,
            index=1,
            kind=log_lib.EntryKind.REPLICAS,
            replica_set=replicas.ReplicaSet(voters=VOTERS),
        )
    )
    last_term, last_index = log_end
    for index in range(2, last_index + 1):
        log.append(
            log_lib.Entry(
                term=last_term, index=index, kind=log_lib.EntryKind.NOOP
            )
        )
    raft = raft_lib.Raft(
        identity=name,
        rng=random.Random(name),
        log=log,
        hard_state=ready_lib.HardState(term=term),
        started_at=BEGIN - (0.0 if contact is None else 50.0),
    )
    if contact is not None:
        raft.leader = LOST
        raft.timer.leader_contact_at = BEGIN - contact
        raft.timer.reset(BEGIN - contact)
    return raft


def time_to_lead(rafts: list[raft_lib.Raft], most_s: float) -> float | None:
    """Return the seconds until one of the replicas leads, None if too late."""
    now = BEGIN
    mail: list = []
    while now < BEGIN + most_s:
        now += TICK_S
        for raft in rafts:
            raft.tick(now)
            mail += raft.take_ready().messages
        due, mail = mail, []
        for outgoing in due:
            for raft in rafts:
                if raft.identity == outgoing.to:
                    raft.step(outgoing.message, now)
        if any(raft.is_leader for raft in rafts):
            return now - BEGIN
    return None


def stuck_pairs(most_s: float) -> list[tuple]:
    """Return the pairs of voter states from which no leader is elected."""
    states = list(itertools.product(TERMS, LOGS, CONTACTS))
    return [
        pair
        for pair in itertools.product(states, repeat=2)
        if time_to_lead(
            [survivor(n, *s) for n, s in zip(NAMES, pair, strict=True)], most_s
        )
        is None
    ]
