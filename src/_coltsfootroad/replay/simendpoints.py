"""Simulated endpoints of a fleet: engines and plain services."""

import attrs

from _coltsfootroad.core import actions
from _coltsfootroad.core import faults
from _coltsfootroad.core import registry
from _coltsfootroad.core import request as request_lib
from _coltsfootroad.core import servicekind
from _coltsfootroad.fakes import engine as engine_lib
from _coltsfootroad.replay import network as network_lib
from _coltsfootroad.replay import processes

ANNOUNCE_INTERVAL_S = 1.0
REPORT_INTERVAL_S = 1.0
PLAIN_SERVICE_S = 0.05


@attrs.define(eq=False)
class SimEndpoints:
    """Runs the endpoints and exchanges work and answers with the entries.

    Attributes:
        report_every_s: Seconds between two load reports of an endpoint.
        plain_s: Seconds that a plain service takes for a call.
        by_name: The endpoints, including those that are down.
        group_prefills: Prefilled parts of groups of engines.
        runs: Starts of work at endpoints by request id and by idempotency
            key; tests check at-most-once execution with them.
        dispatches: Time, entry and endpoint of each part that was sent.
    """

    network: network_lib.Network
    report_every_s: float = REPORT_INTERVAL_S
    plain_s: float = PLAIN_SERVICE_S
    by_name: dict[str, processes.SimEndpoint] = attrs.Factory(dict)
    group_prefills: engine_lib.GroupPrefills = attrs.Factory(
        engine_lib.GroupPrefills
    )
    runs: dict[str, int] = attrs.Factory(dict)
    dispatches: list[tuple[float, str, str]] = attrs.Factory(list)
    entries: processes.EntriesInterface = attrs.field(init=False)

    # --- processes -------------------------------------------------------

    def add_engine(
        self, name: str, service: str, speed: engine_lib.EngineSpeed
    ) -> None:
        """Add an engine, which then announces itself."""
        model = engine_lib.EngineModel(name, speed, self.group_prefills)
        kind = servicekind.ServiceKind.ENGINE
        self.add(processes.SimEndpoint(name, service, kind, model))

    def add_plain(self, name: str, service: str) -> None:
        """Add a plain endpoint."""
        model = engine_lib.EngineModel(name, engine_lib.EngineSpeed())
        kind = servicekind.ServiceKind.PLAIN
        self.add(processes.SimEndpoint(name, service, kind, model))

    def add(self, endpoint: processes.SimEndpoint) -> None:
        """Add an endpoint and start its timers."""
        self.by_name[endpoint.name] = endpoint
        self.announce_periodically(endpoint, endpoint.incarnation)
        offset = self.network.rng.uniform(0, self.report_every_s)
        self.network.call_at(
            self.network.now + offset,
            self.report_periodically,
            endpoint,
            endpoint.incarnation,
        )

    def kill(self, name: str) -> None:
        """Kill an endpoint; its connections are closed at once."""
        endpoint = self.by_name[name]
        if not endpoint.alive:
            return
        endpoint.alive = False
        for entry_name, owner, key in list(endpoint.connections):
            entry = self.entries.by_name[entry_name]
            if entry.core.owner == owner:
                self.fail_attempt(endpoint, entry, key, faults.Fault.LOST)
        endpoint.connections.clear()
        for key in list(endpoint.model.jobs):
            self.group_prefills.drop_group(key)

    def start(self, name: str) -> None:
        """Start a killed endpoint with empty memory."""
        old = self.by_name[name]
        if old.alive:
            return
        model = engine_lib.EngineModel(
            name, old.model.speed, self.group_prefills
        )
        model.incarnation = old.incarnation + 1
        self.add(
            processes.SimEndpoint(
                name,
                old.service,
                old.kind,
                model,
                incarnation=old.incarnation + 1,
            )
        )

    def leave(self, name: str) -> None:
        """Announce that an endpoint leaves."""
        endpoint = self.by_name[name]
        endpoint.state = registry.EndpointState.LEAVING
        if endpoint.alive:
            self.announce(endpoint)

    def slow(self, name: str, factor: float) -> None:
        """Set the factor by which an engine is slower."""
        self.by_name[name].model.slowdown = factor

    def kv_held(self) -> int:
        """Return the KV cache tokens held on all engines that are up."""
        return sum(e.model.kv_used for e in self.by_name.values() if e.alive)

    # --- announcements and reports ---------------------------------------

    def announce_periodically(
        self, endpoint: processes.SimEndpoint, incarnation: int
    ) -> None:
        """Announce an endpoint at a fixed interval until it ends."""
        if not endpoint.alive or endpoint.incarnation != incarnation:
            return
        self.announce(endpoint)
        self.network.call_at(
            self.network.now + ANNOUNCE_INTERVAL_S,
            self.announce_periodically,
            endpoint,
            incarnation,
        )

    def announce(self, endpoint: processes.SimEndpoint) -> None:
        """Announce an endpoint once to a sample of the entries."""
        endpoint.seq += 1
        announcement = registry.Announcement(
            endpoint=endpoint.name,
            incarnation=endpoint.incarnation,
            seq=endpoint.seq,
            service=endpoint.service,
            address=endpoint.name,
            kind=endpoint.kind,
            state=endpoint.state,
            kv_tokens=endpoint.model.speed.kv_tokens,
            max_running=endpoint.model.speed.max_running,
        )
        for entry in self.entries.sample_entries():
            self.entries.deliver(
                endpoint.name, entry, entry.core.on_announcement, announcement
            )

    def report_periodically(
        self, endpoint: processes.SimEndpoint, incarnation: int
    ) -> None:
        """Report load and cache events periodically until the endpoint ends."""
        if not endpoint.alive or endpoint.incarnation != incarnation:
            return
        self.advance_model(endpoint)
        endpoint.seq += 1
        report = endpoint.model.report(endpoint.seq, self.network.now)
        events, endpoint.model.cache_events = endpoint.model.cache_events, []
        for entry in self.entries.sample_entries():
            self.entries.deliver(
                endpoint.name, entry, entry.core.on_load, report
            )
        for event in events:
            for entry in self.entries.by_name.values():
                self.entries.deliver(
                    endpoint.name, entry, entry.core.on_cache_event, event
                )
        self.network.call_at(
            self.network.now + self.report_every_s,
            self.report_periodically,
            endpoint,
            incarnation,
        )

    # --- work ------------------------------------------------------------

    def dispatch(
        self, entry: processes.SimEntry, action: actions.Dispatch
    ) -> None:
        """Send the parts of an attempt to their endpoints."""
        for part in action.parts:
            self.dispatches.append(
                (self.network.now, entry.name, part.endpoint)
            )
            self.send_part(entry, action, part)

    def send_part(
        self,
        entry: processes.SimEntry,
        action: actions.Dispatch,
        part: actions.Part,
    ) -> None:
        """Send one part; only a refused connection is reported, not a cut."""
        endpoint = self.by_name[part.endpoint]
        core = entry.core
        key = (action.request.request_id, action.attempt)

        def arrive() -> None:
            if not endpoint.alive:
                fault = faults.Fault.NOT_SENT
                self.fail_attempt(endpoint, entry, key, fault, core)
            elif endpoint.kind is servicekind.ServiceKind.PLAIN:
                self.run_plain(entry, endpoint, action)
            else:
                self.run_part(entry, core, endpoint, action, part)

        if not self.network.is_cut(entry.name, endpoint.name):
            arrives = self.network.now + self.network.one_way_s
            self.network.call_at(arrives, arrive)

    def fail_attempt(
        self,
        endpoint: processes.SimEndpoint,
        entry: processes.SimEntry,
        key: tuple[str, int],
        fault: faults.Fault,
        core=None,
    ) -> None:
        """Report a failed attempt to the given core, else the current one."""
        core = core or entry.core
        self.entries.deliver(
            endpoint.name,
            entry,
            core.on_attempt_failed,
            endpoint.name,
            *key,
            fault,
        )

    def run_part(self, entry, core, endpoint, action, part) -> None:
        """Run one part at an engine."""
        request = action.request
        key = (request.request_id, action.attempt)
        self.count_start(request)
        single = len(action.parts) == 1
        tokens = request.prompt_tokens if single else part.prompt_tokens
        job = engine_lib.Job(
            key=key,
            owner=core.owner,
            mark=part.mark,
            priority=action.priority,
            prompt_tokens=tokens,
            output_tokens=request.output_tokens,
            kv_tokens=part.kv_tokens,
            deadline_at=action.deadline_at,
            part=part.index,
            parts=len(action.parts),
            resume_offset=action.resume_offset,
            prefix_hashes=request.prefix_hashes,
        )
        endpoint.connections.add((entry.name, core.owner, key))
        outputs = endpoint.model.submit(job, self.network.now)
        self.send_outputs(endpoint, outputs)
        self.schedule_model(endpoint)

    def count_start(self, request: request_lib.Request) -> None:
        """Count a start of work at an endpoint."""
        for name in (request.request_id, request.idempotency_key):
            if name:
                self.runs[name] = self.runs.get(name, 0) + 1

    def run_plain(self, entry, endpoint, action) -> None:
        """Run a call of a plain service."""
        request = action.request
        core = entry.core
        key = (request.request_id, action.attempt)
        self.count_start(request)
        endpoint.connections.add((entry.name, core.owner, key))
        body = f"done {request.body_hash}".encode()
        answer = request_lib.Answer(status=200, body=body)
        incarnation = endpoint.incarnation

        def done() -> None:
            if endpoint.alive and endpoint.incarnation == incarnation:
                self.entries.deliver(
                    endpoint.name,
                    entry,
                    core.on_answer,
                    endpoint.name,
                    *key,
                    answer,
                )

        self.network.call_at(self.network.now + self.plain_s, done)

    def cancel(self, entry: processes.SimEntry, action: actions.Cancel) -> None:
        """Send a cancellation, which the engine confirms."""
        endpoint = self.by_name[action.endpoint]
        core = entry.core
        key = (action.request_id, action.attempt)

        def arrive() -> None:
            if not endpoint.alive:
                return
            outputs = endpoint.model.cancel(key, self.network.now)
            self.send_outputs(endpoint, outputs)
            endpoint.connections.discard((entry.name, core.owner, key))
            self.schedule_model(endpoint)
            self.entries.deliver(
                endpoint.name,
                entry,
                core.on_cancel_confirmed,
                endpoint.name,
                *key,
            )

        self.network.send(entry.name, endpoint.name, arrive)

    def reprioritise(
        self, entry: processes.SimEntry, action: actions.Reprioritise
    ) -> None:
        """Send a change of priority."""
        endpoint = self.by_name[action.endpoint]
        key = (action.request_id, action.attempt)

        def arrive() -> None:
            if endpoint.alive:
                now = self.network.now
                endpoint.model.reprioritise(key, action.priority, now)

        self.network.send(entry.name, endpoint.name, arrive)

    # --- engines ---------------------------------------------------------

    def schedule_model(self, endpoint: processes.SimEndpoint) -> None:
        """Schedule the next event of an engine."""
        at = endpoint.model.next_event()
        if at is None or not endpoint.alive:
            return
        if endpoint.next_tick_at is not None and endpoint.next_tick_at <= at:
            return
        endpoint.next_tick_at = at
        self.network.call_at(
            at, self.run_model_tick, endpoint, endpoint.model, at
        )

    def run_model_tick(
        self, endpoint: processes.SimEndpoint, model, at: float
    ) -> None:
        """Run a scheduled event of an engine."""
        if endpoint.model is model and endpoint.next_tick_at == at:
            endpoint.next_tick_at = None
            self.advance_model(endpoint)

    def advance_model(self, endpoint: processes.SimEndpoint) -> None:
        """Advance an engine to the current time and send its new chunks."""
        if not endpoint.alive:
            return
        self.send_outputs(endpoint, endpoint.model.advance(self.network.now))
        # A prefill that ended here may have started decode at another engine.
        for other in self.by_name.values():
            if other is not endpoint and other.model.timers:
                self.schedule_model(other)
        self.schedule_model(endpoint)

    def send_outputs(
        self,
        endpoint: processes.SimEndpoint,
        outputs: list[engine_lib.Output],
    ) -> None:
        """Send chunks to the entries that requested them."""
        for output in outputs:
            owner = output.job.owner
            entry = self.entries.by_name[owner.rpartition("/")[0]]
            if entry.core.owner != owner:
                continue
            self.entries.deliver(
                endpoint.name,
                entry,
                entry.core.on_chunk,
                endpoint.name,
                *output.job.key,
                output.chunk,
            )
            if output.chunk.final:
                endpoint.connections.discard(
                    (entry.name, owner, output.job.key)
                )
