"""Replicas, relays and gateways that watch, in virtual time.

The programs' own parts run: hubs, mirrors, relay loops, desks and the watches of
gateways. Who leads is decided here, as elections have tests of their own; what
is promised to them holds: a replica answers as the leader only while no other
one does.
"""

import asyncio
import itertools
import random

import attrs
from expression import Error
from expression import Ok

from _coltsfootroad.control import crashreports
from _coltsfootroad.control import hub as hub_lib
from _coltsfootroad.control import messages
from _coltsfootroad.control import mirror as mirror_lib
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import retrylending
from _coltsfootroad.control import state as state_lib
from _coltsfootroad.control import watching
from _coltsfootroad.core import registry
from _coltsfootroad.gateway import watch as watch_lib
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import links
from _coltsfootroad.shell import relayloop
from _coltsfootroad.shell import watchdesk
from _coltsfootroad.shell import wirecalls
from features.support import gatewaybed

ZONES = ("za", "zb", "zc")
TRAVEL_S = 0.001
# What a gateway takes for proof, and what must hold for withdrawn keys.
STALENESS_S = 4.5
REVOKED_S = 5.0
STEP_S = 0.05


@attrs.define(eq=False)
class Process:
    """A process of control: a replica that may lead, or a relay."""

    name: str
    zone: str
    world: "World"
    can_lead: bool
    address: str = ""
    up: bool = True
    frozen_until: float = 0.0
    incarnation: int = 0
    hub: hub_lib.Hub | None = None
    # Its hub of a term that has ended while it stood still.
    deposed: hub_lib.Hub | None = None
    mirror: mirror_lib.Mirror = attrs.field(init=False)
    desk: watchdesk.WatchDesk = attrs.field(init=False)

    def start(self) -> None:
        """Start, knowing nothing."""
        self.up = True
        self.hub = self.deposed = None
        self.incarnation += 1
        relay = watching.Relay(
            name=self.name,
            incarnation=self.incarnation,
            address=self.address,
            availability_zone=self.zone,
        )
        self.mirror = mirror_lib.Mirror(relay)
        self.desk = watchdesk.WatchDesk(self.mirror, self.ask_leader)
        link = links.GrpcControlLink(tuple(self.world.replica_addresses()))
        link.channels = WorldChannels(self.world, self.name, self.zone)
        self.desk.relay = relayloop.RelayLoop(
            self.mirror,
            link,
            lambda: self.hub is not None,
            self.desk.wake,
            self.world.broken,
        )
        self.desk.relay.start()

    def stop(self) -> None:
        """Die."""
        self.up = False
        self.hub = self.deposed = None
        self.desk.relay.stop()
        self.desk.wake()

    def lead(self) -> None:
        """Begin to lead, as a replica does."""
        now = self.world.now
        heard_since = self.mirror.heard_since
        if not self.mirror.is_good(now):
            self.mirror.book.clear()
            heard_since = now
        self.hub = hub_lib.Hub(
            epoch=f"{self.name}/{self.world.next_term()}",
            state=self.world.state,
            started_at=now,
            book=self.mirror.book,
            heard_since=heard_since,
        )
        self.hub.take_relay(self.mirror.relay, hub_lib.NEVER)
        self.desk.wake()

    def step_down(self) -> None:
        """Lead no longer; a process that stands still learns of it later."""
        if self.hub is not None:
            self.deposed, self.hub = self.hub, None
            self.note_deposed()

    def note_deposed(self) -> None:
        """Go on as a relay after having led, unless it stands still."""
        if self.deposed is not None and not self.world.stands_still(self.name):
            self.mirror.step_down(self.deposed.heard_since, self.world.now)
            self.deposed = None

    async def answer(self, message) -> object:
        """Answer a call of another process."""
        if isinstance(message, watching.Watch | watching.RelayWatch):
            return await self.desk.answer(message)
        if self.hub is None:
            return outcomes.NotLeader(hint=self.world.leader_address())
        if isinstance(message, crashreports.ReportCrashes):
            for command in self.hub.take_crashes(message, self.world.now):
                self.world.apply(command)
            return outcomes.Done()
        if isinstance(message, retrylending.BorrowRetries):
            return self.hub.retry_lender.lend(message, self.world.now)
        return self.world.apply(message)

    async def ask_leader(self, question) -> object:
        """Answer as the leader, or say who leads."""
        if self.hub is None:
            return outcomes.NotLeader(hint=self.world.leader_address())
        if isinstance(question, watching.RelayWatch):
            news = self.hub.on_relay_watch(question, self.world.now)
        else:
            near = mirror_lib.near_relays(
                self.hub.book, question, self.mirror.relay
            )
            if near:
                return watching.AskElsewhere(relays=near)
            news = self.hub.on_watch(question, self.world.now)
        return attrs.evolve(
            news, replicas=tuple(self.world.replica_addresses())
        )


class WorldChannels:
    """Calls of one process on others, by way of the world's network."""

    def __init__(self, world, name, zone):
        self.world = world
        self.name = name
        self.zone = zone

    async def call(self, address, message, timeout_s):
        """Return the answer, or text saying why there is none."""
        world = self.world
        target = world.by_address[address]
        task = asyncio.ensure_future(self.exchange(target, message))
        await asyncio.wait([task], timeout=timeout_s)
        if not task.done() and world.stands_still(self.name):
            # It takes what has come meanwhile when it runs again.
            await world.thaw(self.name)
            await asyncio.sleep(2 * TRAVEL_S)
        if not task.done():
            task.cancel()
            return Error("deadline_exceeded")
        return task.result()

    async def exchange(self, target, message):
        """Carry a message there and the answer back."""
        world = self.world
        await world.travel(self.name, target.name)
        if not target.up:
            return Error("unavailable")
        started = target.incarnation
        decoded = wirecalls.CALLS.decode(wirecalls.CALLS.encode(message)).ok
        answer = await target.answer(decoded)
        await world.thaw(target.name)
        if not target.up or target.incarnation != started:
            return Error("unavailable")
        await world.travel(target.name, self.name)
        return Ok(wirecalls.CALLS.decode(wirecalls.CALLS.encode(answer)).ok)

    def forget(self, _address):
        """Keep nothing."""

    async def close(self):
        """Close nothing."""


class World:
    """A fleet, what happens to it, and what must hold all the while."""

    def __init__(self, loop, seed: int):
        self.loop = loop
        self.rng = random.Random(seed)
        random.seed(seed)
        self.state = state_lib.ControlState()
        self.terms = itertools.count(1)
        self.broken = loop.create_future()
        self.cuts: set[frozenset[str]] = set()
        self.acked: list[tuple[float, int]] = []
        self.processes: dict[str, Process] = {}
        self.by_address: dict[str, Process] = {}
        self.gateways = {}
        self.frozen: dict[str, float] = {}
        self.no_leader_until = 0.0
        self.seqs = itertools.count(1)
        self.endpoints: dict[str, registry.Announcement] = {}
        for place, zone in enumerate(ZONES):
            self.add_process(f"replica-{place}", zone, True)
            self.add_process(f"relay-{place}", zone, False)
        self.put_version()

    @property
    def now(self) -> float:
        """Return the virtual time."""
        return self.loop.time()

    def next_term(self) -> int:
        """Return a term above all earlier ones."""
        return next(self.terms)

    def apply(self, command: object) -> object:
        """Apply a replicated command, as the leader does."""
        answer = self.state.apply(command, clocks.unix_time())
        for process in self.processes.values():
            if process.hub is not None:
                process.hub.publish_quarantine(self.now)
                process.desk.wake()
        return answer

    def add_process(self, name, zone, can_lead) -> None:
        """Set up a process of control."""
        process = Process(name, zone, self, can_lead)
        process.address = f"10.0.0.{len(self.processes) + 1}:1"
        self.processes[name] = process
        self.by_address[process.address] = process

    async def begin(self, gateways: int) -> None:
        """Start everything."""
        for process in self.processes.values():
            process.start()
        self.processes["replica-0"].lead()
        for number in range(gateways):
            zone = ZONES[number % len(ZONES)]
            self.add_gateway(f"gw-{number}", zone)
        await asyncio.sleep(0)

    def add_gateway(self, name: str, zone: str) -> None:
        """Start a gateway, or start it again."""
        gateway = gatewaybed.Bed.without_sockets(name, zone)
        gateway.front.apply = lambda limits: None
        gateway.incarnation = next(self.seqs)
        watch = watch_lib.Watch(gateway)
        watch.channels = WorldChannels(self, name, zone)
        watch.learn_seeds(tuple(self.replica_addresses()))
        gateway.watch = watch
        self.gateways[name] = gateway
        watch.start()

    def replica_addresses(self) -> list[str]:
        """Return the addresses that everybody is set up with."""
        return [p.address for p in self.processes.values() if p.can_lead]

    def leader(self) -> Process | None:
        """Return who leads."""
        for process in self.processes.values():
            if process.hub is not None:
                return process
        return None

    def leader_address(self) -> str:
        """Return the address of the leader, empty for none."""
        leader = self.leader()
        return leader.address if leader else ""

    # --- network -----------------------------------------------------------

    async def travel(self, source: str, target: str) -> None:
        """Take the way from one to another, or wait for ever on a cut one."""
        while frozenset((source, target)) in self.cuts:
            await asyncio.sleep(STEP_S)
        await asyncio.sleep(TRAVEL_S)
        await self.thaw(target)

    def stands_still(self, name: str) -> bool:
        """Return whether a process does not run now."""
        return self.frozen.get(name, 0.0) > self.now

    async def thaw(self, name: str) -> None:
        """Wait until a process that stands still runs again."""
        while self.stands_still(name):
            await asyncio.sleep(self.frozen[name] - self.now)

    def cut(self, one: str, other: str) -> None:
        """Cut the way between two."""
        self.cuts.add(frozenset((one, other)))

    def isolate(self, name: str) -> None:
        """Cut a process off from all others of control."""
        for other in self.processes:
            if other != name:
                self.cut(name, other)

    # --- what operators and endpoints do -----------------------------------

    def put_version(self) -> bool:
        """Put the next version in force, as one that is acknowledged."""
        version = len(self.acked) + 1
        config = gatewaybed.config(version)
        self.state.routes.put(messages.PutRoutes(config=config, source=b""))
        self.acked.append((self.now, version))
        for process in self.processes.values():
            if process.hub is not None:
                process.desk.wake()
        return True

    def announce(self, name: str, state=registry.EndpointState.SERVING) -> None:
        """Let an endpoint announce itself to the leader."""
        leader = self.leader()
        if leader is None:
            return
        announcement = registry.Announcement(
            endpoint=name,
            incarnation=1,
            seq=next(self.seqs),
            service="s",
            address="10.1.0.1:1",
            state=state,
        )
        self.endpoints[name] = announcement
        leader.hub.take_announcement(announcement, 8.0, self.now)
        leader.desk.wake()

    def renew_endpoints(self) -> None:
        """Let all endpoints announce themselves again."""
        for name in list(self.endpoints):
            self.announce(name)

    # --- elections ---------------------------------------------------------

    def lose_leader(self, for_s: float) -> None:
        """Let nobody lead for a while."""
        leader = self.leader()
        if leader is not None:
            leader.step_down()
        self.no_leader_until = self.now + for_s

    def elect(self) -> None:
        """Let a replica that runs and is connected lead, if it is time."""
        leader = self.leader()
        if leader is not None and not self.can_lead(leader):
            self.lose_leader(0.6)
            leader = None
        if leader is not None or self.now < self.no_leader_until:
            return
        able = [p for p in self.processes.values() if self.can_lead(p)]
        if able:
            self.rng.choice(able).lead()

    def can_lead(self, process: Process) -> bool:
        """Return whether a majority of replicas hears a replica."""
        if not process.can_lead or not process.up:
            return False
        if self.stands_still(process.name):
            return False
        replicas = [p for p in self.processes.values() if p.can_lead]
        heard = [
            p
            for p in replicas
            if p is process
            or (p.up and frozenset((p.name, process.name)) not in self.cuts)
        ]
        return len(heard) * 2 > len(replicas)

    # --- what must hold ----------------------------------------------------

    def check(self) -> None:
        """Check what must hold at any moment."""
        if self.broken.done():
            self.broken.result()
        for gateway in self.gateways.values():
            if self.stands_still(gateway.settings.gateway):
                continue
            self.check_gateway(gateway)

    def check_gateway(self, gateway) -> None:
        """Check that nothing is served past a version's withdrawal."""
        view = gateway.view
        if not view.is_current(self.now):
            return
        later = [at for at, version in self.acked if version > view.version]
        if later:
            late_s = self.now - later[0]
            assert late_s < REVOKED_S, (gateway.settings.gateway, late_s)

    async def run(self, seconds: float) -> None:
        """Let time pass, and check all the while."""
        end = self.now + seconds
        renew_at = self.now
        while self.now < end:
            await asyncio.sleep(STEP_S)
            self.elect()
            for process in self.processes.values():
                process.note_deposed()
                if process.hub is not None:
                    for command in process.hub.convict_late(self.now):
                        self.apply(command)
                    mark = process.hub.last_mark
                    process.hub.expire(self.now)
                    if process.hub.last_mark != mark:
                        process.desk.wake()
            if self.now >= renew_at:
                renew_at = self.now + 1.2
                self.renew_endpoints()
            self.check()

    def heal(self) -> None:
        """End all that was done to the fleet."""
        self.cuts.clear()
        self.frozen.clear()
        for process in self.processes.values():
            if not process.up:
                process.start()

    def check_calm(self) -> None:
        """Check that after a calm time everybody knows everything."""
        newest = self.acked[-1][1]
        alive = set(self.gateways)
        serving = {
            name
            for name, word in self.endpoints.items()
            if word.state is registry.EndpointState.SERVING
        }
        for name, gateway in self.gateways.items():
            assert gateway.view.version == newest, (name, gateway.view.version)
            assert gateway.view.age_s(self.now) < 2.5, name
            known = set(gateway.view.members)
            assert known == alive, (name, known ^ alive)
            used = {k.name for k in gateway.endpoints.serving_endpoints("s")}
            assert used == serving, (name, used ^ serving)

    def stop(self) -> None:
        """End all tasks."""
        for process in self.processes.values():
            if process.up:
                process.desk.relay.stop()
        for gateway in self.gateways.values():
            gateway.watch.task.cancel()
