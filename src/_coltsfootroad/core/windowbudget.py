"""A retry budget over a sliding window, shared between gateways."""

import collections

import attrs

from _coltsfootroad.core import retryloans

# Part of the ratio that a gateway uses. The requests of two adjacent windows
# may earn retries that are sent within one, at other gateways or after a
# restart, and the fleet's bound counts one of them only.
GATEWAY_RATIO_SHARE = 0.5
# Part of the slack that gateways hold without a message between them.
PREALLOCATED_SLACK_SHARE = 0.4
# A retry reaches its endpoint within this time after it was charged, and so
# counts for that much longer.
ARRIVAL_LAG_S = 0.5


@attrs.define(eq=False)
class RetryReservation:
    """A retry that a request may send; the budget holds it until then.

    Attributes:
        lent_until: When its loan ends, None for one of the gateway's own part.
    """

    lent_until: float | None = None


@attrs.define
class WindowBudget:
    """Allows retries of one service as a share of its requests.

    Every gateway keeps to its part, so that the sum stays within what the
    fleet may spend without a message between them. A retry is reserved when
    a request goes on, and charged when it is sent.

    Attributes:
        ratio: Retries for each request of the window.
        slack: Retries beyond that, over all gateways.
        window_s: Length of the window.
        loans: What the leader has lent beyond the gateway's own part.
        reserved: Retries that are reserved and not sent yet.
        counted: Requests counted since the start of the process.
        sent: Retries charged since then.
        refused: Retries refused since then.
    """

    ratio: float
    slack: float
    window_s: float
    requests: collections.deque[float] = attrs.Factory(collections.deque)
    retries: collections.deque[float] = attrs.Factory(collections.deque)
    loans: retryloans.RetryLoans = attrs.Factory(retryloans.RetryLoans)
    reserved: int = 0
    counted: int = 0
    sent: int = 0
    refused: int = 0

    def on_request(self, now: float) -> None:
        """Count a fresh request."""
        self.counted += 1
        self.requests.append(now)
        self.trim(now)

    def reserve(
        self, slack_share: float, now: float
    ) -> RetryReservation | None:
        """Hold one retry if the window has room or one is lent, else None.

        `floor_share` is this gateway's settled part of the slack, 0 to 1.
        """
        lent_until = self.loans.take(now)
        if lent_until is not None:
            return RetryReservation(lent_until)
        self.trim(now)
        if not self.has_room(slack_share):
            self.refused += 1
            return None
        self.reserved += 1
        return RetryReservation()

    def charge(
        self, retry: RetryReservation, slack_share: float, now: float
    ) -> bool:
        """Count a reserved retry as sent now; return whether it may be.

        The window may have less room than when it was reserved.
        """
        if not self.redeem(retry, slack_share, now):
            self.refused += 1
            return False
        if retry.lent_until is None:
            self.retries.append(now)
        self.sent += 1
        return True

    def redeem(
        self, retry: RetryReservation, slack_share: float, now: float
    ) -> bool:
        """Take a reserved retry back; return whether it may be sent now."""
        if retry.lent_until is not None:
            return now <= retry.lent_until
        self.reserved -= 1
        self.trim(now)
        return self.has_room(slack_share)

    def release(self, retry: RetryReservation) -> None:
        """Give back a retry that is not sent."""
        if retry.lent_until is not None:
            self.loans.return_unused(retry.lent_until)
        else:
            self.reserved -= 1

    def has_room(self, slack_share: float) -> bool:
        """Return whether the window holds one more retry."""
        return self.used() + 1 <= self.allowed(slack_share)

    def used(self) -> int:
        """Return the retries of the window, sent or reserved."""
        return len(self.retries) + self.reserved

    def allowed(self, slack_share: float) -> float:
        """Return the retries that the window may hold."""
        earned = self.ratio * GATEWAY_RATIO_SHARE * len(self.requests)
        return earned + self.slack * PREALLOCATED_SLACK_SHARE * slack_share

    def trim(self, now: float) -> None:
        """Drop what has left the window."""
        drop_until(self.requests, now - self.window_s)
        drop_until(self.retries, now - self.window_s - ARRIVAL_LAG_S)


def drop_until(times: collections.deque[float], oldest: float) -> None:
    """Drop the times up to `oldest`."""
    while times and times[0] <= oldest:
        times.popleft()
