"""Detects endpoint crashes from sends whose connection was lost."""

import asyncio
from collections.abc import Callable

import attrs

from _coltsfootroad.core import crashes
from _coltsfootroad.core import endpointset
from _coltsfootroad.core import registry
from _coltsfootroad.gateway import endpointprobe
from _coltsfootroad.gateway import reachmonitor
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import logs

LOG = logs.logger("crash")
# The connections of an ending process close in any order, and its listener may
# close last.
PROBE_DELAY_S = 0.01
# After this gateway lost its path to a service, an endpoint counts as crashed
# only if this is proved within this time.
END_EVIDENCE_S = 10.0
END_EVIDENCE_POLL_S = 0.1
# Crashed endpoints that are remembered, as sends that are found lost later
# belong to the same crash.
MAX_CRASHED = 256


@attrs.define(eq=False)
class CrashDetector:
    """Probes an endpoint once for all connections that it broke.

    Attributes:
        endpoints: Known endpoints with their states and restarts.
        spawn: Runs a probe in the background.
        on_crash: Called with each crash, and again with later suspects.
        paths: Tells a lost path of this gateway from a crash.
        suspects: Lost sends by endpoint, while a probe is in progress.
        crashed: Boot clock seconds of the first lost send of each crash.
    """

    endpoints: endpointset.EndpointSet
    spawn: Callable
    on_crash: Callable[[crashes.Crash], None]
    paths: reachmonitor.ReachMonitor
    suspects: dict[crashes.EndpointKey, list[crashes.Suspect]] = attrs.Factory(
        dict
    )
    crashed: dict[crashes.EndpointKey, float] = attrs.Factory(dict)

    def on_lost(
        self, endpoint: endpointset.KnownEndpoint, suspect: crashes.Suspect
    ) -> None:
        """Handle a send whose connection broke during the response."""
        key = endpoint_key(endpoint)
        if key in self.crashed:
            LOG.info(
                "another send lost in a crash",
                endpoint=key.endpoint,
                incarnation=key.incarnation,
                fingerprint=suspect.fingerprint.text,
                sent_after_s=round(suspect.sent_at - self.crashed[key], 3),
            )
            self.report(key, [suspect])
        elif key in self.suspects:
            self.suspects[key].append(suspect)
        else:
            self.suspects[key] = [suspect]
            self.spawn(self.probe_endpoint(key, endpoint, clocks.boot_time()))

    async def has_ended(self, endpoint: endpointset.KnownEndpoint) -> bool:
        """Return whether an endpoint has crashed that just closed a connection.

        One that does not respond closed the connection itself, as a lost VM or
        network closes none.
        """
        await asyncio.sleep(PROBE_DELAY_S)
        listener = await endpointprobe.probe(endpoint.announcement.address)
        return self.has_crashed(endpoint, listener)

    async def probe_endpoint(
        self,
        key: crashes.EndpointKey,
        endpoint: endpointset.KnownEndpoint,
        lost_at: float,
    ) -> None:
        """Probe an endpoint and report a crash if its process has ended."""
        await asyncio.sleep(PROBE_DELAY_S)
        path_worked = self.paths.has_reached_since(endpoint, lost_at)
        listener = await endpointprobe.probe(endpoint.announcement.address)
        has_crashed = self.has_crashed(endpoint, listener)
        # A lost path resets connections and refuses new ones as well.
        path_works = not has_crashed or await self.paths.reaches_another(
            endpoint, lost_at
        )
        if has_crashed and path_works and not path_worked:
            # The path may have come back after the endpoint was probed.
            listener = await endpointprobe.probe(endpoint.announcement.address)
            has_crashed = self.has_crashed(endpoint, listener)
        if not path_works:
            LOG.info(
                "endpoint not reached",
                endpoint=key.endpoint,
                incarnation=key.incarnation,
                listener=listener.value,
                suspects=len(self.suspects[key]),
            )
            has_crashed = await self.proves_end(endpoint, lost_at)
        lost_sends = self.suspects.pop(key)
        LOG.info(
            "endpoint crashed" if has_crashed else "endpoint broke connection",
            endpoint=key.endpoint,
            incarnation=key.incarnation,
            listener=listener.value,
            path_works=path_works,
            state=endpoint.announcement.state.value,
            suspects=[suspect.fingerprint.text for suspect in lost_sends],
        )
        if has_crashed:
            self.record_crash(key, lost_at)
            self.report(key, lost_sends)

    def has_crashed(
        self,
        endpoint: endpointset.KnownEndpoint,
        listener: endpointprobe.ListenerState,
    ) -> bool:
        """Return whether an endpoint ended without announcing it.

        A later incarnation proves the end as well, even if another process
        already listens at the address.
        """
        if endpoint.announcement.state is not registry.EndpointState.SERVING:
            return False
        if self.endpoints.has_restarted(endpoint):
            return True
        if not self.endpoints.is_current(endpoint):
            return False
        return listener is endpointprobe.ListenerState.CLOSED

    async def proves_end(
        self, endpoint: endpointset.KnownEndpoint, lost_at: float
    ) -> bool:
        """Return whether an endpoint that is not reached proves to have ended.

        Proofs are the word of the control plane, and a closed listener once
        the gateway reaches other endpoints of the service again.
        """
        address = endpoint.announcement.address
        end = clocks.boot_time() + END_EVIDENCE_S
        while clocks.boot_time() < end:
            if self.endpoints.has_ended(endpoint):
                return True
            if not self.endpoints.is_current(endpoint):
                return False
            if self.paths.has_reached_since(endpoint, lost_at):
                listener = await endpointprobe.probe(address)
                if listener is endpointprobe.ListenerState.CLOSED:
                    return True
            await asyncio.sleep(END_EVIDENCE_POLL_S)
        return False

    def record_crash(self, key: crashes.EndpointKey, lost_at: float) -> None:
        """Record a crash; drop the oldest one beyond the limit."""
        self.crashed[key] = lost_at
        while len(self.crashed) > MAX_CRASHED:
            del self.crashed[next(iter(self.crashed))]

    def report(
        self, key: crashes.EndpointKey, lost_sends: list[crashes.Suspect]
    ) -> None:
        """Report a crash with the requests that were in flight."""
        self.on_crash(
            crashes.Crash(
                endpoint=key, at=self.crashed[key], suspects=tuple(lost_sends)
            )
        )


def endpoint_key(endpoint: endpointset.KnownEndpoint) -> crashes.EndpointKey:
    """Return the key of an endpoint's current incarnation."""
    return crashes.EndpointKey(
        endpoint=endpoint.name, incarnation=endpoint.announcement.incarnation
    )
