"""Steps for the timers of a replica and elections in real processes."""

import asyncio
import datetime
import json
import time

from behave import given
from behave import then
from behave import when

from _coltsfootroad.control import messages
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import peers
from _coltsfootroad.shell import clientmemory
from _coltsfootroad.shell import controlserver
from _coltsfootroad.shell import disk
from _coltsfootroad.shell import metrics
from _coltsfootroad.shell import settings as settings_lib
from _coltsfootroad.shell import wireformats
from features.soak import fleet as fleet_lib
from features.support import processstate

DOWN_S = 0.3
WATCH_S = 4.0
FIRST_S = 5.0
POLL_INTERVAL_S = 0.1


class StubNode:
    """Replaces `ControlNode`; the test sets its next timer."""

    def __init__(self, due: float):
        self.due = due
        self.ticks = 0
        self.forward_to = due
        self.coordinator = None

    def tick(self, _now):
        """Count the ticks."""
        self.ticks += 1

    def next_wake(self):
        """Return when the next timer is due."""
        return self.due

    def on_peer(self, _message, _now):
        """Move the timer forward."""
        self.due = self.forward_to

    def call(self, _message, _now, reply):
        """Move the timer forward and reply."""
        self.due = self.forward_to
        reply(outcomes.Done())

    def process(self, _now):
        """Move the timer forward."""
        self.due = self.forward_to


@given("a replica whose next timer is due in {seconds:g} s")
def replica_with_timer(context, seconds):
    context.due_s = seconds


def server_of(folder: disk.DataFolder, **settings):
    """Return a replica's server that listens on no port."""
    control_settings = settings_lib.ControlSettings(
        replica="r",
        listen="127.0.0.1:1",
        admin_listen="127.0.0.1:1",
        admin_token="soak-token",
        data_folder=str(folder.folder),
        **settings,
    )
    return controlserver.ControlServer(
        control_settings,
        folder,
        metrics.Metrics.start("test"),
        clientmemory.ClientMemory.of(control_settings),
    )


@given("a replica whose seeds are unreachable")
def seeds_unreachable(context):
    context.seeds = ("127.0.0.1:5", "127.0.0.1:6")


@when('another replica at "{address}" sends it a message')
def receives_message(context, address):
    async def story():
        folder = disk.DataFolder(context.folder / "data")
        folder.open()
        server = server_of(folder, seeds=context.seeds)
        append = peers.Append(
            term=3,
            sender="x#d",
            prev_index=40,
            prev_term=3,
            entries=(),
            commit=40,
            sent_at=1.0,
        )
        server.on_peer("x#d", address, wireformats.PEERS.encode(append))
        context.asked = list(server.control_client.addresses)
        for link in server.peer_links.values():
            await link.close()
        server.timer.cancel()
        folder.close()

    asyncio.run(story())


@then('it asks at "{address}" to join')
def asks_to_join(context, address):
    assert address in context.asked, context.asked


@when("{what} moves it forward to {seconds:g} s")
def timer_moved_forward(context, what, seconds):
    async def story():
        folder = disk.DataFolder(context.folder / "data")
        folder.open()
        server = server_of(folder)
        stub = StubNode(server.clock() + context.due_s)
        stub.state = server.node.state
        stub.raft = server.node.raft
        server.node = stub
        server.run_tick()
        stub.forward_to = server.clock() + seconds
        if what == "a message of a peer":
            vote = peers.VoteReply(
                term=1, sender="x", pre=False, granted=False, asked_term=1
            )
            server.on_peer("x", "", wireformats.PEERS.encode(vote))
        elif what == "a call":
            await server.call(messages.ReadStatus())
        else:
            server.schedule_processing()
        await asyncio.sleep(0.5)
        server.timer.cancel()
        folder.close()
        return stub.ticks

    context.ticks = asyncio.run(story())


@then("the timer fires within 0.5 s")
def timer_fires(context):
    assert context.ticks >= 2, context.ticks


@given("{count:d} replicas in separate processes")
def replicas_in_processes(context, count):
    context.count = count


@when("all are killed and restarted {times:d} times")
def killed_and_restarted(context, times):
    async def story():
        fleet = fleet_lib.Fleet(context.folder)
        await fleet.start(context.count, 0)
        await until_they_run(fleet)
        await asyncio.sleep(FIRST_S)
        for place in range(context.count):
            fleet.mark_as_started(place)
        try:
            return [await one_round(fleet) for _ in range(times)]
        finally:
            await fleet.close()

    context.rounds = asyncio.run(story())


async def one_round(fleet: fleet_lib.Fleet) -> list[float]:
    """Kill and restart all; return when replicas became leader.

    In seconds since the last of them has loaded its libraries, which takes ten
    times as long on some machines as on others.
    """
    for program in fleet.replicas:
        program.kill()
    killed = time.time()
    await asyncio.sleep(DOWN_S)
    for program in fleet.replicas:
        program.start()
    await until_they_run(fleet)
    began = time.time()
    await asyncio.sleep(WATCH_S)
    return sorted(
        at - began
        for program in fleet.replicas
        for at in led_at(program.log)
        if at > killed
    )


async def until_they_run(fleet: fleet_lib.Fleet) -> None:
    """Wait until all replicas have loaded their libraries."""
    pids = [program.process.pid for program in fleet.replicas]
    await asyncio.to_thread(
        processstate.wait_until,
        lambda: all(processstate.has_loaded(pid) for pid in pids),
        "the replicas do not run",
    )


def led_at(log) -> list[float]:
    """Return the times at which a replica became leader, from its log."""
    found = []
    for line in log.read_text().splitlines():
        if not line.startswith("{"):
            continue
        entry = json.loads(line)
        if entry["event"] == "leads":
            at = datetime.datetime.fromisoformat(entry["time"])
            found.append(at.replace(tzinfo=datetime.UTC).timestamp())
    return found


@then("each time a leader is elected within {seconds:g} s and stays leader")
def leader_elected_and_stays(context, seconds):
    for found in context.rounds:
        assert len(found) == 1, context.rounds
        assert found[0] < seconds, context.rounds


@when("they run for {seconds:d} s on disks that sync in {sync:g} s")
def run_on_slow_disks(context, seconds, sync):
    async def story():
        fleet = fleet_lib.Fleet(context.folder)
        for place in range(context.count):
            fleet.set_faults(place, sync_s=sync)
        await fleet.start(context.count, 0)
        try:
            await until_they_run(fleet)
            return await poll_leaders(fleet, seconds)
        finally:
            await fleet.close()

    context.polls = asyncio.run(story())


async def poll_leaders(
    fleet: fleet_lib.Fleet, seconds: float
) -> list[tuple[float, bool]]:
    """Return the times of the polls, and whether a replica led at each."""
    began = time.monotonic()
    polls = []
    while time.monotonic() < began + seconds:
        states = await asyncio.gather(
            *(
                asyncio.to_thread(fleet.fetch_dump, place)
                for place in range(len(fleet.replicas))
            )
        )
        leads = any(s and s["info"]["role"] == "leader" for s in states)
        polls.append((time.monotonic() - began, leads))
        await asyncio.sleep(POLL_INTERVAL_S)
    return polls


@then(
    "they are never without a leader for {longest:g} s, and have one most of"
    " the time"
)
def had_leaders(context, longest):
    without_from = 0.0
    for at, leads in context.polls:
        without_from = at if leads else without_from
        assert at - without_from < longest, context.polls
    count = sum(leads for _, leads in context.polls)
    assert count > len(context.polls) / 2, context.polls
