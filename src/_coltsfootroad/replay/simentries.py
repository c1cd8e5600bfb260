"""Simulated entries of a fleet: production cores in a simulated shell."""

from collections.abc import Callable
import random

import attrs

from _coltsfootroad.control import messages
from _coltsfootroad.core import actions
from _coltsfootroad.core import addresses
from _coltsfootroad.core import calls
from _coltsfootroad.core import entry as entry_lib
from _coltsfootroad.core import flights as flights_lib
from _coltsfootroad.replay import network as network_lib
from _coltsfootroad.replay import processes
from _coltsfootroad.replay import simcallers
from _coltsfootroad.replay import simcontrol
from _coltsfootroad.replay import simendpoints

HEARTBEAT_INTERVAL_S = 0.5
SETTLE_RETRY_DELAY_S = 0.5
# Minimum time between two ticks of a core.
MIN_TICK_DELAY_S = 0.001
# Maximum time for which entries batch dispatch notes.
MAX_NOTE_DELAY_S = 0.005
# Number of entries to which an endpoint announces itself.
ANNOUNCED_ENTRIES = 2


@attrs.define(eq=False)
class SimEntries(processes.EntriesInterface):
    """Runs the cores: their timers, messages and actions.

    Attributes:
        by_name: The entry processes, including those that are down.
        make_policy: Factory of the routing policies of new cores; None for
            the default policies.
        heartbeats: Number of heartbeats sent.
    """

    network: network_lib.Network
    control: simcontrol.SimControl
    endpoints: simendpoints.SimEndpoints
    callers: simcallers.SimCallers
    by_name: dict[str, processes.SimEntry] = attrs.Factory(dict)
    make_policy: Callable | None = None
    heartbeats: int = 0

    # --- processes -------------------------------------------------------

    def add(self, name: str, zone: str = "") -> None:
        """Add an entry process."""
        core = self.new_core(name, processes.FIRST_INCARNATION)
        entry = processes.SimEntry(name, core, zone)
        self.by_name[name] = entry
        self.send_heartbeats(entry, core)
        self.schedule_tick(entry, core)

    def new_core(self, name: str, incarnation: int) -> entry_lib.EntryCore:
        """Return the core of a new process."""
        rng = random.Random(self.network.rng.random())
        core = entry_lib.EntryCore(name, incarnation, rng)
        if self.make_policy is not None:
            core.make_policy = self.make_policy
        return core

    def kill(self, name: str) -> None:
        """Kill an entry process and close the connections of its callers."""
        self.by_name[name].alive = False
        self.callers.cut_off(name)

    def start(self, name: str) -> None:
        """Start a killed entry process."""
        entry = self.by_name[name]
        if entry.alive:
            return
        entry.core = self.new_core(name, entry.core.incarnation + 1)
        entry.alive = True
        entry.frozen_until = 0.0
        entry.next_tick_at = None
        entry.unsettled_claims = 0
        self.send_heartbeats(entry, entry.core)
        self.schedule_tick(entry, entry.core)

    def freeze(self, name: str, seconds: float) -> None:
        """Freeze an entry process for some seconds."""
        entry = self.by_name[name]
        until = self.network.now + seconds
        entry.frozen_until = max(entry.frozen_until, until)

    def drain(self, name: str) -> None:
        """Shut an entry down gracefully."""
        entry = self.by_name[name]
        self.run_core(entry, entry.core.begin_drain)

    def flights(self) -> list[flights_lib.Flight]:
        """Return all requests in flight at entries that are up."""
        return [
            flight
            for entry in self.by_name.values()
            if entry.alive
            for flight in entry.core.flights.flights.values()
        ]

    # --- time ------------------------------------------------------------

    def run_core(self, entry, method, *arguments) -> None:
        """Call a method of a core and execute its actions."""
        is_stale = not entry.alive or method.__self__ is not entry.core
        if is_stale or self.network.now < entry.frozen_until:
            return
        core = entry.core
        for action in method(*arguments, self.network.now):
            self.execute(entry, action)
        if core.syncing.wants_sync:
            self.send_heartbeat(entry, core)
        self.schedule_tick(entry, core)

    def call_when_thawed(self, entry, call: Callable, *arguments) -> None:
        """Call now, or at the end of the freeze if the process is frozen."""
        if self.network.now < entry.frozen_until:
            self.network.call_at(
                entry.frozen_until,
                self.call_when_thawed,
                entry,
                call,
                *arguments,
            )
        else:
            call(*arguments)

    def schedule_tick(self, entry: processes.SimEntry, core) -> None:
        """Schedule the next tick of a core."""
        now = self.network.now
        at = max(core.next_wake(now), now + MIN_TICK_DELAY_S)
        if entry.next_tick_at is not None and entry.next_tick_at <= at:
            return
        entry.next_tick_at = at
        self.network.call_at(at, self.tick, entry, core, at)

    def tick(self, entry: processes.SimEntry, core, at: float) -> None:
        """Run a core's timers."""
        if entry.core is not core or not entry.alive:
            return
        if entry.next_tick_at != at:
            return
        entry.next_tick_at = None
        thaw_at = entry.frozen_until
        if self.network.now < thaw_at:
            entry.next_tick_at = thaw_at
            self.network.call_at(thaw_at, self.tick, entry, core, thaw_at)
            return
        self.run_core(entry, core.tick)

    # --- messages --------------------------------------------------------

    def deliver(self, source, entry, method, *arguments) -> None:
        """Send a call to an entry's core over the network."""
        core = entry.core

        def arrive() -> None:
            if entry.core is core and entry.alive:
                self.call_when_thawed(
                    entry, self.run_core, entry, method, *arguments
                )

        self.network.send(source, entry.name, arrive)

    def sample_entries(self) -> list[processes.SimEntry]:
        """Return a random sample of the entries that are up."""
        alive = [entry for entry in self.by_name.values() if entry.alive]
        return self.network.rng.sample(
            alive, min(ANNOUNCED_ENTRIES, len(alive))
        )

    def call_control(
        self, entry: processes.SimEntry, message: object, reply: Callable
    ) -> None:
        """Send a call to the leader; `reply` is not called if it is lost."""
        core = entry.core

        def deliver(answer: object) -> None:
            if entry.core is core and entry.alive:
                self.call_when_thawed(entry, reply, answer)

        def arrive() -> None:
            if self.control.is_up:
                answer = self.control.answer(message)
                self.network.send("control", entry.name, deliver, answer)

        self.network.send(entry.name, "control", arrive)

    def send_heartbeats(self, entry: processes.SimEntry, core) -> None:
        """Send heartbeats at a fixed interval until the process ends."""
        if entry.core is not core or not entry.alive:
            return
        now = self.network.now
        if now < entry.frozen_until:
            self.network.call_at(
                entry.frozen_until, self.send_heartbeats, entry, core
            )
            return
        self.send_heartbeat(entry, core)
        self.network.call_at(
            now + HEARTBEAT_INTERVAL_S, self.send_heartbeats, entry, core
        )

    def send_heartbeat(self, entry: processes.SimEntry, core) -> None:
        """Send one heartbeat."""
        self.heartbeats += 1
        requested_at = self.network.now
        request = core.sync_request(make_member(entry), requested_at)

        def reply(answer: messages.SyncReply) -> None:
            self.run_core(entry, core.on_sync, request, answer, requested_at)

        self.call_control(entry, request, reply)

    # --- actions ---------------------------------------------------------

    def execute(
        self, entry: processes.SimEntry, action: actions.Action
    ) -> None:
        """Execute an action of a core."""
        core = entry.core
        match action:
            case actions.Dispatch():
                self.endpoints.dispatch(entry, action)
            case actions.Emit() | actions.Finish() | actions.Fail():
                self.callers.record_action(action)
            case actions.DispatchNote():
                self.broadcast_note(entry, action)
            case actions.Cancel():
                self.endpoints.cancel(entry, action)
            case actions.Reprioritise():
                self.endpoints.reprioritise(entry, action)
            case actions.TakeClaim():
                self.acquire_claim(entry, core, action)
            case actions.SettleClaim():
                entry.unsettled_claims += 1
                self.settle_claim(entry, core, action)
            case actions.ReserveGroup():
                message = calls.reserve_call(action)
                self.call_control(
                    entry,
                    message,
                    lambda a: self.run_core(entry, core.on_group, a),
                )
            case actions.ReleaseGroup():
                message = calls.release_call(action)
                self.call_control(entry, message, lambda _: None)

    def broadcast_note(self, entry: processes.SimEntry, note) -> None:
        """Send a dispatch note to the other entries after a batching delay."""
        for other in self.by_name.values():
            if other is not entry and other.alive:
                wait_s = self.network.rng.uniform(0, MAX_NOTE_DELAY_S)
                self.network.call_at(
                    self.network.now + wait_s,
                    self.deliver,
                    entry.name,
                    other,
                    other.core.on_note,
                    note,
                )

    def acquire_claim(
        self, entry: processes.SimEntry, core, action: actions.TakeClaim
    ) -> None:
        """Request a claim from control."""
        request_id = action.request.request_id
        message = calls.claim_call(action, self.network.now)
        self.call_control(
            entry,
            message,
            lambda a: self.run_core(entry, core.on_claim, request_id, a),
        )

    def settle_claim(
        self, entry: processes.SimEntry, core, action: actions.SettleClaim
    ) -> None:
        """Settle a claim; retry until control acknowledges."""
        if entry.core is not core or not entry.alive:
            return
        message = calls.settle_call(action)
        acknowledged = []

        def reply(_: object) -> None:
            if not acknowledged:
                acknowledged.append(True)
                entry.unsettled_claims -= 1

        def retry() -> None:
            if not acknowledged:
                self.settle_claim(entry, core, action)

        self.call_control(entry, message, reply)
        self.network.call_at(self.network.now + SETTLE_RETRY_DELAY_S, retry)


def make_member(entry: processes.SimEntry) -> addresses.Member:
    """Return the member record of an entry."""
    return addresses.Member(
        entry=entry.name,
        incarnation=entry.core.incarnation,
        address=entry.name,
        availability_zone=entry.zone,
    )
