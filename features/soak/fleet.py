"""Starts, signals and stops the gateway and replica processes of a soak."""

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
GATEWAY_LAUNCHER = pathlib.Path(__file__).with_name("launchgateway.py")
TOKEN = "soak-token"
HOST = ports_lib.process_host()
STOP_TIMEOUT_S = 12.0
DUMP_TIMEOUT_S = 1.0


@attrs.define(eq=False)
class Program:
    """A program that can be restarted after its process has exited."""

    name: str
    command: list[str]
    log: pathlib.Path
    process: subprocess.Popen | None = None
    starts: int = 0
    started_at: float = 0.0

    def start(self) -> None:
        """Start the process; its output is appended to the log."""
        self.starts += 1
        self.started_at = time.monotonic()
        with open(self.log, "ab") as log:
            self.process = launching.start(
                self.command, stdout=log, stderr=subprocess.STDOUT
            )

    @property
    def is_running(self) -> bool:
        """Return whether the process has been started and has not exited."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Send SIGKILL and wait for the process to exit."""
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def stop(self) -> audit.Exit:
        """Send SIGTERM and wait; return how the process exited."""
        stop_sent_at = time.monotonic()
        disposition = "already exited"
        if self.is_running:
            disposition = processstate.disposition(
                self.process.pid, signal.SIGTERM
            )
        self.signal(signal.SIGTERM)
        while (
            self.is_running and time.monotonic() < stop_sent_at + STOP_TIMEOUT_S
        ):
            await asyncio.sleep(0.05)
        return audit.Exit(
            name=self.name,
            code=self.process.poll(),
            took_s=time.monotonic() - stop_sent_at,
            age_s=stop_sent_at - self.started_at,
            disposition=disposition,
        )


@attrs.define(eq=False)
class Fleet:
    """Replicas and gateways, with a proxy in front of each replica."""

    folder: pathlib.Path
    # Rate of the link to each replica in bytes/s; 0 for no limit.
    link_bytes_per_s: float = 0.0
    # Whether the gateways' paths to endpoints can be cut.
    cutting: bool = False
    replicas: list[Program] = attrs.Factory(list)
    gateways: list[Program] = attrs.Factory(list)
    proxies: list[proxy_lib.Proxy] = attrs.Factory(list)
    # Replaced replicas and their proxies, and the data folders of the
    # replacements by index.
    replaced_replicas: list[Program] = attrs.Factory(list)
    replaced_proxies: list[proxy_lib.Proxy] = attrs.Factory(list)
    data_folders: dict[int, str] = attrs.Factory(dict)
    replacement_count: int = 0
    addresses: list[str] = attrs.Factory(list)
    ready: list[str] = attrs.Factory(list)
    directory: list[str] = attrs.Factory(list)

    async def start(self, replicas: int, gateways: int) -> None:
        """Write the settings and start all proxies and processes."""
        ports = ports_lib.free_ports(replicas, HOST)
        for port in ports:
            proxy = proxy_lib.Proxy(
                (HOST, port), link_bytes_per_s=self.link_bytes_per_s
            )
            await proxy.start()
            self.proxies.append(proxy)
        for index, port in enumerate(ports):
            program = self.create_replica(index, port, f"r{index}")
            self.replicas.append(program)
        for index in range(gateways):
            self.add_gateway(index)
        for program in self.replicas + self.gateways:
            program.start()

    def seeds(self) -> list[str]:
        """Return the proxied addresses of the replicas."""
        return [proxy.address for proxy in self.proxies]

    async def replace(self, index: int) -> Program:
        """Start a replacement replica at a new address with an empty disk.

        Returns the replaced replica, which is left running if it was.
        """
        old = self.replicas[index]
        (port,) = ports_lib.free_ports(1, HOST)
        proxy = proxy_lib.Proxy(
            (HOST, port), link_bytes_per_s=self.link_bytes_per_s
        )
        await proxy.start()
        self.replaced_proxies.append(self.proxies[index])
        self.proxies[index] = proxy
        self.replacement_count += 1
        self.data_folders[index] = f"data-{index}-{self.replacement_count}"
        name = f"r{index}-{self.replacement_count}"
        self.replicas[index] = self.create_replica(index, port, name)
        self.mark_as_started(index)
        self.replicas[index].start()
        self.replaced_replicas.append(old)
        return old

    def create_replica(self, index: int, port: int, name: str) -> Program:
        """Write a replica's settings; return its program, not yet started."""
        path = self.write_settings(
            f"replica-{index}",
            {
                "replica": name,
                "availability_zone": f"z{index % 2}",
                "listen": f"{HOST}:{port}",
                "advertise": self.proxies[index].address,
                "admin_listen": f"{HOST}:{ports_lib.free_port(HOST)}",
                "admin_token": TOKEN,
                "data_folder": str(self.data_folder(index)),
                "seeds": self.seeds(),
                "first_start": True,
                "lost_at_once": (len(self.proxies) - 1) // 2,
                "structured_logs": True,
            },
        )
        command = [sys.executable, str(LAUNCHER), "--settings", str(path)]
        command += ["--faults", str(self.faults_path(index))]
        log = self.folder / f"replica-{index}.log"
        return Program(f"replica {name}", command, log)

    def add_gateway(self, index: int) -> None:
        """Write a gateway's settings and add its program, not yet started."""
        names = ("listen", "ready_listen", "directory_listen", "peer_listen")
        found = ports_lib.free_ports(len(names), HOST)
        ports = {
            name: f"{HOST}:{port}"
            for name, port in zip(names, found, strict=True)
        }
        path = self.write_settings(
            f"gateway-{index}",
            {
                "gateway": f"g{index}",
                "availability_zone": f"z{index % 2}",
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
        command = [sys.executable, "-m", "_coltsfootroad.commands.gateway"]
        if self.cutting:
            command = [sys.executable, str(GATEWAY_LAUNCHER)]
            command += ["--faults", str(self.cut_path(index))]
        command += ["--settings", str(path)]
        log = self.folder / f"gateway-{index}.log"
        self.gateways.append(Program(f"gateway {index}", command, log))

    def data_folder(self, index: int) -> pathlib.Path:
        """Return the data folder of a replica."""
        return self.folder / self.data_folders.get(index, f"data-{index}")

    def faults_path(self, index: int) -> pathlib.Path:
        """Return the path of the file with a replica's active faults."""
        return self.folder / f"faults-{index}.json"

    def set_faults(self, index: int, **faults) -> None:
        """Replace a replica's active faults; none clears them."""
        self.faults_path(index).write_text(json.dumps(faults))

    def cut_path(self, index: int) -> pathlib.Path:
        """Return the path of the file with a gateway's active cut."""
        return self.folder / f"cut-{index}.json"

    def cut(self, index: int, instead: str, reset: bool) -> None:
        """Connect a gateway to another address instead of any endpoint."""
        cut = {"gateways": self.addresses, "instead": instead, "reset": reset}
        self.cut_path(index).write_text(json.dumps(cut))

    def heal(self, index: int) -> None:
        """Restore a gateway's paths to all endpoints."""
        self.cut_path(index).unlink(missing_ok=True)

    def write_settings(self, name: str, settings: dict) -> pathlib.Path:
        """Write a settings file."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        return path

    def mark_as_started(self, index: int) -> None:
        """Set a replica's `first_start` setting to false."""
        path = self.folder / f"replica-{index}.json"
        settings = json.loads(path.read_text())
        path.write_text(json.dumps(settings | {"first_start": False}))

    def read_settings(self, index: int) -> dict:
        """Return the settings of a replica."""
        return json.loads((self.folder / f"replica-{index}.json").read_text())

    def identity(self, index: int) -> str:
        """Return the identity of a replica's current disk; empty if unknown."""
        try:
            text = (self.data_folder(index) / "identity.json").read_text()
            disk = json.loads(text)["disk"]
        except (OSError, ValueError):
            return ""
        return f"{self.read_settings(index)['replica']}#{disk}"

    def fetch_dump(self, index: int) -> dict | None:
        """Return a replica's state dump, or None if it does not respond."""
        request = urllib.request.Request(
            f"http://{self.read_settings(index)['admin_listen']}/admin/dump",
            headers={"Authorization": f"Bearer {TOKEN}"},
        )
        try:
            with urllib.request.urlopen(
                request, timeout=DUMP_TIMEOUT_S
            ) as response:
                return json.load(response)
        except (OSError, http.client.HTTPException):
            return None

    def has_started(self) -> bool:
        """Return whether all current replicas respond."""
        return all(
            self.fetch_dump(index) for index in range(len(self.replicas))
        )

    def has_full_quorum(self) -> bool:
        """Return whether a leader sees all replicas as healthy voters."""
        indexes = range(len(self.replicas))
        identities = {self.identity(index) for index in indexes}
        states = filter(None, map(self.fetch_dump, indexes))
        return any(leads_full_quorum(state, identities) for state in states)

    def wipe(self, index: int) -> None:
        """Delete the data folder of a replica whose process has exited."""
        shutil.rmtree(self.data_folder(index), ignore_errors=True)

    async def close(self) -> None:
        """Kill all started processes, by process id, and close the proxies."""
        for program in self.replicas + self.replaced_replicas + self.gateways:
            if program.is_running:
                program.signal(signal.SIGCONT)
                program.kill()
        for proxy in self.proxies + self.replaced_proxies:
            await proxy.close()


def leads_full_quorum(state: dict, identities: set[str]) -> bool:
    """Return whether a replica leads exactly these voters, all healthy."""
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
