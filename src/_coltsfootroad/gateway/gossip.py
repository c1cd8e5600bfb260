"""Tells other gateways by datagram what this one has sent where.

Each datagram holds all of the sender's work, so a lost one costs nothing
that the next does not bring, and none has to arrive in order.
"""

import asyncio

import msgspec

from _coltsfootroad.core import workload
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import settings as settings_lib

LOG = logs.logger("gossip")
# Changes within this time share a datagram: below the millisecond that a
# datagram takes between zones, and well below a pass of an engine.
COALESCE_S = 0.002
# Sent without a change, so that receivers can tell a quiet sender from a
# dead one within `workload.SUMMARY_BELIEF_S`.
REFRESH_S = 0.8
# Most work that fits into one datagram.
MAX_WORKS = 400
DECODER = msgspec.msgpack.Decoder(workload.WorkSummary)


class Gossip(asyncio.DatagramProtocol):
    """Sends own summaries and takes those of others."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.transport = None
        self.seq = 0
        self.planned = False
        self.sent_at = 0.0
        self.dropped = 0

    async def start(self, address: str) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=settings_lib.split_address(address)
        )

    def connection_made(self, transport):
        """Keep the socket."""
        self.transport = transport

    def datagram_received(self, data, addr):
        """Take another gateway's summary."""
        try:
            summary = DECODER.decode(data)
        except msgspec.MsgspecError as error:
            self.dropped += 1
            LOG.warning("datagram dropped", sender=str(addr), fault=str(error))
            return
        if summary.gateway != self.gateway.settings.gateway:
            self.gateway.load.take(summary, clocks.boot_time())

    def error_received(self, exc):
        """Note that a datagram could not be delivered."""
        LOG.debug("datagram not delivered", fault=str(exc))

    def plan(self) -> None:
        """Send soon; what changes until then goes along."""
        if not self.planned:
            self.planned = True
            asyncio.get_running_loop().call_later(COALESCE_S, self.send)

    def refresh(self) -> None:
        """Send if nothing was sent for a while."""
        if clocks.boot_time() - self.sent_at >= REFRESH_S:
            self.send()

    def send(self) -> None:
        """Send a summary to every other gateway."""
        self.planned = False
        if self.transport is None or self.transport.is_closing():
            return
        now = clocks.boot_time()
        self.sent_at = now
        self.seq += 1
        settings = self.gateway.settings
        summary = self.gateway.load.summary(
            settings.gateway, self.gateway.incarnation, self.seq, now
        )
        if len(summary.works) > MAX_WORKS:
            LOG.warning("summary cut", works=len(summary.works))
        data = msgspec.msgpack.encode(summary)
        for member in self.gateway.view.members.values():
            if member.entry != settings.gateway and member.peer_address:
                self.transport.sendto(
                    data, settings_lib.split_address(member.peer_address)
                )

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()
