"""What each of several gateways knows of all work, some milliseconds late."""

import heapq
import itertools

import attrs

from _coltsfootroad.core import work as work_lib
from _coltsfootroad.core import workload

# How late others hear that work has begun: datagrams are collected for 2 ms,
# travel, are passed on, and wait for the loop of their receiver.
BEGIN_LAG_S = 0.015
# The same for first events and ends, which are collected for longer.
LATER_LAG_S = 0.04


@attrs.frozen(order=False)
class Change:
    """Work as it is from a time on, None once it has ended."""

    gateway: int
    key: int
    work: work_lib.WorkItem | None
    lag_s: float


@attrs.define(eq=False)
class Views:
    """The beliefs of gateways; one alone knows everything at once.

    Attributes:
        count: Number of gateways.
        loads: What each believes.
        pending: Changes that have not been made or heard yet, by time.
    """

    count: int = 1
    loads: list[workload.Workload] = attrs.field(init=False)
    pending: list = attrs.Factory(list)
    order: itertools.count = attrs.Factory(itertools.count)
    known: list[dict] = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.loads = [workload.Workload() for _ in range(self.count)]
        self.known = [{} for _ in range(self.count)]

    def tell(self, at: float, change: Change) -> None:
        """Let a change be known to its gateway at once, to others later."""
        self.push(at, (change.gateway,), change)
        others = [n for n in range(self.count) if n != change.gateway]
        if others:
            self.push(at + change.lag_s, others, change)

    def push(self, at: float, who, change: Change) -> None:
        """Let some gateways hear of a change at a time."""
        heapq.heappush(self.pending, (at, next(self.order), who, change))

    def catch_up(self, now: float) -> None:
        """Let everybody hear what is due."""
        while self.pending and self.pending[0][0] <= now:
            _, _, who, change = heapq.heappop(self.pending)
            for gateway in who:
                self.apply(gateway, change)

    def apply(self, gateway: int, change: Change) -> None:
        """Let one gateway hear of a change."""
        index = self.loads[gateway].index
        key = (str(change.gateway), change.key)
        before = self.known[gateway].pop(key, None)
        if before is not None:
            index.drop(key, before)
        if change.work is not None:
            self.known[gateway][key] = change.work
            index.put(key, change.work)
