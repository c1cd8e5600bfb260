"""Routing policies: choose an endpoint for a request or keep it queued."""

import abc
from collections.abc import Callable
import math

import attrs

from _coltsfootroad.core import config as config_lib
from _coltsfootroad.core import endpoints
from _coltsfootroad.core import pool as pool_lib
from _coltsfootroad.core import request as request_lib
from _coltsfootroad.core import servicekind

# Endpoints compared per choice. A fixed number keeps the cost of a choice
# independent of the size of the fleet.
SAMPLE_SIZE = 8
# A request with more prefill seconds than this ahead of it stays queued at the
# entry, where it can still be reordered. The limit has to exceed the delay of
# load reports, or engines would run idle.
MAX_AHEAD_S = 4.0
# Short-only engines that are compared for a long prompt.
LONG_PROMPT_CHOICES = 2
# Engines checked for free memory, per choice.
MAX_SCANNED = 32
# Cost of sending a long prompt to a short-only engine that short prompts need,
# as a multiple of the prompt's own prefill time.
SHORT_ONLY_PENALTY = 2.0


@attrs.frozen(kw_only=True)
class Choice:
    """A decision to dispatch.

    Attributes:
        endpoint: Name of the endpoint.
        predicted_s: Predicted time to first token, in seconds.
        prompt_tokens: Tokens to prefill, without those in the prefix cache.
    """

    endpoint: str
    predicted_s: float
    prompt_tokens: int


class Policy(abc.ABC):
    """Chooses the endpoint of a request."""

    name = ""
    uses_priorities = False
    shares_notes = False

    @abc.abstractmethod
    def choose(
        self,
        request: request_lib.Request,
        band: int,
        pool: pool_lib.ServicePool,
        now: float,
    ) -> Choice | None:
        """Return a choice, or None if the request should stay queued."""


def fits(
    view: endpoints.EndpointView, request: request_lib.Request, free: bool
) -> bool:
    """Return whether a request fits an engine's total or free KV cache."""
    if request.kind is servicekind.ServiceKind.PLAIN:
        return True
    room = view.kv_free if free else view.announcement.kv_tokens
    return request.cost_tokens <= room


def uncached_choice(view, request, band=0) -> Choice:
    """Return the choice of an endpoint, assuming no cached prefix."""
    tokens_ahead = view.tokens_ahead(band)
    return Choice(
        endpoint=view.name,
        predicted_s=view.speed.prefill_s(tokens_ahead + request.prompt_tokens),
        prompt_tokens=request.prompt_tokens,
    )


class RoundRobin(Policy):
    """Chooses the endpoints in turn."""

    name = "round_robin"

    def __init__(self):
        self.turn = 0

    def choose(self, request, band, pool, now):
        """Return the next endpoint whose total memory fits the request."""
        names = pool.all_names()
        for _ in range(len(names)):
            self.turn += 1
            view = pool.views[names[self.turn % len(names)]]
            if fits(view, request, free=False):
                return uncached_choice(view, request)
        return None


class LeastRequests(Policy):
    """Chooses the endpoint with the fewest requests in flight."""

    name = "least_requests"

    def choose(self, request, band, pool, now):
        """Return the endpoint with the fewest reported and own requests."""
        views = [
            v
            for v in (pool.views[n] for n in pool.all_names())
            if fits(v, request, free=False)
        ]
        if not views:
            return None
        pool.rng.shuffle(views)
        return uncached_choice(min(views, key=request_count), request)


def request_count(view: endpoints.EndpointView) -> int:
    """Return the reported requests plus the own ones not yet reported."""
    unreported = sum(
        1 for w in view.work.values() if w.mark > view.reported_mark
    )
    return view.running + unreported


class TwoRandomChoices(Policy):
    """Chooses the less loaded of two random endpoints."""

    name = "two_random_choices"

    def choose(self, request, band, pool, now):
        """Return the endpoint with fewer requests of two random ones."""
        names = [
            n
            for n in pool.all_names()
            if fits(pool.views[n], request, free=False)
        ]
        if not names:
            return None
        picked = pool.rng.sample(names, min(2, len(names)))
        views = [pool.views[n] for n in picked]
        return uncached_choice(min(views, key=request_count), request)


class TokenBacklog(Policy):
    """Chooses the endpoint with the fewest pending prompt tokens."""

    name = "token_backlog"

    def choose(self, request, band, pool, now):
        """Return the endpoint with the smallest backlog."""
        views = []
        for name in pool.all_names():
            view = pool.views[name]
            view.advance(now)
            if fits(view, request, free=False):
                views.append(view)
        if not views:
            return None
        pool.rng.shuffle(views)
        best = min(views, key=lambda v: v.total_backlog())
        return uncached_choice(best, request)


class LengthAware(Policy):
    """Base of the policies that predict the time to first token.

    Each choice compares a bounded number of endpoints.
    """

    uses_priorities = True
    shares_notes = True
    sample_size = SAMPLE_SIZE
    max_ahead_s = MAX_AHEAD_S

    def choose(self, request, band, pool, now):
        """Return the endpoint with the earliest predicted first token."""
        pool.recheck(now)
        candidates = self.candidates(request, band, pool, now)
        candidates += self.cache_holders(request, pool, now, candidates)
        options = [
            self.option(view, request, band, pool, now)
            for view in candidates
            if fits(view, request, free=True)
        ]
        if not options:
            options = self.fallback_options(request, band, pool, now)
        if not options:
            return None
        best = min(options, key=lambda option: option[0])
        _, waiting_s, choice = best
        if waiting_s > self.max_ahead_s:
            return None
        return choice

    def fallback_options(self, request, band, pool, now):
        """Return options beyond a sample in which no endpoint has room."""
        return []

    def candidates(self, request, band, pool, now):
        """Return the endpoints to compare."""
        return pool.sample(self.sample_size, now)

    def cache_holders(self, request, pool, now, known):
        """Return endpoints beyond the sample that may cache the prefix."""
        names = pool.prefixes.likely_holders(request.prefix_hashes)
        known_names = {view.name for view in known}
        wanted = [
            n
            for n in names
            if n not in known_names
            and (n in pool.short_only or n in pool.mixed)
        ]
        return pool.usable(wanted, now)

    def option(self, view, request, band, pool, now):
        """Return the cost, the prefill seconds ahead and the choice."""
        cached = pool.prefixes.cached_share(
            view.name, request.prefix_hashes, now
        )
        tokens = max(1, round(request.prompt_tokens * (1 - cached)))
        waiting_s = view.speed.prefill_s(view.tokens_ahead(band))
        predicted_s = waiting_s + view.speed.prefill_s(tokens)
        cost = predicted_s * pool.outliers.slow_start_factor(view.name, now)
        choice = Choice(
            endpoint=view.name, predicted_s=predicted_s, prompt_tokens=tokens
        )
        return cost, waiting_s, choice


class TtftAllLengths(LengthAware):
    """Minimizes time to first token for prompts of every length.

    The engines themselves prefill short prompts first.
    """

    name = "ttft_all_lengths"

    def fallback_options(self, request, band, pool, now):
        """Return options beyond a sample in which no endpoint has room."""
        names = pool.short_only.first(MAX_SCANNED) + pool.mixed.first(
            MAX_SCANNED
        )
        return [
            self.option(view, request, band, pool, now)
            for view in pool.usable(names, now)
            if fits(view, request, free=True)
        ]


class ShortSlowdown(LengthAware):
    """Keeps enough engines free of long prompts to serve the short ones.

    A long prompt may join engines that already prefill long prompts (mixed
    engines). It may use a short-only engine at no extra cost while more of
    them are left than the short load needs. Beyond that, a short-only engine
    costs a multiple of the prompt's own prefill time, for the delays that
    short prompts suffer. The engines that the short load itself keeps busy
    are never offered. All entries offer short-only engines in the same order,
    so that they turn the same engines into mixed ones.
    """

    name = "short_slowdown"

    def candidates(self, request, band, pool, now):
        """Return a sample; for a long prompt mainly mixed engines."""
        if band == 0:
            return pool.sample(self.sample_size, now)
        names = pool.mixed.sample(self.sample_size, pool.rng)
        spare = len(pool.short_only) - math.ceil(pool.short_load(now))
        if spare > 0 or not len(pool.mixed):
            names += self.first_with_room(request, max(1, spare), pool)
        return pool.usable(names, now)

    def first_with_room(self, request, spare, pool):
        """Return the first spare short-only engines that have room now.

        A short-only engine may still decode for long prompts and have no free
        memory. Offering only the first two of the order made prompts wait for
        those while a dozen other engines were idle.
        """
        offered = pool.short_only.first(min(spare, MAX_SCANNED))
        with_room = [
            n for n in offered if fits(pool.views[n], request, free=True)
        ]
        return with_room[:LONG_PROMPT_CHOICES]

    def option(self, view, request, band, pool, now):
        """Add the cost of using an engine that short prompts need."""
        cost, waiting_s, choice = super().option(view, request, band, pool, now)
        scarce = len(pool.short_only) <= pool.short_headroom(now)
        if band > 0 and scarce and view.name in pool.short_only:
            cost += SHORT_ONLY_PENALTY * view.speed.prefill_s(
                choice.prompt_tokens
            )
        return cost, waiting_s, choice


class Oracle(ShortSlowdown):
    """Knows the exact present state, but not the future: an upper bound."""

    name = "oracle"

    def __init__(self, refresh: Callable[[endpoints.EndpointView], None]):
        self.refresh = refresh

    def choose(self, request, band, pool, now):
        """Refresh the view of every endpoint, then choose."""
        for view in pool.views.values():
            self.refresh(view)
            pool.classify(view)
        self.sample_size = max(SAMPLE_SIZE, len(pool.views))
        return super().choose(request, band, pool, now)


class PlainService(Policy):
    """Chooses the least busy of a few random endpoints of a plain service."""

    name = "plain"

    def choose(self, request, band, pool, now):
        """Return the endpoint with the fewest own requests in flight."""
        views = pool.sample(SAMPLE_SIZE, now)
        if not views:
            return None
        best = min(
            views,
            key=lambda v: (
                (v.active_count + 1)
                * pool.outliers.slow_start_factor(v.name, now)
            ),
        )
        return Choice(endpoint=best.name, predicted_s=0.0, prompt_tokens=1)


BASELINE_POLICIES = (RoundRobin, LeastRequests, TwoRandomChoices, TokenBacklog)
LENGTH_AWARE_POLICIES = (ShortSlowdown, TtftAllLengths)


def for_service(service: config_lib.Service) -> Policy:
    """Return the policy that a service's configuration selects."""
    if service.kind is servicekind.ServiceKind.PLAIN:
        return PlainService()
    if service.objective is config_lib.Objective.TTFT_ALL_LENGTHS:
        return TtftAllLengths()
    return ShortSlowdown()
