"""Chooses the endpoint of a plain call by the expected time of its calls."""

import attrs

from _coltsfootroad.core import callrecords
from _coltsfootroad.core import endpointset


@attrs.frozen(kw_only=True)
class PlainChoice:
    """The endpoint of a call.

    Attributes:
        index: Position of the endpoint among those that were compared.
        least_s: Seconds in which no endpoint has responded recently, with the
            expected wait at this endpoint; 0 if unknown.
        factor: Factor on the endpoint's expected time, 1.0 for equal ones.
    """

    index: int
    least_s: float = 0.0
    factor: float = callrecords.EQUAL


def untried(
    sampled: list[endpointset.KnownEndpoint],
    known: list[endpointset.KnownEndpoint],
    avoid: set[str],
) -> list[endpointset.KnownEndpoint]:
    """Return the endpoints to compare, not those in `avoid` if others exist.

    The sample leaves out ejected endpoints first. One that is ejected for
    failures of other calls is still better than one that failed this call.
    """
    if not all(endpoint.name in avoid for endpoint in sampled):
        return sampled
    others = [endpoint for endpoint in known if endpoint.name not in avoid]
    return others or sampled


def choose(
    compared: list[endpointset.KnownEndpoint],
    loads: list[int],
    records: callrecords.CallRecords,
    now: float,
) -> PlainChoice:
    """Return the endpoint with the least expected time, the first on a tie.

    With the calls in `loads` and the new one, an endpoint takes time in
    proportion to their number. Among equal endpoints this is the one with the
    fewest calls.
    """
    # The calls of a cold endpoint take longer before that is measured.
    factors = [
        max(factor, endpoint.cold_slowdown)
        for factor, endpoint in zip(
            records.factors(compared, now), compared, strict=True
        )
    ]
    costs = [
        (load + 1) * factor for load, factor in zip(loads, factors, strict=True)
    ]
    index = costs.index(min(costs))
    least_s = records.least_s(compared, now)
    slots = compared[index].announcement.max_running
    if least_s and loads[index] >= slots:
        median_s = records.of(compared[index]).median_s() or least_s
        least_s += callrecords.wait_s(loads[index], slots, median_s)
    return PlainChoice(index=index, least_s=least_s, factor=factors[index])
