"""Steps on the way from a process to the leader."""

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
from _coltsfootroad.shell import channels
from _coltsfootroad.shell import links
from _coltsfootroad.shell import wirecalls
from features.soak import proxy as proxy_lib

# How long messages are sent once a path is whole.
MESSAGES_S = 6.0


@given("a replica that answers a call after {seconds:g} s")
def slow_replica(context, seconds):
    context.answer_s = seconds


def with_link(context, story):
    """Run a story with a link to the replica."""

    async def on_call(_):
        await asyncio.sleep(context.answer_s)
        return wirecalls.CALLS.encode(outcomes.Done())

    async def run():
        server = links.make_server(on_call, lambda *_: None)
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        link = links.GrpcControlLink((f"127.0.0.1:{port}",))
        try:
            return await story(link)
        finally:
            await link.close()
            await server.stop(grace=0)

    return asyncio.run(run())


@when("one call allows {short:g} s and another one {long:g} s, both at once")
def two_calls(context, short, long):
    async def story(link):
        return await asyncio.gather(
            link.call(messages.ReadRoutes(), short),
            link.call(messages.ReadRoutes(), long),
        )

    context.answers = with_link(context, story)


@then("the first has no answer and the second is answered")
def second_answered(context):
    first, second = context.answers
    assert first.is_error(), first
    assert second.is_ok(), second
    assert isinstance(second.ok, outcomes.Done), second


@when("a call is cancelled after {seconds:g} s")
def cancelled(context, seconds):
    async def story(link):
        task = asyncio.ensure_future(link.call(messages.ReadRoutes(), 60.0))
        await asyncio.sleep(seconds)
        began = time.monotonic()
        task.cancel()
        await asyncio.wait([task], timeout=2.0)
        return task, time.monotonic() - began

    context.task, context.took_s = with_link(context, story)


@then("it ends as cancelled")
def ends_cancelled(context):
    assert context.task.cancelled()
    assert context.took_s < 0.5, context.took_s


@given("a replica behind a path that is {way}")
def behind_path(context, way):
    context.way = way
    context.answer_s = 0.0


@when("a call is made, and {seconds:g} s later the path is whole")
def path_whole(context, seconds):
    async def on_call(_):
        return wirecalls.CALLS.encode(outcomes.Done())

    async def run():
        server = links.make_server(on_call, lambda *_: None)
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        proxy = proxy_lib.Proxy(("127.0.0.1", port))
        await proxy.start()
        proxy.set_mode(context.way)
        link = links.GrpcControlLink((proxy.address,))
        first = asyncio.ensure_future(link.call(messages.ReadRoutes(), seconds))
        await asyncio.sleep(seconds)
        proxy.set_mode("")
        began = time.monotonic()
        answer = await link.call(messages.ReadRoutes(), 30.0)
        context.took_s = time.monotonic() - began
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


@given("a replica that gets messages over a path")
def gets_messages(context):
    context.got = []


@when("the path is {way} for {seconds:g} s and whole from then on")
def path_bent(context, way, seconds):
    async def run():
        server = links.make_server(
            None, lambda *_: context.got.append(time.monotonic())
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
        proxy.set_mode(way)
        await send_for(link, vote, seconds)
        proxy.set_mode("")
        context.whole_at = time.monotonic()
        await send_for(link, vote, MESSAGES_S)
        await link.close()
        await proxy.close()
        await server.stop(grace=0)

    asyncio.run(run())


async def send_for(link, message, seconds: float) -> None:
    """Send a message each tenth of a second."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        link.send(message)
        await asyncio.sleep(0.1)


@then("messages arrive again within {seconds:g} s")
def arrive_again(context, seconds):
    assert any(at < context.whole_at for at in context.got), "none before"
    after = [at for at in context.got if at > context.whole_at]
    assert after, "none after"
    assert after[0] - context.whole_at <= seconds, after[0] - context.whole_at


# --- streams that break, one way each ------------------------------------------


class PeerStream:
    """Counts the messages of each stream; the first one breaks."""

    def __init__(self, fault: str):
        self.fault = fault
        self.arrived: list[tuple[int, float]] = []
        self.streams = 0

    async def serve(self, requests, context):
        """Take the messages of one stream as our server does, or break."""
        self.streams += 1
        stream = self.streams

        def on_peer(*_):
            self.arrived.append((stream, time.monotonic()))

        if stream == 1 and self.fault.startswith("handler"):
            await self.break_handler(requests, on_peer, context)
        async for ack in links.acknowledged(requests, on_peer, context):
            yield ack

    async def break_handler(self, requests, on_peer, context):
        """End the first stream on the side that reads it."""
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


class BrokenStream:
    """A stream on the writing side that never works."""

    def __init__(self, fault: str):
        self.fault = fault

    async def wait_for_connection(self) -> None:
        """Connect, or never do."""
        if self.fault == "connection is never made":
            await asyncio.Event().wait()

    async def write(self, _: bytes) -> None:
        """Write, or never return."""
        if self.fault == "write is cancelled":
            raise asyncio.CancelledError
        await asyncio.Event().wait()

    async def read(self) -> bytes:
        """Wait for a response that never comes."""
        await asyncio.Event().wait()

    def cancel(self) -> None:
        """Give the stream up, which changes nothing."""


class BrokenChannel:
    """A channel whose streams never work."""

    def __init__(self, fault: str):
        self.fault = fault

    def stream_stream(self, _: str):
        """Return what opens a stream."""
        return lambda metadata: BrokenStream(self.fault)

    stream_unary = stream_stream

    async def close(self, _: float | None = None) -> None:
        """Close, or never return."""
        if "nor does close" in self.fault:
            await asyncio.Event().wait()


def opener(fault: str):
    """Return what opens channels, of which the first may be broken."""
    opened = []

    def open_channel(address: str):
        opened.append(address)
        broken = fault.startswith(("write", "connection"))
        if broken and len(opened) == 1:
            return BrokenChannel(fault)
        return channels.open_channel(address)

    return open_channel


@given("a peer stream whose {fault}")
def peer_stream_whose(context, fault):
    context.peer = PeerStream(fault)


@given("a peer stream that works")
def peer_stream_works(context):
    context.peer = PeerStream("")


def with_peer_link(context, send) -> None:
    """Run a server of the peer and a link to it."""
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
        context.began_at = time.monotonic()
        link = links.PeerLink(
            f"127.0.0.1:{port}",
            "r1",
            "127.0.0.1:1",
            open_channel=opener(peer.fault),
        )
        await send(link)
        await asyncio.wait_for(link.close(), 5.0)
        await server.stop(grace=0)

    asyncio.run(run())


VOTE = peers.VoteReply(
    term=1, sender="r1", pre=False, granted=False, asked_term=1
)


@when("messages are sent to the peer for {seconds:g} s")
def sent_to_peer(context, seconds):
    async def send(link):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            link.send(VOTE)
            link.note_heard()
            await asyncio.sleep(0.05)

    with_peer_link(context, send)


@when(
    "messages are sent to the peer, {gap:g} s apart, and more of them"
    " {seconds:g} s later"
)
def sent_later(context, gap, seconds):
    async def send(link):
        for pause in (gap, seconds, gap, seconds):
            link.send(VOTE)
            await asyncio.sleep(pause)

    with_peer_link(context, send)
    assert len(context.peer.arrived) == 4, context.peer.arrived


@then("messages arrive by a later stream within {seconds:g} s")
def later_stream(context, seconds):
    peer = context.peer
    first = 1 if peer.fault.startswith(("write", "connection")) else 2
    later = [at for stream, at in peer.arrived if stream >= first]
    assert later, f"{len(peer.arrived)} messages, {peer.streams} streams"
    assert later[0] - context.began_at <= seconds, later[0] - context.began_at
    assert len(later) >= 5, len(later)


@then("all arrive by the first stream")
def first_stream_only(context):
    assert {stream for stream, _ in context.peer.arrived} == {1}
