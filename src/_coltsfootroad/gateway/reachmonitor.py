"""Observes connections to endpoints and detects the loss of a service's path.

While the gateway is partitioned from a service, a few random endpoints are
probed, so that its return does not depend on requests.
"""

import asyncio
from collections.abc import Callable
import random

import attrs

from _coltsfootroad.core import endpointset
from _coltsfootroad.core import reachability
from _coltsfootroad.gateway import endpointprobe
from _coltsfootroad.gateway import upstream
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import logs

LOG = logs.logger("reach")
# Pause after a failed probe, by a random factor, so that gateways that were
# partitioned together do not connect together.
PROBE_INTERVAL_S = 0.5
PROBE_JITTER = (0.8, 1.2)
# A connection attempt that takes longer than this makes the gateway try another
# endpoint beside it. Both end before the request is sent elsewhere.
SLOW_CONNECT_S = 0.08
SECOND_CONNECT_TIMEOUT_S = 0.3
# Numbers of endpoints that are connected to, in turn, to tell a lost path from
# a crash; the later ones matter only if many endpoints crash together.
WITNESS_COUNTS = (2, 6, 24)
# Pause between successful probes. A path has to work for a moment before it is
# used again.
PASS_INTERVAL_S = 0.2


@attrs.define(eq=False)
class ReachMonitor:
    """Holds the evidence on paths to services and probes lost ones.

    Attributes:
        reach: Evidence by service.
        rng: Selects endpoints and pauses.
        on_change: Called when a partition begins or ends.
        probers: Probe loops of lost services, by service.
        searches: Searches for a reachable endpoint, by service.
        second_connects: Probes beside a slow connection attempt, by service.
        wake: Wakes the probe loops when an endpoint is announced anew.
    """

    reach: reachability.Reachability
    rng: random.Random
    on_change: Callable[[], None]
    probers: dict[str, asyncio.Task] = attrs.Factory(dict)
    searches: dict[str, asyncio.Task] = attrs.Factory(dict)
    second_connects: dict[str, asyncio.Task] = attrs.Factory(dict)
    wake: asyncio.Event = attrs.Factory(asyncio.Event)

    def connect_watch(
        self, endpoint: endpointset.KnownEndpoint
    ) -> "ConnectWatch":
        """Return the observer of one connection attempt to an endpoint."""
        return ConnectWatch(self, endpoint)

    def record_connected(self, endpoint: endpointset.KnownEndpoint) -> None:
        """Record a successful connection."""
        now = clocks.boot_time()
        service = endpoint.announcement.service
        partitioned_at = self.reach.of(service).partitioned_at
        if self.reach.record_success(endpoint, now):
            self.on_partition_ended(service, now - partitioned_at)

    def record_failed(self, endpoint: endpointset.KnownEndpoint) -> None:
        """Record a failed connection."""
        now = clocks.boot_time()
        if self.reach.record_failure(endpoint, now):
            self.on_partition_begun(endpoint.announcement.service, now)

    def on_partition_begun(self, service: str, now: float) -> None:
        """Log that the path to a service is lost, and start to probe."""
        reach = self.reach.of(service)
        LOG.warning(
            "service not reached",
            service=service,
            failed=list(reach.failed),
            serving=len(self.reach.endpoints.serving_endpoints(service)),
            connected_age_s=round(min(now - reach.connected_at, 1e6), 3),
            relapses=reach.relapses,
            passes_needed=reach.required_passes,
        )
        self.probers[service] = asyncio.ensure_future(self.probe(service))
        self.on_change()

    def on_partition_ended(self, service: str, partitioned_s: float) -> None:
        """Log and announce that a service is reached again."""
        reach = self.reach.of(service)
        LOG.warning(
            "service reached again",
            service=service,
            partitioned_s=round(partitioned_s, 3),
            serving=len(self.reach.endpoints.serving_endpoints(service)),
            relapses=reach.relapses,
        )
        self.on_change()

    def has_reached_since(
        self, endpoint: endpointset.KnownEndpoint, since: float
    ) -> bool:
        """Return whether the endpoint's service was reached `since`."""
        reach = self.reach.of(endpoint.announcement.service)
        return reach.connected_at >= since

    async def reaches_another(
        self, endpoint: endpointset.KnownEndpoint, since: float
    ) -> bool:
        """Return whether another endpoint of the service was reached `since`.

        Also returns True if the service has no other endpoint.
        """
        if self.has_reached_since(endpoint, since):
            return True
        self.record_failed(endpoint)
        service = endpoint.announcement.service
        serving = self.reach.endpoints.serving_endpoints(service)
        if all(other is endpoint for other in serving):
            return True
        search = self.searches.get(service)
        if search is None or search.done():
            search = asyncio.ensure_future(self.search(service))
            self.searches[service] = search
        # Endpoints that are lost together share one search.
        await asyncio.shield(search)
        return self.has_reached_since(endpoint, since)

    async def search(self, service: str) -> None:
        """Connect to endpoints in batches until one of them is reached."""
        others = list(self.reach.endpoints.serving_endpoints(service))
        self.rng.shuffle(others)
        for count in WITNESS_COUNTS:
            witnesses, others = others[:count], others[count:]
            if any(await asyncio.gather(*map(self.test_path, witnesses))):
                return

    def on_slow_connect(self, endpoint: endpointset.KnownEndpoint) -> None:
        """Try another endpoint, unless one of the service is being tried."""
        service = endpoint.announcement.service
        running = self.second_connects.get(service)
        is_tried = running is not None and not running.done()
        if is_tried or self.reach.is_partitioned_from(service):
            return
        serving = self.reach.endpoints.serving_endpoints(service)
        others = [other for other in serving if other is not endpoint]
        if others:
            self.second_connects[service] = asyncio.ensure_future(
                self.test_path(
                    self.rng.choice(others), SECOND_CONNECT_TIMEOUT_S
                )
            )

    async def test_path(
        self,
        endpoint: endpointset.KnownEndpoint,
        timeout_s: float = endpointprobe.PROBE_TIMEOUT_S,
    ) -> bool:
        """Connect to an endpoint, record the result and return it."""
        listener = await endpointprobe.probe(
            endpoint.announcement.address, timeout_s
        )
        LOG.info(
            "path probed",
            service=endpoint.announcement.service,
            endpoint=endpoint.name,
            listener=listener.value,
        )
        if listener is endpointprobe.ListenerState.OPEN:
            self.record_connected(endpoint)
            return True
        self.record_failed(endpoint)
        return False

    def on_endpoint_started(self) -> None:
        """Probe soon, as a new incarnation may be reachable."""
        self.wake.set()

    async def probe(self, service: str) -> None:
        """Probe endpoints of a service until the partition ends."""
        reach = self.reach.of(service)
        while reach.is_partitioned:
            endpoint = self.next_endpoint(service)
            if endpoint is None:
                now = clocks.boot_time()
                partitioned_s = now - reach.partitioned_at
                reach.end_partition(now)
                self.on_partition_ended(service, partitioned_s)
                return
            self.wake.clear()
            if await self.test_path(endpoint):
                await asyncio.sleep(PASS_INTERVAL_S)
            else:
                await self.pause()

    def next_endpoint(self, service: str) -> endpointset.KnownEndpoint | None:
        """Return the endpoint to probe next, None if there is none."""
        serving = self.reach.endpoints.serving_endpoints(service)
        found = self.reach.of(service).probe_candidates(serving)
        return self.rng.choice(found) if found else None

    async def pause(self) -> None:
        """Wait for the next probe, or until an endpoint has started."""
        pause_s = PROBE_INTERVAL_S * self.rng.uniform(*PROBE_JITTER)
        try:
            async with asyncio.timeout(pause_s):
                await self.wake.wait()
        except TimeoutError:
            return

    def stop(self) -> None:
        """Stop all probes."""
        for tasks in (self.probers, self.searches, self.second_connects):
            for task in tasks.values():
                task.cancel()


@attrs.define(eq=False)
class ConnectWatch(upstream.ConnectObserver):
    """Reports one connection attempt to the monitor.

    Attributes:
        monitor: Receives the result.
        endpoint: The endpoint that is connected to.
        ended: Whether the attempt has ended.
        failure: Why the attempt failed, None if it did not.
        timer: Runs out if the attempt is slow.
    """

    monitor: ReachMonitor
    endpoint: endpointset.KnownEndpoint
    ended: bool = False
    failure: upstream.ConnectFailure | None = None
    timer: asyncio.TimerHandle | None = None

    def outcome(self) -> str:
        """Return the result for logs, empty if nothing was connected."""
        if not self.ended:
            return ""
        return self.failure.value if self.failure else "established"

    def on_started(self):
        """Start to watch for a slow attempt."""
        self.timer = asyncio.get_running_loop().call_later(
            SLOW_CONNECT_S, self.monitor.on_slow_connect, self.endpoint
        )

    def on_cancelled(self):
        """Stop to watch."""
        self.timer.cancel()

    def on_ended(self, failure):
        """Record the result of the attempt."""
        if self.timer is not None:
            self.timer.cancel()
        self.ended = True
        self.failure = failure
        if failure is None:
            self.monitor.record_connected(self.endpoint)
        else:
            self.monitor.record_failed(self.endpoint)
