"""Opens gRPC channels between processes of this project.

Retries, proxies, name resolution and shared connections of gRPC are turned
off: the callers in this package have their own rules for them.
"""

import asyncio

import attrs
from expression import Error
from expression import Result
import grpc
import grpc.aio

from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import wire

MAX_MESSAGE_BYTES = 32 * 1024 * 1024
SERVICE = "coltsfootroad.Control"
CALL = f"/{SERVICE}/Call"
PEER = f"/{SERVICE}/Peer"
OPTIONS = [
    ("grpc.enable_retries", 0),
    ("grpc.enable_http_proxy", 0),
    # With port reuse, a second process could bind the same address and receive
    # part of the calls.
    ("grpc.so_reuseport", 0),
    ("grpc.service_config_disable_resolution", 1),
    # A connection can stop delivering packets without a reset. A ping each
    # second detects that; servers must not treat the pings as abuse.
    ("grpc.keepalive_time_ms", 1_000),
    ("grpc.keepalive_timeout_ms", 1_500),
    # Time-out of a ping while data is in flight; the default is one minute.
    ("grpc.http2.ping_timeout_ms", 1_500),
    ("grpc.http2.min_ping_interval_without_data_ms", 500),
    ("grpc.http2.max_ping_strikes", 0),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    ("grpc.initial_reconnect_backoff_ms", 200),
    # Also bounds a connection attempt: by default, an attempt that starts
    # during a network partition blocks the channel for 20 s.
    ("grpc.min_reconnect_backoff_ms", 500),
    # A channel that replaces an unresponsive one needs its own connection.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.so_reuseport", 0),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
]
# Connections to a server without a limit of its own.
MAX_CONNECTIONS = 1_024
# Longest wait for the first bytes of HTTP/2 on a new connection.
HANDSHAKE_TIMEOUT_MS = 3_000
# How long calls in flight may continue on a channel that is being closed.
CLOSE_GRACE_S = 3.0
# Unused channels are closed after this time: their pings cost both sides CPU
# time and bandwidth.
IDLE_TIMEOUT_S = 5.0


def server_options(max_connections: int) -> list[tuple[str, int]]:
    """Return the options of a server; further connections are closed."""
    return [
        *OPTIONS,
        ("grpc.max_allowed_incoming_connections", max_connections),
        ("grpc.server_handshake_timeout_ms", HANDSHAKE_TIMEOUT_MS),
    ]


def target(address: str) -> str:
    """Return a gRPC target that needs no name resolution."""
    return f"ipv4:{address}"


def open_channel(address: str) -> grpc.aio.Channel:
    """Open a channel to a process."""
    return grpc.aio.insecure_channel(target(address), options=OPTIONS)


@attrs.define(eq=False)
class ChannelPool:
    """Keeps open channels by address and makes calls on them.

    Attributes:
        calls: Encodes requests and decodes responses.
        opened: Open channels by address.
        used_at: Boot time of the last use of each channel, by address.
        closing: Tasks that close channels.
    """

    calls: wire.WireFormat
    opened: dict[str, grpc.aio.Channel] = attrs.Factory(dict)
    used_at: dict[str, float] = attrs.Factory(dict)
    closing: set[asyncio.Future] = attrs.Factory(set)

    def channel(self, address: str) -> grpc.aio.Channel:
        """Return the channel to a process, opened if there is none."""
        now = clocks.boot_time()
        self.close_idle(now)
        self.used_at[address] = now
        if address not in self.opened:
            self.opened[address] = open_channel(address)
        return self.opened[address]

    async def call(
        self, address: str, message: object, timeout_s: float
    ) -> Result[object, str]:
        """Call a process; return its response, or why there is none."""
        method = self.channel(address).unary_unary(CALL)
        try:
            data = await method(self.calls.encode(message), timeout=timeout_s)
        except grpc.aio.UsageError:
            return Error("the channel is closed")
        except asyncio.CancelledError:
            # Another call timed out on this channel and closed it.
            if asyncio.current_task().cancelling():
                raise
            return Error("the channel was closed")
        except grpc.aio.AioRpcError as error:
            if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
                self.close_channel(address)
            return Error(error.code().name.lower())
        self.used_at[address] = clocks.boot_time()
        return self.calls.decode(data).map_error(lambda fault: fault.message)

    def close_idle(self, now: float) -> None:
        """Close channels that have been unused for `IDLE_TIMEOUT_S`."""
        for address, used_at in list(self.used_at.items()):
            if now - used_at > IDLE_TIMEOUT_S:
                self.close_channel(address)

    def close_channel(self, address: str) -> None:
        """Close a channel that may be unresponsive; the next call opens one.

        Other calls in flight on it may continue for `CLOSE_GRACE_S`: a process
        that is slow to respond to one call may still respond to the others.
        """
        self.used_at.pop(address, None)
        channel = self.opened.pop(address, None)
        if channel is not None:
            closing = asyncio.ensure_future(channel.close(CLOSE_GRACE_S))
            self.closing.add(closing)
            closing.add_done_callback(self.closing.discard)

    async def close(self) -> None:
        """Close all channels."""
        for closing in list(self.closing):
            closing.cancel()
        for channel in self.opened.values():
            await channel.close()
