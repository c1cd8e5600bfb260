"""The simulated processes of a fleet, and what its parts need of entries."""

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
    """An endpoint, engine or plain, with its connections."""

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
    """What callers and endpoints need of the entries.

    Attributes:
        by_name: The entry processes, dead ones too.
    """

    by_name: dict[str, SimEntry]

    @abc.abstractmethod
    def run_core(self, entry: SimEntry, method: Callable, *arguments) -> None:
        """Call an entry's core and carry out its actions."""

    @abc.abstractmethod
    def deliver(
        self, source: str, entry: SimEntry, method: Callable, *arguments
    ) -> None:
        """Send a call to an entry's core over the network."""

    @abc.abstractmethod
    def sample_entries(self) -> list[SimEntry]:
        """Return the entries that an endpoint talks to this time."""
