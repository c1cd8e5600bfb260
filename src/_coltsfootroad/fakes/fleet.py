"""Starts a complete system as processes on loopback, for tests and the demo.

It ends only the processes that it started, by process id.
"""

import hashlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import attrs
import tornado.httpclient

from _coltsfootroad.fakes import launching
from _coltsfootroad.fakes import ports as ports_lib

HOST = ports_lib.HOST
ADMIN_TOKEN = "fleet-test-token"
API_KEY = "fleet-test-key"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05


@attrs.define
class Program:
    """A program with its command line, log file and process."""

    name: str
    command: list[str]
    log: pathlib.Path
    process: subprocess.Popen | None = None

    def start(self, *more: str) -> None:
        """Start the process."""
        with open(self.log, "ab") as log:
            self.process = launching.start(
                [*self.command, *more],
                stdout=log,
                stderr=log,
                env=os.environ | {"GRPC_VERBOSITY": "NONE"},
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def stop(self) -> int:
        """Stop the process with SIGTERM; return its exit code."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(STOP_TIMEOUT_S)


def module(name: str) -> list[str]:
    """Return the command line that runs a module of this package."""
    return [sys.executable, "-m", f"_coltsfootroad.{name}"]


@attrs.define
class Fleet:
    """Control replicas, entries and fake endpoints."""

    folder: pathlib.Path
    replicas: int = 1
    entry_count: int = 2
    engines: int = 2
    plain: int = 1
    plain_s: float = 0.0
    engine_speed: dict = attrs.Factory(dict)
    sync_interval_s: float = 0.2
    # Settings of the entries beside those that the fleet needs.
    entry_settings: dict = attrs.Factory(dict)
    programs: dict[str, Program] = attrs.Factory(dict)
    listen: dict[str, str] = attrs.Factory(dict)
    admin: dict[str, str] = attrs.Factory(dict)
    peer: dict[str, str] = attrs.Factory(dict)
    client: tornado.httpclient.HTTPClient = attrs.Factory(
        tornado.httpclient.HTTPClient
    )

    # --- start and stop --------------------------------------------------

    def start(self, config: dict) -> None:
        """Start all processes and apply a configuration."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.assign_addresses()
        for number in range(self.replicas):
            self.write_control(number)
        for number in range(self.entry_count):
            self.write_entry(number)
        self.write_ctl()
        self.start_control()
        for number in range(self.entry_count):
            self.programs[f"entry-{number}"].start()
        self.write_fakes()
        self.programs["fakes"].start()
        self.patch(0, config)
        self.wait_for(self.is_ready, "the entries to be ready")

    def assign_addresses(self) -> None:
        """Assign the addresses of all processes."""
        names = [f"control-{n}" for n in range(self.replicas)]
        names += [f"entry-{n}" for n in range(self.entry_count)]
        ports = ports_lib.free_ports(3 * len(names) + self.engines + self.plain)
        for name in names:
            self.listen[name] = f"{HOST}:{ports.pop()}"
            self.admin[name] = f"{HOST}:{ports.pop()}"
            self.peer[name] = f"{HOST}:{ports.pop()}"
        for number in range(self.engines):
            self.listen[f"engine-{number}"] = f"{HOST}:{ports.pop()}"
        for number in range(self.plain):
            self.listen[f"billing-{number}"] = f"{HOST}:{ports.pop()}"

    def add_program(self, name: str, module_name: str, document: dict) -> None:
        """Write the settings of a program and register it."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(document))
        command = module(module_name)
        if module_name.startswith("commands"):
            command += ["--settings", str(path)]
        else:
            command.append(str(path))
        log = self.folder / f"{name}.log"
        self.programs[name] = Program(name, command, log)

    def write_control(self, number: int, data: str = "data") -> None:
        """Write the settings of a replica."""
        name = f"control-{number}"
        document = {
            "replica": name,
            "listen": self.listen[name],
            "admin_listen": self.admin[name],
            "admin_token": ADMIN_TOKEN,
            "data_folder": str(self.folder / f"{name}-{data}"),
        }
        self.add_program(name, "commands.control", document)

    def write_entry(self, number: int) -> None:
        """Write the settings of an entry."""
        name = f"entry-{number}"
        document = {
            "entry": name,
            "availability_zone": f"zone-{number % 3}",
            "listen": self.listen[name],
            "admin_listen": self.admin[name],
            "admin_token": ADMIN_TOKEN,
            "peer_listen": self.peer[name],
            "control": [
                self.listen[f"control-{n}"] for n in range(self.replicas)
            ],
            "sync_interval_s": self.sync_interval_s,
            **self.entry_settings,
        }
        self.add_program(name, "commands.entry", document)

    def write_ctl(self) -> None:
        """Write the settings of `colts-ctl`."""
        document = {
            "control": [
                self.admin[f"control-{n}"] for n in range(self.replicas)
            ],
            "admin_token": ADMIN_TOKEN,
        }
        (self.folder / "ctl.json").write_text(json.dumps(document))

    def write_fakes(self) -> None:
        """Write the settings of the fake endpoints."""
        engines = [
            {
                "name": f"engine-{n}",
                "service": "assistant",
                "address": self.listen[f"engine-{n}"],
                "speed": self.engine_speed,
            }
            for n in range(self.engines)
        ]
        plain = [
            {
                "name": f"billing-{n}",
                "service": "billing",
                "kind": "plain",
                "address": self.listen[f"billing-{n}"],
                "plain_s": self.plain_s,
            }
            for n in range(self.plain)
        ]
        document = {
            "entries": [
                self.listen[f"entry-{n}"] for n in range(self.entry_count)
            ],
            "endpoints": engines + plain,
            "run_log": str(self.folder / "runs.json"),
        }
        self.add_program("fakes", "fakes.serve", document)

    def start_control(self) -> None:
        """Bootstrap the first replica and add the others."""
        self.programs["control-0"].start("--bootstrap")
        self.wait_for(lambda: self.status() is not None, "a leader")
        for number in range(1, self.replicas):
            name = f"control-{number}"
            self.programs[name].start()
            self.wait_for(
                lambda n=name: self.replica_info(n), f"{name} to answer"
            )
            outcome = self.ctl("replica", "add", self.admin[name])
            if outcome.returncode:
                raise RuntimeError(f"adding {name}: {outcome.stderr}")

    def stop(self) -> None:
        """Kill all processes that still run."""
        for program in self.programs.values():
            program.kill()
        self.client.close()

    # --- state -----------------------------------------------------------

    def wait_for(self, check, what: str) -> None:
        """Wait until `check` returns true; `what` describes it in the error."""
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end:
            if check():
                return
            time.sleep(POLL_INTERVAL_S)
        raise RuntimeError(f"timed out waiting for {what}")

    def fetch(self, url: str, **arguments):
        """Return a response, None if there was none."""
        try:
            return self.client.fetch(
                url, raise_error=False, request_timeout=60.0, **arguments
            )
        except (OSError, tornado.httpclient.HTTPError):
            return None

    def admin_fetch(self, name: str, path: str, **arguments):
        """Return a response of a process's admin listener."""
        headers = arguments.pop("headers", {})
        headers["Authorization"] = f"Bearer {ADMIN_TOKEN}"
        url = f"http://{self.admin[name]}{path}"
        return self.fetch(url, headers=headers, **arguments)

    def replica_info(self, name: str) -> dict | None:
        """Return a replica's own status, None if it does not answer."""
        response = self.admin_fetch(name, "/v1/replica")
        if response is None or response.code != 200:
            return None
        return json.loads(response.body)

    def status(self) -> dict | None:
        """Return the leader's status, None while there is no leader."""
        for number in range(self.replicas):
            response = self.admin_fetch(f"control-{number}", "/v1/status")
            if response is not None and response.code == 200:
                return json.loads(response.body)
        return None

    def leader(self) -> str | None:
        """Return the name of the leading replica."""
        status = self.status()
        return status["leader"].partition("#")[0] if status else None

    def patch(self, base: int, patch: dict, patch_id: str = "") -> int:
        """Patch the configuration; return the exit code."""
        path = self.folder / "patch.json"
        path.write_text(json.dumps(patch))
        arguments = ["config", "patch", str(path), f"--base={base}"]
        if patch_id:
            arguments.append(f"--patch_id={patch_id}")
        return self.ctl(*arguments).returncode

    def ctl(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run `colts-ctl`."""
        return subprocess.run(
            [
                *module("commands.ctl"),
                "--settings",
                str(self.folder / "ctl.json"),
                *arguments,
            ],
            capture_output=True,
            text=True,
            check=False,
        )

    def is_ready(self) -> bool:
        """Return whether all entries are healthy and know the whole fleet."""
        names = [f"entry-{number}" for number in range(self.entry_count)]
        return all(self.is_healthy(name) for name in names) and all(
            self.knows_all_members(name) for name in names
        )

    def is_healthy(self, entry: str) -> bool:
        """Return whether an entry admits requests."""
        response = self.fetch(f"http://{self.listen[entry]}/health")
        return response is not None and response.code == 200

    def knows_all_members(self, entry: str) -> bool:
        """Return whether an entry knows all entries and endpoints.

        The entry that starts last is healthy up to one heartbeat interval
        before the others include it in their address answers.
        """
        response = self.admin_fetch(entry, "/admin/dump")
        if response is None or response.code != 200:
            return False
        dump = json.loads(response.body)
        members = dump["freshness"]["member_view"]["known"]
        endpoints = sum(len(pool["views"]) for pool in dump["pools"].values())
        return (
            len(members) >= self.entry_count
            and endpoints >= self.engines + self.plain
        )

    # --- requests --------------------------------------------------------

    def request_completion(
        self, entry: str, prompt: str, tokens: int, **headers
    ):
        """Request a completion without streaming."""
        body = {"model": "assistant", "prompt": prompt, "max_tokens": tokens}
        return self.fetch(
            f"http://{self.listen[entry]}/v1/completions",
            method="POST",
            body=json.dumps(body),
            headers={"Authorization": f"Bearer {API_KEY}"} | headers,
        )

    def charge(self, entry: str, key: str, body: str):
        """Make a non-idempotent call to the billing service."""
        return self.fetch(
            f"http://{self.listen[entry]}/services/billing/charge",
            method="POST",
            body=body,
            headers={
                "Authorization": f"Bearer {API_KEY}",
                "Idempotency-Key": key,
                "X-Colts-Non-Idempotent": "true",
            },
        )


def default_config() -> dict:
    """Return a configuration for the fake endpoints."""
    return {
        "services": {
            "assistant": {"kind": "engine", "objective": "short_slowdown"},
            "billing": {"kind": "plain", "default_deadline_s": 20},
        },
        "workspaces": {
            "shop": {
                "key_sha256": [hashlib.sha256(API_KEY.encode()).hexdigest()],
                "services": ["assistant", "billing"],
                "tokens_per_s": 5_000_000,
                "concurrency": 500,
            }
        },
        "fleet": {"address_validity_s": 1},
    }
