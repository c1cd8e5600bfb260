"""Socket options for all connections of a gateway."""

import socket

# A peer may vanish without a TCP reset. A connection with unacknowledged data
# is closed after this time; idle connections send keep-alive probes. On Linux,
# this time also decides when unanswered probes close a connection, before their
# count does. A sound peer may be silent for about a second.
USER_TIMEOUT_MS = 3_000
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3


def tune(raw: socket.socket) -> None:
    """Set time-outs and keep-alive, and disable Nagle's algorithm."""
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    raw.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
