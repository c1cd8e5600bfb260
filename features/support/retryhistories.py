"""What happens to a fleet whose endpoints fail, for its retry budget."""

import collections
import random

from _coltsfootroad.control import retrylending
from _coltsfootroad.core import minimumshare
from features.support import retryworld

COUNT = 9
SETTLED_S = 30.0
# Each gateway spends all that it holds several times a second.
GREEDY = 8.0


def settled(count: int = COUNT) -> retryworld.World:
    """Return a fleet that has run for a while without a failure."""
    world = retryworld.World(count)
    world.run(SETTLED_S, retry_rate=0.0)
    return world


def nothing() -> retryworld.World:
    """Let only the endpoints fail."""
    world = settled()
    world.run(25.0, GREEDY)
    return world


def all_restart_twice() -> retryworld.World:
    """Kill all gateways, and again four seconds later."""
    world = settled()
    for _ in range(2):
        world.run(2.0, GREEDY)
        world.kill(list(world.gateways), 0.5)
        world.run(2.0, GREEDY)
    world.run(20.0, GREEDY)
    return world


def each_restarts_in_turn() -> retryworld.World:
    """Restart one gateway after the other, as a rolling release does."""
    world = settled()
    world.run(0.5, GREEDY)
    for name in world.gateways:
        world.kill([name], 0.3)
        world.run(0.5, GREEDY)
    world.run(20.0, GREEDY)
    return world


def five_are_lost() -> retryworld.World:
    """Lose five of nine gateways, which the others see."""
    world = settled()
    world.run(1.0, GREEDY)
    world.kill(list(world.gateways)[:5], 60.0)
    world.run(30.0, GREEDY)
    return world


def five_are_cut_off() -> retryworld.World:
    """Cut five of nine gateways off; they send until their proof is old."""
    world = settled()
    world.run(1.0, GREEDY)
    world.cut_off(list(world.gateways)[:5], 20.0)
    world.run(40.0, GREEDY)
    return world


def members_fill_one_by_one() -> retryworld.World:
    """Start all gateways cold; control hears of one after the other."""
    world = retryworld.World(COUNT)
    world.never_seen(list(world.gateways))
    for number, gateway in enumerate(world.gateways.values()):
        gateway.until = world.now + 0.1 * number
    world.run(30.0, GREEDY)
    return world


def fleet_grows() -> retryworld.World:
    """Let four gateways become twelve."""
    world = retryworld.World(12)
    later = list(world.gateways)[4:]
    world.never_seen(later)
    for name in later:
        world.gateways[name].until = world.now + SETTLED_S + 1.0
    world.run(SETTLED_S, retry_rate=0.0)
    world.run(30.0, GREEDY)
    return world


def restart_between_bursts() -> retryworld.World:
    """Let endpoints fail at both ends of a window, with a restart between."""
    world = settled()
    world.run(10.0, retry_rate=0.0, rate=40.0)
    world.run(0.3, 2 * GREEDY, rate=40.0)
    world.kill(list(world.gateways), 0.1)
    world.run(9.0, retry_rate=0.0, rate=40.0)
    world.run(0.6, 2 * GREEDY, rate=40.0)
    return world


def requests_move() -> retryworld.World:
    """Let callers move to other gateways, with a burst of failures at both."""
    world = settled()
    names = list(world.gateways)
    world.serving = set(names[:4])
    world.run(10.0, retry_rate=0.0, rate=80.0)
    world.run(0.3, 2 * GREEDY, rate=80.0)
    world.serving = set(names[4:])
    world.run(9.0, retry_rate=0.0, rate=80.0)
    world.run(0.6, 2 * GREEDY, rate=80.0)
    return world


def reserved_ones_leave_late() -> retryworld.World:
    """Hold retries for sends that wait for twelve seconds, beside others."""
    world = settled()
    world.reserve_all()
    world.run(12.0, retry_rate=0.0)
    world.send_reserved()
    world.run(12.0, GREEDY)
    return world


def reserved_ones_lose_their_ground() -> retryworld.World:
    """Hold retries for which the requests that earned them grow too old."""
    world = settled()
    world.run(10.0, retry_rate=0.0, rate=20.0)
    for _ in range(3):
        world.reserve_all()
        world.run(4.0, retry_rate=0.0, rate=20.0)
    world.run(12.0, retry_rate=0.0)
    world.send_reserved()
    world.run(12.0, GREEDY)
    return world


def leaders_change() -> retryworld.World:
    """Let one leader after another begin while gateways borrow."""
    world = settled()
    for seconds in (1.0, 4.0, 11.0, 3.0):
        world.run(seconds, GREEDY)
        world.lead()
    world.run(40.0, GREEDY)
    return world


def nobody_leads() -> retryworld.World:
    """Let nobody lead for a while, and another leader begin then."""
    world = settled()
    world.run(1.0, GREEDY)
    world.fleet.lender = None
    world.run(6.0, GREEDY)
    world.lead()
    world.run(40.0, GREEDY)
    return world


def loans_leave_at_their_end() -> retryworld.World:
    """Hold lent retries until their loans end, beside those of the next."""
    world = settled()
    for wait_s in (0.0, 3.9, 8.0, 0.5, 3.9):
        world.reserve_all()
        world.run(wait_s, retry_rate=0.0)
        world.send_reserved()
        world.run(2.0, GREEDY)
    world.run(20.0, GREEDY)
    return world


def answers_are_lost() -> retryworld.World:
    """Lose half of the leader's answers."""
    world = settled()
    world.fleet.lost_answers = 0.5
    world.run(40.0, GREEDY)
    return world


def all_restart_while_they_borrow() -> retryworld.World:
    """Restart all gateways every few seconds, beside one leader."""
    world = settled()
    for _ in range(6):
        world.run(2.5, GREEDY)
        world.kill(list(world.gateways), 0.2)
    world.run(20.0, GREEDY)
    return world


DIRECTED = {
    "no gateway is lost": nothing,
    "all restart twice": all_restart_twice,
    "each restarts in turn": each_restarts_in_turn,
    "five of nine are lost": five_are_lost,
    "five of nine are cut off": five_are_cut_off,
    "members become known one by one": members_fill_one_by_one,
    "four gateways become twelve": fleet_grows,
    "all restart between two bursts": restart_between_bursts,
    "callers move between two bursts": requests_move,
    "reserved retries leave late": reserved_ones_leave_late,
    "reserved retries lose their ground": reserved_ones_lose_their_ground,
    "one leader after another begins": leaders_change,
    "nobody leads for 6 s": nobody_leads,
    "loans are used at their end": loans_leave_at_their_end,
    "half of the loans are lost": answers_are_lost,
    "all restart while they borrow": all_restart_while_they_borrow,
}


def drawn(seed: int) -> retryworld.World:
    """Return what a history with faults drawn from a seed led to."""
    rng = random.Random(seed)
    world = retryworld.World(rng.choice((1, 3, 9, 24)), rng)
    world.run(rng.choice((0.0, SETTLED_S)), 0.0, rng.uniform(0.0, 8.0))
    for _ in range(rng.randint(3, 9)):
        names = list(world.gateways)
        some = rng.sample(names, rng.randint(1, len(names)))
        if rng.random() < 0.6:
            world.kill(some, rng.uniform(0.1, 4.0))
        else:
            world.cut_off(some, rng.uniform(0.5, 12.0))
        if rng.random() < 0.3:
            world.reserve_all()
        if rng.random() < 0.3:
            world.lead()
        world.fleet.lost_answers = rng.choice((0.0, 0.3))
        world.run(
            rng.uniform(0.2, 6.0),
            rng.choice((0.0, 1.0, GREEDY)),
            rng.choice((0.0, 1.0, 8.0, 40.0)),
        )
        world.send_reserved()
    world.run(5.0, GREEDY)
    return world


def use_after_calm(
    count: int, requests: int, failing: int
) -> tuple[retryworld.Fleet, int]:
    """Return what a calm fleet retries within a second once endpoints fail.

    `failing` of its `count` gateways see failures; each has taken as many
    `requests` within the window.
    """
    rng = random.Random(count)
    fleet = retryworld.Fleet(rng)
    fleet.lender = retrylending.RetryLender(fleet.now - SETTLED_S)
    gateways = [
        retryworld.Gateway(f"g{number}", fleet) for number in range(count)
    ]
    for gateway in gateways:
        gateway.seen_at = fleet.now
        gateway.slack_share = minimumshare.MinimumShare(
            1.0, 100.0, fleet.now, collections.deque([held(count)])
        )
        for _ in range(requests):
            gateway.serve()
    for _ in range(20):
        fleet.now += 0.05
        for gateway in rng.sample(gateways[:failing], failing):
            gateway.retry(1)
    return fleet, len(fleet.again)


def held(count: int) -> minimumshare.ShareInterval:
    """Return the share of one of some gateways."""
    return minimumshare.ShareInterval(1.0 / count)
