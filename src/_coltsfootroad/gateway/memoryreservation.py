"""Reserves memory on several engines for one long prompt.

All reservations are requested at once, and all are released if one is refused.
No reservation is held while waiting for another, so two long prompts cannot
deadlock. Each reservation is a short lease that is renewed while the request
runs, so an engine's memory becomes free by itself if this gateway fails.
"""

import asyncio

import attrs

from _coltsfootroad.core import endpointset
from _coltsfootroad.gateway import upstream
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import logs

LOG = logs.logger("tickets")
# Engines count the lease from the arrival of its request. It outlasts two lost
# renewals, and ends before unused memory counts as leaked.
LEASE_S = 3.0
RENEW_INTERVAL_S = 1.0
REQUEST_TIMEOUT_S = 0.5
GRANTED_STATUS = 200


@attrs.frozen(kw_only=True)
class MemoryShare:
    """The tokens of a prompt for which one engine reserves memory."""

    endpoint: endpointset.KnownEndpoint
    tokens: int


class StatusOnlySink(upstream.ResponseSink):
    """Keeps a response's status and discards its body."""

    def __init__(self):
        self.status = 0

    def on_head(self, status, reason, headers):
        """Store the status."""
        self.status = status
        return True

    def on_data(self, data):
        """Discard a chunk of the body."""


@attrs.define(eq=False)
class MemoryReservation:
    """The reserved memory of one send; each retry makes a new reservation."""

    gateway: object
    request_id: str
    ticket: str
    shares: tuple[MemoryShare, ...]
    renewer: asyncio.Task | None = None

    async def reserve(self) -> bool:
        """Reserve on all engines; release all if one refuses."""
        granted = await self.request_all()
        LOG.info(
            "memory reserved" if granted else "memory not reserved",
            request=self.request_id,
            ticket=self.ticket,
            engines=[share.endpoint.name for share in self.shares],
            tokens=[share.tokens for share in self.shares],
        )
        if granted:
            self.renewer = asyncio.ensure_future(self.renew())
        else:
            await self.release()
        return granted

    async def request_all(self) -> bool:
        """Reserve or renew on all engines; return whether all granted it."""
        memory = self.gateway.dialect.memory
        statuses = await asyncio.gather(
            *(
                self.send_request(
                    share, memory.reserve(self.ticket, share.tokens, LEASE_S)
                )
                for share in self.shares
            )
        )
        return all(status == GRANTED_STATUS for status in statuses)

    async def send_request(
        self, share: MemoryShare, request: upstream.UpstreamRequest
    ) -> int:
        """Send one request; return the HTTP status, 0 for no response.

        Nothing is sent to a later incarnation of the engine: the reservation
        ended with the earlier one, and a renewal would reserve unused memory.
        Nothing is sent to an evacuated zone either, not even a release.
        """
        endpoints = self.gateway.endpoints
        if not endpoints.is_current(share.endpoint):
            return 0
        if endpoints.is_evacuated(share.endpoint):
            return 0
        names = self.gateway.dialect.names
        announcement = share.endpoint.announcement
        request.headers["Host"] = announcement.address
        request.headers[names.expected_endpoint] = share.endpoint.name
        sink = StatusOnlySink()
        pool = self.gateway.pool(announcement.address)
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                end = await pool.call(
                    request,
                    sink,
                    True,
                    self.gateway.evacuation.memory_check(
                        share.endpoint, self.request_id, self.renewer is None
                    ),
                )
        except TimeoutError:
            LOG.info(
                "memory request not answered",
                request=self.request_id,
                endpoint=share.endpoint.name,
            )
            return 0
        if end is upstream.CallEnd.MALFORMED:
            self.record_fault(share, sink)
            return 0
        return sink.status

    def record_fault(self, share: MemoryShare, sink: StatusOnlySink) -> None:
        """Count an engine as faulty whose response could not be read.

        Memory that it has reserved is released like that of other engines.
        """
        endpoints = self.gateway.endpoints
        if not endpoints.is_current(share.endpoint):
            return
        name = share.endpoint.name
        LOG.info(
            "endpoint rests",
            request=self.request_id,
            endpoint=name,
            rest_s=endpoints.on_failure(name, clocks.boot_time(), False),
            fault=sink.fault.value,
        )

    async def renew(self) -> None:
        """Renew until cancelled."""
        while True:
            await asyncio.sleep(RENEW_INTERVAL_S)
            await self.request_all()

    async def release(self) -> None:
        """Release all reservations; a failed release ends with its lease."""
        if self.renewer is not None:
            self.renewer.cancel()
        memory = self.gateway.dialect.memory
        await asyncio.gather(
            *(
                self.send_request(share, memory.release(self.ticket))
                for share in self.shares
            )
        )
