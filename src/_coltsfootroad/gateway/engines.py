"""Chooses endpoints for requests by the in-flight work of all gateways."""

import random

import attrs

from _coltsfootroad.core import callrecords
from _coltsfootroad.core import endpointset
from _coltsfootroad.core import fingerprints
from _coltsfootroad.core import isolation as isolation_lib
from _coltsfootroad.core import pace
from _coltsfootroad.core import plainchoice
from _coltsfootroad.core import routes
from _coltsfootroad.core.placement import candidates
from _coltsfootroad.core.placement import enginemodel
from _coltsfootroad.core.placement import engineplacement
from _coltsfootroad.core.placement import enginestate
from _coltsfootroad.core.placement import enginestatecache
from _coltsfootroad.core.placement import heldprefixes
from _coltsfootroad.core.placement import workload
from _coltsfootroad.gateway import coldendpoints
from _coltsfootroad.gateway import memoryreservation


@attrs.frozen(kw_only=True)
class Choice:
    """The endpoints chosen for a request, and the inputs of the choice.

    Attributes:
        endpoint: The endpoint that gets the request.
        helpers: Engines that prefill parts of the prompt.
        shares: Memory to reserve before the request is sent.
        predicted_s: Predicted time to the first event.
        cost: Cost of the placement, lower is better.
        load: Work items in flight at the endpoint.
        late_waiting: Requests of the service that wait past their target.
        batch_slots: Batch slots of all endpoints of the service.
        least_s: Seconds that a plain call takes at the least, 0 if unknown.
        factor: Factor on the expected time of a plain endpoint, or slowdown.
        saved_s: Seconds of prefill that a held beginning of the prompt saves.
    """

    endpoint: endpointset.KnownEndpoint
    helpers: tuple[endpointset.KnownEndpoint, ...] = ()
    shares: tuple[memoryreservation.MemoryShare, ...] = ()
    predicted_s: float = 0.0
    cost: float = 0.0
    load: int = 0
    late_waiting: int = 0
    batch_slots: int = 0
    least_s: float = 0.0
    factor: float = 1.0
    saved_s: float = 0.0


@attrs.define
class Chooser:
    """Chooses an endpoint of a service for one request."""

    endpoints: endpointset.EndpointSet
    load: workload.Workload
    availability_zone: str
    rng: random.Random
    isolation: isolation_lib.Isolation = attrs.Factory(isolation_lib.Isolation)
    limits: candidates.CandidateLimits = candidates.DEFAULT_LIMITS
    cold: coldendpoints.ColdEndpoints | None = None
    calls: callrecords.CallRecords = attrs.Factory(callrecords.CallRecords)
    paces: pace.PaceTable = attrs.Factory(pace.PaceTable)
    held: heldprefixes.HeldPrefixes = attrs.Factory(heldprefixes.HeldPrefixes)
    state_cache: enginestatecache.EngineStateCache = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.state_cache = enginestatecache.EngineStateCache(
            self.load.index, self.availability_zone
        )

    def choose(
        self,
        spec: routes.ServiceSpec,
        prompt: engineplacement.Prompt | None,
        avoid: set[str],
        now: float,
        suspect: fingerprints.Fingerprint | None = None,
        parts: tuple[heldprefixes.Part, ...] = (),
    ) -> Choice | None:
        """Return the best endpoint, preferring those not in `avoid`.

        A request suspected of crashes gets an endpoint without other suspects.
        `parts` are those of a prompt whose beginning engines may hold; it is
        empty for suspects and for engines that retain nothing.
        """
        self.load.expire(now)
        known = self.endpoints.serving_endpoints(spec.name)
        if suspect is not None:
            known = self.isolation.select(suspect, known, avoid, now)
        sampled = self.sample(spec, known, avoid, now)
        if not sampled:
            return None
        if spec.engine is None or prompt is None:
            usable = known
            if self.cold is not None and spec.cold_per_s:
                usable = self.cold.usable(spec, known, now)
            # While requests are suspected of crashes, an ejected endpoint may
            # have just come back from one, and this request may cause the next.
            if not self.isolation.suspects:
                sampled = plainchoice.untried(sampled, usable, avoid)
            return self.choose_plain(sampled, now)
        holders = self.holders(spec, parts, avoid, now) if parts else []
        return self.place_prompt(spec, prompt, sampled, now, parts, holders)

    def holders(
        self,
        spec: routes.ServiceSpec,
        parts: tuple[heldprefixes.Part, ...],
        avoid: set[str],
        now: float,
    ) -> list[endpointset.KnownEndpoint]:
        """Return a few usable engines that hold a prompt's beginning."""
        found = []
        # Twice as many are looked up, as some may be ejected or tried.
        limit = 2 * heldprefixes.MAX_COMPARED_HOLDERS
        for name in self.held.likely_holders(parts, limit):
            if name in avoid or not self.endpoints.serves(name, spec.name):
                continue
            known = self.endpoints.known[name]
            if known.ejected_until <= now:
                found.append(known)
        if self.cold is not None and spec.cold_per_s:
            found = self.cold.usable(spec, found, now)
        return found[: heldprefixes.MAX_COMPARED_HOLDERS]

    def saved_by_engine(
        self,
        parts: tuple[heldprefixes.Part, ...],
        picked: list[endpointset.KnownEndpoint],
        states: list[enginestate.EngineState],
        engine: routes.EngineSpec,
        now: float,
    ) -> dict[str, float]:
        """Return the seconds of prefill that engines save, without zeros."""
        saved = {}
        for known, state in zip(picked, states, strict=True):
            tokens = self.held.held_tokens(
                known.name,
                known.incarnation_key,
                parts,
                engine.kv_tokens - state.kv_used,
                now,
            )
            if tokens:
                saved[known.name] = enginemodel.saved_s(engine, tokens)
        return saved

    def sample(
        self,
        spec: routes.ServiceSpec,
        known: list[endpointset.KnownEndpoint],
        avoid: set[str],
        now: float,
    ) -> list[endpointset.KnownEndpoint]:
        """Return a random sample without cold endpoints that are at a limit."""
        sampled = candidates.sample_endpoints(
            known, now, avoid, self.rng, self.limits.sampled
        )
        if self.cold is None or not spec.cold_per_s:
            return sampled
        usable = self.cold.usable(spec, sampled, now)
        if usable or not avoid:
            return usable
        # An endpoint that was tried comes before a refusal.
        return self.sample(spec, known, set(), now)

    def blocked_endpoints(
        self, spec: routes.ServiceSpec, now: float
    ) -> list[endpointset.KnownEndpoint]:
        """Return cold endpoints, if only these serve and all are at a limit."""
        if self.cold is None or not spec.cold_per_s:
            return []
        sampled = candidates.sample_endpoints(
            self.endpoints.serving_endpoints(spec.name),
            now,
            set(),
            self.rng,
            self.limits.sampled,
        )
        return [] if self.cold.usable(spec, sampled, now) else sampled

    def choose_plain(
        self, compared: list[endpointset.KnownEndpoint], now: float
    ) -> Choice:
        """Return the endpoint of a plain call."""
        loads = [
            len(self.state_cache.current_work(known)) for known in compared
        ]
        found = plainchoice.choose(compared, loads, self.calls, now)
        return Choice(
            endpoint=compared[found.index],
            load=loads[found.index],
            least_s=found.least_s,
            factor=found.factor,
        )

    def place_prompt(
        self,
        spec: routes.ServiceSpec,
        prompt: engineplacement.Prompt,
        sampled: list[endpointset.KnownEndpoint],
        now: float,
        parts: tuple[heldprefixes.Part, ...] = (),
        holders: list[endpointset.KnownEndpoint] | None = None,
    ) -> Choice | None:
        """Return the engines with the lowest cost for a prompt."""
        engine = spec.engine
        is_long = engineplacement.may_split(prompt)
        candidate_counts = self.limits.long if is_long else self.limits.short
        picked = candidates.select_candidates(
            sampled,
            self.load.index,
            candidate_counts,
            self.availability_zone,
            engine.slots,
        )
        if holders:
            names = {known.name for known in picked}
            picked = picked + [k for k in holders if k.name not in names]
        if is_long:
            picked = self.paces.without_unproved(picked, now)
        states = [
            self.state_cache.state(known, engine, now) for known in picked
        ]
        saved = None
        if parts:
            saved = self.saved_by_engine(parts, picked, states, engine, now)
        placement = engineplacement.place(prompt, states, engine, saved)
        if placement is None:
            return None
        by_name = {known.name: known for known in picked}
        lead = by_name[placement.lead]
        return Choice(
            endpoint=lead,
            helpers=tuple(by_name[name] for name in placement.helpers),
            shares=tuple(
                memoryreservation.MemoryShare(
                    endpoint=by_name[name], tokens=tokens
                )
                for name, tokens in placement.tickets
            ),
            predicted_s=placement.first_event_s,
            cost=placement.cost,
            load=len(self.state_cache.current_work(lead)),
            late_waiting=self.late_waiting(spec.name),
            batch_slots=engine.slots
            * len(self.endpoints.serving_endpoints(spec.name)),
            factor=lead.expected_slowdown,
            saved_s=placement.saved_s,
        )

    def late_waiting(self, service: str) -> int:
        """Return how many of a service's requests wait past their target."""
        return sum(
            len(keys)
            for name, keys in self.load.index.late.items()
            if self.endpoints.serves(name, service)
        )

    def prefill_left_s(
        self,
        known: endpointset.KnownEndpoint,
        engine: routes.EngineSpec,
        now: float,
    ) -> float:
        """Return the known remaining prefill time of an engine."""
        works = self.load.at_endpoint(known.name)
        return enginestate.remaining_prefill_s(
            works, engine, now, known.expected_slowdown
        )
