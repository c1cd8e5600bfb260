"""Gateways that call three plain endpoints, in virtual time."""

import collections
import heapq
import itertools
import random

import attrs

from _coltsfootroad.core import callrecords
from _coltsfootroad.core import endpointset
from _coltsfootroad.core import registry
from _coltsfootroad.core import routes
from _coltsfootroad.core import sends
from _coltsfootroad.core.placement import work as work_lib
from _coltsfootroad.core.placement import workload
from _coltsfootroad.gateway import engines
from _coltsfootroad.gateway import gossip
from _coltsfootroad.gateway import pacing as pacing_lib
from _coltsfootroad.gateway import upstream

SERVICE = routes.ServiceSpec(name="calls")
ROUTE = routes.Route(
    name="calls",
    host="",
    prefix="/",
    kind=routes.RequestKind.SAFE,
    timeout_s=2.6,
    splits=(),
)
NAMES = ("a", "b", "c")
SLOTS = 6
MEAN_WORK_S = 0.035
WORK_SIGMA = 0.5
# Summaries leave this long after a change, and arrive this long after that.
COALESCE_S = gossip.LAZY_COALESCE_S
TRANSIT_S = 0.005
FULL_INTERVAL_S = gossip.FULL_SUMMARY_INTERVAL_S


@attrs.define(eq=False)
class CallGateway:
    """A gateway with the product's choice and records."""

    name: str
    world: "CallWorld"
    endpoints: endpointset.EndpointSet = attrs.Factory(endpointset.EndpointSet)
    load: workload.Workload = attrs.Factory(workload.Workload)
    chooser: engines.Chooser = attrs.field(init=False)
    pacing: pacing_lib.Pacing = attrs.field(init=False)
    sequence: int = 0
    is_due: bool = False

    def __attrs_post_init__(self):
        for name in NAMES:
            self.endpoints.learn(announcement(name))
        self.chooser = engines.Chooser(
            self.endpoints, self.load, "", random.Random(self.name)
        )
        self.pacing = pacing_lib.Pacing(
            self.endpoints,
            self.load,
            self.notify,
            self.chooser.calls,
            self.chooser.paces,
        )
        self.load.observer = self.pacing

    def notify(self) -> None:
        """Schedule a summary."""
        if not self.is_due:
            self.is_due = True
            self.world.at(COALESCE_S, self.summarize, False)

    def summarize(self, full: bool) -> None:
        """Send a summary to the others, in the form of the wire."""
        if not full:
            self.is_due = False
        self.sequence += 1
        data = gossip.encode(
            workload.Summary(
                gateway=self.name,
                incarnation=1,
                seq=self.sequence,
                full=full,
                changes=self.load.collect_changes(full, self.world.now),
            )
        )
        if full:
            self.world.at(FULL_INTERVAL_S, self.summarize, True)
        for other in self.world.gateways:
            if other is not self:
                self.world.at(TRANSIT_S, other.receive, data)

    def receive(self, data: bytes) -> None:
        """Apply another gateway's summary."""
        self.load.apply_summary(gossip.decode(data), self.world.now)


@attrs.define(eq=False)
class CallWorld:
    """Gateways and endpoints; calls arrive at random.

    Attributes:
        slow: Factor on the work of calls at each endpoint.
        failing: Share of calls that fail at each endpoint.
        learns: Whether gateways use the records.
        sent: Time and endpoint of the first send of each call.
        retried: Endpoints of the sends of each call that was sent twice.
        served: Calls with a response.
    """

    seed: int
    per_s: float = 8.0
    gateway_count: int = 12
    slow: dict[str, float] = attrs.Factory(dict)
    failing: dict[str, float] = attrs.Factory(dict)
    learns: bool = True
    now: float = 0.0
    events: list = attrs.Factory(list)
    order: itertools.count = attrs.Factory(itertools.count)
    gateways: list[CallGateway] = attrs.Factory(list)
    busy: collections.Counter = attrs.Factory(collections.Counter)
    queues: dict[str, collections.deque] = attrs.field(init=False)
    sent: list[tuple[float, str]] = attrs.Factory(list)
    retried: list[list[str]] = attrs.Factory(list)
    served: int = 0

    def __attrs_post_init__(self):
        self.queues = {name: collections.deque() for name in NAMES}
        self.gateways = [
            CallGateway(f"g{number}", self)
            for number in range(self.gateway_count)
        ]
        for number, gateway in enumerate(self.gateways):
            self.at(0.05 * number, gateway.summarize, True)

    def at(self, delay_s: float, action, *arguments) -> None:
        """Schedule an action."""
        heapq.heappush(
            self.events,
            (self.now + delay_s, next(self.order), action, arguments),
        )

    def play(self, seconds: float) -> None:
        """Run calls for some seconds."""
        rng = random.Random(self.seed)
        at = rng.expovariate(self.per_s)
        while at < seconds:
            gateway = rng.choice(self.gateways)
            work_s = MEAN_WORK_S * rng.lognormvariate(
                -(WORK_SIGMA**2) / 2, WORK_SIGMA
            )
            self.at(at - self.now, self.send, gateway, work_s, rng.random(), [])
            at += rng.expovariate(self.per_s)
        while self.events and self.events[0][0] < seconds:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)

    def send(self, gateway, work_s, luck, tried) -> None:
        """Send a call to the endpoint that the gateway chooses."""
        if not self.learns:
            gateway.chooser.calls = callrecords.CallRecords()
        choice = gateway.chooser.choose(SERVICE, None, set(tried), self.now)
        name = choice.endpoint.name
        if not tried:
            self.sent.append((self.now, name))
        key = gateway.load.add(
            work_lib.WorkItem(endpoint=name, sent_at=self.now)
        )
        gateway.notify()
        send = gateway.pacing.begin(
            choice, SERVICE, ROUTE, key, False, self.now
        )
        self.queues[name].append((gateway, send, work_s, luck, [*tried, name]))
        self.serve(name)

    def serve(self, name: str) -> None:
        """Begin calls while the endpoint has slots."""
        while self.queues[name] and self.busy[name] < SLOTS:
            self.busy[name] += 1
            call = self.queues[name].popleft()
            self.at(call[2] * self.slow.get(name, 1.0), self.end, name, *call)

    def end(self, name, gateway, send, work_s, luck, tried) -> None:
        """End a call; one that failed is sent once more."""
        self.busy[name] -= 1
        is_failed = luck < self.failing.get(name, 0.0)
        gateway.load.remove(send.key)
        gateway.pacing.end(
            send,
            sends.Outcome.FAULT if is_failed else sends.Outcome.ANSWERED,
            upstream.CallEnd.COMPLETE,
            500 if is_failed else 200,
            self.now,
        )
        gateway.notify()
        if not is_failed:
            self.served += 1
        elif len(tried) == 1:
            self.send(gateway, work_s, luck, tried)
        if len(tried) > 1:
            self.retried.append(tried)
        self.serve(name)

    def share(self, name: str, since: float) -> float:
        """Return the share of first sends to an endpoint from a time on."""
        chosen = [to for at, to in self.sent if at >= since]
        return chosen.count(name) / len(chosen)


def announcement(name: str, incarnation: int = 1) -> registry.Announcement:
    """Return the announcement of an endpoint."""
    return registry.Announcement(
        endpoint=name,
        incarnation=incarnation,
        seq=1,
        service="calls",
        max_running=SLOTS,
    )
