"""Plans groups of engines for prompts that exceed one engine's memory."""

import math

import attrs

from _coltsfootroad.core import actions
from _coltsfootroad.core import endpoints
from _coltsfootroad.core import pool as pool_lib
from _coltsfootroad.core import request as request_lib
from _coltsfootroad.core import servicekind

MAX_GROUP = 8
# Share of an engine's KV cache that a group may reserve.
USABLE_SHARE = 0.95
GROUP_LEASE_S = 10.0


@attrs.frozen(kw_only=True)
class GroupPlan:
    """The parts of a prompt and the predicted time to first token.

    The first part is the one of the engine that generates the output.
    """

    parts: tuple[actions.Part, ...]
    predicted_s: float

    @property
    def engines(self) -> dict[str, int]:
        """Return the KV cache tokens to reserve on each engine."""
        return {p.endpoint: p.kv_tokens for p in self.parts}


def needs_group(
    request: request_lib.Request, pool: pool_lib.ServicePool
) -> bool:
    """Return whether a request exceeds the memory of every engine."""
    if request.kind is servicekind.ServiceKind.PLAIN:
        return False
    return request.cost_tokens > pool.largest_kv


def group_capacity(pool: pool_lib.ServicePool) -> int:
    """Return the number of tokens that the largest possible group holds."""
    sizes = sorted(
        (v.announcement.kv_tokens for v in pool.views.values() if v.accepts),
        reverse=True,
    )
    return int(sum(sizes[:MAX_GROUP]) * USABLE_SHARE)


def plan(
    request: request_lib.Request,
    band: int,
    pool: pool_lib.ServicePool,
    avoid: set[str],
    now: float,
) -> GroupPlan | None:
    """Return the smallest group that can hold a request, least busy first.

    Of engines with the same wait, mixed ones are preferred, which leaves the
    short-only ones to short prompts.
    """
    views = [
        v
        for v in pool.any_usable(now)
        if v.name not in avoid and not v.kv_group_held
    ]
    views.sort(key=lambda v: engine_order(v, band, pool))
    views = put_reserved_last(views, pool, now)
    return smallest_group(
        request, band, views, free_now=True
    ) or smallest_group(request, band, views, free_now=False)


def smallest_group(
    request: request_lib.Request,
    band: int,
    views: list[endpoints.EndpointView],
    free_now: bool,
) -> GroupPlan | None:
    """Return the smallest group whose engines have room, now or when empty.

    Callers try engines with room now first: a group that is chosen only by the
    lengths of its queues waits until other prompts have been answered in full.
    """
    for count in range(2, min(MAX_GROUP, len(views)) + 1):
        per_engine = math.ceil(request.cost_tokens / count)
        roomy = [v for v in views if has_room(v, per_engine, free_now)]
        if len(roomy) >= count:
            return make_plan(request, band, roomy[:count], per_engine)
    return None


def has_room(view: endpoints.EndpointView, tokens: int, free_now: bool) -> bool:
    """Return whether an engine has room for a part, now or when empty."""
    if free_now:
        return view.kv_free >= tokens
    return view.announcement.kv_tokens * USABLE_SHARE >= tokens


def put_reserved_last(
    views: list[endpoints.EndpointView],
    pool: pool_lib.ServicePool,
    now: float,
) -> list[endpoints.EndpointView]:
    """Move the short-only engines that short prompts need to the end."""
    reserved = set(
        list(pool.short_only.names)[-max(1, pool.short_headroom(now)) :]
    )
    return sorted(views, key=lambda v: v.name in reserved)


def engine_order(
    view: endpoints.EndpointView, band: int, pool: pool_lib.ServicePool
) -> tuple:
    """Return the sort key of an engine: wait, kind, shared rank."""
    waiting_s = view.speed.prefill_s(view.tokens_ahead(band))
    rank = pool_lib.fleet_rank(pool.service, view.name)
    return (round(waiting_s, 1), view.is_short_only(), rank)


def make_plan(
    request: request_lib.Request,
    band: int,
    views: list[endpoints.EndpointView],
    per_engine: int,
) -> GroupPlan:
    """Return a plan that splits a request evenly over engines."""
    tokens = math.ceil(request.prompt_tokens / len(views))
    parts = tuple(
        actions.Part(
            endpoint=view.name,
            index=index,
            prompt_tokens=tokens,
            kv_tokens=per_engine,
        )
        for index, view in enumerate(views)
    )
    slowest = max(
        v.speed.prefill_s(v.tokens_ahead(band) + tokens) for v in views
    )
    return GroupPlan(parts=parts, predicted_s=slowest)
