"""Replays a trace in virtual time with the production routing code."""

import json
import random

import attrs
from expression import Error
from expression import Ok
from expression import Result

from _coltsfootroad.core import endpoints
from _coltsfootroad.core import policies
from _coltsfootroad.core import registry
from _coltsfootroad.core import request as request_lib
from _coltsfootroad.core import servicekind
from _coltsfootroad.fakes import engine as engine_lib
from _coltsfootroad.replay import measure
from _coltsfootroad.replay import simcontrol
from _coltsfootroad.replay import trace as trace_lib
from _coltsfootroad.replay import world as world_lib

# Longer than the time for which a new leader only renews old shares.
WARM_UP_S = 8.0
# Time after the last deadline in which all resources are released.
COOL_DOWN_S = 30.0
SEED = 7
BLOCK_TOKENS = 1_024
POLICIES = (
    *(policy.name for policy in policies.BASELINE_POLICIES),
    *(policy.name for policy in policies.LENGTH_AWARE_POLICIES),
    policies.Oracle.name,
)
POLICIES_BY_NAME = {
    p.name: p
    for p in (*policies.BASELINE_POLICIES, *policies.LENGTH_AWARE_POLICIES)
}


def policy_factory(name: str, world: world_lib.World):
    """Return the factory of a service's routing policy."""

    def refresh(view: endpoints.EndpointView) -> None:
        endpoint = world.endpoints.by_name[view.name]
        model = endpoint.model
        view.backlog = [
            float(t) for t in model.pending_prefill_tokens(world.network.now)
        ]
        view.backlog_at = world.network.now
        view.kv_used = model.kv_used
        view.kv_unreported = 0
        view.speed.prefill_rate = model.speed.prefill_rate / model.slowdown
        view.expired = not endpoint.alive
        serving = registry.EndpointState.SERVING
        if endpoint.state is not serving:
            view.expired = True

    def make(settings) -> policies.Policy:
        if settings.kind is servicekind.ServiceKind.PLAIN:
            return policies.PlainService()
        if name == policies.Oracle.name:
            return policies.Oracle(refresh)
        return POLICIES_BY_NAME[name]()

    return make


@attrs.define(eq=False)
class Player:
    """A replay of one trace under one policy."""

    trace: trace_lib.Trace
    policy: str
    world: world_lib.World = attrs.field(init=False)
    patches: int = 0

    def __attrs_post_init__(self):
        fleet = self.trace.fleet
        self.world = world_lib.build(
            random.Random(SEED),
            one_way_s=fleet.one_way_s,
            client_one_way_s=fleet.client_one_way_s,
            report_every_s=fleet.report_every_s,
        )
        self.world.entries.make_policy = policy_factory(self.policy, self.world)

    def run(self) -> world_lib.World:
        """Replay the trace and return the world at its end."""
        self.build()
        start = WARM_UP_S
        for line in self.trace.requests:
            self.world.network.call_at(start + line.at, self.submit, line)
        for line in self.trace.faults:
            self.world.network.call_at(start + line.at, self.inject_fault, line)
        self.world.network.run_until(start + self.end_time() + COOL_DOWN_S)
        return self.world

    def end_time(self) -> float:
        """Return the time of the last deadline or fault end of the trace."""
        ends = [line.at + line.deadline_s for line in self.trace.requests]
        ends += [line.at + line.for_s for line in self.trace.faults]
        return max(ends, default=0.0)

    def build(self) -> None:
        """Build the fleet of the trace."""
        fleet = self.trace.fleet
        self.patch(fleet.config or default_config(self.trace))
        for number in range(fleet.entries):
            self.world.entries.add(f"entry-{number}")
        for line in fleet.engines:
            for _ in range(line.count):
                self.add_endpoint(line)
        self.world.network.run_until(WARM_UP_S)

    def add_endpoint(self, line: trace_lib.EngineLine) -> None:
        """Add one endpoint."""
        known = [
            e
            for e in self.world.endpoints.by_name.values()
            if e.service == line.service
        ]
        name = f"{line.service}-{len(known)}"
        if line.kind is servicekind.ServiceKind.PLAIN:
            self.world.endpoints.add_plain(name, line.service)
            return
        speed = engine_lib.EngineSpeed(
            prefill_rate=line.prefill_rate,
            token_s=line.token_s,
            chunk_tokens=line.chunk_tokens,
            kv_tokens=line.kv_tokens,
        )
        self.world.endpoints.add_engine(name, line.service, speed)

    def patch(self, document: dict) -> None:
        """Patch the configuration."""
        self.patches += 1
        self.world.control.patch(
            f"trace-{self.patches}",
            self.world.control.state.configs.version,
            json.dumps(document).encode(),
        )

    def submit(self, line: trace_lib.RequestLine) -> None:
        """Submit one request of the trace."""
        services = self.world.control.state.configs.config.services
        kind = services[line.service].kind
        shared_blocks = tuple(
            f"{line.shared_prefix}/{n}" for n in range(line.prefix_blocks)
        )
        block_count = max(1, line.prompt_tokens // BLOCK_TOKENS)
        own_blocks = tuple(
            f"{line.id}/{n}" for n in range(block_count - len(shared_blocks))
        )
        request = request_lib.Request(
            request_id=line.id,
            workspace=line.workspace,
            service=line.service,
            prompt_tokens=line.prompt_tokens,
            output_tokens=line.output_tokens,
            arrived_at=self.world.network.now,
            deadline_at=self.world.network.now + line.deadline_s,
            kind=kind,
            non_idempotent=line.non_idempotent,
            idempotency_key=line.key,
            key_time=simcontrol.START_UNIX_S,
            body_hash=line.key,
            prefix_hashes=shared_blocks + own_blocks if shared_blocks else (),
        )
        self.world.callers.submit(request, line.entry)

    # --- faults ----------------------------------------------------------

    def inject_fault(self, line: trace_lib.FaultLine) -> None:
        """Inject one fault and schedule its end."""
        begin, end = FAULTS[line.fault]
        begin(self, line)
        if line.for_s and end is not None:
            self.world.network.call_at(
                self.world.network.now + line.for_s, end, self, line
            )


def default_config(trace: trace_lib.Trace) -> dict:
    """Return a configuration without limits for a trace's services."""
    services = {
        line.service: {"kind": line.kind.value} for line in trace.fleet.engines
    }
    workspaces = {line.workspace for line in trace.requests} | {"shop"}
    return {
        "services": services,
        "workspaces": {
            name: {"services": sorted(services)} for name in sorted(workspaces)
        },
    }


FAULTS = {
    "kill_endpoint": (
        lambda p, x: p.world.endpoints.kill(x.target),
        lambda p, x: p.world.endpoints.start(x.target),
    ),
    "slow_endpoint": (
        lambda p, x: p.world.endpoints.slow(x.target, x.value),
        lambda p, x: p.world.endpoints.slow(x.target, 1.0),
    ),
    "leave_endpoint": (
        lambda p, x: p.world.endpoints.leave(x.target),
        None,
    ),
    "kill_entry": (
        lambda p, x: p.world.entries.kill(x.target),
        lambda p, x: p.world.entries.start(x.target),
    ),
    "freeze_entry": (
        lambda p, x: p.world.entries.freeze(x.target, x.for_s),
        None,
    ),
    "drain_entry": (lambda p, x: p.world.entries.drain(x.target), None),
    "isolate_entry": (
        lambda p, x: p.world.network.cut("control", x.target),
        lambda p, _: p.world.network.heal(),
    ),
    "stop_control": (
        lambda p, _: p.world.control.stop(),
        lambda p, _: p.world.control.start(),
    ),
    "patch": (lambda p, x: p.patch(x.patch), None),
}


def check_trace(trace: trace_lib.Trace) -> Result[None, str]:
    """Return an error for the first line that cannot be replayed."""
    names = {line.service for line in trace.fleet.engines}
    for line in trace.requests:
        if line.service not in names:
            return Error(f"request {line.id!r}: no service {line.service!r}")
    for line in trace.faults:
        if line.fault not in FAULTS:
            known = ", ".join(FAULTS)
            return Error(f"fault {line.fault!r} is not one of {known}")
    return Ok(None)


def replay(trace: trace_lib.Trace, policy: str) -> measure.Report:
    """Return the measures of a policy on a trace."""
    world = Player(trace, policy).run()
    without_long = None
    long = any(r.prompt_tokens > measure.LONG_TOKENS for r in trace.requests)
    if long:
        short = trace.without_longer_than(measure.LONG_TOKENS)
        without_long = Player(short, policy).run()
    return measure.make_report(policy, world, without_long)


def unmet_outcomes(
    trace: trace_lib.Trace, reports: list[measure.Report]
) -> list[str]:
    """Return a message for each expected outcome that is not met."""
    found = []
    for line in trace.outcomes:
        for report in reports:
            if line.policies and report.policy not in line.policies:
                continue
            violation = check_outcome(line, report)
            if violation:
                found.append(f"{report.policy}: {violation}")
    return found


def check_outcome(line: trace_lib.OutcomeLine, report: measure.Report) -> str:
    """Return why an expected outcome is not met, empty if it is met."""
    if line.request:
        return check_request(line, report)
    value = read_measure(report, line.measure)
    if value is None:
        return f"{line.measure} was not measured"
    if line.at_least is not None and value < line.at_least:
        return f"{line.measure} is {value}, expected at least {line.at_least}"
    if line.at_most is not None and value > line.at_most:
        return f"{line.measure} is {value}, expected at most {line.at_most}"
    return ""


def check_request(line: trace_lib.OutcomeLine, report: measure.Report) -> str:
    """Return why the end of a request is not as expected, empty if it is."""
    end = report.ends.get(line.request, "never")
    if line.end and end not in line.end.split("|"):
        return f"{line.request} ended {end}, expected {line.end}"
    ran = report.rans.get(line.request, "")
    if line.ran and ran != line.ran:
        return f"{line.request} reports ran {ran!r}, expected {line.ran!r}"
    return ""


def read_measure(report: measure.Report, path: str) -> float | None:
    """Return a measure by its path, for example `ttft_p95_s.1k`."""
    value: object = attrs.asdict(report)
    for word in path.split("."):
        value = value.get(word) if isinstance(value, dict) else None
    return value if isinstance(value, (int, float)) else None
