"""gRPC channels to processes of ours, with the library's cleverness off."""

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
    # Otherwise a second program may bind the same address and take a share of
    # its calls.
    ("grpc.so_reuseport", 0),
    ("grpc.service_config_disable_resolution", 1),
    # Connections go silent without a reset: a ping each second finds that,
    # and the servers must not take the pings for abuse.
    ("grpc.keepalive_time_ms", 1_000),
    ("grpc.keepalive_timeout_ms", 1_500),
    # Where data is on its way, an answer to a ping is waited for this long,
    # and for a minute if it is left alone.
    ("grpc.http2.ping_timeout_ms", 1_500),
    ("grpc.http2.min_ping_interval_without_data_ms", 500),
    ("grpc.http2.max_ping_strikes", 0),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    ("grpc.initial_reconnect_backoff_ms", 200),
    # This is also how long an attempt to connect may take; left alone, one
    # that began while the path was cut is waited for during 20 s.
    ("grpc.min_reconnect_backoff_ms", 500),
    # A channel that replaces a silent one needs a connection of its own.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.so_reuseport", 0),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
]
# Longest that calls go on on a channel that another call gave up.
CLOSE_GRACE_S = 3.0
# A channel that nobody has used for this long is closed: its pings cost both
# sides processor time and bytes.
IDLE_S = 5.0


def target(address: str) -> str:
    """Return a gRPC target that needs no name lookup."""
    return f"ipv4:{address}"


def open_channel(address: str) -> grpc.aio.Channel:
    """Return a new channel to a process."""
    return grpc.aio.insecure_channel(target(address), options=OPTIONS)


@attrs.define(eq=False)
class Channels:
    """Open channels by address, and calls on them.

    Attributes:
        calls: The messages that are exchanged.
        opened: The channels.
        used_at: When each was used last.
        closing: Channels that are being closed.
    """

    calls: wire.Wire
    opened: dict[str, grpc.aio.Channel] = attrs.Factory(dict)
    used_at: dict[str, float] = attrs.Factory(dict)
    closing: set[asyncio.Future] = attrs.Factory(set)

    def channel(self, address: str) -> grpc.aio.Channel:
        """Return the channel to a process."""
        now = clocks.boot_time()
        self.close_idle(now)
        self.used_at[address] = now
        if address not in self.opened:
            self.opened[address] = open_channel(address)
        return self.opened[address]

    async def call(
        self, address: str, message: object, timeout_s: float
    ) -> Result[object, str]:
        """Return one process's answer, or text saying why there is none."""
        method = self.channel(address).unary_unary(CALL)
        try:
            data = await method(self.calls.encode(message), timeout=timeout_s)
        except grpc.aio.UsageError:
            return Error("the channel is closed")
        except asyncio.CancelledError:
            # Another call found the channel silent and closed it.
            if asyncio.current_task().cancelling():
                raise
            return Error("the channel was closed")
        except grpc.aio.AioRpcError as error:
            if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
                self.forget(address)
            return Error(error.code().name.lower())
        self.used_at[address] = clocks.boot_time()
        return self.calls.decode(data).map_error(lambda fault: fault.message)

    def close_idle(self, now: float) -> None:
        """Close channels that are not used any more."""
        for address, used_at in list(self.used_at.items()):
            if now - used_at > IDLE_S:
                self.forget(address)

    def forget(self, address: str) -> None:
        """Close a channel, as it may have gone silent; the next is new.

        Calls that are still on it go on for a while: a process that is slow
        to answer one may well answer the others.
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
