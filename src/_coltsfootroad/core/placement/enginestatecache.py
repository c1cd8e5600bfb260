"""Caches the states of engines until their work changes."""

import attrs

from _coltsfootroad.core import endpointset
from _coltsfootroad.core import routes
from _coltsfootroad.core.placement import enginestate
from _coltsfootroad.core.placement import loadindex
from _coltsfootroad.core.placement import work as work_lib

# The entire cache is cleared at this size, which drops engines that have ended.
MAX_CACHED_STATES = 4_096


@attrs.define
class CachedState:
    """A state and the inputs from which it was computed.

    Attributes:
        endpoint: Incarnation of the engine; a later one is another object.
        version: Version of its work.
        spec: Timing of such engines.
        state: The state.
    """

    endpoint: endpointset.KnownEndpoint
    version: int
    spec: routes.EngineSpec
    state: enginestate.EngineState


@attrs.define
class EngineStateCache:
    """Computes the states of engines and caches them between choices.

    Attributes:
        index: Work on each engine.
        availability_zone: Zone of the gateway.
        cached: States by engine name.
    """

    index: loadindex.LoadIndex
    availability_zone: str
    cached: dict[str, CachedState] = attrs.Factory(dict)

    def state(
        self,
        endpoint: endpointset.KnownEndpoint,
        spec: routes.EngineSpec,
        now: float,
    ) -> enginestate.EngineState:
        """Return the state of an engine at a time."""
        version = self.index.at(endpoint.name).version
        cached = self.cached.get(endpoint.name)
        if cached is None or not (
            cached.endpoint is endpoint
            and cached.version == version
            and cached.spec == spec
            and cached.state.slowdown == endpoint.expected_slowdown
        ):
            cached = self.compute(endpoint, version, spec, now)
        cached.state.advance_to(now)
        return cached.state

    def compute(
        self,
        endpoint: endpointset.KnownEndpoint,
        version: int,
        spec: routes.EngineSpec,
        now: float,
    ) -> CachedState:
        """Compute a state and cache it."""
        if len(self.cached) >= MAX_CACHED_STATES:
            self.cached.clear()
        state = enginestate.engine_state(
            endpoint.name,
            self.current_work(endpoint),
            spec,
            now,
            in_gateway_zone=self.is_in_gateway_zone(endpoint),
            slowdown=endpoint.expected_slowdown,
        )
        cached = CachedState(endpoint, version, spec, state)
        self.cached[endpoint.name] = cached
        return cached

    def current_work(
        self, endpoint: endpointset.KnownEndpoint
    ) -> list[work_lib.WorkItem]:
        """Return the work that was sent to an endpoint since its last restart.

        Other gateways may learn of the restart later and still report work of
        the earlier incarnation.
        """
        return [
            work
            for work in self.index.at(endpoint.name).works.values()
            if work.sent_at > endpoint.restarted_at
        ]

    def is_in_gateway_zone(self, endpoint: endpointset.KnownEndpoint) -> bool:
        """Return whether an endpoint is in the gateway's zone."""
        return endpoint.announcement.availability_zone == self.availability_zone
