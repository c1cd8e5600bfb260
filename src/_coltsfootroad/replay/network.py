"""Virtual time and the network between simulated processes."""

from collections.abc import Callable
import heapq
import random

import attrs


@attrs.define(eq=False)
class Network:
    """A queue of scheduled calls, with delay, loss and duplication of messages.

    Attributes:
        rng: Source of all randomness of a simulated fleet.
        one_way_s: Delay of a message.
        loss: Share of messages that are lost.
        duplication: Share of messages that are delivered twice.
        extra_delay_s: Maximum random delay in addition to `one_way_s`.
        now: Virtual time in seconds.
        queue: Heap of scheduled calls.
        event_count: Calls scheduled so far; orders calls of the same time.
        cuts: Pairs of sender and receiver whose messages are lost; `*` is
            any process.
        after_event: Invariant check that runs after each call.
    """

    rng: random.Random
    one_way_s: float = 0.001
    loss: float = 0.0
    duplication: float = 0.0
    extra_delay_s: float = 0.0
    now: float = 0.0
    queue: list = attrs.Factory(list)
    event_count: int = 0
    cuts: set[tuple[str, str]] = attrs.Factory(set)
    after_event: Callable | None = None

    # --- time ------------------------------------------------------------

    def call_at(self, when: float, call: Callable, *arguments) -> None:
        """Schedule a call."""
        self.event_count += 1
        heapq.heappush(self.queue, (when, self.event_count, call, arguments))

    def run_until(self, end: float) -> None:
        """Run all calls up to a time."""
        while self.queue and self.queue[0][0] <= end:
            when, _, call, arguments = heapq.heappop(self.queue)
            self.now = max(self.now, when)
            call(*arguments)
            if self.after_event is not None:
                self.after_event()
        self.now = max(self.now, end)

    # --- messages --------------------------------------------------------

    def send(self, source: str, target: str, call: Callable, *arguments):
        """Deliver a call after a delay; it may be lost or duplicated."""
        if self.is_cut(source, target) or self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            delay = self.one_way_s
            if self.extra_delay_s:
                delay += self.rng.uniform(0, self.extra_delay_s)
            self.call_at(self.now + delay, call, *arguments)

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether messages from source to target are lost."""
        pairs = ((source, target), (source, "*"), ("*", target))
        return any(pair in self.cuts for pair in pairs)

    def cut(self, source: str, target: str, both: bool = True) -> None:
        """Drop messages between two processes; `*` is any process."""
        self.cuts.add((source, target))
        if both:
            self.cuts.add((target, source))

    def heal(self) -> None:
        """End all cuts."""
        self.cuts.clear()
