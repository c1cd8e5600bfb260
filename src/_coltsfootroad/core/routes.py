"""Routes: the service, limits and rights for a host and path prefix."""

import enum

import attrs
from expression import Error
from expression import Ok
from expression import Result

from _coltsfootroad.core import errors
from _coltsfootroad.core import hashing

HASH_RANGE = 2**64
# Stands for no version; lower than every version.
NO_VERSION = -1


class RequestKind(enum.Enum):
    """Whether requests may be repeated, and whether answers are streams."""

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
        kind: Whether requests may be repeated, and whether answers are streams.
        timeout_s: Longest time until a caller gets an answer.
        target_s: Target for the time to the answer or first event.
        gap_target_s: Target for the longest gap between events, 0 for none.
        priority: Rank; 0 is the most urgent.
        splits: Services and their weights.
        attempts: Number of endpoints that one request may be sent to.
        public: Whether requests need no key.
        resumable: Whether a stream may be resumed on another endpoint.
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
    """Capacity and timing of an engine, as stated by its operator.

    Attributes:
        slots: Batch slots.
        kv_tokens: Size of the KV cache in tokens.
        stride: Token steps of a pass with decoding streams, each of which gets
            one event per pass.
        step_s: Seconds of a token step.
        per_sequence_s: Additional seconds of a step per decoding stream.
        context_s_per_token: Additional seconds of a step per context token.
        read_tokens_per_s: Prefill rate in prompt tokens per second.
        pair_s: Seconds of attention per pair of a token and an earlier one.
        chunk_tokens: Prompt tokens prefilled in one step at most.
        hop_s: Additional seconds of a step for a prompt on several engines.
        retains_prefixes: Whether engines keep prompts in their memory after the
            end of a request and do not prefill a kept beginning again.
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
    retains_prefixes: bool = False


@attrs.frozen(kw_only=True)
class ServiceSpec:
    """A service and the limits of its endpoints.

    Attributes:
        name: Unique within a version.
        connection_limit: Connections that an endpoint accepts, 0 if unknown.
        engine: Capacity and timing, None for a plain service.
        cold_start_s: Seconds for which an endpoint is cold after its start.
        cold_per_s: Requests that a cold endpoint can handle in a second, 0 for
            no limit.
    """

    name: str
    connection_limit: int = 0
    engine: EngineSpec | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@attrs.frozen(kw_only=True)
class KeyHolder:
    """A workspace and the API keys of its callers.

    Attributes:
        workspace: Name of the workspace.
        keys: API keys of its callers.
        priority: Its priority while capacity is scarce, 0 is the highest;
            takes precedence over the routes'. None if it has none.
    """

    workspace: str
    keys: tuple[str, ...]
    priority: int | None = None


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Limits on the size and duration of requests and on idle connections."""

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen(kw_only=True)
class RouteConfig:
    """One complete version of the routes and all that they refer to."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    holders: tuple[KeyHolder, ...] = ()
    limits: CallerLimits = CallerLimits()


def invalid(message: str) -> Result[None, errors.Failure]:
    """Return an error that refuses a version."""
    return Error(errors.Failure(errors.ErrorCode.INVALID_CONFIG, message))


def check(config: RouteConfig) -> Result[None, errors.Failure]:
    """Return an error that names the invalid value of a version, if any."""
    if config.version < 0:
        return invalid(f"version {config.version} is negative")
    for service in config.services:
        if min(service.cold_start_s, service.cold_per_s) < 0:
            return invalid(
                f"service {service.name!r}: cold start {service.cold_start_s} s"
                f" or {service.cold_per_s} cold requests a second is negative"
            )
    services = {service.name for service in config.services}
    locations: set[tuple[str, str]] = set()
    for route in config.routes:
        error = route_error(route, services)
        if error:
            return invalid(f"route {route.name!r}: {error}")
        location = (route.host, route.prefix)
        if location in locations:
            return invalid(
                f"route {route.name!r}: another route has host"
                f" {route.host!r} and prefix {route.prefix!r}"
            )
        locations.add(location)
    return check_keys(config.holders)


def route_error(route: Route, services: set[str]) -> str:
    """Return the error of one route, empty if it is valid."""
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
    """Return an error if two workspaces share a key."""
    owners: dict[str, KeyHolder] = {}
    for holder in holders:
        for key in holder.keys:
            owner = owners.setdefault(key, holder)
            if owner is not holder:
                return invalid(
                    f"workspaces {owner.workspace!r} and {holder.workspace!r}"
                    " share a key"
                )
    return Ok(None)


@attrs.define
class RouteTable:
    """A version of the routes, indexed for lookups."""

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
        """Return the route with the longest prefix of the path."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def workspace(self, key: str) -> str | None:
        """Return the workspace that holds a key."""
        return self.by_key.get(key)

    def needs_key(self, route: Route) -> bool:
        """Return whether requests on a route need a key."""
        return bool(self.config.holders) and not route.public


def choose_service(route: Route, request_id: str) -> str:
    """Return the service of a request, deterministic in its ID."""
    total = sum(split.weight for split in route.splits)
    # In integers, as weights may be beyond the range of floats.
    point = hashing.stable_hash(route.name, request_id) * total // HASH_RANGE
    for split in route.splits:
        point -= split.weight
        if point < 0:
            return split.service
    return next(s.service for s in reversed(route.splits) if s.weight > 0)
