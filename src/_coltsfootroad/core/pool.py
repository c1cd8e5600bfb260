"""The endpoints of one service, kept so that choosing stays cheap."""

import math
import random

import attrs
import sortedcontainers

from _coltsfootroad.core import endpoints
from _coltsfootroad.core import hashing
from _coltsfootroad.core import outliers as outliers_lib
from _coltsfootroad.core import prefixes as prefixes_lib
from _coltsfootroad.core import registry

# Window of the estimate of what short prompts need, in seconds.
LOAD_WINDOW_S = 20.0
# Dirty engines looked at again per choice, to notice that they drained.
RECHECKS = 2


@attrs.define
class RankedNames:
    """Names in an order that all entries share, sampled cheaply."""

    service: str
    names: sortedcontainers.SortedKeyList = attrs.field(init=False)
    known: set[str] = attrs.Factory(set)

    def __attrs_post_init__(self):
        self.names = sortedcontainers.SortedKeyList(
            key=lambda name: fleet_rank(self.service, name)
        )

    def __len__(self) -> int:
        return len(self.names)

    def __contains__(self, name: str) -> bool:
        return name in self.known

    def add(self, name: str) -> None:
        """Add a name; adding it again changes nothing."""
        if name not in self.known:
            self.known.add(name)
            self.names.add(name)

    def discard(self, name: str) -> None:
        """Remove a name if it is there."""
        if name in self.known:
            self.known.discard(name)
            self.names.remove(name)

    def first(self, count: int) -> list[str]:
        """Return the names that come first in the order."""
        return list(self.names[:count])

    def sample(self, count: int, rng: random.Random) -> list[str]:
        """Return up to `count` different names.

        The order is random also when all are returned: in the shared order,
        entries would break ties between idle engines all the same way.
        """
        places = range(len(self.names))
        chosen = rng.sample(places, min(count, len(places)))
        return [self.names[place] for place in chosen]


@attrs.define
class ServicePool:
    """Views of one service's endpoints, split into clean and dirty ones.

    Clean endpoints read nothing but short prompts. `short_load` estimates
    how many engines the short prompts of this entry keep busy.
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
    turn: int = 0
    largest_kv: int = 0
    emptied_at: float = 0.0

    def __attrs_post_init__(self):
        self.short_only = RankedNames(self.service)
        self.mixed = RankedNames(self.service)

    def update(self, announcement: registry.Announcement, now: float) -> None:
        """Add an endpoint or take its new announcement."""
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
        """Forget an endpoint that is gone."""
        self.views.pop(name, None)
        self.short_only.discard(name)
        self.mixed.discard(name)
        self.leaving.discard(name)
        self.prefixes.forget(name)
        self.outliers.retain(set(self.views))
        self.update_largest_kv()

    def update_largest_kv(self) -> None:
        """Remember the largest engine, which admission asks for often."""
        self.largest_kv = max(
            (v.announcement.kv_tokens for v in self.views.values()), default=0
        )

    def classify(self, view: endpoints.EndpointView) -> None:
        """Put an endpoint into the right set after a change."""
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
        """Look at a few dirty endpoints that may have drained."""
        for _ in range(min(RECHECKS, len(self.mixed))):
            self.turn += 1
            name = self.mixed.names[self.turn % len(self.mixed)]
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
        """Return the views of the names that are not ejected, drained."""
        found = []
        for name in names:
            if self.outliers.is_ejected(name, now):
                continue
            view = self.views[name]
            view.advance(now)
            found.append(view)
        return found

    def sample(self, count: int, now: float) -> list[endpoints.EndpointView]:
        """Return up to `count` usable endpoints, clean ones first."""
        names = self.short_only.sample(count, self.rng)
        if len(names) < count:
            names += self.mixed.sample(count - len(names), self.rng)
        return self.usable(names, now) or self.any_usable(now)

    def any_usable(self, now: float) -> list[endpoints.EndpointView]:
        """Return usable endpoints when a sample held only ejected ones."""
        return self.usable([*self.short_only.names, *self.mixed.names], now)

    def all_names(self) -> list[str]:
        """Return all endpoints that take new work, in a stable order."""
        return sorted([*self.short_only.names, *self.mixed.names])

    def record_short_prompt(self, seconds: float, now: float) -> None:
        """Count the engine time of a short prompt."""
        self.decay_short_load(now)
        self.short_seconds += seconds

    def decay_short_load(self, now: float) -> None:
        """Let old short prompts fade from the estimate."""
        elapsed = max(0.0, now - self.short_at)
        self.short_seconds *= math.exp(-elapsed / LOAD_WINDOW_S)
        self.short_at = max(self.short_at, now)

    def own_short_load(self, now: float) -> float:
        """Return how many engines this entry's short prompts keep busy."""
        self.decay_short_load(now)
        return self.short_seconds / LOAD_WINDOW_S

    def short_headroom(self, now: float) -> int:
        """Return how many engines should stay free of long prompts.

        Square-root staffing over the fleet's short load: the load itself
        and two deviations. It is zero when no short prompts come, so that
        no engine idles for a class that is absent. The other entries' loads
        come with the heartbeats, so all entries find about the same number.
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
    """Return an order of engines that every entry shares without talking."""
    return hashing.stable_hash(service, endpoint)
