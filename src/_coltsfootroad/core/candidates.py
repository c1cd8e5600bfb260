"""Which engines a choice looks at when there are more than it can compare.

The pattern it answers: hundreds of engines, of which any will do for a short
prompt and a dozen idle ones for a long one. Comparing all makes each choice
slower with every engine; comparing a few drawn at random overlooks the idle
ones when most are busy. So many are looked at briefly, and the most fitting of
these are compared.
"""

from collections.abc import Iterable
import random

import attrs

from _coltsfootroad.core import endpointset
from _coltsfootroad.core import loadindex


@attrs.frozen(kw_only=True)
class CandidateCounts:
    """How many engines of each kind are compared.

    Attributes:
        idle: Without any work.
        writing: That write answers and read nothing.
        reading: That read prompts.
    """

    idle: int
    decoding: int
    prefilling: int

    @property
    def total(self) -> int:
        """Return how many engines are compared."""
        return self.idle + self.decoding + self.prefilling


@attrs.frozen(kw_only=True)
class CandidateLimits:
    """Bounds on a choice.

    Attributes:
        drawn: Endpoints that are looked at briefly. With one engine in five
            idle, this finds as many idle ones as a long prompt is read on.
        short: Compared for a short prompt. It goes to an engine that writes
            others' answers if one has room; idle ones are all alike.
        long: Compared for a long prompt, which is read on idle engines if
            there are enough.
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
    most: int = DEFAULT_LIMITS.sampled,
) -> list[KnownEndpoint]:
    """Return up to `most` endpoints in random order, usable ones if any is.

    Not usable are those that rest, and those in `avoid`, which this request
    has been sent to already.
    """
    sampled = rng.sample(known, min(most, len(known)))
    rested = [one for one in sampled if one.ejected_until <= now] or sampled
    return [one for one in rested if one.name not in avoid] or rested


def select_candidates(
    sampled: list[KnownEndpoint],
    index: loadindex.LoadIndex,
    places: CandidateCounts,
    zone: str,
    slots: int,
) -> list[KnownEndpoint]:
    """Return the engines to compare, of each kind as many as it has places.

    Half of the places are kept for engines of the own availability zone, as
    bytes between zones are dear. Places that a kind does not fill go to the
    others. `slots` is the size of a batch.
    """
    if len(sampled) <= places.total:
        return sampled
    kinds: tuple[
        list[KnownEndpoint], list[KnownEndpoint], list[KnownEndpoint]
    ] = ([], [], [])
    for one in sort_by_queue(sampled, index, slots):
        load = index.at(one.name)
        kinds[2 if load.is_reading else 1 if load.works else 0].append(one)
    limits = (places.idle, places.decoding, places.prefilling)
    picked, left = [], []
    for found, limit in zip(kinds, limits, strict=True):
        chosen = balance_zones(found, limit, zone)
        names = {one.name for one in chosen}
        picked += chosen
        left += [one for one in found if one.name not in names]
    return picked + left[: places.total - len(picked)]


def sort_by_queue(
    sampled: Iterable[KnownEndpoint], index: loadindex.LoadIndex, slots: int
) -> list[KnownEndpoint]:
    """Return endpoints by how much work is over their batch.

    What is late already is served after others and does not count.
    Those with room stay in their order: taking the least busy of them would
    spread short prompts over engines that long ones could be read on.
    """

    def queue(one: KnownEndpoint) -> int:
        late = len(index.late.get(one.name, ()))
        return max(0, len(index.at(one.name).works) - late + 1 - slots)

    return sorted(sampled, key=queue)


def balance_zones(
    found: list[KnownEndpoint], limit: int, zone: str
) -> list[KnownEndpoint]:
    """Return up to `limit` endpoints, half of them from the zone if it can."""
    near = [one for one in found if is_in_zone(one, zone)]
    far = [one for one in found if not is_in_zone(one, zone)]
    kept = min(len(near), max(limit // 2, limit - len(far)))
    return near[:kept] + far[: limit - kept]


def is_in_zone(one: KnownEndpoint, zone: str) -> bool:
    """Return whether an endpoint is in a zone."""
    return one.announcement.availability_zone == zone
