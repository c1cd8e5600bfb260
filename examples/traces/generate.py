"""Generates the traces in this folder."""

import pathlib
import random

from _coltsfootroad.core import servicekind
from _coltsfootroad.replay import trace as trace_lib

FOLDER = pathlib.Path(__file__).parent
SECONDS = 180
PLAIN = servicekind.ServiceKind.PLAIN
LENGTH_AWARE_POLICIES = ("short_slowdown", "ttft_all_lengths")


def arrivals(rng, rate, seconds=SECONDS):
    """Yield the arrival times of a Poisson process."""
    at = rng.expovariate(rate)
    while at < seconds:
        yield round(at, 4)
        at += rng.expovariate(rate)


def sample_requests(seed, classes, prefix, seconds=SECONDS):
    """Return random requests of several classes.

    Each of `classes` has a name, arrivals per second, minimum and maximum
    prompt length, answer length and deadline.
    """
    rng = random.Random(seed)
    lines = []
    for name, rate, low, high, output, deadline in classes:
        for number, at in enumerate(arrivals(rng, rate, seconds)):
            lines.append(
                trace_lib.RequestLine(
                    at=at,
                    id=f"{name}-{number}",
                    workspace=f"{prefix}-{rng.randrange(10)}",
                    prompt_tokens=round(rng.uniform(low, high)),
                    output_tokens=output,
                    deadline_s=deadline,
                )
            )
    return sorted(lines, key=lambda line: line.at)


def workload(name, engines, client_s, seed, classes, outcomes):
    """Write a workload without faults."""
    fleet = trace_lib.FleetLine(
        name=name,
        engines=(trace_lib.EngineLine(count=engines),),
        client_one_way_s=client_s,
    )
    trace = trace_lib.Trace(
        fleet, sample_requests(seed, classes, name), [], outcomes
    )
    trace_lib.write(FOLDER / f"{name}.jsonl", trace)


def at_most(measure, bound, policies=LENGTH_AWARE_POLICIES):
    """Return an expected outcome with an upper bound."""
    return trace_lib.OutcomeLine(
        measure=measure, at_most=bound, policies=policies
    )


def at_least(measure, bound, policies=LENGTH_AWARE_POLICIES):
    """Return an expected outcome with a lower bound."""
    return trace_lib.OutcomeLine(
        measure=measure, at_least=bound, policies=policies
    )


SHORT_GOAL = [
    at_most("short_slowdown_p95", 1.1, ("short_slowdown",)),
    at_most("failed", 0),
    at_most("kv_left", 0),
]


def workloads():
    """Write the three recorded workloads."""
    counter = ("counter", 8, 1_000, 2_000, 48, 30.0)
    contract = ("contract", 0.6, 8_000, 30_000, 200, 120.0)
    season = ("season", 0.06, 100_000, 250_000, 400, 600.0)
    workload(
        "lavared-day",
        14,
        0.001,
        1,
        [counter, contract, season],
        SHORT_GOAL,
    )
    ledger = ("ledger", 0.03, 800_000, 1_000_000, 400, 900.0)
    workload(
        "lavared-month-end",
        14,
        0.001,
        2,
        [
            counter,
            contract,
            ("season", 0.25, 100_000, 300_000, 400, 900.0),
            ledger,
        ],
        [*SHORT_GOAL, at_least("short_slowdown_p95", 5, ("round_robin",))],
    )
    workload(
        "hallmoor-launch",
        16,
        0.003,
        3,
        [
            ("question", 6, 1_000, 3_000, 64, 30.0),
            ("sheet", 2, 8_000, 30_000, 200, 120.0),
            ("catalogue", 0.2, 100_000, 300_000, 600, 900.0),
            ("season", 0.02, 800_000, 1_000_000, 600, 900.0),
        ],
        [at_most("failed", 0), at_most("kv_left", 0)],
    )


def shared_prefixes():
    """Write a workload whose prompts start with one of sixty prefixes."""
    rng = random.Random(11)
    lines = [
        trace_lib.RequestLine(
            at=at,
            id=f"draft-{number}",
            workspace=f"shop-{rng.randrange(10)}",
            prompt_tokens=40_000,
            output_tokens=100,
            deadline_s=120.0,
            shared_prefix=f"sheet-{rng.randrange(60)}",
            prefix_blocks=32,
        )
        for number, at in enumerate(arrivals(rng, 4, 150))
    ]
    fleet = trace_lib.FleetLine(
        name="shared-prefixes",
        engines=(trace_lib.EngineLine(count=16),),
        client_one_way_s=0.003,
    )
    outcomes = [
        at_most("failed", 0),
        at_most("kv_left", 0),
        at_most("ttft_p50_s.100k", 1.0),
    ]
    trace = trace_lib.Trace(fleet, lines, [], outcomes)
    trace_lib.write(FOLDER / "shared-prefixes.jsonl", trace)


def fault_trace(name, faults, outcomes, requests, engines=4, entries=3):
    """Write a trace with faults."""
    fleet = trace_lib.FleetLine(
        name=name,
        entries=entries,
        engines=(
            trace_lib.EngineLine(count=engines),
            trace_lib.EngineLine(count=2, service="billing", kind=PLAIN),
        ),
    )
    held = [at_most("runs_over_one", 0), at_most("kv_left", 0)]
    trace = trace_lib.Trace(fleet, requests, faults, [*outcomes, *held])
    trace_lib.write(FOLDER / f"{name}.jsonl", trace)


def background(seed=5, seconds=40):
    """Return background requests for a trace with faults."""
    classes = [
        ("question", 4, 1_000, 2_000, 32, 20.0),
        ("contract", 0.5, 8_000, 30_000, 100, 60.0),
        ("ledger", 0.05, 100_000, 200_000, 100, 120.0),
    ]
    return sample_requests(seed, classes, "shop", seconds)


def charge(at, name, key, entry="", deadline=10.0):
    """Return a non-idempotent call."""
    return trace_lib.RequestLine(
        at=at,
        id=name,
        service="billing",
        workspace="shop-0",
        non_idempotent=True,
        key=key,
        entry=entry,
        deadline_s=deadline,
        prompt_tokens=1,
        output_tokens=0,
    )


def fault(at, name, target="", for_s=0.0, **more):
    """Return a fault."""
    return trace_lib.FaultLine(
        at=at, fault=name, target=target, for_s=for_s, **more
    )


def ends(request, end, ran=""):
    """Return the expected end of a request."""
    return trace_lib.OutcomeLine(
        request=request, end=end, ran=ran, policies=LENGTH_AWARE_POLICIES
    )


def failures():
    """Write one trace per kind of failure."""
    fault_trace(
        "engine-dies",
        [fault(10, "kill_endpoint", "assistant-0", 15)],
        [at_most("failed", 0), at_most("ttft_p95_s.1k", 0.6)],
        background(),
    )
    fault_trace(
        "engine-slow",
        [fault(10, "slow_endpoint", "assistant-1", 25, value=10.0)],
        [at_most("failed", 0)],
        background(),
    )
    fault_trace(
        "engine-leaves",
        [fault(10, "leave_endpoint", "assistant-2")],
        [at_most("failed", 0)],
        background(),
    )
    fault_trace(
        "entry-dies-in-a-charge",
        [fault(10.02, "kill_entry", "entry-0", 5)],
        [
            ends("first", "cut_off"),
            ends("resent", "in_progress|outcome_unknown", "unknown"),
            ends("later", "outcome_unknown", "unknown"),
        ],
        [
            *background(),
            charge(10.0, "first", "k1", "entry-0", 4.0),
            charge(11.0, "resent", "k1", "entry-1"),
            charge(20.0, "later", "k1", "entry-2"),
        ],
    )
    fault_trace(
        "charge-resent",
        [],
        [ends(n, "finished") for n in ("first", "after", "late")]
        + [ends("meanwhile", "in_progress", "unknown")],
        [
            charge(10.0, "first", "k1", "entry-0"),
            charge(10.02, "meanwhile", "k1", "entry-1"),
            charge(12.0, "after", "k1", "entry-1"),
            charge(30.0, "late", "k1", "entry-2"),
        ],
    )
    fault_trace(
        "entry-isolated",
        [fault(10, "isolate_entry", "entry-0", 20)],
        [
            ends("before", "finished"),
            ends("isolated", "entry_fenced", "no"),
            ends("after", "finished"),
        ],
        [
            charge(12.0, "before", "", "entry-0"),
            charge(25.0, "isolated", "", "entry-0"),
            charge(35.0, "after", "", "entry-0"),
        ],
    )
    fault_trace(
        "control-restarts",
        [fault(10, "stop_control", "", 2.0)],
        [at_most("failed", 0), at_most("refused_not_run", 0)],
        background(),
    )
    fault_trace(
        "entry-restarts-after-changes",
        [fault(5, "kill_entry", "entry-0", 20)]
        + [
            fault(
                6 + n / 10,
                "patch",
                patch={"services": {"assistant": {"max_queue": 100 + n}}},
            )
            for n in range(100)
        ],
        [ends("back", "finished")],
        [*background(), charge(28.0, "back", "", "entry-0")],
    )
    fault_trace(
        "entry-drains",
        [fault(10, "drain_entry", "entry-1")],
        [at_most("failed", 0), ends("running", "finished")],
        [
            *background(),
            trace_lib.RequestLine(
                at=9.5,
                id="running",
                prompt_tokens=150_000,
                workspace="shop-1",
                entry="entry-1",
            ),
        ],
    )
    fault_trace(
        "all-together",
        [
            fault(8, "kill_endpoint", "assistant-0", 10),
            fault(9, "isolate_entry", "entry-0", 12),
            fault(10, "stop_control", "", 1.5),
            fault(12, "kill_endpoint", "assistant-1", 4),
            fault(13, "kill_entry", "entry-1", 3),
            fault(24, "kill_endpoint", "assistant-0", 5),
            fault(25, "stop_control", "", 1.5),
        ],
        [at_least("finished", 100)],
        [*background(), charge(13.5, "charge", "k9", "entry-2")],
    )


if __name__ == "__main__":
    workloads()
    shared_prefixes()
    failures()
