"""Runs the benchmarks on this machine; prints one line per figure."""

import asyncio
import json
import os
import pathlib
import random
import sys
import tempfile
import time

import numpy
import psutil
from tornado import curl_httpclient

from _coltsfootroad.control import configstore
from _coltsfootroad.control import coordinator as coordinator_lib
from _coltsfootroad.control import messages
from _coltsfootroad.control import node as node_lib
from _coltsfootroad.control import replicas
from _coltsfootroad.control import state as state_lib
from _coltsfootroad.core import addresses
from _coltsfootroad.core import endpoints
from _coltsfootroad.core import limits
from _coltsfootroad.core import policies
from _coltsfootroad.core import pool as pool_lib
from _coltsfootroad.core import registry
from _coltsfootroad.core import request as request_lib
from _coltsfootroad.fakes import fleet as fleet_lib
from _coltsfootroad.shell import disk as disk_lib
from _coltsfootroad.shell import wireformats

REPEATS = 2_000
REQUESTS = 300
IDLE_S = 5.0
COMMANDS = 2_000
# Workspaces with concurrent requests at one entry.
BUSY_WORKSPACES = 10


def print_figure(name: str, value: object) -> None:
    """Print one figure."""
    print(f"{name}: {value}", flush=True)


def mean_cost_us(call, repeats: int = REPEATS) -> float:
    """Return the mean CPU time of a call in microseconds."""
    started = time.process_time()
    for _ in range(repeats):
        call()
    return round((time.process_time() - started) / repeats * 1e6, 1)


# --- decisions -----------------------------------------------------------------


def make_pool(count: int) -> pool_lib.ServicePool:
    """Return a pool of idle and busy engines."""
    pool = pool_lib.ServicePool("assistant", "entry/1", random.Random(1))
    for number in range(count):
        pool.update(
            registry.Announcement(
                endpoint=f"engine-{number}",
                incarnation=1,
                seq=1,
                service="assistant",
                kv_tokens=400_000,
            ),
            0.0,
        )
        if number % 3 == 0:
            view = pool.views[f"engine-{number}"]
            view.backlog[2] = 200_000.0
            pool.classify(view)
    return pool


def decision_cost() -> None:
    """Measure a routing decision by the number of endpoints."""
    request = request_lib.Request(
        request_id="r",
        workspace="w",
        service="assistant",
        prompt_tokens=1_500,
        output_tokens=64,
        arrived_at=0.0,
        deadline_at=60.0,
    )
    for count in (10, 100, 1_000):
        pool = make_pool(count)
        for name, band in (("short", 0), ("long", 2)):
            policy = policies.ShortSlowdown()
            cost = mean_cost_us(
                lambda p=policy, b=band, q=pool: p.choose(request, b, q, 0.0)
            )
            print_figure(f"decision_us[{name}, {count} endpoints]", cost)


# --- control -------------------------------------------------------------------


def make_coordinator(
    entries: int, servers: int, workspaces: int
) -> coordinator_lib.Coordinator:
    """Return a coordinator that knows a fleet."""
    state = state_lib.ControlState()
    document = {
        "services": {"assistant": {}},
        "workspaces": {
            f"w{n}": {"services": ["assistant"], "concurrency": 1_000}
            for n in range(workspaces)
        },
    }
    state.apply(
        messages.PatchConfig(
            patch_id="p", base_version=0, patch=json.dumps(document).encode()
        ),
        0.0,
    )
    coordinator = coordinator_lib.Coordinator("e", state, started_at=-100.0)
    for number in range(entries):
        coordinator.update_member(make_member(number), 0.0)
    for number in range(servers):
        coordinator.record_announcement(make_announcement(number, 1), 0.0)
    return coordinator


def make_member(number: int) -> addresses.Member:
    """Return an entry."""
    return addresses.Member(
        entry=f"entry-{number}", incarnation=1, address=f"10.0.0.{number}:80"
    )


def make_announcement(number: int, seq: int) -> registry.Announcement:
    """Return an endpoint's announcement."""
    return registry.Announcement(
        endpoint=f"engine-{number}",
        incarnation=1,
        seq=seq,
        service="assistant",
        address=f"10.1.{number // 250}.{number % 250}:80",
        kv_tokens=400_000,
    )


def make_load(number: int, seq: int) -> messages.AgedLoad:
    """Return an endpoint's load report."""
    report = endpoints.LoadReport(
        endpoint=f"engine-{number}", incarnation=1, seq=seq, measured_at=0.0
    )
    return messages.AgedLoad(report=report, age_s=0.1)


def heartbeat_cost() -> None:
    """Measure a heartbeat by entries, servers and workspaces."""
    for entries, servers, workspaces in (
        (9, 17, 10),
        (9, 170, 10),
        (9, 1_700, 10),
        (90, 170, 10),
        (520, 170, 10),
        (9, 17, 310),
    ):
        coordinator = make_coordinator(entries, servers, workspaces)
        label = f"{entries} entries, {servers} servers, {workspaces} workspaces"
        measure_heartbeat(coordinator, label, servers, entries, workspaces)


def measure_heartbeat(coordinator, label, servers, entries, workspaces) -> None:
    """Measure one entry's heartbeat with one second of load reports."""
    share = max(1, servers // entries)
    sequence = [1]
    sizes = []

    def exchange_heartbeat() -> None:
        sequence[0] += 1
        for number in range(servers):
            load = make_load(number, sequence[0])
            coordinator.record_load(load.report, 0.0)
        mark = coordinator.last_revision
        request = messages.SyncRequest(
            member=make_member(0),
            config_version=1,
            epoch="e",
            registry_mark=mark - servers,
            loads=tuple(make_load(n, sequence[0]) for n in range(share)),
            demands=tuple(
                limits.Demand(workspace=f"w{n}", concurrency=1)
                for n in range(min(workspaces, BUSY_WORKSPACES))
            ),
        )
        data = wireformats.CALLS.encode(request)
        reply = coordinator.on_sync(wireformats.CALLS.decode(data).ok, 0.0)
        answer = wireformats.CALLS.encode(reply)
        wireformats.CALLS.decode(answer)
        sizes[:] = [len(data), len(answer)]

    cost = mean_cost_us(exchange_heartbeat, 30)
    print_figure(f"heartbeat_us[{label}]", cost)
    print_figure(f"heartbeat_bytes[{label}]", f"{sizes[0]} up, {sizes[1]} down")


def config_cost() -> None:
    """Measure a patch and its delta by the number of workspaces."""
    for workspaces in (10, 310):
        coordinator = make_coordinator(1, 1, workspaces)
        store = coordinator.state.configs
        number = [0]

        def patch(s=store, n=number) -> None:
            n[0] += 1
            s.patch(
                messages.PatchConfig(
                    patch_id=f"x{n[0]}",
                    base_version=s.version,
                    patch=b'{"fleet": {"address_validity_s": 7}}',
                )
            )

        print_figure(
            f"patch_us[{workspaces} workspaces]", mean_cost_us(patch, 100)
        )
        delta = store.update_since(store.version - 1)
        print_figure(
            f"config_bytes[{workspaces} workspaces]",
            f"complete {len(json.dumps(store.document))},"
            f" delta {len(wireformats.CALLS.encode(delta))}",
        )
        print_figure(
            f"adopt_us[{workspaces} workspaces]",
            mean_cost_us(
                lambda s=store, d=delta: configstore.parse_document(
                    configstore.apply_update(
                        s.version - 1, dict(s.document), d
                    )[1]
                ),
                100,
            ),
        )


def make_node(folder: pathlib.Path) -> node_lib.ControlNode:
    """Return a single replica with a data folder on disk."""
    disk = disk_lib.DataFolder(folder)
    disk.open()
    node = node_lib.ControlNode(
        replica=replicas.Replica(name="a", disk=disk.disk, address=""),
        storage=disk,
        send=lambda *_: None,
        wall_clock=time.time,
        rng=random.Random(1),
    )
    node.bootstrap(10.0)
    return node


def claim(number: int) -> messages.TakeClaim:
    """Return a claim with a unique key."""
    return messages.TakeClaim(
        workspace="w",
        key=f"k{number}",
        key_time=time.time(),
        body_hash="h",
        token=f"t{number}",
        lease_s=5.0,
    )


def commit_rate() -> None:
    """Measure claims per second by the number of claims per sync."""
    for group in (1, 8, 64):
        with tempfile.TemporaryDirectory() as name:
            node = make_node(pathlib.Path(name))
            answers = []
            started = time.perf_counter()
            for number in range(COMMANDS):
                node.call(claim(number), 10.0, answers.append)
                if number % group == group - 1:
                    node.process(10.0)
            node.process(10.0)
            took = time.perf_counter() - started
            print_figure(
                f"claims_per_s[{group} per sync]", round(len(answers) / took)
            )
            measure_recovery(pathlib.Path(name), node, group)
            node.storage.close()


def measure_recovery(folder, node, group) -> None:
    """Measure the time to load the log at a restart."""
    node.storage.close()
    started = time.perf_counter()
    disk = disk_lib.DataFolder(folder)
    disk.open()
    loaded = disk.load()
    took = round((time.perf_counter() - started) * 1e3, 1)
    print_figure(
        f"recovery_ms[{group} per sync]",
        f"{took} for {len(loaded.log.entries)} entries",
    )
    disk.close()


def claim_memory() -> None:
    """Measure the memory of a stored claim."""
    process = psutil.Process()
    state = state_lib.ControlState()
    before = process.memory_info().rss
    count = 100_000
    for number in range(count):
        state.apply(claim(number), time.time())
    used = process.memory_info().rss - before
    print_figure("claim_bytes", round(used / count))


# --- processes -----------------------------------------------------------------


def process_figures() -> None:
    """Measure memory, idle load, latency and throughput of the programs."""
    with tempfile.TemporaryDirectory() as name:
        fleet = fleet_lib.Fleet(
            pathlib.Path(name),
            replicas=3,
            entry_count=9,
            engines=14,
            plain=3,
            engine_speed={"prefill_rate": 5e6, "token_s": 1e-5},
            sync_interval_s=0.5,
        )
        try:
            fleet.start(fleet_lib.default_config())
            idle_figures(fleet)
            patch_figures(fleet)
            asyncio.run(latency_figures(fleet))
        finally:
            fleet.stop()


def idle_figures(fleet: fleet_lib.Fleet) -> None:
    """Measure memory and CPU time of idle programs."""
    names = [n for n in fleet.programs if n != "fakes"]
    handles = {n: psutil.Process(fleet.programs[n].process.pid) for n in names}
    before = {n: sum(h.cpu_times()[:2]) for n, h in handles.items()}
    time.sleep(IDLE_S)
    for name in ("entry-0", "entry-8", "control-0", "control-1"):
        handle = handles[name]
        used = sum(handle.cpu_times()[:2]) - before[name]
        memory = handle.memory_info().rss / 2**20
        print_figure(
            f"idle[{name}]",
            f"{memory:.0f} MB, {used / IDLE_S * 100:.2f}% of a core",
        )


def patch_figures(fleet: fleet_lib.Fleet) -> None:
    """Measure the time until all nine entries use a patch."""
    times = []
    leader = fleet.leader()
    for number in range(12):
        document = {"services": {"assistant": {"max_queue": 100 + number}}}
        response = fleet.admin_fetch(
            leader,
            "/v1/config",
            method="PATCH",
            body=json.dumps(document),
            headers={"If-Match": str(number + 1), "X-Patch-Id": f"b{number}"},
        )
        version = json.loads(response.body)["version"]
        started = time.perf_counter()
        while not in_force(fleet, version):
            time.sleep(0.005)
        times.append(time.perf_counter() - started)
    print_figure(
        "in_force_s[9 entries]",
        f"p50 {numpy.percentile(times, 50):.2f}, max {max(times):.2f}",
    )


def in_force(fleet: fleet_lib.Fleet, version: int) -> bool:
    """Return whether all entries use a configuration version."""
    for number in range(fleet.entry_count):
        url = f"http://{fleet.listen[f'entry-{number}']}/health"
        if json.loads(fleet.fetch(url).body)["version"] < version:
            return False
    return True


async def latency_figures(fleet: fleet_lib.Fleet) -> None:
    """Measure the latency that an entry adds, and its throughput."""
    client = curl_httpclient.CurlAsyncHTTPClient(
        force_instance=True, max_clients=200
    )
    direct_url = f"http://{fleet.listen['billing-0']}/x"
    entry_url = f"http://{fleet.listen['entry-0']}/services/billing/x"
    headers = {"Authorization": f"Bearer {fleet_lib.API_KEY}"}
    direct_s = await latencies(client, direct_url, headers)
    through_s = await latencies(client, entry_url, headers)
    for percent in (50, 99):
        base = numpy.percentile(direct_s, percent) * 1e3
        full = numpy.percentile(through_s, percent) * 1e3
        print_figure(
            f"latency_ms[p{percent}]",
            f"direct {base:.2f}, through an entry {full:.2f},"
            f" ratio {full / base:.1f}",
        )
    await throughput(client, fleet, entry_url, headers)


async def latencies(client, url: str, headers: dict) -> list[float]:
    """Return the durations of sequential calls in seconds."""
    durations_s = []
    for _ in range(REQUESTS):
        started = time.perf_counter()
        await client.fetch(url, headers=headers)
        durations_s.append(time.perf_counter() - started)
    return durations_s


async def throughput(client, fleet, entry_url: str, headers: dict) -> None:
    """Measure requests and streamed tokens per second of one entry."""
    handle = psutil.Process(fleet.programs["entry-0"].process.pid)
    body = json.dumps(
        {
            "model": "assistant",
            "prompt": "a question",
            "max_tokens": 256,
            "stream": True,
        }
    )
    url = f"http://{fleet.listen['entry-0']}/v1/completions"
    for label, arguments, tokens in (
        ("plain", {}, 0),
        ("stream", {"method": "POST", "body": body}, 256),
    ):
        target = url if arguments else entry_url
        before = sum(handle.cpu_times()[:2])
        started = time.perf_counter()
        for _ in range(REQUESTS // 30):
            await asyncio.gather(
                *(
                    client.fetch(target, headers=headers, **arguments)
                    for _ in range(30)
                )
            )
        took = time.perf_counter() - started
        used = sum(handle.cpu_times()[:2]) - before
        rate = REQUESTS / max(used, 1e-3)
        print_figure(
            f"throughput[{label}]",
            f"{REQUESTS / took:.0f} requests/s, {rate:.0f} per core-second,"
            f" {rate * tokens:.0f} tokens per core-second",
        )


def main() -> None:
    """Run the benchmarks named on the command line, all by default."""
    measurements = {
        "decisions": decision_cost,
        "heartbeats": heartbeat_cost,
        "config": config_cost,
        "commits": commit_rate,
        "claims": claim_memory,
        "processes": process_figures,
    }
    print_figure(
        "machine", f"{os.cpu_count()} cores, Python {sys.version.split()[0]}"
    )
    for name in sys.argv[1:] or measurements:
        measurements[name]()


if __name__ == "__main__":
    main()
