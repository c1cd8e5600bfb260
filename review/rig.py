"""Starts a small deployment of the real programs on loopback addresses.

Three machines with a disk serve `control` and all of them serve `front`, each
at its own loopback address and with the same ports, as on the platform. The
settings are those that the templates under `deploy/` give for the figures of
the site that a case names.
"""

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

REPOSITORY = pathlib.Path(__file__).resolve().parents[1]
PYTHON = ["python3", "-X", "no_debug_ranges", "-S"]
START_TIMEOUT_S = 30.0
ZONES = ("zone-a", "zone-b", "zone-c")
PORT_NAMES = (
    "front",
    "ready",
    "directory",
    "control",
    "peer",
    "gossip",
    "gateway_metrics",
    "control_metrics",
    "server",
)
KEY = "k7f3a91c2d4e5b6a7c8d"
TENANT = "tenant-1"
HOST = "shop.example"


class CannotRunError(Exception):
    """The case could not be run, which says nothing of the rule."""


def free_ports(addresses, count):
    """Return ports that are free at each of the addresses."""
    found = []
    while len(found) < count:
        port = random.randrange(20_000, 30_000)
        if port in found:
            continue
        if all(is_free(address, port) for address in addresses):
            found.append(port)
    return found


def is_free(address, port):
    """Return whether a port can be bound, by TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((address, port))
            except OSError:
                return False
    return True


class Deployment:
    """The processes of a deployment, and the stand-ins beside them."""

    def __init__(self, record, machines=3, bounds=None):
        self.record_path = pathlib.Path(record)
        self.record_path.write_text("")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="colts-review-"))
        self.bounds = {
            "graceS": 8,
            "retryBudgetRatio": 0.2,
            "budgetWindowS": 10,
            "budgetSlack": 106,
            "lost_at_once": 1,
            **(bounds or {}),
        }
        net = random.randrange(2, 250)
        self.machines = [f"127.{net}.0.{i + 1}" for i in range(machines)]
        self.server_net = f"127.{net}.1"
        addresses = [*self.machines, f"{self.server_net}.1"]
        numbers = free_ports(addresses, len(PORT_NAMES))
        self.ports = dict(zip(PORT_NAMES, numbers, strict=True))
        self.processes = {}
        self.started = time.time()

    # --- record ----------------------------------------------------------

    def note(self, text):
        """Append a line to the record and print it."""
        line = f"{time.time() - self.started:8.3f} {text}"
        print(line, flush=True)
        with open(self.record_path, "a", encoding="utf-8") as file:
            file.write(line + "\n")

    # --- processes -------------------------------------------------------

    def start(self, name, command, log):
        """Start a process; its output goes to a file."""
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
        }
        with open(self.folder / log, "ab") as output:
            self.processes[name] = subprocess.Popen(
                command,
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        return self.processes[name]

    def write_settings(self, name, settings):
        """Write a settings file and return its path."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        return str(path)

    def seeds(self):
        """Return the seeds, as the settings of the platform list them."""
        return [f"{ip}:{self.ports['control']}" for ip in self.machines[:3]]

    def control_settings(self, index):
        """Return the settings of the control process of a machine."""
        ip = self.machines[index]
        data = self.folder / f"data-{index}"
        data.mkdir(exist_ok=True)
        return {
            "replica": f"front-{index}",
            "listen": f"{ip}:{self.ports['peer']}",
            "availability_zone": ZONES[index % 3],
            "availability_zones": {zone: "region" for zone in ZONES},
            "admin_listen": f"{ip}:{self.ports['control_metrics']}",
            "admin_token": "",
            "data_folder": str(data) if index < 3 else "",
            "seeds": self.seeds(),
            "peer_port": self.ports["peer"],
            "first_start": True,
            "lost_at_once": self.bounds["lost_at_once"],
            "api_listen": f"{ip}:{self.ports['control']}",
            "structured_logs": True,
        }

    def gateway_settings(self, index):
        """Return the settings of the gateway of a machine."""
        ip = self.machines[index]
        return {
            "gateway": f"front-{index}",
            "availability_zone": ZONES[index % 3],
            "listen": f"{ip}:{self.ports['front']}",
            "listen_early": True,
            "ready_listen": f"{ip}:{self.ports['ready']}",
            "directory_listen": f"{ip}:{self.ports['directory']}",
            "peer_listen": f"{ip}:{self.ports['gossip']}",
            "metrics_listen": f"{ip}:{self.ports['gateway_metrics']}",
            "seeds": self.seeds(),
            "control_port": self.ports["peer"],
            "shutdown_grace_s": self.bounds["graceS"],
            "retry_ratio": self.bounds["retryBudgetRatio"],
            "retry_slack": self.bounds["budgetSlack"],
            "retry_window_s": self.bounds["budgetWindowS"],
        }

    def start_program(self, role, index):
        """Start the control process or the gateway of a machine."""
        name = f"{role}-{index}"
        make = getattr(self, f"{role}_settings")
        path = self.write_settings(name, make(index))
        return self.start(
            name,
            [*PYTHON, f"target/app/{role}.py", "--settings", path],
            f"{name}.log",
        )

    def start_all(self):
        """Start all programs."""
        if not (REPOSITORY / "target" / "app" / "gateway.py").exists():
            raise CannotRunError("the system is not built")
        for index in range(len(self.machines)):
            if index < 3:
                self.start_program("control", index)
            self.start_program("gateway", index)

    def start_server(self, number, **settings):
        """Start a stand-in server; return its identifier."""
        identifier = f"i-{number:08x}"
        path = self.write_settings(
            identifier,
            {
                "identifier": identifier,
                "address": f"{self.server_net}.{number}:{self.ports['server']}",
                "zone": ZONES[number % 3],
                "control": self.seeds(),
                "record": str(self.folder / "servers.jsonl"),
                **settings,
            },
        )
        script = str(pathlib.Path(__file__).with_name("server.py"))
        self.start(identifier, [sys.executable, script, path], "servers.log")
        return identifier

    def signal(self, name, number):
        """Send a signal to a process that this deployment started."""
        self.note(f"{signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def stop(self):
        """End all processes and remove their files."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    # --- operator and servers --------------------------------------------

    def put_configuration(self, document):
        """Send a configuration until it is acknowledged."""
        body = json.dumps(document)
        end = time.time() + START_TIMEOUT_S
        while time.time() < end:
            for ip in self.machines[:3]:
                if (
                    self.call(ip, "control", "PUT", "/v1/configuration", body)
                    == 200
                ):
                    self.note(
                        f"configuration {document['version']} acknowledged"
                    )
                    return
            time.sleep(0.2)
        raise CannotRunError("the configuration was not acknowledged")

    def call(self, ip, port, method, path, body=None):
        """Call a process; return the status, 0 for none."""
        connection = http.client.HTTPConnection(ip, self.ports[port], timeout=1)
        try:
            connection.request(method, path, body)
            return connection.getresponse().status
        except OSError:
            return 0
        finally:
            connection.close()

    def wait_until_ready(self, servers):
        """Wait until all gateways are ready and know all servers."""
        end = time.time() + START_TIMEOUT_S
        while time.time() < end:
            if all(self.is_ready(ip, servers) for ip in self.machines):
                # Longer than contactMs, so that all machines are in touch.
                time.sleep(4)
                self.note("all gateways are ready")
                return
            time.sleep(0.2)
        raise CannotRunError("the gateways do not become ready")

    def is_ready(self, ip, servers):
        """Return whether a gateway is ready and knows the servers."""
        if self.call(ip, "ready", "GET", "/v1/ready") != 200:
            return False
        connection = http.client.HTTPConnection(
            ip, self.ports["gateway_metrics"], timeout=1
        )
        try:
            connection.request("GET", "/metrics")
            text = connection.getresponse().read().decode()
        except OSError:
            return False
        finally:
            connection.close()
        for line in text.splitlines():
            if (
                line.startswith("colts_gateway_endpoints")
                and "reached" not in line
            ):
                return float(line.split()[-1]) >= servers
        return False

    def server_events(self, event):
        """Return the recorded events of one kind of all servers."""
        path = self.folder / "servers.jsonl"
        if not path.exists():
            return []
        lines = path.read_text().splitlines()
        events = [json.loads(line) for line in lines if line.endswith("}")]
        return [found for found in events if found["event"] == event]

    def wait_for_event(self, event, timeout_s=5.0, **fields):
        """Wait until a server has recorded an event; return it."""
        end = time.time() + timeout_s
        while time.time() < end:
            for found in self.server_events(event):
                if fields.items() <= found.items():
                    return found
            time.sleep(0.01)
        raise CannotRunError(f"no event {event!r} with {fields}")

    def copy_server_events(self):
        """Append the servers' events to the record."""
        for found in self.server_events("run"):
            at = found["at"] - self.started
            self.note(f"[{at:.3f}] {found['server']} ran {found['attempt']}")


def configuration(routes, services, version=7):
    """Return a configuration document."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "connectionLimit": 110,
                "protocol": "h1",
                "transportSecurity": False,
            }
            for name in services
        ],
        "limits": {
            "headerBytes": 16384,
            "bodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


def route(name, kind, service, timeout_ms=10_000, attempts=1):
    """Return a route of `HOST` whose prefix is its name."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 300,
        "priority": 2,
        "service": service,
        "attempts": attempts,
        "public": False,
    }


def request_bytes(
    method, path, attempt, body=b"", deadline_ms=10_000, extra=""
):
    """Return the bytes of a client's request."""
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (
        f"{method} {path} HTTP/1.1\r\n"
        f"Host: {HOST}\r\n"
        f"X-Attempt-Id: {attempt}\r\n"
        f"X-Deadline-Milliseconds: {deadline_ms}\r\n"
        f"X-Api-Key: {KEY}\r\n"
        f"{extra}{length}\r\n"
    ).encode() + body


def attempt_id():
    """Return the ID of a new client attempt."""
    return f"{random.getrandbits(64):016x}"


def run_case(main, record):
    """Run a case; exit with 0 if the rule held, 1 if not, 2 if it can't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # The processes that a case has started end also if it is stopped early.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    status = 2
    try:
        status = 0 if main(record, trouble) else 1
    except CannotRunError as error:
        print(f"the case cannot run: {error}", file=sys.stderr)
    except Exception as error:  # noqa: BLE001
        print(f"the case cannot run: {error!r}", file=sys.stderr)
    sys.exit(status)
