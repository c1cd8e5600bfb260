"""Admitted requests in flight, each with a timer until it ends."""

import enum
import heapq

import attrs

from _coltsfootroad.core import actions
from _coltsfootroad.core import request as request_lib
from _coltsfootroad.core import stream as stream_lib


class FlightState(enum.Enum):
    """State of an admitted request."""

    CLAIMING = "claiming"
    QUEUED = "queued"
    RESERVING = "reserving"
    RUNNING = "running"
    BACKOFF = "backoff"
    DONE = "done"


@attrs.define(eq=False)
class Flight:
    """One admitted request in flight.

    Attributes:
        request: The request itself.
        band: Length band at admission.
        timer_at: When its timer fires next; never after the deadline.
        may_have_run: Whether some attempt may have reached an endpoint.
        had_lost_attempt: Whether an earlier attempt was lost. It may have run,
            even if a later attempt provably was not sent.
        parts: Parts of the current attempt.
        group: Name of its reservation of a group of engines, empty if none.
    """

    request: request_lib.Request
    band: int
    timer_at: float
    state: FlightState = FlightState.QUEUED
    attempt: int = 0
    parts: tuple[actions.Part, ...] = ()
    group: str = ""
    group_engines: dict[str, int] = attrs.Factory(dict)
    stream: stream_lib.AnswerStream = attrs.Factory(stream_lib.AnswerStream)
    may_have_run: bool = False
    had_lost_attempt: bool = False
    claim_granted: bool = False
    claim_tries: int = 0
    charged: bool = False
    priority: int = 0
    dispatched_at: float = 0.0
    first_token_at: float | None = None
    progress_at: float = 0.0
    predicted_s: float = 0.0
    answer_parts: list[bytes] = attrs.Factory(list)
    avoided_endpoints: set[str] = attrs.Factory(set)

    @property
    def request_id(self) -> str:
        """Return the id of the request."""
        return self.request.request_id


@attrs.define
class FlightTable:
    """All flights by request id, and a heap of their timers."""

    flights: dict[str, Flight] = attrs.Factory(dict)
    timers: list[tuple[float, str]] = attrs.Factory(list)

    def add(self, flight: Flight) -> None:
        """Add a flight and arm its timer."""
        self.flights[flight.request_id] = flight
        self.arm(flight, flight.timer_at)

    def get(self, request_id: str) -> Flight | None:
        """Return a flight by request id, None if it has ended."""
        return self.flights.get(request_id)

    def arm(self, flight: Flight, at: float) -> None:
        """Set a flight's timer, but not past its deadline."""
        flight.timer_at = min(at, flight.request.deadline_at)
        heapq.heappush(self.timers, (flight.timer_at, flight.request_id))

    def remove(self, flight: Flight) -> None:
        """Remove a flight that has ended."""
        flight.state = FlightState.DONE
        self.flights.pop(flight.request_id, None)

    def due(self, now: float) -> list[Flight]:
        """Return the flights whose timers have expired."""
        found = []
        while self.timers and self.timers[0][0] <= now:
            at, request_id = heapq.heappop(self.timers)
            flight = self.flights.get(request_id)
            if flight is not None and flight.timer_at == at:
                found.append(flight)
        return found

    def next_timer(self) -> float | None:
        """Return the time of the earliest timer, None if there is none."""
        while self.timers:
            at, request_id = self.timers[0]
            flight = self.flights.get(request_id)
            if flight is not None and flight.timer_at == at:
                return at
            heapq.heappop(self.timers)
        return None
