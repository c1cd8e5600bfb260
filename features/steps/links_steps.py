"""Steps for calls to the leader and streams between replicas."""

import asyncio
import time

from behave import given
from behave import then
from behave import when
import grpc
import grpc.aio

from _coltsfootroad.control import messages
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import peers
from _coltsfootroad.fakes import ports
from _coltsfootroad.shell import channels
from _coltsfootroad.shell import links
from _coltsfootroad.shell import wireformats
from features.soak import proxy as proxy_lib

# How long messages are sent after a path has been restored.
MESSAGES_S = 6.0


@given("a replica that answers a call after {seconds:g} s")
def slow_replica(context, seconds):
    context.answer_s = seconds


def run_with_client(context, calls):
    """Run a coroutine function with a client of the replica."""

    async def on_call(_):
        await asyncio.sleep(context.answer_s)
        return wireformats.CALLS.encode(outcomes.Done())

    async def run():
        server = links.make_server(on_call, lambda *_: None)
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        link = links.GrpcControlClient((f"127.0.0.1:{port}",))
        try:
            return await calls(link)
        finally:
            await link.close()
            await server.stop(grace=0)

    return asyncio.run(run())


@when(
    "one call has a time-out of {short:g} s and a concurrent one of {long:g} s"
)
def two_calls(context, short, long):
    async def calls(link):
        return await asyncio.gather(
            link.call(messages.ReadRoutes(), short),
            link.call(messages.ReadRoutes(), long),
        )

    context.answers = run_with_client(context, calls)


@then("the first gets no answer and the second is answered")
def second_answered(context):
    first, second = context.answers
    assert first.is_error(), first
    assert second.is_ok(), second
    assert isinstance(second.ok, outcomes.Done), second


@when("a call is cancelled after {seconds:g} s")
def cancelled(context, seconds):
    async def calls(link):
        task = asyncio.ensure_future(link.call(messages.ReadRoutes(), 60.0))
        await asyncio.sleep(seconds)
        started = time.monotonic()
        task.cancel()
        await asyncio.wait([task], timeout=2.0)
        return task, time.monotonic() - started

    context.task, context.took_s = run_with_client(context, calls)


@then("it ends as cancelled")
def ends_cancelled(context):
    assert context.task.cancelled()
    assert context.took_s < 0.5, context.took_s


@given("a replica behind a path with {mode}")
def behind_path(context, mode):
    context.mode = mode
    context.answer_s = 0.0


@when("a call is made, and {seconds:g} s later the path is restored")
def path_restored(context, seconds):
    async def on_call(_):
        return wireformats.CALLS.encode(outcomes.Done())

    async def run():
        server = links.make_server(on_call, lambda *_: None)
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        proxy = proxy_lib.Proxy(("127.0.0.1", port))
        await proxy.start()
        proxy.set_mode(context.mode)
        link = links.GrpcControlClient((proxy.address,))
        first = asyncio.ensure_future(link.call(messages.ReadRoutes(), seconds))
        await asyncio.sleep(seconds)
        proxy.set_mode("")
        started = time.monotonic()
        answer = await link.call(messages.ReadRoutes(), 30.0)
        context.took_s = time.monotonic() - started
        context.answer = answer
        await first
        await link.close()
        await proxy.close()
        await server.stop(grace=0)

    asyncio.run(run())


@then("calls are answered again within {seconds:g} s")
def answered_within(context, seconds):
    assert context.answer.is_ok(), context.answer
    assert context.took_s <= seconds, context.took_s


@given("a replica that receives messages over a path")
def receives_messages(context):
    context.arrived_at = []


@when("the path has {mode} for {seconds:g} s and is then restored")
def path_disturbed(context, mode, seconds):
    async def run():
        server = links.make_server(
            None, lambda *_: context.arrived_at.append(time.monotonic())
        )
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        proxy = proxy_lib.Proxy(("127.0.0.1", port))
        await proxy.start()
        link = links.PeerLink(proxy.address, "r1", "127.0.0.1:1")
        vote = peers.VoteReply(
            term=1, sender="r1", pre=False, granted=False, asked_term=1
        )
        await send_for(link, vote, seconds)
        proxy.set_mode(mode)
        await send_for(link, vote, seconds)
        proxy.set_mode("")
        context.restored_at = time.monotonic()
        await send_for(link, vote, MESSAGES_S)
        await link.close()
        await proxy.close()
        await server.stop(grace=0)

    asyncio.run(run())


async def send_for(link, message, seconds: float) -> None:
    """Send a message every 0.1 s."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        link.send(message)
        await asyncio.sleep(0.1)


@then("messages arrive again within {seconds:g} s")
def arrive_again(context, seconds):
    assert any(
        at < context.restored_at for at in context.arrived_at
    ), "none before"
    after = [at for at in context.arrived_at if at > context.restored_at]
    assert after, "none after"
    assert after[0] - context.restored_at <= seconds, (
        after[0] - context.restored_at
    )


# --- streams with one fault each -----------------------------------------------


class PeerStream:
    """Records the messages of each stream; the first stream has the fault."""

    def __init__(self, fault: str):
        self.fault = fault
        self.arrived: list[tuple[int, float]] = []
        self.streams = 0

    async def serve(self, requests, context):
        """Serve one stream as `links.make_server` does, or with the fault."""
        self.streams += 1
        stream = self.streams

        def on_peer(*_):
            self.arrived.append((stream, time.monotonic()))

        if stream == 1 and self.fault.startswith("handler"):
            await self.fail_handler(requests, on_peer, context)
        async for ack in links.acknowledge_messages(requests, on_peer, context):
            yield ack

    async def fail_handler(self, requests, on_peer, context):
        """End or block the first stream on the reading side."""
        async for _ in requests:
            on_peer()
            break
        if self.fault == "handler ends as unavailable":
            await context.abort(grpc.StatusCode.UNAVAILABLE, "ends")
        if self.fault == "handler is cancelled":
            raise asyncio.CancelledError
        if self.fault == "handler fails":
            raise ValueError("fails")
        await asyncio.Event().wait()


class FaultyStream:
    """A stream that fails on the writing side."""

    def __init__(self, fault: str):
        self.fault = fault

    async def wait_for_connection(self) -> None:
        """Return at once, or never."""
        if self.fault == "connection is never made":
            await asyncio.Event().wait()

    async def write(self, _: bytes) -> None:
        """Never return, or raise `CancelledError`."""
        if self.fault == "write is cancelled":
            raise asyncio.CancelledError
        await asyncio.Event().wait()

    async def read(self) -> bytes:
        """Never return."""
        await asyncio.Event().wait()

    def cancel(self) -> None:
        """Do nothing."""


class FaultyChannel:
    """A channel whose streams all have the fault."""

    def __init__(self, fault: str):
        self.fault = fault

    def stream_stream(self, _: str):
        """Return a function that opens a stream."""
        return lambda metadata: FaultyStream(self.fault)

    stream_unary = stream_stream

    async def close(self, _: float | None = None) -> None:
        """Return at once, or never."""
        if "nor does close" in self.fault:
            await asyncio.Event().wait()


def channel_opener(fault: str):
    """Return a function that opens channels; the first may have the fault."""
    opened = []

    def open_channel(address: str):
        opened.append(address)
        is_faulty = fault.startswith(("write", "connection"))
        if is_faulty and len(opened) == 1:
            return FaultyChannel(fault)
        return channels.open_channel(address)

    return open_channel


@given("a peer stream whose {fault}")
def peer_stream_whose(context, fault):
    context.peer = PeerStream(fault)


@given("a peer stream that works")
def peer_stream_works(context):
    context.peer = PeerStream("")


def run_with_peer_link(context, send) -> None:
    """Run the peer's server and a `PeerLink` to it."""
    peer = context.peer

    async def run():
        server = grpc.aio.server(options=channels.OPTIONS)
        handler = grpc.stream_stream_rpc_method_handler(peer.serve)
        server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    channels.SERVICE, {"Peer": handler}
                ),
            )
        )
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        context.started_at = time.monotonic()
        link = links.PeerLink(
            f"127.0.0.1:{port}",
            "r1",
            "127.0.0.1:1",
            open_channel=channel_opener(peer.fault),
        )
        await send(link)
        await asyncio.wait_for(link.close(), 5.0)
        await server.stop(grace=0)

    asyncio.run(run())


MESSAGE = peers.VoteReply(
    term=1, sender="r1", pre=False, granted=False, asked_term=1
)


@when("messages are sent to the peer for {seconds:g} s")
def sent_to_peer(context, seconds):
    async def send(link):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            link.send(MESSAGE)
            link.record_contact()
            await asyncio.sleep(0.05)

    run_with_peer_link(context, send)


@when(
    "messages are sent to the peer, {gap:g} s apart, and more of them"
    " {seconds:g} s later"
)
def sent_later(context, gap, seconds):
    async def send(link):
        for pause in (gap, seconds, gap, seconds):
            link.send(MESSAGE)
            await asyncio.sleep(pause)

    run_with_peer_link(context, send)
    assert len(context.peer.arrived) == 4, context.peer.arrived


@then("messages arrive on a later stream within {seconds:g} s")
def later_stream(context, seconds):
    peer = context.peer
    first = 1 if peer.fault.startswith(("write", "connection")) else 2
    later = [at for stream, at in peer.arrived if stream >= first]
    assert later, f"{len(peer.arrived)} messages, {peer.streams} streams"
    assert later[0] - context.started_at <= seconds, (
        later[0] - context.started_at
    )
    assert len(later) >= 5, len(later)


@then("all arrive on the first stream")
def first_stream_only(context):
    assert {stream for stream, _ in context.peer.arrived} == {1}


@given("a replica whose peer starts {seconds:g} s later")
def peer_starts_later(context, seconds):
    context.peer_starts_after_s = seconds


@when("the peer opens its own link, {count:d} times")
def peer_opens_link(context, count):
    context.delays_s = [
        asyncio.run(open_late_link(context.peer_starts_after_s))
        for _ in range(count)
    ]


async def open_late_link(start_after_s: float) -> float:
    """Return the seconds from a late peer's link to the first message to it."""
    address, peer_address = (f"127.0.0.1:{ports.free_port()}" for _ in range(2))
    link = links.PeerLink(peer_address, "r1", address)
    server = links.make_server(
        None, lambda *_: None, lambda *_: link.record_contact()
    )
    links.listen(server, address)
    await server.start()
    await send_for(link, MESSAGE, start_after_s)
    arrived = asyncio.Event()
    peer_server = links.make_server(None, lambda *_: arrived.set())
    links.listen(peer_server, peer_address)
    await peer_server.start()
    started_at = time.monotonic()
    peer_link = links.PeerLink(address, "r2", peer_address)
    while not arrived.is_set():
        link.send(MESSAGE)
        await asyncio.sleep(0.005)
    delay_s = time.monotonic() - started_at
    for opened in (link, peer_link):
        await opened.close()
    for listening in (server, peer_server):
        await listening.stop(grace=0)
    return delay_s


@then("a message reaches the peer within {seconds:g} s each time")
def message_reaches_peer(context, seconds):
    assert max(context.delays_s) <= seconds, context.delays_s
