"""Callers of a soak: threads that send requests on kept-alive connections."""

import contextlib
import http.client
import json
import random
import threading
import time

import attrs

from features.soak import audit
from features.soak import plan
from features.support import gatewaybed

KINDS = ("safe", "unsafe", "stream")
DEADLINE_S = 3.0
# How long after the deadline a caller still waits for the last bytes.
READ_GRACE_S = 1.5
# Requests on one connection before a caller looks up the addresses again.
REQUESTS_PER_CONNECTION = 12
# Sessions of proper callers, each with a part of prompts of its own.
SESSIONS = 3
REQUEST_INTERVAL_S = (0.0, 0.12)
LOOKUP_TIMEOUT_S = 1.0


@attrs.define(eq=False)
class Caller:
    """One caller; `gateways` maps addresses to the indexes of gateways."""

    number: int
    observed: audit.Observations
    directory: list[str]
    gateways: dict[str, int]
    stopping: threading.Event
    rng: random.Random
    keys: list[str]
    count: int = 0
    resolved_addresses: list[str] = attrs.Factory(list)
    connection: http.client.HTTPConnection | None = None
    address: str = ""
    requests_left: int = 0

    def run(self) -> None:
        """Send requests until the soak stops."""
        while not self.stopping.is_set():
            if self.connection is None or self.requests_left <= 0:
                self.connect()
            if self.connection is not None:
                self.send_request()
            time.sleep(self.rng.uniform(*REQUEST_INTERVAL_S))
        self.close_connection()

    def connect(self) -> None:
        """Look up the gateways' addresses at any gateway and connect to one."""
        self.close_connection()
        # If that gateway is down, the addresses looked up before are used.
        with contextlib.suppress(
            OSError, http.client.HTTPException, ValueError
        ):
            self.resolved_addresses = (
                self.fetch_addresses() or self.resolved_addresses
            )
        if not self.resolved_addresses:
            return
        self.address = self.rng.choice(self.resolved_addresses)
        host, port = self.address.split(":")
        self.connection = http.client.HTTPConnection(
            host, int(port), timeout=DEADLINE_S + READ_GRACE_S
        )
        self.requests_left = REQUESTS_PER_CONNECTION

    def fetch_addresses(self) -> list[str]:
        """Return the addresses that one gateway's directory lists."""
        host, port = self.rng.choice(self.directory).split(":")
        connection = http.client.HTTPConnection(
            host, int(port), timeout=LOOKUP_TIMEOUT_S
        )
        try:
            connection.request("GET", "/v1/addresses?zone=z0")
            response = connection.getresponse()
            body = response.read()
        finally:
            connection.close()
        return json.loads(body)["addresses"] if response.status == 200 else []

    def send_request(self) -> None:
        """Send one request and record its outcome."""
        self.count += 1
        self.requests_left -= 1
        request = f"c{self.number}-{self.count}"
        kind = self.rng.choice(KINDS)
        key = self.rng.choice(self.keys)
        started_at = time.monotonic()
        status, complete, body = self.exchange(request, kind, key)
        self.observed.outcomes.append(
            audit.Outcome(
                request=request,
                kind=kind,
                key=key,
                gateway=self.gateways[self.address],
                started_at=started_at,
                ended_at=time.monotonic(),
                deadline_s=DEADLINE_S,
                status=status,
                complete=complete,
                body=body,
            )
        )
        if not complete:
            self.close_connection()

    def exchange(
        self, request, kind, key, content=b"body", part=""
    ) -> tuple[int, bool, bytes]:
        """Return status, whether the response is complete, and its body."""
        headers = {
            "Host": gatewaybed.HOST,
            "X-Request-Id": request,
            "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "X-Api-Key": key,
            plan.PARTS_HEADER: self.parts(request, part),
        }
        self.observed.sent.append(time.monotonic())
        try:
            self.connection.request("POST", f"/{kind}/x", content, headers)
            response = self.connection.getresponse()
            try:
                return response.status, True, response.read()
            except http.client.IncompleteRead as error:
                return response.status, False, error.partial
        except (http.client.HTTPException, OSError):
            return 0, False, b""

    def parts(self, request: str, part: str) -> str:
        """Return the parts of a prompt: all share the first one."""
        shared = part or f"session{self.number % SESSIONS}"
        return f"{plan.FIRST_PART}:800,{shared}:400,{request}:250"

    def close_connection(self) -> None:
        """Close the connection, if there is one."""
        if self.connection is not None:
            self.connection.close()
        self.connection = None


class PoisonCaller(Caller):
    """Sends a poison request repeatedly, each time to any gateway."""

    def send_request(self) -> None:
        """Send the poison request once and ignore the response."""
        self.count += 1
        request = f"poison{self.number}-{self.count}"
        self.exchange(request, "safe", self.keys[0], b"poison %d" % self.number)
        self.close_connection()


class PartPoisonCaller(Caller):
    """Sends requests that share one poison part and nothing else."""

    def send_request(self) -> None:
        """Send a request with the poison part and ignore the response."""
        self.count += 1
        request = f"part{self.number}-{self.count}"
        self.exchange(
            request,
            self.rng.choice(("safe", "stream")),
            self.keys[0],
            request.encode(),
            f"{plan.POISON_PART}{self.number}",
        )
        self.close_connection()


@attrs.define(eq=False)
class VersionMonitor:
    """Records the versions that gateways use, per start of the process."""

    observed: audit.Observations
    ready: list[str]
    programs: list
    stopping: threading.Event

    def run(self) -> None:
        """Poll all gateways until the soak stops."""
        while not self.stopping.is_set():
            for index in range(len(self.ready)):
                self.record_version(index)
            time.sleep(0.1)

    def record_version(self, index: int) -> int | None:
        """Record and return a gateway's version; None without a response."""
        starts = self.programs[index].starts
        version = read_version(self.ready[index])
        if version is not None and self.programs[index].starts == starts:
            self.observed.versions_seen.append((index, starts, version))
        return version


def read_version(address: str) -> int | None:
    """Return the version that a gateway uses; None without a response."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(
        host, int(port), timeout=LOOKUP_TIMEOUT_S
    )
    try:
        connection.request("GET", "/v1/ready")
        return json.loads(connection.getresponse().read())["version"]
    except (OSError, http.client.HTTPException, ValueError):
        return None
    finally:
        connection.close()


def initial_keys() -> list[str]:
    """Return the API keys of the first configuration version."""
    return [f"soak-key-{number}" for number in range(plan.KEY_COUNT)]
