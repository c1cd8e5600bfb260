"""Fair queue of one service's waiting requests, by tokens per workspace."""

import collections
from collections.abc import Callable
import heapq

import attrs

from _coltsfootroad.core import lengths
from _coltsfootroad.core import request as request_lib

# Share of the dispatched tokens that longer bands get while shorter requests
# keep arriving. It prevents starvation without ageing long requests into the
# short band.
LONG_SHARE = 0.25


# Factor on the weight between two adjacent priorities. Strict priority order
# would starve the lowest priority.
PRIORITY_STEP = 1.5
MIDDLE_PRIORITY = 5
# Priorities further from the middle have the factor of this distance.
MAX_PRIORITY_STEPS = 100


def priority_factor(priority: int) -> float:
    """Return the factor of a priority (0 most urgent, 9 least) on a weight."""
    steps = MIDDLE_PRIORITY - priority
    return PRIORITY_STEP ** max(
        -MAX_PRIORITY_STEPS, min(steps, MAX_PRIORITY_STEPS)
    )


@attrs.define
class Lane:
    """Requests of one workspace in one band, oldest first."""

    requests: collections.deque = attrs.Factory(collections.deque)


@attrs.define
class FairQueue:
    """Start-time fair queue over workspaces within each length band.

    Bands are served shortest first, but longer bands earn a credit of
    `LONG_SHARE` of the tokens that shorter bands take. Workspaces are charged
    by tokens: charging by requests would favour workspaces with long prompts
    by the ratio of prompt lengths.
    """

    lanes: list[dict[str, Lane]] = attrs.Factory(
        lambda: [{} for _ in range(lengths.BAND_COUNT)]
    )
    finish_tags: dict[str, float] = attrs.Factory(dict)
    virtual_time: float = 0.0
    long_credit: float = 0.0
    size: int = 0
    tokens: list[int] = attrs.Factory(lambda: [0] * lengths.BAND_COUNT)
    bands: dict[str, int] = attrs.Factory(dict)

    def push(self, request: request_lib.Request, band: int) -> None:
        """Append a request to its workspace's lane of a band."""
        lane = self.lanes[band].setdefault(request.workspace, Lane())
        lane.requests.append(request)
        self.bands[request.request_id] = band
        self.size += 1
        self.tokens[band] += request.cost_tokens

    def remove(self, request: request_lib.Request) -> bool:
        """Remove a request; return whether it was queued."""
        band = self.bands.pop(request.request_id, None)
        if band is None:
            return False
        lane = self.lanes[band][request.workspace]
        lane.requests.remove(request)
        if not lane.requests:
            del self.lanes[band][request.workspace]
        self.size -= 1
        self.tokens[band] -= request.cost_tokens
        return True

    def tokens_ahead(self, band: int) -> int:
        """Return the tokens queued in this and shorter bands."""
        return sum(self.tokens[: band + 1])

    def start_tag(self, workspace: str) -> float:
        """Return the virtual start time of a workspace's next request."""
        return max(self.virtual_time, self.finish_tags.get(workspace, 0.0))

    def band_order(self) -> list[int]:
        """Return the bands in the order in which they are tried."""
        order = [b for b in range(lengths.BAND_COUNT) if self.lanes[b]]
        if len(order) < 2:
            return order
        needed_credit = self.cheapest_head(order[1])
        if needed_credit is not None and self.long_credit >= needed_credit:
            return order[1:] + order[:1]
        return order

    def cheapest_head(self, band: int) -> int | None:
        """Return the smallest cost in tokens of the heads of a band's lanes."""
        heads = [lane.requests[0] for lane in self.lanes[band].values()]
        return min((head.cost_tokens for head in heads), default=None)

    def candidates(self, band: int) -> list[request_lib.Request]:
        """Return the heads of a band's lanes, by virtual start time."""
        tagged = [
            (self.start_tag(name), index, lane.requests[0])
            for index, (name, lane) in enumerate(self.lanes[band].items())
        ]
        heapq.heapify(tagged)
        return [heapq.heappop(tagged)[2] for _ in range(len(tagged))]

    def on_dispatched(
        self, request: request_lib.Request, weight: float
    ) -> None:
        """Remove a dispatched request and charge its workspace."""
        band = self.bands[request.request_id]
        others_wait = any(
            self.lanes[b] for b in range(band + 1, lengths.BAND_COUNT)
        )
        start = self.start_tag(request.workspace)
        self.remove(request)
        self.virtual_time = max(self.virtual_time, start)
        charge = request.cost_tokens / weight
        self.finish_tags[request.workspace] = start + charge
        if others_wait:
            self.long_credit += LONG_SHARE * request.cost_tokens
        elif band > 0:
            self.long_credit = max(0.0, self.long_credit - request.cost_tokens)
        if not self.size:
            self.reset()

    def reset(self) -> None:
        """Clear the tags and the credit of an empty queue."""
        self.finish_tags.clear()
        self.virtual_time = 0.0
        self.long_credit = 0.0

    def select(
        self, can_send: Callable[[request_lib.Request], bool]
    ) -> request_lib.Request | None:
        """Return the next request for which `can_send` is true.

        The request stays in the queue.
        """
        for band in self.band_order():
            for request in self.candidates(band):
                if can_send(request):
                    return request
        return None
