"""What each part of an entry's core needs from the others.

The parts work on the same flights and endpoints and call each other. Each
names here what it needs, and the entry gives it that; no part imports the
entry or a part that calls it.
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


class Host(abc.ABC):
    """What all parts share: requests in progress and endpoints known.

    Attributes:
        flights: Requests in progress.
        pools: Endpoints by service.
        endpoint_service: Service of each endpoint.
        out: Actions that the shell has to carry out.
    """

    flights: flights_lib.FlightTable
    pools: dict[str, pool_lib.ServicePool]
    endpoint_service: dict[str, str]
    out: list[actions.Action]

    @abc.abstractmethod
    def pool(self, service: str) -> pool_lib.ServicePool:
        """Return the pool of a service, made on first use."""

    @abc.abstractmethod
    def view(self, endpoint: str) -> endpoints.EndpointView | None:
        """Return the view of a known endpoint."""


class Dispatching(abc.ABC):
    """Queues, and sends what may go."""

    @abc.abstractmethod
    def queue(self, service: str) -> fairqueue.FairQueue:
        """Return the queue of a service, made on first use."""

    @abc.abstractmethod
    def pump(self, service: str, now: float) -> None:
        """Dispatch whatever can go now."""

    @abc.abstractmethod
    def release_group(self, flight: flights_lib.Flight) -> None:
        """Give back the engines that were reserved for a request."""


class Ending(abc.ABC):
    """Follows attempts to their ends."""

    @abc.abstractmethod
    def running(
        self, request_id: str, attempt: int
    ) -> flights_lib.Flight | None:
        """Return the flight of an attempt that is still under way."""

    @abc.abstractmethod
    def attempt_failed(
        self,
        flight: flights_lib.Flight,
        endpoint: str,
        fault: faults.Fault,
        now: float,
    ) -> None:
        """Retry a failed attempt or end its request."""

    @abc.abstractmethod
    def fail(
        self, flight: flights_lib.Flight, failure: errors.Failure, now: float
    ) -> None:
        """End a request with a failure."""

    @abc.abstractmethod
    def end(self, flight: flights_lib.Flight, used: int, now: float) -> None:
        """Forget a request; `used` tokens were written for it."""


class Hurrying(abc.ABC):
    """Talks to the leader."""

    @abc.abstractmethod
    def request_heartbeat(self, now: float) -> None:
        """Ask for a heartbeat before its time."""


class Following(abc.ABC):
    """Follows what endpoints and the leader say of endpoints."""

    @abc.abstractmethod
    def take_announcement(
        self, announcement: registry.Announcement, now: float
    ) -> None:
        """Update the view of an endpoint unless a newer one is known."""

    @abc.abstractmethod
    def take_load(self, report: endpoints.LoadReport, now: float) -> None:
        """Take an endpoint's load report."""

    @abc.abstractmethod
    def expire_endpoint(self, name: str, now: float) -> None:
        """Stop using an endpoint whose lease has ended."""

    @abc.abstractmethod
    def drop_expired(self, now: float) -> None:
        """Forget expired endpoints on which nothing runs."""


class AttemptHost(Host):
    """What follows attempts needs."""

    rng: random.Random
    budget: retries.RetryBudget
    counters: counters_lib.Counters
    limits: limits_lib.LimitTable
    releaser: releases.Releaser
    dispatcher: Dispatching

    @abc.abstractmethod
    def output_share(self, service: str) -> admission.OutputShare:
        """Return what is learned of a service's output lengths."""


class ClaimHost(Host):
    """What takes claims needs."""

    counters: counters_lib.Counters
    attempts: Ending

    @abc.abstractmethod
    def enqueue(self, flight: flights_lib.Flight, now: float) -> None:
        """Put a flight into its queue and try to dispatch at once."""


class DispatchHost(Host):
    """What queues and sends needs."""

    limits: limits_lib.LimitTable
    attempts: Ending
    syncing: Hurrying
    make_policy: Callable[[config_lib.Service], policies.Policy]

    @property
    @abc.abstractmethod
    def owner(self) -> str:
        """Return the name under which engines hold memory for us."""

    @property
    @abc.abstractmethod
    def config(self) -> config_lib.Config:
        """Return the configuration in force."""

    @abc.abstractmethod
    def output_share(self, service: str) -> admission.OutputShare:
        """Return what is learned of a service's output lengths."""


class RosterHost(Host):
    """What follows endpoints needs."""

    freshness: freshness_lib.Freshness
    releaser: releases.Releaser
    attempts: Ending
    dispatcher: Dispatching


class SyncHost(Host):
    """What talks to the leader needs."""

    entry: str
    draining: bool
    freshness: freshness_lib.Freshness
    limits: limits_lib.LimitTable
    roster: Following

    @abc.abstractmethod
    def pump_all(self, now: float) -> None:
        """Dispatch whatever can go now, for every service."""
