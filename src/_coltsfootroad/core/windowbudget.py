"""A retry budget over a sliding window, shared between gateways."""

import collections

import attrs

# Share of the fleet's slack that the gateways hand out among themselves;
# the rest covers gateways that do not know of each other yet.
SAFE_SHARE = 0.85


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
    requests: collections.deque = attrs.Factory(collections.deque)
    retries: collections.deque = attrs.Factory(collections.deque)
    counted: int = 0
    taken: int = 0
    refused: int = 0

    def on_request(self, now: float) -> None:
        """Count a fresh request."""
        self.counted += 1
        self.requests.append(now)
        self.trim(now)

    def take(self, slack_share: float, now: float) -> bool:
        """Spend one retry if the window still holds one.

        `slack_share` is this gateway's part of the slack, 0 to 1.
        """
        self.trim(now)
        if len(self.retries) + 1 > self.allowed(slack_share):
            self.refused += 1
            return False
        self.retries.append(now)
        self.taken += 1
        return True

    def allowed(self, slack_share: float) -> float:
        """Return the retries that the window holds, those taken included."""
        allowed = self.ratio * SAFE_SHARE * len(self.requests)
        return allowed + self.slack * SAFE_SHARE * slack_share

    def trim(self, now: float) -> None:
        """Drop what has left the window."""
        oldest = now - self.window_s
        for times in (self.requests, self.retries):
            while times and times[0] <= oldest:
                times.popleft()
