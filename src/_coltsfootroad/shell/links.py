"""Connects processes over gRPC: calls to the leader and peer streams."""

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
from _coltsfootroad.shell import wireformats

LOG = logs.logger("link")
# Metadata of a stream. A replica with an empty log knows no other replica, so
# the sender states its identity and address.
SENDER_KEY = "colts-sender"
SENDER_ADDRESS_KEY = "colts-sender-address"
MAX_QUEUED_MESSAGES = 512
# Many peers may connect and disconnect at once.
LINK_LOG_LIMIT = logs.LogRateLimit(40, 10.0)
# Delay before a stream that ended is reopened; a contact of the peer ends it.
RECONNECT_DELAY_S = 0.3
# Minimum delay, so that two peers whose streams end at once do not make each
# other reconnect in a busy loop.
MIN_RECONNECT_DELAY_S = 0.02
# Minimum interval between acknowledgements of a stream, to save bandwidth.
ACK_INTERVAL_S = 0.25
ACK = b""
# A stream whose messages stay unacknowledged for this long is replaced.
ACK_TIMEOUT_S = 1.5
REASON_SILENT = "silent"
REASON_CLOSED = "closed"
CLOSE_TIMEOUT_S = 1.0
NEVER = float("-inf")
OpenChannel = Callable[[str], grpc.aio.Channel]
BIND_FAILED = "in use, or not an address of this VM"


class ControlClient(abc.ABC):
    """Calls the leader of the control plane."""

    @abc.abstractmethod
    async def call(
        self, message: object, timeout_s: float
    ) -> Result[object, errors.Failure]:
        """Return the leader's response.

        After an error, the call may or may not have been executed.
        """

    async def close(self) -> None:  # noqa: B027
        """Close open connections, if there are any."""


def unreachable(reason: str) -> Result[object, errors.Failure]:
    """Return the failure of a call that got no response from a leader."""
    return Error(
        errors.Failure(
            errors.ErrorCode.UNAVAILABLE, reason, errors.Ran.UNKNOWN, 1.0
        )
    )


class GrpcControlClient(ControlClient):
    """Finds the leader among the replicas and calls it."""

    def __init__(self, addresses: tuple[str, ...]):
        self.addresses = list(addresses)
        self.channels = channels_lib.ChannelPool(wireformats.CALLS)
        # The round robin starts at random, so that processes that start at the
        # same time do not all call the same replica first.
        self.cursor = random.randrange(len(addresses)) if addresses else 0
        self.leader = ""

    def add_addresses(self, addresses: tuple[str, ...]) -> None:
        """Add addresses of replicas that are not known yet."""
        for address in addresses:
            if address not in self.addresses:
                self.addresses.append(address)

    def next_address(self) -> str:
        """Return the leader's address, else that of the next replica."""
        if self.leader:
            return self.leader
        self.cursor += 1
        return self.addresses[self.cursor % len(self.addresses)]

    async def call(self, message, timeout_s):
        """Call replicas until a leader responds or the time-out expires."""
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        if not self.addresses:
            return unreachable("no replica is known")
        reason = "no replica answered in time"
        while loop.time() < end:
            address = self.next_address()
            remaining_s = end - loop.time()
            answer = await self.call_replica(address, message, remaining_s)
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

    def usable_hint(self, hint: str, called: str) -> str:
        """Return the hint, empty if it names the replica just called."""
        return hint if hint != called else ""

    async def call_replica(
        self, address: str, message: object, remaining_s: float
    ) -> Result[object, str]:
        """Call one replica, with a part of the remaining time as time-out."""
        call_timeout_s = max(0.05, min(remaining_s, max(0.5, remaining_s / 2)))
        return await self.channels.call(address, message, call_timeout_s)

    async def close(self):
        """Close all channels."""
        await self.channels.close()


class PeerLink:
    """Sends messages to one process over a stream; messages may be lost.

    The other process acknowledges messages over the same stream. A stream
    whose messages stay unacknowledged is replaced, whatever state gRPC
    reports for it.
    """

    def __init__(
        self,
        address: str,
        sender: str,
        sender_address: str,
        encoder: wire.WireFormat = wireformats.PEERS,
        open_channel: OpenChannel = channels_lib.open_channel,
    ):
        self.address = address
        self.encoder = encoder
        self.metadata = (
            (SENDER_KEY, sender),
            (SENDER_ADDRESS_KEY, sender_address),
        )
        self.queue: asyncio.Queue = asyncio.Queue(MAX_QUEUED_MESSAGES)
        self.peer_contact = asyncio.Event()
        self.open_channel = open_channel
        self.channel = open_channel(address)
        self.closing: set[asyncio.Task] = set()
        # Why the last stream ended, empty while one is open.
        self.end_reason = ""
        self.acked_at = NEVER
        # When the oldest message that still needs an acknowledgement was
        # queued.
        self.unacked_since: float | None = None
        self.task = asyncio.ensure_future(self.run())

    def record_contact(self) -> None:
        """Record that the other process runs: it has opened a stream."""
        self.peer_contact.set()

    def send(self, message: object) -> None:
        """Queue a message; a full queue drops its oldest one."""
        if self.queue.full():
            self.queue.get_nowait()
        self.queue.put_nowait(message)
        now = clocks.boot_time()
        # The peer skips acknowledgements within this time after the last one.
        is_ack_due = now >= self.acked_at + ACK_INTERVAL_S
        if self.unacked_since is None and is_ack_due:
            self.unacked_since = now

    async def run(self) -> None:
        """Keep a stream open and write queued messages to it."""
        while True:
            reason = await self.run_stream()
            if reason != self.end_reason:
                self.log("link to peer lost", reason=reason)
            self.end_reason = reason
            while not self.queue.empty():
                self.queue.get_nowait()
            await self.pause()
            if self.peer_contact.is_set() or reason in (
                REASON_SILENT,
                REASON_CLOSED,
            ):
                self.renew_channel()

    async def pause(self) -> None:
        """Wait before the next stream; a contact of the peer ends it."""
        await asyncio.sleep(MIN_RECONNECT_DELAY_S)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.peer_contact.wait(), RECONNECT_DELAY_S)

    def renew_channel(self) -> None:
        """Open a new channel, which has no backoff of failed attempts."""
        closing = asyncio.ensure_future(self.channel.close())
        self.closing.add(closing)
        closing.add_done_callback(self.closing.discard)
        self.channel = self.open_channel(self.address)

    async def run_stream(self) -> str:
        """Use one stream until it ends or times out; return the reason."""
        self.peer_contact.clear()
        self.acked_at = NEVER
        self.unacked_since = None
        try:
            method = self.channel.stream_stream(channels_lib.PEER)
            stream = method(metadata=self.metadata)
        except grpc.aio.UsageError:
            return REASON_CLOSED
        tasks = {
            asyncio.ensure_future(self.write_messages(stream)),
            asyncio.ensure_future(self.read_acks(stream)),
        }
        try:
            while not self.has_ack_timed_out():
                done, _ = await asyncio.wait(
                    tasks,
                    timeout=self.ack_time_left_s(),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if done:
                    return task_end_reason(done.pop())
            return REASON_SILENT
        finally:
            for task in tasks:
                task.cancel()
                task.add_done_callback(task_end_reason)
            stream.cancel()

    def ack_time_left_s(self) -> float:
        """Return the seconds until the stream may time out."""
        since = self.unacked_since
        if since is None:
            return ACK_TIMEOUT_S
        return max(0.0, since + ACK_TIMEOUT_S - clocks.boot_time())

    def has_ack_timed_out(self) -> bool:
        """Return whether an acknowledgement is overdue."""
        return self.unacked_since is not None and not self.ack_time_left_s()

    async def write_messages(self, stream) -> None:
        """Write queued messages to a stream."""
        await stream.wait_for_connection()
        self.end_reason = ""
        self.log("link to peer opened")
        while True:
            message = await self.queue.get()
            await stream.write(self.encoder.encode(message))

    async def read_acks(self, stream) -> None:
        """Record acknowledgements until the stream ends."""
        while await stream.read() is not grpc.aio.EOF:
            self.acked_at = clocks.boot_time()
            self.unacked_since = None

    def log(self, event: str, **fields: str) -> None:
        """Log a change of the connection, within `LINK_LOG_LIMIT`."""
        if LINK_LOG_LIMIT.allows(clocks.boot_time()):
            LOG.info(event, address=self.address, **fields)

    async def close(self) -> None:
        """Stop sending and close the channel."""
        self.task.cancel()
        for closing in self.closing:
            closing.cancel()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.channel.close(), CLOSE_TIMEOUT_S)


def task_end_reason(task: asyncio.Task) -> str:
    """Return why a task of a stream ended, as one word."""
    if task.cancelled():
        return "cancelled"
    error = task.exception()
    if error is None:
        return "ended"
    if isinstance(error, grpc.aio.AioRpcError):
        return error.code().name.lower()
    return type(error).__name__


def ignore_stream(_sender: str, _address: str) -> None:
    """Ignore that a peer has opened a stream."""


async def acknowledge_messages(
    requests, on_peer, context, on_stream=ignore_stream
):
    """Forward the messages of a stream and yield acknowledgements."""
    metadata = dict(context.invocation_metadata() or ())
    sender = metadata.get(SENDER_KEY, "")
    address = metadata.get(SENDER_ADDRESS_KEY, "")
    on_stream(sender, address)
    acked_at = NEVER
    async for request in requests:
        on_peer(sender, address, request)
        now = clocks.boot_time()
        if now >= acked_at + ACK_INTERVAL_S:
            acked_at = now
            yield ACK


def make_server(
    on_call,
    on_peer,
    on_stream=ignore_stream,
    max_connections: int = channels_lib.MAX_CONNECTIONS,
) -> grpc.aio.Server:
    """Return a server of the methods `Call` and `Peer`.

    Args:
        on_call: Coroutine function; takes and returns encoded messages.
        on_peer: Takes the sender's identity and address, and the bytes of one
            message.
        on_stream: Takes the identity and address of a peer that has opened a
            stream, before its first message.
        max_connections: Most connections; further ones are closed.
    """

    async def call(request: bytes, _) -> bytes:
        return await on_call(request)

    async def peer(requests, context):
        async for ack in acknowledge_messages(
            requests, on_peer, context, on_stream
        ):
            yield ack

    server = grpc.aio.server(
        options=channels_lib.server_options(max_connections)
    )
    handlers = {
        "Call": grpc.unary_unary_rpc_method_handler(call),
        "Peer": grpc.stream_stream_rpc_method_handler(peer),
    }
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler(channels_lib.SERVICE, handlers),)
    )
    return server


def listen(server: grpc.aio.Server, address: str) -> None:
    """Bind a server to an address.

    Raises:
        ListenError: The address cannot be bound. gRPC writes the error of the
            operating system to standard error.
    """
    try:
        server.add_insecure_port(address)
    except RuntimeError as error:
        raise listening.ListenError(address, BIND_FAILED) from error
