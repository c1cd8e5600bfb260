"""Steps on the way from a process to the leader."""

import asyncio
import time

from behave import given
from behave import then
from behave import when

from _coltsfootroad.control import messages
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import peers
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
        proxy.set_way(context.way)
        link = links.GrpcControlLink((proxy.address,))
        first = asyncio.ensure_future(link.call(messages.ReadRoutes(), seconds))
        await asyncio.sleep(seconds)
        proxy.set_way("")
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
        proxy.set_way(way)
        await send_for(link, vote, seconds)
        proxy.set_way("")
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
