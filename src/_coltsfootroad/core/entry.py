"""The entry's decision core: events and `now` in, actions out."""

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
from _coltsfootroad.core import hosts
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

# No first token this long past a generous multiple of the prediction, or
# no progress of a stream: the attempt is lost.
FIRST_TOKEN_FACTOR = 4.0
FIRST_TOKEN_GRACE_S = 10.0
# How often the queue is tried again, and each waiting request is checked.
PUMP_EVERY_S = 0.05
CHECK_WAITING_S = 0.5
# How long a request waits for a first endpoint of its service.
NO_ENDPOINT_PATIENCE_S = 5.0
# Patience with a silent stream from an endpoint whose lease has ended.
EXPIRED_PATIENCE_S = 3.0
AGE_STEP_S = 5.0

Fault = attempts_lib.Fault


@attrs.define
class EntryCore(
    hosts.AttemptHost,
    hosts.ClaimHost,
    hosts.DispatchHost,
    hosts.RosterHost,
    hosts.SyncHost,
):
    """Admits, queues, routes and finishes requests; does no I/O.

    Every method takes `now` in seconds of one steady clock and returns the
    actions that the shell has to carry out.
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
        """Return the name under which engines hold memory for us."""
        return f"{self.entry}/{self.incarnation}"

    @property
    def config(self) -> config_lib.Config:
        """Return the configuration in force."""
        return self.freshness.config

    def flush(self) -> list[actions.Action]:
        """Return the actions collected since the last call."""
        out, self.out = self.out, []
        return out

    def pool(self, service: str) -> pool_lib.ServicePool:
        """Return the pool of a service, made on first use."""
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
        """Admit a request or refuse it at once."""
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
        if request.claims_key:
            claiming.begin(self, flight, now)
        else:
            self.enqueue(flight, now)
        return self.flush()

    def admit(
        self, request: request_lib.Request, now: float
    ) -> errors.Failure | None:
        """Return why a request is refused, or None."""
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
        return self.check_time(request, pool, now)

    def check_time(
        self,
        request: request_lib.Request,
        pool: pool_lib.ServicePool,
        now: float,
    ) -> errors.Failure | None:
        """Return a refusal if the queue is full or the deadline too near."""
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
        """Put a flight into its queue and try to dispatch at once."""
        flight.state = flights_lib.FlightState.QUEUED
        self.dispatcher.queue(flight.request.service).push(
            flight.request, flight.band
        )
        self.flights.arm(flight, now + CHECK_WAITING_S)
        self.dispatcher.pump(flight.request.service, now)

    def on_caller_gone(
        self, request_id: str, now: float
    ) -> list[actions.Action]:
        """Stop a request whose caller has gone away.

        A non-idempotent call that was dispatched goes on: its outcome must
        reach the claim, so that a resend finds it.
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
        """Take the answer to a claim."""
        flight = self.flights.get(request_id)
        if flight is not None:
            claiming.on_answer(self, flight, answer, now)
        return self.flush()

    def on_group(
        self, answer: messages.GroupAnswer, now: float
    ) -> list[actions.Action]:
        """Take the answer to a reservation of several engines."""
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
        asked_at: float,
        now: float,
    ) -> list[actions.Action]:
        """Take the leader's answer to a heartbeat sent at `asked_at`."""
        self.syncing.apply_reply(request, reply, asked_at, now)
        return self.flush()

    # --- endpoints -------------------------------------------------------

    def on_announcement(
        self, announcement: registry.Announcement, now: float
    ) -> list[actions.Action]:
        """Take an announcement that an endpoint sent to this entry."""
        self.syncing.announced[announcement.endpoint] = announcement
        self.roster.take_announcement(announcement, now)
        return self.flush()

    def on_load(
        self, report: endpoints.LoadReport, now: float
    ) -> list[actions.Action]:
        """Take a load report that an endpoint sent to this entry."""
        self.syncing.reported[report.endpoint] = report
        self.roster.take_load(report, now)
        return self.flush()

    def on_cache_event(
        self, event: prefixes.CacheEvent, now: float
    ) -> list[actions.Action]:
        """Take a cache event."""
        service = self.endpoint_service.get(event.endpoint)
        if service is not None:
            self.pools[service].prefixes.apply(event, now)
        return self.flush()

    def on_note(
        self, note: actions.DispatchNote, now: float
    ) -> list[actions.Action]:
        """Count another entry's dispatch before a report shows it."""
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
        """Take a piece of an answer, whatever attempt it belongs to."""
        flight = self.attempts.running(request_id, attempt)
        if flight is None or flight.parts[0].endpoint != endpoint:
            self.counters.late_chunks += 1
            return self.flush()
        self.attempts.note_progress(flight, now)
        for ready in flight.stream.add(attempt, chunk):
            self.attempts.emit(flight, ready)
        if flight.stream.complete:
            self.attempts.finish(flight, None, now)
        elif flight.stream.overflow:
            self.attempts.attempt_failed(flight, endpoint, Fault.LOST, now)
        return self.flush()

    def on_answer(
        self,
        endpoint: str,
        request_id: str,
        attempt: int,
        answer: request_lib.Answer,
        now: float,
    ) -> list[actions.Action]:
        """Take the whole answer of a plain service."""
        flight = self.attempts.running(request_id, attempt)
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
        """Take the failure of one attempt."""
        flight = self.attempts.running(request_id, attempt)
        if flight is not None:
            self.attempts.attempt_failed(flight, endpoint, fault, now)
        elif fault is not Fault.LOST:
            self.attempts.work_freed(endpoint, (request_id, attempt), now)
        return self.flush()

    def on_cancel_confirmed(
        self, endpoint: str, request_id: str, attempt: int, now: float
    ) -> list[actions.Action]:
        """Take the engine's word that it holds nothing of an attempt."""
        self.attempts.work_freed(endpoint, (request_id, attempt), now)
        return self.flush()

    def output_share(self, service: str) -> admission.OutputShare:
        """Return what is learned of a service's output lengths."""
        return self.output_shares.setdefault(service, admission.OutputShare())

    # --- time ------------------------------------------------------------

    def tick(self, now: float) -> list[actions.Action]:
        """Run every timer that is due."""
        self.out += self.releaser.due(self.view, now)
        if not self.freshness.is_current(now):
            self.fail_waiting(now)
        for flight in self.flights.due(now):
            # An earlier one of them may have ended it on the way.
            if flight.state is not flights_lib.FlightState.DONE:
                self.on_timer(flight, now)
        self.dispatcher.renew_groups(now)
        self.pump_all(now)
        return self.flush()

    def fail_waiting(self, now: float) -> None:
        """Refuse what has not been sent, once the entry has fenced itself."""
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
        """Act on a flight whose timer has run out."""
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
        """Give up at once on a waiting request that cannot make it."""
        pool = self.pool(flight.request.service)
        if not flight.may_have_run and pool.serving_count():
            predicted_s = self.dispatcher.minimum_s(flight.request, pool)
            refusal = admission.check_deadline(flight.request, predicted_s, now)
            if refusal is not None:
                self.attempts.fail(flight, refusal, now)
                return
        if not pool.serving_count():
            empty_s = now - max(pool.emptied_at, flight.request.arrived_at)
            if empty_s >= NO_ENDPOINT_PATIENCE_S:
                self.attempts.fail(
                    flight, attempts_lib.no_endpoint(flight), now
                )
                return
        if flight.state is flights_lib.FlightState.RESERVING:
            self.dispatcher.reserve(flight, now)
            return
        self.flights.arm(flight, now + CHECK_WAITING_S)

    def check_progress(self, flight: flights_lib.Flight, now: float) -> None:
        """Time out an attempt that shows no progress; age one that waits."""
        if flight.first_token_at is None or flight.progress_at <= (
            flight.dispatched_at
        ):
            patience = FIRST_TOKEN_FACTOR * flight.predicted_s
            give_up_at = flight.dispatched_at + patience + FIRST_TOKEN_GRACE_S
            self.dispatcher.age(flight, now)
        else:
            give_up_at = flight.progress_at + attempts_lib.STREAM_IDLE_S
        view = self.view(flight.parts[0].endpoint)
        if view is None or view.expired:
            give_up_at = min(
                give_up_at, flight.progress_at + EXPIRED_PATIENCE_S
            )
        if now >= give_up_at:
            endpoint = flight.parts[0].endpoint
            self.attempts.attempt_failed(flight, endpoint, Fault.LOST, now)
            return
        self.flights.arm(flight, min(give_up_at, now + AGE_STEP_S))

    def pump_all(self, now: float) -> None:
        """Dispatch whatever can go now, for every service."""
        for service in list(self.dispatcher.queues):
            self.dispatcher.pump(service, now)

    def next_wake(self, now: float) -> float:
        """Return when `tick` is wanted next, at the latest in a second."""
        times = [now + 1.0, self.releaser.next_timer()]
        times.append(self.flights.next_timer())
        if any(queue.size for queue in self.dispatcher.queues.values()):
            times.append(now + PUMP_EVERY_S)
        return min(t for t in times if t is not None)

    # --- shutdown --------------------------------------------------------

    def begin_drain(self, now: float) -> list[actions.Action]:
        """Leave: accept until given addresses expire, finish the rest."""
        if not self.draining:
            self.draining = True
            validity = self.config.fleet.address_validity_s
            self.accept_until = now + validity
        return self.flush()

    def is_drained(self, now: float) -> bool:
        """Return whether nothing is left to do before stopping."""
        if not self.draining or now < self.accept_until:
            return False
        return not self.flights.flights and not self.releaser.pending

    def addresses_for(
        self, caller: str, zone: str, now: float
    ) -> addresses.AddressAnswer:
        """Return the entries that a caller should use."""
        members = self.freshness.members
        if not self.freshness.is_current(now):
            members = tuple(m for m in members if m.entry != self.entry)
        validity = self.config.fleet.address_validity_s
        return addresses.answer(members, caller, zone, validity)
