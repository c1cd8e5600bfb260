"""Dispatches queued requests to endpoints.

A prompt that exceeds the memory of one engine is split over a group of
engines, whose memory is reserved before the request is sent.
"""

import attrs

from _coltsfootroad.control import messages
from _coltsfootroad.core import actions
from _coltsfootroad.core import admission
from _coltsfootroad.core import endpoints
from _coltsfootroad.core import errors
from _coltsfootroad.core import fairqueue
from _coltsfootroad.core import flights
from _coltsfootroad.core import grouping
from _coltsfootroad.core import interfaces
from _coltsfootroad.core import lengths
from _coltsfootroad.core import policies as policies_lib
from _coltsfootroad.core import pool as pool_lib
from _coltsfootroad.core import request as request_lib
from _coltsfootroad.core import servicekind

# Requests that may fail to be sent in one dispatch pass before it stops.
MAX_FAILED_TRIES = 16
# Choices made per send to avoid endpoints at which the request failed before.
MAX_CHOICES = 3
GROUP_RETRY_S = 0.2
GROUP_RENEW_S = 3.0
# Lowest band that ageing assigns: an aged prompt never competes with the
# short prompts of band 0.
MIN_RAISED_BAND = 1
RAISE_PRIORITY_AFTER_S = 20.0
DEFAULT_WEIGHT = 1.0


@attrs.define
class Dispatcher(interfaces.DispatcherInterface):
    """Moves admitted requests from their queues to endpoints."""

    core: interfaces.DispatchContext
    queues: dict[str, fairqueue.FairQueue] = attrs.Factory(dict)
    bands_by_service: dict[str, lengths.LengthBands] = attrs.Factory(dict)
    policies: dict[str, tuple] = attrs.Factory(dict)
    group_number: int = 0
    renewed_at: float = 0.0

    def queue(self, service: str) -> fairqueue.FairQueue:
        """Return the queue of a service, created on first use."""
        return self.queues.setdefault(service, fairqueue.FairQueue())

    def bands(self, service: str) -> lengths.LengthBands:
        """Return the length bands of a service, created on first use."""
        return self.bands_by_service.setdefault(service, lengths.LengthBands())

    def policy(self, service: str) -> policies_lib.Policy:
        """Return the policy of a service, rebuilt when its settings change."""
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
        """Return the predicted seconds until the answer is complete."""
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
        return first + self.min_service_s(request, pool)

    def min_service_s(
        self, request: request_lib.Request, pool: pool_lib.ServicePool
    ) -> float:
        """Return the seconds that an idle engine needs for the request."""
        if request.kind is servicekind.ServiceKind.PLAIN:
            return 0.0
        if grouping.needs_group(request, pool):
            return self.decode_s(request, pool)
        speed = self.typical_view(pool).speed
        cached = 1.0 if request.prefix_hashes else 0.0
        prefill_s = speed.prefill_s(request.prompt_tokens * (1 - cached))
        return prefill_s + self.decode_s(request, pool)

    def decode_s(
        self, request: request_lib.Request, pool: pool_lib.ServicePool
    ) -> float:
        """Return the seconds to decode an answer of average length."""
        share = self.core.output_share(request.service).share
        tokens = int(request.output_tokens * share)
        return self.typical_view(pool).speed.decode_s(tokens)

    def typical_view(
        self, pool: pool_lib.ServicePool
    ) -> endpoints.EndpointView:
        """Return the view of one serving endpoint, for its speed estimate."""
        names = pool.short_only.names or pool.mixed.names
        return pool.views[names[0]]

    # --- dispatch --------------------------------------------------------

    def dispatch_queued(self, service: str, now: float) -> None:
        """Dispatch from a service's queue until no request can be sent."""
        queue = self.queue(service)
        tries = 0

        def can_send(request: request_lib.Request) -> bool:
            nonlocal tries
            if tries >= MAX_FAILED_TRIES:
                return False
            was_sent = self.try_send(request, now)
            tries += not was_sent
            return was_sent

        while queue.size and queue.select(can_send) is not None:
            pass

    def try_send(self, request: request_lib.Request, now: float) -> bool:
        """Send a queued request if limits and endpoints permit.

        Returns whether the request has left the queue.
        """
        core = self.core
        flight = core.flights.get(request.request_id)
        if not flight.charged and not self.is_within_limits(request, now):
            return False
        pool = core.pool(request.service)
        if now >= request.deadline_at or not pool.serving_count():
            return False
        if grouping.needs_group(request, pool):
            self.dequeue(flight, now)
            flight.state = flights.FlightState.RESERVING
            self.reserve(flight, now)
            return True
        choice = self.choose(flight, pool, now)
        if choice is None:
            return False
        self.dequeue(flight, now)
        part = actions.Part(
            endpoint=choice.endpoint,
            prompt_tokens=choice.prompt_tokens,
            kv_tokens=kv_tokens(request),
        )
        self.send(flight, (part,), choice.predicted_s, now)
        return True

    def is_within_limits(
        self, request: request_lib.Request, now: float
    ) -> bool:
        """Return whether the workspace's leased share has room.

        A workspace that was idle at this entry holds no share. The next
        heartbeat requests one, and is sent early for that.
        """
        settings = self.core.config.workspaces.get(request.workspace)
        if settings is not None and not settings.is_limited:
            return True
        meter = self.core.limits.meter(request.workspace)
        if meter.can_start(now):
            return True
        if not meter.has_lease(now):
            self.core.syncing.request_heartbeat(now)
        return False

    def choose(
        self, flight: flights.Flight, pool: pool_lib.ServicePool, now: float
    ) -> policies_lib.Choice | None:
        """Return the policy's choice, avoiding endpoints that failed before."""
        policy = self.policy(flight.request.service)
        choice = None
        for _ in range(MAX_CHOICES):
            choice = policy.choose(flight.request, flight.band, pool, now)
            if (
                choice is None
                or choice.endpoint not in flight.avoided_endpoints
            ):
                return choice
        return choice

    def dequeue(self, flight: flights.Flight, now: float) -> None:
        """Remove a flight from its queue and charge its workspace."""
        request = flight.request
        workspace = self.core.config.workspaces.get(request.workspace)
        weight = workspace.weight if workspace else DEFAULT_WEIGHT
        weight *= fairqueue.priority_factor(request.priority)
        self.queue(request.service).on_dispatched(request, weight)
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
        core.flights.arm(flight, now + predicted_s + RAISE_PRIORITY_AFTER_S)
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
        """Add a part to its endpoint's view; return it with its mark."""
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
        """Return the priority that is sent to the engine."""
        policy = self.policy(flight.request.service)
        return flight.band if policy.uses_priorities else 0

    def raise_priority(self, flight: flights.Flight, now: float) -> None:
        """Raise the priority of a prompt that has waited long at its engine."""
        raised = flight.priority - 1
        if raised < MIN_RAISED_BAND or len(flight.parts) != 1:
            return
        if (
            now - flight.dispatched_at
            < flight.predicted_s + RAISE_PRIORITY_AFTER_S
        ):
            return
        flight.priority = raised
        self.core.out.append(
            actions.Reprioritise(
                endpoint=flight.parts[0].endpoint,
                request_id=flight.request_id,
                attempt=flight.attempt,
                priority=raised,
            )
        )

    # --- groups ----------------------------------------------------------

    def reserve(self, flight: flights.Flight, now: float) -> None:
        """Plan a group for a flight and request its reservation."""
        core = self.core
        request = flight.request
        core.flights.arm(flight, now + GROUP_RETRY_S)
        pool = core.pool(request.service)
        if not flight.group_engines:
            plan = grouping.plan(request, flight.band, pool, set(), now)
            if plan is None:
                self.fail_if_unplaceable(flight, pool, now)
                return
            self.group_number += 1
            flight.group = f"{core.owner}/{self.group_number}"
            flight.group_engines = plan.engines
        core.out.append(self.reservation(flight))

    def fail_if_unplaceable(
        self,
        flight: flights.Flight,
        pool: pool_lib.ServicePool,
        now: float,
    ) -> None:
        """Fail a flight if no group of engines can ever hold it."""
        refusal = admission.check_capacity(flight.request, pool)
        if refusal is not None:
            self.core.attempts.fail(flight, refusal, now)

    def reservation(self, flight: flights.Flight) -> actions.ReserveGroup:
        """Return the action that makes or renews a flight's reservation."""
        return actions.ReserveGroup(
            group=flight.group,
            service=flight.request.service,
            request_id=flight.request_id,
            engines=flight.group_engines,
            lease_s=grouping.GROUP_LEASE_S,
        )

    def on_group(self, answer: messages.GroupAnswer, now: float) -> None:
        """Send a flight whose reservation was granted, else retry later."""
        flight = self.flight_of_group(answer.group)
        if flight is None:
            if answer.granted:
                self.core.out.append(actions.ReleaseGroup(group=answer.group))
            return
        if flight.state is not flights.FlightState.RESERVING:
            return
        if not answer.granted:
            # Retry with the same engines: the reservations queued ahead of
            # this one at these engines only get fewer.
            self.core.flights.arm(flight, now + answer.retry_after_s)
            return
        self.send_group(flight, now)

    def flight_of_group(self, group: str) -> flights.Flight | None:
        """Return the flight for which a group is reserved."""
        for flight in self.core.flights.flights.values():
            if flight.group == group:
                return flight
        return None

    def send_group(self, flight: flights.Flight, now: float) -> None:
        """Send the parts of a flight to the engines of its group.

        Releases the group and plans again later if an engine of it no longer
        accepts work.
        """
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
        """Release a flight's reservation."""
        if flight.group:
            self.core.out.append(actions.ReleaseGroup(group=flight.group))
        flight.group = ""
        flight.group_engines = {}

    def renew_groups(self, now: float) -> None:
        """Renew the leases of all groups in use."""
        if now - self.renewed_at < GROUP_RENEW_S:
            return
        self.renewed_at = now
        for flight in self.core.flights.flights.values():
            is_running = flight.state is flights.FlightState.RUNNING
            if flight.group and is_running:
                self.core.out.append(self.reservation(flight))


def kv_tokens(request: request_lib.Request) -> int:
    """Return the KV cache tokens that a request takes on one engine."""
    if request.kind is servicekind.ServiceKind.PLAIN:
        return 0
    return request.cost_tokens


def check_invariants(core) -> None:
    """Raise BrokenInvariantError if timers or queues are inconsistent.

    Each flight has a timer before its deadline, and is in a queue exactly if
    its state is `QUEUED`.
    """
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
