"""Selects the engines that a choice compares in a large fleet.

Comparing all engines makes each choice slower with every engine that is added.
Comparing a few random ones misses the idle engines when most are busy, and a
long prompt needs a dozen of those. So a large random sample is classified
cheaply, and only the most suitable engines of it are compared in full.
"""

from collections.abc import Iterable
import random

import attrs

from _coltsfootroad.core import endpointset
from _coltsfootroad.core.placement import loadindex


@attrs.frozen(kw_only=True)
class CandidateCounts:
    """Number of engines of each kind to compare.

    Attributes:
        idle: Engines without work.
        decoding: Engines that only decode.
        prefilling: Engines that prefill prompts.
    """

    idle: int
    decoding: int
    prefilling: int

    @property
    def total(self) -> int:
        """Return the number of engines of all kinds."""
        return self.idle + self.decoding + self.prefilling


@attrs.frozen(kw_only=True)
class CandidateLimits:
    """Bounds on a choice.

    Attributes:
        sampled: Endpoints in the random sample. With one idle engine in
            five, a sample of this size has enough idle ones for a long prompt.
        short: Engines to compare for a short prompt. It goes to a decoding
            engine with room if there is one; idle engines are equivalent.
        long: Engines to compare for a long prompt, which is prefilled on idle
            engines if there are enough.
    """

    sampled: int = 96
    short: CandidateCounts = CandidateCounts(idle=4, decoding=16, prefilling=4)
    long: CandidateCounts = CandidateCounts(idle=18, decoding=8, prefilling=6)


DEFAULT_LIMITS = CandidateLimits()
KnownEndpoint = endpointset.KnownEndpoint


def sample_endpoints(
    known: list[KnownEndpoint],
    now: float,
    avoid: set[str],
    rng: random.Random,
    limit: int = DEFAULT_LIMITS.sampled,
) -> list[KnownEndpoint]:
    """Return up to `limit` endpoints in random order.

    Ejected endpoints and those in `avoid`, to which the request was already
    sent, are left out unless no other endpoint is in the sample.
    """
    sampled = rng.sample(known, min(limit, len(known)))
    usable = [
        endpoint for endpoint in sampled if endpoint.ejected_until <= now
    ] or sampled
    return [
        endpoint for endpoint in usable if endpoint.name not in avoid
    ] or usable


def select_candidates(
    sampled: list[KnownEndpoint],
    index: loadindex.LoadIndex,
    counts: CandidateCounts,
    zone: str,
    slots: int,
) -> list[KnownEndpoint]:
    """Return the engines to compare, up to the count of each kind.

    Half of each count is reserved for engines of `zone`, as traffic between
    availability zones is expensive. Counts that a kind does not fill go to the
    other kinds. `slots` is the size of a batch.
    """
    if len(sampled) <= counts.total:
        return sampled
    kinds: tuple[
        list[KnownEndpoint], list[KnownEndpoint], list[KnownEndpoint]
    ] = ([], [], [])
    for endpoint in sort_by_queue(sampled, index, slots):
        load = index.at(endpoint.name)
        kinds[2 if load.is_prefilling else 1 if load.works else 0].append(
            endpoint
        )
    limits = (counts.idle, counts.decoding, counts.prefilling)
    picked, remaining = [], []
    for candidates, limit in zip(kinds, limits, strict=True):
        chosen = balance_zones(candidates, limit, zone)
        names = {endpoint.name for endpoint in chosen}
        picked += chosen
        remaining += [
            endpoint for endpoint in candidates if endpoint.name not in names
        ]
    return picked + remaining[: counts.total - len(picked)]


def sort_by_queue(
    sampled: Iterable[KnownEndpoint], index: loadindex.LoadIndex, slots: int
) -> list[KnownEndpoint]:
    """Return endpoints sorted by the number of requests over their batch.

    Late requests do not count, as they are served after others. Endpoints with
    room keep their order: sorting them by load would spread short prompts over
    engines that long prompts could be prefilled on.
    """

    def queue(endpoint: KnownEndpoint) -> int:
        late = len(index.late.get(endpoint.name, ()))
        return max(0, len(index.at(endpoint.name).works) - late + 1 - slots)

    return sorted(sampled, key=queue)


def balance_zones(
    candidates: list[KnownEndpoint], limit: int, zone: str
) -> list[KnownEndpoint]:
    """Return up to `limit` endpoints, half of them in the zone if possible."""
    near = [endpoint for endpoint in candidates if is_in_zone(endpoint, zone)]
    far = [
        endpoint for endpoint in candidates if not is_in_zone(endpoint, zone)
    ]
    kept = min(len(near), max(limit // 2, limit - len(far)))
    return near[:kept] + far[: limit - kept]


def is_in_zone(endpoint: KnownEndpoint, zone: str) -> bool:
    """Return whether an endpoint is in a zone."""
    return endpoint.announcement.availability_zone == zone
