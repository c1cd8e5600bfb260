"""Indexes the endpoints of one service so that choices stay cheap."""

import math
import random

import attrs
import sortedcontainers

from _coltsfootroad.core import endpoints
from _coltsfootroad.core import hashing
from _coltsfootroad.core import outliers as outliers_lib
from _coltsfootroad.core import prefixes as prefixes_lib
from _coltsfootroad.core import registry

# Time constant of the estimate of the short load.
LOAD_WINDOW_S = 20.0
# Mixed engines that are classified again per choice, as their backlog of long
# prompts may have drained.
RECHECKS = 2


@attrs.define
class RankedNames:
    """Names in an order that all entries share, with cheap sampling."""

    service: str
    names: sortedcontainers.SortedKeyList = attrs.field(init=False)
    name_set: set[str] = attrs.Factory(set)

    def __attrs_post_init__(self):
        self.names = sortedcontainers.SortedKeyList(
            key=lambda name: fleet_rank(self.service, name)
        )

    def __len__(self) -> int:
        return len(self.names)

    def __contains__(self, name: str) -> bool:
        return name in self.name_set

    def add(self, name: str) -> None:
        """Add a name unless it is present."""
        if name not in self.name_set:
            self.name_set.add(name)
            self.names.add(name)

    def discard(self, name: str) -> None:
        """Remove a name if it is present."""
        if name in self.name_set:
            self.name_set.discard(name)
            self.names.remove(name)

    def first(self, count: int) -> list[str]:
        """Return the first `count` names in the shared order."""
        return list(self.names[:count])

    def sample(self, count: int, rng: random.Random) -> list[str]:
        """Return up to `count` distinct names in random order.

        The order is random even if all names are returned: with the shared
        order, all entries would break ties between idle engines alike.
        """
        positions = range(len(self.names))
        chosen = rng.sample(positions, min(count, len(positions)))
        return [self.names[position] for position in chosen]


@attrs.define
class ServicePool:
    """Views of one service's endpoints, split by the prompts they prefill.

    Short-only endpoints have no long prompts to prefill, mixed ones have.

    Attributes:
        leaving: Endpoints that take no new work.
        others_short_load: Engines that the short prompts of the other entries
            keep busy.
        short_seconds: Decayed engine time of this entry's short prompts.
        short_at: Time up to which `short_seconds` is decayed.
        largest_kv: Largest KV cache of an endpoint, in tokens.
        emptied_at: Latest time at which an endpoint stopped taking work.
    """

    service: str
    entry: str
    rng: random.Random
    views: dict[str, endpoints.EndpointView] = attrs.Factory(dict)
    short_only: RankedNames = attrs.field(init=False)
    mixed: RankedNames = attrs.field(init=False)
    leaving: set[str] = attrs.Factory(set)
    outliers: outliers_lib.OutlierDetector = attrs.Factory(
        outliers_lib.OutlierDetector
    )
    prefixes: prefixes_lib.PrefixIndex = attrs.Factory(prefixes_lib.PrefixIndex)
    entry_count: int = 1
    others_short_load: float = 0.0
    short_seconds: float = 0.0
    short_at: float = 0.0
    next_recheck: int = 0
    largest_kv: int = 0
    emptied_at: float = 0.0

    def __attrs_post_init__(self):
        self.short_only = RankedNames(self.service)
        self.mixed = RankedNames(self.service)

    def update(self, announcement: registry.Announcement, now: float) -> None:
        """Add an endpoint or apply its new announcement."""
        name = announcement.endpoint
        view = self.views.get(name)
        if view is None or (
            view.announcement.incarnation != announcement.incarnation
        ):
            view = endpoints.EndpointView(
                announcement, self.entry, backlog_at=now
            )
            self.views[name] = view
            self.prefixes.forget(name)
        view.announcement = announcement
        self.classify(view)
        self.update_largest_kv()

    def remove(self, name: str) -> None:
        """Remove an endpoint."""
        self.views.pop(name, None)
        self.short_only.discard(name)
        self.mixed.discard(name)
        self.leaving.discard(name)
        self.prefixes.forget(name)
        self.outliers.retain(set(self.views))
        self.update_largest_kv()

    def update_largest_kv(self) -> None:
        """Cache the largest KV cache size, which admission reads often."""
        self.largest_kv = max(
            (v.announcement.kv_tokens for v in self.views.values()), default=0
        )

    def classify(self, view: endpoints.EndpointView) -> None:
        """Move an endpoint to the set that its state calls for."""
        name = view.name
        if not view.accepts:
            self.short_only.discard(name)
            self.mixed.discard(name)
            self.leaving.add(name)
            self.emptied_at = max(self.emptied_at, view.backlog_at)
        elif view.is_short_only():
            self.mixed.discard(name)
            self.short_only.add(name)
        else:
            self.short_only.discard(name)
            self.mixed.add(name)

    def recheck(self, now: float) -> None:
        """Classify a few mixed endpoints whose backlog may have drained."""
        for _ in range(min(RECHECKS, len(self.mixed))):
            self.next_recheck += 1
            name = self.mixed.names[self.next_recheck % len(self.mixed)]
            view = self.views[name]
            view.advance(now)
            self.classify(view)
            if not len(self.mixed):
                return

    def serving_count(self) -> int:
        """Return the number of endpoints that take new work."""
        return len(self.short_only) + len(self.mixed)

    def usable(
        self, names: list[str], now: float
    ) -> list[endpoints.EndpointView]:
        """Return the up-to-date views of the endpoints that are not ejected."""
        found = []
        for name in names:
            if self.outliers.is_ejected(name, now):
                continue
            view = self.views[name]
            view.advance(now)
            found.append(view)
        return found

    def sample(self, count: int, now: float) -> list[endpoints.EndpointView]:
        """Return up to `count` usable endpoints, short-only ones first."""
        names = self.short_only.sample(count, self.rng)
        if len(names) < count:
            names += self.mixed.sample(count - len(names), self.rng)
        return self.usable(names, now) or self.any_usable(now)

    def any_usable(self, now: float) -> list[endpoints.EndpointView]:
        """Return all usable endpoints, for a sample of ejected ones only."""
        return self.usable([*self.short_only.names, *self.mixed.names], now)

    def all_names(self) -> list[str]:
        """Return the names of all endpoints that take new work, sorted."""
        return sorted([*self.short_only.names, *self.mixed.names])

    def record_short_prompt(self, seconds: float, now: float) -> None:
        """Add the engine time of a short prompt to the load estimate."""
        self.decay_short_load(now)
        self.short_seconds += seconds

    def decay_short_load(self, now: float) -> None:
        """Decay the load estimate exponentially up to `now`."""
        elapsed = max(0.0, now - self.short_at)
        self.short_seconds *= math.exp(-elapsed / LOAD_WINDOW_S)
        self.short_at = max(self.short_at, now)

    def own_short_load(self, now: float) -> float:
        """Return how many engines this entry's short prompts keep busy."""
        self.decay_short_load(now)
        return self.short_seconds / LOAD_WINDOW_S

    def short_headroom(self, now: float) -> int:
        """Return how many engines should stay free of long prompts.

        Square-root staffing over the fleet's short load: the load plus two
        standard deviations. The result is 0 without short prompts, so that no
        engine is reserved for an absent class. Heartbeats carry the loads of
        the other entries, so all entries get about the same number.
        """
        load = self.short_load(now)
        if load < MIN_SHORT_LOAD:
            return 0
        return math.ceil(load + 2 * math.sqrt(load))

    def short_load(self, now: float) -> float:
        """Return how many engines all entries' short prompts keep busy."""
        return self.own_short_load(now) + self.others_short_load


MIN_SHORT_LOAD = 1e-3


def fleet_rank(service: str, endpoint: str) -> int:
    """Return an engine's rank, the same at all entries without coordination."""
    return hashing.stable_hash(service, endpoint)
