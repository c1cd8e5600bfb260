"""Claims the idempotency key of a non-idempotent request before dispatch."""

from _coltsfootroad.control import messages
from _coltsfootroad.core import actions
from _coltsfootroad.core import admission
from _coltsfootroad.core import errors
from _coltsfootroad.core import flights
from _coltsfootroad.core import interfaces
from _coltsfootroad.core import request as request_lib

CLAIM_RETRY_S = 0.5
MAX_CLAIM_TRIES = 6
# Content type of stored engine answers, the joined data of their chunks.
STREAM_CONTENT_TYPE = "text/x-engine-output"

Status = messages.ClaimStatus

REFUSALS = {
    Status.IN_PROGRESS: (
        errors.ErrorCode.IN_PROGRESS,
        "another request with this idempotency key is in progress",
        errors.Ran.UNKNOWN,
    ),
    Status.NOT_STORED: (
        errors.ErrorCode.ANSWER_NOT_STORED,
        "this idempotency key ran; its answer was too large to keep",
        errors.Ran.YES,
    ),
    Status.UNKNOWN: (
        errors.ErrorCode.OUTCOME_UNKNOWN,
        "this idempotency key may have run; its outcome was lost",
        errors.Ran.UNKNOWN,
    ),
    Status.KEY_REUSED: (
        errors.ErrorCode.KEY_REUSED,
        "this idempotency key was used with another body",
        errors.Ran.NO,
    ),
    Status.KEY_EXPIRED: (
        errors.ErrorCode.KEY_EXPIRED,
        "the time in this idempotency key is outside what is kept",
        errors.Ran.NO,
    ),
    Status.FULL: (
        errors.ErrorCode.CLAIM_UNAVAILABLE,
        "no more idempotency keys can be kept now",
        errors.Ran.NO,
    ),
}


def begin(
    core: interfaces.ClaimContext, flight: flights.Flight, now: float
) -> None:
    """Request the claim and arm the timer for its answer."""
    flight.state = flights.FlightState.CLAIMING
    flight.claim_tries += 1
    core.out.append(actions.TakeClaim(request=flight.request))
    core.flights.arm(flight, now + CLAIM_RETRY_S)


def retry(
    core: interfaces.ClaimContext, flight: flights.Flight, now: float
) -> None:
    """Request the claim again with the same token, or fail the flight."""
    if flight.claim_tries < MAX_CLAIM_TRIES:
        begin(core, flight, now)
        return
    refusal = admission.refuse(
        errors.ErrorCode.CLAIM_UNAVAILABLE,
        "the control state did not answer; the call was not made",
        admission.ENTRY_RETRY_S,
    )
    core.attempts.fail(flight, refusal, now)


def on_answer(
    core: interfaces.ClaimContext,
    flight: flights.Flight,
    answer: messages.ClaimAnswer,
    now: float,
) -> None:
    """Enqueue, answer or fail a flight by the status of its claim."""
    if flight.state is not flights.FlightState.CLAIMING:
        # A duplicate of an answer that was handled before.
        return
    if answer.status is Status.GRANTED:
        flight.claim_granted = True
        core.enqueue(flight, now)
        return
    # Another request holds the key, so this flight must not settle the claim.
    flight.claim_tries = 0
    if answer.status is Status.DONE:
        return_stored_answer(core, flight, answer.answer, now)
        return
    code, message, ran = REFUSALS[answer.status]
    core.attempts.fail(
        flight,
        errors.Failure(code, message, ran, answer.retry_after_s),
        now,
    )


def return_stored_answer(
    core: interfaces.ClaimContext,
    flight: flights.Flight,
    answer: request_lib.Answer,
    now: float,
) -> None:
    """Answer a resend with the stored answer of the first run."""
    core.counters.finished += 1
    core.attempts.end(flight, 0, now)
    core.out.append(actions.Finish(request_id=flight.request_id, answer=answer))
