"""Interfaces between the components of the entry core.

The components share flights and endpoints and call each other. The interfaces
declare what each component provides and needs, so that no component imports the
entry or a component that calls it.
"""

import abc
from collections.abc import Callable
import random

from _coltsfootroad.core import actions
from _coltsfootroad.core import admission
from _coltsfootroad.core import config as config_lib
from _coltsfootroad.core import counters as counters_lib
from _coltsfootroad.core import endpoints
from _coltsfootroad.core import errors
from _coltsfootroad.core import fairqueue
from _coltsfootroad.core import faults
from _coltsfootroad.core import flights as flights_lib
from _coltsfootroad.core import freshness as freshness_lib
from _coltsfootroad.core import limits as limits_lib
from _coltsfootroad.core import policies
from _coltsfootroad.core import pool as pool_lib
from _coltsfootroad.core import registry
from _coltsfootroad.core import releases
from _coltsfootroad.core import retries


class CoreContext(abc.ABC):
    """State that all components share.

    Attributes:
        flights: Requests in flight.
        pools: Known endpoints by service.
        endpoint_service: Service of each known endpoint.
        out: Actions that the shell has to perform.
    """

    flights: flights_lib.FlightTable
    pools: dict[str, pool_lib.ServicePool]
    endpoint_service: dict[str, str]
    out: list[actions.Action]

    @abc.abstractmethod
    def pool(self, service: str) -> pool_lib.ServicePool:
        """Return the pool of a service, created on first use."""

    @abc.abstractmethod
    def view(self, endpoint: str) -> endpoints.EndpointView | None:
        """Return the view of a known endpoint."""


class DispatcherInterface(abc.ABC):
    """Queues requests and sends them to endpoints."""

    @abc.abstractmethod
    def queue(self, service: str) -> fairqueue.FairQueue:
        """Return the queue of a service, created on first use."""

    @abc.abstractmethod
    def dispatch_queued(self, service: str, now: float) -> None:
        """Dispatch queued requests of a service."""

    @abc.abstractmethod
    def release_group(self, flight: flights_lib.Flight) -> None:
        """Release the engines that were reserved for a request."""


class AttemptsInterface(abc.ABC):
    """Handles attempts from their dispatch to the end of the request."""

    @abc.abstractmethod
    def running_flight(
        self, request_id: str, attempt: int
    ) -> flights_lib.Flight | None:
        """Return the flight whose current attempt this is, if it is running."""

    @abc.abstractmethod
    def handle_failed_attempt(
        self,
        flight: flights_lib.Flight,
        endpoint: str,
        fault: faults.Fault,
        now: float,
    ) -> None:
        """Retry a failed attempt or fail its request."""

    @abc.abstractmethod
    def fail(
        self, flight: flights_lib.Flight, failure: errors.Failure, now: float
    ) -> None:
        """End a request with a failure."""

    @abc.abstractmethod
    def end(self, flight: flights_lib.Flight, used: int, now: float) -> None:
        """Remove a request for which `used` output tokens were generated."""


class SyncInterface(abc.ABC):
    """Exchanges heartbeats with the leader."""

    @abc.abstractmethod
    def request_heartbeat(self, now: float) -> None:
        """Request that the next heartbeat be sent early."""


class RosterInterface(abc.ABC):
    """Tracks endpoints by announcements and load reports."""

    @abc.abstractmethod
    def apply_announcement(
        self, announcement: registry.Announcement, now: float
    ) -> None:
        """Update the view of an endpoint unless a newer one is known."""

    @abc.abstractmethod
    def apply_load_report(
        self, report: endpoints.LoadReport, now: float
    ) -> None:
        """Handle an endpoint's load report."""

    @abc.abstractmethod
    def expire_endpoint(self, name: str, now: float) -> None:
        """Stop using an endpoint whose lease has expired."""

    @abc.abstractmethod
    def drop_expired(self, now: float) -> None:
        """Remove expired endpoints on which no attempt runs."""


class AttemptContext(CoreContext):
    """State that the attempts component needs."""

    rng: random.Random
    budget: retries.RetryBudget
    counters: counters_lib.Counters
    limits: limits_lib.LimitTable
    releaser: releases.Releaser
    dispatcher: DispatcherInterface

    @abc.abstractmethod
    def output_share(self, service: str) -> admission.OutputShare:
        """Return what is learned of a service's output lengths."""


class ClaimContext(CoreContext):
    """State that claiming needs."""

    counters: counters_lib.Counters
    attempts: AttemptsInterface

    @abc.abstractmethod
    def enqueue(self, flight: flights_lib.Flight, now: float) -> None:
        """Add a flight to its queue and try to dispatch it at once."""


class DispatchContext(CoreContext):
    """State that the dispatcher needs."""

    limits: limits_lib.LimitTable
    attempts: AttemptsInterface
    syncing: SyncInterface
    make_policy: Callable[[config_lib.Service], policies.Policy]

    @property
    @abc.abstractmethod
    def owner(self) -> str:
        """Return the name under which engines hold memory for this entry."""

    @property
    @abc.abstractmethod
    def config(self) -> config_lib.Config:
        """Return the current configuration."""

    @abc.abstractmethod
    def output_share(self, service: str) -> admission.OutputShare:
        """Return what is learned of a service's output lengths."""


class RosterContext(CoreContext):
    """State that the roster of endpoints needs."""

    freshness: freshness_lib.Freshness
    releaser: releases.Releaser
    attempts: AttemptsInterface
    dispatcher: DispatcherInterface


class SyncContext(CoreContext):
    """State that the heartbeats need."""

    entry: str
    draining: bool
    freshness: freshness_lib.Freshness
    limits: limits_lib.LimitTable
    roster: RosterInterface

    @abc.abstractmethod
    def dispatch_all_queued(self, now: float) -> None:
        """Dispatch queued requests of every service."""
