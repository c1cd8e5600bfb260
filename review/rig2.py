"""Runs the programs of the deploy file on loopback, beside stand-ins.

A case describes a small deployment like that of the site `lavared`: three
machines in three zones, each with a gateway and a control process. Machines
have addresses of their own in 127.0.0.0/8. The rig is the platform (starts
processes, fills in the templates of the settings) and the operator (sends
configurations). Everything that it starts ends with it.
"""

import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import uuid

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("quilicura", "maipu", "la-florida")
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
    "configPropagationMs": 2000, "downgradeSlackMs": 250, "outerMs": 5000,
    "strictRevocation": True, "revocationMs": 5000, "retryBudgetRatio": 0.2,
    "budgetWindowS": 10, "budgetSlack": 106, "recoveryS": 12, "passMs": 120,
    "retryAfterS": 0, "stall_ms": 1500, "holdMaxMs": 20000, "freeMs": 4000,
    "idleMaxMs": 9000, "ttl_max_s": 5,
}
ENGINE = {
    "slots": 8, "cacheTokens": 450000, "cacheTokenBytes": 327680,
    "linkMbps": 400000.0, "stride": 46, "models": [{"name": "m"}],
    "step_ms": 0.925, "per_seq_ms": 0.00966, "context_per_k": 0.00254,
    "read_per_s": 256000.0, "pairs_per_m": 0.0917, "chunk": 2048,
    "report_lag_ms": 200.0, "loadsPerS": 0.0, "loads_at_once": 8,
    "delays": [], "usual": {"prompt": 13252, "answer": 1540}, "hopMs": 0.1,
}


class CouldNotRun(Exception):
    """The case could not be played; it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started_at = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, event, **fields):
        with self.lock:
            text = " ".join(f"{k}={v}" for k, v in fields.items())
            self.file.write(f"{self.now():8.3f} {event} {text}".rstrip() + "\n")
            self.file.flush()


def fill_in(text, fields):
    """Fill in a settings template as the platform's pages describe."""

    def lookup(name, scopes):
        if name == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit():
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def section(match):
        name, body = match.group(1), match.group(2)
        return body if lookup(name, [fields]) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text,
                  flags=re.DOTALL)

    def value(match):
        found = lookup(match.group(1), [fields])
        if match.group(2):
            return json.dumps(found)
        if found is None:
            return ""
        if isinstance(found, list):
            return ",".join(map(str, found))
        return found if isinstance(found, str) else json.dumps(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


def free_port(hosts):
    """Return a port that is free on all of the addresses."""
    for _ in range(200):
        port = random.randrange(20000, 32000)
        held = []
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sock = socket.socket(socket.AF_INET, kind)
                    held.append(sock)
                    sock.bind((host, port))
            return port
        except OSError:
            continue
        finally:
            for sock in held:
                sock.close()
    raise CouldNotRun("no free port")


def call(address, method, path, body=None, timeout_s=1.0):
    """Make one HTTP call; return its status and body, or None for none."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        data = None if body is None else json.dumps(body).encode()
        connection.request(method, path, data,
                           {"Content-Type": "application/json"})
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class Machine:
    """One machine: its address, its ports, and its two processes."""

    def __init__(self, rig, index, with_gateway=True):
        self.rig = rig
        self.name = f"front-{ZONES[index % 3]}-{index // 3 + 1}"
        self.zone = ZONES[index % 3]
        self.host = rig.hosts[index]
        self.with_gateway = with_gateway
        self.disk = rig.folder / self.name / "data"
        self.disk.mkdir(parents=True)
        self.processes = {}
        self.bootstrap = True

    def address(self, kind):
        return f"{self.host}:{self.rig.ports[kind]}"

    def fields(self, role):
        ports = self.rig.ports
        return {
            "node": self.name, "role": role, "machineClass": "front",
            "ipAddress": self.host, "zone": self.zone, "region": "santiago",
            "zones": {zone: "santiago" for zone in ZONES},
            "listen": {k: self.address(k)
                       for k in ("front", "ready", "control", "directory")},
            "internalPorts": [ports["peer"], ports["gossip"]],
            "seeds": [m.address("control") for m in self.rig.machines[:3]],
            "bootstrap": self.bootstrap, "inTolerance": True,
            "limits": {"cpuShare": 0.968, "cores": 2, "memoryMb": 300,
                       "fileDescriptors": 4100, "linkMbps": 1000.0,
                       "diskMb": 64},
            "dataDirectory": str(self.disk), "heartbeatIntervalMs": 1200,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
        }

    def write_settings(self, role):
        template = (ROOT / "deploy" / f"{role}.json").read_text()
        # The metrics of both roles listen at fixed ports.
        text = fill_in(template, self.fields(role))
        for fixed, kind in (("9464", "metrics-gateway"),
                            ("9465", "metrics-control")):
            text = text.replace(f"{self.host}:{fixed}", self.address(kind))
        path = self.rig.folder / self.name / f"{role}.json"
        path.write_text(text)
        return path

    def start(self, role):
        path = self.write_settings(role)
        log = open(self.rig.folder / self.name / f"{role}.log", "ab")
        env = {k: v for k, v in os.environ.items()
               if k in ("PATH", "HOME", "LANG")}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["COLTSFOOTROAD_BOOT"] = str(path)
        self.processes[role] = self.rig.spawn(
            ["python3", "-X", "no_debug_ranges", "-S",
             f"target/app/{role}.py", "--settings", str(path)],
            cwd=ROOT, env=env, stdout=log, stderr=log)
        return self.processes[role]


class Rig:
    """A small deployment, its operator and its stand-ins."""

    def __init__(self, folder, machines=3, gateways=None):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="colts-review-"))
        self.children = []
        net = random.randrange(1, 250)
        self.hosts = [f"127.77.{net}.{i + 1}" for i in range(machines)]
        self.server_host = f"127.77.{net}.200"
        kinds = ("front", "ready", "control", "directory", "peer", "gossip",
                 "metrics-gateway", "metrics-control")
        self.ports = {}
        while len(set(self.ports.values())) < len(kinds):
            self.ports = {k: free_port(self.hosts) for k in kinds}
        self.machines = []
        for index in range(machines):
            has_gateway = gateways is None or index in gateways
            self.machines.append(Machine(self, index, has_gateway))
        self.version = 0
        self.config = None

    # --- processes -----------------------------------------------------------

    def spawn(self, command, **options):
        child = subprocess.Popen(command, stdin=subprocess.DEVNULL, **options)
        self.children.append(child)
        return child

    def start_all(self):
        for machine in self.machines:
            machine.start("control")
            if machine.with_gateway:
                machine.start("gateway")

    def close(self):
        for child in self.children:
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        for child in self.children:
            child.wait()
        self.record.file.close()
        kept = os.environ.get("KEEP")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    # --- operator ------------------------------------------------------------

    def put_config(self, config, timeout_s=15.0, machines=None):
        """Send a configuration until it is acknowledged."""
        end = time.monotonic() + timeout_s
        targets = list(machines or self.machines)
        while time.monotonic() < end:
            for machine in targets:
                sent = self.record.now()
                answer = call(machine.address("control"), "PUT",
                              "/v1/configuration", config)
                status = answer and answer[0]
                if status == 200:
                    self.record.write("configuration acknowledged",
                                      version=config["version"],
                                      by=machine.name, sent=f"{sent:.3f}")
                    return self.record.now()
            time.sleep(0.1)
        raise CouldNotRun("the configuration was not acknowledged")

    def wait_ready(self, timeout_s=20.0):
        end = time.monotonic() + timeout_s
        waiting = [m for m in self.machines if m.with_gateway]
        while waiting and time.monotonic() < end:
            waiting = [m for m in waiting if (call(
                m.address("ready"), "GET", "/v1/ready") or (0,))[0] != 200]
            time.sleep(0.1)
        if waiting:
            raise CouldNotRun(f"{[m.name for m in waiting]} not ready")


def route(name, prefix, service, kind, **fields):
    """Return a route like those of the site's sheet."""
    base = {
        "name": name, "host": HOST, "pathPrefix": prefix, "kind": kind,
        "timeoutMs": 10000, "targetLatencyMs": 300, "priority": 1,
        "service": service, "attempts": 2, "public": False,
    }
    return base | fields


def configuration(version, routes, services, tenants=None):
    """Return a configuration document."""
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"headerBytes": 16384, "bodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": tenants or [
            {"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


def service(name, engine=None, **fields):
    """Return a service of a configuration."""
    found = {"name": name, "healthPath": "/health", "connectionLimit": 274,
             "protocol": "h1", "transportSecurity": False} | fields
    return found | ({"engine": engine} if engine else {})


def attempt_id():
    return uuid.uuid4().hex[:16]


def main(folder, play, **options):
    """Play a case and exit with 0 (held), 1 (broken) or 2 (not run)."""
    rig = Rig(folder, **options)
    code = NOT_RUN

    def stop(*_):
        raise CouldNotRun("it was stopped")

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    try:
        rig.record.write("starts", trouble=int(TROUBLE))
        rig.start_all()
        code = play(rig)
    except CouldNotRun as error:
        rig.record.write("could not run", reason=repr(str(error)))
    except Exception as error:  # noqa: BLE001
        rig.record.write("could not run", reason=repr(error))
        raise
    finally:
        rig.record.write("ends", code=code)
        rig.close()
    sys.exit(code)
