"""Sets memory aside on several engines for one long prompt.

All tickets are asked for at once and none is waited for while another is
held, so two long prompts cannot block each other. Each ticket is a short
lease that is renewed while its request runs: an engine gets its memory back
by itself when this gateway dies.
"""

import asyncio

import attrs

from _coltsfootroad.core import endpointset
from _coltsfootroad.gateway import upstream
from _coltsfootroad.shell import logs

LOG = logs.logger("tickets")
# Engines count the lease from its arrival. Three seconds outlast two lost
# renewals, and end before memory that nobody uses counts as lost.
LEASE_S = 3.0
RENEW_INTERVAL_S = 1.0
REQUEST_TIMEOUT_S = 0.5
GRANTED_STATUS = 200


@attrs.frozen(kw_only=True)
class MemoryShare:
    """Tokens of a prompt that one engine is to hold."""

    endpoint: endpointset.KnownEndpoint
    tokens: int


class StatusOnlySink(upstream.ResponseSink):
    """Keeps the status of an answer and nothing else."""

    def __init__(self):
        self.status = 0

    def on_head(self, status, reason, headers):
        """Keep the status."""
        self.status = status
        return True

    def on_data(self, data):
        """Drop a piece of the body."""


@attrs.define(eq=False)
class MemoryReservation:
    """The tickets of one send; a resend gets new ones."""

    gateway: object
    request_id: str
    ticket: str
    shares: tuple[MemoryShare, ...]
    renewer: asyncio.Task | None = None

    async def reserve(self) -> bool:
        """Take all tickets; free those taken if one is refused."""
        granted = await self.request_all()
        LOG.info(
            "memory reserved" if granted else "memory not free",
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
        """Reserve or renew at every engine; return whether all agreed."""
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
        """Give one order; return its status, 0 for no answer.

        None goes to a later start of the engine: the memory ended with the
        earlier one, and renewing it would set memory aside for nobody.
        """
        if not self.gateway.endpoints.is_current(share.endpoint):
            return 0
        names = self.gateway.dialect.names
        announcement = share.endpoint.announcement
        request.headers["Host"] = announcement.address
        request.headers[names.expected_endpoint] = share.endpoint.name
        sink = StatusOnlySink()
        pool = self.gateway.pool(announcement.address)
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                await pool.call(request, sink, True)
        except TimeoutError:
            LOG.info(
                "order without an answer",
                request=self.request_id,
                endpoint=share.endpoint.name,
            )
            return 0
        return sink.status

    async def renew(self) -> None:
        """Renew until cancelled."""
        while True:
            await asyncio.sleep(RENEW_INTERVAL_S)
            await self.request_all()

    async def release(self) -> None:
        """Free all memory; what is not freed now ends with its lease."""
        if self.renewer is not None:
            self.renewer.cancel()
        memory = self.gateway.dialect.memory
        await asyncio.gather(
            *(
                self.send_request(share, memory.release(self.ticket))
                for share in self.shares
            )
        )
