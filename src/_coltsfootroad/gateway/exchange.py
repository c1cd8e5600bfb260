"""Serves one caller's request, from its headers to its final response."""

import asyncio

import attrs
from tornado import http1connection

from _coltsfootroad.core import endpointset
from _coltsfootroad.core import fairadmission
from _coltsfootroad.core import routes
from _coltsfootroad.core import sends as sends_lib
from _coltsfootroad.core.placement import engineplacement
from _coltsfootroad.core.placement import shedding
from _coltsfootroad.core.placement import startuplimit
from _coltsfootroad.core.placement import urgency
from _coltsfootroad.gateway import admission
from _coltsfootroad.gateway import coldadmission
from _coltsfootroad.gateway import contentguard
from _coltsfootroad.gateway import engines
from _coltsfootroad.gateway import finalfailure
from _coltsfootroad.gateway import forwarding
from _coltsfootroad.gateway import health
from _coltsfootroad.gateway import memoryreservation
from _coltsfootroad.gateway import names as names_lib
from _coltsfootroad.gateway import ownwork
from _coltsfootroad.gateway import pacing
from _coltsfootroad.gateway import peerforwarding
from _coltsfootroad.gateway import reply as reply_lib
from _coltsfootroad.gateway import responses
from _coltsfootroad.gateway import retainedprompt
from _coltsfootroad.gateway import sendbudget
from _coltsfootroad.gateway import startup
from _coltsfootroad.gateway import upstream
from _coltsfootroad.gateway import watchdog as watchdog_lib
from _coltsfootroad.shell import clientmemory
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import logs

LOG = logs.logger("request")
# With less time left than this, no response can arrive before the deadline.
MIN_REMAINING_TO_SEND_S = 0.02
MIN_SERVER_ERROR_STATUS = 500
# Range of the random pause before memory is requested again, so that two long
# prompts that competed for the same engines do not collide a second time.
MEMORY_RETRY_PAUSE_S = (0.05, 0.2)


@attrs.define(eq=False)
class Exchange:
    """Serves one request; every path sends one response or closes.

    Attributes:
        gateway: The gateway that serves the request.
        connection: The caller's connection.
        request: The request as received.
        request_id: Request ID from the caller's headers, may be empty.
        caller: Records the bytes that are held for the caller.
        admitted: The request's route and limits, None before admission.
        sends: Counts the sends to endpoints, None before admission.
        error_response: The last complete 5xx response of an endpoint.
        weighed: Whether its share of scarce capacity has been decided.
        reservation: Memory that is reserved for the current send.
        pace: Times of the current send, None before the first one.
        guard: Applies the quarantine to the request.
        budget: Charges retries to the service's retry budget.
        cold: Keeps sends to cold endpoints within their limit.
        work: Reports the current send as load.
        retained: Uses and updates what engines hold of the prompt.
        forwarding: Forwards the request through another gateway.
        final_failure: Refuses or fails the request.
        reply: Writes to the caller's connection.
    """

    gateway: object
    connection: http1connection.HTTP1Connection
    request: admission.CallerRequest
    request_id: str = ""
    caller: clientmemory.ClientConnection | None = None
    admitted: admission.Admitted | None = None
    sends: sends_lib.SendHistory | None = None
    error_response: responses.BufferedResponse | None = None
    weighed: bool = False
    reservation: memoryreservation.MemoryReservation | None = None
    pace: pacing.SendPace | None = None
    guard: contentguard.ContentGuard = attrs.field(init=False)
    budget: sendbudget.SendBudget = attrs.field(init=False)
    cold: coldadmission.ColdAdmission = attrs.field(init=False)
    work: ownwork.OwnWork = attrs.field(init=False)
    retained: retainedprompt.RetainedPrompt = attrs.field(init=False)
    forwarding: peerforwarding.PeerForwarding = attrs.field(init=False)
    final_failure: finalfailure.FinalFailure = attrs.field(init=False)
    reply: reply_lib.Reply = attrs.field(init=False)

    def __attrs_post_init__(self):
        names = self.gateway.dialect.names
        self.request_id = self.request.headers.get(names.request_id, "")
        if self.caller is None:
            self.caller = self.gateway.caller_memory.track_exchange(
                self.connection.stream
            )
        self.guard = contentguard.ContentGuard(self)
        self.budget = sendbudget.SendBudget(self)
        self.cold = coldadmission.ColdAdmission(self)
        self.work = ownwork.OwnWork(self.gateway)
        self.retained = retainedprompt.RetainedPrompt(self)
        self.forwarding = peerforwarding.PeerForwarding(self)
        self.final_failure = finalfailure.FinalFailure(self)
        self.reply = reply_lib.Reply(
            self.gateway,
            self.connection,
            self.request_id,
            self.request.arrived_at,
            self.record_event,
            self.caller,
        )

    @property
    def ticket(self) -> str:
        """Return the ticket of the current send's memory, empty for none."""
        return self.reservation.ticket if self.reservation is not None else ""

    @property
    def names(self) -> names_lib.HeaderNames:
        """Return the names of the HTTP headers."""
        return self.gateway.dialect.names

    @property
    def route(self) -> routes.Route:
        """Return the route of the admitted request."""
        return self.admitted.route

    @property
    def service(self) -> routes.ServiceSpec:
        """Return the service that the admitted request is routed to."""
        return self.admitted.service

    def prompt_tokens(self) -> int:
        """Return the prompt's length in tokens, 0 for plain requests."""
        prompt = self.admitted.prompt
        return prompt.prompt_tokens if prompt is not None else 0

    @property
    def deadline(self) -> float:
        """Return the deadline in seconds of the boot clock."""
        return self.admitted.deadline

    async def run(self) -> None:
        """Serve the request until its final response is written."""
        start_up = self.gateway.start_up
        arrived_at = self.request.arrived_at
        stated_timeout_s = self.request.stated_timeout_s(self.names)
        await start_up.wait(arrived_at, stated_timeout_s, start_up.knows_routes)
        now = clocks.boot_time()
        result = admission.admit(
            self.gateway, self.request, self.request_id, now
        )
        if result.is_error():
            self.reply.refuse(result.error.failure, result.error.route)
            return
        self.admitted = result.ok
        self.sends = sends_lib.SendHistory(
            attempts=self.forwarding.allowed_attempts(),
            idempotent=self.route.idempotent,
        )
        await start_up.wait(
            arrived_at,
            stated_timeout_s,
            self.has_room,
            startup.CHOICE_POLL_INTERVAL_S,
        )
        if self.request.forwarded_by:
            # The forwarding gateway counts it for the retry budget.
            self.forwarding.record_received()
        else:
            self.gateway.budget(self.service.name).on_request(now)
        left_s = self.deadline - clocks.boot_time()
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                await self.attempt_until_done()
        except TimeoutError:
            self.gateway.pacing.on_deadline(self.pace, clocks.boot_time())
            self.final_failure.on_deadline()
        finally:
            self.work.end()
            self.budget.release()

    def has_room(self) -> bool:
        """Return whether a known endpoint can serve the request in time.

        The time that the request has waited so far is not counted, as waiting
        longer cannot make up for it.
        """
        if not self.gateway.start_up.knows_first_endpoints():
            return False
        choice = self.choose(clocks.boot_time())
        if choice is None:
            return False
        if self.admitted.prompt is None:
            return choice.load < choice.endpoint.announcement.max_running
        gateways = len(self.gateway.view.rotation.current())
        if self.gateway.load.count_own_prompts() >= startuplimit.max_prompts(
            choice.batch_slots, gateways
        ):
            return False
        return choice.predicted_s <= self.route.target_s

    # --- attempts --------------------------------------------------------

    async def attempt_until_done(self) -> None:
        """Send until an endpoint responds or no further send is allowed."""
        while True:
            outcome = await self.attempt_once()
            if outcome is None or outcome is sends_lib.Outcome.ANSWERED:
                return
            if self.guard.stopped and await self.guard.refuse():
                return
            self.guard.stopped = False
            if outcome is sends_lib.Outcome.NO_MEMORY:
                self.sends.tried.clear()
                await asyncio.sleep(
                    self.gateway.rng.uniform(*MEMORY_RETRY_PAUSE_S)
                )
            reason = self.stop_reason(outcome)
            if reason:
                self.final_failure.send(reason)
                return

    async def attempt_once(self) -> sends_lib.Outcome | None:
        """Send once; return the outcome, None if the request was refused."""
        now = clocks.boot_time()
        reason = self.cannot_send_reason(now)
        peer = None if reason else self.forwarding.choose(now)
        if peer is not None:
            return await self.forwarding.forward(peer)
        if await self.guard.refuse():
            return None
        now = clocks.boot_time()
        reason = self.cannot_send_reason(now)
        if not reason and self.forwarding.is_unreachable():
            self.final_failure.send_unreachable()
            return None
        choice = None if reason else self.choose(now)
        if choice is None:
            return await self.on_no_choice(reason, now)
        if self.refuse_choice(choice):
            return None
        return await self.attempt(choice)

    async def on_no_choice(
        self, reason: str, now: float
    ) -> sends_lib.Outcome | None:
        """Refuse a request without a choice, or wait for a cold endpoint.

        `reason` states why nothing may be sent, empty if sending is allowed.
        """
        if not reason and self.has_only_evacuated():
            self.final_failure.send_evacuated()
            return None
        if not reason and self.cold.is_blocked(now):
            return await self.cold.go_on(now)
        self.final_failure.send(reason or "no endpoint serves the request now")
        return None

    def refuse_choice(self, choice: engines.Choice) -> bool:
        """Refuse a request that is not to be sent; return whether it was."""
        left_s = self.deadline - clocks.boot_time()
        is_call = pacing.is_plain_call(self.service, self.route)
        if is_call and choice.least_s > left_s:
            self.final_failure.refuse_unmeetable(choice, left_s)
            return True
        retry_after_s = self.shed_delay_s(choice)
        if retry_after_s is not None:
            self.final_failure.shed(choice, retry_after_s)
            return True
        refusal = self.scarcity_refusal(choice)
        if refusal is not None:
            self.final_failure.refuse_scarce(refusal)
            return True
        return False

    def has_only_evacuated(self) -> bool:
        """Return whether only evacuated zones could serve the request."""
        endpoints = self.gateway.endpoints
        return endpoints.has_only_evacuated(self.service.name)

    def rank(self, choice: engines.Choice, now: float) -> int:
        """Return the rank of a send in its engine's queue."""
        waited_s = now - self.request.arrived_at
        return urgency.engine_rank(self.route, waited_s, choice.predicted_s)

    def shed_delay_s(self, choice: engines.Choice) -> float | None:
        """Return the retry delay if the request is to be shed, else None."""
        prompt = self.admitted.prompt
        if prompt is None or self.sends.count:
            return None
        fairness, now = self.gateway.fairness, clocks.boot_time()
        candidate = shedding.Candidate(
            prompt_tokens=prompt.prompt_tokens,
            predicted_s=choice.predicted_s,
            target_s=prompt.target_s,
            is_retry=fairness.is_retry(self, now),
        )
        delay_s = shedding.shed_retry_after_s(
            candidate, choice.late_waiting, choice.batch_slots, self.gateway.rng
        )
        return fairness.bound_shed_delay(self, delay_s, now)

    def scarcity_refusal(
        self, choice: engines.Choice
    ) -> fairadmission.Refusal | None:
        """Return why scarce capacity refuses the first send, if it does."""
        if self.sends.count or self.weighed:
            return None
        self.weighed = True
        return self.gateway.fairness.refusal(self, choice, clocks.boot_time())

    def choose(self, now: float) -> engines.Choice | None:
        """Return the endpoints for the next send, None if there are none."""
        return self.gateway.chooser.choose(
            self.service,
            self.admitted.prompt,
            self.sends.tried,
            now,
            self.guard.isolated_as(),
            self.retained.parts(),
        )

    def cannot_send_reason(self, now: float) -> str:
        """Return why nothing may be sent now, empty if sending is allowed."""
        view = self.gateway.view
        if not view.is_current(now):
            return f"routes were proved current {view.age_s(now):.1f} s ago"
        left_s, least_s = self.deadline - now, self.least_response_s()
        if left_s < least_s:
            return f"{left_s:.3f} s are left, a response takes {least_s:.3f} s"
        return ""

    def least_response_s(self) -> float:
        """Return the seconds that a response takes at the least.

        A send with less time left serves nobody: it only takes the endpoint's
        time from requests that can still be served.
        """
        engine, prompt = self.service.engine, self.admitted.prompt
        if engine is None or prompt is None:
            return MIN_REMAINING_TO_SEND_S
        return max(
            MIN_REMAINING_TO_SEND_S,
            engineplacement.least_first_event_s(prompt, engine),
        )

    async def call_with_silence_timeout(
        self,
        choice: engines.Choice,
        pool: upstream.EndpointPool,
        sink: responses.BufferedResponse,
        observer: upstream.ConnectObserver,
    ) -> upstream.CallEnd:
        """Send, and stop if the endpoint is silent and another can be tried.

        An endpoint may stop responding without a TCP reset. If no other
        endpoint may be tried, the send waits until the deadline.
        """
        request = forwarding.upstream_request(self, choice, clocks.boot_time())
        watchdog = watchdog_lib.Watchdog(self, choice)
        try:
            async with asyncio.timeout(None) as timeout:
                watchdog.start(timeout)
                self.guard.send_timeout = timeout
                return await self.cold.call(
                    choice, pool, request, sink, observer
                )
        except TimeoutError:
            if not timeout.expired():
                raise
            if self.guard.stopped:
                return upstream.CallEnd.STOPPED
            return upstream.CallEnd.SILENT
        finally:
            self.guard.send_timeout = None
            watchdog.stop()

    def reserve_failover(self) -> bool:
        """Reserve a retry on another endpoint; return whether that succeeded.

        The retry is reserved before the current send is cancelled. Without
        it, cancelling would lose a response that may only be slow.
        """
        if self.guard.on_trial or not self.sends.may_fail_over():
            return False
        now = clocks.boot_time()
        if self.cannot_send_reason(now) or not self.has_alternative(now):
            return False
        return self.budget.reserve(now)

    def has_alternative(self, now: float) -> bool:
        """Return whether a gateway or an untried endpoint can take a send."""
        if self.forwarding.is_partitioned:
            return self.forwarding.choose(now) is not None
        choice = self.choose(now)
        return (
            choice is not None and choice.endpoint.name not in self.sends.tried
        )

    async def reserve(self, choice: engines.Choice) -> bool:
        """Reserve memory for a prompt that exceeds one engine's memory."""
        self.reservation = memoryreservation.MemoryReservation(
            self.gateway,
            self.request_id,
            self.gateway.next_ticket(),
            choice.shares,
        )
        granted = await self.reservation.reserve()
        if not granted:
            self.reservation = None
        return granted

    def release_reservation(self) -> None:
        """Release the reserved memory in the background."""
        if self.reservation is not None:
            self.gateway.spawn(self.reservation.release())
            self.reservation = None

    def stop_reason(self, outcome: sends_lib.Outcome) -> str:
        """Return why no further send is allowed, empty if one is."""
        # Failed connections to endpoints do not keep another gateway from
        # serving the request.
        if self.forwarding.choose(clocks.boot_time()) is not None:
            reason = self.sends.run_limit_reason(outcome)
        else:
            reason = self.sends.stop_reason(outcome)
        if self.guard.on_trial and self.sends.runs:
            return "its trial has ended"
        if reason or outcome is sends_lib.Outcome.NO_MEMORY:
            return reason
        return (
            ""
            if self.budget.allows_another_send()
            else "the retry budget is used up"
        )

    async def attempt(self, choice: engines.Choice) -> sends_lib.Outcome:
        """Send to one endpoint and return the outcome."""
        now = clocks.boot_time()
        endpoint = choice.endpoint
        self.sends.tried.add(endpoint.name)
        late = self.rank(choice, now) == urgency.LATE_RANK
        self.work.begin(
            choice, self.admitted.prompt, late, now, self.admitted.workspace
        )
        self.cold.hold(choice)
        sink = self.make_sink()
        pool = self.gateway.pool(endpoint.announcement.address)
        connect = self.gateway.reach_monitor.connect_watch(endpoint)
        LOG.info(
            "sent",
            request=self.request_id,
            endpoint=endpoint.name,
            send=self.sends.count + 1,
            tokens=self.prompt_tokens(),
            version=self.gateway.view.version,
            proof_age_s=round(self.gateway.view.age_s(now), 3),
            load=choice.load,
            predicted_s=round(choice.predicted_s, 3),
            factor=round(choice.factor, 2),
            saved_s=round(choice.saved_s, 3),
            helpers=[known.name for known in choice.helpers],
            isolated=self.guard.isolated_as() is not None,
        )
        try:
            if choice.shares and not await self.reserve(choice):
                return sends_lib.Outcome.NO_MEMORY
            if self.guard.entries():
                return sends_lib.Outcome.NOT_RUN
            self.sends.count += 1
            self.retained.begin(choice, clocks.boot_time())
            self.pace = self.gateway.pacing.begin(
                choice,
                self.service,
                self.route,
                self.work.keys[0],
                # A first event after a saved prefill proves no pace.
                self.reply.streaming or choice.saved_s > 0,
                clocks.boot_time(),
            )
            end = await self.call_with_silence_timeout(
                choice, pool, sink, connect
            )
            if end is upstream.CallEnd.COMPLETE and await self.is_cut_off(
                endpoint, sink
            ):
                end = upstream.CallEnd.LOST
        finally:
            self.work.end()
            self.retained.end()
            self.cold.release()
            self.release_reservation()
        outcome = self.classify_outcome(end, sink)
        send_pace, self.pace = self.pace, None
        self.gateway.pacing.end(
            send_pace, outcome, end, sink.status, clocks.boot_time()
        )
        health.update_endpoints(
            self.gateway.endpoints,
            choice,
            outcome,
            end,
            sink,
            clocks.boot_time(),
        )
        LOG.info(
            "send ended",
            request=self.request_id,
            endpoint=endpoint.name,
            outcome=outcome.value,
            end=end.value,
            connect=connect.outcome(),
            status=sink.status,
            fault=sink.fault.value if sink.fault else None,
            framing=sink.framing().value,
            took_s=round(clocks.boot_time() - now, 3),
            first_event_s=self.reply.first_event_s,
            longest_pause_s=round(self.reply.longest_pause_s, 3),
            target_s=self.route.target_s,
            gap_target_s=self.route.gap_target_s,
        )
        if outcome is sends_lib.Outcome.ANSWERED:
            self.reply.complete(sink)
            self.guard.on_answered(sink.status)
        elif end is upstream.CallEnd.LOST:
            has_output = bool(sink.body) or self.reply.last_event_at > now
            self.guard.on_lost(endpoint, now, has_output)
        elif end is upstream.CallEnd.STOPPED:
            self.guard.on_stopped(endpoint, now, clocks.boot_time())
        return outcome

    async def is_cut_off(
        self,
        endpoint: endpointset.KnownEndpoint,
        sink: responses.BufferedResponse,
    ) -> bool:
        """Return whether a response ends early despite complete framing."""
        if sink.genuine and not sink.is_body_complete():
            return True
        return (
            sink.ends_with_connection()
            and await self.gateway.crash_detector.has_ended(endpoint)
        )

    def make_sink(self) -> responses.BufferedResponse:
        """Return the sink for an endpoint's response."""
        # An earlier response is dropped, or is an error response that is kept
        # and not counted: at most 1 MB.
        self.caller.hold_response(0)
        if self.route.kind is routes.RequestKind.STREAM:
            return responses.StreamedResponse(
                self.names,
                self.request_id,
                self.caller.hold_response,
                reply=self.reply,
            )
        return responses.BufferedResponse(
            self.names, self.request_id, self.caller.hold_response
        )

    def classify_outcome(
        self, end: upstream.CallEnd, sink: responses.BufferedResponse
    ) -> sends_lib.Outcome:
        """Return the outcome of a send."""
        if end in upstream.NOTHING_SENT:
            return sends_lib.Outcome.NOT_RUN
        # What a malformed response states proves nothing.
        is_readable = end is not upstream.CallEnd.MALFORMED
        if is_readable and sink.genuine and sink.proves_not_run():
            return sends_lib.Outcome.NOT_RUN
        self.sends.runs += 1
        is_complete = (
            end is upstream.CallEnd.COMPLETE and sink.is_body_complete()
        )
        if not is_complete or not sink.genuine:
            return sends_lib.Outcome.LOST
        if sink.status >= MIN_SERVER_ERROR_STATUS and self.route.idempotent:
            self.error_response = sink
            return sends_lib.Outcome.FAULT
        return sends_lib.Outcome.ANSWERED

    def record_event(self, count: int) -> None:
        """Record `count` events: prefill is complete, or a pause has ended."""
        now = clocks.boot_time()
        self.retained.on_events(now)
        if self.work.record_event(now - self.reply.last_event_at):
            self.gateway.record_first_event(now - self.request.arrived_at)
        if self.pace is not None:
            self.gateway.pacing.on_events(
                self.pace, count, self.reply.is_write_blocked, now
            )
