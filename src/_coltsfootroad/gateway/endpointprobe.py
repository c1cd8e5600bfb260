"""Probes whether an endpoint has ended or only broke a connection."""

import asyncio
import enum
import socket

from _coltsfootroad.shell import settings as settings_lib

# A listener in the same zone accepts within 2 ms; one that does not respond is
# unreachable or has lost power.
PROBE_TIMEOUT_S = 0.4


class ListenerState(enum.Enum):
    """State of an endpoint's listener as seen by a connection attempt."""

    OPEN = "open"
    # The VM refuses the connection: no process listens on the port.
    CLOSED = "closed"
    SILENT = "silent"


async def probe(
    address: str, timeout_s: float = PROBE_TIMEOUT_S
) -> ListenerState:
    """Connect to an endpoint and close the connection immediately."""
    loop = asyncio.get_running_loop()
    raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    raw.setblocking(False)
    try:
        # Unlike `asyncio.wait_for`, this does not drop a cancellation that
        # arrives together with the result.
        async with asyncio.timeout(timeout_s):
            await loop.sock_connect(raw, settings_lib.split_address(address))
    except (ConnectionRefusedError, ConnectionResetError):
        return ListenerState.CLOSED
    except (OSError, TimeoutError):
        return ListenerState.SILENT
    finally:
        raw.close()
    return ListenerState.OPEN
