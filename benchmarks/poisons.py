"""Simulates poison requests among popular ones and counts quarantined requests.

Usage: python -m benchmarks.poisons [--seeds N]. Simulates gateways and a leader
in virtual time; prints one line per pattern.
"""

import collections
import concurrent.futures
from unittest import mock

from absl import app
from absl import flags
import attrs

from features.support import crashhistories
from features.support import crashworld

SEEDS = flags.DEFINE_integer("seeds", 4, "Runs of each pattern.")
JOBS = flags.DEFINE_integer("jobs", 4, "Number of processes.")
RESTART_S = 1.0


@attrs.frozen
class Pattern:
    """The rate of poison requests and the number of popular ones.

    `every_s` is the time between two sends of the same poison request.
    """

    gateways: int
    engines: int
    poisons: int
    every_s: float
    popular: int

    def __str__(self) -> str:
        return (
            f"{self.gateways} gateways, {self.engines} engines:"
            f" {self.poisons} poison each {self.every_s:g} s,"
            f" {self.popular} popular"
        )


CALM = (
    Pattern(3, 6, 1, 0.2, 1),
    Pattern(3, 6, 2, 0.2, 3),
    Pattern(3, 6, 3, 0.2, 3),
    Pattern(3, 6, 10, 0.5, 3),
    Pattern(9, 16, 3, 0.2, 3),
)
# Poison requests so frequent that no engine survives for 0.1 s.
STORMS = tuple(
    Pattern(3, engines, poisons, poisons * 0.022, 3)
    for engines in (4, 5)
    for poisons in (1, 2, 3, 10)
)


@attrs.frozen
class RunResult:
    """The result of one run."""

    wrong: int
    refused: int
    late: int
    ended: int
    found: int
    served: float


def run_pattern(pattern: Pattern, seed: int) -> RunResult:
    """Run a pattern."""
    with (
        mock.patch.object(crashworld, "RESTART_S", RESTART_S),
        crashworld.fleet(pattern.gateways, pattern.engines, seed) as bed,
    ):
        world, go = bed
        crashhistories.play_beside_popular(
            world, go, pattern.poisons, pattern.every_s, pattern.popular
        )
        entries = set(world.state.quarantine.entries)
        poisons = {
            crashworld.fingerprint(body, kind)
            for body, kind in world.poisons.items()
        }
        return RunResult(
            wrong=len(entries - poisons),
            refused=world.proper["ended in quarantine"],
            late=max(len(world.late_sends(body)) for body in world.poisons),
            ended=sum(len(times) for times in world.crashed.values()),
            found=len(entries & poisons),
            served=world.proper["answered"] / world.proper["ended"],
        )


def report(name: str, results: list[RunResult]) -> None:
    """Print the results of the runs of a pattern."""
    total = collections.Counter()
    for result in results:
        total["wrong"] += bool(result.wrong or result.refused)
        total["refused"] += result.refused
        total["ended"] += result.ended
    late = max(result.late for result in results)
    served = sum(result.served for result in results) / len(results)
    print(
        f"{name}: proper requests quarantined in {total['wrong']} of"
        f" {len(results)} runs ({total['refused']} refused); at most {late} late"
        f" sends; {total['ended'] / len(results):.1f} engines ended per run;"
        f" {served:.3f} served; {[result.found for result in results]} found",
        flush=True,
    )


def main(_: list[str]) -> None:
    """Run all patterns."""
    seeds = range(SEEDS.value)
    with concurrent.futures.ProcessPoolExecutor(JOBS.value) as pool:
        for name, patterns in (("calm", CALM), ("storms", STORMS)):
            all_results = []
            for pattern in patterns:
                futures = [
                    pool.submit(run_pattern, pattern, seed) for seed in seeds
                ]
                results = [future.result() for future in futures]
                report(str(pattern), results)
                all_results += results
            report(name, all_results)


if __name__ == "__main__":
    app.run(main)
