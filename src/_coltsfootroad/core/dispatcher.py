"""Queues, routes and sends; reserves groups for the longest prompts."""

import attrs

from _coltsfootroad.control import messages
from _coltsfootroad.core import actions
from _coltsfootroad.core import admission
from _coltsfootroad.core import endpoints
from _coltsfootroad.core import errors
from _coltsfootroad.core import fairqueue
from _coltsfootroad.core import flights
from _coltsfootroad.core import grouping
from _coltsfootroad.core import hosts
from _coltsfootroad.core import lengths
from _coltsfootroad.core import policies as policies_lib
from _coltsfootroad.core import pool as pool_lib
from _coltsfootroad.core import request as request_lib
from _coltsfootroad.core import servicekind

# Heads that are tried in vain per pump before the rest must wait.
MAX_VAIN_TRIES = 16
# Choices made to get away from where a request failed before.
MAX_CHOICES = 3
GROUP_RETRY_S = 0.2
GROUP_RENEW_S = 3.0
# Ageing lifts a waiting prompt one band, and never to the short ones.
AGED_BAND_FLOOR = 1
AGE_AFTER_S = 20.0
DEFAULT_WEIGHT = 1.0


@attrs.define
class Dispatcher(hosts.Dispatching):
    """The part of the entry core between admission and endpoint."""

    core: hosts.DispatchHost
    queues: dict[str, fairqueue.FairQueue] = attrs.Factory(dict)
    bands_by_service: dict[str, lengths.LengthBands] = attrs.Factory(dict)
    policies: dict[str, tuple] = attrs.Factory(dict)
    group_number: int = 0
    renewed_at: float = 0.0

    def queue(self, service: str) -> fairqueue.FairQueue:
        """Return the queue of a service, made on first use."""
        return self.queues.setdefault(service, fairqueue.FairQueue())

    def bands(self, service: str) -> lengths.LengthBands:
        """Return the length bands of a service, made on first use."""
        return self.bands_by_service.setdefault(service, lengths.LengthBands())

    def policy(self, service: str) -> policies_lib.Policy:
        """Return the policy of a service, made anew when it is changed."""
        settings = self.core.config.services.get(service)
        known = self.policies.get(service)
        if known is not None and (settings is None or known[0] == settings):
            return known[1]
        policy = self.core.make_policy(settings)
        self.policies[service] = (settings, policy)
        return policy

    # --- prediction ------------------------------------------------------

    def predict_s(
        self,
        request: request_lib.Request,
        band: int,
        pool: pool_lib.ServicePool,
        now: float,
    ) -> float:
        """Return the predicted seconds until the answer is whole."""
        if request.kind is servicekind.ServiceKind.PLAIN:
            return 0.0
        if grouping.needs_group(request, pool):
            plan = grouping.plan(request, band, pool, set(), now)
            wait_s = plan.predicted_s if plan is not None else 0.0
            return wait_s + self.decode_s(request, pool)
        views = pool.sample(policies_lib.SAMPLE_SIZE, now)
        first = min(
            (v.speed.prefill_s(v.tokens_ahead(band)) for v in views),
            default=0.0,
        )
        return first + self.minimum_s(request, pool)

    def minimum_s(
        self, request: request_lib.Request, pool: pool_lib.ServicePool
    ) -> float:
        """Return the seconds that an idle engine would need."""
        if request.kind is servicekind.ServiceKind.PLAIN:
            return 0.0
        if grouping.needs_group(request, pool):
            return self.decode_s(request, pool)
        speed = self.some_view(pool).speed
        cached = 1.0 if request.prefix_hashes else 0.0
        read_s = speed.prefill_s(request.prompt_tokens * (1 - cached))
        return read_s + self.decode_s(request, pool)

    def decode_s(
        self, request: request_lib.Request, pool: pool_lib.ServicePool
    ) -> float:
        """Return the seconds that an answer of usual length takes."""
        share = self.core.output_share(request.service).share
        tokens = int(request.output_tokens * share)
        return self.some_view(pool).speed.decode_s(tokens)

    def some_view(self, pool: pool_lib.ServicePool) -> endpoints.EndpointView:
        """Return a serving endpoint's view for typical speeds."""
        names = pool.short_only.names or pool.mixed.names
        return pool.views[names[0]]

    # --- dispatch --------------------------------------------------------

    def pump(self, service: str, now: float) -> None:
        """Dispatch from a service's queue until nothing more can go."""
        queue = self.queue(service)
        tries = 0

        def may_go(request: request_lib.Request) -> bool:
            nonlocal tries
            if tries >= MAX_VAIN_TRIES:
                return False
            went = self.try_send(request, now)
            tries += not went
            return went

        while queue.size and queue.select(may_go) is not None:
            pass

    def try_send(self, request: request_lib.Request, now: float) -> bool:
        """Send a queued request if its limits and an endpoint allow it."""
        core = self.core
        flight = core.flights.get(request.request_id)
        if not flight.charged and not self.limits_allow(request, now):
            return False
        pool = core.pool(request.service)
        if now >= request.deadline_at or not pool.serving_count():
            return False
        if grouping.needs_group(request, pool):
            self.leave_queue(flight, now)
            flight.state = flights.FlightState.RESERVING
            self.reserve(flight, now)
            return True
        choice = self.choose(flight, pool, now)
        if choice is None:
            return False
        self.leave_queue(flight, now)
        part = actions.Part(
            endpoint=choice.endpoint,
            prompt_tokens=choice.prompt_tokens,
            kv_tokens=kv_tokens(request),
        )
        self.send(flight, (part,), choice.predicted_s, now)
        return True

    def limits_allow(self, request: request_lib.Request, now: float) -> bool:
        """Return whether the workspace's leased share has room.

        A workspace that was idle here holds no share; the next heartbeat,
        which then goes out at once, asks for one.
        """
        settings = self.core.config.workspaces.get(request.workspace)
        if settings is not None and not settings.is_limited:
            return True
        meter = self.core.limits.meter(request.workspace)
        if meter.may_start(now):
            return True
        if not meter.has_lease(now):
            self.core.syncing.request_heartbeat(now)
        return False

    def choose(
        self, flight: flights.Flight, pool: pool_lib.ServicePool, now: float
    ) -> policies_lib.Choice | None:
        """Return the policy's choice, away from where it failed before."""
        policy = self.policy(flight.request.service)
        choice = None
        for _ in range(MAX_CHOICES):
            choice = policy.choose(flight.request, flight.band, pool, now)
            if choice is None or choice.endpoint not in flight.avoid:
                return choice
        return choice

    def leave_queue(self, flight: flights.Flight, now: float) -> None:
        """Take a flight out of the queue and charge its workspace."""
        request = flight.request
        workspace = self.core.config.workspaces.get(request.workspace)
        weight = workspace.weight if workspace else DEFAULT_WEIGHT
        weight *= fairqueue.priority_factor(request.priority)
        self.queue(request.service).dispatched(request, weight)
        if flight.charged:
            return
        flight.charged = True
        meter = self.core.limits.meter(request.workspace)
        meter.waiting -= 1
        meter.start(request.cost_tokens, now)

    def send(
        self,
        flight: flights.Flight,
        parts: tuple[actions.Part, ...],
        predicted_s: float,
        now: float,
    ) -> None:
        """Send the next attempt of a flight."""
        core = self.core
        request = flight.request
        pool = core.pool(request.service)
        flight.attempt += 1
        flight.stream.begin(flight.attempt)
        flight.state = flights.FlightState.RUNNING
        flight.may_have_run = True
        flight.dispatched_at = now
        flight.progress_at = now
        flight.predicted_s = predicted_s
        flight.priority = self.engine_priority(flight)
        key = (flight.request_id, flight.attempt)
        flight.parts = tuple(
            self.record_part(part, key, flight.band, pool, now)
            for part in parts
        )
        if flight.band == 0:
            speed = pool.views[parts[0].endpoint].speed
            pool.record_short_prompt(
                speed.prefill_s(request.prompt_tokens), now
            )
        core.flights.arm(flight, now + predicted_s + AGE_AFTER_S)
        core.out.append(
            actions.Dispatch(
                request=request,
                attempt=flight.attempt,
                parts=flight.parts,
                priority=flight.priority,
                resume_offset=flight.stream.next_offset,
                deadline_at=request.deadline_at,
            )
        )

    def record_part(
        self,
        part: actions.Part,
        key: endpoints.WorkKey,
        band: int,
        pool: pool_lib.ServicePool,
        now: float,
    ) -> actions.Part:
        """Count a part into its endpoint's view; return it with its mark."""
        view = pool.views[part.endpoint]
        work = view.add_work(key, band, part.prompt_tokens, part.kv_tokens, now)
        pool.classify(view)
        if self.policy(pool.service).shares_notes:
            self.core.out.append(
                actions.DispatchNote(
                    owner=self.core.owner,
                    endpoint=part.endpoint,
                    mark=work.mark,
                    band=band,
                    prompt_tokens=part.prompt_tokens,
                    kv_tokens=part.kv_tokens,
                )
            )
        return attrs.evolve(part, mark=work.mark)

    def engine_priority(self, flight: flights.Flight) -> int:
        """Return the priority that the engine is given."""
        policy = self.policy(flight.request.service)
        return flight.band if policy.uses_priorities else 0

    def age(self, flight: flights.Flight, now: float) -> None:
        """Lift a prompt that has waited long at its engine, with a floor."""
        lifted = flight.priority - 1
        if lifted < AGED_BAND_FLOOR or len(flight.parts) != 1:
            return
        if now - flight.dispatched_at < flight.predicted_s + AGE_AFTER_S:
            return
        flight.priority = lifted
        self.core.out.append(
            actions.Reprioritise(
                endpoint=flight.parts[0].endpoint,
                request_id=flight.request_id,
                attempt=flight.attempt,
                priority=lifted,
            )
        )

    # --- groups ----------------------------------------------------------

    def reserve(self, flight: flights.Flight, now: float) -> None:
        """Plan a group for a flight and ask for its reservation."""
        core = self.core
        request = flight.request
        core.flights.arm(flight, now + GROUP_RETRY_S)
        pool = core.pool(request.service)
        if not flight.group_engines:
            plan = grouping.plan(request, flight.band, pool, set(), now)
            if plan is None:
                self.refuse_unplaceable(flight, pool, now)
                return
            self.group_number += 1
            flight.group = f"{core.owner}/{self.group_number}"
            flight.group_engines = plan.engines
        core.out.append(self.reservation(flight))

    def refuse_unplaceable(
        self,
        flight: flights.Flight,
        pool: pool_lib.ServicePool,
        now: float,
    ) -> None:
        """Fail a flight at once when no group could ever hold it."""
        refusal = admission.check_capacity(flight.request, pool)
        if refusal is not None:
            self.core.attempts.fail(flight, refusal, now)

    def reservation(self, flight: flights.Flight) -> actions.ReserveGroup:
        """Return the request for, or the renewal of, a reservation."""
        return actions.ReserveGroup(
            group=flight.group,
            service=flight.request.service,
            request_id=flight.request_id,
            engines=flight.group_engines,
            lease_s=grouping.GROUP_LEASE_S,
        )

    def on_group(self, answer: messages.GroupAnswer, now: float) -> None:
        """Send a flight whose reservation holds, or plan anew."""
        flight = self.flight_of(answer.group)
        if flight is None:
            if answer.granted:
                self.core.out.append(actions.ReleaseGroup(group=answer.group))
            return
        if flight.state is not flights.FlightState.RESERVING:
            return
        if not answer.granted:
            # Keep the ticket: the same engines are asked for again, and
            # the line in front of them only gets shorter.
            self.core.flights.arm(flight, now + answer.retry_after_s)
            return
        self.send_group(flight, now)

    def flight_of(self, group: str) -> flights.Flight | None:
        """Return the flight that a group belongs to."""
        for flight in self.core.flights.flights.values():
            if flight.group == group:
                return flight
        return None

    def send_group(self, flight: flights.Flight, now: float) -> None:
        """Send the parts of a flight to the engines of its group."""
        pool = self.core.pool(flight.request.service)
        views = [pool.views.get(name) for name in flight.group_engines]
        if any(view is None or not view.accepts for view in views):
            self.release_group(flight)
            self.core.flights.arm(flight, now + GROUP_RETRY_S)
            return
        per_engine = max(flight.group_engines.values())
        plan = grouping.make_plan(
            flight.request, flight.band, views, per_engine
        )
        self.send(flight, plan.parts, plan.predicted_s, now)

    def release_group(self, flight: flights.Flight) -> None:
        """Give a flight's reservation back."""
        if flight.group:
            self.core.out.append(actions.ReleaseGroup(group=flight.group))
        flight.group = ""
        flight.group_engines = {}

    def renew_groups(self, now: float) -> None:
        """Renew the leases of all groups that are running."""
        if now - self.renewed_at < GROUP_RENEW_S:
            return
        self.renewed_at = now
        for flight in self.core.flights.flights.values():
            running = flight.state is flights.FlightState.RUNNING
            if flight.group and running:
                self.core.out.append(self.reservation(flight))


def kv_tokens(request: request_lib.Request) -> int:
    """Return the memory that a request takes on one engine."""
    if request.kind is servicekind.ServiceKind.PLAIN:
        return 0
    return request.cost_tokens


def check_invariants(core) -> None:
    """Raise if a waiting state has no timer or a table disagrees."""
    for flight in core.flights.flights.values():
        if flight.timer_at > flight.request.deadline_at:
            raise errors.BrokenInvariantError(
                f"{flight.request_id} has no timer before its deadline"
            )
        queued = (
            flight.request_id
            in core.dispatcher.queue(flight.request.service).bands
        )
        if queued != (flight.state is flights.FlightState.QUEUED):
            raise errors.BrokenInvariantError(
                f"{flight.request_id} is {flight.state.value} but queued"
                f" is {queued}"
            )
