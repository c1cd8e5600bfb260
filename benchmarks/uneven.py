"""Compares ways to learn which engines are slow.

`python -m benchmarks.uneven` runs loads in which a share of the engines is slow
for some seconds, and prints the received share of the possible value for each
way, and the differences to placement that knows nothing of slow engines.
"""

import heapq
import random

from absl import app
from absl import flags
import attrs

from _coltsfootroad.core import endpointset
from _coltsfootroad.core import pace as pace_lib
from _coltsfootroad.core.placement import pacesampler
from _coltsfootroad.replay import batchengine
from benchmarks import mixes
from benchmarks import placement
from benchmarks import views as views_lib

UNEVEN_LOAD = flags.DEFINE_string("uneven_load", "uneven", "Load to run.")
FIRST_PLAY = flags.DEFINE_integer("first_play", 0, "Seed of the first run.")
SHARES = flags.DEFINE_list(
    "slow_shares",
    ["0", "0.2", "0.33"],
    "Shares of engines that are slow at once.",
)
WAYS = flags.DEFINE_list(
    "ways_to_learn", ["none", "own", "shared", "known"], "Ways to compare."
)
# Spells of slow engines; all of them begin with new engines.
SPELL_S = (5.0, 7.0)
SPELL_FACTOR = (3.0, 5.0)
FIRST_SPELL_AT_S = 2.0
SOUND_BETWEEN_S = 1.0
# Full summaries repeat readings this often.
REPEAT_S = 0.8
TICK_S = 0.25
# A pass that is slow for the most part may end this long after its spell.
LAG_S = 1.0


@attrs.frozen
class Spell:
    """A time in which one engine is slow."""

    start: float
    end: float
    factor: float


def sample_spells(
    engines: int, share: float, until: float, seed: int
) -> dict[int, list[Spell]]:
    """Return the spells of slow engines, by the engine's number."""
    rng = random.Random(f"spells-{seed}")
    found: dict[int, list[Spell]] = {}
    start = FIRST_SPELL_AT_S
    while start < until:
        longest = 0.0
        for index in rng.sample(range(engines), round(share * engines)):
            seconds = rng.uniform(*SPELL_S)
            longest = max(longest, seconds)
            spell = Spell(start, start + seconds, rng.uniform(*SPELL_FACTOR))
            found.setdefault(index, []).append(spell)
        start += (longest or SPELL_S[1]) + SOUND_BETWEEN_S
    return found


@attrs.define(eq=False)
class SpellEngine(batchengine.BatchEngine):
    """An engine that is slow in its spells, also within a pass."""

    spells: list[Spell] = attrs.Factory(list)

    def duration_s(self, now, sound_s):
        """Return the seconds of a pass that takes a sound engine `sound_s`."""
        at, left_s = now, sound_s
        for spell in self.spells:
            if spell.end <= at:
                continue
            before_s = max(0.0, spell.start - at)
            if left_s <= before_s:
                break
            left_s -= before_s
            at += before_s
            slow_s = min(left_s, (spell.end - at) / spell.factor)
            left_s -= slow_s
            at += slow_s * spell.factor
        return at + left_s - now


@attrs.define(eq=False)
class UnevenSimulation(placement.Simulation):
    """A simulation whose gateways learn the slowdown of engines.

    Attributes:
        spells: Times in which engines are slow.
        way: How gateways learn: `none`, `own` readings, `shared` ones, or
            `known` without delay.
        sets: The endpoints as each gateway knows them.
        tables: What each gateway has learned.
        samplers: Samplers of running requests, with the time of the last
            reading that was shared and its value.
        shared: Heap of readings on their way to other gateways.
        loaded_at: Time of the first event of an engine in each spell.
        found_after_s: Seconds from then until some gateway used a slowdown for
            the engine.
        wrong: Slowdowns of engines that were sound.
    """

    spells: dict[int, list[Spell]] = attrs.Factory(dict)
    way: str = "none"
    sets: list[endpointset.EndpointSet] = attrs.field(init=False)
    tables: list[pace_lib.PaceTable] = attrs.field(init=False)
    samplers: dict[int, pacesampler.PaceSampler] = attrs.Factory(dict)
    last_shared: dict[int, tuple[float, float]] = attrs.Factory(dict)
    shared: list = attrs.Factory(list)
    next_tick: float = 0.0
    loaded_at: dict[tuple[int, float], float] = attrs.Factory(dict)
    found_after_s: dict[tuple[int, float], float] = attrs.Factory(dict)
    wrong: int = 0

    def __attrs_post_init__(self):
        super().__attrs_post_init__()
        self.tables = [chooser.paces for chooser in self.choosers]
        self.sets = []
        for chooser in self.choosers:
            own_set = endpointset.EndpointSet()
            for known in self.endpoints.known.values():
                own_set.learn(known.announcement)
            chooser.endpoints = own_set
            self.sets.append(own_set)

    def spell(self, index: int, at: float) -> Spell | None:
        """Return the spell of an engine at a time."""
        for spell in self.spells.get(index, ()):
            if spell.start <= at < spell.end:
                return spell
        return None

    def make_engine(self, index):
        """Return the engine with a number and its spells."""
        return SpellEngine(self.load.spec, spells=self.spells.get(index, []))

    def send(self, arrival, now):
        """Update what gateways know, then place and send a request."""
        self.apply_shared(now)
        if self.way == "known":
            for name, known in self.sets[arrival.gateway].known.items():
                spell = self.spell(int(name), now)
                known.slowdown = spell.factor if spell is not None else 1.0
        return super().send(arrival, now)

    def on_sent(self, arrival, now):
        """Begin to sample the engine that decodes."""
        if self.way not in ("own", "shared"):
            return
        self.views.apply_due(now)
        key, work = next(
            (key, work)
            for key, work in arrival.work_items.items()
            if work.leads
        )
        self.samplers[id(arrival)] = pacesampler.PaceSampler(
            self.views.loads[arrival.gateway].index,
            self.load.spec,
            work.endpoint,
            (str(arrival.gateway), key),
            now,
        )

    def on_event(self, arrival, at):
        """Take a sample."""
        sampler = self.samplers.get(id(arrival))
        if sampler is None:
            return
        self.apply_shared(at)
        self.views.apply_due(at)
        spell = self.spell(int(sampler.endpoint), at)
        if spell is not None:
            place = (int(sampler.endpoint), spell.start)
            self.loaded_at.setdefault(place, at)
        table = self.tables[arrival.gateway]
        known = self.sets[arrival.gateway].known[sampler.endpoint]
        suspected = table.is_suspected(known, at)
        if not sampler.on_events(at, 1, False, suspected):
            return
        slowdown = sampler.stream.reading
        self.record(arrival.gateway, known.name, sampler.key, slowdown, at)
        if self.way == "shared":
            self.share(arrival, sampler, slowdown, at)

    def share(self, arrival, sampler, slowdown, at) -> None:
        """Send a reading to the other gateways."""
        last_at, last = self.last_shared.get(id(arrival), (0.0, 0.0))
        is_news = last != slowdown and max(last, slowdown) > 1.0
        if not is_news and at - last_at < REPEAT_S:
            return
        self.last_shared[id(arrival)] = (at, slowdown)
        heapq.heappush(
            self.shared,
            (
                at + views_lib.UPDATE_LAG_S,
                next(self.keys),
                arrival.gateway,
                sampler.endpoint,
                sampler.key,
                slowdown,
            ),
        )

    def apply_shared(self, now: float) -> None:
        """Apply readings that have arrived, and the periodic expiry."""
        while self.shared and self.shared[0][0] <= now:
            at, _, sender, name, key, slowdown = heapq.heappop(self.shared)
            for gateway in range(self.gateways):
                if gateway != sender:
                    self.record(gateway, name, key, slowdown, at)
        if now >= self.next_tick:
            self.next_tick = now + TICK_S
            for table in self.tables:
                table.advance(now)

    def record(self, gateway, name, key, slowdown, at) -> None:
        """Record a reading at one gateway."""
        known = self.sets[gateway].known[name]
        for change in self.tables[gateway].observe(known, key, slowdown, at):
            index = int(change.endpoint)
            spell = self.spell(index, at) or self.spell(index, at - LAG_S)
            if change.after > change.before and spell is not None:
                place = (index, spell.start)
                loaded_at = self.loaded_at.get(place, at)
                self.found_after_s.setdefault(place, at - loaded_at)
            elif change.after > change.before:
                self.wrong += 1


def play(
    load: mixes.Load,
    spells: dict[int, list[Spell]],
    way: str,
    seed: int,
    until: float,
    gateways: int,
) -> tuple[dict[str, tuple[float, float]], UnevenSimulation]:
    """Return received and possible value by class, and the simulation."""
    arrivals = [
        arrival
        for arrival in placement.sample_arrivals(load, seed)
        if arrival.at < until
    ]
    simulation = UnevenSimulation(
        load,
        random.Random(seed),
        gateways,
        spells=spells,
        way=way,
    )
    simulation.run(arrivals)
    return value_by_class(load, arrivals), simulation


def value_by_class(
    load: mixes.Load, arrivals: list[placement.Arrival]
) -> dict[str, tuple[float, float]]:
    """Return received and possible value, in total and by class."""
    sums = {}
    for name in ("whole", *placement.class_names(load)):
        chosen = [a for a in arrivals if name in ("whole", a.prompt_class.name)]
        sums[name] = (
            sum(a.value_received() for a in chosen),
            sum(a.weight * a.prompt_class.value for a in chosen),
        )
    return sums


def main(_: list[str]) -> None:
    """Run all ways with all shares and print the results."""
    load = next(
        load for load in mixes.ALL_LOADS if load.name == UNEVEN_LOAD.value
    )
    seeds = range(FIRST_PLAY.value, FIRST_PLAY.value + placement.PLAYS.value)
    for share in map(float, SHARES.value):
        for way in WAYS.value:
            report(load, share, way, seeds)


def report(load: mixes.Load, share: float, way: str, seeds) -> None:
    """Run one way with one share of slow engines and print the results."""
    wholes, totals, delays, wrong, loaded = [], {}, [], 0, 0
    for seed in seeds:
        spells = sample_spells(load.engines, share, placement.CUT_S.value, seed)
        sums, simulation = play(
            load,
            spells,
            way,
            seed,
            placement.CUT_S.value,
            placement.GATEWAYS.value,
        )
        wholes.append(sums["whole"][0] / sums["whole"][1])
        for name, (received, possible) in sums.items():
            before = totals.get(name, (0.0, 0.0))
            totals[name] = (before[0] + received, before[1] + possible)
        delays += simulation.found_after_s.values()
        wrong += simulation.wrong
        loaded += len(simulation.loaded_at)
    delays.sort()
    words = [f"{name} {got / all_:.3f}" for name, (got, all_) in totals.items()]
    each = " ".join(f"{whole:.3f}" for whole in wholes)
    print(f"slow {share:.2f} {way:7}", *words, f"seeds {each}", end=" ")
    if delays:
        median_s, late_s = delays[len(delays) // 2], delays[-len(delays) // 10]
        print(f"found {len(delays)} of {loaded} with load,", end=" ")
        print(f"median {median_s:.2f} s, p90 {late_s:.2f} s,", end=" ")
    print(f"sound ones taken for slow {wrong}", flush=True)


if __name__ == "__main__":
    app.run(main)
