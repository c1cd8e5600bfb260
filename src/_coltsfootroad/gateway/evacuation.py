"""Keeps a gateway from sending to the endpoints of evacuated zones.

Endpoints of evacuated zones are not chosen (`core/endpointset.py`). As
connecting takes time, the order may arrive after the choice, so it is checked
again right before the first byte is written, together with the proof that the
gateway knows all orders. A send that is not written has reached nobody: it is
charged to no budget and its endpoint is not at fault.
"""

import collections
from collections.abc import Callable
from collections.abc import Sequence

import attrs

from _coltsfootroad.control import watching
from _coltsfootroad.core import endpointset
from _coltsfootroad.core import evacuation as evacuation_lib
from _coltsfootroad.core import routeview
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import logs

LOG = logs.logger("evacuation")
# Counted reasons for not writing to an endpoint.
EVACUATED = "evacuated"
NO_PROOF = "no_proof"


@attrs.define(eq=False)
class Evacuation:
    """Applies evacuation orders to the sends of a gateway.

    Attributes:
        endpoints: The known endpoints; holds the evacuated zones.
        view: The proof that the gateway knows the newest orders.
        zones: Evacuated zones by the responses to watches.
        kept: Further zones that count as evacuated, as the complete response
            that leaves them out is older than the proof that the gateway holds.
        kept_proved_at: Time of that proof.
        stopped: Number of sends that were not written, by reason.
        refusals: Number of requests that only evacuated zones could serve.
    """

    endpoints: endpointset.EndpointSet
    view: routeview.RouteView
    zones: frozenset[str] = frozenset()
    kept: frozenset[str] = frozenset()
    kept_proved_at: float = routeview.NEVER
    stopped: collections.Counter = attrs.Factory(collections.Counter)
    refusals: int = 0

    def learn(self, changes: watching.Changes, proved_at: float) -> None:
        """Apply a response to a watch; a complete one replaces the orders.

        A relay that has not reached the present leader may send a complete
        response that is older than what another relay has proved. Zones that
        it leaves out are kept until a response is as new as that proof.

        Args:
            changes: The changes in the response.
            proved_at: Boot clock seconds of the response's own proof.
        """
        before = self.endpoints.evacuated_zones
        if changes.whole and proved_at < self.view.confirmed_at:
            self.kept = before
            self.kept_proved_at = self.view.confirmed_at
        elif proved_at >= self.kept_proved_at:
            self.kept = frozenset()
        known = frozenset() if changes.whole else self.zones
        self.zones = (known - set(changes.restored)) | set(changes.evacuated)
        zones = self.zones | self.kept
        if zones == before:
            return
        self.endpoints.set_evacuated(zones)
        for zone in sorted(zones ^ before):
            LOG.info(
                "zone evacuated" if zone in zones else "zone restored",
                zone=zone,
                endpoints=self.endpoints.count_in_zone(zone),
                whole=changes.whole,
                kept=zone in self.kept,
            )

    def stop_reason(
        self,
        endpoints: Sequence[endpointset.KnownEndpoint],
        now: float,
        needs_proof: bool = True,
    ) -> str:
        """Return why endpoints may not be written to, empty if they may."""
        if needs_proof and not self.view.is_current(now):
            return NO_PROOF
        if any(map(self.endpoints.is_evacuated, endpoints)):
            return EVACUATED
        return ""

    def allows(
        self,
        endpoints: Sequence[endpointset.KnownEndpoint],
        request_id: str,
        needs_proof: bool = True,
    ) -> bool:
        """Return whether endpoints may be written to now; log it if not."""
        now = clocks.boot_time()
        reason = self.stop_reason(endpoints, now, needs_proof)
        if not reason:
            return True
        self.stopped[reason] += 1
        LOG.info(
            "send stopped before its first byte",
            request=request_id,
            reason=reason,
            endpoints=[known.name for known in endpoints],
            zones=[known.announcement.availability_zone for known in endpoints],
            evacuated=sorted(self.endpoints.evacuated_zones),
            proof_age_s=round(min(self.view.age_s(now), 1e6), 3),
        )
        return False

    def send_check(self, exchange, choice) -> Callable[[], bool]:
        """Return the check to make right before a request is written.

        It counts the send for the limit of cold endpoints and the retry budget
        if it is allowed. Otherwise the send does not count as one of the
        request's.
        """
        endpoints = (choice.endpoint, *choice.helpers)

        def may_send() -> bool:
            if not self.allows(endpoints, exchange.request_id):
                exchange.sends.count -= 1
                return False
            return exchange.cold.may_send(choice)

        return may_send

    def memory_check(
        self,
        endpoint: endpointset.KnownEndpoint,
        request_id: str,
        is_new: bool,
    ) -> Callable[[], bool]:
        """Return the check to make right before a memory request is written.

        Renewals and releases are not written to an evacuated zone either: a
        reservation ends with its lease. Elsewhere they need no proof, as they
        send no new work; without a leader, streams that run keep their memory.
        """
        return lambda: self.allows((endpoint,), request_id, is_new)

    def retry_after_s(self, remaining_s: float) -> float:
        """Count a refusal; return the retry delay to state."""
        self.refusals += 1
        return evacuation_lib.retry_after_s(remaining_s)

    def add_metrics(self, metrics) -> None:
        """Register the metrics of evacuated zones."""
        metrics.labelled_gauge(
            "colts_gateway_evacuated",
            "Endpoints that get nothing, by evacuated zone",
            "availability_zone",
            lambda: {
                zone: self.endpoints.count_in_zone(zone)
                for zone in self.endpoints.evacuated_zones
            },
        )
        metrics.labelled_counter(
            "colts_gateway_stopped_sends",
            "Sends and memory requests stopped before their first byte",
            "reason",
            lambda: dict(self.stopped),
        )
        metrics.counter(
            "colts_gateway_evacuation_refusals",
            "Requests refused as only evacuated zones could serve them",
            lambda: self.refusals,
        )

    def dump(self) -> dict:
        """Return the state for operators."""
        return {
            "zones": sorted(self.endpoints.evacuated_zones),
            "kept": sorted(self.kept),
            "stopped": dict(self.stopped),
            "refusals": self.refusals,
        }
