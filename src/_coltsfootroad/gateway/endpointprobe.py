"""Tells an endpoint that has ended from one that only broke a connection."""

import asyncio
import enum
import socket

from _coltsfootroad.shell import settings as settings_lib

# A listener of the same zone answers within 2 ms; one that does not answer is
# cut off or has lost power.
PROBE_TIMEOUT_S = 0.4


class ListenerState(enum.Enum):
    """What a connection attempt shows of an endpoint's process."""

    OPEN = "open"
    # Its VM answers that no process listens at the port.
    CLOSED = "closed"
    SILENT = "silent"


async def probe(address: str) -> ListenerState:
    """Connect to an endpoint and close the connection at once."""
    loop = asyncio.get_running_loop()
    raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    raw.setblocking(False)
    try:
        await asyncio.wait_for(
            loop.sock_connect(raw, settings_lib.split_address(address)),
            PROBE_TIMEOUT_S,
        )
    except (ConnectionRefusedError, ConnectionResetError):
        return ListenerState.CLOSED
    except (OSError, TimeoutError):
        return ListenerState.SILENT
    finally:
        raw.close()
    return ListenerState.OPEN
