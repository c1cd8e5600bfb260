"""Chooses endpoints for requests from what all gateways have sent."""

import random

import attrs

from _coltsfootroad.core import candidates
from _coltsfootroad.core import endpointset
from _coltsfootroad.core import engineplacement
from _coltsfootroad.core import enginestate
from _coltsfootroad.core import enginestatecache
from _coltsfootroad.core import fingerprints
from _coltsfootroad.core import isolation as isolation_lib
from _coltsfootroad.core import routes
from _coltsfootroad.core import workload
from _coltsfootroad.gateway import tickets


@attrs.frozen(kw_only=True)
class Choice:
    """Where a request goes, and what decided it."""

    endpoint: endpointset.KnownEndpoint
    helpers: tuple[endpointset.KnownEndpoint, ...] = ()
    shares: tuple[tickets.Share, ...] = ()
    predicted_s: float = 0.0
    cost: float = 0.0
    load: int = 0
    late_waiting: int = 0
    places: int = 0


@attrs.define
class Chooser:
    """Picks an endpoint of a service for one request."""

    endpoints: endpointset.EndpointSet
    load: workload.Workload
    availability_zone: str
    rng: random.Random
    isolation: isolation_lib.Isolation = attrs.Factory(isolation_lib.Isolation)
    limits: candidates.CandidateLimits = candidates.DEFAULT_LIMITS
    book: enginestatecache.EngineStateCache = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.book = enginestatecache.EngineStateCache(
            self.load.index, self.availability_zone
        )

    def choose(
        self,
        spec: routes.ServiceSpec,
        prompt: engineplacement.Prompt | None,
        avoid: set[str],
        now: float,
        suspect: fingerprints.Fingerprint | None = None,
    ) -> Choice | None:
        """Return the best endpoint, one not in `avoid` if there is any.

        A suspect of crashes goes where no other one is sent.
        """
        self.load.expire(now)
        known = self.endpoints.serving_endpoints(spec.name)
        if suspect is not None:
            known = self.isolation.select(suspect, known, avoid, now)
        sampled = candidates.sample_endpoints(
            known, now, avoid, self.rng, self.limits.sampled
        )
        if not sampled:
            return None
        if spec.engine is None or prompt is None:
            return self.least_loaded(sampled)
        return self.placed(spec, prompt, sampled, now)

    def least_loaded(self, sampled: list[endpointset.KnownEndpoint]) -> Choice:
        """Return the endpoint with the least work; the first of equal ones."""
        loads = [len(self.book.current_work(known)) for known in sampled]
        least = min(loads)
        return Choice(endpoint=sampled[loads.index(least)], load=least)

    def placed(
        self,
        spec: routes.ServiceSpec,
        prompt: engineplacement.Prompt,
        sampled: list[endpointset.KnownEndpoint],
        now: float,
    ) -> Choice | None:
        """Return the cheapest engines for a prompt."""
        engine = spec.engine
        long = engineplacement.may_split(prompt)
        places = self.limits.long if long else self.limits.short
        picked = candidates.select_candidates(
            sampled,
            self.load.index,
            places,
            self.availability_zone,
            engine.slots,
        )
        states = [self.book.state(known, engine, now) for known in picked]
        placement = engineplacement.place(prompt, states, engine)
        if placement is None:
            return None
        by_name = {known.name: known for known in picked}
        lead = by_name[placement.lead]
        return Choice(
            endpoint=lead,
            helpers=tuple(by_name[name] for name in placement.helpers),
            shares=tuple(
                tickets.Share(endpoint=by_name[name], tokens=tokens)
                for name, tokens in placement.tickets
            ),
            predicted_s=placement.first_event_s,
            cost=placement.cost,
            load=len(self.book.current_work(lead)),
            late_waiting=self.late_waiting(spec.name),
            places=engine.slots
            * len(self.endpoints.serving_endpoints(spec.name)),
        )

    def late_waiting(self, service: str) -> int:
        """Return how many requests wait late at a service's endpoints."""
        return sum(
            len(keys)
            for name, keys in self.load.index.late.items()
            if self.endpoints.serves(name, service)
        )

    def reading_s(
        self,
        known: endpointset.KnownEndpoint,
        engine: routes.EngineSpec,
        now: float,
    ) -> float:
        """Return for how long an engine is known to read prompts still."""
        works = self.load.at_endpoint(known.name)
        return enginestate.remaining_prefill_s(works, engine, now)
