"""A loopback proxy in front of one listener that injects network faults.

It can delay, reset or drop traffic, and can limit the rate of the link all the
time; the connections then share the link.
"""

import asyncio
import time

import attrs

CHUNK_BYTES = 65_536
DELAY_S = 0.15
HOST = "127.0.0.1"
# Directions that each mode forwards: to the listener, from the listener.
FORWARDED_DIRECTIONS = {
    "": (True, True),
    "delay": (True, True),
    "drop_in": (False, True),
    "drop_out": (True, False),
    "silence": (False, False),
}


@attrs.define(eq=False)
class Proxy:
    """Forwards bytes between clients and one listener as its mode allows.

    A connection that has lost bytes forwards nothing more in that direction,
    like a TCP connection whose path was interrupted for long; only new
    connections work afterwards.
    """

    target: tuple[str, int]
    mode: str = ""
    # Rate per direction in bytes/s, 0 for no limit, and when the link of each
    # direction has sent what it accepted.
    link_bytes_per_s: float = 0.0
    link_free_at: list[float] = attrs.Factory(lambda: [0.0, 0.0])
    server: asyncio.Server | None = None
    port: int = 0
    writers: set[asyncio.StreamWriter] = attrs.Factory(set)

    @property
    def address(self) -> str:
        """Return the address on which the proxy listens."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Listen on a free port, or on the previous one after a restart."""
        self.server = await asyncio.start_server(self.serve, HOST, self.port)
        _, self.port = self.server.sockets[0].getsockname()

    def set_mode(self, mode: str) -> None:
        """Change the fault mode; "reset" aborts all connections once."""
        if mode == "reset":
            for writer in list(self.writers):
                writer.transport.abort()
            mode = ""
        self.mode = mode

    async def serve(self, reader, writer) -> None:
        """Forward one connection."""
        self.writers.add(writer)
        other = None
        try:
            other_reader, other = await asyncio.open_connection(*self.target)
            self.writers.add(other)
            await asyncio.gather(
                self.forward(reader, other, 0),
                self.forward(other_reader, writer, 1),
            )
        except (OSError, asyncio.CancelledError):
            # The listener is down, a side aborted, or the soak ends.
            writer.transport.abort()
        finally:
            for end in (writer, other):
                if end is not None:
                    self.writers.discard(end)
                    end.close()

    async def forward(self, reader, writer, direction: int) -> None:
        """Forward bytes in one direction until the sender closes."""
        silent = False
        while data := await reader.read(CHUNK_BYTES):
            if self.mode == "delay":
                await asyncio.sleep(DELAY_S)
            if self.link_bytes_per_s:
                await asyncio.sleep(self.transmit_delay_s(len(data), direction))
            silent = silent or not FORWARDED_DIRECTIONS[self.mode][direction]
            if not silent:
                writer.write(data)
                await writer.drain()
        if silent:
            return
        if writer.can_write_eof():
            writer.write_eof()

    def transmit_delay_s(self, size: int, direction: int) -> float:
        """Return how long until `size` more bytes have crossed the link."""
        now = time.monotonic()
        link_free_at = (
            max(self.link_free_at[direction], now)
            + size / self.link_bytes_per_s
        )
        self.link_free_at[direction] = link_free_at
        return link_free_at - now

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
