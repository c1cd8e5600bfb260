"""Histories of a fleet with failing endpoints, which use its retry budget."""

import collections
import random

from _coltsfootroad.control import retrylending
from _coltsfootroad.core import minimumshare
from features.support import retryworld

COUNT = 9
WARM_UP_S = 30.0
# How often per second each gateway uses up its retry budget.
EXHAUSTING_RATE = 8.0


def warm_fleet(count: int = COUNT) -> retryworld.World:
    """Return a fleet that has run for a while without failures."""
    world = retryworld.World(count)
    world.run(WARM_UP_S, retry_rate=0.0)
    return world


def no_gateway_faults() -> retryworld.World:
    """Let only endpoints fail."""
    world = warm_fleet()
    world.run(25.0, EXHAUSTING_RATE)
    return world


def all_restart_twice() -> retryworld.World:
    """Kill all gateways twice, four seconds apart."""
    world = warm_fleet()
    for _ in range(2):
        world.run(2.0, EXHAUSTING_RATE)
        world.kill(list(world.gateways), 0.5)
        world.run(2.0, EXHAUSTING_RATE)
    world.run(20.0, EXHAUSTING_RATE)
    return world


def each_restarts_in_turn() -> retryworld.World:
    """Restart one gateway after the other, as in a rolling update."""
    world = warm_fleet()
    world.run(0.5, EXHAUSTING_RATE)
    for name in world.gateways:
        world.kill([name], 0.3)
        world.run(0.5, EXHAUSTING_RATE)
    world.run(20.0, EXHAUSTING_RATE)
    return world


def five_are_lost() -> retryworld.World:
    """Lose five of nine gateways, which the others detect."""
    world = warm_fleet()
    world.run(1.0, EXHAUSTING_RATE)
    world.kill(list(world.gateways)[:5], 60.0)
    world.run(30.0, EXHAUSTING_RATE)
    return world


def five_are_partitioned() -> retryworld.World:
    """Partition five of nine gateways, which send until their proof expires."""
    world = warm_fleet()
    world.run(1.0, EXHAUSTING_RATE)
    world.partition(list(world.gateways)[:5], 20.0)
    world.run(40.0, EXHAUSTING_RATE)
    return world


def members_join_one_by_one() -> retryworld.World:
    """Cold restart all gateways; control detects one after the other."""
    world = retryworld.World(COUNT)
    world.hide(list(world.gateways))
    for number, gateway in enumerate(world.gateways.values()):
        gateway.until = world.now + 0.1 * number
    world.run(30.0, EXHAUSTING_RATE)
    return world


def fleet_grows() -> retryworld.World:
    """Grow the fleet from four gateways to twelve."""
    world = retryworld.World(12)
    later = list(world.gateways)[4:]
    world.hide(later)
    for name in later:
        world.gateways[name].until = world.now + WARM_UP_S + 1.0
    world.run(WARM_UP_S, retry_rate=0.0)
    world.run(30.0, EXHAUSTING_RATE)
    return world


def restart_between_bursts() -> retryworld.World:
    """Let endpoints fail at both ends of a window, with a restart between."""
    world = warm_fleet()
    world.run(10.0, retry_rate=0.0, rate=40.0)
    world.run(0.3, 2 * EXHAUSTING_RATE, rate=40.0)
    world.kill(list(world.gateways), 0.1)
    world.run(9.0, retry_rate=0.0, rate=40.0)
    world.run(0.6, 2 * EXHAUSTING_RATE, rate=40.0)
    return world


def requests_move() -> retryworld.World:
    """Move callers to other gateways, with a burst of failures at both."""
    world = warm_fleet()
    names = list(world.gateways)
    world.serving = set(names[:4])
    world.run(10.0, retry_rate=0.0, rate=80.0)
    world.run(0.3, 2 * EXHAUSTING_RATE, rate=80.0)
    world.serving = set(names[4:])
    world.run(9.0, retry_rate=0.0, rate=80.0)
    world.run(0.6, 2 * EXHAUSTING_RATE, rate=80.0)
    return world


def reserved_are_sent_late() -> retryworld.World:
    """Send reserved retries after twelve seconds, along with others."""
    world = warm_fleet()
    world.reserve_all()
    world.run(12.0, retry_rate=0.0)
    world.send_reserved()
    world.run(12.0, EXHAUSTING_RATE)
    return world


def reserved_outlast_requests() -> retryworld.World:
    """Reserve retries until the requests that earned them leave the window."""
    world = warm_fleet()
    world.run(10.0, retry_rate=0.0, rate=20.0)
    for _ in range(3):
        world.reserve_all()
        world.run(4.0, retry_rate=0.0, rate=20.0)
    world.run(12.0, retry_rate=0.0)
    world.send_reserved()
    world.run(12.0, EXHAUSTING_RATE)
    return world


def leaders_change() -> retryworld.World:
    """Change the leader repeatedly while gateways borrow."""
    world = warm_fleet()
    for seconds in (1.0, 4.0, 11.0, 3.0):
        world.run(seconds, EXHAUSTING_RATE)
        world.elect_leader()
    world.run(40.0, EXHAUSTING_RATE)
    return world


def no_leader() -> retryworld.World:
    """Leave the fleet without a leader for a while, then elect one."""
    world = warm_fleet()
    world.run(1.0, EXHAUSTING_RATE)
    world.fleet.lender = None
    world.run(6.0, EXHAUSTING_RATE)
    world.elect_leader()
    world.run(40.0, EXHAUSTING_RATE)
    return world


def loans_used_at_expiry() -> retryworld.World:
    """Send lent retries right before expiry, along with those of new loans."""
    world = warm_fleet()
    for wait_s in (0.0, 3.9, 8.0, 0.5, 3.9):
        world.reserve_all()
        world.run(wait_s, retry_rate=0.0)
        world.send_reserved()
        world.run(2.0, EXHAUSTING_RATE)
    world.run(20.0, EXHAUSTING_RATE)
    return world


def answers_are_lost() -> retryworld.World:
    """Lose half of the leader's answers in transit."""
    world = warm_fleet()
    world.fleet.lost_answers = 0.5
    world.run(40.0, EXHAUSTING_RATE)
    return world


def all_restart_while_they_borrow() -> retryworld.World:
    """Restart all gateways every few seconds, under one leader."""
    world = warm_fleet()
    for _ in range(6):
        world.run(2.5, EXHAUSTING_RATE)
        world.kill(list(world.gateways), 0.2)
    world.run(20.0, EXHAUSTING_RATE)
    return world


DIRECTED = {
    "no gateway is lost": no_gateway_faults,
    "all restart twice": all_restart_twice,
    "each restarts in turn": each_restarts_in_turn,
    "five of nine are lost": five_are_lost,
    "five of nine are partitioned": five_are_partitioned,
    "members become known one by one": members_join_one_by_one,
    "four gateways become twelve": fleet_grows,
    "all restart between two bursts": restart_between_bursts,
    "callers move between two bursts": requests_move,
    "reserved retries are sent late": reserved_are_sent_late,
    "reserved retries outlast their requests": reserved_outlast_requests,
    "the leader changes repeatedly": leaders_change,
    "there is no leader for 6 s": no_leader,
    "loans are used at their expiry": loans_used_at_expiry,
    "half of the loans are lost in transit": answers_are_lost,
    "all restart while they borrow": all_restart_while_they_borrow,
}


def random_history(seed: int) -> retryworld.World:
    """Return the fleet after a history with random faults."""
    rng = random.Random(seed)
    world = retryworld.World(rng.choice((1, 3, 9, 24)), rng)
    world.run(rng.choice((0.0, WARM_UP_S)), 0.0, rng.uniform(0.0, 8.0))
    for _ in range(rng.randint(3, 9)):
        names = list(world.gateways)
        affected = rng.sample(names, rng.randint(1, len(names)))
        if rng.random() < 0.6:
            world.kill(affected, rng.uniform(0.1, 4.0))
        else:
            world.partition(affected, rng.uniform(0.5, 12.0))
        if rng.random() < 0.3:
            world.reserve_all()
        if rng.random() < 0.3:
            world.elect_leader()
        world.fleet.lost_answers = rng.choice((0.0, 0.3))
        world.run(
            rng.uniform(0.2, 6.0),
            rng.choice((0.0, 1.0, EXHAUSTING_RATE)),
            rng.choice((0.0, 1.0, 8.0, 40.0)),
        )
        world.send_reserved()
    world.run(5.0, EXHAUSTING_RATE)
    return world


def retries_of_full_budget(
    count: int, requests: int, failing: int
) -> tuple[retryworld.Fleet, int]:
    """Return a fleet and its retries in the first second of failures.

    `failing` of its `count` gateways see failures. Each gateway has received
    `requests` within the window, and has used no retry before.
    """
    rng = random.Random(count)
    fleet = retryworld.Fleet(rng)
    fleet.lender = retrylending.RetryLender(fleet.now - WARM_UP_S)
    gateways = [
        retryworld.Gateway(f"g{number}", fleet) for number in range(count)
    ]
    for gateway in gateways:
        gateway.seen_at = fleet.now
        gateway.slack_share = minimumshare.MinimumShare(
            1.0, 100.0, fleet.now, collections.deque([equal_share(count)])
        )
        for _ in range(requests):
            gateway.serve()
    for _ in range(20):
        fleet.now += 0.05
        for gateway in rng.sample(gateways[:failing], failing):
            gateway.retry(1)
    return fleet, len(fleet.retries)


def equal_share(count: int) -> minimumshare.ShareInterval:
    """Return the share of one of `count` gateways."""
    return minimumshare.ShareInterval(1.0 / count)
