"""Measures the cost of one choice of an engine by the number of engines.

`python -m benchmarks.choice` prints microseconds of CPU time by number of
engines and length of the prompt. Between two choices, work items change as
often as they do in a fleet whose engines all have that many requests.
"""

import random
import time

from absl import app
from absl import flags

from _coltsfootroad.core import endpointset
from _coltsfootroad.core import registry
from _coltsfootroad.core import routes
from _coltsfootroad.core.placement import engineplacement
from _coltsfootroad.core.placement import work as work_lib
from _coltsfootroad.core.placement import workload
from _coltsfootroad.gateway import engines as engines_lib
from benchmarks import mixes

ENGINES = flags.DEFINE_list(
    "engines", ["20", "112", "1000"], "Numbers of engines."
)
ROUNDS = flags.DEFINE_integer("rounds", 200, "Choices per number of engines.")
WORK_ITEMS = flags.DEFINE_integer("works", 6, "Mean work items per engine.")
LENGTHS = (5_000, 45_000, 300_000)
SPEC = mixes.spec(10, 450_000, 73)
SERVICE = routes.ServiceSpec(name="s", engine=SPEC)


def make_engines(
    count: int, rng: random.Random
) -> tuple[endpointset.EndpointSet, workload.Workload]:
    """Return engines with work items, one in five of them in prefill."""
    endpoints, load = endpointset.EndpointSet(), workload.Workload()
    for number in range(count):
        name = f"e{number}"
        endpoints.learn(
            registry.Announcement(
                endpoint=name, incarnation=1, seq=1, service="s"
            )
        )
        for _ in range(rng.randrange(2 * WORK_ITEMS.value + 1)):
            load.add(make_work_item(name, rng))
    return endpoints, load


def make_work_item(name: str, rng: random.Random) -> work_lib.WorkItem:
    """Return a random work item."""
    return work_lib.WorkItem(
        endpoint=name,
        prompt_tokens=rng.choice((5_000, 5_000, 5_000, 45_000)),
        writing=rng.random() < 0.8,
        gap_target_s=0.25,
        sent_at=9.0 + rng.random(),
    )


def cost_us(count: int, tokens: int) -> float:
    """Return the mean CPU time of one choice in microseconds."""
    rng = random.Random(1)
    endpoints, load = make_engines(count, rng)
    chooser = engines_lib.Chooser(endpoints, load, "", rng)
    prompt = engineplacement.Prompt(
        prompt_tokens=tokens,
        output_tokens=1_700,
        target_s=0.3 if tokens < 10_000 else 4.0,
        gap_target_s=0.25 if tokens < 10_000 else 1.0,
    )
    spent_s = 0.0
    keys = sorted(load.own)
    for _ in range(ROUNDS.value):
        # As many changes as engines, so that nearly every cached state is stale.
        for key in rng.sample(keys, min(count, len(keys))):
            load.mark_changed(key)
        started = time.process_time()
        chooser.choose(SERVICE, prompt, set(), 10.0)
        spent_s += time.process_time() - started
    return 1e6 * spent_s / ROUNDS.value


def main(_: list[str]) -> None:
    """Print the costs."""
    for count in ENGINES.value:
        costs = [f"{cost_us(int(count), t):8.0f}" for t in LENGTHS]
        print(f"{count:>6} engines", *costs, "us for", LENGTHS, flush=True)


if __name__ == "__main__":
    app.run(main)
