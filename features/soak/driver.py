"""Carries out the faults of a plan against a running fleet."""

import asyncio
from collections.abc import Callable
import json
import random
import signal
import time

import attrs

from _coltsfootroad.control import messages
from _coltsfootroad.core import routes
from features.soak import audit
from features.soak import callers
from features.soak import endpoints as endpoints_lib
from features.soak import fleet as fleet_lib
from features.soak import plan
from features.support import gatewaybed

SLOW_SYNC_S = 0.4
CLOCK_STEP_S = {"forward": 3_600.0, "back": -3_600.0}
OPERATOR_TIMEOUT_S = 2.0
OPERATOR_TRIES = 30
STORM_VERSIONS = 12
STORM_GAP_S = 0.06
SHED_SHARE = 0.85
# After a fault of the replicas or the ways to them gateways may be out of
# touch for an election and a link's timeouts.
CONTROL_AFTER_S = 4.0
GATEWAY_AFTER_S = 2.0
DOWN_S = 0.3
# Replicas that were replaced or lost their disk vote within this time of their
# start; the next loss waits for them.
REPAIR_S = 10.0
REPAIR_POLL_S = 0.3
# How soon processes start depends on the machine.
REPLICAS_START_S = 30.0


@attrs.define(eq=False)
class Driver:
    """Knows how each kind of fault is brought about."""

    fleet: fleet_lib.Fleet
    places: list[endpoints_lib.Place]
    book: audit.Book
    link: object
    rng: random.Random
    idle_routes: int = 0
    version: int = 0
    # Time by which faults come later than planned.
    delay_s: float = 0.0
    keys: list[str] = attrs.Factory(callers.key_names)

    async def carry_out(self, faults: list[plan.Fault], began: float) -> None:
        """Begin each fault at its time; they end on their own."""
        under_way = []
        losses = []
        for fault in faults:
            due_at = began + self.delay_s + fault.at
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))
            if plan.is_loss_after(fault, losses):
                await self.wait_for_repair()
            losses += [fault] if fault.kind in plan.LOSSES else []
            print(
                f"{fault.at:6.2f} {fault.kind.value} {fault.target}"
                f" {fault.way} for {fault.for_s:.1f} s",
                flush=True,
            )
            name = "do_" + fault.kind.name.lower()
            act = getattr(self, name)(fault)
            under_way.append(asyncio.ensure_future(act))
        await asyncio.gather(*under_way)

    async def wait_for_repair(self) -> None:
        """Put off a loss until the replicas lost before it are replaced.

        More losses at once than are promised to be survived prove nothing.
        """
        began = time.monotonic()
        fleet = self.fleet
        if not await holds_within(fleet.has_started, REPLICAS_START_S):
            self.book.unrepaired.append(
                f"replicas did not start within {REPLICAS_START_S:g} s"
            )
        elif not await holds_within(fleet.tolerates_losses, REPAIR_S):
            self.book.unrepaired.append(
                f"lost replicas were not replaced within {REPAIR_S:g} s"
            )
        self.delay_s += time.monotonic() - began

    def disturb(self, gateway: int, fault: plan.Fault, after_s: float) -> None:
        """Note that a gateway is disturbed by a fault that begins now."""
        now = time.monotonic()
        self.book.disturbed.append(
            audit.Span(
                gateway=gateway, begin=now, end=now + fault.for_s + after_s
            )
        )

    # --- gateways --------------------------------------------------------

    async def do_kill_gateway(self, fault):
        """Kill a gateway and start it again."""
        program = self.fleet.gateways[fault.target]
        self.disturb(fault.target, fault, GATEWAY_AFTER_S)
        program.kill()
        await asyncio.sleep(fault.for_s)
        self.restart(program)

    async def do_pause_gateway(self, fault):
        """Suspend a gateway for some time."""
        self.disturb(fault.target, fault, GATEWAY_AFTER_S)
        await self.pause(self.fleet.gateways[fault.target], fault.for_s)

    async def do_stop_gateway(self, fault):
        """Tell a gateway to stop, and start it once it is gone."""
        await self.stop_and_start(self.fleet.gateways[fault.target], fault)

    async def do_reload_gateway(self, fault):
        """Let a gateway read its settings again; it does not end by that."""
        self.fleet.gateways[fault.target].signal(signal.SIGHUP)

    # --- replicas --------------------------------------------------------

    async def do_kill_replica(self, fault):
        """Kill a replica and start it again."""
        self.disturb(audit.EVERY_GATEWAY, fault, CONTROL_AFTER_S)
        program = self.fleet.replicas[fault.target]
        program.kill()
        await asyncio.sleep(fault.for_s)
        self.restart(program)

    async def do_pause_replica(self, fault):
        """Suspend a replica for some time."""
        self.disturb(audit.EVERY_GATEWAY, fault, CONTROL_AFTER_S)
        await self.pause(self.fleet.replicas[fault.target], fault.for_s)

    async def do_stop_replica(self, fault):
        """Tell a replica to stop, and start it once it is gone."""
        self.disturb(audit.EVERY_GATEWAY, fault, CONTROL_AFTER_S)
        await self.stop_and_start(self.fleet.replicas[fault.target], fault)

    async def do_kill_all_replicas(self, fault):
        """Kill all replicas at once; their disks stay."""
        self.disturb(audit.EVERY_GATEWAY, fault, CONTROL_AFTER_S)
        for program in self.fleet.replicas:
            program.kill()
        await asyncio.sleep(DOWN_S)
        for program in self.fleet.replicas:
            self.restart(program)

    async def do_wipe_replica(self, fault):
        """Kill a replica and take its disk."""
        self.disturb(audit.EVERY_GATEWAY, fault, CONTROL_AFTER_S)
        program = self.fleet.replicas[fault.target]
        program.kill()
        self.fleet.wipe(fault.target)
        await asyncio.sleep(fault.for_s)
        self.restart(program)

    async def do_replace_replica(self, fault):
        """Take a replica's VM for good; another one comes at a new address."""
        self.disturb(audit.EVERY_GATEWAY, fault, CONTROL_AFTER_S)
        if fault.way == "planned":
            old = await self.fleet.replace(fault.target)
            await asyncio.sleep(fault.for_s)
            self.book.exits.append(await old.stop())
        else:
            self.fleet.replicas[fault.target].kill()
            await asyncio.sleep(fault.for_s)
            await self.fleet.replace(fault.target)
        self.link.add_addresses(tuple(self.fleet.seeds()))

    async def do_storage(self, fault):
        """Let a replica's disk be slow or full for some time."""
        self.disturb(audit.EVERY_GATEWAY, fault, CONTROL_AFTER_S)
        slow = {"sync_s": SLOW_SYNC_S}
        full = {"full": True}
        ways = slow if fault.way == "slow" else full
        self.fleet.misbehave(fault.target, **ways)
        await asyncio.sleep(fault.for_s)
        self.fleet.misbehave(fault.target)

    async def do_wall_clock(self, fault):
        """Let the time of day jump at a replica and jump back again."""
        step_s = CLOCK_STEP_S[fault.way]
        self.fleet.misbehave(fault.target, wall_s=step_s)
        await asyncio.sleep(fault.for_s)
        self.fleet.misbehave(fault.target)

    async def do_replica_link(self, fault):
        """Let the way to a replica misbehave for some time."""
        self.disturb(audit.EVERY_GATEWAY, fault, CONTROL_AFTER_S)
        await self.bend(self.fleet.proxies[fault.target], fault)

    # --- endpoints -------------------------------------------------------

    async def do_endpoint_link(self, fault):
        """Let the way to an endpoint misbehave for some time."""
        place = self.places[fault.target]
        # What runs now and until later may lose its answer on the way.
        until = time.monotonic() + fault.for_s + callers.DEADLINE_S
        place.endpoint.disturbed_until = until
        self.unsound(place.endpoint.start_mark, callers.DEADLINE_S)
        await self.bend(place.proxy, fault)

    async def do_crash_endpoint(self, fault):
        """Crash an endpoint; another one takes its address later."""
        place = self.places[fault.target]
        self.unsound(place.endpoint.start_mark, callers.DEADLINE_S)
        await place.crash(fault.for_s)
        await place.begin()

    async def do_leave_endpoint(self, fault):
        """Let an endpoint leave; another one takes its address later."""
        place = self.places[fault.target]
        await place.leave()
        self.unsound(place.endpoint.start_mark, callers.DEADLINE_S)
        await place.crash(fault.for_s)
        await place.begin()

    async def do_misbehave(self, fault):
        """Let an endpoint misbehave in one way for some time."""
        endpoint = self.places[fault.target].endpoint
        endpoint.way = fault.way
        await asyncio.sleep(fault.for_s)
        endpoint.way = ""

    async def do_shed_endpoints(self, fault):
        """Let all endpoints reject most requests for some time."""
        for share in (SHED_SHARE, 0.0):
            for place in self.places:
                place.endpoint.shed_share = share
            await asyncio.sleep(fault.for_s if share else 0.0)

    def unsound(self, endpoint: str, seconds: float) -> None:
        """Count what an endpoint ran lately as disturbed."""
        now = time.monotonic()
        self.book.runs = [
            attrs.evolve(run, sound=False)
            if run.endpoint == endpoint and run.at > now - seconds
            else run
            for run in self.book.runs
        ]

    # --- operators -------------------------------------------------------

    async def do_version(self, fault):
        """Put the next version in force."""
        del fault
        await self.put(self.next_config(), "plain")

    async def do_storm(self, fault):
        """Put many versions in force in quick succession."""
        del fault
        puts = []
        for _ in range(STORM_VERSIONS):
            config = self.next_config()
            puts.append(asyncio.ensure_future(self.put(config, "storm")))
            await asyncio.sleep(STORM_GAP_S)
        await asyncio.gather(*puts)

    async def do_race(self, fault):
        """Let two operators send different things under one number."""
        del fault
        config = self.next_config()
        await asyncio.gather(
            self.put(config, "left"), self.put(config, "right")
        )

    async def do_revoke(self, fault):
        """Take a key away."""
        key = callers.key_names()[fault.target]
        if key not in self.keys:
            return
        self.keys.remove(key)
        acknowledged_at = await self.put(self.next_config(), "revoke")
        if acknowledged_at is not None:
            self.book.revoked[key] = acknowledged_at

    def next_config(self) -> routes.RouteConfig:
        """Return the next version with the keys that are left."""
        self.version += 1
        holder = routes.KeyHolder(workspace="acme", keys=tuple(self.keys))
        config = gatewaybed.config(self.version, holders=(holder,))
        idle = tuple(
            attrs.evolve(config.routes[0], name=f"i{n}", prefix=f"/idle/{n}/")
            for n in range(self.idle_routes)
        )
        return attrs.evolve(config, routes=config.routes + idle)

    async def put(self, config: routes.RouteConfig, note: str) -> float | None:
        """Send a version until it is acknowledged; return when that was."""
        words = {"version": config.version, "note": note}
        source = json.dumps(words).encode()
        self.book.sources[config.version].add(source)
        message = messages.PutRoutes(config=config, source=source)
        for _ in range(OPERATOR_TRIES):
            answer = await self.link.call(message, OPERATOR_TIMEOUT_S)
            if answer.is_ok() and isinstance(answer.ok, messages.RoutesCopy):
                now = time.monotonic()
                self.book.acknowledged.setdefault(config.version, now)
                return now
            await asyncio.sleep(0.2)
        return None

    # --- means -----------------------------------------------------------

    async def bend(self, proxy, fault) -> None:
        """Let a proxy misbehave for the length of a fault."""
        proxy.set_way(fault.way)
        await asyncio.sleep(fault.for_s)
        proxy.set_way("")

    async def pause(self, program: fleet_lib.Program, seconds: float) -> None:
        """Suspend a process for some time."""
        program.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        program.signal(signal.SIGCONT)

    async def stop_and_start(self, program, fault) -> None:
        """Tell a process to stop; start it a moment after it has ended."""
        starts = program.starts
        was_running = program.is_running
        ended = await program.stop()
        # Another fault may have killed or suspended it meanwhile.
        was_killed = ended.code == -signal.SIGKILL
        if was_running and starts == program.starts and not was_killed:
            self.book.exits.append(ended)
        await asyncio.sleep(fault.for_s)
        self.restart(program)

    def restart(self, program: fleet_lib.Program) -> None:
        """Start a process that has ended, unless another fault has."""
        if not program.is_running:
            program.start()


async def holds_within(condition: Callable[[], bool], most_s: float) -> bool:
    """Wait for a condition, which may block; return whether it holds."""
    end = time.monotonic() + most_s
    while not await asyncio.to_thread(condition):
        if time.monotonic() > end:
            return False
        await asyncio.sleep(REPAIR_POLL_S)
    return True
