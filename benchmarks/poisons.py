"""Plays poison requests beside popular ones, and counts whom the quarantine refuses.

Usage: python -m benchmarks.poisons [--seeds N]. Emulated gateways and a leader
in virtual time; one line a pattern.
"""

import collections
import concurrent.futures
from unittest import mock

from absl import app
from absl import flags
import attrs

from features.support import crashhistories
from features.support import crashworld

SEEDS = flags.DEFINE_integer("seeds", 4, "Plays of each pattern.")
JOBS = flags.DEFINE_integer("jobs", 4, "Processes.")
RESTART_S = 1.0


@attrs.frozen
class Pattern:
    """Poison requests, each so often, beside popular ones."""

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
# No engine lives for 0.1 s.
STORMS = tuple(
    Pattern(3, engines, poisons, poisons * 0.022, 3)
    for engines in (4, 5)
    for poisons in (1, 2, 3, 10)
)


@attrs.frozen
class Play:
    """What one play came to."""

    wrong: int
    refused: int
    late: int
    ended: int
    found: int
    served: float


def play(pattern: Pattern, seed: int) -> Play:
    """Play a pattern."""
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
        return Play(
            wrong=len(entries - poisons),
            refused=world.proper["ended in quarantine"],
            late=max(len(world.late_sends(body)) for body in world.poisons),
            ended=sum(len(times) for times in world.crashed.values()),
            found=len(entries & poisons),
            served=world.proper["answered"] / world.proper["ended"],
        )


def report(name: str, plays: list[Play]) -> None:
    """Print what the plays of a pattern came to."""
    total = collections.Counter()
    for each in plays:
        total["wrong"] += bool(each.wrong or each.refused)
        total["refused"] += each.refused
        total["ended"] += each.ended
    late = max(each.late for each in plays)
    served = sum(each.served for each in plays) / len(plays)
    print(
        f"{name}: proper requests taken for poison in {total['wrong']} of"
        f" {len(plays)} plays ({total['refused']} refused); at most {late} late"
        f" sends; {total['ended'] / len(plays):.1f} engines ended a play;"
        f" {served:.3f} served; {[each.found for each in plays]} found",
        flush=True,
    )


def main(_: list[str]) -> None:
    """Play all patterns."""
    seeds = range(SEEDS.value)
    with concurrent.futures.ProcessPoolExecutor(JOBS.value) as pool:
        for name, patterns in (("calm", CALM), ("storms", STORMS)):
            everything = []
            for pattern in patterns:
                futures = [pool.submit(play, pattern, seed) for seed in seeds]
                plays = [future.result() for future in futures]
                report(str(pattern), plays)
                everything += plays
            report(name, everything)


if __name__ == "__main__":
    app.run(main)
