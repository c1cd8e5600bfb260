"""Exchanges summaries of in-flight work between gateways by UDP.

A summary holds the changes since the last one. While there is work, a full
summary follows periodically, which corrects the effect of lost datagrams.
Receivers are the gateways that are advertised to callers, and any other
gateway that is known to have prompts in flight. One copy goes to each other
availability zone, where its receiver forwards it.
"""

import asyncio

import attrs
import msgspec

from _coltsfootroad.core import addresses
from _coltsfootroad.core import fanout
from _coltsfootroad.core.placement import workload
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import listening
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import settings as settings_lib
from _coltsfootroad.shell import traffic

LOG = logs.logger("gossip")
# Changes within this time share a datagram. It is on the order of the 1 ms that
# a datagram takes between zones, and well below one step of an engine.
COALESCE_S = 0.002
# The same for the end of work, its first event, and calls to plain services:
# counting work for this much longer hardly affects the choice of endpoints, and
# it saves two datagrams in three. A call that ends earlier is not sent at all.
LAZY_COALESCE_S = 0.025
# Full summaries are sent this often, so that receivers can distinguish an idle
# sender from a dead one within `workload.GATEWAY_TIMEOUT_S`.
FULL_SUMMARY_INTERVAL_S = 0.8
# Limit of changes in a datagram: 60 bytes each, 65,000 bytes in all.
MAX_CHANGES = 800
# Traffic counter of the datagrams.
SUMMARY_KIND = "Summary"


class WireChange(msgspec.Struct, array_like=True):
    """A change, encoded as a list in the field order of `workload.Change`."""

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
    # Earlier builds neither send nor read what follows.
    slowdown_tenths: int = 0
    took_ms: int = 0
    failed_at: str = ""


class WireWorkspaceChange(WireChange, array_like=True):
    """A change of a prompt whose workspace shares scarce capacity.

    Earlier builds ignore the trailing fields, and senders leave them out for
    work without a workspace.
    """

    workspace: int = 0
    queued: bool = False


class WireSummary(msgspec.Struct, array_like=True):
    """A summary, encoded as a list; each change is a list as well."""

    gateway: str
    incarnation: int
    seq: int
    full: bool
    changes: tuple[WireWorkspaceChange, ...]
    # Whether the receiver forwards it to the other gateways of its zone.
    pass_on: bool = False
    # Services of which the sender reaches no endpoint.
    partitioned_from: tuple[str, ...] = ()
    # Hashes of refused requests, and the milliseconds until they may be retried
    # and until their deadlines.
    refusals: tuple[tuple[int, int, int], ...] = ()


DECODER = msgspec.msgpack.Decoder(WireSummary)
ENCODER = msgspec.msgpack.Encoder()


def to_wire(summary: workload.Summary) -> WireSummary:
    """Return the wire form of a summary."""
    return WireSummary(
        summary.gateway,
        summary.incarnation,
        summary.seq,
        summary.full,
        tuple(change_to_wire(change) for change in summary.changes),
        partitioned_from=summary.partitioned_from,
        refusals=summary.refusals,
    )


def change_to_wire(change: workload.Change) -> WireChange:
    """Return the wire form of a change."""
    fields = attrs.astuple(change)
    if change.workspace:
        return WireWorkspaceChange(*fields)
    return WireChange(*fields[: len(WireChange.__struct_fields__)])


def encode(summary: workload.Summary) -> bytes:
    """Return the encoded bytes of a summary."""
    return ENCODER.encode(to_wire(summary))


def decode(data: bytes) -> workload.Summary:
    """Return the summary in a datagram; raises msgspec.MsgspecError."""
    return from_wire(DECODER.decode(data))


def from_wire(wire: WireSummary) -> workload.Summary:
    """Return a summary from its wire form."""
    return workload.Summary(
        gateway=wire.gateway,
        incarnation=wire.incarnation,
        seq=wire.seq,
        full=wire.full,
        changes=tuple(
            workload.Change(*msgspec.structs.astuple(change))
            for change in wire.changes
        ),
        partitioned_from=wire.partitioned_from,
        refusals=wire.refusals,
    )


class Gossip(asyncio.DatagramProtocol):
    """Sends summaries of own work and applies those of other gateways."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.transport = None
        self.seq = 0
        # Changes the forwarding gateways of other zones with each full summary.
        self.fanout_round = 0
        self.send_timer: asyncio.TimerHandle | None = None
        self.last_full_at = 0.0
        # Whether the last full summary held work or lost services.
        self.last_full_had_content = False
        self.dropped = 0

    async def start(self, address: str) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        with listening.errors_at(address):
            await loop.create_datagram_endpoint(
                lambda: self, local_addr=settings_lib.split_address(address)
            )

    def connection_made(self, transport):
        """Store the transport."""
        self.transport = transport

    def datagram_received(self, data, addr):
        """Apply another gateway's summary."""
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
        now = clocks.boot_time()
        self.gateway.load.apply_summary(from_wire(wire), now)
        self.gateway.fairness.ledger.apply(wire.refusals, now)

    def error_received(self, exc):
        """Log that a datagram could not be delivered."""
        LOG.debug("datagram not delivered", fault=str(exc))

    def schedule_send(self, delay_s: float) -> None:
        """Schedule a summary of the changes made until it is sent."""
        loop = asyncio.get_running_loop()
        due = loop.time() + delay_s
        if self.send_timer is not None:
            if self.send_timer.when() <= due:
                return
            self.send_timer.cancel()
        self.send_timer = loop.call_at(due, self.send)

    def refresh(self) -> None:
        """Send a full summary if one is due."""
        now = clocks.boot_time()
        if now - self.last_full_at < FULL_SUMMARY_INTERVAL_S:
            return
        self.last_full_at = now
        gateway = self.gateway
        has_content = bool(
            gateway.load.own or gateway.reach.partitioned_services()
        )
        # An empty summary is sent once, in case the last datagram was lost.
        if has_content or self.last_full_had_content:
            self.send_summary(full=True)
        self.last_full_had_content = has_content

    def send(self) -> None:
        """Send a summary of the changes."""
        self.send_timer = None
        if self.gateway.load.changed or self.gateway.fairness.ledger.unsent:
            self.send_summary(full=False)

    def announce_partition(self) -> None:
        """Send the services that this gateway does not reach at once."""
        self.last_full_had_content = True
        self.send_summary(full=False)

    def send_summary(self, full: bool) -> None:
        """Send a summary to the gateways that currently choose endpoints."""
        if self.transport is None or self.transport.is_closing():
            return
        self.seq += 1
        settings = self.gateway.settings
        now = clocks.boot_time()
        changes = self.gateway.load.collect_changes(full, now)
        if len(changes) > MAX_CHANGES:
            LOG.warning("summary truncated", changes=len(changes))
        wire = to_wire(
            workload.Summary(
                gateway=settings.gateway,
                incarnation=self.gateway.incarnation,
                seq=self.seq,
                full=full,
                changes=changes[:MAX_CHANGES],
                partitioned_from=self.gateway.reach.partitioned_services(),
                refusals=self.gateway.fairness.ledger.collect(now),
            )
        )
        self.fanout_round += full
        deliveries = fanout.deliveries(
            self.receivers(),
            settings.gateway,
            settings.availability_zone,
            self.fanout_round,
        )
        for pass_on in (False, True):
            receivers = [
                copy.to for copy in deliveries if copy.pass_on is pass_on
            ]
            wire.pass_on = pass_on
            self.send_to(receivers, wire)

    def pass_on(self, wire: WireSummary) -> None:
        """Forward another zone's summary to the other gateways of this zone."""
        zone = self.gateway.settings.availability_zone
        receivers = [
            member
            for member in self.receivers()
            if member.availability_zone == zone and member.entry != wire.gateway
        ]
        wire.pass_on = False
        self.send_to(receivers, wire)

    def send_to(self, members: list[addresses.Member], wire: WireSummary):
        """Send one datagram to each of the gateways."""
        if not members:
            return
        data = ENCODER.encode(wire)
        for member in members:
            traffic.count_sent(SUMMARY_KIND, len(data))
            address = settings_lib.split_address(member.peer_address)
            self.transport.sendto(data, address)

    def receivers(self) -> list[addresses.Member]:
        """Return the gateways that receive summaries."""
        view = self.gateway.view
        names = {member.entry for member in view.rotation.current()}
        names |= self.gateway.load.gateways_with_prompts()
        names.discard(self.gateway.settings.gateway)
        return [
            member
            for name, member in view.members.items()
            if name in names and member.peer_address
        ]

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()
