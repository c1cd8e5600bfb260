"""Calls between our processes over gRPC, with its own cleverness off."""

import abc
import asyncio
from collections.abc import Callable
import contextlib
import random

from expression import Error
from expression import Ok
from expression import Result
import grpc
import grpc.aio

from _coltsfootroad.control import outcomes
from _coltsfootroad.core import errors
from _coltsfootroad.shell import channels as channels_lib
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import listening
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import wire
from _coltsfootroad.shell import wirecalls

LOG = logs.logger("link")
# A replica with an empty log knows nobody; the stream says who writes.
SENDER_KEY = "colts-sender"
SENDER_ADDRESS_KEY = "colts-sender-address"
MAX_QUEUED = 512
# Peers may come and go in storms.
LINK_LINES = logs.LogRateLimit(40, 10.0)
# Pause before a broken stream is opened again, unless the other side is heard.
RECONNECT_S = 0.3
# The receiver acknowledges a stream at most this often, to save bytes.
ACK_EVERY_S = 0.25
ACK = b""
# A stream on which nothing was acknowledged for this long is replaced.
SILENT_S = 1.5
SILENT = "silent"
CLOSED = "closed"
CLOSE_S = 1.0
NEVER = float("-inf")
OpenChannel = Callable[[str], grpc.aio.Channel]
BIND_FAILED = "in use, or not an address of this VM"


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
        self.channels = channels_lib.Channels(wirecalls.CALLS)
        # Processes that start at once begin with different replicas.
        self.place = random.randrange(len(addresses)) if addresses else 0
        self.leader = ""

    def learn(self, addresses: tuple[str, ...]) -> None:
        """Add replicas that are not among the known addresses yet."""
        for address in addresses:
            if address not in self.addresses:
                self.addresses.append(address)

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
        if not self.addresses:
            return unreachable("no replica is known")
        reason = "no replica answered in time"
        while loop.time() < end:
            address = self.next_address()
            left_s = end - loop.time()
            answer = await self.call_one(address, message, left_s)
            if answer.is_error():
                reason = f"replica {address}: {answer.error}"
                self.leader = ""
            elif isinstance(answer.ok, outcomes.NotLeader):
                reason = f"replica {address} does not lead"
                self.leader = self.usable_hint(answer.ok.hint, address)
            else:
                self.leader = address
                return Ok(answer.ok)
            if not self.leader:
                await asyncio.sleep(min(0.05, max(0.0, end - loop.time())))
        return unreachable(reason)

    def usable_hint(self, hint: str, asked: str) -> str:
        """Return a hint that leads elsewhere."""
        return hint if hint != asked else ""

    async def call_one(
        self, address: str, message: object, left_s: float
    ) -> Result[object, str]:
        """Ask one replica, for a part of the time that is left."""
        share_s = max(0.05, min(left_s, max(0.5, left_s / 2)))
        return await self.channels.call(address, message, share_s)

    async def close(self):
        """Close all channels."""
        await self.channels.close()


class PeerLink:
    """Sends messages to one process over an open stream; may lose them.

    The other process acknowledges over the same stream. A stream that carries
    messages and returns nothing is replaced, whatever gRPC believes of it.
    """

    def __init__(
        self,
        address: str,
        sender: str,
        sender_address: str,
        encoder: wire.Wire = wirecalls.PEERS,
        open_channel: OpenChannel = channels_lib.open_channel,
    ):
        self.address = address
        self.encoder = encoder
        self.metadata = (
            (SENDER_KEY, sender),
            (SENDER_ADDRESS_KEY, sender_address),
        )
        self.queue: asyncio.Queue = asyncio.Queue(MAX_QUEUED)
        self.heard = asyncio.Event()
        self.open_channel = open_channel
        self.channel = open_channel(address)
        self.closing: set[asyncio.Task] = set()
        # Why the last stream ended, empty while one is open.
        self.lost_reason = ""
        self.acked_at = NEVER
        # When the oldest message whose acknowledgement is due was queued.
        self.unacked_since: float | None = None
        self.task = asyncio.ensure_future(self.run())

    def note_heard(self) -> None:
        """Note that the other process runs: it has just written to us."""
        self.heard.set()

    def send(self, message: object) -> None:
        """Queue a message; the oldest goes when the other side is slow."""
        if self.queue.full():
            self.queue.get_nowait()
        self.queue.put_nowait(message)
        now = clocks.boot_time()
        # So soon after an acknowledgement the peer may leave one out.
        is_due = now >= self.acked_at + ACK_EVERY_S
        if self.unacked_since is None and is_due:
            self.unacked_since = now

    async def run(self) -> None:
        """Keep a stream open and write what is queued."""
        while True:
            reason = await self.use_stream()
            if reason != self.lost_reason:
                self.log("link to peer lost", reason=reason)
            self.lost_reason = reason
            while not self.queue.empty():
                self.queue.get_nowait()
            await self.pause()
            if self.heard.is_set() or reason in (SILENT, CLOSED):
                self.renew_channel()

    async def pause(self) -> None:
        """Wait a little before the next stream, unless the peer is heard."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.heard.wait(), RECONNECT_S)

    def renew_channel(self) -> None:
        """Use a new channel, which has no failed attempt to wait for."""
        closing = asyncio.ensure_future(self.channel.close())
        self.closing.add(closing)
        closing.add_done_callback(self.closing.discard)
        self.channel = self.open_channel(self.address)

    async def use_stream(self) -> str:
        """Use one stream until it ends or is silent; return which."""
        self.heard.clear()
        self.acked_at = NEVER
        self.unacked_since = None
        try:
            method = self.channel.stream_stream(channels_lib.PEER)
            stream = method(metadata=self.metadata)
        except grpc.aio.UsageError:
            return CLOSED
        tasks = {
            asyncio.ensure_future(self.write_messages(stream)),
            asyncio.ensure_future(self.read_acks(stream)),
        }
        try:
            while not self.is_silent():
                done, _ = await asyncio.wait(
                    tasks,
                    timeout=self.silence_left_s(),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if done:
                    return end_of(done.pop())
            return SILENT
        finally:
            for task in tasks:
                task.cancel()
                task.add_done_callback(end_of)
            stream.cancel()

    def silence_left_s(self) -> float:
        """Return the seconds after which the stream may count as silent."""
        since = self.unacked_since
        if since is None:
            return SILENT_S
        return max(0.0, since + SILENT_S - clocks.boot_time())

    def is_silent(self) -> bool:
        """Return whether a message has waited too long for an answer."""
        return self.unacked_since is not None and not self.silence_left_s()

    async def write_messages(self, stream) -> None:
        """Write what is queued."""
        await stream.wait_for_connection()
        self.lost_reason = ""
        self.log("link to peer opened")
        while True:
            message = await self.queue.get()
            await stream.write(self.encoder.encode(message))

    async def read_acks(self, stream) -> None:
        """Note acknowledgements until the stream ends."""
        while await stream.read() is not grpc.aio.EOF:
            self.acked_at = clocks.boot_time()
            self.unacked_since = None

    def log(self, event: str, **fields: str) -> None:
        """Log a change of this link."""
        if LINK_LINES.allows(clocks.boot_time()):
            LOG.info(event, address=self.address, **fields)

    async def close(self) -> None:
        """Stop sending."""
        self.task.cancel()
        for closing in self.closing:
            closing.cancel()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.channel.close(), CLOSE_S)


def end_of(task: asyncio.Task) -> str:
    """Return why a task of a stream ended."""
    if task.cancelled():
        return "cancelled"
    error = task.exception()
    if error is None:
        return "ended"
    if isinstance(error, grpc.aio.AioRpcError):
        return error.code().name.lower()
    return type(error).__name__


async def acknowledged(requests, on_peer, context):
    """Pass on the messages of a stream, and yield acknowledgements."""
    metadata = dict(context.invocation_metadata() or ())
    sender = metadata.get(SENDER_KEY, "")
    address = metadata.get(SENDER_ADDRESS_KEY, "")
    acked_at = NEVER
    async for request in requests:
        on_peer(sender, address, request)
        now = clocks.boot_time()
        if now >= acked_at + ACK_EVERY_S:
            acked_at = now
            yield ACK


def make_server(on_call, on_peer) -> grpc.aio.Server:
    """Return a server of both methods.

    `on_call` takes and returns bytes and is awaited; `on_peer` takes the
    identity and address of the sender and the bytes of one message.
    """

    async def call(request: bytes, _) -> bytes:
        return await on_call(request)

    async def peer(requests, context):
        async for ack in acknowledged(requests, on_peer, context):
            yield ack

    server = grpc.aio.server(options=channels_lib.OPTIONS)
    handlers = {
        "Call": grpc.unary_unary_rpc_method_handler(call),
        "Peer": grpc.stream_stream_rpc_method_handler(peer),
    }
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler(channels_lib.SERVICE, handlers),)
    )
    return server


def listen(server: grpc.aio.Server, address: str) -> None:
    """Let a server listen.

    Raises:
        ListenError: The address cannot be bound. gRPC writes the reason of the
            system to standard error.
    """
    try:
        server.add_insecure_port(address)
    except RuntimeError as error:
        raise listening.ListenError(address, BIND_FAILED) from error
