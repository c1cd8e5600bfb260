"""Measures what one choice among engines costs as their number grows.

`python -m benchmarks.choice` prints microseconds of processor time for each
number of engines and length of a prompt, with works that change between two
choices as often as they do when every engine carries as many requests.
"""

import random
import time

from absl import app
from absl import flags

from _coltsfootroad.core import endpointset
from _coltsfootroad.core import engineplacement
from _coltsfootroad.core import registry
from _coltsfootroad.core import routes
from _coltsfootroad.core import work as work_lib
from _coltsfootroad.core import workload
from _coltsfootroad.gateway import engines as engines_lib
from benchmarks import mixes

ENGINES = flags.DEFINE_list("engines", ["20", "112", "1000"], "Sizes.")
ROUNDS = flags.DEFINE_integer("rounds", 200, "Choices of each size.")
WORKS = flags.DEFINE_integer("works", 6, "Works at each engine.")
LENGTHS = (5_000, 45_000, 300_000)
SPEC = mixes.spec(10, 450_000, 73)
SERVICE = routes.ServiceSpec(name="s", engine=SPEC)


def fleet(
    count: int, rng: random.Random
) -> tuple[endpointset.EndpointSet, workload.Workload]:
    """Return engines with works of all lengths, one in five unread."""
    endpoints, load = endpointset.EndpointSet(), workload.Workload()
    for number in range(count):
        name = f"e{number}"
        endpoints.learn(
            registry.Announcement(
                endpoint=name, incarnation=1, seq=1, service="s"
            )
        )
        for _ in range(rng.randrange(2 * WORKS.value + 1)):
            load.add(work_of(name, rng))
    return endpoints, load


def work_of(name: str, rng: random.Random) -> work_lib.Work:
    """Return a piece of work."""
    return work_lib.Work(
        endpoint=name,
        prompt_tokens=rng.choice((5_000, 5_000, 5_000, 45_000)),
        writing=rng.random() < 0.8,
        gap_target_s=0.25,
        sent_at=9.0 + rng.random(),
    )


def cost_us(count: int, tokens: int) -> float:
    """Return the microseconds of one choice."""
    rng = random.Random(1)
    endpoints, load = fleet(count, rng)
    chooser = engines_lib.Chooser(endpoints, load, "", rng)
    prompt = engineplacement.Prompt(
        prompt_tokens=tokens,
        output_tokens=1_700,
        target_s=0.3 if tokens < 10_000 else 4.0,
        gap_target_s=0.25 if tokens < 10_000 else 1.0,
    )
    spent = 0.0
    keys = sorted(load.own)
    for _ in range(ROUNDS.value):
        # As many changes as engines: nearly every kept state is out of date.
        for key in rng.sample(keys, min(count, len(keys))):
            load.touch(key)
        began = time.process_time()
        chooser.choose(SERVICE, prompt, set(), 10.0)
        spent += time.process_time() - began
    return 1e6 * spent / ROUNDS.value


def main(_: list[str]) -> None:
    """Print the table."""
    for count in ENGINES.value:
        costs = [f"{cost_us(int(count), t):8.0f}" for t in LENGTHS]
        print(f"{count:>6} engines", *costs, "us for", LENGTHS, flush=True)


if __name__ == "__main__":
    app.run(main)
