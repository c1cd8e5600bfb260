"""Follows dispatched attempts: progress, failure, retry and completion."""

import attrs

from _coltsfootroad.core import actions
from _coltsfootroad.core import admission
from _coltsfootroad.core import claiming
from _coltsfootroad.core import endpoints
from _coltsfootroad.core import errors
from _coltsfootroad.core import faults
from _coltsfootroad.core import flights as flights_lib
from _coltsfootroad.core import interfaces
from _coltsfootroad.core import request as request_lib
from _coltsfootroad.core import retries

# A stream without a chunk for this long counts as lost.
STREAM_IDLE_S = 20.0


Fault = faults.Fault


@attrs.define
class Attempts(interfaces.AttemptsInterface):
    """Handles attempts from their dispatch to the end of the request."""

    core: interfaces.AttemptContext

    def record_progress(self, flight: flights_lib.Flight, now: float) -> None:
        """Update speed estimates from a chunk and extend the timeout."""
        flight.progress_at = now
        self.core.flights.arm(flight, now + STREAM_IDLE_S)
        key = (flight.request_id, flight.attempt)
        pool = self.core.pool(flight.request.service)
        for part in flight.parts:
            view = self.core.view(part.endpoint)
            work = view.on_first_token(key, now) if view else None
            if work is None:
                continue
            pool.classify(view)
            pool.outliers.on_success(
                view.name, now - work.sent_at, work.predicted_s, now
            )
        if flight.first_token_at is None:
            flight.first_token_at = now
            self.core.dispatcher.dispatch_queued(flight.request.service, now)

    def emit(
        self, flight: flights_lib.Flight, chunk: request_lib.Chunk
    ) -> None:
        """Send a chunk to the caller; keep its data if a claim stores it."""
        if flight.request.needs_claim:
            flight.answer_parts.append(chunk.data)
        self.core.out.append(
            actions.Emit(request_id=flight.request_id, chunk=chunk)
        )

    def running_flight(
        self, request_id: str, attempt: int
    ) -> flights_lib.Flight | None:
        """Return the flight whose current attempt this is, if it is running.

        An abandoned attempt keeps its number until the next one starts, so the
        number alone does not show that it is running. Its endpoint may still
        hold memory for it.
        """
        flight = self.core.flights.get(request_id)
        if flight is None or flight.attempt != attempt:
            return None
        is_running = flight.state is flights_lib.FlightState.RUNNING
        return flight if is_running else None

    def release_work(
        self, endpoint: str, key: endpoints.WorkKey, now: float
    ) -> None:
        """Remove an attempt from an endpoint that has freed its memory."""
        self.core.releaser.confirmed(endpoint, key)
        view = self.core.view(endpoint)
        if view is None:
            return
        view.remove_work(key, now)
        pool = self.core.pools[self.core.endpoint_service[endpoint]]
        pool.classify(view)
        self.core.dispatcher.dispatch_queued(pool.service, now)

    def handle_failed_attempt(
        self,
        flight: flights_lib.Flight,
        endpoint: str,
        fault: Fault,
        now: float,
    ) -> None:
        """Retry a failed attempt if that is safe, else fail its request."""
        outliers = self.core.pool(flight.request.service).outliers
        if fault is Fault.NOT_SENT:
            outliers.on_refused(endpoint, now)
        else:
            outliers.on_failure(endpoint, now)
        nothing_ran = fault is not Fault.LOST and len(flight.parts) == 1
        if nothing_ran:
            flight.may_have_run = flight.had_lost_attempt
        else:
            flight.had_lost_attempt = True
        self.release_parts(flight, now, freed=nothing_ran)
        if flight.request.non_idempotent and flight.may_have_run:
            self.fail(flight, endpoint_failed(endpoint), now)
            return
        exhausted = flight.attempt >= retries.MAX_ATTEMPTS
        if exhausted or not self.core.budget.take():
            self.fail(
                flight, endpoint_failed(endpoint, may_have_run(flight)), now
            )
            return
        self.core.counters.retries += 1
        if flight.stream.next_offset:
            self.core.counters.resumed += 1
        flight.avoided_endpoints.add(endpoint)
        flight.state = flights_lib.FlightState.BACKOFF
        pause = retries.backoff_s(flight.attempt, self.core.rng)
        self.core.flights.arm(flight, now + pause)

    def release_parts(
        self, flight: flights_lib.Flight, now: float, freed: bool
    ) -> None:
        """Release the memory of the current attempt on all its engines.

        With `freed` the engines are known to hold none. Otherwise cancels are
        sent to each engine until it confirms.
        """
        key = (flight.request_id, flight.attempt)
        for part in flight.parts:
            view = self.core.view(part.endpoint)
            if view is None or key not in view.work:
                continue
            if freed:
                view.remove_work(key, now)
                self.core.pool(flight.request.service).classify(view)
            else:
                self.core.counters.cancels += 1
                self.core.out.append(self.core.releaser.release(view, key, now))
        flight.parts = ()
        self.core.dispatcher.release_group(flight)

    def finish(
        self,
        flight: flights_lib.Flight,
        answer: request_lib.Answer | None,
        now: float,
    ) -> None:
        """End a flight whose answer is complete."""
        self.observe_answer(flight, now)
        leader = flight.parts[0].endpoint
        key = (flight.request_id, flight.attempt)
        self.release_work(leader, key, now)
        flight.parts = flight.parts[1:]
        self.release_parts(flight, now, freed=False)
        request = flight.request
        if flight.claim_granted:
            stored = answer or request_lib.Answer(
                status=200,
                body=b"".join(flight.answer_parts),
                content_type=claiming.STREAM_CONTENT_TYPE,
            )
            self.core.out.append(
                actions.SettleClaim(
                    request=request, ran=errors.Ran.YES, answer=stored
                )
            )
        self.core.counters.finished += 1
        self.end(flight, flight.stream.next_offset, now)
        self.core.out.append(
            actions.Finish(request_id=flight.request_id, answer=answer)
        )

    def observe_answer(self, flight: flights_lib.Flight, now: float) -> None:
        """Update decode speed and output share from a complete answer."""
        tokens = flight.stream.next_offset
        if flight.first_token_at is None or tokens < 2:
            return
        view = self.core.view(flight.parts[0].endpoint)
        if view is not None:
            view.speed.observe_decode(tokens - 1, now - flight.first_token_at)
        share = self.core.output_share(flight.request.service)
        share.observe(flight.request.output_tokens, tokens)

    def fail(
        self,
        flight: flights_lib.Flight,
        failure: errors.Failure,
        now: float,
    ) -> None:
        """End a flight with its final failure."""
        ran = may_have_run(flight)
        if failure.ran is errors.Ran.NO and ran is not errors.Ran.NO:
            failure = attrs.evolve(failure, ran=ran)
        self.release_parts(flight, now, freed=False)
        if flight.claim_granted or flight.claim_tries:
            self.core.out.append(
                actions.SettleClaim(request=flight.request, ran=failure.ran)
            )
        self.core.counters.failed += 1
        self.end(flight, 0, now)
        self.core.out.append(
            actions.Fail(request_id=flight.request_id, failure=failure)
        )

    def end(self, flight: flights_lib.Flight, used: int, now: float) -> None:
        """Remove a flight from every table; `used` is its output tokens."""
        request = flight.request
        self.core.dispatcher.queue(request.service).remove(request)
        meter = self.core.limits.meter(request.workspace)
        if flight.charged:
            unused = max(0, request.output_tokens - used)
            meter.finish(unused if used else 0)
        else:
            meter.waiting -= 1
        self.core.flights.remove(flight)
        self.core.dispatcher.dispatch_queued(request.service, now)


def may_have_run(flight: flights_lib.Flight) -> errors.Ran:
    """Return whether the work of a failed flight may have run."""
    return errors.Ran.UNKNOWN if flight.may_have_run else errors.Ran.NO


def endpoint_failed(
    endpoint: str, ran: errors.Ran = errors.Ran.UNKNOWN
) -> errors.Failure:
    """Return the failure of a request whose last attempt failed."""
    return errors.Failure(
        errors.ErrorCode.ENDPOINT_FAILED,
        f"endpoint {endpoint!r} failed before the answer was whole",
        ran,
        admission.ENTRY_RETRY_S if ran is errors.Ran.NO else None,
    )


def deadline_exceeded(flight: flights_lib.Flight) -> errors.Failure:
    """Return the failure of a request whose deadline has passed."""
    return errors.Failure(
        errors.ErrorCode.DEADLINE_EXCEEDED,
        f"the deadline passed while the request was {flight.state.value}",
        may_have_run(flight),
    )


def no_endpoint(flight: flights_lib.Flight) -> errors.Failure:
    """Return the failure of a request whose service has no endpoint left."""
    return errors.Failure(
        errors.ErrorCode.NO_ENDPOINT,
        f"no endpoint serves {flight.request.service!r} any more",
        may_have_run(flight),
        admission.NO_ENDPOINT_RETRY_S,
    )


def caller_gone() -> errors.Failure:
    """Return the failure of a request whose caller has disconnected."""
    return errors.Failure(
        errors.ErrorCode.CALLER_GONE, "the caller closed the connection"
    )
