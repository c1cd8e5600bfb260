"""Tells other entries of dispatches, a few milliseconds after each."""

import asyncio
from collections.abc import Callable

import grpc.aio

from _coltsfootroad.core import actions
from _coltsfootroad.core import addresses
from _coltsfootroad.shell import links
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import wirecalls

LOG = logs.logger("notes")
# Notes of this long go out as one message. Longer saves messages but lets
# more entries pick the same idle engine (docs/design/routing.md).
FLUSH_S = 0.005

OnNote = Callable[[actions.DispatchNote], None]


class NoteExchange:
    """Streams to all live entries, and the server for theirs to us."""

    def __init__(self, listen: str, owner: str, on_note: OnNote):
        self.listen = listen
        self.owner = owner
        self.on_note = on_note
        self.loop = asyncio.get_running_loop()
        self.streams: dict[str, links.PeerLink] = {}
        self.waiting: list[actions.DispatchNote] = []
        self.server: grpc.aio.Server | None = None

    async def start(self) -> None:
        """Listen for the notes of others, if an address is set."""
        if not self.listen:
            return
        self.server = links.make_server(refuse_call, self.receive)
        links.listen(self.server, self.listen)
        await self.server.start()

    async def stop(self) -> None:
        """Close all streams."""
        for stream in self.streams.values():
            await stream.close()
        if self.server is not None:
            await self.server.stop(grace=0.2)

    def follow(self, members: tuple[addresses.Member, ...]) -> None:
        """Keep streams to exactly the live entries."""
        wanted = {
            m.peer_address
            for m in members
            if m.peer_address and m.peer_address != self.listen
        }
        for address in set(self.streams) - wanted:
            stream = self.streams.pop(address)
            self.loop.create_task(stream.close())
        for address in wanted - set(self.streams):
            self.streams[address] = links.PeerLink(
                address, self.owner, self.listen, wirecalls.NOTES
            )

    def share(self, note: actions.DispatchNote) -> None:
        """Send a note to all others soon."""
        if not self.waiting:
            self.loop.call_later(FLUSH_S, self.flush)
        self.waiting.append(note)

    def flush(self) -> None:
        """Send what has collected."""
        batch = wirecalls.NoteBatch(notes=tuple(self.waiting))
        self.waiting = []
        for stream in self.streams.values():
            stream.send(batch)

    def receive(self, sender: str, _: str, data: bytes) -> None:
        """Take the notes of another entry."""
        decoded = wirecalls.NOTES.decode(data)
        if decoded.is_error():
            LOG.warning("notes of {}: {}", sender, decoded.error.message)
            return
        for note in decoded.ok.notes:
            self.on_note(note)


async def refuse_call(_: bytes) -> bytes:
    """Answer nothing: entries take no calls."""
    return b""
