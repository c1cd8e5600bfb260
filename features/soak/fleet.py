"""Starts, signals and ends the real programs of a soak."""

import asyncio
import http.client
import json
import pathlib
import shutil
import signal
import subprocess
import sys
import time
import urllib.request

import attrs

from _coltsfootroad.fakes import launching
from _coltsfootroad.fakes import ports as ports_lib
from features.soak import audit
from features.soak import proxy as proxy_lib
from features.support import processstate

LAUNCHER = pathlib.Path(__file__).with_name("launch.py")
TOKEN = "soak-token"
HOST = ports_lib.process_host()
STOP_WAIT_S = 12.0
DUMP_S = 1.0


@attrs.define(eq=False)
class Program:
    """One process that is started again after it has ended."""

    name: str
    command: list[str]
    log: pathlib.Path
    process: subprocess.Popen | None = None
    starts: int = 0
    started_at: float = 0.0

    def start(self) -> None:
        """Start it; its output is added to its log."""
        self.starts += 1
        self.started_at = time.monotonic()
        with open(self.log, "ab") as log:
            self.process = launching.start(
                self.command, stdout=log, stderr=subprocess.STDOUT
            )

    @property
    def is_running(self) -> bool:
        """Return whether it has not ended."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to this process alone."""
        if self.is_running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End it without warning and wait until it is gone."""
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def stop(self) -> audit.Exit:
        """Ask it to stop; return how it ended."""
        began = time.monotonic()
        disposition = "already gone"
        if self.is_running:
            disposition = processstate.disposition(
                self.process.pid, signal.SIGTERM
            )
        self.signal(signal.SIGTERM)
        while self.is_running and time.monotonic() < began + STOP_WAIT_S:
            await asyncio.sleep(0.05)
        return audit.Exit(
            name=self.name,
            code=self.process.poll(),
            took_s=time.monotonic() - began,
            age_s=began - self.started_at,
            disposition=disposition,
        )


@attrs.define(eq=False)
class Fleet:
    """The replicas and gateways, with a proxy before each replica."""

    folder: pathlib.Path
    # Bytes a second of the link before each replica, 0 for no limit.
    rate: float = 0.0
    replicas: list[Program] = attrs.Factory(list)
    gateways: list[Program] = attrs.Factory(list)
    proxies: list[proxy_lib.Proxy] = attrs.Factory(list)
    # Replicas that were replaced, with their proxies, and the folders of
    # those that took their places.
    left: list[Program] = attrs.Factory(list)
    left_proxies: list[proxy_lib.Proxy] = attrs.Factory(list)
    folders: dict[int, str] = attrs.Factory(dict)
    replaced: int = 0
    addresses: list[str] = attrs.Factory(list)
    ready: list[str] = attrs.Factory(list)
    directory: list[str] = attrs.Factory(list)

    async def start(self, replicas: int, gateways: int) -> None:
        """Write the settings and start everything."""
        ports = ports_lib.free_ports(replicas, HOST)
        for port in ports:
            proxy = proxy_lib.Proxy((HOST, port), rate=self.rate)
            await proxy.start()
            self.proxies.append(proxy)
        for place, port in enumerate(ports):
            program = self.make_replica(place, port, f"r{place}")
            self.replicas.append(program)
        for place in range(gateways):
            self.add_gateway(place)
        for program in self.replicas + self.gateways:
            program.start()

    def seeds(self) -> list[str]:
        """Return the addresses of the replicas, as others reach them."""
        return [proxy.address for proxy in self.proxies]

    async def replace(self, place: int) -> Program:
        """Start a replica at a new address, with an empty disk.

        Returns the one that was there before, which runs on if it did.
        """
        old = self.replicas[place]
        (port,) = ports_lib.free_ports(1, HOST)
        proxy = proxy_lib.Proxy((HOST, port), rate=self.rate)
        await proxy.start()
        self.left_proxies.append(self.proxies[place])
        self.proxies[place] = proxy
        self.replaced += 1
        self.folders[place] = f"data-{place}-{self.replaced}"
        name = f"r{place}-{self.replaced}"
        self.replicas[place] = self.make_replica(place, port, name)
        self.later_start(place)
        self.replicas[place].start()
        self.left.append(old)
        return old

    def make_replica(self, place: int, port: int, name: str) -> Program:
        """Write the settings of a replica; return its program."""
        path = self.write(
            f"replica-{place}",
            {
                "replica": name,
                "availability_zone": f"z{place % 2}",
                "listen": f"{HOST}:{port}",
                "advertise": self.proxies[place].address,
                "admin_listen": f"{HOST}:{ports_lib.free_port(HOST)}",
                "admin_token": TOKEN,
                "data_folder": str(self.data(place)),
                "seeds": self.seeds(),
                "first_start": True,
                "lost_at_once": (len(self.proxies) - 1) // 2,
                "structured_logs": True,
            },
        )
        command = [sys.executable, str(LAUNCHER), "--settings", str(path)]
        command += ["--faults", str(self.faults(place))]
        log = self.folder / f"replica-{place}.log"
        return Program(f"replica {name}", command, log)

    def add_gateway(self, place: int) -> None:
        """Write the settings of a gateway."""
        names = ("listen", "ready_listen", "directory_listen", "peer_listen")
        found = ports_lib.free_ports(len(names), HOST)
        ports = {
            name: f"{HOST}:{port}"
            for name, port in zip(names, found, strict=True)
        }
        path = self.write(
            f"gateway-{place}",
            {
                "gateway": f"g{place}",
                "availability_zone": f"z{place % 2}",
                "seeds": self.seeds(),
                "retry_ratio": audit.RETRY_RATIO,
                "retry_slack": audit.RETRY_SLACK,
                "retry_window_s": audit.RETRY_WINDOW_S,
                **ports,
            },
        )
        self.addresses.append(ports["listen"])
        self.ready.append(ports["ready_listen"])
        self.directory.append(ports["directory_listen"])
        module = "_coltsfootroad.commands.gateway"
        command = [sys.executable, "-m", module, "--settings", str(path)]
        log = self.folder / f"gateway-{place}.log"
        self.gateways.append(Program(f"gateway {place}", command, log))

    def data(self, place: int) -> pathlib.Path:
        """Return the data folder of a replica."""
        return self.folder / self.folders.get(place, f"data-{place}")

    def faults(self, place: int) -> pathlib.Path:
        """Return the file that says how a replica misbehaves."""
        return self.folder / f"faults-{place}.json"

    def misbehave(self, place: int, **ways) -> None:
        """Say how a replica misbehaves from now on; nothing ends it."""
        self.faults(place).write_text(json.dumps(ways))

    def write(self, name: str, settings: dict) -> pathlib.Path:
        """Write a settings file."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        return path

    def later_start(self, place: int) -> None:
        """Let a replica know that the system has begun already."""
        path = self.folder / f"replica-{place}.json"
        settings = json.loads(path.read_text())
        path.write_text(json.dumps(settings | {"first_start": False}))

    def settings(self, place: int) -> dict:
        """Return the settings of a replica."""
        return json.loads((self.folder / f"replica-{place}.json").read_text())

    def identity(self, place: int) -> str:
        """Return the identity of a replica's present disk, empty for none."""
        try:
            text = (self.data(place) / "identity.json").read_text()
            disk = json.loads(text)["disk"]
        except (OSError, ValueError):
            return ""
        return f"{self.settings(place)['replica']}#{disk}"

    def dump(self, place: int) -> dict | None:
        """Return the state of a replica, None where it does not answer."""
        request = urllib.request.Request(
            f"http://{self.settings(place)['admin_listen']}/admin/dump",
            headers={"Authorization": f"Bearer {TOKEN}"},
        )
        try:
            with urllib.request.urlopen(request, timeout=DUMP_S) as answer:
                return json.load(answer)
        except (OSError, http.client.HTTPException):
            return None

    def has_started(self) -> bool:
        """Return whether all present replicas answer."""
        return all(self.dump(place) for place in range(len(self.replicas)))

    def tolerates_losses(self) -> bool:
        """Return whether a leader finds all present replicas to vote."""
        places = range(len(self.replicas))
        identities = {self.identity(place) for place in places}
        states = filter(None, map(self.dump, places))
        return any(is_whole(state, identities) for state in states)

    def wipe(self, place: int) -> None:
        """Take the disk of a replica that has ended."""
        shutil.rmtree(self.data(place), ignore_errors=True)

    async def close(self) -> None:
        """End what was started, by its ids."""
        for program in self.replicas + self.left + self.gateways:
            if program.is_running:
                program.signal(signal.SIGCONT)
                program.kill()
        for proxy in self.proxies + self.left_proxies:
            await proxy.close()


def is_whole(state: dict, identities: set[str]) -> bool:
    """Return whether a replica leads and has these as its voters, all well."""
    voters = state["replica_set"]["voters"]
    quorum = state["quorum"]
    is_reduced = (
        state["replica_set"]["old_voters"]
        or quorum["silent"]
        or quorum["lagging"]
    )
    return (
        state["info"]["role"] == "leader"
        and {f"{v['name']}#{v['disk']}" for v in voters} == identities
        and not is_reduced
    )
