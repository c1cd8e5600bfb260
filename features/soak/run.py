"""Runs soaks by seed: `python -m features.soak.run --seeds 1,2,3`."""

import asyncio
import pathlib
import random
import shutil
import tempfile
import threading
import time

from absl import app
from absl import flags

from _coltsfootroad.control import messages
from _coltsfootroad.shell import links
from features.soak import audit
from features.soak import callers
from features.soak import driver as driver_lib
from features.soak import endpoints as endpoints_lib
from features.soak import fleet as fleet_lib
from features.soak import honesty
from features.soak import plan
from features.soak import timeline
from features.support import machineload

SEEDS = flags.DEFINE_list("seeds", [], "Seeds to run; random if none.")
COUNT = flags.DEFINE_integer("count", 1, "Number of random seeds.")
SECONDS = flags.DEFINE_float(
    "seconds", 20.0, "Duration of the faults in seconds."
)
GATEWAYS = flags.DEFINE_integer("gateways", 4, "Number of gateways.")
ENDPOINTS = flags.DEFINE_integer("endpoints", 5, "Number of endpoints.")
REPLICAS = flags.DEFINE_integer("replicas", 3, "Number of replicas.")
REPLACING = flags.DEFINE_bool(
    "replacing", False, "Replace replicas, then wipe others."
)
CALLERS = flags.DEFINE_integer("callers", 8, "Number of callers.")
MBITS = flags.DEFINE_float(
    "mbits", 0.0, "Mbit/s of links to replicas; 0: no limit."
)
POISONS = flags.DEFINE_integer(
    "poisons", 0, "Poison requests, which crash the endpoints."
)
POISON_PARTS = flags.DEFINE_integer(
    "poison_parts", 0, "Parts of prompts that crash the endpoints."
)
SHEDDING = flags.DEFINE_bool(
    "shedding", False, "All endpoints shed while gateways restart in series."
)
CUTTING = flags.DEFINE_bool(
    "cutting", False, "Gateways are cut off from all endpoints in series."
)
EVACUATING = flags.DEFINE_bool(
    "evacuating", False, "Zones are evacuated one after the other."
)
ROUTES = flags.DEFINE_integer(
    "routes", 0, "Additional routes without requests."
)
KEEP = flags.DEFINE_string("keep", "", "Folder for the logs of failed seeds.")
FIRST_VERSION_TIMEOUT_S = 20.0
FINAL_READ_TIMEOUT_S = 6.0
BYTES_PER_MBIT = 125_000.0
# Excerpt of each log that is printed for a failed seed.
LOG_TAIL_LINES = 3
LOG_LINE_LENGTH = 200
# A soak that serves fewer requests proves too little and fails.
MIN_SERVED = 50


async def soak(
    seed: int, options: plan.SoakOptions, folder: pathlib.Path
) -> audit.Observations:
    """Run one seed and return the observations."""
    observed = audit.Observations()
    rng = random.Random(seed)
    fleet = fleet_lib.Fleet(
        folder,
        link_bytes_per_s=options.mbits * BYTES_PER_MBIT,
        cutting=options.cutting,
    )
    stopping = threading.Event()
    threads = []
    slots = []
    monitor = asyncio.ensure_future(observed.lateness.monitor_loop())
    try:
        await fleet.start(options.replicas, options.gateways)
        link = links.GrpcControlClient(tuple(fleet.seeds()))
        slots = [
            endpoints_lib.EndpointSlot(n, observed, link, rng)
            for n in range(options.endpoints)
        ]
        injector = driver_lib.FaultInjector(
            fleet, slots, observed, link, rng, options.routes
        )
        for slot in slots:
            slot.mark_runs_disturbed = injector.mark_runs_disturbed
            if options.evacuating:
                slot.zone = plan.zone_of(slot.number)
        await start_serving(injector, fleet)
        threads = start_callers(observed, fleet, stopping, options, seed)
        started_at = time.monotonic()
        await injector.run_faults(draw_faults_for(seed, options), started_at)
        end = started_at + injector.delay_s + options.callers_stop_s
        await asyncio.sleep(max(0.0, end - time.monotonic()))
        stopping.set()
        await asyncio.to_thread(join_threads, threads)
        await read_final_state(observed, fleet, link)
    finally:
        monitor.cancel()
        stopping.set()
        for slot in slots:
            if slot.endpoint is not None:
                await slot.close()
        await fleet.close()
        await asyncio.to_thread(join_threads, threads)
    return observed


def draw_faults_for(seed: int, options: plan.SoakOptions) -> list[plan.Fault]:
    """Return the faults of a soak."""
    if options.poisons or options.poison_parts:
        return plan.draw_with_poison(seed, options)
    if options.shedding:
        return plan.draw_with_shedding(seed, options)
    if options.cutting:
        return plan.draw_with_cuts(seed, options)
    if options.evacuating:
        return plan.draw_with_evacuations(seed, options)
    if options.replacing:
        return plan.draw_replacements(seed, options)
    return plan.draw_faults(seed, options)


async def start_serving(
    injector: driver_lib.FaultInjector, fleet: fleet_lib.Fleet
) -> None:
    """Apply the first version and start the endpoints."""
    end = time.monotonic() + FIRST_VERSION_TIMEOUT_S
    while await injector.put_config(injector.next_config(), "first") is None:
        if time.monotonic() > end:
            raise TimeoutError("no replica accepted a version")
    for index in range(len(fleet.replicas)):
        fleet.mark_as_started(index)
    await asyncio.gather(*(slot.start() for slot in injector.slots))


def start_callers(observed, fleet, stopping, options, seed) -> list:
    """Start the threads of the callers and of the version monitor."""
    gateways = {address: n for n, address in enumerate(fleet.addresses)}
    monitor = callers.VersionMonitor(
        observed, fleet.ready, fleet.gateways, stopping
    )
    targets = [monitor.run]
    kinds = (
        [callers.Caller] * options.callers
        + [callers.PoisonCaller] * options.poisons
        + [callers.PartPoisonCaller] * options.poison_parts
    )
    for number, kind in enumerate(kinds):
        caller = kind(
            number,
            observed,
            fleet.directory,
            gateways,
            stopping,
            random.Random(f"{seed}-{number}"),
            callers.initial_keys(),
        )
        targets.append(caller.run)
    threads = [threading.Thread(target=target) for target in targets]
    for thread in threads:
        thread.start()
    return threads


def join_threads(threads: list) -> None:
    """Wait for all threads to end."""
    for thread in threads:
        thread.join()


async def read_final_state(observed, fleet, link) -> None:
    """Read the configuration and the gateways' versions after all faults."""
    answer = await link.call(messages.ReadRoutes(), FINAL_READ_TIMEOUT_S)
    if answer.is_ok() and isinstance(answer.ok, messages.RoutesCopy):
        observed.read_back = (answer.ok.version, answer.ok.source)
    highest = max(observed.acknowledged_at, default=-1)
    for index, address in enumerate(fleet.ready):
        end = time.monotonic() + FINAL_READ_TIMEOUT_S
        version = -1
        while version < highest and time.monotonic() < end:
            found = await asyncio.to_thread(callers.read_version, address)
            version = -1 if found is None else found
            await asyncio.sleep(0.1)
        observed.final_versions[index] = version


def run_seed(
    seed: int,
    options: plan.SoakOptions,
    keep: str,
    folder: pathlib.Path | None = None,
) -> tuple[list[str], int]:
    """Run one seed; return the violations and the number served.

    Logs are written to `folder`, or to a temporary folder. If there are
    violations and `keep` is not empty, they are copied to a folder below it.
    """
    if folder is not None:
        return run_seed_in(seed, options, keep, folder)
    with tempfile.TemporaryDirectory(
        prefix="colts-soak-", ignore_cleanup_errors=True
    ) as name:
        return run_seed_in(seed, options, keep, pathlib.Path(name))


def run_seed_in(
    seed: int, options: plan.SoakOptions, keep: str, folder: pathlib.Path
) -> tuple[list[str], int]:
    """Run one seed with its logs in an existing folder."""
    before = machineload.measure()
    try:
        observed = asyncio.run(soak(seed, options, folder))
    except TimeoutError as error:
        violations, served = startup_violations(error, folder), 0
    else:
        violations, served = find_violations(observed)
        timeline.write(observed, folder / timeline.FILE)
        print(
            f"seed {seed}: {len(observed.outcomes)} requests, {served} served,"
            f" {len(observed.runs)} runs,"
            f" {len(observed.acknowledged_at)} versions,"
            f" {len(violations)} violations"
        )
    if violations:
        load = machineload.describe(before, machineload.measure())
        violations = [*violations, f"machine: {load}"]
    if violations and keep:
        kept = pathlib.Path(keep) / f"{seed}-{time.time_ns()}"
        shutil.copytree(folder, kept)
        (kept / "broken.txt").write_text("\n".join(violations) + "\n")
        violations = [
            *violations,
            f"logs are kept in {kept}",
            *last_log_lines(folder),
        ]
    return violations, served


def last_log_lines(folder: pathlib.Path) -> list[str]:
    """Return the last lines of each process's log."""
    found = []
    for log in sorted(folder.glob("*.log")):
        lines = log.read_text(errors="replace").splitlines()[-LOG_TAIL_LINES:]
        found += [f"{log.name}: {line[:LOG_LINE_LENGTH]}" for line in lines]
    return found


def find_violations(observed: audit.Observations) -> tuple[list[str], int]:
    """Return the violations and how many requests were served."""
    violations = [*audit.check(observed), *honesty.check(observed)]
    served = sum(
        200 <= o.status < 300 and o.complete for o in observed.outcomes
    )
    if served < MIN_SERVED:
        violations.append(f"only {served} requests were served")
    return violations, served


def startup_violations(error: TimeoutError, folder: pathlib.Path) -> list[str]:
    """Return why a fleet did not start, with the last line of each log."""
    violations = [f"the fleet did not start: {error}"]
    for log in sorted(folder.glob("*.log")):
        lines = log.read_text().splitlines() or ["no output"]
        violations.append(f"{log.name}: {lines[-1]}")
    return violations


def main(_: list[str]) -> int:
    """Run the seeds; return 1 if any had violations."""
    seed_source = random.SystemRandom()
    seeds = [int(seed) for seed in SEEDS.value]
    if not seeds:
        seeds = [seed_source.randrange(1_000_000) for _ in range(COUNT.value)]
    options = plan.SoakOptions(
        replicas=REPLICAS.value,
        replacing=REPLACING.value,
        seconds=SECONDS.value,
        gateways=GATEWAYS.value,
        endpoints=ENDPOINTS.value,
        callers=CALLERS.value,
        mbits=MBITS.value,
        routes=ROUTES.value,
        poisons=POISONS.value,
        poison_parts=POISON_PARTS.value,
        shedding=SHEDDING.value,
        cutting=CUTTING.value,
        evacuating=EVACUATING.value,
    )
    failed = 0
    for seed in seeds:
        violations, _ = run_seed(seed, options, KEEP.value)
        failed += bool(violations)
        for violation in violations:
            print(f"  {violation}")
    print(f"{len(seeds) - failed} seeds passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    app.run(main)
