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
class Places:
    """How many engines of each kind are compared.

    Attributes:
        idle: Without any work.
        writing: That write answers and read nothing.
        reading: That read prompts.
    """

    idle: int
    writing: int
    reading: int

    @property
    def total(self) -> int:
        """Return how many engines are compared."""
        return self.idle + self.writing + self.reading


@attrs.frozen(kw_only=True)
class Limits:
    """Bounds on a choice.

    Attributes:
        drawn: Endpoints that are looked at briefly. With one engine in five
            idle, this finds as many idle ones as a long prompt is read on.
        short: Compared for a short prompt. It goes to an engine that writes
            others' answers if one has room; idle ones are all alike.
        long: Compared for a long prompt, which is read on idle engines if
            there are enough.
    """

    drawn: int = 96
    short: Places = Places(idle=4, writing=16, reading=4)
    long: Places = Places(idle=18, writing=8, reading=6)


USUAL = Limits()
Known = endpointset.KnownEndpoint


def draw(
    known: list[Known],
    now: float,
    avoid: set[str],
    rng: random.Random,
    most: int = USUAL.drawn,
) -> list[Known]:
    """Return up to `most` endpoints in random order, usable ones if any is.

    Not usable are those that rest, and those in `avoid`, which this request
    has been sent to already.
    """
    drawn = rng.sample(known, min(most, len(known)))
    rested = [one for one in drawn if one.rest_until <= now] or drawn
    return [one for one in rested if one.name not in avoid] or rested


def pick(
    drawn: list[Known],
    index: loadindex.LoadIndex,
    places: Places,
    zone: str,
    slots: int,
) -> list[Known]:
    """Return the engines to compare, of each kind as many as it has places.

    Half of the places are kept for engines of the own availability zone, as
    bytes between zones are dear. Places that a kind does not fill go to the
    others. `slots` is the size of a batch.
    """
    if len(drawn) <= places.total:
        return drawn
    kinds: tuple[list[Known], list[Known], list[Known]] = ([], [], [])
    for one in shortest_queue_first(drawn, index, slots):
        load = index.at(one.name)
        kinds[2 if load.is_reading else 1 if load.works else 0].append(one)
    limits = (places.idle, places.writing, places.reading)
    picked, left = [], []
    for found, limit in zip(kinds, limits, strict=True):
        chosen = balanced(found, limit, zone)
        names = {one.name for one in chosen}
        picked += chosen
        left += [one for one in found if one.name not in names]
    return picked + left[: places.total - len(picked)]


def shortest_queue_first(
    drawn: Iterable[Known], index: loadindex.LoadIndex, slots: int
) -> list[Known]:
    """Return endpoints by how much work is over their batch.

    What is late already is served after others and does not count.
    Those with room stay in their order: taking the least busy of them would
    spread short prompts over engines that long ones could be read on.
    """

    def queue(one: Known) -> int:
        late = len(index.late.get(one.name, ()))
        return max(0, len(index.at(one.name).works) - late + 1 - slots)

    return sorted(drawn, key=queue)


def balanced(found: list[Known], limit: int, zone: str) -> list[Known]:
    """Return up to `limit` endpoints, half of them from the zone if it can."""
    near = [one for one in found if is_near(one, zone)]
    far = [one for one in found if not is_near(one, zone)]
    kept = min(len(near), max(limit // 2, limit - len(far)))
    return near[:kept] + far[: limit - kept]


def is_near(one: Known, zone: str) -> bool:
    """Return whether an endpoint is in a zone."""
    return one.announcement.availability_zone == zone
