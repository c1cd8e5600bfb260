"""Provides addresses at which connection attempts are not answered."""

from collections.abc import Iterator
import contextlib
import socket

HOST = "127.0.0.1"
# Connections that fill the accept queue of a listener with backlog 0.
FULL_BACKLOG = 4


@contextlib.contextmanager
def listener(port: int = 0) -> Iterator[str]:
    """Yield an address, with a given port, that answers no connection."""
    with contextlib.ExitStack() as stack:
        listening = stack.enter_context(socket.socket())
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((HOST, port))
        listening.listen(0)
        address = listening.getsockname()
        for _ in range(FULL_BACKLOG):
            raw = stack.enter_context(socket.socket())
            raw.setblocking(False)
            raw.connect_ex(address)
        yield f"{HOST}:{address[1]}"
