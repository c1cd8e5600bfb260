"""Routes: which service answers a host and path, for whom, how often."""

import enum

import attrs
from expression import Error
from expression import Ok
from expression import Result

from _coltsfootroad.core import errors
from _coltsfootroad.core import hashing

HASH_RANGE = 2**64
# Stands for no version; lower than any version.
NO_VERSION = -1


class RequestKind(enum.Enum):
    """What may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@attrs.frozen(kw_only=True)
class Split:
    """A service and its share of a route's requests."""

    service: str
    weight: int


@attrs.frozen(kw_only=True)
class Route:
    """Requests of one host whose path begins with one prefix.

    Attributes:
        name: Unique within a version.
        host: Host without port.
        prefix: Begins and ends with a slash.
        kind: What may be repeated.
        timeout_s: Longest time that a caller is kept waiting.
        target_s: Time to the answer or first event that callers aim for.
        gap_target_s: Longest pause between events that is still on time.
        priority: Rank, 0 is the most urgent.
        splits: Services and their weights.
        attempts: Endpoints that one request may be sent to.
        public: Whether it needs no key.
        resumable: Whether a stream may go on at another endpoint.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    splits: tuple[Split, ...]
    target_s: float = 1.0
    gap_target_s: float = 0.0
    priority: int = 5
    attempts: int = 1
    public: bool = False
    resumable: bool = False

    @property
    def idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.SAFE


@attrs.frozen(kw_only=True)
class EngineSpec:
    """How an engine spends its time, as its operator states it.

    Attributes:
        slots: Requests that it batches.
        kv_tokens: KV cache size in tokens.
        stride: Token steps of a pass that includes writers; one event.
        step_s: Seconds of a token step.
        per_sequence_s: Seconds a step takes more for each writing request.
        context_s_per_token: The same for each token of its context.
        read_tokens_per_s: Prompt tokens read a second.
        pair_s: Seconds for each pair of a token and an earlier one.
        chunk_tokens: Prompt tokens read in one step at most.
        hop_s: Seconds that a step takes more for a prompt on several engines.
    """

    slots: int = 8
    kv_tokens: int = 0
    stride: int = 1
    step_s: float = 0.02
    per_sequence_s: float = 0.0
    context_s_per_token: float = 0.0
    read_tokens_per_s: float = 10_000.0
    pair_s: float = 0.0
    chunk_tokens: int = 2_048
    hop_s: float = 0.0


@attrs.frozen(kw_only=True)
class ServiceSpec:
    """A service and what its endpoints allow."""

    name: str
    connection_limit: int = 0
    engine: EngineSpec | None = None


@attrs.frozen(kw_only=True)
class KeyHolder:
    """A workspace and the keys that its callers present."""

    workspace: str
    keys: tuple[str, ...]


@attrs.frozen(kw_only=True)
class CallerLimits:
    """What a caller may send and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen(kw_only=True)
class RouteConfig:
    """One complete version of the routes and what they refer to."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    holders: tuple[KeyHolder, ...] = ()
    limits: CallerLimits = CallerLimits()


def invalid(message: str) -> Result[None, errors.Failure]:
    """Return the refusal of a version."""
    return Error(errors.Failure(errors.ErrorCode.INVALID_CONFIG, message))


def check(config: RouteConfig) -> Result[None, errors.Failure]:
    """Return what is wrong with a version, naming the bad value."""
    if config.version < 0:
        return invalid(f"version {config.version} is negative")
    services = {service.name for service in config.services}
    places: set[tuple[str, str]] = set()
    for route in config.routes:
        fault = route_error(route, services)
        if fault:
            return invalid(f"route {route.name!r}: {fault}")
        place = (route.host, route.prefix)
        if place in places:
            return invalid(
                f"route {route.name!r}: another route has host"
                f" {route.host!r} and prefix {route.prefix!r}"
            )
        places.add(place)
    return check_keys(config.holders)


def route_error(route: Route, services: set[str]) -> str:
    """Return what is wrong with one route, empty if nothing is."""
    for split in route.splits:
        if split.service not in services:
            return f"service {split.service!r} is not known"
        if split.weight < 0:
            return f"weight {split.weight} is negative"
    if sum(split.weight for split in route.splits) <= 0:
        return "the weights add up to 0"
    if route.timeout_s <= 0:
        return f"timeout is {route.timeout_s} s, must be above 0"
    if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
        return f"prefix {route.prefix!r} must begin and end with a slash"
    return ""


def check_keys(
    holders: tuple[KeyHolder, ...],
) -> Result[None, errors.Failure]:
    """Return whether two workspaces share a key."""
    owners: dict[str, str] = {}
    for holder in holders:
        for key in holder.keys:
            owner = owners.setdefault(key, holder.workspace)
            if owner != holder.workspace:
                return invalid(
                    f"workspaces {owner!r} and {holder.workspace!r} share a key"
                )
    return Ok(None)


@attrs.define
class RouteTable:
    """A version, indexed for look-ups on each request."""

    config: RouteConfig
    by_host: dict[str, list[Route]] = attrs.Factory(dict)
    by_key: dict[str, str] = attrs.Factory(dict)
    services: dict[str, ServiceSpec] = attrs.Factory(dict)

    def __attrs_post_init__(self):
        for route in self.config.routes:
            self.by_host.setdefault(route.host, []).append(route)
        for found in self.by_host.values():
            found.sort(key=lambda route: len(route.prefix), reverse=True)
        for holder in self.config.holders:
            for key in holder.keys:
                self.by_key[key] = holder.workspace
        self.services = {s.name: s for s in self.config.services}

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def workspace(self, key: str) -> str | None:
        """Return the workspace that holds a key."""
        return self.by_key.get(key)

    def needs_key(self, route: Route) -> bool:
        """Return whether a request on a route has to present a key."""
        return bool(self.config.holders) and not route.public


def choose_service(route: Route, request_id: str) -> str:
    """Return the service of a request; the same id gives the same one."""
    total = sum(split.weight for split in route.splits)
    point = hashing.stable_hash(route.name, request_id) / HASH_RANGE * total
    for split in route.splits:
        point -= split.weight
        if point < 0:
            return split.service
    return next(s.service for s in reversed(route.splits) if s.weight > 0)
