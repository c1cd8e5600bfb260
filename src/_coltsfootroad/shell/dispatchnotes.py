"""Exchanges dispatch notes between entries, batched over milliseconds."""

import asyncio
from collections.abc import Callable

import grpc.aio

from _coltsfootroad.core import actions
from _coltsfootroad.core import addresses
from _coltsfootroad.shell import links
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import wireformats

LOG = logs.logger("notes")
# Notes within this time are sent as one message. A longer time saves messages
# but lets more entries choose the same idle engine (docs/design/routing.md).
BATCH_INTERVAL_S = 0.005

OnNote = Callable[[actions.DispatchNote], None]


class DispatchNoteExchange:
    """Sends dispatch notes to all live entries and receives theirs.

    Args:
        listen: Address of the server for other entries; empty for none.
        owner: Identity of this entry, stated as sender.
        on_note: Called with each note that is received.
        max_connections: Most connections of other entries.
    """

    def __init__(
        self, listen: str, owner: str, on_note: OnNote, max_connections: int
    ):
        self.listen = listen
        self.owner = owner
        self.on_note = on_note
        self.max_connections = max_connections
        self.loop = asyncio.get_running_loop()
        self.streams: dict[str, links.PeerLink] = {}
        self.queued: list[actions.DispatchNote] = []
        self.server: grpc.aio.Server | None = None

    async def start(self) -> None:
        """Listen for notes of other entries, if an address is set."""
        if not self.listen:
            return
        self.server = links.make_server(
            refuse_call, self.receive, max_connections=self.max_connections
        )
        links.listen(self.server, self.listen)
        await self.server.start()

    async def stop(self) -> None:
        """Close all streams and the server."""
        for stream in self.streams.values():
            await stream.close()
        if self.server is not None:
            await self.server.stop(grace=0.2)

    def update_peers(self, members: tuple[addresses.Member, ...]) -> None:
        """Open streams to new entries and close those to departed ones."""
        peer_addresses = {
            m.peer_address
            for m in members
            if m.peer_address and m.peer_address != self.listen
        }
        for address in set(self.streams) - peer_addresses:
            stream = self.streams.pop(address)
            self.loop.create_task(stream.close())
        for address in peer_addresses - set(self.streams):
            self.streams[address] = links.PeerLink(
                address, self.owner, self.listen, wireformats.NOTES
            )

    def send_soon(self, note: actions.DispatchNote) -> None:
        """Queue a note for the next batch to all other entries."""
        if not self.queued:
            self.loop.call_later(BATCH_INTERVAL_S, self.flush)
        self.queued.append(note)

    def flush(self) -> None:
        """Send the queued notes as one batch."""
        batch = wireformats.NoteBatch(notes=tuple(self.queued))
        self.queued = []
        for stream in self.streams.values():
            stream.send(batch)

    def receive(self, sender: str, _: str, data: bytes) -> None:
        """Process a batch of notes from another entry."""
        decoded = wireformats.NOTES.decode(data)
        if decoded.is_error():
            LOG.warning(
                "dropped dispatch notes of {}: {}",
                sender,
                decoded.error.message,
            )
            return
        for note in decoded.ok.notes:
            self.on_note(note)


async def refuse_call(_: bytes) -> bytes:
    """Return an empty response: entries serve no calls on this port."""
    return b""
