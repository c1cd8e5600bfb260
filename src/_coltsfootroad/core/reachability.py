"""Tracks whether this gateway reaches the endpoints of each service.

Reachability belongs to a pair of gateway and endpoint. Failed connections to
several endpoints without a successful one in between suggest that the gateway
has lost its path to the service, while the endpoints may serve other gateways.
Only failures to connect count: an endpoint that is silent on an established
connection may just be slow.
"""

import attrs

from _coltsfootroad.core import endpointset

# One endpoint that cannot be connected to has probably failed by itself.
MIN_FAILED_ENDPOINTS = 2
# Older failed connections no longer count as evidence.
EVIDENCE_WINDOW_S = 5.0
# Consecutive connections that have to succeed before the service counts as
# reachable again. Each relapse adds one, so that a link that comes and goes
# does not make the gateway switch as often.
MIN_PASSES = 2
MAX_PASSES = 8
RELAPSE_WINDOW_S = 30.0
NEVER = float("-inf")


@attrs.define
class ServiceReach:
    """Evidence on the path from this gateway to one service.

    Times are seconds of the boot clock.

    Attributes:
        failed: Time of the last failed connection by endpoint incarnation; a
            successful connection removes the entry.
        connected_at: Time of the last successful connection.
        partitioned_at: Since when the gateway counts as partitioned, or None.
        returned_at: End of the last partition.
        relapses: Partitions that shortly followed another one.
        passes: Consecutive successful connections since the last failed one.
        passed: Endpoint incarnations of these connections.
    """

    failed: dict[str, float] = attrs.Factory(dict)
    connected_at: float = NEVER
    partitioned_at: float | None = None
    returned_at: float = NEVER
    relapses: int = 0
    passes: int = 0
    passed: set[str] = attrs.Factory(set)

    @property
    def is_partitioned(self) -> bool:
        """Return whether the gateway counts as partitioned from the service."""
        return self.partitioned_at is not None

    @property
    def required_passes(self) -> int:
        """Return how many consecutive connections end the partition."""
        return min(MIN_PASSES + self.relapses, MAX_PASSES)

    def record_failure(self, key: str, serving: int, now: float) -> bool:
        """Record a failed connection; return whether a partition begins.

        `serving` is the number of endpoints that take new work.
        """
        self.reset_passes()
        self.failed = {
            failed: at
            for failed, at in self.failed.items()
            if now - at < EVIDENCE_WINDOW_S
        }
        self.failed[key] = now
        needed = min(MIN_FAILED_ENDPOINTS, serving)
        if self.is_partitioned or len(self.failed) < needed:
            return False
        is_relapse = now - self.returned_at < RELAPSE_WINDOW_S
        self.relapses = self.relapses + 1 if is_relapse else 0
        self.partitioned_at = now
        return True

    def record_success(self, key: str, now: float) -> bool:
        """Record a successful connection; return whether a partition ends."""
        self.connected_at = now
        if not self.is_partitioned:
            self.failed.clear()
            return False
        self.failed.pop(key, None)
        self.passes += 1
        self.passed.add(key)
        if self.passes < self.required_passes:
            return False
        self.end_partition(now)
        return True

    def end_partition(self, now: float) -> None:
        """Count the service as reachable again."""
        self.partitioned_at = None
        self.returned_at = now
        self.failed.clear()
        self.reset_passes()

    def reset_passes(self) -> None:
        """Forget the successful connections."""
        self.passes = 0
        self.passed.clear()

    def probe_candidates(
        self, serving: list[endpointset.KnownEndpoint]
    ) -> list[endpointset.KnownEndpoint]:
        """Return the endpoints of which one is to be probed next.

        New incarnations come first. Later probes of a series go to other
        endpoints: a single reachable one does not make a service reachable.
        """
        seen = self.passed if self.passes else self.failed
        return [e for e in serving if e.incarnation_key not in seen] or serving


@attrs.define
class Reachability:
    """The path from this gateway to each service.

    Attributes:
        endpoints: The known endpoints.
        services: Evidence by service.
    """

    endpoints: endpointset.EndpointSet
    services: dict[str, ServiceReach] = attrs.Factory(dict)

    def of(self, service: str) -> ServiceReach:
        """Return the evidence on a service."""
        if service not in self.services:
            self.services[service] = ServiceReach()
        return self.services[service]

    def is_partitioned_from(self, service: str) -> bool:
        """Return whether the gateway counts as partitioned from a service."""
        reach = self.services.get(service)
        return reach is not None and reach.is_partitioned

    def is_partitioned_from_all(self) -> bool:
        """Return whether the gateway reaches no service that has endpoints."""
        if not self.partitioned_services():
            return False
        services = self.endpoints.serving_services()
        return bool(services) and all(map(self.is_partitioned_from, services))

    def partitioned_at(self, service: str) -> float:
        """Return since when the gateway is partitioned, infinity if not."""
        reach = self.services.get(service)
        is_partitioned = reach is not None and reach.is_partitioned
        return reach.partitioned_at if is_partitioned else float("inf")

    def partitioned_services(self) -> tuple[str, ...]:
        """Return the services from which the gateway counts as partitioned."""
        return tuple(
            service
            for service, reach in self.services.items()
            if reach.is_partitioned
        )

    def record_failure(
        self, endpoint: endpointset.KnownEndpoint, now: float
    ) -> bool:
        """Record a failed connection; return whether a partition begins."""
        service = endpoint.announcement.service
        serving = len(self.endpoints.serving_endpoints(service))
        return self.of(service).record_failure(
            endpoint.incarnation_key, max(1, serving), now
        )

    def record_success(
        self, endpoint: endpointset.KnownEndpoint, now: float
    ) -> bool:
        """Record a successful connection; return whether a partition ends."""
        reach = self.of(endpoint.announcement.service)
        return reach.record_success(endpoint.incarnation_key, now)

    def untested_endpoints(self, service: str) -> list[str]:
        """Return the serving endpoints without a failed connection."""
        failed = self.of(service).failed
        return [
            known.name
            for known in self.endpoints.serving_endpoints(service)
            if known.incarnation_key not in failed
        ]

    def reached_endpoints(self, service: str) -> int:
        """Return how many endpoints the gateway seems to reach."""
        return len(self.untested_endpoints(service))
