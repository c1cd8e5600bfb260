"""Chooses endpoints for requests from what all gateways have sent."""

import random

import attrs

from _coltsfootroad.core import endpointset
from _coltsfootroad.core import routes
from _coltsfootroad.core import shedding
from _coltsfootroad.core import spread
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

    def choose(
        self,
        spec: routes.ServiceSpec,
        prompt: spread.Prompt | None,
        avoid: set[str],
        now: float,
    ) -> Choice | None:
        """Return the best endpoint, one not in `avoid` if there is any."""
        found = self.endpoints.usable(spec.name, now)
        fresh = [known for known in found if known.name not in avoid]
        found = fresh or found
        if not found:
            return None
        self.load.expire(now)
        works = self.works_at(found)
        if spec.engine is None or prompt is None:
            return self.least_loaded(found, works)
        return self.placed(spec.engine, prompt, found, works, now)

    def works_at(
        self, found: list[endpointset.KnownEndpoint]
    ) -> dict[str, list[workload.Work]]:
        """Return by name the work that endpoints were sent since they began.

        Other gateways may hear of a restart later and still tell of work at
        the earlier start.
        """
        works = self.load.by_endpoint()
        return {
            known.name: [
                work
                for work in works.get(known.name, ())
                if work.sent_at > known.restarted_at
            ]
            for known in found
        }

    def least_loaded(
        self,
        found: list[endpointset.KnownEndpoint],
        works: dict[str, list[workload.Work]],
    ) -> Choice:
        """Return the endpoint with the least work; ties by lot."""

        def load_of(known: endpointset.KnownEndpoint) -> tuple:
            return (len(works.get(known.name, ())), self.rng.random())

        best = min(found, key=load_of)
        return Choice(endpoint=best, load=len(works.get(best.name, ())))

    def placed(
        self,
        engine: routes.EngineSpec,
        prompt: spread.Prompt,
        found: list[endpointset.KnownEndpoint],
        works: dict[str, list[workload.Work]],
        now: float,
    ) -> Choice | None:
        """Return the cheapest engines for a prompt."""
        self.rng.shuffle(found)
        states = [
            spread.engine_state(
                known.name,
                works.get(known.name, []),
                engine,
                now,
                near=self.is_near(known),
                pace=known.pace,
            )
            for known in found
        ]
        placement = spread.place(prompt, states, engine)
        if placement is None:
            return None
        by_name = {known.name: known for known in found}
        return Choice(
            endpoint=by_name[placement.lead],
            helpers=tuple(by_name[name] for name in placement.helpers),
            shares=tuple(
                tickets.Share(endpoint=by_name[name], tokens=tokens)
                for name, tokens in placement.tickets
            ),
            predicted_s=placement.first_event_s,
            cost=placement.cost,
            load=len(works.get(placement.lead, ())),
            late_waiting=sum(
                shedding.late_waiting(works.get(known.name, ()))
                for known in found
            ),
            places=engine.slots * len(found),
        )

    def reading_s(
        self,
        known: endpointset.KnownEndpoint,
        engine: routes.EngineSpec,
        now: float,
    ) -> float:
        """Return for how long an engine is known to read prompts still."""
        works = self.load.at_endpoint(known.name)
        return spread.reading_left_s(works, engine, now)

    def is_near(self, known: endpointset.KnownEndpoint) -> bool:
        """Return whether an endpoint is in the own availability zone."""
        return known.announcement.availability_zone == self.availability_zone
