"""Callers of a soak: threads that keep a connection as long as it lives."""

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
# Beyond its deadline a caller still waits this long for the last bytes.
PATIENCE_S = 1.5
# Requests on one connection before a caller asks where to connect anew.
PER_CONNECTION = 12
PAUSE_S = (0.0, 0.12)
ASK_TIMEOUT_S = 1.0


@attrs.define(eq=False)
class Caller:
    """One caller; `gateways` maps addresses to the places of gateways."""

    number: int
    book: audit.Book
    directory: list[str]
    gateways: dict[str, int]
    stopping: threading.Event
    rng: random.Random
    keys: list[str]
    count: int = 0
    known: list[str] = attrs.Factory(list)
    connection: http.client.HTTPConnection | None = None
    address: str = ""
    left: int = 0

    def run(self) -> None:
        """Ask until told to stop."""
        while not self.stopping.is_set():
            if self.connection is None or self.left <= 0:
                self.connect()
            if self.connection is not None:
                self.ask()
            time.sleep(self.rng.uniform(*PAUSE_S))
        self.drop()

    def connect(self) -> None:
        """Ask any gateway where to connect, and take one of its answers."""
        self.drop()
        # A gateway that is down leaves the earlier answer in use.
        with contextlib.suppress(
            OSError, http.client.HTTPException, ValueError
        ):
            self.known = self.resolve() or self.known
        if not self.known:
            return
        self.address = self.rng.choice(self.known)
        host, port = self.address.split(":")
        self.connection = http.client.HTTPConnection(
            host, int(port), timeout=DEADLINE_S + PATIENCE_S
        )
        self.left = PER_CONNECTION

    def resolve(self) -> list[str]:
        """Return the addresses that one gateway names."""
        host, port = self.rng.choice(self.directory).split(":")
        asking = http.client.HTTPConnection(
            host, int(port), timeout=ASK_TIMEOUT_S
        )
        try:
            asking.request("GET", "/v1/addresses?zone=z0")
            answer = asking.getresponse()
            body = answer.read()
        finally:
            asking.close()
        return json.loads(body)["addresses"] if answer.status == 200 else []

    def ask(self) -> None:
        """Send one request and note what came of it."""
        self.count += 1
        self.left -= 1
        request = f"c{self.number}-{self.count}"
        kind = self.rng.choice(KINDS)
        key = self.rng.choice(self.keys)
        began = time.monotonic()
        status, whole, body = self.exchange(request, kind, key)
        self.book.outcomes.append(
            audit.Outcome(
                request=request,
                kind=kind,
                key=key,
                gateway=self.gateways[self.address],
                began=began,
                ended=time.monotonic(),
                deadline_s=DEADLINE_S,
                status=status,
                whole=whole,
                body=body,
            )
        )
        if not whole:
            self.drop()

    def exchange(
        self, request, kind, key, sent=b"body"
    ) -> tuple[int, bool, bytes]:
        """Return status, whether the answer is whole, and its body."""
        headers = {
            "Host": gatewaybed.HOST,
            "X-Request-Id": request,
            "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "X-Api-Key": key,
        }
        self.book.sent.append(time.monotonic())
        try:
            self.connection.request("POST", f"/{kind}/x", sent, headers)
            answer = self.connection.getresponse()
            try:
                return answer.status, True, answer.read()
            except http.client.IncompleteRead as broken:
                return answer.status, False, broken.partial
        except (http.client.HTTPException, OSError):
            return 0, False, b""

    def drop(self) -> None:
        """Close the connection, if there is one."""
        if self.connection is not None:
            self.connection.close()
        self.connection = None


class PoisonCaller(Caller):
    """Sends a poison request again and again, each time to any gateway."""

    def ask(self) -> None:
        """Send it once; nobody cares for the answer."""
        self.count += 1
        request = f"poison{self.number}-{self.count}"
        self.exchange(request, "safe", self.keys[0], b"poison %d" % self.number)
        self.drop()


@attrs.define(eq=False)
class VersionWatch:
    """Notes the versions that gateways have in force, by their starts."""

    book: audit.Book
    ready: list[str]
    starts: list
    stopping: threading.Event

    def run(self) -> None:
        """Look until told to stop."""
        while not self.stopping.is_set():
            for place in range(len(self.ready)):
                self.look(place)
            time.sleep(0.1)

    def look(self, place: int) -> int | None:
        """Note and return a gateway's version, None without an answer."""
        before = self.starts[place].starts
        version = read_version(self.ready[place])
        if version is not None and self.starts[place].starts == before:
            self.book.versions.append((place, before, version))
        return version


def read_version(address: str) -> int | None:
    """Return the version in force at a gateway, None without an answer."""
    host, port = address.split(":")
    asking = http.client.HTTPConnection(host, int(port), timeout=ASK_TIMEOUT_S)
    try:
        asking.request("GET", "/v1/ready")
        return json.loads(asking.getresponse().read())["version"]
    except (OSError, http.client.HTTPException, ValueError):
        return None
    finally:
        asking.close()


def key_names() -> list[str]:
    """Return the keys that there are at the beginning."""
    return [f"soak-key-{number}" for number in range(plan.KEY_COUNT)]
