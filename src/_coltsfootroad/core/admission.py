"""Decides at arrival whether a request can be served in its bound."""

import attrs

from _coltsfootroad.core import config as config_lib
from _coltsfootroad.core import errors
from _coltsfootroad.core import fairqueue
from _coltsfootroad.core import grouping
from _coltsfootroad.core import limits
from _coltsfootroad.core import pool as pool_lib
from _coltsfootroad.core import request as request_lib

# Part of the allowed output that answers use on average until learned.
INITIAL_OUTPUT_SHARE = 0.25
SMOOTHING = 0.05
ENTRY_RETRY_S = 1.0
NO_ENDPOINT_RETRY_S = 2.0
MIN_RETRY_S = 0.1


@attrs.define
class OutputShare:
    """Learns how much of the allowed output answers really use."""

    share: float = INITIAL_OUTPUT_SHARE

    def observe(self, allowed: int, used: int) -> None:
        """Learn from a finished answer."""
        if allowed > 0:
            seen = min(used / allowed, 1.0)
            self.share += SMOOTHING * (seen - self.share)


def refuse(
    code: errors.ErrorCode, message: str, retry_after_s: float | None = None
) -> errors.Failure:
    """Return a refusal of work that provably did not run."""
    return errors.Failure(code, message, errors.Ran.NO, retry_after_s)


def check_rights(
    request: request_lib.Request, config: config_lib.Config
) -> errors.Failure | None:
    """Return why configuration forbids a request, or None."""
    service = config.services.get(request.service)
    if service is None:
        return refuse(
            errors.ErrorCode.UNKNOWN_SERVICE,
            f"service {request.service!r} is not configured",
        )
    workspace = config.workspaces.get(request.workspace)
    if workspace is None:
        return refuse(
            errors.ErrorCode.UNAUTHORIZED,
            f"workspace {request.workspace!r} is not configured",
        )
    if request.service not in workspace.services:
        return refuse(
            errors.ErrorCode.FORBIDDEN_SERVICE,
            f"workspace {request.workspace!r} may not use"
            f" service {request.service!r}",
        )
    return check_size(request, service)


def check_size(
    request: request_lib.Request, service: config_lib.Service
) -> errors.Failure | None:
    """Return why a request is too large for its service, or None."""
    if request.prompt_tokens > service.max_prompt_tokens:
        return refuse(
            errors.ErrorCode.PROMPT_TOO_LONG,
            f"prompt has {request.prompt_tokens} tokens, service"
            f" {request.service!r} takes {service.max_prompt_tokens}",
        )
    if request.output_tokens > service.max_output_tokens:
        return refuse(
            errors.ErrorCode.BAD_REQUEST,
            f"max_tokens is {request.output_tokens}, service"
            f" {request.service!r} allows {service.max_output_tokens}",
        )
    return None


def check_capacity(
    request: request_lib.Request, pool: pool_lib.ServicePool
) -> errors.Failure | None:
    """Return why no endpoint can ever hold a request, or None."""
    if not pool.serving_count():
        return refuse(
            errors.ErrorCode.NO_ENDPOINT,
            f"no endpoint serves {request.service!r} now",
            NO_ENDPOINT_RETRY_S,
        )
    if not grouping.needs_group(request, pool):
        return None
    limit = grouping.group_capacity(pool)
    if request.cost_tokens > limit:
        return refuse(
            errors.ErrorCode.PROMPT_TOO_LONG,
            f"prompt and answer need {request.cost_tokens} tokens of memory,"
            f" the engines of {request.service!r} hold {limit} together",
        )
    return None


def queue_wait_s(
    queue: fairqueue.FairQueue, band: int, pool: pool_lib.ServicePool
) -> float:
    """Return the predicted wait behind this entry's own queue."""
    if not queue.size:
        return 0.0
    names = pool.short_only.names or pool.mixed.names
    if not names:
        return 0.0
    rate = pool.views[names[0]].speed.prefill_rate * pool.serving_count()
    # Engines are shared with the other entries, which wait as well.
    rate /= max(pool.entry_count, 1)
    return queue.tokens_ahead(band) / max(rate, 1.0)


def check_deadline(
    request: request_lib.Request,
    predicted_s: float,
    now: float,
) -> errors.Failure | None:
    """Return a refusal if the predicted finish is past the deadline."""
    left_s = request.deadline_at - now
    if predicted_s <= left_s:
        return None
    return refuse(
        errors.ErrorCode.DEADLINE_UNREACHABLE,
        f"predicted to finish in {predicted_s:.1f} s,"
        f" the deadline is in {max(left_s, 0.0):.1f} s",
        max(MIN_RETRY_S, round(predicted_s - left_s, 1)),
    )


def check_rate(
    request: request_lib.Request, meter: limits.WorkspaceMeter, now: float
) -> errors.Failure | None:
    """Return a refusal if the rate leaves no turn before the deadline.

    Waiting for it would only end at the deadline; the caller is told at
    once when to come back.
    """
    if not meter.has_lease(now):
        return None
    turn_at = meter.refill_at(now)
    if turn_at <= request.deadline_at:
        return None
    return refuse(
        errors.ErrorCode.RATE_LIMITED,
        f"workspace {request.workspace!r} is over its rate for another"
        f" {turn_at - now:.1f} s, past the deadline",
        round(turn_at - now, 1),
    )


def check_queue(
    request: request_lib.Request,
    queue: fairqueue.FairQueue,
    service: config_lib.Service,
    wait_s: float,
) -> errors.Failure | None:
    """Return a refusal if the service's queue is full."""
    if queue.size < service.max_queue:
        return None
    return refuse(
        errors.ErrorCode.QUEUE_FULL,
        f"{queue.size} requests wait for {request.service!r} here already",
        max(MIN_RETRY_S, round(wait_s / 2, 1)),
    )
