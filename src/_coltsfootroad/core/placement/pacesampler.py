"""Compares the times of one stream's events with its engine's prediction.

Delays that may be due to queueing must not count as slowness. So an engine is
sampled as slow only if the time exceeds that of a sound engine which prefilled
all prompts known to be pending there in the meantime, and as sound only if it
is too short for a slow engine which prefilled nothing.
"""

import attrs

from _coltsfootroad.core import pace
from _coltsfootroad.core import routes
from _coltsfootroad.core.placement import enginemodel
from _coltsfootroad.core.placement import loadindex
from _coltsfootroad.core.placement import work as work_lib

# Work that other gateways sent this long before an event may have been
# prefilled after it: ages of work lack the time of their datagram.
SENT_MARGIN_S = 0.03
# Passes of a busy engine before a first event at the most: the rest of the
# current pass, a pass with the prefill, and a decoding pass.
BUSY_PASSES = 3


@attrs.frozen
class Bounds:
    """Seconds that a sound engine takes at least and at most."""

    least_s: float
    most_s: float

    def ratio(self, seconds: float) -> float | None:
        """Return the ratio that observed seconds prove, None if nothing."""
        if seconds >= pace.SLOW_FROM * self.most_s:
            return seconds / self.most_s
        if seconds < pace.SLOW_FROM * self.least_s:
            return min(pace.SOUND, seconds / self.least_s)
        return None


@attrs.frozen
class Moment:
    """The engine at one event of the stream, or at its send.

    Attributes:
        at: Time of the event.
        pass_s: Predicted seconds of a pass.
        pending: Seconds of prefill of each work item without a first event.
        running: Requests in the batch or the queue.
    """

    at: float
    pass_s: float
    pending: dict[loadindex.WorkKey, float]
    running: int


@attrs.define(eq=False)
class PaceSampler:
    """Takes the samples of one send to one engine.

    Attributes:
        index: Work on each engine.
        spec: Timing of the engine.
        endpoint: Name of the engine.
        key: Key of the send's work item at that engine.
        sent_at: Time of the send.
        restarted_at: Work sent before this time ended with an earlier
            incarnation of the engine.
        is_resumed: Whether the stream began on another engine. Its first event
            here repeats others, which are not forwarded.
        stream: The samples so far.
        previous: The engine at the previous event, or at the send.
        has_events: Whether an event was processed.
    """

    index: loadindex.LoadIndex
    spec: routes.EngineSpec
    endpoint: str
    key: loadindex.WorkKey
    sent_at: float
    restarted_at: float = float("-inf")
    is_resumed: bool = False
    stream: pace.StreamPace = attrs.Factory(pace.StreamPace)
    previous: Moment = attrs.field(init=False)
    has_events: bool = False

    def __attrs_post_init__(self):
        self.previous = self.observe(self.sent_at, self.sent_at)

    def works(self) -> dict[loadindex.WorkKey, work_lib.WorkItem]:
        """Return the work at the engine."""
        return {
            key: work
            for key, work in self.index.at(self.endpoint).works.items()
            if work.sent_at > self.restarted_at
        }

    def observe(self, now: float, since: float) -> Moment:
        """Return the engine at a time.

        Work that was sent after `since` counts as pending.
        """
        pending, context, decoding, running = {}, 0, 0, 0
        for key, work in self.works().items():
            running += work.leads
            is_newer = work.sent_at > since - SENT_MARGIN_S
            if key != self.key and (is_newer or not work.writing):
                pending[key] = enginemodel.prefill_s(
                    self.spec, work.prompt_tokens, work.parts
                )
            if key == self.key or (work.leads and work.writing):
                decoding += 1
                context += work.prompt_tokens
        pass_s = enginemodel.pass_s(self.spec, decoding, context)
        return Moment(now, pass_s, pending, running)

    def on_events(
        self, now: float, count: int, delayed: bool, suspected: bool
    ) -> bool:
        """Process `count` events; return whether they completed a reading.

        `delayed` states that the caller's connection delayed their arrival,
        `suspected` that the engine counted as slow recently.
        """
        previous, moment = self.previous, self.observe(now, self.previous.at)
        self.previous = moment
        is_first, self.has_events = not self.has_events, True
        if is_first:
            bounds = self.first_event_bounds(previous, moment)
        else:
            bounds = self.pause_bounds(previous, moment, count)
        if delayed or bounds is None:
            return False
        ratio = bounds.ratio(now - previous.at)
        return ratio is not None and self.stream.observe(ratio, now, suspected)

    def pause_bounds(
        self, previous: Moment, moment: Moment, count: int
    ) -> Bounds:
        """Return the bounds of a pause before `count` events."""
        pass_s = count * max(previous.pass_s, moment.pass_s)
        prefill_s = sum((previous.pending | moment.pending).values())
        return Bounds(pass_s, pass_s + prefill_s)

    def first_event_bounds(
        self, previous: Moment, moment: Moment
    ) -> Bounds | None:
        """Return the bounds of the first event, None if it had to queue."""
        own = self.works().get(self.key)
        if self.is_resumed or own is None or own.parts > 1:
            return None
        pending = previous.pending | moment.pending
        if max(previous.running, moment.running) > self.spec.slots:
            return None
        own_s = enginemodel.prefill_s(self.spec, own.prompt_tokens)
        pass_s = max(previous.pass_s, moment.pass_s)
        is_busy = bool(pending) or moment.running > 1
        passes = BUSY_PASSES if is_busy or previous.running > 1 else 1
        return Bounds(
            own_s + pass_s, own_s + passes * pass_s + sum(pending.values())
        )
