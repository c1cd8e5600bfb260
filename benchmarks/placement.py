"""Simulates the placement of prompts on engines with continuous batching.

`python -m benchmarks.placement` runs loads whose mix alternates between long and
short prompts. It prints, in total and by prompt class, the received share of
the value that answers in time would have had.
"""

import heapq
import itertools
import random

from absl import app
from absl import flags
import attrs
import numpy

from _coltsfootroad.core import endpointset
from _coltsfootroad.core import failoverdelay
from _coltsfootroad.core import fairadmission
from _coltsfootroad.core import registry
from _coltsfootroad.core import routes
from _coltsfootroad.core.fairness import refusalledger
from _coltsfootroad.core.fairness import usage
from _coltsfootroad.core.placement import candidates
from _coltsfootroad.core.placement import engineplacement
from _coltsfootroad.core.placement import shedding
from _coltsfootroad.core.placement import urgency
from _coltsfootroad.core.placement import work as work_lib
from _coltsfootroad.gateway import engines as engines_lib
from _coltsfootroad.replay import batchengine
from benchmarks import mixes
from benchmarks import views as views_lib

PLAYS = flags.DEFINE_integer("plays", 4, "Runs of each load.")
LOADS = flags.DEFINE_list("loads", [], "Loads to run; all if empty.")
CUT_S = flags.DEFINE_float(
    "cut_s", 60.0, "Arrivals after this time are ignored."
)
GATEWAYS = flags.DEFINE_integer("in_use", 1, "Number of gateways in rotation.")
WORKSPACES = flags.DEFINE_integer(
    "workspaces", 0, "Workspaces that share scarce capacity; 0: no sharing."
)
FULL = flags.DEFINE_bool(
    "full", False, "Compare all engines instead of a sample."
)
# Limits that no load reaches.
UNLIMITED = candidates.CandidateLimits(
    sampled=10**6,
    long=candidates.CandidateCounts(idle=10**6, decoding=0, prefilling=0),
    short=candidates.CandidateCounts(idle=10**6, decoding=0, prefilling=0),
)
# Maximum value of a prompt, relative to the mean of its class; the value grows
# with the size.
MAX_SIZE_VALUE = 4.0
# Simulated time after the last arrival, longer than the longest deadline.
DRAIN_S = 20.0
# Callers retry once after a refusal.
MAX_TRIES = 2
SERVICE = "engines"
ZONES = 3
# Share of all requests of the largest workspace; each further one has this much
# less than the one before.
WORKSPACE_DECAY = 0.8


@attrs.define(eq=False)
class Arrival:
    """A request with its arrival time and its state."""

    at: float
    prompt_class: mixes.PromptClass
    job: batchengine.Job
    weight: float
    gateway: int = 0
    work_items: dict[int, work_lib.WorkItem] = attrs.Factory(dict)
    parts: int = 1
    tries: int = 0
    predicted_s: float = 0.0
    workspace: int = 0
    retry_at: float = 0.0

    def route(self) -> routes.Route:
        """Return the route of the request's class."""
        return routes.Route(
            name=self.prompt_class.name,
            host="",
            prefix="/",
            kind=routes.RequestKind.STREAM,
            timeout_s=self.prompt_class.deadline_s,
            splits=(),
            target_s=self.prompt_class.target_s,
            gap_target_s=self.prompt_class.gap_s,
        )

    def value_received(self) -> float:
        """Return the value that the caller received."""
        times = self.job.event_times
        if (
            not self.job.done
            or times[-1] > self.at + self.prompt_class.deadline_s
        ):
            return 0.0
        gaps = numpy.diff([self.at, *times])
        if gaps.max() > failoverdelay.caller_timeout_s(self.route()):
            return 0.0
        late = times[0] - self.at > self.prompt_class.target_s
        late = late or (
            len(gaps) > 1 and gaps[1:].max() > self.prompt_class.gap_s
        )
        return self.weight * (
            self.prompt_class.late_value if late else self.prompt_class.value
        )


def sample_arrivals(load: mixes.Load, seed: int) -> list[Arrival]:
    """Return the arrivals of one run in the order of time."""
    rng = numpy.random.default_rng(seed)
    found = []
    start = 0.0
    for seconds, factors in load.phases:
        for prompt_class, factor in zip(
            load.prompt_classes, factors, strict=True
        ):
            count = rng.poisson(prompt_class.per_s * factor * seconds)
            for at in start + seconds * rng.random(count):
                found.append(sample_arrival(rng, load, prompt_class, at))
        start += seconds
    return sorted(found, key=lambda arrival: arrival.at)


def sample_arrival(rng, load, prompt_class, at) -> Arrival:
    """Return one arrival of a prompt class."""

    def size(mean, sigma, most):
        sampled = mean * numpy.exp(sigma * rng.normal() - sigma**2 / 2)
        return int(max(1, min(most, sampled)))

    prompt = size(
        prompt_class.prompt, prompt_class.prompt_spread, prompt_class.prompt_max
    )
    events = size(
        prompt_class.events,
        prompt_class.events_spread,
        2.5 * prompt_class.events,
    )
    output = events * load.spec.stride
    mean = prompt_class.prompt + 10 * prompt_class.events * load.spec.stride
    weight = min(MAX_SIZE_VALUE, 0.3 + 0.7 * (prompt + 10 * output) / mean)
    return Arrival(at, prompt_class, batchengine.Job(prompt, output), weight)


def make_announcement(name: str, zone: str) -> registry.Announcement:
    """Return the announcement of an engine."""
    return registry.Announcement(
        endpoint=name,
        incarnation=1,
        seq=1,
        service=SERVICE,
        availability_zone=zone,
    )


@attrs.define(eq=False)
class Simulation:
    """A simulation of one load with the placement of some gateways."""

    load: mixes.Load
    rng: random.Random
    gateways: int = 1
    workspaces: int = 0
    # Of its own, so that the same requests arrive with and without workspaces.
    workspace_rng: random.Random = attrs.Factory(lambda: random.Random(1))
    fair: list[fairadmission.FairAdmission] = attrs.Factory(list)
    views: views_lib.GatewayViews = attrs.field(init=False)
    keys: itertools.count = attrs.Factory(itertools.count)
    endpoints: endpointset.EndpointSet = attrs.Factory(endpointset.EndpointSet)
    limits: candidates.CandidateLimits = candidates.DEFAULT_LIMITS
    choosers: list[engines_lib.Chooser] = attrs.field(init=False)
    service: routes.ServiceSpec = attrs.field(init=False)
    engines: list[batchengine.BatchEngine] = attrs.Factory(list)
    running: dict[int, Arrival] = attrs.Factory(dict)
    next_passes: list[tuple[float, int]] = attrs.Factory(list)
    busy_engines: set[int] = attrs.Factory(set)
    # Events that passes emit at their end, in the order of time.
    due_events: list[tuple[float, int, batchengine.Job]] = attrs.Factory(list)

    def __attrs_post_init__(self):
        for index in range(self.load.engines):
            zone = f"zone-{index % ZONES}"
            self.endpoints.learn(make_announcement(str(index), zone))
        self.service = routes.ServiceSpec(name=SERVICE, engine=self.load.spec)
        self.views = views_lib.GatewayViews(self.gateways)
        if self.workspaces:
            self.fair = [
                fairadmission.FairAdmission(self.rng)
                for _ in range(self.gateways)
            ]
        self.choosers = [
            engines_lib.Chooser(
                self.endpoints,
                load,
                f"zone-{index % ZONES}",
                self.rng,
                limits=self.limits,
            )
            for index, load in enumerate(self.views.loads)
        ]

    def run(self, arrivals: list[Arrival]) -> None:
        """Simulate all arrivals until they end."""
        self.engines = [
            self.make_engine(index) for index in range(self.load.engines)
        ]
        for arrival in arrivals:
            arrival.gateway = self.rng.randrange(self.gateways)
            arrival.workspace = self.sample_workspace()
        arrival_queue = [(a.at, n, a) for n, a in enumerate(arrivals)]
        heapq.heapify(arrival_queue)
        while arrival_queue:
            at, number, arrival = heapq.heappop(arrival_queue)
            self.advance(at)
            retry_delay_s = self.send(arrival, at)
            arrival.tries += 1
            if retry_delay_s is not None and arrival.tries < MAX_TRIES:
                heapq.heappush(
                    arrival_queue, (at + retry_delay_s, number, arrival)
                )
        self.advance(arrivals[-1].at + DRAIN_S)

    def advance(self, until: float) -> None:
        """Run the passes that start, and process events, up to a time."""
        while self.next_passes and self.next_passes[0][0] <= until:
            self.process_events(self.next_passes[0][0])
            at, index = heapq.heappop(self.next_passes)
            engine = self.engines[index]
            if engine.is_idle:
                self.busy_engines.discard(index)
                continue
            decoding_jobs = [j for j in engine.active if not j.pending_parts]
            end = engine.run_pass(at)
            for job in decoding_jobs:
                heapq.heappush(self.due_events, (end, next(self.keys), job))
            heapq.heappush(self.next_passes, (end, index))
        self.process_events(until)

    def process_events(self, until: float) -> None:
        """Process the events up to a time."""
        while self.due_events and self.due_events[0][0] <= until:
            at, _, job = heapq.heappop(self.due_events)
            self.record_event(job, at)

    def make_engine(self, index: int) -> batchengine.BatchEngine:
        """Return the engine with a number."""
        del index
        return batchengine.BatchEngine(self.load.spec)

    def on_event(self, arrival: Arrival, at: float) -> None:
        """Process an event after the work items were updated."""

    def on_sent(self, arrival: Arrival, now: float) -> None:
        """Process a send after the work items were published."""

    def record_event(self, job: batchengine.Job, at: float) -> None:
        """Update the work items of a request after one of its events."""
        arrival = self.running.get(id(job))
        if arrival is None:
            return
        times = [event_at for event_at in job.event_times if event_at <= at]
        done = job.done and len(times) == len(job.event_times)
        if done:
            del self.running[id(job)]
        late = (
            len(times) > 1
            and times[-1] - times[-2] > arrival.prompt_class.gap_s
        )
        for key, work in arrival.work_items.items():
            changed = attrs.evolve(work, writing=True)
            if late and work.leads:
                changed.gap_target_s = 0.0
            if done:
                self.publish(arrival, key, None, at)
            elif changed != work:
                arrival.work_items[key] = changed
                self.publish(arrival, key, changed, at)
        if not done:
            self.on_event(arrival, at)

    def publish(self, arrival, key, work, at, lag_s=views_lib.UPDATE_LAG_S):
        """Publish a change of a work item to the gateways."""
        change = views_lib.Change(arrival.gateway, key, work, lag_s)
        self.views.publish(at, change)

    def send(self, arrival: Arrival, now: float) -> float | None:
        """Place and send a request; return the retry delay if it is shed."""
        prompt = engineplacement.Prompt(
            prompt_tokens=arrival.job.prompt_tokens,
            output_tokens=arrival.job.output_tokens,
            target_s=arrival.prompt_class.target_s,
            gap_target_s=arrival.prompt_class.gap_s,
        )
        self.views.apply_due(now)
        chooser = self.choosers[arrival.gateway]
        choice = chooser.choose(self.service, prompt, set(), now)
        candidate = shedding.Candidate(
            prompt_tokens=prompt.prompt_tokens,
            predicted_s=choice.predicted_s,
            target_s=prompt.target_s,
            is_retry=arrival.tries > 0,
        )
        retry_delay_s = shedding.shed_retry_after_s(
            candidate, choice.late_waiting, choice.batch_slots, self.rng
        )
        if retry_delay_s is None and self.fair:
            retry_delay_s = self.fair_delay_s(arrival, prompt, choice, now)
        if retry_delay_s is not None:
            arrival.retry_at = now + retry_delay_s
            return retry_delay_s
        arrival.predicted_s = choice.predicted_s
        arrival.parts = 1 + len(choice.helpers)
        job = arrival.job
        job.pending_parts = arrival.parts
        job.rank = urgency.engine_rank(
            arrival.route(), now - arrival.at, choice.predicted_s
        )
        late = job.rank == urgency.LATE_RANK
        for number, endpoint in enumerate((choice.endpoint, *choice.helpers)):
            self.send_part(
                arrival, prompt, int(endpoint.name), number == 0, late, now
            )
        self.running[id(job)] = arrival
        self.on_sent(arrival, now)
        return None

    def sample_workspace(self) -> int:
        """Return a workspace; a few have most of the requests."""
        if not self.workspaces:
            return 0
        weights = [WORKSPACE_DECAY**n for n in range(self.workspaces)]
        return (
            1 + self.workspace_rng.choices(range(self.workspaces), weights)[0]
        )

    def fair_delay_s(self, arrival, prompt, choice, now) -> float | None:
        """Return the retry delay if scarce capacity refuses a request."""
        engine_s = usage.engine_seconds(
            self.load.spec, prompt.prompt_tokens, prompt.output_tokens
        )
        is_due = arrival.tries and now >= arrival.retry_at
        refusal = self.fair[arrival.gateway].decide(
            fairadmission.Arrival(
                workspace=arrival.workspace,
                groups=(
                    f"workspace {arrival.workspace}",
                    f"size {arrival.prompt_class.name}",
                ),
                engine_s=engine_s,
                value=prompt.value,
                predicted_s=choice.predicted_s,
                target_left_s=arrival.at + prompt.target_s - now,
                left_s=arrival.at + arrival.prompt_class.deadline_s - now,
                retry=refusalledger.Retry.DUE
                if is_due
                else refusalledger.Retry.NONE,
            ),
            self.load.engines,
            True,
            now,
        )
        if refusal is not None:
            return refusal.retry_after_s
        queued = choice.predicted_s > prompt.target_s
        for decision in self.fair:
            decision.recent.add(arrival.workspace, engine_s, queued, now)
        return None

    def send_part(self, arrival, prompt, index, leads, late, now) -> None:
        """Send a request, or a part of its prompt, to one engine."""
        engine = self.engines[index]
        if leads:
            engine.submit(arrival.job, arrival.parts)
        else:
            engine.submit_part(arrival.job, arrival.parts)
        work = work_lib.WorkItem(
            endpoint=str(index),
            prompt_tokens=prompt.prompt_tokens,
            output_tokens=prompt.output_tokens,
            parts=arrival.parts,
            leads=leads,
            sent_at=now,
            gap_target_s=prompt.gap_target_s,
            value=prompt.value,
            late=late,
        )
        key = next(self.keys)
        arrival.work_items[key] = work
        self.publish(arrival, key, work, now, views_lib.BEGIN_LAG_S)
        if index not in self.busy_engines:
            self.busy_engines.add(index)
            heapq.heappush(self.next_passes, (now, index))


def gains(
    load: mixes.Load,
    seeds: int,
    limits: candidates.CandidateLimits = candidates.DEFAULT_LIMITS,
    cut_s: float = float("inf"),
    gateways: int = 1,
    workspaces: int = 0,
) -> dict[str, float]:
    """Return the received share of the possible value, in total and by class.

    The key of the total is `whole`.
    """
    sums = {name: [0.0, 0.0] for name in ("whole", *class_names(load))}
    for seed in range(seeds):
        arrivals = [a for a in sample_arrivals(load, seed) if a.at < cut_s]
        simulation = Simulation(
            load,
            random.Random(seed),
            gateways,
            workspaces,
            limits=limits,
        )
        simulation.run(arrivals)
        for arrival in arrivals:
            for name in ("whole", arrival.prompt_class.name):
                sums[name][0] += arrival.value_received()
                sums[name][1] += arrival.weight * arrival.prompt_class.value
    return {
        name: received / max(1e-9, possible)
        for name, (received, possible) in sums.items()
    }


def class_names(load: mixes.Load) -> tuple[str, ...]:
    """Return the names of a load's prompt classes."""
    return tuple(prompt_class.name for prompt_class in load.prompt_classes)


def main(_: list[str]) -> None:
    """Run the selected loads and print the results."""
    limits = UNLIMITED if FULL.value else candidates.DEFAULT_LIMITS
    for load in mixes.ALL_LOADS:
        if not LOADS.value or load.name in LOADS.value:
            found = gains(
                load,
                PLAYS.value,
                limits,
                CUT_S.value,
                GATEWAYS.value,
                WORKSPACES.value,
            )
            words = [f"{name} {share:.3f}" for name, share in found.items()]
            print(f"{load.name:12}", *words, flush=True)


if __name__ == "__main__":
    app.run(main)
