"""Checks that a service counts as served, offered or not run only what was.

The checks compare what callers and endpoints saw, in a soak or in a play of
one gateway.
"""

import collections
import json

from features.soak import audit

# A send with less time left reaches no endpoint that could still respond.
MIN_OFFER_S = 0.01
# Part of the time until its deadline that a request may wait for its refusal,
# so that the caller can try again.
MAX_REFUSAL_SHARE = 0.5


def check(
    observed: audit.Observations,
    tolerance_s: float = audit.TIME_TOLERANCE_S,
) -> list[str]:
    """Return a message for each violation.

    Args:
        observed: What callers and endpoints saw.
        tolerance_s: Tolerance of time bounds, for delays on a loaded machine.
    """
    runs = by_request(observed.runs)
    offers = by_request(observed.offers)
    responses = by_request(observed.responses)
    violations = []
    for outcome in observed.outcomes:
        request = outcome.request
        violations += check_not_run(outcome, runs[request])
        violations += check_offers(outcome, offers[request])
        if audit.is_disturbed(outcome, observed):
            continue
        violations += check_free_endpoints(outcome, offers[request], observed)
        violations += check_refusal_time(outcome, offers[request], tolerance_s)
        if all(
            run.undisturbed for run in runs[request]
        ) and not may_break_in_forwarding(outcome, observed):
            violations += check_ready(outcome, responses[request], tolerance_s)
    return violations


def may_break_in_forwarding(
    outcome: audit.Outcome, observed: audit.Observations
) -> bool:
    """Return whether a gateway may have ended that a request went through.

    A gateway that was cut off forwards its requests for some time after the
    cut as well.
    """
    forwards = any(
        cut.gateway == outcome.gateway
        and cut.begin <= outcome.ended_at
        and cut.end + audit.CONTACT_S >= outcome.started_at
        for cut in observed.cuts
    )
    return forwards and any(
        span.begin <= outcome.ended_at and span.end >= outcome.started_at
        for span in observed.disturbances
    )


def by_request(records: list) -> dict[str, list]:
    """Return records grouped by their request."""
    found = collections.defaultdict(list)
    for record in records:
        found[record.request].append(record)
    return found


def claims_not_run(outcome: audit.Outcome) -> bool:
    """Return whether the caller was told that its request has not run."""
    if outcome.status in audit.NOT_RUN_STATUSES:
        return True
    if outcome.status < 400 or not outcome.complete:
        return False
    try:
        return json.loads(outcome.body)["error"]["ran"] == "no"
    except (ValueError, KeyError, TypeError):
        # An endpoint's own error response states nothing.
        return False


def check_not_run(outcome: audit.Outcome, runs: list) -> list[str]:
    """Check that "not run" is true, for requests of all kinds."""
    if not runs or not claims_not_run(outcome):
        return []
    return [f"{outcome.request} got {outcome.status}, not run, and has run"]


def check_offers(outcome: audit.Outcome, offers: list) -> list[str]:
    """Check that each send left an endpoint enough time to respond."""
    return [
        f"{outcome.request} was sent with {offer.left_s:.3f} s left"
        for offer in offers
        if offer.left_s < MIN_OFFER_S
    ]


def check_ready(
    outcome: audit.Outcome, responses: list, tolerance_s: float
) -> list[str]:
    """Check that a response that is ready in time is delivered, also late."""
    due_at = outcome.started_at + outcome.deadline_s - tolerance_s
    ready = [found for found in responses if found.at <= due_at]
    if not ready or audit.is_served(outcome):
        return []
    ready_s = ready[0].at - outcome.started_at
    return [
        f"{outcome.request} got {outcome.status}, its response was ready after"
        f" {ready_s:.2f} s of {outcome.deadline_s:.2f} s"
    ]


def check_refusal_time(
    outcome: audit.Outcome, offers: list, tolerance_s: float
) -> list[str]:
    """Check that a request that was not sent is refused early."""
    if offers or not claims_not_run(outcome):
        return []
    took_s = outcome.ended_at - outcome.started_at
    if took_s <= MAX_REFUSAL_SHARE * outcome.deadline_s + tolerance_s:
        return []
    return [
        f"{outcome.request} was refused after {took_s:.2f} s of"
        f" {outcome.deadline_s:.2f} s and never sent"
    ]


def check_free_endpoints(
    outcome: audit.Outcome, offers: list, observed: audit.Observations
) -> list[str]:
    """Check that no request is refused while an endpoint is free."""
    if offers or not claims_not_run(outcome):
        return []
    if outcome.deadline_s < MIN_OFFER_S:
        return []
    return [
        f"{outcome.request} got {outcome.status} while endpoints were free"
        for begin, end in observed.free
        if begin <= outcome.started_at and outcome.ended_at <= end
    ]
