"""Gateways that send as much to one cold endpoint as their limit allows.

It runs in virtual time. Control publishes the members; each gateway polls it,
through polls that are lost, and may freeze at any point.
"""

import bisect
import random

import attrs
from hypothesis import strategies

from _coltsfootroad.control import fleetstate
from _coltsfootroad.core import addresses
from _coltsfootroad.core import coldlimit
from _coltsfootroad.core import members

STALENESS_S = 4.5
MEMBER_LEASE_S = 1.6
STEP_S = 0.02
KEY = "e1#1"
MAX_CONNECT_S = 0.4


@attrs.define
class Request:
    """A send that waits for its connection."""

    permitted_at: float
    is_helper: bool


@attrs.define
class Gateway:
    """A gateway's limit, its view of the members and its sends."""

    name: str
    zone: str
    limit: coldlimit.ColdLimit = attrs.field(init=False)
    view: members.MemberView = attrs.field(init=False)
    epoch: str = ""
    revision: int = 0
    next_poll: float = 0.0
    frozen_until: float = 0.0
    partitioned_until: float = 0.0
    connecting: list[Request] = attrs.Factory(list)

    def __attrs_post_init__(self):
        self.start()

    def start(self) -> None:
        """Start another process, which remembers nothing."""
        self.limit = coldlimit.ColdLimit(self.name, STALENESS_S)
        self.view = members.MemberView()
        self.epoch, self.revision = "", 0
        self.connecting.clear()


@attrs.define
class World:
    """Gateways of some zones, control and one cold endpoint.

    Attributes:
        rate: Requests that each gateway receives in a second.
        loss: Share of polls that are lost.
        helper_share: Share of requests that go to the endpoint as a helper.
        connect_s: Longest time that a connection takes.
        arrivals: Times at which requests reach the endpoint.
    """

    rng: random.Random
    total: int
    count: int
    zones: int = 3
    rate: float = 100.0
    loss: float = 0.0
    helper_share: float = 0.0
    connect_s: float = 0.0
    now: float = 100.0
    fleet: fleetstate.FleetState = attrs.Factory(fleetstate.FleetState)
    leases: dict[str, float] = attrs.Factory(dict)
    led_since: float = 0.0
    gateways: list[Gateway] = attrs.field(init=False)
    arrivals: list[float] = attrs.Factory(list)

    def __attrs_post_init__(self):
        self.fleet.start_epoch("leader 0")
        self.gateways = [
            Gateway(f"g{n}", f"z{n % self.zones}") for n in range(self.count)
        ]

    def run(self, seconds: float) -> None:
        """Advance the time."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for name in [n for n, u in self.leases.items() if u <= self.now]:
                del self.leases[name]
                self.fleet.drop_member(name)
            for gateway in self.gateways:
                if gateway.frozen_until <= self.now:
                    self.step(gateway)

    def step(self, gateway: Gateway) -> None:
        """Let a gateway finish sends, poll and begin sends."""
        now = self.now
        for request in list(gateway.connecting):
            if request.permitted_at <= now:
                gateway.connecting.remove(request)
                self.send(gateway, request)
        if gateway.next_poll <= now:
            gateway.next_poll = now + self.rng.uniform(0.1, 0.5)
            self.poll(gateway)
        due = self.rate * STEP_S
        for _ in range(int(due) + (self.rng.random() < due % 1)):
            if not gateway.limit.may_choose(KEY, self.total, now):
                continue
            gateway.limit.window(KEY).pending += 1
            connect_s = self.connect_s * self.rng.choice((0, 0, 0, 1))
            request = Request(
                now + connect_s * self.rng.random(),
                self.rng.random() < self.helper_share,
            )
            gateway.connecting.append(request)
            if not connect_s:
                self.send(gateway, gateway.connecting.pop())

    def send(self, gateway: Gateway, request: Request) -> None:
        """Send a request if that is still allowed."""
        window = gateway.limit.window(KEY)
        window.pending = max(0, window.pending - 1)
        if not gateway.limit.may_send(KEY, self.total, self.now):
            return
        gateway.limit.record(KEY, self.now, request.is_helper)
        transit_s = (
            coldlimit.HELPER_TRANSIT_S
            if request.is_helper
            else coldlimit.TRANSIT_S
        )
        delay_s = self.rng.choice((0.0, self.rng.random(), 0.999)) * transit_s
        self.arrivals.append(self.now + delay_s)

    def poll(self, gateway: Gateway) -> None:
        """Let a gateway poll; request or response may be lost."""
        if gateway.partitioned_until > self.now:
            return
        if self.rng.random() < self.loss / 2:
            return
        if gateway.name not in self.leases:
            self.fleet.put_member(
                addresses.Member(
                    entry=gateway.name,
                    incarnation=1,
                    address="127.0.0.1:1",
                    availability_zone=gateway.zone,
                )
            )
        self.leases[gateway.name] = self.now + MEMBER_LEASE_S
        if self.rng.random() < self.loss / 2:
            return
        news = self.fleet.page(gateway.epoch, gateway.revision)
        gateway.epoch, gateway.revision = news.epoch, news.registry_mark
        changes = news.changes
        gateway.view.learn(
            changes.members,
            changes.lost_members,
            changes.whole,
            self.now - self.led_since,
        )
        gateway.limit.recent.learn(
            changes.members,
            changes.lost_members,
            changes.whole,
            gateway.view.known,
            self.now,
        )
        gateway.limit.confirm(self.now)

    def elect_leader(self, number: int) -> None:
        """Elect a leader that knows nothing, after the old one's lease."""
        self.fleet = fleetstate.FleetState()
        self.fleet.start_epoch(f"leader {number}")
        self.leases.clear()
        self.led_since = self.now

    def inject(self, fault: str, gateway: Gateway, length_s: float) -> None:
        """Inject a fault of one gateway."""
        if fault == "restart":
            gateway.start()
        if fault in ("restart", "freeze"):
            gateway.frozen_until = self.now + length_s
        if fault == "cut":
            gateway.partitioned_until = self.now + length_s

    def most_in_a_second(self) -> int:
        """Return the largest number of arrivals within one second."""
        self.arrivals.sort()
        return max(
            (
                bisect.bisect_left(self.arrivals, begin + 1.0) - first
                for first, begin in enumerate(self.arrivals)
            ),
            default=0,
        )


# A fault, the share of the gateways affected, its length, and the time to the
# next one.
FAULTS = strategies.tuples(
    strategies.sampled_from(("restart", "freeze", "cut", "loss", "leader")),
    strategies.floats(0.0, 1.0),
    strategies.floats(0.1, 14.0),
    strategies.floats(0.2, 10.0),
)


@strategies.composite
def histories(draw) -> World:
    """Return a world after drawn faults."""
    world = World(
        random.Random(draw(strategies.integers(0, 2**32))),
        total=draw(strategies.sampled_from((3, 26))),
        count=draw(strategies.sampled_from((2, 5, 12))),
        zones=draw(strategies.sampled_from((1, 3))),
        rate=draw(strategies.sampled_from((3.0, 40.0))),
        loss=draw(strategies.sampled_from((0.0, 0.3, 0.9))),
        helper_share=draw(strategies.sampled_from((0.0, 0.2))),
        connect_s=MAX_CONNECT_S,
    )
    world.run(draw(strategies.sampled_from((0.0, 7.0))))
    faults = draw(strategies.lists(FAULTS, min_size=1, max_size=7))
    for number, (fault, share, length_s, pause_s) in enumerate(faults):
        affected = world.rng.sample(
            world.gateways, max(1, int(share * world.count))
        )
        for gateway in affected:
            world.inject(fault, gateway, length_s)
        if fault == "loss":
            world.loss = share
        if fault == "leader":
            world.elect_leader(number + 1)
        world.run(pause_s)
    return world


def frozen_senders(seed: int, total: int) -> World:
    """Return a world in which busy gateways froze while they connected.

    When they wake, their connections are open, the views of the members that
    permitted these sends have expired, and others have taken their parts.
    """
    rng = random.Random(seed)
    world = World(rng, total=total, count=5, rate=40.0, connect_s=MAX_CONNECT_S)
    world.run(8.0 + rng.choice((0.4, 0.6)))
    for gateway in world.gateways[:2]:
        world.inject("freeze", gateway, 9.0)
    world.run(11.0)
    return world
