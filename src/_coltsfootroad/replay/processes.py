"""Simulated processes of a fleet and the interface of its entries."""

import abc
from collections.abc import Callable

import attrs

from _coltsfootroad.core import entry as entry_lib
from _coltsfootroad.core import registry
from _coltsfootroad.core import servicekind
from _coltsfootroad.fakes import engine as engine_lib

FIRST_INCARNATION = 1


@attrs.define(eq=False)
class SimEndpoint:
    """An endpoint process, engine or plain service, with its connections."""

    name: str
    service: str
    kind: servicekind.ServiceKind
    model: engine_lib.EngineModel
    incarnation: int = FIRST_INCARNATION
    seq: int = 0
    alive: bool = True
    state: registry.EndpointState = registry.EndpointState.SERVING
    connections: set = attrs.Factory(set)
    next_tick_at: float | None = None


@attrs.define(eq=False)
class SimEntry:
    """An entry process."""

    name: str
    core: entry_lib.EntryCore
    zone: str
    alive: bool = True
    frozen_until: float = 0.0
    next_tick_at: float | None = None
    unsettled_claims: int = 0


class EntriesInterface(abc.ABC):
    """Operations on entries that callers and endpoints use.

    Attributes:
        by_name: The entry processes, including those that are down.
    """

    by_name: dict[str, SimEntry]

    @abc.abstractmethod
    def run_core(self, entry: SimEntry, method: Callable, *arguments) -> None:
        """Call a method of an entry's core and execute its actions."""

    @abc.abstractmethod
    def deliver(
        self, source: str, entry: SimEntry, method: Callable, *arguments
    ) -> None:
        """Send a call to an entry's core over the network."""

    @abc.abstractmethod
    def sample_entries(self) -> list[SimEntry]:
        """Return a random sample of the entries that are up."""
