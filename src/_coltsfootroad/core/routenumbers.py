"""Keeps the numbers of a version within what gateways can compute with.

A document may state any number, such as an engine without slots or a target of
0 s. A number out of range is replaced by the nearest number in range, so that
requests are served or refused and no division or multiplication fails. Weights
and versions are only added and compared, in integers, and stay unchanged.
"""

import attrs

from _coltsfootroad.core import routes

# Tokens, slots and attempts; floats hold each integer up to here.
MAX_COUNT = 2**53
# Some thirty years; deadlines and costs add and multiply durations.
MAX_SECONDS = 1e9
MIN_TARGET_S = 0.001
MIN_TOKENS_PER_S = 0.001
MAX_TOKENS_PER_S = 1e15


def clamp(config: routes.RouteConfig) -> routes.RouteConfig:
    """Return a version whose numbers are within range."""
    return attrs.evolve(
        config,
        routes=tuple(clamp_route(route) for route in config.routes),
        services=tuple(clamp_service(s) for s in config.services),
    )


def clamp_route(route: routes.Route) -> routes.Route:
    """Return a route with its durations and attempts within range."""
    return evolve_changed(
        route,
        timeout_s=min(route.timeout_s, MAX_SECONDS),
        target_s=within(MIN_TARGET_S, route.target_s, MAX_SECONDS),
        gap_target_s=within(0.0, route.gap_target_s, MAX_SECONDS),
        attempts=within(-MAX_COUNT, route.attempts, MAX_COUNT),
    )


def clamp_service(service: routes.ServiceSpec) -> routes.ServiceSpec:
    """Return a service with the figures of its engine within range."""
    if service.engine is None:
        return service
    engine = clamp_engine(service.engine)
    return evolve_changed(service, engine=engine)


def clamp_engine(engine: routes.EngineSpec) -> routes.EngineSpec:
    """Return an engine whose figures are within range."""
    return evolve_changed(
        engine,
        slots=within(1, engine.slots, MAX_COUNT),
        kv_tokens=within(0, engine.kv_tokens, MAX_COUNT),
        stride=within(1, engine.stride, MAX_COUNT),
        step_s=within(0.0, engine.step_s, MAX_SECONDS),
        per_sequence_s=within(0.0, engine.per_sequence_s, MAX_SECONDS),
        context_s_per_token=within(
            0.0, engine.context_s_per_token, MAX_SECONDS
        ),
        read_tokens_per_s=within(
            MIN_TOKENS_PER_S, engine.read_tokens_per_s, MAX_TOKENS_PER_S
        ),
        pair_s=within(0.0, engine.pair_s, MAX_SECONDS),
        chunk_tokens=within(1, engine.chunk_tokens, MAX_COUNT),
        hop_s=within(0.0, engine.hop_s, MAX_SECONDS),
    )


def within(least: float, value: float, most: float) -> float:
    """Return the number of a range that is nearest to a value."""
    return min(max(least, value), most)


def evolve_changed(item, **values):
    """Return the item itself if it has all of the values, else a copy."""
    changed = {k: v for k, v in values.items() if getattr(item, k) != v}
    return attrs.evolve(item, **changed) if changed else item
