"""A retry budget over a sliding window, shared between gateways."""

import collections

import attrs

# Part of the ratio that a gateway uses. The requests of two adjacent windows
# may earn retries that are sent within one, at other gateways or after a
# restart, and the fleet's bound counts one of them only.
RATIO_PART = 0.5
# Part of the slack that gateways hold without a message between them.
FLOOR_PART = 0.95
# A retry reaches its endpoint within this time after it was charged, and so
# counts for that much longer.
ARRIVAL_LAG_S = 0.5


@attrs.define
class WindowBudget:
    """Allows retries of one service as a share of its requests.

    Every gateway keeps to its part, so that the sum stays within what the
    fleet may spend without a message between them.

    Attributes:
        ratio: Retries for each request of the window.
        slack: Retries beyond that, over all gateways.
        window_s: Length of the window.
        counted: Requests counted since the start of the process.
        taken: Retries taken since then.
        refused: Retries refused since then.
    """

    ratio: float
    slack: float
    window_s: float
    requests: collections.deque[float] = attrs.Factory(collections.deque)
    retries: collections.deque[float] = attrs.Factory(collections.deque)
    counted: int = 0
    taken: int = 0
    refused: int = 0

    def on_request(self, now: float) -> None:
        """Count a fresh request."""
        self.counted += 1
        self.requests.append(now)
        self.trim(now)

    def take(self, floor_share: float, now: float) -> bool:
        """Spend one retry if the window still holds one.

        `floor_share` is this gateway's settled part of the slack, 0 to 1.
        """
        self.trim(now)
        if len(self.retries) + 1 > self.allowed(floor_share):
            self.refused += 1
            return False
        self.retries.append(now)
        self.taken += 1
        return True

    def allowed(self, floor_share: float) -> float:
        """Return the retries that the window holds, those taken included."""
        earned = self.ratio * RATIO_PART * len(self.requests)
        return earned + self.slack * FLOOR_PART * floor_share

    def trim(self, now: float) -> None:
        """Drop what has left the window."""
        drop_until(self.requests, now - self.window_s)
        drop_until(self.retries, now - self.window_s - ARRIVAL_LAG_S)


def drop_until(times: collections.deque[float], oldest: float) -> None:
    """Drop the times up to `oldest`."""
    while times and times[0] <= oldest:
        times.popleft()
