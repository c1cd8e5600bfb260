"""Tells other gateways by datagram what this one has sent where.

A datagram holds what has changed; all of the sender's work follows now and
then while there is any, which heals whatever a lost datagram left out. Only
gateways that callers are sent to are told, and those that were heard to have
prompts all the same. One copy goes to each other availability zone, where its
receiver passes it on.
"""

import asyncio

import attrs
import msgspec

from _coltsfootroad.core import addresses
from _coltsfootroad.core import fanout
from _coltsfootroad.core import workload
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import listening
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import settings as settings_lib
from _coltsfootroad.shell import traffic

LOG = logs.logger("gossip")
# Changes within this time share a datagram: below the millisecond that a
# datagram takes between zones, and well below a pass of an engine.
COALESCE_S = 0.002
# The end of work, its first event, and calls to plain services may be told
# later: a choice that counts it for this long more is hardly a worse one, and
# two datagrams in three are saved. A call that is over by then is not told.
COALESCE_LATER_S = 0.025
# All work is sent this often, so that receivers can tell a quiet sender from
# a dead one within `workload.BELIEF_S`.
REFRESH_S = 0.8
# Most changes of one datagram: 60 bytes each, 65,000 in all.
MAX_CHANGES = 800
# How datagrams are counted.
SUMMARY_KIND = "Summary"


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
    late: bool


class WireSummary(msgspec.Struct, array_like=True):
    """A summary as a list of values; each change is a list as well."""

    gateway: str
    incarnation: int
    seq: int
    full: bool
    changes: tuple[WireChange, ...]
    # Whether the receiver is to send it on to the others of its zone.
    pass_on: bool = False


DECODER = msgspec.msgpack.Decoder(WireSummary)
ENCODER = msgspec.msgpack.Encoder()


def to_wire(summary: workload.Summary) -> WireSummary:
    """Return a summary in the form in which it is sent."""
    return WireSummary(
        summary.gateway,
        summary.incarnation,
        summary.seq,
        summary.full,
        tuple(WireChange(*attrs.astuple(change)) for change in summary.changes),
    )


def encode(summary: workload.Summary) -> bytes:
    """Return the bytes of a summary."""
    return ENCODER.encode(to_wire(summary))


def decode(data: bytes) -> workload.Summary:
    """Return the summary in a datagram; raises msgspec.MsgspecError."""
    return from_wire(DECODER.decode(data))


def from_wire(wire: WireSummary) -> workload.Summary:
    """Return a summary from the form in which it came."""
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
        # Draws anew who passes on in other zones, with each full summary.
        self.turn = 0
        self.planned: asyncio.TimerHandle | None = None
        self.full_at = 0.0
        self.told_full = 0
        self.dropped = 0

    async def start(self, address: str) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        with listening.errors_at(address):
            await loop.create_datagram_endpoint(
                lambda: self, local_addr=settings_lib.split_address(address)
            )

    def connection_made(self, transport):
        """Keep the socket."""
        self.transport = transport

    def datagram_received(self, data, addr):
        """Take another gateway's summary."""
        traffic.count_received(SUMMARY_KIND, len(data))
        try:
            wire = DECODER.decode(data)
        except msgspec.MsgspecError as error:
            self.dropped += 1
            LOG.warning("datagram dropped", sender=str(addr), fault=str(error))
            return
        if wire.gateway == self.gateway.settings.gateway:
            return
        if wire.pass_on:
            self.pass_on(wire)
        self.gateway.load.take(from_wire(wire), clocks.boot_time())

    def error_received(self, exc):
        """Note that a datagram could not be delivered."""
        LOG.debug("datagram not delivered", fault=str(exc))

    def plan(self, delay_s: float) -> None:
        """Send soon; what changes until then goes along."""
        loop = asyncio.get_running_loop()
        due = loop.time() + delay_s
        if self.planned is not None:
            if self.planned.when() <= due:
                return
            self.planned.cancel()
        self.planned = loop.call_at(due, self.send)

    def refresh(self) -> None:
        """Send everything if that was not done for a while."""
        now = clocks.boot_time()
        if now - self.full_at < REFRESH_S:
            return
        self.full_at = now
        count = len(self.gateway.load.own)
        # Having nothing is told once, in case the last end was lost.
        if count or self.told_full:
            self.send_summary(full=True)
        self.told_full = count

    def send(self) -> None:
        """Send what has changed."""
        self.planned = None
        if self.gateway.load.changed:
            self.send_summary(full=False)

    def send_summary(self, full: bool) -> None:
        """Send a summary to the gateways that choose endpoints now."""
        if self.transport is None or self.transport.is_closing():
            return
        self.seq += 1
        settings = self.gateway.settings
        changes = self.gateway.load.take_changes(full, clocks.boot_time())
        if len(changes) > MAX_CHANGES:
            LOG.warning("summary cut", changes=len(changes))
        wire = to_wire(
            workload.Summary(
                gateway=settings.gateway,
                incarnation=self.gateway.incarnation,
                seq=self.seq,
                full=full,
                changes=changes[:MAX_CHANGES],
            )
        )
        self.turn += full
        copies = fanout.copies(
            self.receivers(),
            settings.gateway,
            settings.availability_zone,
            self.turn,
        )
        for pass_on in (False, True):
            to = [copy.to for copy in copies if copy.pass_on is pass_on]
            wire.pass_on = pass_on
            self.send_to(to, wire)

    def pass_on(self, wire: WireSummary) -> None:
        """Send another zone's summary to the others of this zone."""
        zone = self.gateway.settings.availability_zone
        to = [
            member
            for member in self.receivers()
            if member.availability_zone == zone and member.entry != wire.gateway
        ]
        wire.pass_on = False
        self.send_to(to, wire)

    def send_to(self, members: list[addresses.Member], wire: WireSummary):
        """Send one datagram to each of some gateways."""
        if not members:
            return
        data = ENCODER.encode(wire)
        for member in members:
            traffic.count_sent(SUMMARY_KIND, len(data))
            address = settings_lib.split_address(member.peer_address)
            self.transport.sendto(data, address)

    def receivers(self) -> list[addresses.Member]:
        """Return the gateways that are told."""
        view = self.gateway.view
        told = {member.entry for member in view.rotation.current()}
        told |= self.gateway.load.with_prompts()
        told.discard(self.gateway.settings.gateway)
        return [
            member
            for name, member in view.members.items()
            if name in told and member.peer_address
        ]

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()
