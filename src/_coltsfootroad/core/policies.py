"""Routing policies: which endpoint takes a request, and when to wait."""

import abc
from collections.abc import Callable
import math

import attrs

from _coltsfootroad.core import config as config_lib
from _coltsfootroad.core import endpoints
from _coltsfootroad.core import pool as pool_lib
from _coltsfootroad.core import request as request_lib
from _coltsfootroad.core import servicekind

# Endpoints compared per choice; the cost of a choice does not grow with
# the fleet.
SAMPLE_SIZE = 8
# Prompt seconds ahead of a request beyond which it waits at the entry, where
# the order can still change. Above the report lag, or engines would idle.
MAX_AHEAD_S = 4.0
# Clean engines that a long prompt may choose from.
LONG_PROMPT_CHOICES = 2
# Clean engines looked at for room.
MAX_SCANNED = 32
# Price, in reading times of its own, of a long prompt on a clean engine that
# short ones need.
SHORT_ONLY_PENALTY = 2.0


@attrs.frozen(kw_only=True)
class Choice:
    """A decision to dispatch.

    Attributes:
        endpoint: Name of the endpoint.
        predicted_s: Predicted seconds to the first token.
        prompt_tokens: Tokens that must be read, without cached ones.
    """

    endpoint: str
    predicted_s: float
    prompt_tokens: int


class Policy(abc.ABC):
    """Chooses an endpoint for one request."""

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
        """Return a choice, or None when the request should wait."""


def fits(
    view: endpoints.EndpointView, request: request_lib.Request, free: bool
) -> bool:
    """Return whether a request fits an engine's memory (or its free part)."""
    if request.kind is servicekind.ServiceKind.PLAIN:
        return True
    room = view.kv_free if free else view.announcement.kv_tokens
    return request.cost_tokens <= room


def uncached_choice(view, request, band=0) -> Choice:
    """Return the choice of an endpoint without any cache."""
    ahead = view.ahead(band)
    return Choice(
        endpoint=view.name,
        predicted_s=view.speed.prefill_s(ahead + request.prompt_tokens),
        prompt_tokens=request.prompt_tokens,
    )


class RoundRobin(Policy):
    """Takes the endpoints in turn."""

    name = "round_robin"

    def __init__(self):
        self.turn = 0

    def choose(self, request, band, pool, now):
        """Return the next endpoint that can ever hold the request."""
        names = pool.all_names()
        for _ in range(len(names)):
            self.turn += 1
            view = pool.views[names[self.turn % len(names)]]
            if fits(view, request, free=False):
                return uncached_choice(view, request)
        return None


class LeastRequests(Policy):
    """Takes the endpoint with the fewest requests in flight."""

    name = "least_requests"

    def choose(self, request, band, pool, now):
        """Return the endpoint with the fewest own and reported requests."""
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
    """Return the requests at an endpoint: reported, plus own unreported."""
    unreported = sum(
        1 for w in view.work.values() if w.mark > view.reported_mark
    )
    return view.running + unreported


class TwoRandomChoices(Policy):
    """Takes the less loaded of two random endpoints."""

    name = "two_random_choices"

    def choose(self, request, band, pool, now):
        """Return the one of two that has fewer requests."""
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
    """Takes the endpoint with the fewest waiting prompt tokens."""

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
    """Common part of our policies: predicted first token, bounded choices."""

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
        """Return options outside a sample in which nothing had room."""
        return []

    def candidates(self, request, band, pool, now):
        """Return the endpoints that are compared."""
        return pool.sample(self.sample_size, now)

    def cache_holders(self, request, pool, now, known):
        """Return endpoints outside the sample that may hold the prefix."""
        names = pool.prefixes.likely_holders(request.prefix_hashes)
        have = {view.name for view in known}
        wanted = [
            n
            for n in names
            if n not in have and (n in pool.short_only or n in pool.mixed)
        ]
        return pool.usable(wanted, now)

    def option(self, view, request, band, pool, now):
        """Return an endpoint's cost, seconds ahead, and the choice."""
        cached = pool.prefixes.cached_share(
            view.name, request.prefix_hashes, now
        )
        tokens = max(1, round(request.prompt_tokens * (1 - cached)))
        waiting_s = view.speed.prefill_s(view.ahead(band))
        predicted_s = waiting_s + view.speed.prefill_s(tokens)
        cost = predicted_s * pool.outliers.slow_start_factor(view.name, now)
        choice = Choice(
            endpoint=view.name, predicted_s=predicted_s, prompt_tokens=tokens
        )
        return cost, waiting_s, choice


class TtftAllLengths(LengthAware):
    """Earliest first token for every length; engines serve short first."""

    name = "ttft_all_lengths"

    def fallback_options(self, request, band, pool, now):
        """Return options outside a sample in which nothing had room."""
        names = pool.short_only.first(MAX_SCANNED) + pool.mixed.first(
            MAX_SCANNED
        )
        return [
            self.option(view, request, band, pool, now)
            for view in pool.usable(names, now)
            if fits(view, request, free=True)
        ]


class ShortSlowdown(LengthAware):
    """Keeps enough engines free of long prompts for the short ones.

    A long prompt joins engines that read long prompts already, and takes a
    clean one freely while more stay clean than the short load needs. Past
    that a clean engine costs it a multiple of its own reading time, the
    price of the waits that it causes; the last ones, which the short load
    keeps busy by itself, it never gets. Clean engines are offered in an
    order that all entries share, so that they dirty the same ones.
    """

    name = "short_slowdown"

    def candidates(self, request, band, pool, now):
        """Return clean engines for a short prompt, else the long lane."""
        if band == 0:
            return pool.sample(self.sample_size, now)
        names = pool.mixed.sample(self.sample_size, pool.rng)
        spare = len(pool.short_only) - math.ceil(pool.short_load(now))
        if spare > 0 or not len(pool.mixed):
            names += self.first_with_room(request, max(1, spare), pool)
        return pool.usable(names, now)

    def first_with_room(self, request, spare, pool):
        """Return the first spare clean engines that have room now.

        A clean engine may still generate for long prompts and have no room:
        with the first two of the order alone, prompts waited for those
        while a dozen others were idle.
        """
        offered = pool.short_only.first(min(spare, MAX_SCANNED))
        roomy = [n for n in offered if fits(pool.views[n], request, free=True)]
        return roomy[:LONG_PROMPT_CHOICES]

    def option(self, view, request, band, pool, now):
        """Add the price of taking an engine that short prompts need."""
        cost, waiting_s, choice = super().option(view, request, band, pool, now)
        scarce = len(pool.short_only) <= pool.short_headroom(now)
        if band > 0 and scarce and view.name in pool.short_only:
            cost += SHORT_ONLY_PENALTY * view.speed.prefill_s(
                choice.prompt_tokens
            )
        return cost, waiting_s, choice


class Oracle(ShortSlowdown):
    """Full information on the present, none on the future: the bound."""

    name = "oracle"

    def __init__(self, refresh: Callable[[endpoints.EndpointView], None]):
        self.refresh = refresh

    def choose(self, request, band, pool, now):
        """Look at the true state of every endpoint, then choose."""
        for view in pool.views.values():
            self.refresh(view)
            pool.classify(view)
        self.sample_size = max(SAMPLE_SIZE, len(pool.views))
        return super().choose(request, band, pool, now)


class PlainService(Policy):
    """For plain services: the less busy of a few random endpoints."""

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
    """Return the policy that a service's settings ask for."""
    if service.kind is servicekind.ServiceKind.PLAIN:
        return PlainService()
    if service.objective is config_lib.Objective.TTFT_ALL_LENGTHS:
        return TtftAllLengths()
    return ShortSlowdown()
