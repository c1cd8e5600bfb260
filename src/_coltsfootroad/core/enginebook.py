"""The states of engines, each worked out again only when its work changes."""

import attrs

from _coltsfootroad.core import endpointset
from _coltsfootroad.core import enginestate
from _coltsfootroad.core import loadindex
from _coltsfootroad.core import routes
from _coltsfootroad.core import work as work_lib

# States that are kept; beyond it those of engines that are gone go as well.
MAX_KEPT = 4_096


@attrs.define
class KeptState:
    """A state and what it was worked out from.

    Attributes:
        endpoint: The start of the engine; a later one is another object.
        version: Version of its work.
        spec: How such engines work.
        state: The state.
    """

    endpoint: endpointset.KnownEndpoint
    version: int
    spec: routes.EngineSpec
    state: enginestate.EngineState


@attrs.define
class EngineBook:
    """Keeps the states of engines for the next choice.

    Attributes:
        index: The work at each engine.
        availability_zone: Zone of the gateway.
        kept: States by the engines' names.
    """

    index: loadindex.LoadIndex
    availability_zone: str
    kept: dict[str, KeptState] = attrs.Factory(dict)

    def state(
        self,
        endpoint: endpointset.KnownEndpoint,
        spec: routes.EngineSpec,
        now: float,
    ) -> enginestate.EngineState:
        """Return what an engine does at a time."""
        version = self.index.at(endpoint.name).version
        kept = self.kept.get(endpoint.name)
        if kept is None or not (
            kept.endpoint is endpoint
            and kept.version == version
            and kept.spec == spec
            and kept.state.pace == endpoint.pace
        ):
            kept = self.keep(endpoint, version, spec, now)
        kept.state.look(now)
        return kept.state

    def keep(
        self,
        endpoint: endpointset.KnownEndpoint,
        version: int,
        spec: routes.EngineSpec,
        now: float,
    ) -> KeptState:
        """Work out a state anew."""
        if len(self.kept) >= MAX_KEPT:
            self.kept.clear()
        state = enginestate.engine_state(
            endpoint.name,
            self.works_at(endpoint),
            spec,
            now,
            near=self.is_near(endpoint),
            pace=endpoint.pace,
        )
        kept = KeptState(endpoint, version, spec, state)
        self.kept[endpoint.name] = kept
        return kept

    def works_at(
        self, endpoint: endpointset.KnownEndpoint
    ) -> list[work_lib.WorkItem]:
        """Return the work that an endpoint was sent since it began.

        Other gateways may hear of a restart later and still tell of work at
        the earlier start.
        """
        return [
            work
            for work in self.index.at(endpoint.name).works.values()
            if work.sent_at > endpoint.restarted_at
        ]

    def is_near(self, endpoint: endpointset.KnownEndpoint) -> bool:
        """Return whether an endpoint is in the gateway's zone."""
        return endpoint.announcement.availability_zone == self.availability_zone
