"""Tells other gateways by datagram what this one has sent where.

A datagram holds what has changed; all of the sender's work follows every
0.8 s, which heals whatever a lost datagram left out. Bytes between zones are
dear: telling all work with each change took 0.27 MB/s on ten gateways.
"""

import asyncio

import attrs
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
# Most changes of one datagram: 60 bytes each, 65,000 in all.
MAX_CHANGES = 800


class WireChange(msgspec.Struct, array_like=True):
    """A change as a list, its fields in the order of `workload.Change`."""

    key: int
    endpoint: str
    prompt_tokens: int
    output_tokens: int
    kv_tokens: int
    parts: int
    leads: bool
    age_ms: int
    writing: bool
    gap_target_ms: int
    value: float


class WireSummary(msgspec.Struct, array_like=True):
    """A summary as a list of values; each change is a list as well."""

    gateway: str
    incarnation: int
    seq: int
    full: bool
    changes: tuple[WireChange, ...]


DECODER = msgspec.msgpack.Decoder(WireSummary)
ENCODER = msgspec.msgpack.Encoder()


def encode(summary: workload.Summary) -> bytes:
    """Return the bytes of a summary."""
    return ENCODER.encode(
        WireSummary(
            summary.gateway,
            summary.incarnation,
            summary.seq,
            summary.full,
            tuple(
                WireChange(*attrs.astuple(change)) for change in summary.changes
            ),
        )
    )


def decode(data: bytes) -> workload.Summary:
    """Return the summary in a datagram; raises msgspec.MsgspecError."""
    wire = DECODER.decode(data)
    return workload.Summary(
        gateway=wire.gateway,
        incarnation=wire.incarnation,
        seq=wire.seq,
        full=wire.full,
        changes=tuple(
            workload.Change(*msgspec.structs.astuple(change))
            for change in wire.changes
        ),
    )


class Gossip(asyncio.DatagramProtocol):
    """Sends own summaries and takes those of others."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.transport = None
        self.seq = 0
        self.planned = False
        self.full_at = 0.0
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
            summary = decode(data)
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
        """Send everything if that was not done for a while."""
        if clocks.boot_time() - self.full_at >= REFRESH_S:
            self.full_at = clocks.boot_time()
            self.send_summary(full=True)

    def send(self) -> None:
        """Send what has changed."""
        self.planned = False
        if self.gateway.load.changed:
            self.send_summary(full=False)

    def send_summary(self, full: bool) -> None:
        """Send a summary to every other gateway."""
        if self.transport is None or self.transport.is_closing():
            return
        self.seq += 1
        settings = self.gateway.settings
        changes = self.gateway.load.take_changes(full, clocks.boot_time())
        if len(changes) > MAX_CHANGES:
            LOG.warning("summary cut", changes=len(changes))
        data = encode(
            workload.Summary(
                gateway=settings.gateway,
                incarnation=self.gateway.incarnation,
                seq=self.seq,
                full=full,
                changes=changes[:MAX_CHANGES],
            )
        )
        for member in self.gateway.view.members.values():
            if member.entry != settings.gateway and member.peer_address:
                self.transport.sendto(
                    data, settings_lib.split_address(member.peer_address)
                )

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()
