"""Delayed views of several gateways on the work items of all gateways."""

import heapq
import itertools

import attrs

from _coltsfootroad.core.placement import work as work_lib
from _coltsfootroad.core.placement import workload

# Delay until other gateways know of a new work item: datagrams are batched for
# 2 ms, sent, forwarded, and wait for the event loop of the receiver.
BEGIN_LAG_S = 0.015
# The same for first events and ends, which are batched for longer.
UPDATE_LAG_S = 0.04


@attrs.frozen(order=False)
class Change:
    """A new state of a work item; `work` is None once it has ended."""

    gateway: int
    key: int
    work: work_lib.WorkItem | None
    lag_s: float


@attrs.define(eq=False)
class GatewayViews:
    """The views of gateways; a single gateway has no delay.

    Attributes:
        count: Number of gateways.
        loads: The workload that each gateway knows.
        pending: Heap of changes that are not applied yet.
        known: The work items of each view.
    """

    count: int = 1
    loads: list[workload.Workload] = attrs.field(init=False)
    pending: list = attrs.Factory(list)
    sequence: itertools.count = attrs.Factory(itertools.count)
    known: list[dict] = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.loads = [workload.Workload() for _ in range(self.count)]
        self.known = [{} for _ in range(self.count)]

    def publish(self, at: float, change: Change) -> None:
        """Apply a change to its own gateway at once and to others later."""
        self.schedule(at, (change.gateway,), change)
        others = [n for n in range(self.count) if n != change.gateway]
        if others:
            self.schedule(at + change.lag_s, others, change)

    def schedule(self, at: float, gateways, change: Change) -> None:
        """Schedule a change for some gateways."""
        heapq.heappush(
            self.pending, (at, next(self.sequence), gateways, change)
        )

    def apply_due(self, now: float) -> None:
        """Apply all changes that are due."""
        while self.pending and self.pending[0][0] <= now:
            _, _, gateways, change = heapq.heappop(self.pending)
            for gateway in gateways:
                self.apply(gateway, change)

    def apply(self, gateway: int, change: Change) -> None:
        """Apply a change to the view of one gateway."""
        index = self.loads[gateway].index
        key = (str(change.gateway), change.key)
        previous = self.known[gateway].pop(key, None)
        if previous is not None:
            index.drop(key, previous)
        if change.work is not None:
            self.known[gateway][key] = change.work
            index.put(key, change.work)
