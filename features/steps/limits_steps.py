"""Steps on limits of time, number and size in gateways and the leader."""

import asyncio
import socket
import time

import attrs
from behave import given
from behave import then

from _coltsfootroad.control import coordinator as coordinator_lib
from _coltsfootroad.control import state as state_lib
from _coltsfootroad.control import watching
from _coltsfootroad.core import addresses
from _coltsfootroad.core import registry
from _coltsfootroad.core.placement import engineplacement
from _coltsfootroad.core.placement import enginestate
from _coltsfootroad.core.placement import work as work_lib
from _coltsfootroad.gateway import gossip
from _coltsfootroad.gateway import upstream
from benchmarks import mixes
from features.support import gatewaybed

# Connections that fill an accept queue of length 0 and its extra slots.
FILLERS = 4


@given("an endpoint whose accept queue is full")
def full_queue(context):
    context.listener = socket.socket()
    context.listener.bind(("127.0.0.1", 0))
    context.listener.listen(0)
    context.add_cleanup(context.listener.close)
    for _ in range(FILLERS):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(context.listener.getsockname())
        context.add_cleanup(filler.close)
    time.sleep(0.1)


@then("connecting to it times out within {least:g} to {most:g} s")
def times_out(context, least, most):
    host, port = context.listener.getsockname()
    pool = upstream.EndpointPool(f"{host}:{port}")
    began = time.monotonic()
    assert asyncio.run(pool.connect()) is None
    took_s = time.monotonic() - began
    assert least <= took_s <= most, took_s


class CountingEndpoint(gatewaybed.ScriptedEndpoint):
    """Announces a keep-alive timeout of 1 s, and counts connections."""

    connections = 0

    async def serve(self, reader, writer):
        """Count a connection."""
        self.connections += 1
        await super().serve(reader, writer)

    def answer(self, headers):
        """Return a complete answer with a keep-alive timeout."""
        body = self.body(headers)
        return (
            self.head(
                headers,
                "Keep-Alive: timeout=1",
                f"Content-Length: {len(body)}",
            )
            + body
        )


@given("an endpoint with a keep-alive timeout of 1 s")
def keeps_connections(context):
    context.endpoint = CountingEndpoint("e1", ["answer"])


@then(
    "a request {soon:g} s later reuses the connection, and one {late:g} s later"
    " opens a new one"
)
def reuses_connection(context, soon, late):
    endpoint = context.endpoint

    async def story():
        bed = gatewaybed.Bed()
        try:
            await bed.take(endpoint)
            await bed.ask("/safe/x")
            await asyncio.sleep(soon)
            await bed.ask("/safe/x")
            assert endpoint.connections == 1, endpoint.connections
            await asyncio.sleep(late)
            await bed.ask("/safe/x")
            assert endpoint.connections == 2, endpoint.connections
        finally:
            await bed.close()

    asyncio.run(story())


@given("{count:d} endpoints that all report that they did not run a request")
def all_reject(context, count):
    context.count = count


@then("a route of 2 attempts sends it {times:d} times")
def sent_times(context, times):
    async def story():
        bed = gatewaybed.Bed()
        try:
            for number in range(context.count):
                await bed.add(f"e{number}", "reject")
            await bed.ask("/safe/x")
            return sum(len(endpoint.seen) for endpoint in bed.endpoints)
        finally:
            await bed.close()

    found = asyncio.run(story())
    assert found == times, found


@given("a gateway that has just started and holds {count:d} requests")
def holds_many(context, count):
    gateway = gatewaybed.Bed.without_sockets("g1")
    context.start_up = gateway.start_up
    context.start_up.held = count


@then("one more is not held")
def not_held(context):
    began = time.monotonic()
    now = time.clock_gettime(time.CLOCK_BOOTTIME)
    asyncio.run(context.start_up.wait(now, 10.0, lambda: False))
    assert time.monotonic() - began < 0.2


@given("a gateway with {count:d} work items")
def much_work(context, count):
    context.gateway = gatewaybed.Bed.without_sockets("g1")
    for _ in range(count):
        context.gateway.load.add(
            work_lib.WorkItem(endpoint="i-0123456789", prompt_tokens=1_000_000)
        )


@then("its summary has {items:d} work items and less than {most:d} bytes")
def fits(context, items, most):
    sent = []

    class Socket:
        """Records sent datagrams."""

        def is_closing(self):
            """Return that the socket is open."""
            return False

        def sendto(self, data, _address):
            """Record a datagram."""
            sent.append(data)

        def close(self):
            """Do nothing."""

    context.gateway.view.member_view.learn(
        (
            addresses.Member(
                entry="g2",
                incarnation=1,
                address="127.0.0.1:1",
                peer_address="127.0.0.1:2",
            ),
        ),
        (),
        True,
    )
    gossiper = gossip.Gossip(context.gateway)
    gossiper.transport = Socket()
    gossiper.send_summary(full=True)
    (data,) = sent
    assert len(gossip.decode(data).changes) == items
    assert len(data) < most, len(data)


@given("a leader that knows a {kind}")
def leader_knows(context, kind):
    coordinator = coordinator_lib.Coordinator(
        epoch="e", state=state_lib.ControlState(), started_at=0.0
    )
    member = addresses.Member(entry="g1", incarnation=1, address="127.0.0.1:1")
    announcement = registry.Announcement(
        endpoint="e1", incarnation=1, seq=1, service="s"
    )
    coordinator.on_watch(
        watching.Watch(
            member=member,
            routes_version=-1,
            announcements=(announcement,),
            wait_s=0.4,
        ),
        0.0,
    )
    context.coordinator = coordinator
    context.known = {
        "gateway": lambda: "g1" in coordinator.members,
        "endpoint": lambda: "e1" in coordinator.registry.registrations,
    }[kind]


@then("it is known for {known:g} s and dropped after {dropped:g} s")
def dropped_after(context, known, dropped):
    context.coordinator.expire(known)
    assert context.known()
    context.coordinator.expire(dropped)
    assert not context.known()


@then("a prompt that leaves {left:d} tokens free is held by two engines")
def is_split(context, left):
    spec = mixes.spec(8, 450_000, 46)
    prompt = engineplacement.Prompt(
        prompt_tokens=spec.kv_tokens - left,
        output_tokens=0,
        target_s=15.0,
        gap_target_s=0.8,
    )
    states = [
        enginestate.engine_state(f"e{n}", [], spec, 0.0) for n in range(3)
    ]
    found = engineplacement.place(prompt, states, spec)
    assert len(found.tickets) == 1, found
    assert attrs.asdict(found)["lead"] not in dict(found.tickets)
