"""Simulation of replicas, relays and watching gateways in virtual time.

The simulation runs production code: coordinators, watch caches, relay loops,
watch desks and the watches of gateways. Elections have tests of their own, so
the simulation appoints the leader. It keeps the guarantee of elections: a
replica answers as the leader only while no other replica does.
"""

import asyncio
import itertools
import random

import attrs
from expression import Error
from expression import Ok

from _coltsfootroad.control import coordinator as coordinator_lib
from _coltsfootroad.control import crashreports
from _coltsfootroad.control import evacuations
from _coltsfootroad.control import messages
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import retrylending
from _coltsfootroad.control import state as state_lib
from _coltsfootroad.control import watchcache
from _coltsfootroad.control import watching
from _coltsfootroad.core import registry
from _coltsfootroad.core import routes as routes_lib
from _coltsfootroad.gateway import watch as watch_lib
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import leaderpoller
from _coltsfootroad.shell import links
from _coltsfootroad.shell import watchserver
from _coltsfootroad.shell import wireformats
from features.support import gatewaybed

ZONES = ("za", "zb", "zc")
ONE_WAY_DELAY_S = 0.001
# Staleness bound of the gateways, and the limit for serving withdrawn keys.
STALENESS_S = 4.5
MAX_REVOCATION_S = 5.0
STEP_S = 0.05
FIRST_GATEWAY_PORT = 20_000


@attrs.define(eq=False)
class Process:
    """A control process: a replica that may lead, or a relay."""

    name: str
    zone: str
    world: "World"
    can_lead: bool
    address: str = ""
    up: bool = True
    frozen_until: float = 0.0
    incarnation: int = 0
    coordinator: coordinator_lib.Coordinator | None = None
    # Coordinator of a term that ended while the process was frozen.
    former_coordinator: coordinator_lib.Coordinator | None = None
    watch_cache: watchcache.WatchCache = attrs.field(init=False)
    watch_server: watchserver.WatchServer = attrs.field(init=False)

    def start(self) -> None:
        """Start with empty state."""
        self.up = True
        self.coordinator = self.former_coordinator = None
        self.incarnation += 1
        relay = watching.Relay(
            name=self.name,
            incarnation=self.incarnation,
            address=self.address,
            availability_zone=self.zone,
        )
        self.watch_cache = watchcache.WatchCache(relay)
        self.watch_server = watchserver.WatchServer(
            self.watch_cache, self.answer_as_leader
        )
        link = links.GrpcControlClient(tuple(self.world.replica_addresses()))
        link.channels = SimulatedChannels(self.world, self.name, self.zone)
        self.watch_server.leader_poller = leaderpoller.LeaderPoller(
            self.watch_cache,
            link,
            lambda: self.coordinator is not None,
            self.watch_server.wake_watches,
            self.world.broken,
        )
        self.watch_server.leader_poller.start()

    def stop(self) -> None:
        """Stop at once, as in a crash."""
        self.up = False
        self.coordinator = self.former_coordinator = None
        self.watch_server.leader_poller.stop()
        self.watch_server.wake_watches()

    def lead(self) -> None:
        """Become the leader, as `ControlNode.take_over` does."""
        now = self.world.now
        registry_since = self.watch_cache.registry_since
        if not self.watch_cache.is_fresh(now):
            self.watch_cache.fleet_state.clear()
            registry_since = now
        self.coordinator = coordinator_lib.Coordinator(
            epoch=f"{self.name}/{self.world.next_term()}",
            state=self.world.state,
            started_at=now,
            fleet_state=self.watch_cache.fleet_state,
            registry_since=registry_since,
        )
        self.coordinator.update_relay(
            self.watch_cache.relay, coordinator_lib.NEVER
        )
        self.watch_server.wake_watches()

    def step_down(self) -> None:
        """Stop leading; a frozen process learns of it when it runs again."""
        if self.coordinator is not None:
            self.former_coordinator, self.coordinator = self.coordinator, None
            self.step_down_if_running()

    def step_down_if_running(self) -> None:
        """Serve as a relay after having led, unless the process is frozen."""
        if self.former_coordinator is not None and not self.world.is_frozen(
            self.name
        ):
            self.watch_cache.step_down(
                self.former_coordinator.registry_since, self.world.now
            )
            self.former_coordinator = None

    async def answer(self, message) -> object:
        """Answer a call from another process."""
        if isinstance(message, watching.Watch | watching.RelayWatch):
            return await self.watch_server.answer(message)
        if self.coordinator is None:
            return outcomes.NotLeader(hint=self.world.leader_address())
        if isinstance(message, crashreports.ReportCrashes):
            revision = self.coordinator.last_revision
            for command in self.coordinator.record_crashes(
                message, self.world.now
            ):
                self.world.apply(command)
            if self.coordinator.last_revision != revision:
                self.watch_server.wake_watches()
            return outcomes.Done()
        if isinstance(message, retrylending.BorrowRetries):
            return self.coordinator.retry_lender.lend(message, self.world.now)
        return self.world.apply(message)

    async def answer_as_leader(self, request) -> object:
        """Answer as the leader, or return the leader's address."""
        if self.coordinator is None:
            return outcomes.NotLeader(hint=self.world.leader_address())
        if isinstance(request, watching.RelayWatch):
            response = self.coordinator.on_relay_watch(request, self.world.now)
        else:
            near = watchcache.relays_in_zone(
                self.coordinator.fleet_state, request, self.watch_cache.relay
            )
            if near:
                return watching.AskElsewhere(relays=near)
            response = self.coordinator.on_watch(request, self.world.now)
        return attrs.evolve(
            response, replicas=tuple(self.world.replica_addresses())
        )


class SimulatedChannels:
    """Calls from one process to others over the simulated network."""

    def __init__(self, world, name, zone):
        self.world = world
        self.name = name
        self.zone = zone

    async def call(self, address, message, timeout_s):
        """Return the answer, or an error code."""
        world = self.world
        target = world.by_address[address]
        task = asyncio.ensure_future(self.exchange(target, message))
        await asyncio.wait([task], timeout=timeout_s)
        if not task.done() and world.is_frozen(self.name):
            # After the freeze the process reads a response that has arrived.
            await world.wait_until_unfrozen(self.name)
            await asyncio.sleep(2 * ONE_WAY_DELAY_S)
        if not task.done():
            task.cancel()
            return Error("deadline_exceeded")
        return task.result()

    async def exchange(self, target, message):
        """Deliver a message and return the answer."""
        world = self.world
        await world.cross_network(self.name, target.name)
        if not target.up:
            return Error("unavailable")
        started = target.incarnation
        decoded = wireformats.CALLS.decode(wireformats.CALLS.encode(message)).ok
        answer = await target.answer(decoded)
        await world.wait_until_unfrozen(target.name)
        if not target.up or target.incarnation != started:
            return Error("unavailable")
        await world.cross_network(target.name, self.name)
        return Ok(wireformats.CALLS.decode(wireformats.CALLS.encode(answer)).ok)

    def close_channel(self, _address):
        """Do nothing; the simulation keeps no connections."""

    async def close(self):
        """Do nothing; the simulation keeps no connections."""


class World:
    """A simulated fleet with faults and invariants."""

    def __init__(self, loop, seed: int):
        self.loop = loop
        self.rng = random.Random(seed)
        random.seed(seed)
        self.state = state_lib.ControlState()
        self.terms = itertools.count(1)
        self.broken = loop.create_future()
        self.cuts: set[frozenset[str]] = set()
        self.acked: list[tuple[float, int]] = []
        # When the newest order of each zone was acknowledged.
        self.ordered_at: dict[str, float] = {}
        self.processes: dict[str, Process] = {}
        self.by_address: dict[str, Process] = {}
        self.gateways = {}
        # Ports of gateways by name; a restarted gateway keeps its port.
        self.gateway_ports: dict[str, int] = {}
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
        """Apply a replicated command as the leader does."""
        answer = self.state.apply(command, clocks.unix_time())
        for process in self.processes.values():
            if process.coordinator is not None:
                process.coordinator.publish_quarantine(self.now)
                process.coordinator.publish_evacuation()
                process.watch_server.wake_watches()
        return answer

    def add_process(self, name, zone, can_lead) -> None:
        """Add a control process."""
        process = Process(name, zone, self, can_lead)
        process.address = f"10.0.0.{len(self.processes) + 1}:1"
        self.processes[name] = process
        self.by_address[process.address] = process

    async def begin(self, gateways: int) -> None:
        """Start all processes and gateways."""
        for process in self.processes.values():
            process.start()
        self.processes["replica-0"].lead()
        for number in range(gateways):
            zone = ZONES[number % len(ZONES)]
            self.add_gateway(f"gw-{number}", zone)
        await asyncio.sleep(0)

    def add_gateway(self, name: str, zone: str) -> None:
        """Start or restart a gateway."""
        port = self.gateway_ports.setdefault(
            name, FIRST_GATEWAY_PORT + len(self.gateway_ports)
        )
        gateway = gatewaybed.Bed.without_sockets(name, zone, port)
        gateway.front.apply = lambda limits: None
        gateway.incarnation = next(self.seqs)
        watch = watch_lib.Watch(gateway)
        watch.channels = SimulatedChannels(self, name, zone)
        watch.learn_seeds(tuple(self.replica_addresses()))
        gateway.watch = watch
        self.gateways[name] = gateway
        watch.start()

    def replica_addresses(self) -> list[str]:
        """Return the addresses that all processes are configured with."""
        return [p.address for p in self.processes.values() if p.can_lead]

    def leader(self) -> Process | None:
        """Return the leader, None if there is none."""
        for process in self.processes.values():
            if process.coordinator is not None:
                return process
        return None

    def leader_address(self) -> str:
        """Return the leader's address, empty if there is none."""
        leader = self.leader()
        return leader.address if leader else ""

    # --- network -----------------------------------------------------------

    async def cross_network(self, source: str, target: str) -> None:
        """Wait for the one-way delay, or until a cut link is repaired."""
        while frozenset((source, target)) in self.cuts:
            await asyncio.sleep(STEP_S)
        await asyncio.sleep(ONE_WAY_DELAY_S)
        await self.wait_until_unfrozen(target)

    def is_frozen(self, name: str) -> bool:
        """Return whether a process is frozen now."""
        return self.frozen.get(name, 0.0) > self.now

    async def wait_until_unfrozen(self, name: str) -> None:
        """Wait until a frozen process runs again."""
        while self.is_frozen(name):
            await asyncio.sleep(self.frozen[name] - self.now)

    def cut(self, one: str, other: str) -> None:
        """Cut the link between two processes."""
        self.cuts.add(frozenset((one, other)))

    def isolate(self, name: str) -> None:
        """Cut the links of a process to all other control processes."""
        for other in self.processes:
            if other != name:
                self.cut(name, other)

    # --- operators and endpoints -------------------------------------------

    def put_version(self) -> bool:
        """Apply the next version and record it as acknowledged."""
        version = len(self.acked) + 1
        config = self.config(version)
        self.state.routes.put(messages.PutRoutes(config=config, source=b""))
        self.acked.append((self.now, version))
        for process in self.processes.values():
            if process.coordinator is not None:
                process.watch_server.wake_watches()
        return True

    def change_evacuation(self, zone: str) -> None:
        """Order or withdraw a zone's evacuation if a leader can commit it."""
        leader = self.leader()
        if leader is None or not self.can_lead(leader):
            return
        order = self.state.evacuation.order(zone)
        self.apply(
            evacuations.SetEvacuation(
                zone=zone,
                evacuated=not order.evacuated,
                after_revision=order.revision,
            )
        )
        self.ordered_at[zone] = self.now

    def config(self, version: int) -> routes_lib.RouteConfig:
        """Return the routes of a version."""
        return gatewaybed.config(version)

    def announce(self, name: str, state=registry.EndpointState.SERVING) -> None:
        """Announce an endpoint to the leader."""
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
        leader.coordinator.record_announcement(announcement, 8.0, self.now)
        leader.watch_server.wake_watches()

    def renew_endpoints(self) -> None:
        """Repeat the announcements of all endpoints."""
        for name in list(self.endpoints):
            self.announce(name)

    # --- elections ---------------------------------------------------------

    def lose_leader(self, for_s: float) -> None:
        """Depose the leader and elect none for some time."""
        leader = self.leader()
        if leader is not None:
            leader.step_down()
        self.no_leader_until = self.now + for_s

    def elect(self) -> None:
        """Appoint a running replica with a quorum once an election is due."""
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
        """Return whether a replica is connected to a quorum."""
        if not process.can_lead or not process.up:
            return False
        if self.is_frozen(process.name):
            return False
        replicas = [p for p in self.processes.values() if p.can_lead]
        connected = [
            p
            for p in replicas
            if p is process
            or (p.up and frozenset((p.name, process.name)) not in self.cuts)
        ]
        return len(connected) * 2 > len(replicas)

    # --- invariants --------------------------------------------------------

    def check(self) -> None:
        """Check the invariants that hold at any time."""
        if self.broken.done():
            self.broken.result()
        for gateway in self.gateways.values():
            if self.is_frozen(gateway.settings.gateway):
                continue
            self.check_gateway(gateway)

    def check_gateway(self, gateway) -> None:
        """Check that no version or order is unknown for too long."""
        view = gateway.view
        if not view.is_current(self.now):
            return
        later = [at for at, version in self.acked if version > view.version]
        if later:
            late_s = self.now - later[0]
            assert late_s < MAX_REVOCATION_S, (gateway.settings.gateway, late_s)
        missing = self.missing_zones(gateway)
        since = [self.now - self.ordered_at[zone] for zone in missing]
        assert all(late_s < MAX_REVOCATION_S for late_s in since), (
            gateway.settings.gateway,
            missing,
            since,
        )

    def missing_zones(self, gateway) -> set[str]:
        """Return the evacuated zones that a gateway does not know."""
        evacuated = set(self.state.evacuation.evacuated_zones())
        return evacuated - gateway.endpoints.evacuated_zones

    async def run(self, seconds: float) -> None:
        """Advance time and check the invariants in each step."""
        end = self.now + seconds
        renew_at = self.now
        while self.now < end:
            await asyncio.sleep(STEP_S)
            self.elect()
            for process in self.processes.values():
                process.step_down_if_running()
                if process.coordinator is not None:
                    revision = process.coordinator.last_revision
                    for command in process.coordinator.quarantine_delayed(
                        self.now
                    ):
                        self.apply(command)
                    process.coordinator.expire(self.now)
                    if process.coordinator.last_revision != revision:
                        process.watch_server.wake_watches()
            if self.now >= renew_at:
                renew_at = self.now + 1.2
                self.renew_endpoints()
            self.check()

    def heal(self) -> None:
        """Repair all links and processes."""
        self.cuts.clear()
        self.frozen.clear()
        for process in self.processes.values():
            if not process.up:
                process.start()

    def check_converged(self) -> None:
        """Check that all gateways have the newest version and fleet state."""
        newest = self.acked[-1][1]
        alive = set(self.gateways)
        serving = {
            name
            for name, announcement in self.endpoints.items()
            if announcement.state is registry.EndpointState.SERVING
        }
        for name, gateway in self.gateways.items():
            assert gateway.view.version == newest, (name, gateway.view.version)
            assert gateway.view.age_s(self.now) < 2.5, name
            zones = set(self.state.evacuation.evacuated_zones())
            found = gateway.endpoints.evacuated_zones
            assert found == zones, (name, found ^ zones)
            known = set(gateway.view.members)
            assert known == alive, (name, known ^ alive)
            used = {k.name for k in gateway.endpoints.serving_endpoints("s")}
            assert used == serving, (name, used ^ serving)

    def stop(self) -> None:
        """Cancel all tasks."""
        for process in self.processes.values():
            if process.up:
                process.watch_server.leader_poller.stop()
        for gateway in self.gateways.values():
            gateway.reach_monitor.stop()
            gateway.watch.task.cancel()
