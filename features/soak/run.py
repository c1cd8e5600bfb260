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
from features.soak import plan
from features.soak import timeline
from features.support import machineload

SEEDS = flags.DEFINE_list("seeds", [], "Seeds to run; drawn if none.")
COUNT = flags.DEFINE_integer("count", 1, "How many seeds to draw.")
SECONDS = flags.DEFINE_float("seconds", 20.0, "Seconds of faults.")
GATEWAYS = flags.DEFINE_integer("gateways", 4, "Gateways.")
ENDPOINTS = flags.DEFINE_integer("endpoints", 5, "Endpoints.")
REPLICAS = flags.DEFINE_integer("replicas", 3, "Replicas.")
REPLACING = flags.DEFINE_bool(
    "replacing", False, "Replace replicas, and wipe others soon afterwards."
)
CALLERS = flags.DEFINE_integer("callers", 8, "Callers.")
MBITS = flags.DEFINE_float("mbits", 0.0, "Rate of links to replicas; 0: none.")
POISONS = flags.DEFINE_integer(
    "poisons", 0, "Requests that end each endpoint that runs them."
)
SHEDDING = flags.DEFINE_bool(
    "shedding", False, "All endpoints shed while gateways restart in series."
)
ROUTES = flags.DEFINE_integer("routes", 0, "Routes that nobody asks for.")
KEEP = flags.DEFINE_string("keep", "", "Folder for the logs of failures.")
FIRST_VERSION_S = 20.0
FINAL_S = 6.0
BYTES_A_MBIT = 125_000.0
# What is shown of the logs of a failure.
LAST_LINES = 3
LINE_LENGTH = 200
# Fewest requests that must have been served for a soak to say anything.
MIN_SERVED = 50


async def soak(seed: int, size: plan.Size, folder: pathlib.Path) -> audit.Book:
    """Run one seed and return what was seen."""
    book = audit.Book()
    rng = random.Random(seed)
    fleet = fleet_lib.Fleet(folder, rate=size.mbits * BYTES_A_MBIT)
    stopping = threading.Event()
    threads = []
    places = []
    watch = asyncio.ensure_future(book.lateness.watch_loop())
    try:
        await fleet.start(size.replicas, size.gateways)
        link = links.GrpcControlClient(tuple(fleet.seeds()))
        places = [
            endpoints_lib.Place(n, book, link, rng)
            for n in range(size.endpoints)
        ]
        driver = driver_lib.Driver(fleet, places, book, link, rng, size.routes)
        for place in places:
            place.unsound = driver.unsound
        await begin(driver, fleet)
        threads = start_callers(book, fleet, stopping, size, seed)
        began = time.monotonic()
        await driver.carry_out(faults_of(seed, size), began)
        end = began + driver.delay_s + size.end_s
        await asyncio.sleep(max(0.0, end - time.monotonic()))
        stopping.set()
        await asyncio.to_thread(join, threads)
        await look_back(book, fleet, link)
    finally:
        watch.cancel()
        stopping.set()
        for place in places:
            if place.endpoint is not None:
                await place.close()
        await fleet.close()
        await asyncio.to_thread(join, threads)
    return book


def faults_of(seed: int, size: plan.Size) -> list[plan.Fault]:
    """Return the faults that a soak brings about."""
    if size.poisons:
        return plan.draw_beside_poison(seed, size)
    if size.shedding:
        return plan.draw_beside_shedding(seed, size)
    if size.replacing:
        return plan.draw_replacements(seed, size)
    return plan.draw(seed, size)


async def begin(driver: driver_lib.Driver, fleet: fleet_lib.Fleet) -> None:
    """Bring the first version in force and the endpoints in."""
    end = time.monotonic() + FIRST_VERSION_S
    while await driver.put(driver.next_config(), "first") is None:
        if time.monotonic() > end:
            raise TimeoutError("no replica took a version")
    for place in range(len(fleet.replicas)):
        fleet.later_start(place)
    await asyncio.gather(*(place.begin() for place in driver.places))


def start_callers(book, fleet, stopping, size, seed) -> list:
    """Start the threads of the callers and of the one that looks on."""
    gateways = {address: n for n, address in enumerate(fleet.addresses)}
    watch = callers.VersionWatch(book, fleet.ready, fleet.gateways, stopping)
    works = [watch.run]
    for number in range(size.callers + size.poisons):
        kind = callers.Caller
        if number >= size.callers:
            kind = callers.PoisonCaller
        caller = kind(
            number,
            book,
            fleet.directory,
            gateways,
            stopping,
            random.Random(f"{seed}-{number}"),
            callers.key_names(),
        )
        works.append(caller.run)
    threads = [threading.Thread(target=work) for work in works]
    for thread in threads:
        thread.start()
    return threads


def join(threads: list) -> None:
    """Wait until all threads have ended."""
    for thread in threads:
        thread.join()


async def look_back(book, fleet, link) -> None:
    """Read what is left once all faults are over."""
    answer = await link.call(messages.ReadRoutes(), FINAL_S)
    if answer.is_ok() and isinstance(answer.ok, messages.RoutesCopy):
        book.read_back = (answer.ok.version, answer.ok.source)
    highest = max(book.acknowledged, default=-1)
    for place, address in enumerate(fleet.ready):
        end = time.monotonic() + FINAL_S
        version = -1
        while version < highest and time.monotonic() < end:
            found = await asyncio.to_thread(callers.read_version, address)
            version = -1 if found is None else found
            await asyncio.sleep(0.1)
        book.final_versions[place] = version


def run_seed(
    seed: int, size: plan.Size, keep: str, folder: pathlib.Path | None = None
) -> tuple[list[str], int]:
    """Run one seed; return what was broken and how many were served.

    Logs are written to `folder`, or to one that is removed afterwards. They are
    kept in a folder `keep`, if it is named, when anything was broken.
    """
    if folder is not None:
        return run_seed_in(seed, size, keep, folder)
    with tempfile.TemporaryDirectory(
        prefix="colts-soak-", ignore_cleanup_errors=True
    ) as name:
        return run_seed_in(seed, size, keep, pathlib.Path(name))


def run_seed_in(
    seed: int, size: plan.Size, keep: str, folder: pathlib.Path
) -> tuple[list[str], int]:
    """Run one seed, with its logs in a folder that stays."""
    before = machineload.read()
    try:
        book = asyncio.run(soak(seed, size, folder))
    except TimeoutError as error:
        faults, served = not_started(error, folder), 0
    else:
        faults, served = judge(book)
        timeline.write(book, folder / timeline.FILE)
        print(
            f"seed {seed}: {len(book.outcomes)} requests, {served} served,"
            f" {len(book.runs)} runs, {len(book.acknowledged)} versions,"
            f" {len(faults)} broken promises"
        )
    if faults:
        found = machineload.words(before, machineload.read())
        faults = [*faults, f"machine: {found}"]
    if faults and keep:
        kept = pathlib.Path(keep) / f"{seed}-{time.time_ns()}"
        shutil.copytree(folder, kept)
        (kept / "broken.txt").write_text("\n".join(faults) + "\n")
        faults = [*faults, f"logs are kept in {kept}", *last_lines(folder)]
    return faults, served


def last_lines(folder: pathlib.Path) -> list[str]:
    """Return the last lines of each program's log."""
    found = []
    for log in sorted(folder.glob("*.log")):
        lines = log.read_text(errors="replace").splitlines()[-LAST_LINES:]
        found += [f"{log.name}: {line[:LINE_LENGTH]}" for line in lines]
    return found


def judge(book: audit.Book) -> tuple[list[str], int]:
    """Return what was broken and how many requests were served."""
    faults = audit.check(book)
    served = sum(200 <= o.status < 300 and o.whole for o in book.outcomes)
    if served < MIN_SERVED:
        faults.append(f"only {served} requests were served")
    return faults, served


def not_started(error: TimeoutError, folder: pathlib.Path) -> list[str]:
    """Return why a fleet did not start, with the last word of each program."""
    faults = [f"the fleet did not start: {error}"]
    for log in sorted(folder.glob("*.log")):
        lines = log.read_text().splitlines() or ["no output"]
        faults.append(f"{log.name}: {lines[-1]}")
    return faults


def main(_: list[str]) -> int:
    """Run the seeds; the exit code is 1 if any broke a promise."""
    draws = random.SystemRandom()
    seeds = [int(seed) for seed in SEEDS.value]
    if not seeds:
        seeds = [draws.randrange(1_000_000) for _ in range(COUNT.value)]
    size = plan.Size(
        replicas=REPLICAS.value,
        replacing=REPLACING.value,
        seconds=SECONDS.value,
        gateways=GATEWAYS.value,
        endpoints=ENDPOINTS.value,
        callers=CALLERS.value,
        mbits=MBITS.value,
        routes=ROUTES.value,
        poisons=POISONS.value,
        shedding=SHEDDING.value,
    )
    broken = 0
    for seed in seeds:
        faults, _ = run_seed(seed, size, KEEP.value)
        broken += bool(faults)
        for fault in faults:
            print(f"  {fault}")
    print(f"{len(seeds) - broken} seeds held, {broken} broke a promise")
    return 1 if broken else 0


if __name__ == "__main__":
    app.run(main)
