"""Injects the faults of a plan into a running fleet."""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import json
import random
import signal
import time

import attrs

from _coltsfootroad.control import messages
from _coltsfootroad.core import routes
from _coltsfootroad.fakes import ports
from _coltsfootroad.shell import evacuationcalls
from features.soak import audit
from features.soak import callers
from features.soak import endpoints as endpoints_lib
from features.soak import fleet as fleet_lib
from features.soak import plan
from features.soak import unanswered
from features.support import gatewaybed

HOST = "127.0.0.1"
SLOW_DISK_SYNC_S = 0.4
CLOCK_STEP_S = {"forward": 3_600.0, "back": -3_600.0}
OPERATOR_TIMEOUT_S = 2.0
OPERATOR_ATTEMPTS = 30
BURST_VERSIONS = 12
BURST_INTERVAL_S = 0.06
SHED_FRACTION = 0.85
# The platform resends a call on a zone for this long.
EVACUATION_TIMEOUT_S = 5.0
EVACUATION_RETRY_S = 0.15
# After a fault of replicas or of their links, gateways may lack contact with
# the control plane for an election and the timeouts of a link.
CONTROL_RECOVERY_S = 4.0
GATEWAY_RECOVERY_S = 2.0
ALL_DOWN_S = 0.3
# Replicas that were replaced or wiped vote within this time of their start;
# the next loss is delayed until they do.
REPAIR_TIMEOUT_S = 10.0
REPAIR_POLL_INTERVAL_S = 0.3
# The start-up time of processes depends on the machine.
REPLICAS_START_TIMEOUT_S = 30.0


@attrs.define(eq=False)
class FaultInjector:
    """Injects faults; `do_KIND` injects a fault of that kind."""

    fleet: fleet_lib.Fleet
    slots: list[endpoints_lib.EndpointSlot]
    observed: audit.Observations
    link: object
    rng: random.Random
    idle_routes: int = 0
    version: int = 0
    # How much later than planned faults are injected.
    delay_s: float = 0.0
    keys: list[str] = attrs.Factory(callers.initial_keys)
    # Gateways that are cut off from all endpoints now.
    cut_off: set[int] = attrs.Factory(set)
    # Cuts of one gateway follow each other.
    cut_locks: dict[int, asyncio.Lock] = attrs.Factory(
        lambda: collections.defaultdict(asyncio.Lock)
    )
    zone_locks: dict[str, asyncio.Lock] = attrs.Factory(
        lambda: collections.defaultdict(asyncio.Lock)
    )

    async def run_faults(
        self, faults: list[plan.Fault], started_at: float
    ) -> None:
        """Inject each fault at its time; wait until all have ended."""
        running_faults = []
        losses = []
        for fault in faults:
            due_at = started_at + self.delay_s + fault.at
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))
            if plan.follows_earlier_loss(fault, losses):
                await self.wait_for_repair()
            losses += [fault] if fault.kind in plan.LOSS_KINDS else []
            print(
                f"{fault.at:6.2f} {fault.kind.value} {fault.target}"
                f" {fault.mode} for {fault.duration_s:.1f} s",
                flush=True,
            )
            name = "do_" + fault.kind.name.lower()
            action = getattr(self, name)(fault)
            running_faults.append(asyncio.ensure_future(action))
        await asyncio.gather(*running_faults)

    async def wait_for_repair(self) -> None:
        """Delay a loss until the replicas lost before it are replaced.

        The fleet need not survive more simultaneous losses than it tolerates,
        so a violation would prove nothing.
        """
        started_at = time.monotonic()
        fleet = self.fleet
        if not await becomes_true_within(
            fleet.has_started, REPLICAS_START_TIMEOUT_S
        ):
            self.observed.repair_failures.append(
                f"replicas did not start within {REPLICAS_START_TIMEOUT_S:g} s"
            )
        elif not await becomes_true_within(
            fleet.has_full_quorum, REPAIR_TIMEOUT_S
        ):
            self.observed.repair_failures.append(
                f"lost replicas were not replaced within {REPAIR_TIMEOUT_S:g} s"
            )
        self.delay_s += time.monotonic() - started_at

    def record_disturbance(
        self, gateway: int, fault: plan.Fault, after_s: float
    ) -> None:
        """Record that a fault that begins now disturbs a gateway."""
        now = time.monotonic()
        self.observed.disturbances.append(
            audit.Disturbance(
                gateway=gateway, begin=now, end=now + fault.duration_s + after_s
            )
        )

    def record_broken_connections(self, gateway: int) -> None:
        """Record that a gateway's connections break now.

        Requests that cut-off gateways forward through it may break as well.
        """
        now = time.monotonic()
        self.observed.disturbances += [
            audit.Disturbance(gateway=index, begin=now, end=now)
            for index in {gateway, *self.cut_off}
        ]

    # --- gateways --------------------------------------------------------

    async def do_kill_gateway(self, fault):
        """Kill a gateway and restart it."""
        program = self.fleet.gateways[fault.target]
        self.record_disturbance(fault.target, fault, GATEWAY_RECOVERY_S)
        self.record_broken_connections(fault.target)
        program.kill()
        await asyncio.sleep(fault.duration_s)
        self.restart(program)

    async def do_pause_gateway(self, fault):
        """Suspend a gateway for the duration of the fault."""
        self.record_disturbance(fault.target, fault, GATEWAY_RECOVERY_S)
        await self.pause(self.fleet.gateways[fault.target], fault.duration_s)

    async def do_stop_gateway(self, fault):
        """Stop a gateway with SIGTERM and restart it after its exit."""
        begin = time.monotonic()
        await self.stop_and_start(self.fleet.gateways[fault.target], fault)
        self.observed.absences.append(
            audit.Disturbance(
                gateway=fault.target, begin=begin, end=time.monotonic()
            )
        )

    async def do_reload_gateway(self, fault):
        """Send SIGHUP to a gateway, which must not end it."""
        self.fleet.gateways[fault.target].signal(signal.SIGHUP)

    async def do_cut_gateway(self, fault):
        """Cut a gateway off from all endpoints for the duration."""
        index = fault.target
        async with self.cut_locks[index]:
            with contextlib.ExitStack() as stack:
                instead = f"{HOST}:{ports.free_port(HOST)}"
                if fault.mode == "silent":
                    instead = stack.enter_context(unanswered.listener())
                self.cut_off.add(index)
                if fault.mode == "reset":
                    self.record_broken_connections(index)
                self.fleet.cut(index, instead, fault.mode == "reset")
                begin = time.monotonic()
                await asyncio.sleep(fault.duration_s)
                self.fleet.heal(index)
                self.cut_off.discard(index)
        self.observed.cuts.append(
            audit.Disturbance(gateway=index, begin=begin, end=time.monotonic())
        )

    # --- replicas --------------------------------------------------------

    async def do_kill_replica(self, fault):
        """Kill a replica and restart it."""
        self.record_disturbance(audit.ALL_GATEWAYS, fault, CONTROL_RECOVERY_S)
        program = self.fleet.replicas[fault.target]
        program.kill()
        await asyncio.sleep(fault.duration_s)
        self.restart(program)

    async def do_pause_replica(self, fault):
        """Suspend a replica for the duration of the fault."""
        self.record_disturbance(audit.ALL_GATEWAYS, fault, CONTROL_RECOVERY_S)
        await self.pause(self.fleet.replicas[fault.target], fault.duration_s)

    async def do_stop_replica(self, fault):
        """Stop a replica with SIGTERM and restart it after its exit."""
        self.record_disturbance(audit.ALL_GATEWAYS, fault, CONTROL_RECOVERY_S)
        await self.stop_and_start(self.fleet.replicas[fault.target], fault)

    async def do_kill_all_replicas(self, fault):
        """Kill and restart all replicas at once; their disks stay."""
        self.record_disturbance(audit.ALL_GATEWAYS, fault, CONTROL_RECOVERY_S)
        for program in self.fleet.replicas:
            program.kill()
        await asyncio.sleep(ALL_DOWN_S)
        for program in self.fleet.replicas:
            self.restart(program)

    async def do_wipe_replica(self, fault):
        """Kill a replica, delete its data folder and restart it."""
        self.record_disturbance(audit.ALL_GATEWAYS, fault, CONTROL_RECOVERY_S)
        program = self.fleet.replicas[fault.target]
        program.kill()
        self.fleet.wipe(fault.target)
        await asyncio.sleep(fault.duration_s)
        self.restart(program)

    async def do_replace_replica(self, fault):
        """Replace a replica by one on another vm, with a new address."""
        self.record_disturbance(audit.ALL_GATEWAYS, fault, CONTROL_RECOVERY_S)
        if fault.mode == "planned":
            old = await self.fleet.replace(fault.target)
            await asyncio.sleep(fault.duration_s)
            self.observed.exits.append(await old.stop())
        else:
            self.fleet.replicas[fault.target].kill()
            await asyncio.sleep(fault.duration_s)
            await self.fleet.replace(fault.target)
        self.link.add_addresses(tuple(self.fleet.seeds()))

    async def do_storage(self, fault):
        """Make a replica's disk slow or full for the duration of the fault."""
        self.record_disturbance(audit.ALL_GATEWAYS, fault, CONTROL_RECOVERY_S)
        slow = {"sync_s": SLOW_DISK_SYNC_S}
        full = {"full": True}
        faults = slow if fault.mode == "slow" else full
        self.fleet.set_faults(fault.target, **faults)
        await asyncio.sleep(fault.duration_s)
        self.fleet.set_faults(fault.target)

    async def do_wall_clock(self, fault):
        """Step a replica's wall clock, and step it back afterwards."""
        step_s = CLOCK_STEP_S[fault.mode]
        self.fleet.set_faults(fault.target, wall_s=step_s)
        await asyncio.sleep(fault.duration_s)
        self.fleet.set_faults(fault.target)

    async def do_replica_link(self, fault):
        """Disturb the link to a replica for the duration of the fault."""
        self.record_disturbance(audit.ALL_GATEWAYS, fault, CONTROL_RECOVERY_S)
        await self.fault_proxy(self.fleet.proxies[fault.target], fault)

    # --- endpoints -------------------------------------------------------

    async def do_endpoint_link(self, fault):
        """Disturb the link to an endpoint for the duration of the fault."""
        slot = self.slots[fault.target]
        # Responses of requests that run now or until then may be lost.
        until = time.monotonic() + fault.duration_s + callers.DEADLINE_S
        slot.endpoint.disturbed_until = until
        self.mark_runs_disturbed(
            slot.endpoint.incarnation_id, callers.DEADLINE_S
        )
        await self.fault_proxy(slot.proxy, fault)

    async def do_crash_endpoint(self, fault):
        """Crash an endpoint and start its next incarnation later."""
        slot = self.slots[fault.target]
        self.mark_runs_disturbed(
            slot.endpoint.incarnation_id, callers.DEADLINE_S
        )
        await slot.crash(fault.duration_s)
        await slot.start()

    async def do_leave_endpoint(self, fault):
        """Let an endpoint leave and start its next incarnation later."""
        slot = self.slots[fault.target]
        await slot.leave()
        self.mark_runs_disturbed(
            slot.endpoint.incarnation_id, callers.DEADLINE_S
        )
        await slot.crash(fault.duration_s)
        await slot.start()

    async def do_misbehave(self, fault):
        """Make an endpoint misbehave for the duration of the fault."""
        endpoint = self.slots[fault.target].endpoint
        endpoint.mode = fault.mode
        await asyncio.sleep(fault.duration_s)
        endpoint.mode = ""

    async def do_shed_endpoints(self, fault):
        """Make all endpoints reject most requests during the fault."""
        for share in (SHED_FRACTION, 0.0):
            for slot in self.slots:
                slot.endpoint.shed_fraction = share
            await asyncio.sleep(fault.duration_s if share else 0.0)

    def mark_runs_disturbed(self, endpoint: str, seconds: float) -> None:
        """Mark the runs of an endpoint in the last seconds as disturbed."""
        now = time.monotonic()
        self.observed.runs = [
            attrs.evolve(run, undisturbed=False)
            if run.endpoint == endpoint and run.at > now - seconds
            else run
            for run in self.observed.runs
        ]

    # --- operators -------------------------------------------------------

    async def do_version(self, fault):
        """Apply the next version."""
        del fault
        await self.put_config(self.next_config(), "plain")

    async def do_version_burst(self, fault):
        """Apply many versions in quick succession."""
        del fault
        puts = []
        for _ in range(BURST_VERSIONS):
            config = self.next_config()
            puts.append(asyncio.ensure_future(self.put_config(config, "storm")))
            await asyncio.sleep(BURST_INTERVAL_S)
        await asyncio.gather(*puts)

    async def do_version_race(self, fault):
        """Put two different configurations under one version number at once."""
        del fault
        config = self.next_config()
        await asyncio.gather(
            self.put_config(config, "left"), self.put_config(config, "right")
        )

    async def do_revoke(self, fault):
        """Revoke an API key."""
        key = callers.initial_keys()[fault.target]
        if key not in self.keys:
            return
        self.keys.remove(key)
        acknowledged_at = await self.put_config(self.next_config(), "revoke")
        if acknowledged_at is not None:
            self.observed.revoked_at[key] = acknowledged_at

    async def do_evacuate(self, fault):
        """Evacuate a zone, and withdraw the order after the duration.

        A late withdrawal must not end the next evacuation of the zone.
        """
        zone = plan.zone_of(fault.target)
        async with self.zone_locks[zone]:
            await self.evacuate(zone, fault.duration_s)

    async def evacuate(self, zone: str, seconds: float) -> None:
        """Order an evacuation, and withdraw it after some seconds."""
        if not await self.change_evacuation(zone, True):
            return
        acknowledged_at = time.monotonic()
        await asyncio.sleep(seconds)
        self.observed.evacuations.append(
            audit.Evacuation(
                zone=zone, begin=acknowledged_at, end=time.monotonic()
            )
        )
        await self.change_evacuation(zone, False)

    async def change_evacuation(self, zone: str, evacuated: bool) -> bool:
        """Resend a call until it is acknowledged; return whether it was."""

        async def call_leader(message):
            return await self.link.call(message, evacuationcalls.TIMEOUT_S)

        end = time.monotonic() + EVACUATION_TIMEOUT_S
        while time.monotonic() < end:
            result = await evacuationcalls.change(
                call_leader, (), zone, evacuated
            )
            if result.is_ok():
                return True
            await asyncio.sleep(EVACUATION_RETRY_S)
        self.observed.repair_failures.append(
            f"a call on zone {zone} got no acknowledgement within"
            f" {EVACUATION_TIMEOUT_S:g} s: {result.error.message}"
        )
        return False

    def next_config(self) -> routes.RouteConfig:
        """Return the next version with the keys that are not revoked."""
        self.version += 1
        holder = routes.KeyHolder(workspace="acme", keys=tuple(self.keys))
        config = gatewaybed.config(self.version, holders=(holder,))
        idle = tuple(
            attrs.evolve(config.routes[0], name=f"i{n}", prefix=f"/idle/{n}/")
            for n in range(self.idle_routes)
        )
        return attrs.evolve(config, routes=config.routes + idle)

    async def put_config(
        self, config: routes.RouteConfig, note: str
    ) -> float | None:
        """Send a version until it is acknowledged; return the time, or None."""
        content = {"version": config.version, "note": note}
        source = json.dumps(content).encode()
        self.observed.sources_by_version[config.version].add(source)
        message = messages.PutRoutes(config=config, source=source)
        for _ in range(OPERATOR_ATTEMPTS):
            answer = await self.link.call(message, OPERATOR_TIMEOUT_S)
            if answer.is_ok() and isinstance(answer.ok, messages.RoutesCopy):
                now = time.monotonic()
                self.observed.acknowledged_at.setdefault(config.version, now)
                return now
            await asyncio.sleep(0.2)
        return None

    # --- helpers -----------------------------------------------------------

    async def fault_proxy(self, proxy, fault) -> None:
        """Set a proxy's fault mode for the duration of a fault."""
        proxy.set_mode(fault.mode)
        await asyncio.sleep(fault.duration_s)
        proxy.set_mode("")

    async def pause(self, program: fleet_lib.Program, seconds: float) -> None:
        """Suspend a process for some seconds."""
        program.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        program.signal(signal.SIGCONT)

    async def stop_and_start(self, program, fault) -> None:
        """Stop a process with SIGTERM; restart it after its exit."""
        starts = program.starts
        was_running = program.is_running
        process_exit = await program.stop()
        # Another fault may have killed or suspended it meanwhile.
        was_killed = process_exit.code == -signal.SIGKILL
        if was_running and starts == program.starts and not was_killed:
            self.observed.exits.append(process_exit)
        await asyncio.sleep(fault.duration_s)
        self.restart(program)

    def restart(self, program: fleet_lib.Program) -> None:
        """Start a process unless another fault has restarted it."""
        if not program.is_running:
            program.start()


async def becomes_true_within(
    condition: Callable[[], bool], timeout_s: float
) -> bool:
    """Wait for a condition, which may block; return whether it came true."""
    end = time.monotonic() + timeout_s
    while not await asyncio.to_thread(condition):
        if time.monotonic() > end:
            return False
        await asyncio.sleep(REPAIR_POLL_INTERVAL_S)
    return True
