"""Compares ways to place prompts on engines that work in passes.

`python -m benchmarks.placement` plays a mix that swings between long and
short prompts, as callers of both deployments do, and prints by length class
the share of what callers gain by answers in time.
"""

import heapq
import itertools
import random

from absl import app
from absl import flags
import attrs
import numpy

from _coltsfootroad.core import candidates
from _coltsfootroad.core import endpointset
from _coltsfootroad.core import engineplacement
from _coltsfootroad.core import patience
from _coltsfootroad.core import registry
from _coltsfootroad.core import routes
from _coltsfootroad.core import shedding
from _coltsfootroad.core import urgency
from _coltsfootroad.core import work as work_lib
from _coltsfootroad.gateway import engines as engines_lib
from _coltsfootroad.replay import batchengine
from benchmarks import mixes
from benchmarks import views as views_lib

PLAYS = flags.DEFINE_integer("plays", 4, "Plays of each load.")
LOADS = flags.DEFINE_list("loads", [], "Loads to play; all if none.")
CUT_S = flags.DEFINE_float("cut_s", 60.0, "Arrivals after this are cut.")
IN_USE = flags.DEFINE_integer("in_use", 1, "Gateways in use.")
FULL = flags.DEFINE_bool("full", False, "Compare all engines.")
# Bounds that no load reaches.
EVERYTHING = candidates.CandidateLimits(
    sampled=10**6,
    long=candidates.CandidateCounts(idle=10**6, decoding=0, prefilling=0),
    short=candidates.CandidateCounts(idle=10**6, decoding=0, prefilling=0),
)
# The value of one prompt grows with its size up to this many times the mean.
MAX_SIZE_VALUE = 4.0
# Played on after the last arrival, beyond the longest deadline.
DRAIN_S = 20.0
# Callers try once more after a refusal.
MAX_TRIES = 2
SERVICE = "engines"
ZONES = 3


@attrs.define(eq=False)
class Arrival:
    """A request, when it comes, and what became of it."""

    at: float
    length: mixes.Length
    job: batchengine.Job
    weight: float
    gateway: int = 0
    works: dict[int, work_lib.Work] = attrs.Factory(dict)
    parts: int = 1
    tries: int = 0
    predicted_s: float = 0.0

    def route(self) -> routes.Route:
        """Return the route that a request of this class takes."""
        return routes.Route(
            name=self.length.name,
            host="",
            prefix="/",
            kind=routes.RequestKind.STREAM,
            timeout_s=self.length.deadline_s,
            splits=(),
            target_s=self.length.target_s,
            gap_target_s=self.length.gap_s,
        )

    def gained(self) -> float:
        """Return the value that the caller got."""
        times = self.job.event_times
        if not self.job.done or times[-1] > self.at + self.length.deadline_s:
            return 0.0
        gaps = numpy.diff([self.at, *times])
        if gaps.max() > patience.caller_patience_s(self.route()):
            return 0.0
        late = times[0] - self.at > self.length.target_s
        late = late or (len(gaps) > 1 and gaps[1:].max() > self.length.gap_s)
        return self.weight * (
            self.length.late_value if late else self.length.value
        )


def draw(load: mixes.Load, seed: int) -> list[Arrival]:
    """Return the arrivals of one play in order of time."""
    rng = numpy.random.default_rng(seed)
    found = []
    start = 0.0
    for seconds, factors in load.phases:
        for length, factor in zip(load.lengths, factors, strict=True):
            count = rng.poisson(length.per_s * factor * seconds)
            for at in start + seconds * rng.random(count):
                found.append(draw_one(rng, load, length, at))
        start += seconds
    return sorted(found, key=lambda arrival: arrival.at)


def draw_one(rng, load, length, at) -> Arrival:
    """Return one arrival of a class."""

    def size(mean, sigma, most):
        sampled = mean * numpy.exp(sigma * rng.normal() - sigma**2 / 2)
        return int(max(1, min(most, sampled)))

    prompt = size(length.prompt, length.prompt_spread, length.prompt_max)
    events = size(length.events, length.events_spread, 2.5 * length.events)
    output = events * load.spec.stride
    mean = length.prompt + 10 * length.events * load.spec.stride
    weight = min(MAX_SIZE_VALUE, 0.3 + 0.7 * (prompt + 10 * output) / mean)
    return Arrival(at, length, batchengine.Job(prompt, output), weight)


def announcement(name: str, zone: str) -> registry.Announcement:
    """Return what an engine says of itself."""
    return registry.Announcement(
        endpoint=name,
        incarnation=1,
        seq=1,
        service=SERVICE,
        availability_zone=zone,
    )


@attrs.define(eq=False)
class Play:
    """One load played against the choices of some gateways."""

    load: mixes.Load
    rng: random.Random
    gateways: int = 1
    views: views_lib.Views = attrs.field(init=False)
    keys: itertools.count = attrs.Factory(itertools.count)
    endpoints: endpointset.EndpointSet = attrs.Factory(endpointset.EndpointSet)
    limits: candidates.CandidateLimits = candidates.DEFAULT_LIMITS
    choosers: list[engines_lib.Chooser] = attrs.field(init=False)
    service: routes.ServiceSpec = attrs.field(init=False)
    engines: list[batchengine.BatchEngine] = attrs.Factory(list)
    running: dict[int, Arrival] = attrs.Factory(dict)
    due: list[tuple[float, int]] = attrs.Factory(list)
    busy: set[int] = attrs.Factory(set)

    def __attrs_post_init__(self):
        for place in range(self.load.engines):
            zone = f"zone-{place % ZONES}"
            self.endpoints.learn(announcement(str(place), zone))
        self.service = routes.ServiceSpec(name=SERVICE, engine=self.load.spec)
        self.views = views_lib.Views(self.gateways)
        self.choosers = [
            engines_lib.Chooser(
                self.endpoints,
                load,
                f"zone-{place % ZONES}",
                self.rng,
                self.limits,
            )
            for place, load in enumerate(self.views.loads)
        ]

    def run(self, arrivals: list[Arrival]) -> None:
        """Play all arrivals to their ends."""
        self.engines = [
            batchengine.BatchEngine(self.load.spec)
            for _ in range(self.load.engines)
        ]
        for arrival in arrivals:
            arrival.gateway = self.rng.randrange(self.gateways)
        waiting = [(a.at, n, a) for n, a in enumerate(arrivals)]
        heapq.heapify(waiting)
        while waiting:
            at, number, arrival = heapq.heappop(waiting)
            self.advance(at)
            again_s = self.send(arrival, at)
            arrival.tries += 1
            if again_s is not None and arrival.tries < MAX_TRIES:
                heapq.heappush(waiting, (at + again_s, number, arrival))
        self.advance(arrivals[-1].at + DRAIN_S)

    def advance(self, until: float) -> None:
        """Run the passes that begin before a time."""
        while self.due and self.due[0][0] <= until:
            at, place = heapq.heappop(self.due)
            engine = self.engines[place]
            if engine.is_idle:
                self.busy.discard(place)
                continue
            before = [j for j in engine.active if not j.unread]
            end = engine.run_pass(at)
            for job in before:
                self.note(job, end)
            heapq.heappush(self.due, (end, place))

    def note(self, job: batchengine.Job, at: float) -> None:
        """Note an event as gateways do."""
        arrival = self.running.get(id(job))
        if arrival is None:
            return
        if job.done:
            del self.running[id(job)]
        times = job.event_times
        late = len(times) > 1 and times[-1] - times[-2] > arrival.length.gap_s
        for key, work in arrival.works.items():
            changed = attrs.evolve(work, writing=True)
            if late and work.leads:
                changed.gap_target_s = 0.0
            if job.done:
                self.tell(arrival, key, None, at)
            elif changed != work:
                arrival.works[key] = changed
                self.tell(arrival, key, changed, at)

    def tell(self, arrival, key, work, at, lag_s=views_lib.LATER_LAG_S):
        """Let the gateways know of a change."""
        change = views_lib.Change(arrival.gateway, key, work, lag_s)
        self.views.tell(at, change)

    def send(self, arrival: Arrival, now: float) -> float | None:
        """Place one request and send it, or say when to come back."""
        prompt = engineplacement.Prompt(
            prompt_tokens=arrival.job.prompt_tokens,
            output_tokens=arrival.job.output_tokens,
            target_s=arrival.length.target_s,
            gap_target_s=arrival.length.gap_s,
        )
        self.views.catch_up(now)
        chooser = self.choosers[arrival.gateway]
        choice = chooser.choose(self.service, prompt, set(), now)
        candidate = shedding.Candidate(
            prompt_tokens=prompt.prompt_tokens,
            predicted_s=choice.predicted_s,
            target_s=prompt.target_s,
            returned=arrival.tries > 0,
        )
        again_s = shedding.come_back_s(
            candidate, choice.late_waiting, choice.places, self.rng
        )
        if again_s is not None:
            return again_s
        arrival.predicted_s = choice.predicted_s
        arrival.parts = 1 + len(choice.helpers)
        job = arrival.job
        job.unread = arrival.parts
        job.rank = urgency.of(
            arrival.route(), now - arrival.at, choice.predicted_s
        )
        late = job.rank == urgency.LATE_RANK
        for number, known in enumerate((choice.endpoint, *choice.helpers)):
            self.begin(arrival, prompt, int(known.name), number == 0, late, now)
        self.running[id(job)] = arrival
        return None

    def begin(self, arrival, prompt, place, leads, late, now) -> None:
        """Send a request, or a part of it, to one engine."""
        engine = self.engines[place]
        if leads:
            engine.submit(arrival.job, arrival.parts)
        else:
            engine.submit_part(arrival.job, arrival.parts)
        work = work_lib.Work(
            endpoint=str(place),
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
        arrival.works[key] = work
        self.tell(arrival, key, work, now, views_lib.BEGIN_LAG_S)
        if place not in self.busy:
            self.busy.add(place)
            heapq.heappush(self.due, (now, place))


def gains(
    load: mixes.Load,
    seeds: int,
    limits: candidates.CandidateLimits = candidates.DEFAULT_LIMITS,
    cut_s: float = float("inf"),
    gateways: int = 1,
) -> dict[str, float]:
    """Return what callers gained of what they could, whole and by class."""
    sums = {name: [0.0, 0.0] for name in ("whole", *names_of(load))}
    for seed in range(seeds):
        arrivals = [a for a in draw(load, seed) if a.at < cut_s]
        play = Play(load, random.Random(seed), gateways, limits=limits)
        play.run(arrivals)
        for arrival in arrivals:
            for name in ("whole", arrival.length.name):
                sums[name][0] += arrival.gained()
                sums[name][1] += arrival.weight * arrival.length.value
    return {name: got / max(1e-9, owed) for name, (got, owed) in sums.items()}


def names_of(load: mixes.Load) -> tuple[str, ...]:
    """Return the names of a load's classes."""
    return tuple(length.name for length in load.lengths)


def main(_: list[str]) -> None:
    """Play the loads."""
    limits = EVERYTHING if FULL.value else candidates.DEFAULT_LIMITS
    for load in mixes.ALL_LOADS:
        if not LOADS.value or load.name in LOADS.value:
            found = gains(load, PLAYS.value, limits, CUT_S.value, IN_USE.value)
            words = [f"{name} {share:.3f}" for name, share in found.items()]
            print(f"{load.name:12}", *words, flush=True)


if __name__ == "__main__":
    app.run(main)
