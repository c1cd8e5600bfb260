"""Compares the plain endpoints of a service by their recent calls.

An endpoint counts as slow, or as faulty, only in comparison with the others of
its service: calls differ in their work, and requests that fail of themselves
fail at each endpoint alike. Equal endpoints get the factor 1.0 exactly, so that
the choice between them depends on the calls in flight alone.
"""

import collections
from collections.abc import Container
from collections.abc import Iterable
import statistics

import attrs

from _coltsfootroad.core import endpointset

# Calls kept per endpoint and their longest age. The work of calls varies by a
# factor of 2 and more, so a median needs several of them.
MAX_TIMES = 16
TIMES_VALID_S = 10.0
MIN_TIMES = 8
# Ratio of the median times from which an endpoint counts as slow. The medians
# of 8 to 16 equal calls hardly ever differ by as much.
SLOW_FROM = 1.8
# Larger ratios are clipped, so that an endpoint gets calls again at high load.
MAX_SLOWDOWN = 6.0
# Failures are counted over this time, at most so many of them.
FAILURES_VALID_S = 5.0
MAX_FAILURES = 64
# An endpoint counts as faulty with more failures than this beyond three times
# those of the endpoint in the middle. Up to 0.4 of all answers are lost on some
# days, and equal endpoints then differ by as much.
EXCESS_FAILURES = 3
FAILURE_RATIO = 3
# For this long after an endpoint counted as faulty, one failure suffices. It
# gets few calls meanwhile, so their failures are too few to count again.
SUSPECT_S = 15.0
# Factor on the expected time of a faulty endpoint: it gets a call only if the
# others have three more in flight, and so still serves when they are full.
FAULTY_FACTOR = 4.0
EQUAL = 1.0


@attrs.frozen
class CallTime:
    """The seconds that a call took, and when it ended."""

    seconds: float
    at: float


@attrs.define(eq=False)
class EndpointCalls:
    """The recent calls at one incarnation of an endpoint.

    Attributes:
        endpoint: The incarnation.
        times: Calls with a response, the oldest first.
        failures: Times at which calls failed, the oldest first.
        suspected_until: When one failure stops being sufficient.
        factor: Factor on the expected time, as last computed.
    """

    endpoint: endpointset.KnownEndpoint
    times: collections.deque[CallTime] = attrs.Factory(
        lambda: collections.deque(maxlen=MAX_TIMES)
    )
    failures: collections.deque[float] = attrs.Factory(
        lambda: collections.deque(maxlen=MAX_FAILURES)
    )
    suspected_until: float = float("-inf")
    factor: float = EQUAL

    def expire(self, now: float) -> None:
        """Remove calls that are too old."""
        while self.times and now - self.times[0].at > TIMES_VALID_S:
            self.times.popleft()
        while self.failures and now - self.failures[0] > FAILURES_VALID_S:
            self.failures.popleft()

    def median_s(self) -> float | None:
        """Return the median time of calls, None if there are too few."""
        if len(self.times) < MIN_TIMES:
            return None
        return statistics.median(call.seconds for call in self.times)


def middle(values: Iterable[float]) -> float:
    """Return the lower median, so that at most half of the values exceed it."""
    ordered = sorted(values)
    return ordered[(len(ordered) - 1) // 2]


@attrs.define(eq=False)
class CallRecords:
    """The recent calls of all gateways at plain endpoints.

    Attributes:
        endpoints: Calls by the endpoint's name.
    """

    endpoints: dict[str, EndpointCalls] = attrs.Factory(dict)

    def of(self, known: endpointset.KnownEndpoint) -> EndpointCalls:
        """Return the calls at an incarnation of an endpoint."""
        calls = self.endpoints.get(known.name)
        if calls is None or calls.endpoint is not known:
            calls = self.endpoints[known.name] = EndpointCalls(known)
        return calls

    def on_response(
        self, known: endpointset.KnownEndpoint, seconds: float, now: float
    ) -> None:
        """Record a call with a response."""
        self.of(known).times.append(CallTime(seconds, now))

    def on_failure(self, known: endpointset.KnownEndpoint, now: float) -> None:
        """Record a call that was lost or failed."""
        self.of(known).failures.append(now)

    def retain(self, names: Container[str]) -> None:
        """Remove the calls at endpoints that have ended."""
        for name in [name for name in self.endpoints if name not in names]:
            del self.endpoints[name]

    def factors(
        self, known: list[endpointset.KnownEndpoint], now: float
    ) -> list[float]:
        """Return the factor on the expected time of each endpoint.

        The endpoints are those of one service that are compared.
        """
        if not any(endpoint.name in self.endpoints for endpoint in known):
            return [EQUAL] * len(known)
        calls = [self.of(endpoint) for endpoint in known]
        for one in calls:
            one.expire(now)
        medians = [one.median_s() for one in calls]
        measured = [seconds for seconds in medians if seconds is not None]
        base_s = middle(measured) if measured else 0.0
        base_failures = middle(len(one.failures) for one in calls)
        for one, median_s in zip(calls, medians, strict=True):
            one.factor = time_factor(median_s, base_s)
            one.factor *= failure_factor(one, base_failures, now)
        return [one.factor for one in calls]

    def least_s(
        self, known: list[endpointset.KnownEndpoint], now: float
    ) -> float:
        """Return the shortest recent time of a call, 0 if too few are known."""
        times = [
            call.seconds
            for endpoint in known
            if endpoint.name in self.endpoints
            for call in self.of(endpoint).times
            if now - call.at <= TIMES_VALID_S
        ]
        return min(times) if len(times) >= MIN_TIMES else 0.0


def time_factor(median_s: float | None, base_s: float) -> float:
    """Return the factor of an endpoint by the times of its calls."""
    if median_s is None or median_s < SLOW_FROM * base_s or base_s <= 0:
        return EQUAL
    return min(MAX_SLOWDOWN, median_s / base_s)


def failure_factor(
    calls: EndpointCalls, base_failures: float, now: float
) -> float:
    """Return the factor of an endpoint by its failures.

    Also starts or extends the time in which one failure suffices.
    """
    excess = len(calls.failures) - FAILURE_RATIO * base_failures
    needed = 0 if now < calls.suspected_until else EXCESS_FAILURES
    if excess <= needed:
        return EQUAL
    calls.suspected_until = now + SUSPECT_S
    return FAULTY_FACTOR


def wait_s(load: int, slots: int, median_s: float) -> float:
    """Return the expected wait for one of `slots` with `load` calls there."""
    return max(0, load + 1 - slots) / max(1, slots) * median_s
