"""One request of a caller: from its head to its final answer."""

import asyncio
import enum

import attrs
from tornado import http1connection
from tornado import httputil
from tornado import iostream

from _coltsfootroad.core import errors
from _coltsfootroad.core import eventstream
from _coltsfootroad.core import patience
from _coltsfootroad.core import routes
from _coltsfootroad.core import spread
from _coltsfootroad.core import urgency
from _coltsfootroad.core import workload
from _coltsfootroad.gateway import engines
from _coltsfootroad.gateway import names as names_lib
from _coltsfootroad.gateway import tickets as tickets_lib
from _coltsfootroad.gateway import upstream
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import web

LOG = logs.logger("request")
# Time in which an answer still travels to the caller.
RETURN_MARGIN_S = 0.03
# A send with less time than this cannot come back in time.
MIN_SEND_S = 0.02
# Sends beyond the route's attempts when an endpoint proved that it did not
# run the request: such a send costs a round trip and can run nothing twice.
EXTRA_UNRUN_SENDS = 2
# How soon to look again whether another endpoint could take over.
LOOK_AGAIN_S = 0.2
MISDIRECTED = 421
NOT_RUN_STATUSES = (408, 421, 429, 503)
SERVER_FAULT = 500
DEFAULT_DEADLINE_S = 30.0
RETRY_AFTER_S = 0.2
# A gateway without routes has just started, often with all others: replicas
# elect a leader within 1.2 s of their start and gateways hear of it at once.
# Callers retry once, so coming back too early loses the request.
NO_ROUTES_RETRY_S = 2.0
# A gateway that lost the leader: an election takes 1.2 s at most.
FENCED_RETRY_S = 1.2
# Pause before memory is asked for again, drawn so that two long prompts
# that met at the same engines do not meet again.
MEMORY_PAUSE_S = (0.05, 0.2)


class Outcome(enum.Enum):
    """What a send to one endpoint came to."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    LOST = "lost"
    FAULT = "fault"
    NO_MEMORY = "no_memory"


@attrs.define
class CallerRequest:
    """A request as it came in.

    Attributes:
        start: Request line.
        headers: As received.
        body: The whole body.
        arrived_at: Boot clock seconds when the head was read.
    """

    start: httputil.RequestStartLine
    headers: httputil.HTTPHeaders
    body: bytes
    arrived_at: float


@attrs.define
class HeldAnswer(upstream.AnswerSink):
    """An answer that is collected whole before the caller gets any of it."""

    exchange: "Exchange"
    status: int = 0
    reason: str = ""
    headers: httputil.HTTPHeaders = attrs.Factory(httputil.HTTPHeaders)
    parts: list[bytes] = attrs.Factory(list)
    genuine: bool = False

    def on_head(self, status, reason, headers):
        """Take the head if the answer belongs to this request."""
        self.status = status
        self.reason = reason
        self.headers = headers
        self.genuine = self.exchange.is_genuine(status, headers)
        return self.genuine

    def on_data(self, data):
        """Keep a piece."""
        self.parts.append(data)


@attrs.define
class StreamedAnswer(HeldAnswer):
    """A stream whose events are passed on as they become whole."""

    splitter: eventstream.EventSplitter = attrs.Factory(
        eventstream.EventSplitter
    )

    def on_head(self, status, reason, headers):
        """Begin the caller's answer with the first endpoint's head."""
        kept = HeldAnswer.on_head(self, status, reason, headers)
        if kept and self.is_stream():
            self.exchange.open_stream(status, reason, headers)
        return kept

    def is_stream(self) -> bool:
        """Return whether the body is to be passed on event by event."""
        return 200 <= self.status < 300

    def on_data(self, data):
        """Pass on the events that are whole."""
        if not self.is_stream():
            self.parts.append(data)
            return None
        return self.exchange.pass_events(self.splitter.feed(data))


@attrs.define(eq=False)
class Watchdog:
    """Ends a send whose endpoint has been silent for too long.

    Looks again whenever the time may be over, as events reset it and as
    prompts that the engine has been sent meanwhile explain a pause.
    """

    exchange: "Exchange"
    choice: engines.Choice
    started_at: float = attrs.Factory(clocks.boot_time)
    timeout: asyncio.Timeout | None = None
    timer: asyncio.TimerHandle | None = None

    def start(self, timeout: asyncio.Timeout) -> None:
        """Begin to watch."""
        self.timeout = timeout
        self.look()

    def look(self) -> None:
        """End the send, or look again when its time may be over."""
        now = clocks.boot_time()
        loop = asyncio.get_running_loop()
        silent_s = now - max(self.started_at, self.exchange.last_event_at)
        left_s = self.allowed_s(now) - silent_s
        if left_s > 0:
            self.timer = loop.call_later(left_s, self.look)
        elif self.exchange.may_switch():
            self.timeout.reschedule(loop.time())
        else:
            self.timer = loop.call_later(LOOK_AGAIN_S, self.look)

    def allowed_s(self, now: float) -> float:
        """Return how much silence has a reason that is known."""
        expected_s = 0.0
        if self.exchange.last_event_at < self.started_at:
            expected_s = self.choice.predicted_s
        engine = self.exchange.service.engine
        if engine is not None:
            chooser = self.exchange.gateway.chooser
            name = self.choice.endpoint.name
            expected_s = max(expected_s, chooser.reading_s(name, engine, now))
        return patience.switch_after_s(self.exchange.route, expected_s)

    def stop(self) -> None:
        """Watch no longer."""
        if self.timer is not None:
            self.timer.cancel()


@attrs.define(eq=False)
class Exchange:
    """Serves one request; every way out sends one final answer or closes.

    Attributes:
        gateway: The gateway that serves it.
        connection: The caller's connection.
        request: What the caller sent.
    """

    gateway: object
    connection: http1connection.HTTP1Connection
    request: CallerRequest
    request_id: str = ""
    route: routes.Route | None = None
    service: routes.ServiceSpec | None = None
    workspace: str = ""
    deadline: float = 0.0
    caller_deadline: float = 0.0
    last_event: int | None = None
    streaming: bool = False
    may_have_run: bool = False
    runs: int = 0
    sends: int = 0
    tried: set[str] = attrs.Factory(set)
    work_keys: list[int] = attrs.Factory(list)
    main_key: int = 0
    last_event_at: float = 0.0
    held: HeldAnswer | None = None
    tickets: tickets_lib.TicketSet | None = None
    finished: bool = False

    @property
    def names(self) -> names_lib.HeaderNames:
        """Return the header names in use."""
        return self.gateway.dialect.names

    # --- admission -------------------------------------------------------

    async def run(self) -> None:
        """Serve the request until its final answer."""
        self.request_id = self.request.headers.get(self.names.request_id, "")
        await self.gateway.start_up.wait(self.request.arrived_at)
        refusal = self.admit()
        if refusal is not None:
            self.refuse(refusal)
            return
        left_s = self.deadline - clocks.boot_time()
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                await self.attempt_until_done()
        except TimeoutError:
            self.on_deadline()
        finally:
            self.end_work()

    def admit(self) -> errors.Failure | None:
        """Return why the request is refused, or None."""
        view = self.gateway.view
        now = clocks.boot_time()
        if view.table is None:
            return refusal(
                errors.ErrorCode.UNAVAILABLE,
                "no routes are known yet",
                NO_ROUTES_RETRY_S,
            )
        host = self.request.headers.get("Host", "").partition(":")[0]
        path = self.request.start.path.partition("?")[0]
        self.route = view.table.match(host, path)
        if self.route is None:
            return refusal(
                errors.ErrorCode.NOT_FOUND,
                f"no route for host {host!r} and path {path!r}",
            )
        fault = self.authorize(view.table)
        if fault is not None:
            return fault
        if not view.is_current(now):
            return refusal(
                errors.ErrorCode.ENTRY_FENCED,
                f"routes were proved current {view.age_s(now):.1f} s ago",
                FENCED_RETRY_S,
            )
        if self.gateway.refuses_new(now):
            return refusal(
                errors.ErrorCode.ENTRY_DRAINING, "this gateway stops", 0.0
            )
        name = routes.choose_service(self.route, self.request_id)
        self.service = view.table.services[name]
        self.set_deadline()
        self.gateway.budget(name).on_request(now)
        return None

    def authorize(self, table: routes.RouteTable) -> errors.Failure | None:
        """Find the workspace of the key; return why there is none."""
        if not table.needs_key(self.route):
            return None
        key = self.request.headers.get(self.names.key, "")
        workspace = table.workspace(key)
        if workspace is None:
            return refusal(
                errors.ErrorCode.UNAUTHORIZED, "the key is not known"
            )
        self.workspace = workspace
        return None

    def set_deadline(self) -> None:
        """Take the earlier of the caller's deadline and the route's."""
        text = self.request.headers.get(self.names.deadline_ms, "")
        stated_s = int(text) / 1000 if text.isdigit() else DEFAULT_DEADLINE_S
        arrived = self.request.arrived_at
        self.caller_deadline = arrived + stated_s
        latest = self.caller_deadline - RETURN_MARGIN_S
        self.deadline = min(latest, arrived + self.route.timeout_s)

    def prompt(self) -> spread.Prompt | None:
        """Return the size of the prompt, None for plain requests."""
        text = self.request.headers.get(self.names.tokens, "")
        prompt, _, output = text.partition(",")
        if not (prompt.strip().isdigit() and output.strip().isdigit()):
            return None
        return spread.Prompt(
            prompt_tokens=int(prompt),
            output_tokens=int(output),
            target_s=self.route.target_s,
            gap_target_s=self.route.gap_target_s,
        )

    # --- attempts --------------------------------------------------------

    async def attempt_until_done(self) -> None:
        """Send to endpoints until one answers or none may be tried."""
        while True:
            now = clocks.boot_time()
            choice = self.choose(now)
            if choice is None:
                self.give_up("no endpoint serves the request now")
                return
            outcome = await self.attempt(choice)
            if outcome is Outcome.ANSWERED:
                return
            if outcome is Outcome.NO_MEMORY:
                self.tried.clear()
                await asyncio.sleep(self.gateway.rng.uniform(*MEMORY_PAUSE_S))
            reason = self.stop_reason(outcome)
            if reason:
                self.give_up(reason)
                return

    def choose(self, now: float) -> engines.Choice | None:
        """Return where to send next, None if that is nowhere."""
        if not self.gateway.view.is_current(now):
            return None
        if self.deadline - now < MIN_SEND_S:
            return None
        return self.gateway.chooser.choose(
            self.service, self.prompt(), self.tried, now
        )

    async def call_with_patience(
        self,
        choice: engines.Choice,
        pool: upstream.EndpointPool,
        sink: HeldAnswer,
    ) -> upstream.CallEnd:
        """Send, and turn to another endpoint while the caller still waits.

        An endpoint may fall silent without a reset. Where nothing else may
        be tried, its silence is waited out until the deadline.
        """
        request = self.upstream_request(choice, clocks.boot_time())
        watchdog = Watchdog(self, choice)
        try:
            async with asyncio.timeout(None) as timeout:
                watchdog.start(timeout)
                return await pool.call(request, sink, self.route.idempotent)
        except TimeoutError:
            if not timeout.expired():
                raise
            return upstream.CallEnd.SILENT
        finally:
            watchdog.stop()

    def may_switch(self) -> bool:
        """Return whether another endpoint could take over."""
        if not self.route.idempotent or self.runs + 1 >= self.route.attempts:
            return False
        others = self.gateway.endpoints.of_service(self.service.name)
        return any(known.name not in self.tried for known in others)

    async def reserve(self, choice: engines.Choice) -> bool:
        """Set memory aside for a prompt above one engine's memory."""
        self.tickets = tickets_lib.TicketSet(
            self.gateway,
            self.request_id,
            self.gateway.next_ticket(),
            choice.shares,
        )
        granted = await self.tickets.reserve()
        if not granted:
            self.tickets = None
        return granted

    def free_tickets(self) -> None:
        """Free the memory that was set aside, without waiting for it."""
        if self.tickets is not None:
            self.gateway.spawn(self.tickets.release())
            self.tickets = None

    def stop_reason(self, outcome: Outcome) -> str:
        """Return why no further endpoint is tried, empty to go on."""
        if outcome is Outcome.NO_MEMORY:
            return ""
        if outcome is not Outcome.NOT_RUN and not self.route.idempotent:
            return "it may have run and must not run twice"
        if self.runs >= self.route.attempts:
            return f"{self.runs} endpoints of {self.route.attempts} were used"
        if self.sends >= self.route.attempts + EXTRA_UNRUN_SENDS:
            return f"it was sent {self.sends} times"
        budget = self.gateway.budget(self.service.name)
        if self.sends and not budget.take(
            self.gateway.gateway_count(), clocks.boot_time()
        ):
            return "the retry budget is used up"
        return ""

    async def attempt(self, choice: engines.Choice) -> Outcome:
        """Send to one endpoint and judge what came of it."""
        now = clocks.boot_time()
        endpoint = choice.endpoint
        self.tried.add(endpoint.name)
        self.begin_work(choice, now)
        sink = self.make_sink()
        pool = self.gateway.pool(endpoint.announcement.address)
        LOG.info(
            "sent",
            request=self.request_id,
            endpoint=endpoint.name,
            send=self.sends + 1,
            version=self.gateway.view.version,
            proof_age_s=round(self.gateway.view.age_s(now), 3),
            load=choice.load,
            predicted_s=round(choice.predicted_s, 3),
            helpers=[known.name for known in choice.helpers],
        )
        try:
            if choice.shares and not await self.reserve(choice):
                return Outcome.NO_MEMORY
            self.sends += 1
            end = await self.call_with_patience(choice, pool, sink)
        finally:
            self.end_work()
            self.free_tickets()
        outcome = self.judge(end, sink)
        self.note_health(choice, outcome, end, sink)
        LOG.info(
            "send ended",
            request=self.request_id,
            endpoint=endpoint.name,
            outcome=outcome.value,
            end=end.value,
            status=sink.status,
            took_s=round(clocks.boot_time() - now, 3),
        )
        if outcome is Outcome.ANSWERED:
            self.complete(sink)
        return outcome

    def make_sink(self) -> HeldAnswer:
        """Return what takes the answer."""
        if self.route.kind is routes.RequestKind.STREAM:
            return StreamedAnswer(self)
        return HeldAnswer(self)

    def upstream_request(
        self, choice: engines.Choice, now: float
    ) -> upstream.UpstreamRequest:
        """Return the request as the endpoint gets it."""
        names = self.names
        headers = httputil.HTTPHeaders()
        hidden = names.overridden() | names_lib.HOP_BY_HOP | {"content-length"}
        for name, value in self.request.headers.get_all():
            if name.lower() not in hidden:
                headers.add(name, value)
        # What the caller named as hop-by-hop ends here as well.
        for name in self.request.headers.get("Connection", "").split(","):
            if name.strip() and name.strip() in headers:
                del headers[name.strip()]
        if self.request.body or self.request.start.method in ("POST", "PUT"):
            headers["Content-Length"] = str(len(self.request.body))
        left_ms = int((self.deadline - now) * 1000)
        headers[names.deadline_ms] = str(max(1, left_ms))
        headers[names.expected_endpoint] = choice.endpoint.name
        if self.workspace:
            headers[names.workspace] = self.workspace
        if self.prompt() is not None:
            waited_s = now - self.request.arrived_at
            headers[names.urgency] = str(
                urgency.of(self.route, waited_s, choice.predicted_s)
            )
        if choice.helpers:
            headers[names.helpers] = ",".join(self.helper_words(choice))
        if self.last_event is not None:
            headers[names.last_event_id] = str(self.last_event)
        return upstream.UpstreamRequest(
            method=self.request.start.method,
            target=self.request.start.path,
            headers=headers,
            body=self.request.body,
        )

    def helper_words(self, choice: engines.Choice) -> list[str]:
        """Return the helpers, each with the ticket that it holds memory by."""
        holding = {share.endpoint.name for share in choice.shares}
        words = []
        for known in choice.helpers:
            word = known.announcement.address
            if known.name in holding:
                word += f"/{self.tickets.ticket}"
            words.append(word)
        return words

    def is_genuine(self, status: int, headers) -> bool:
        """Return whether an answer is the endpoint's own, to this request."""
        if headers.get(self.names.request_id, "") != self.request_id:
            return status in NOT_RUN_STATUSES and self.says_not_run(
                status, headers
            )
        if headers.get("Content-Encoding"):
            return False
        signed = self.names.signature in headers
        return signed or status >= 300

    def says_not_run(self, status: int, headers) -> bool:
        """Return whether an answer proves that the request did not run."""
        return status == MISDIRECTED or self.names.not_run in headers

    def judge(self, end: upstream.CallEnd, sink: HeldAnswer) -> Outcome:
        """Return what a send came to."""
        if end is upstream.CallEnd.NOT_SENT:
            return Outcome.NOT_RUN
        if sink.genuine and self.says_not_run(sink.status, sink.headers):
            self.held = sink if sink.status != MISDIRECTED else self.held
            return Outcome.NOT_RUN
        self.runs += 1
        self.may_have_run = True
        if end is not upstream.CallEnd.COMPLETE or not sink.genuine:
            return Outcome.LOST
        if isinstance(sink, StreamedAnswer) and sink.splitter.pending:
            return Outcome.LOST
        if sink.status >= SERVER_FAULT and self.route.idempotent:
            self.held = sink
            return Outcome.FAULT
        return Outcome.ANSWERED

    def note_health(
        self,
        choice: engines.Choice,
        outcome: Outcome,
        end: upstream.CallEnd,
        sink: HeldAnswer,
    ) -> None:
        """Tell the endpoint set how an endpoint did."""
        name = choice.endpoint.name
        now = clocks.boot_time()
        endpoints = self.gateway.endpoints
        if sink.genuine and sink.status == MISDIRECTED and not choice.helpers:
            endpoints.bury(name)
            LOG.info("endpoint is another now", endpoint=name)
        elif outcome in (Outcome.LOST, Outcome.NOT_RUN):
            address = sink.headers.get(self.names.faulty_peer, "")
            faulty = [
                known.name
                for known in choice.helpers
                if known.announcement.address == address
            ]
            unreachable = end is upstream.CallEnd.NOT_SENT
            for failed in faulty or [name]:
                rest_s = endpoints.on_failure(failed, now, unreachable)
                LOG.info(
                    "endpoint rests",
                    endpoint=failed,
                    rest_s=rest_s,
                    outcome=outcome.value,
                    end=end.value,
                )
        elif outcome is Outcome.ANSWERED and sink.status < SERVER_FAULT:
            endpoints.on_success(name)

    # --- work ------------------------------------------------------------

    def begin_work(self, choice: engines.Choice, now: float) -> None:
        """Count the request at its endpoints, here and at other gateways."""
        prompt = self.prompt()
        load = self.gateway.load
        known = (choice.endpoint, *choice.helpers)
        held = {share.endpoint.name: share.tokens for share in choice.shares}
        for place, endpoint in enumerate(known):
            work = workload.Work(endpoint=endpoint.name, sent_at=now)
            if prompt is not None:
                work.prompt_tokens = prompt.prompt_tokens
                work.output_tokens = prompt.output_tokens
                work.parts = len(known)
                work.gap_target_s = prompt.gap_target_s
                work.value = prompt.value
            work.leads = place == 0
            work.kv_tokens = held.get(endpoint.name, 0)
            if work.leads and prompt is not None:
                whole = prompt.prompt_tokens + prompt.output_tokens
                work.kv_tokens = whole - sum(held.values())
            self.work_keys.append(load.add(work))
        self.main_key = self.work_keys[0]
        self.gateway.tell_peers()

    def end_work(self) -> None:
        """Forget the request at its endpoints."""
        if not self.work_keys:
            return
        for key in self.work_keys:
            self.gateway.load.remove(key)
        self.work_keys.clear()
        self.gateway.tell_peers()

    def note_event(self) -> None:
        """Note that an event came: reading is over, a pause has ended."""
        load = self.gateway.load
        work = load.own.get(self.main_key)
        now = clocks.boot_time()
        if work is None:
            return
        if not work.writing:
            for key in self.work_keys:
                load.own[key].writing = True
                load.touch(key)
            self.gateway.note_first_event(now - self.request.arrived_at)
            self.gateway.tell_peers()
        elif now - self.last_event_at > work.gap_target_s > 0:
            # Late already; nothing more is lost by further pauses.
            work.gap_target_s = 0.0
            load.touch(self.main_key)
        self.last_event_at = now

    # --- the caller's answer ---------------------------------------------

    def open_stream(self, status: int, reason: str, headers) -> None:
        """Begin the caller's answer; a resumed stream keeps its first head."""
        if self.streaming:
            return
        self.streaming = True
        answer = answer_headers(headers)
        if "Content-Length" in answer:
            # Another endpoint may have to finish the stream.
            del answer["Content-Length"]
        self.write_head(status, reason, answer)

    def pass_events(self, events: list[eventstream.Event]):
        """Pass whole events on, each id once."""
        data = b""
        for event in events:
            known = self.last_event
            if event.number is not None:
                if known is not None and event.number <= known:
                    continue
                self.last_event = event.number
            data += event.data
        if not data:
            return None
        self.note_event()
        written = self.connection.write(data)
        written.add_done_callback(upstream.forget_failure)
        return written

    def write_head(self, status: int, reason: str, headers, body=None):
        """Write status and headers, and say when the connection closes."""
        if self.gateway.closes_connections():
            headers["Connection"] = "close"
            self.connection._disconnect_on_finish = True  # noqa: SLF001
        start = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        self.connection.stream.set_nodelay(True)
        written = self.connection.write_headers(start, headers, body)
        written.add_done_callback(upstream.forget_failure)

    def complete(self, sink: HeldAnswer) -> None:
        """End the caller's answer with an endpoint's whole answer."""
        if not self.streaming:
            body = b"".join(sink.parts)
            headers = answer_headers(sink.headers)
            headers["Content-Length"] = str(len(body))
            self.write_head(sink.status, sink.reason, headers, body)
        self.finish()
        self.gateway.note_answer(
            sink.status, clocks.boot_time() - self.request.arrived_at
        )

    def finish(self) -> None:
        """End the caller's answer as whole."""
        self.finished = True
        try:
            self.connection.finish()
        except iostream.StreamClosedError:
            LOG.info("caller gone at the end", request=self.request_id)

    def give_up(self, reason: str) -> None:
        """Send the final failure; "not run" only when it is proved."""
        if self.streaming:
            self.break_off(reason)
        elif (
            self.held is not None
            and self.held.parts is not None
            and (self.held.status >= SERVER_FAULT and self.may_have_run)
        ):
            LOG.info(
                "endpoint's failure passed on",
                request=self.request_id,
                status=self.held.status,
                reason=reason,
            )
            self.complete(self.held)
        elif self.may_have_run:
            self.refuse(
                errors.Failure(
                    errors.ErrorCode.ENDPOINT_FAILED,
                    reason,
                    errors.Ran.UNKNOWN,
                )
            )
        else:
            self.refuse(
                refusal(errors.ErrorCode.NO_ENDPOINT, reason, RETRY_AFTER_S)
            )

    def on_deadline(self) -> None:
        """Answer a request whose time is over."""
        if self.streaming:
            self.break_off("the time is over")
            return
        if not self.sends:
            self.refuse(
                refusal(errors.ErrorCode.UNAVAILABLE, "the time is over")
            )
            return
        self.refuse(
            errors.Failure(
                errors.ErrorCode.DEADLINE_EXCEEDED,
                "the time is over",
                errors.Ran.UNKNOWN,
            )
        )

    def break_off(self, reason: str) -> None:
        """Close the connection, as a half answer must not look whole."""
        LOG.warning(
            "stream broken off",
            request=self.request_id,
            last_event=self.last_event,
            reason=reason,
        )
        self.finished = True
        self.connection.close()
        self.gateway.note_failure("broken_off")

    def refuse(self, failure: errors.Failure) -> None:
        """Answer with a failure of our own."""
        view = self.gateway.view
        now = clocks.boot_time()
        LOG.info(
            "refused",
            request=self.request_id,
            code=failure.code.value,
            reason=failure.message,
            ran=failure.ran.value,
            route=self.route.name if self.route else "",
            version=view.version,
            proof_age_s=round(min(view.age_s(now), 1e6), 3),
            after_s=round(now - self.request.arrived_at, 3),
        )
        body = web.failure_body(failure)
        headers = httputil.HTTPHeaders(
            {
                "Content-Type": web.JSON_TYPE,
                "Content-Length": str(len(body)),
            }
        )
        if self.request_id:
            headers[self.names.request_id] = self.request_id
        if failure.retry_after_s is not None:
            headers[self.names.retry_after] = f"{failure.retry_after_s:g}"
        status = failure.http_status
        self.write_head(status, reason_of(status), headers, body)
        self.finish()
        self.gateway.note_failure(failure.code.value)


def refusal(
    code: errors.ErrorCode, message: str, retry_after_s: float | None = None
) -> errors.Failure:
    """Return a failure that proves that nothing ran."""
    return errors.Failure(code, message, errors.Ran.NO, retry_after_s)


def reason_of(status: int) -> str:
    """Return the usual reason phrase of a status."""
    return httputil.responses.get(status, "Failed")


def answer_headers(headers) -> httputil.HTTPHeaders:
    """Return an endpoint's headers without those of its connection."""
    answer = httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in names_lib.HOP_BY_HOP:
            answer.add(name, value)
    return answer
