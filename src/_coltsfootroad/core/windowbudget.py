"""Retry budget over a sliding window, shared between gateways."""

import collections

import attrs

from _coltsfootroad.core import retryloans

# Share of the retry ratio that one gateway uses. Requests of two adjacent
# windows can earn retries that are sent within one window, by different
# gateways or across a restart, while the fleet's bound counts the requests of
# one window only.
GATEWAY_RATIO_SHARE = 0.5
# Share of the slack that gateways use without coordination; retries beyond it
# are lent by the leader.
PREALLOCATED_SLACK_SHARE = 0.4
# Longest time from the charge of a retry to its arrival at the endpoint. A
# retry counts for that much longer than the window.
ARRIVAL_LAG_S = 0.5


@attrs.define(eq=False)
class RetryReservation:
    """A retry that the budget holds for a request until it is sent.

    Attributes:
        lent_until: Expiry time of its loan, None if it was not lent.
    """

    lent_until: float | None = None


@attrs.define
class WindowBudget:
    """Limits the retries of one service to a share of its requests.

    Each gateway stays within its own share, so that the fleet stays within its
    bound without coordination. A retry is reserved when a request needs
    another send, and charged when it is sent.

    Attributes:
        ratio: Retries that each request of the window earns.
        slack: Retries beyond that, over all gateways.
        window_s: Length of the window.
        loans: Retries lent by the leader beyond the gateway's own share.
        reserved: Retries that are reserved and not sent yet.
        counted: Requests since the start of the process.
        sent: Retries charged since the start of the process.
        refused: Retries refused since the start of the process.
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
        """Count a new request."""
        self.counted += 1
        self.requests.append(now)
        self.trim(now)

    def reserve(
        self, slack_share: float, now: float
    ) -> RetryReservation | None:
        """Reserve a retry, lent or from the window; None if there is no room.

        `slack_share` is this gateway's share of the slack, 0 to 1.
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
        """Charge a reserved retry at its send; return whether it may be sent.

        The window can have less room than at the time of the reservation.
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
        """End a reservation; return whether the retry may be sent now."""
        if retry.lent_until is not None:
            return now <= retry.lent_until
        self.reserved -= 1
        self.trim(now)
        return self.has_room(slack_share)

    def release(self, retry: RetryReservation) -> None:
        """Cancel the reservation of a retry that is not sent."""
        if retry.lent_until is not None:
            self.loans.return_unused(retry.lent_until)
        else:
            self.reserved -= 1

    def has_room(self, slack_share: float) -> bool:
        """Return whether the window has room for one more retry."""
        return self.used() + 1 <= self.allowed(slack_share)

    def used(self) -> int:
        """Return the number of sent and reserved retries of the window."""
        return len(self.retries) + self.reserved

    def allowed(self, slack_share: float) -> float:
        """Return the number of retries that the window may hold."""
        earned = self.ratio * GATEWAY_RATIO_SHARE * len(self.requests)
        return earned + self.slack * PREALLOCATED_SLACK_SHARE * slack_share

    def trim(self, now: float) -> None:
        """Drop requests and retries that are older than the window."""
        drop_through(self.requests, now - self.window_s)
        drop_through(self.retries, now - self.window_s - ARRIVAL_LAG_S)


def drop_through(times: collections.deque[float], oldest: float) -> None:
    """Drop the times up to `oldest`."""
    while times and times[0] <= oldest:
        times.popleft()
