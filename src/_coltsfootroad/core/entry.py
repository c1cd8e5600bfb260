"""Decision core of an entry: takes events and the time, returns actions."""

from collections.abc import Callable
import random

import attrs

from _coltsfootroad.control import messages
from _coltsfootroad.core import actions
from _coltsfootroad.core import addresses
from _coltsfootroad.core import admission
from _coltsfootroad.core import attempts as attempts_lib
from _coltsfootroad.core import claiming
from _coltsfootroad.core import config as config_lib
from _coltsfootroad.core import counters as counters_lib
from _coltsfootroad.core import dispatcher as dispatcher_lib
from _coltsfootroad.core import endpoints
from _coltsfootroad.core import errors
from _coltsfootroad.core import flights as flights_lib
from _coltsfootroad.core import freshness as freshness_lib
from _coltsfootroad.core import interfaces
from _coltsfootroad.core import limits as limits_lib
from _coltsfootroad.core import policies
from _coltsfootroad.core import pool as pool_lib
from _coltsfootroad.core import prefixes
from _coltsfootroad.core import registry
from _coltsfootroad.core import releases
from _coltsfootroad.core import request as request_lib
from _coltsfootroad.core import retries
from _coltsfootroad.core import roster as roster_lib
from _coltsfootroad.core import syncing as syncing_lib

# An attempt times out if its first token takes longer than this multiple of
# the prediction plus the grace period.
FIRST_TOKEN_FACTOR = 4.0
FIRST_TOKEN_GRACE_S = 10.0
# Intervals at which queues are dispatched and each waiting request is checked.
DISPATCH_INTERVAL_S = 0.05
WAITING_CHECK_INTERVAL_S = 0.5
# Time for which a request waits while its service has no endpoint.
NO_ENDPOINT_TIMEOUT_S = 5.0
# Timeout of a silent stream from an endpoint whose lease has expired.
EXPIRED_LEASE_TIMEOUT_S = 3.0
PROGRESS_CHECK_INTERVAL_S = 5.0

Fault = attempts_lib.Fault


@attrs.define
class EntryCore(
    interfaces.AttemptContext,
    interfaces.ClaimContext,
    interfaces.DispatchContext,
    interfaces.RosterContext,
    interfaces.SyncContext,
):
    """Admits, queues, routes and finishes requests; does no I/O.

    Every method takes `now` in seconds of one monotonic clock and returns the
    actions that the shell has to perform.
    """

    entry: str
    incarnation: int
    rng: random.Random
    make_policy: Callable[[config_lib.Service], policies.Policy] = (
        policies.for_service
    )
    freshness: freshness_lib.Freshness = attrs.Factory(freshness_lib.Freshness)
    flights: flights_lib.FlightTable = attrs.Factory(flights_lib.FlightTable)
    limits: limits_lib.LimitTable = attrs.Factory(limits_lib.LimitTable)
    budget: retries.RetryBudget = attrs.Factory(retries.RetryBudget)
    counters: counters_lib.Counters = attrs.Factory(counters_lib.Counters)
    pools: dict[str, pool_lib.ServicePool] = attrs.Factory(dict)
    endpoint_service: dict[str, str] = attrs.Factory(dict)
    draining: bool = False
    accept_until: float = float("inf")
    out: list[actions.Action] = attrs.Factory(list)
    releaser: releases.Releaser = attrs.field(init=False)
    dispatcher: dispatcher_lib.Dispatcher = attrs.field(init=False)
    attempts: attempts_lib.Attempts = attrs.field(init=False)
    roster: roster_lib.Roster = attrs.field(init=False)
    syncing: syncing_lib.EntrySync = attrs.field(init=False)
    output_shares: dict[str, admission.OutputShare] = attrs.Factory(dict)

    def __attrs_post_init__(self):
        self.releaser = releases.Releaser(self.owner)
        self.dispatcher = dispatcher_lib.Dispatcher(self)
        self.attempts = attempts_lib.Attempts(self)
        self.roster = roster_lib.Roster(self)
        self.syncing = syncing_lib.EntrySync(self)

    @property
    def owner(self) -> str:
        """Return the name under which engines hold memory for this entry."""
        return f"{self.entry}/{self.incarnation}"

    @property
    def config(self) -> config_lib.Config:
        """Return the current configuration."""
        return self.freshness.config

    def flush(self) -> list[actions.Action]:
        """Return the actions collected since the last call."""
        out, self.out = self.out, []
        return out

    def pool(self, service: str) -> pool_lib.ServicePool:
        """Return the pool of a service, created on first use."""
        if service not in self.pools:
            self.pools[service] = pool_lib.ServicePool(
                service=service, entry=self.owner, rng=self.rng
            )
        return self.pools[service]

    def view(self, endpoint: str) -> endpoints.EndpointView | None:
        """Return the view of a known endpoint."""
        service = self.endpoint_service.get(endpoint)
        if service is None:
            return None
        return self.pools[service].views.get(endpoint)

    # --- callers ---------------------------------------------------------

    def submit(
        self, request: request_lib.Request, now: float
    ) -> list[actions.Action]:
        """Admit a request or refuse it."""
        refusal = self.admit(request, now)
        if refusal is not None:
            self.counters.refused += 1
            self.out.append(
                actions.Fail(request_id=request.request_id, failure=refusal)
            )
            return self.flush()
        self.counters.admitted += 1
        self.budget.on_request()
        band = self.dispatcher.bands(request.service).band(
            request.prompt_tokens
        )
        flight = flights_lib.Flight(request, band, timer_at=now)
        self.flights.add(flight)
        self.limits.meter(request.workspace).waiting += 1
        if request.needs_claim:
            claiming.begin(self, flight, now)
        else:
            self.enqueue(flight, now)
        return self.flush()

    def admit(
        self, request: request_lib.Request, now: float
    ) -> errors.Failure | None:
        """Return the refusal of a request, or None if it is admitted."""
        if self.draining and now >= self.accept_until:
            return admission.refuse(
                errors.ErrorCode.ENTRY_DRAINING,
                "this entry is shutting down; ask another for addresses",
                admission.ENTRY_RETRY_S,
            )
        if not self.freshness.is_current(now):
            return admission.refuse(
                errors.ErrorCode.ENTRY_FENCED,
                "this entry cannot prove that its configuration is current",
                admission.ENTRY_RETRY_S,
            )
        refusal = admission.check_rights(request, self.config)
        if refusal is not None:
            return refusal
        pool = self.pool(request.service)
        refusal = admission.check_capacity(request, pool)
        if refusal is not None:
            return refusal
        return self.check_queue_and_deadline(request, pool, now)

    def check_queue_and_deadline(
        self,
        request: request_lib.Request,
        pool: pool_lib.ServicePool,
        now: float,
    ) -> errors.Failure | None:
        """Return a refusal by queue length, rate or deadline, or None."""
        bands = self.dispatcher.bands(request.service)
        bands.observe(request.prompt_tokens)
        band = bands.band(request.prompt_tokens)
        queue = self.dispatcher.queue(request.service)
        wait_s = admission.queue_wait_s(queue, band, pool)
        service = self.config.services[request.service]
        refusal = admission.check_queue(request, queue, service, wait_s)
        if refusal is not None:
            return refusal
        refusal = admission.check_rate(
            request, self.limits.meter(request.workspace), now
        )
        if refusal is not None:
            return refusal
        predicted_s = wait_s + self.dispatcher.predict_s(
            request, band, pool, now
        )
        return admission.check_deadline(request, predicted_s, now)

    def enqueue(self, flight: flights_lib.Flight, now: float) -> None:
        """Add a flight to its queue and try to dispatch it at once."""
        flight.state = flights_lib.FlightState.QUEUED
        self.dispatcher.queue(flight.request.service).push(
            flight.request, flight.band
        )
        self.flights.arm(flight, now + WAITING_CHECK_INTERVAL_S)
        self.dispatcher.dispatch_queued(flight.request.service, now)

    def on_caller_gone(
        self, request_id: str, now: float
    ) -> list[actions.Action]:
        """Stop a request whose caller has disconnected.

        A non-idempotent request that was dispatched continues: its outcome has
        to be stored with its claim, where a resend finds it.
        """
        flight = self.flights.get(request_id)
        if flight is None:
            return self.flush()
        if flight.request.non_idempotent and flight.may_have_run:
            return self.flush()
        self.attempts.fail(flight, attempts_lib.caller_gone(), now)
        return self.flush()

    # --- control ---------------------------------------------------------

    def on_claim(
        self, request_id: str, answer: messages.ClaimAnswer, now: float
    ) -> list[actions.Action]:
        """Handle the answer to a claim."""
        flight = self.flights.get(request_id)
        if flight is not None:
            claiming.on_answer(self, flight, answer, now)
        return self.flush()

    def on_group(
        self, answer: messages.GroupAnswer, now: float
    ) -> list[actions.Action]:
        """Handle the answer to the reservation of a group of engines."""
        self.dispatcher.on_group(answer, now)
        return self.flush()

    def sync_request(
        self, member: addresses.Member, now: float
    ) -> messages.SyncRequest:
        """Return the next heartbeat."""
        return self.syncing.request(member, now)

    def on_sync(
        self,
        request: messages.SyncRequest,
        reply: messages.SyncReply,
        requested_at: float,
        now: float,
    ) -> list[actions.Action]:
        """Handle the leader's reply to a heartbeat sent at `requested_at`."""
        self.syncing.apply_reply(request, reply, requested_at, now)
        return self.flush()

    # --- endpoints -------------------------------------------------------

    def on_announcement(
        self, announcement: registry.Announcement, now: float
    ) -> list[actions.Action]:
        """Handle an announcement that an endpoint sent to this entry."""
        self.syncing.announced[announcement.endpoint] = announcement
        self.roster.apply_announcement(announcement, now)
        return self.flush()

    def on_load(
        self, report: endpoints.LoadReport, now: float
    ) -> list[actions.Action]:
        """Handle a load report that an endpoint sent to this entry."""
        self.syncing.reported[report.endpoint] = report
        self.roster.apply_load_report(report, now)
        return self.flush()

    def on_cache_event(
        self, event: prefixes.CacheEvent, now: float
    ) -> list[actions.Action]:
        """Handle a prefix cache event of an engine."""
        service = self.endpoint_service.get(event.endpoint)
        if service is not None:
            self.pools[service].prefixes.apply(event, now)
        return self.flush()

    def on_note(
        self, note: actions.DispatchNote, now: float
    ) -> list[actions.Action]:
        """Count another entry's dispatch before a load report includes it."""
        view = self.view(note.endpoint)
        if view is not None and note.owner != self.owner:
            work = endpoints.ForeignWork(
                note.mark,
                note.band,
                note.prompt_tokens,
                note.kv_tokens,
                now,
            )
            view.add_foreign(note.owner, work, now)
            self.pools[self.endpoint_service[note.endpoint]].classify(view)
        return self.flush()

    # --- attempts --------------------------------------------------------

    def on_chunk(
        self,
        endpoint: str,
        request_id: str,
        attempt: int,
        chunk: request_lib.Chunk,
        now: float,
    ) -> list[actions.Action]:
        """Handle a chunk of an answer, of any attempt."""
        flight = self.attempts.running_flight(request_id, attempt)
        if flight is None or flight.parts[0].endpoint != endpoint:
            self.counters.late_chunks += 1
            return self.flush()
        self.attempts.record_progress(flight, now)
        for ready in flight.stream.add(attempt, chunk):
            self.attempts.emit(flight, ready)
        if flight.stream.complete:
            self.attempts.finish(flight, None, now)
        elif flight.stream.overflow:
            self.attempts.handle_failed_attempt(
                flight, endpoint, Fault.LOST, now
            )
        return self.flush()

    def on_answer(
        self,
        endpoint: str,
        request_id: str,
        attempt: int,
        answer: request_lib.Answer,
        now: float,
    ) -> list[actions.Action]:
        """Handle the complete answer of a plain service."""
        flight = self.attempts.running_flight(request_id, attempt)
        if flight is None:
            self.counters.late_chunks += 1
            return self.flush()
        pool = self.pool(flight.request.service)
        pool.outliers.on_success(endpoint, 1.0, 1.0, now)
        self.attempts.finish(flight, answer, now)
        return self.flush()

    def on_attempt_failed(
        self,
        endpoint: str,
        request_id: str,
        attempt: int,
        fault: Fault,
        now: float,
    ) -> list[actions.Action]:
        """Handle the failure of one attempt."""
        flight = self.attempts.running_flight(request_id, attempt)
        if flight is not None:
            self.attempts.handle_failed_attempt(flight, endpoint, fault, now)
        elif fault is not Fault.LOST:
            self.attempts.release_work(endpoint, (request_id, attempt), now)
        return self.flush()

    def on_cancel_confirmed(
        self, endpoint: str, request_id: str, attempt: int, now: float
    ) -> list[actions.Action]:
        """Handle the confirmation that an engine freed an attempt's memory."""
        self.attempts.release_work(endpoint, (request_id, attempt), now)
        return self.flush()

    def output_share(self, service: str) -> admission.OutputShare:
        """Return the learned output share of a service."""
        return self.output_shares.setdefault(service, admission.OutputShare())

    # --- time ------------------------------------------------------------

    def tick(self, now: float) -> list[actions.Action]:
        """Run every timer that is due."""
        self.out += self.releaser.due(self.view, now)
        if not self.freshness.is_current(now):
            self.fail_undispatched(now)
        for flight in self.flights.due(now):
            # Handling an earlier flight may have ended this one.
            if flight.state is not flights_lib.FlightState.DONE:
                self.on_timer(flight, now)
        self.dispatcher.renew_groups(now)
        self.dispatch_all_queued(now)
        return self.flush()

    def fail_undispatched(self, now: float) -> None:
        """Fail requests that were not sent, once the entry is fenced."""
        waiting = (
            flights_lib.FlightState.QUEUED,
            flights_lib.FlightState.CLAIMING,
            flights_lib.FlightState.RESERVING,
        )
        for flight in list(self.flights.flights.values()):
            if flight.state in waiting:
                self.attempts.fail(
                    flight,
                    admission.refuse(
                        errors.ErrorCode.ENTRY_FENCED,
                        "this entry lost the control state while the request"
                        " waited",
                        admission.ENTRY_RETRY_S,
                    ),
                    now,
                )

    def on_timer(self, flight: flights_lib.Flight, now: float) -> None:
        """Handle the timer of a flight by its state."""
        if now >= flight.request.deadline_at:
            self.attempts.fail(
                flight, attempts_lib.deadline_exceeded(flight), now
            )
            return
        match flight.state:
            case flights_lib.FlightState.CLAIMING:
                claiming.retry(self, flight, now)
            case flights_lib.FlightState.BACKOFF:
                self.enqueue(flight, now)
            case flights_lib.FlightState.RUNNING:
                self.check_progress(flight, now)
            case _:
                self.check_waiting(flight, now)

    def check_waiting(self, flight: flights_lib.Flight, now: float) -> None:
        """Fail a waiting request that can no longer meet its deadline."""
        pool = self.pool(flight.request.service)
        if not flight.may_have_run and pool.serving_count():
            predicted_s = self.dispatcher.min_service_s(flight.request, pool)
            refusal = admission.check_deadline(flight.request, predicted_s, now)
            if refusal is not None:
                self.attempts.fail(flight, refusal, now)
                return
        if not pool.serving_count():
            empty_for_s = now - max(pool.emptied_at, flight.request.arrived_at)
            if empty_for_s >= NO_ENDPOINT_TIMEOUT_S:
                self.attempts.fail(
                    flight, attempts_lib.no_endpoint(flight), now
                )
                return
        if flight.state is flights_lib.FlightState.RESERVING:
            self.dispatcher.reserve(flight, now)
            return
        self.flights.arm(flight, now + WAITING_CHECK_INTERVAL_S)

    def check_progress(self, flight: flights_lib.Flight, now: float) -> None:
        """Time out an attempt without progress, or raise its priority."""
        if flight.first_token_at is None or flight.progress_at <= (
            flight.dispatched_at
        ):
            timeout_s = FIRST_TOKEN_FACTOR * flight.predicted_s
            timeout_at = flight.dispatched_at + timeout_s + FIRST_TOKEN_GRACE_S
            self.dispatcher.raise_priority(flight, now)
        else:
            timeout_at = flight.progress_at + attempts_lib.STREAM_IDLE_S
        view = self.view(flight.parts[0].endpoint)
        if view is None or view.expired:
            timeout_at = min(
                timeout_at, flight.progress_at + EXPIRED_LEASE_TIMEOUT_S
            )
        if now >= timeout_at:
            endpoint = flight.parts[0].endpoint
            self.attempts.handle_failed_attempt(
                flight, endpoint, Fault.LOST, now
            )
            return
        self.flights.arm(
            flight, min(timeout_at, now + PROGRESS_CHECK_INTERVAL_S)
        )

    def dispatch_all_queued(self, now: float) -> None:
        """Dispatch queued requests of every service."""
        for service in list(self.dispatcher.queues):
            self.dispatcher.dispatch_queued(service, now)

    def next_wake(self, now: float) -> float:
        """Return when `tick` has to run next, at most one second from now."""
        times = [now + 1.0, self.releaser.next_timer()]
        times.append(self.flights.next_timer())
        if any(queue.size for queue in self.dispatcher.queues.values()):
            times.append(now + DISPATCH_INTERVAL_S)
        return min(t for t in times if t is not None)

    # --- shutdown --------------------------------------------------------

    def begin_drain(self, now: float) -> list[actions.Action]:
        """Start draining: accept until handed-out addresses have expired."""
        if not self.draining:
            self.draining = True
            validity = self.config.fleet.address_validity_s
            self.accept_until = now + validity
        return self.flush()

    def is_drained(self, now: float) -> bool:
        """Return whether the entry can stop: no flight or release is left."""
        if not self.draining or now < self.accept_until:
            return False
        return not self.flights.flights and not self.releaser.pending

    def addresses_for(
        self, caller: str, zone: str, now: float
    ) -> addresses.AddressAnswer:
        """Return the addresses of the entries that a caller should use."""
        members = self.freshness.members
        if not self.freshness.is_current(now):
            members = tuple(m for m in members if m.entry != self.entry)
        validity = self.config.fleet.address_validity_s
        return addresses.answer(members, caller, zone, validity)
