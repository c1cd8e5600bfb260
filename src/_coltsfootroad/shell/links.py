"""Calls between our processes over gRPC, with its own cleverness off."""

import abc
import asyncio

from expression import Error
from expression import Ok
from expression import Result
import grpc
import grpc.aio

from _coltsfootroad.control import outcomes
from _coltsfootroad.core import errors
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import wire

LOG = logs.logger("link")
MAX_MESSAGE_BYTES = 32 * 1024 * 1024
SERVICE = "coltsfootroad.Control"
CALL = f"/{SERVICE}/Call"
PEER = f"/{SERVICE}/Peer"
OPTIONS = [
    ("grpc.enable_retries", 0),
    ("grpc.enable_http_proxy", 0),
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
# A replica with an empty log knows nobody; the stream says who writes.
SENDER_KEY = "colts-sender"
SENDER_ADDRESS_KEY = "colts-sender-address"
# Longest that calls go on on a channel that another call gave up.
CLOSE_GRACE_S = 3.0
MAX_QUEUED = 512
# Pause before a broken stream is opened again, unless the other side is heard.
RECONNECT_S = 0.3


def target(address: str) -> str:
    """Return a gRPC target that needs no name lookup."""
    return f"ipv4:{address}"


class ControlLink(abc.ABC):
    """The way from an entry or operator to the leader."""

    @abc.abstractmethod
    async def call(
        self, message: object, timeout_s: float
    ) -> Result[object, errors.Failure]:
        """Return the leader's answer; an error proves nothing."""

    async def close(self) -> None:  # noqa: B027
        """Close what is open, if anything is."""


def unreachable(reason: str) -> Result[object, errors.Failure]:
    """Return the failure of a call without an answer."""
    return Error(
        errors.Failure(
            errors.ErrorCode.UNAVAILABLE, reason, errors.Ran.UNKNOWN, 1.0
        )
    )


class GrpcControlLink(ControlLink):
    """Finds the leader among the replicas and calls it."""

    def __init__(self, addresses: tuple[str, ...]):
        self.addresses = list(addresses)
        self.channels: dict[str, grpc.aio.Channel] = {}
        self.place = 0
        self.leader = ""
        self.closing: set[asyncio.Future] = set()

    def learn(self, addresses: tuple[str, ...]) -> None:
        """Add replicas that are not among the known addresses yet."""
        for address in addresses:
            if address not in self.addresses:
                self.addresses.append(address)

    def channel(self, address: str) -> grpc.aio.Channel:
        """Return the channel to a replica."""
        if address not in self.channels:
            self.channels[address] = grpc.aio.insecure_channel(
                target(address), options=OPTIONS
            )
        return self.channels[address]

    def next_address(self) -> str:
        """Return the replica to ask: the leader, else one after another."""
        if self.leader:
            return self.leader
        self.place += 1
        return self.addresses[self.place % len(self.addresses)]

    async def call(self, message, timeout_s):
        """Call until a leader answers or the time is over."""
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        reason = "no replica answered in time"
        while loop.time() < end:
            address = self.next_address()
            left_s = end - loop.time()
            answer = await self.call_one(address, message, left_s)
            if isinstance(answer, str):
                reason = f"replica {address}: {answer}"
                self.leader = ""
            elif isinstance(answer, outcomes.NotLeader):
                reason = f"replica {address} does not lead"
                self.leader = self.usable_hint(answer.hint, address)
            else:
                self.leader = address
                return Ok(answer)
            if not self.leader:
                await asyncio.sleep(min(0.05, max(0.0, end - loop.time())))
        return unreachable(reason)

    def usable_hint(self, hint: str, asked: str) -> str:
        """Return a hint that leads elsewhere."""
        return hint if hint != asked else ""

    async def call_one(self, address, message, left_s):
        """Return one replica's answer, or text saying why there is none."""
        method = self.channel(address).unary_unary(CALL)
        share = max(0.05, min(left_s, max(0.5, left_s / 2)))
        try:
            data = await method(wire.CALLS.encode(message), timeout=share)
        except grpc.aio.UsageError:
            return "the channel is closed"
        except asyncio.CancelledError:
            # Another call found the channel silent and closed it.
            if asyncio.current_task().cancelling():
                raise
            return "the channel was closed"
        except grpc.aio.AioRpcError as error:
            if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
                await self.forget_channel(address)
            return error.code().name.lower()
        decoded = wire.CALLS.decode(data)
        return decoded.ok if decoded.is_ok() else decoded.error.message

    async def forget_channel(self, address: str) -> None:
        """Close a channel that may have gone silent; the next is new.

        Calls that are still on it go on for a while: a replica that is slow
        to answer one may well answer the others.
        """
        channel = self.channels.pop(address, None)
        if channel is not None:
            closing = asyncio.ensure_future(channel.close(CLOSE_GRACE_S))
            self.closing.add(closing)
            closing.add_done_callback(self.closing.discard)

    async def close(self):
        """Close all channels."""
        for closing in list(self.closing):
            closing.cancel()
        for channel in self.channels.values():
            await channel.close()


class PeerLink:
    """Sends messages to one process over an open stream; may lose them."""

    def __init__(
        self,
        address: str,
        sender: str,
        sender_address: str,
        encoder: wire.Wire = wire.PEERS,
    ):
        self.address = address
        self.encoder = encoder
        self.metadata = (
            (SENDER_KEY, sender),
            (SENDER_ADDRESS_KEY, sender_address),
        )
        self.queue: asyncio.Queue = asyncio.Queue(MAX_QUEUED)
        self.heard = asyncio.Event()
        self.channel = self.open_channel()
        self.task = asyncio.ensure_future(self.run())

    def open_channel(self) -> grpc.aio.Channel:
        """Return a new channel, which has no failed attempt to wait for."""
        return grpc.aio.insecure_channel(target(self.address), options=OPTIONS)

    def note_heard(self) -> None:
        """Note that the other process runs: it has just written to us."""
        self.heard.set()

    def send(self, message: object) -> None:
        """Queue a message; the oldest goes when the other side is slow."""
        if self.queue.full():
            self.queue.get_nowait()
        self.queue.put_nowait(message)

    async def run(self) -> None:
        """Keep a stream open and write what is queued."""
        while True:
            try:
                await self.write_stream()
            except grpc.aio.AioRpcError as error:
                LOG.debug(
                    "peer stream to {} ended: {}", self.address, error.code()
                )
            except (grpc.aio.UsageError, asyncio.InvalidStateError):
                # A write to a stream that has ended already, as when the
                # other process restarted.
                LOG.debug("peer stream to {} broke", self.address)
            while not self.queue.empty():
                self.queue.get_nowait()
            await self.pause()

    async def pause(self) -> None:
        """Wait a little before the next stream; on a new channel if heard."""
        try:
            await asyncio.wait_for(self.heard.wait(), RECONNECT_S)
        except TimeoutError:
            return
        await self.channel.close()
        self.channel = self.open_channel()

    async def write_stream(self) -> None:
        """Write to one stream until it breaks."""
        self.heard.clear()
        stream = self.channel.stream_unary(PEER)(metadata=self.metadata)
        while True:
            message = await self.queue.get()
            await stream.write(self.encoder.encode(message))

    async def close(self) -> None:
        """Stop sending."""
        self.task.cancel()
        await self.channel.close()


def make_server(on_call, on_peer) -> grpc.aio.Server:
    """Return a server of both methods.

    `on_call` takes and returns bytes and is awaited; `on_peer` takes the
    identity and address of the sender and the bytes of one message.
    """

    async def call(request: bytes, _) -> bytes:
        return await on_call(request)

    async def peer(requests, context) -> bytes:
        metadata = dict(context.invocation_metadata() or ())
        sender = metadata.get(SENDER_KEY, "")
        address = metadata.get(SENDER_ADDRESS_KEY, "")
        async for request in requests:
            on_peer(sender, address, request)
        return b""

    server = grpc.aio.server(options=OPTIONS)
    handlers = {
        "Call": grpc.unary_unary_rpc_method_handler(call),
        "Peer": grpc.stream_unary_rpc_method_handler(peer),
    }
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler(SERVICE, handlers),)
    )
    return server
