"""The entry's decision core: events and `now` in, actions out."""

import enum
import random

import attrs

from _coltsfootroad.control import configstore
from _coltsfootroad.control import messages
from _coltsfootroad.core import actions
from _coltsfootroad.core import addresses
from _coltsfootroad.core import admission
from _coltsfootroad.core import claiming
from _coltsfootroad.core import config as config_lib
from _coltsfootroad.core import dispatcher as dispatcher_lib
from _coltsfootroad.core import endpoints
from _coltsfootroad.core import errors
from _coltsfootroad.core import flights as flights_lib
from _coltsfootroad.core import freshness as freshness_lib
from _coltsfootroad.core import limits as limits_lib
from _coltsfootroad.core import policies
from _coltsfootroad.core import pool as pool_lib
from _coltsfootroad.core import prefixes
from _coltsfootroad.core import registry
from _coltsfootroad.core import releases
from _coltsfootroad.core import request as request_lib
from _coltsfootroad.core import retries

# No first token this long past a generous multiple of the prediction, or
# no progress of a stream: the attempt is lost.
FIRST_TOKEN_FACTOR = 4.0
FIRST_TOKEN_GRACE_S = 10.0
STREAM_IDLE_S = 20.0
# How often the queue is tried again, and each waiting request is checked.
PUMP_EVERY_S = 0.05
LOAD_DIGITS = 4
CHECK_WAITING_S = 0.5
# How long a request waits for a first endpoint of its service.
NO_ENDPOINT_PATIENCE_S = 5.0
# Patience with a silent stream from an endpoint whose lease has ended.
EXPIRED_PATIENCE_S = 3.0
AGE_STEP_S = 5.0


class Fault(enum.Enum):
    """How an attempt failed, by what it proves.

    NOT_SENT: no byte left this process. NOT_RUN: the endpoint says so.
    LOST: anything else; the work may have happened.
    """

    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    LOST = "lost"


@attrs.define
class Counters:
    """Counts for metrics; they only grow."""

    admitted: int = 0
    refused: int = 0
    finished: int = 0
    failed: int = 0
    retries: int = 0
    resumed: int = 0
    late_chunks: int = 0
    cancels: int = 0


@attrs.define
class EntryCore:
    """Admits, queues, routes and finishes requests; does no I/O.

    Every method takes `now` in seconds of one steady clock and returns the
    actions that the shell has to carry out.
    """

    entry: str
    incarnation: int
    rng: random.Random
    make_policy: object = policies.for_service
    freshness: freshness_lib.Freshness = attrs.Factory(freshness_lib.Freshness)
    flights: flights_lib.FlightTable = attrs.Factory(flights_lib.FlightTable)
    limits: limits_lib.LimitTable = attrs.Factory(limits_lib.LimitTable)
    budget: retries.RetryBudget = attrs.Factory(retries.RetryBudget)
    counters: Counters = attrs.Factory(Counters)
    pools: dict[str, pool_lib.ServicePool] = attrs.Factory(dict)
    endpoint_service: dict[str, str] = attrs.Factory(dict)
    wants_sync: bool = False
    registry_epoch: str = ""
    registry_mark: int = 0
    announced: dict[str, registry.Announcement] = attrs.Factory(dict)
    reported: dict[str, endpoints.LoadReport] = attrs.Factory(dict)
    draining: bool = False
    accept_until: float = float("inf")
    out: list[actions.Action] = attrs.Factory(list)
    releaser: releases.Releaser = attrs.field(init=False)
    dispatcher: dispatcher_lib.Dispatcher = attrs.field(init=False)
    output_shares: dict[str, admission.OutputShare] = attrs.Factory(dict)

    def __attrs_post_init__(self):
        self.releaser = releases.Releaser(self.owner)
        self.dispatcher = dispatcher_lib.Dispatcher(self)

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
        self.fail(flight, caller_gone(), now)
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
        holdings = tuple(
            messages.Holding(
                workspace=name,
                grant=meter.share.grant,
                tokens_per_s=meter.share.tokens_per_s,
                concurrency=meter.share.concurrency,
                in_flight=meter.in_flight,
                remaining_s=meter.lease_until - now,
            )
            for name, meter in self.limits.meters.items()
            if meter.is_active(now)
        )
        self.wants_sync = False
        return messages.SyncRequest(
            member=attrs.evolve(
                member,
                leaving=self.draining,
                load=len(self.flights.flights),
                config_version=self.freshness.version,
                short_loads={
                    name: round(pool.own_short_load(now), LOAD_DIGITS)
                    for name, pool in self.pools.items()
                },
            ),
            config_version=self.freshness.version,
            epoch=self.registry_epoch,
            registry_mark=self.registry_mark,
            announcements=tuple(self.announced.values()),
            loads=tuple(
                messages.AgedLoad(report=r, age_s=now - r.measured_at)
                for r in self.reported.values()
            ),
            demands=self.limits.demands(now),
            holdings=holdings,
        )

    def on_sync(
        self,
        request: messages.SyncRequest,
        reply: messages.SyncReply,
        asked_at: float,
        now: float,
    ) -> list[actions.Action]:
        """Take the leader's answer to a heartbeat sent at `asked_at`."""
        self.forget_delivered(request)
        if not self.adopt_config(reply.config):
            return self.flush()
        self.freshness.confirm(asked_at)
        self.freshness.learn_members(
            reply.members,
            reply.lost_members,
            anew=reply.epoch != self.registry_epoch,
        )
        self.limits.apply(reply.shares, asked_at, now)
        if reply.epoch != self.registry_epoch:
            self.announce_all()
        self.registry_epoch = reply.epoch
        self.registry_mark = reply.registry_mark
        for name in reply.gone:
            self.expire_endpoint(name, now)
        for announcement in reply.announcements:
            self.take_announcement(announcement, now)
        self.drop_expired(now)
        for aged in reply.loads:
            self.take_load(
                attrs.evolve(aged.report, measured_at=now - aged.age_s), now
            )
        self.apply_group_holds(reply.group_holds)
        self.pump_all(now)
        return self.flush()

    def adopt_config(self, update: messages.ConfigUpdate | None) -> bool:
        """Put a newer configuration in force; return whether all is well."""
        if update is None:
            return True
        known = self.freshness
        if update.version <= known.version:
            # A reply that was delayed past a later one.
            return update.version == known.version
        fresh = configstore.apply_update(known.version, known.document, update)
        if fresh is None:
            known.version = -1
            return False
        parsed = config_lib.parse(fresh[1])
        if parsed.is_error():
            return False
        return known.adopt(fresh[0], fresh[1], parsed.ok)

    def apply_group_holds(self, holds: dict[str, int]) -> None:
        """Note the memory that other entries' groups reserve."""
        own = {
            name
            for flight in self.flights.flights.values()
            for name in flight.group_engines
        }
        others = [m for m in self.freshness.members if m.entry != self.entry]
        for service, pool in self.pools.items():
            pool.entry_count = len(others) + 1
            pool.others_short_load = sum(
                m.short_loads.get(service, 0.0) for m in others
            )
            for name, view in pool.views.items():
                held = holds.get(name, 0)
                view.kv_group_held = 0 if name in own else held

    def forget_delivered(self, request: messages.SyncRequest) -> None:
        """Stop forwarding what a heartbeat has delivered."""
        for announcement in request.announcements:
            name = announcement.endpoint
            if self.announced.get(name) == announcement:
                del self.announced[name]
        for aged in request.loads:
            name = aged.report.endpoint
            if self.reported.get(name) is aged.report:
                del self.reported[name]

    def announce_all(self) -> None:
        """Tell a new leader of every endpoint; its registry starts empty."""
        for pool in self.pools.values():
            for name, view in pool.views.items():
                if not view.expired:
                    self.announced.setdefault(name, view.announcement)

    # --- endpoints -------------------------------------------------------

    def on_announcement(
        self, announcement: registry.Announcement, now: float
    ) -> list[actions.Action]:
        """Take an announcement that an endpoint sent to this entry."""
        self.announced[announcement.endpoint] = announcement
        self.take_announcement(announcement, now)
        return self.flush()

    def take_announcement(
        self, announcement: registry.Announcement, now: float
    ) -> None:
        """Update the view of an endpoint unless a newer one is known."""
        name = announcement.endpoint
        view = self.view(name)
        if view is not None:
            same = announcement == view.announcement
            newer = registry.is_newer(announcement, view.announcement)
            if not newer and not (same and view.expired):
                return
            view.expired = False
            old = view.announcement
            restarted = announcement.incarnation > old.incarnation
            if restarted or announcement.state is registry.EndpointState.GONE:
                self.lose_endpoint(view, now)
            elif old.state is registry.EndpointState.LEAVING:
                announcement = attrs.evolve(announcement, state=old.state)
        if announcement.state is registry.EndpointState.GONE:
            self.drop_endpoint(name, now)
            return
        self.endpoint_service[name] = announcement.service
        self.pool(announcement.service).update(announcement, now)
        self.dispatcher.pump(announcement.service, now)

    def drop_endpoint(self, name: str, now: float) -> None:
        """Forget an endpoint that is gone, and move its work elsewhere."""
        view = self.view(name)
        if view is None:
            return
        self.lose_endpoint(view, now)
        service = self.endpoint_service.pop(name)
        self.pools[service].remove(name)

    def expire_endpoint(self, name: str, now: float) -> None:
        """Give an endpoint whose lease has ended no new work.

        Streams that still make progress go on: the announcements may be
        all that is lost. The others are looked at once more at once.
        """
        view = self.view(name)
        if view is None:
            return
        view.expired = True
        self.pools[self.endpoint_service[name]].classify(view)
        for request_id, attempt in view.work:
            flight = self.running(request_id, attempt)
            if flight is not None:
                self.flights.arm(flight, now)

    def drop_expired(self, now: float) -> None:
        """Forget expired endpoints without work; reports find leftovers."""
        for name in list(self.endpoint_service):
            view = self.view(name)
            if view.expired and not view.has_active_work():
                self.drop_endpoint(name, now)

    def lose_endpoint(self, view: endpoints.EndpointView, now: float) -> None:
        """Fail every attempt at an endpoint that died or restarted."""
        self.releaser.forget_endpoint(view.name)
        lost = list(view.work)
        view.work.clear()
        for request_id, attempt in lost:
            flight = self.running(request_id, attempt)
            if flight is not None:
                self.attempt_failed(flight, view.name, Fault.LOST, now)

    def on_load(
        self, report: endpoints.LoadReport, now: float
    ) -> list[actions.Action]:
        """Take a load report that an endpoint sent to this entry."""
        self.reported[report.endpoint] = report
        self.take_load(report, now)
        return self.flush()

    def take_load(self, report: endpoints.LoadReport, now: float) -> None:
        """Update a view by a report and reconcile held memory."""
        view = self.view(report.endpoint)
        if view is None or not view.on_report(report, now):
            return
        pool = self.pools[self.endpoint_service[view.name]]
        pool.classify(view)
        self.out += self.releaser.reconcile(
            view, report, self.freshness.members, now
        )

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
        flight = self.running(request_id, attempt)
        if flight is None or flight.parts[0].endpoint != endpoint:
            self.counters.late_chunks += 1
            return self.flush()
        self.note_progress(flight, now)
        for ready in flight.stream.add(attempt, chunk):
            self.emit(flight, ready)
        if flight.stream.complete:
            self.finish(flight, None, now)
        elif flight.stream.overflow:
            self.attempt_failed(flight, endpoint, Fault.LOST, now)
        return self.flush()

    def note_progress(self, flight: flights_lib.Flight, now: float) -> None:
        """Learn from a chunk's timing and push the timeout back."""
        flight.progress_at = now
        self.flights.arm(flight, now + STREAM_IDLE_S)
        key = (flight.request_id, flight.attempt)
        pool = self.pool(flight.request.service)
        for part in flight.parts:
            view = self.view(part.endpoint)
            work = view.on_first_token(key, now) if view else None
            if work is None:
                continue
            pool.classify(view)
            pool.outliers.on_success(
                view.name, now - work.sent_at, work.predicted_s, now
            )
        if flight.first_token_at is None:
            flight.first_token_at = now
            self.dispatcher.pump(flight.request.service, now)

    def emit(
        self, flight: flights_lib.Flight, chunk: request_lib.Chunk
    ) -> None:
        """Hand a piece to the caller and keep it for the claim."""
        if flight.request.claims_key:
            flight.answer_parts.append(chunk.data)
        self.out.append(actions.Emit(request_id=flight.request_id, chunk=chunk))

    def on_answer(
        self,
        endpoint: str,
        request_id: str,
        attempt: int,
        answer: request_lib.Answer,
        now: float,
    ) -> list[actions.Action]:
        """Take the whole answer of a plain service."""
        flight = self.running(request_id, attempt)
        if flight is None:
            self.counters.late_chunks += 1
            return self.flush()
        pool = self.pool(flight.request.service)
        pool.outliers.on_success(endpoint, 1.0, 1.0, now)
        self.finish(flight, answer, now)
        return self.flush()

    def running(
        self, request_id: str, attempt: int
    ) -> flights_lib.Flight | None:
        """Return a flight whose current attempt this is and still runs.

        An attempt that was given up keeps its number until the next one
        begins; its endpoint may hold memory for it meanwhile.
        """
        flight = self.flights.get(request_id)
        if flight is None or flight.attempt != attempt:
            return None
        running = flight.state is flights_lib.FlightState.RUNNING
        return flight if running else None

    def on_attempt_failed(
        self,
        endpoint: str,
        request_id: str,
        attempt: int,
        fault: Fault,
        now: float,
    ) -> list[actions.Action]:
        """Take the failure of one attempt."""
        flight = self.running(request_id, attempt)
        if flight is not None:
            self.attempt_failed(flight, endpoint, fault, now)
        elif fault is not Fault.LOST:
            self.work_freed(endpoint, (request_id, attempt), now)
        return self.flush()

    def on_cancel_confirmed(
        self, endpoint: str, request_id: str, attempt: int, now: float
    ) -> list[actions.Action]:
        """Take the engine's word that it holds nothing of an attempt."""
        self.work_freed(endpoint, (request_id, attempt), now)
        return self.flush()

    def work_freed(
        self, endpoint: str, key: endpoints.WorkKey, now: float
    ) -> None:
        """Forget a piece of work whose memory is free."""
        self.releaser.confirmed(endpoint, key)
        view = self.view(endpoint)
        if view is None:
            return
        view.remove_work(key, now)
        pool = self.pools[self.endpoint_service[endpoint]]
        pool.classify(view)
        self.dispatcher.pump(pool.service, now)

    def attempt_failed(
        self,
        flight: flights_lib.Flight,
        endpoint: str,
        fault: Fault,
        now: float,
    ) -> None:
        """Retry a failed attempt where that is safe, else fail."""
        outliers = self.pool(flight.request.service).outliers
        if fault is Fault.NOT_SENT:
            outliers.on_refused(endpoint, now)
        else:
            outliers.on_failure(endpoint, now)
        nothing_ran = fault is not Fault.LOST and len(flight.parts) == 1
        if nothing_ran:
            flight.may_have_run = flight.lost_before
        else:
            flight.lost_before = True
        self.free_parts(flight, now, freed=nothing_ran)
        if flight.request.non_idempotent and flight.may_have_run:
            self.fail(flight, lost(endpoint), now)
            return
        exhausted = flight.attempt >= retries.MAX_ATTEMPTS
        if exhausted or not self.budget.take():
            self.fail(flight, lost(endpoint, may_have_run(flight)), now)
            return
        self.counters.retries += 1
        if flight.stream.next_offset:
            self.counters.resumed += 1
        flight.avoid.add(endpoint)
        flight.state = flights_lib.FlightState.BACKOFF
        pause = retries.backoff_s(flight.attempt, self.rng)
        self.flights.arm(flight, now + pause)

    def free_parts(
        self, flight: flights_lib.Flight, now: float, freed: bool
    ) -> None:
        """Free the memory of the current attempt on all its engines.

        `freed` says that the engines hold nothing; otherwise each part is
        cancelled until its engine confirms.
        """
        key = (flight.request_id, flight.attempt)
        for part in flight.parts:
            view = self.view(part.endpoint)
            if view is None or key not in view.work:
                continue
            if freed:
                view.remove_work(key, now)
                self.pool(flight.request.service).classify(view)
            else:
                self.counters.cancels += 1
                self.out.append(self.releaser.release(view, key, now))
        flight.parts = ()
        self.dispatcher.release_group(flight)

    # --- ends ------------------------------------------------------------

    def finish(
        self,
        flight: flights_lib.Flight,
        answer: request_lib.Answer | None,
        now: float,
    ) -> None:
        """End a flight whose answer is whole."""
        self.learn(flight, now)
        leader = flight.parts[0].endpoint
        key = (flight.request_id, flight.attempt)
        self.work_freed(leader, key, now)
        flight.parts = flight.parts[1:]
        self.free_parts(flight, now, freed=False)
        request = flight.request
        if flight.claim_granted:
            whole = answer or request_lib.Answer(
                status=200,
                body=b"".join(flight.answer_parts),
                content_type=claiming.STREAM_CONTENT_TYPE,
            )
            self.out.append(
                actions.SettleClaim(
                    request=request, ran=errors.Ran.YES, answer=whole
                )
            )
        self.counters.finished += 1
        self.end(flight, flight.stream.next_offset, now)
        self.out.append(
            actions.Finish(request_id=flight.request_id, answer=answer)
        )

    def learn(self, flight: flights_lib.Flight, now: float) -> None:
        """Learn decode speed and output length from a whole answer."""
        tokens = flight.stream.next_offset
        if flight.first_token_at is None or tokens < 2:
            return
        view = self.view(flight.parts[0].endpoint)
        if view is not None:
            view.speed.observe_decode(tokens - 1, now - flight.first_token_at)
        share = self.output_share(flight.request.service)
        share.observe(flight.request.output_tokens, tokens)

    def output_share(self, service: str) -> admission.OutputShare:
        """Return what is learned of a service's output lengths."""
        return self.output_shares.setdefault(service, admission.OutputShare())

    def fail(
        self,
        flight: flights_lib.Flight,
        failure: errors.Failure,
        now: float,
    ) -> None:
        """End a flight with its final failure, at once."""
        ran = may_have_run(flight)
        if failure.ran is errors.Ran.NO and ran is not errors.Ran.NO:
            failure = attrs.evolve(failure, ran=ran)
        self.free_parts(flight, now, freed=False)
        if flight.claim_granted or flight.claim_tries:
            self.out.append(
                actions.SettleClaim(request=flight.request, ran=failure.ran)
            )
        self.counters.failed += 1
        self.end(flight, 0, now)
        self.out.append(
            actions.Fail(request_id=flight.request_id, failure=failure)
        )

    def end(self, flight: flights_lib.Flight, used: int, now: float) -> None:
        """Take a flight out of every table."""
        request = flight.request
        self.dispatcher.queue(request.service).remove(request)
        meter = self.limits.meter(request.workspace)
        if flight.charged:
            unused = max(0, request.output_tokens - used)
            meter.finish(unused if used else 0)
        else:
            meter.waiting -= 1
        self.flights.remove(flight)
        self.dispatcher.pump(request.service, now)

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
                self.fail(
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
            self.fail(flight, deadline_exceeded(flight), now)
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
                self.fail(flight, refusal, now)
                return
        if not pool.serving_count():
            empty_s = now - max(pool.emptied_at, flight.request.arrived_at)
            if empty_s >= NO_ENDPOINT_PATIENCE_S:
                self.fail(flight, no_endpoint(flight), now)
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
            give_up_at = flight.progress_at + STREAM_IDLE_S
        view = self.view(flight.parts[0].endpoint)
        if view is None or view.expired:
            give_up_at = min(
                give_up_at, flight.progress_at + EXPIRED_PATIENCE_S
            )
        if now >= give_up_at:
            endpoint = flight.parts[0].endpoint
            self.attempt_failed(flight, endpoint, Fault.LOST, now)
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


def may_have_run(flight: flights_lib.Flight) -> errors.Ran:
    """Return what can be said of the work of a flight that failed."""
    return errors.Ran.UNKNOWN if flight.may_have_run else errors.Ran.NO


def lost(endpoint: str, ran: errors.Ran = errors.Ran.UNKNOWN) -> errors.Failure:
    """Return the failure of a request whose attempts were lost."""
    return errors.Failure(
        errors.ErrorCode.ENDPOINT_FAILED,
        f"endpoint {endpoint!r} failed before the answer was whole",
        ran,
        admission.ENTRY_RETRY_S if ran is errors.Ran.NO else None,
    )


def deadline_exceeded(flight: flights_lib.Flight) -> errors.Failure:
    """Return the failure of a request whose time is over."""
    return errors.Failure(
        errors.ErrorCode.DEADLINE_EXCEEDED,
        f"the deadline passed while the request was {flight.state.value}",
        may_have_run(flight),
    )


def no_endpoint(flight: flights_lib.Flight) -> errors.Failure:
    """Return the failure of a request that no endpoint is left for."""
    return errors.Failure(
        errors.ErrorCode.NO_ENDPOINT,
        f"no endpoint serves {flight.request.service!r} any more",
        may_have_run(flight),
        admission.NO_ENDPOINT_RETRY_S,
    )


def caller_gone() -> errors.Failure:
    """Return the failure of a request that nobody waits for."""
    return errors.Failure(
        errors.ErrorCode.CALLER_GONE, "the caller closed the connection"
    )
