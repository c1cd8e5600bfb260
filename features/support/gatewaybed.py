"""A gateway on loopback and scripted endpoints in one event loop."""

import asyncio
import collections
import http.client

import attrs

from _coltsfootroad.core import minimumshare
from _coltsfootroad.core import registry
from _coltsfootroad.core import routes
from _coltsfootroad.fakes import ports
from _coltsfootroad.gateway import dialect
from _coltsfootroad.gateway import server as server_lib
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import metrics
from _coltsfootroad.shell import settings as settings_lib

HOST = "shop.example"
KEY = "key-of-acme"
EVENTS = 4
PAUSE_BEFORE = 3
SHORT_PAUSE_S = 0.15
TIMEOUT_S = 10


@attrs.define
class Seen:
    """A request as an endpoint received it."""

    line: str
    headers: dict[str, str]
    body: bytes


class ScriptedEndpoint:
    """Handles each request by the next act of its script; the last repeats."""

    def __init__(self, name: str, script: list[str]):
        self.name = name
        self.script = script
        self.seen: list[Seen] = []
        self.hung_up = asyncio.Event()
        # Whether it handled a request other than by rejecting it.
        self.ran = False
        self.server = None
        self.pause_s = 0.0
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start to listen."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def serve(self, reader, writer) -> None:
        """Serve a connection until either side closes it."""
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            self.hung_up.set()
        finally:
            self.writers.discard(writer)
            writer.close()

    def break_connections(self) -> None:
        """Reset all connections."""
        for writer in self.writers:
            writer.transport.abort()

    async def serve_one(self, reader, writer) -> bool:
        """Serve one request; return whether the connection stays open."""
        seen = await self.read_request(reader)
        self.seen.append(seen)
        position = min(len(self.seen), len(self.script)) - 1
        act = self.script[position]
        self.ran = self.ran or act != "reject"
        handle = getattr(self, "do_" + act.replace(" ", "_"))
        return await handle(seen.headers, reader, writer)

    async def read_request(self, reader) -> Seen:
        """Read one complete request."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        headers = dict(
            line.lower().split(": ", 1) for line in lines[1:] if ": " in line
        )
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return Seen(lines[0], headers, body)

    def body(self, _headers) -> bytes:
        """Return the body of a complete response."""
        return b"done"

    def event(self, _headers, number: int) -> bytes:
        """Return one event."""
        return event(number)

    def answer(self, headers) -> bytes:
        """Return a complete response."""
        body = self.body(headers)
        return self.head(headers, f"Content-Length: {len(body)}") + body

    def head(self, headers, *extra: str, status: str = "200 OK") -> bytes:
        """Return status line and headers of a genuine response."""
        lines = [
            f"HTTP/1.1 {status}",
            f"X-Request-Id: {headers.get('x-request-id', '')}",
            f"X-Signature: by-{self.name}",
            *extra,
        ]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def do_answer(self, headers, _, writer) -> bool:
        """Send a complete response."""
        writer.write(self.answer(headers))
        return True

    async def do_fail(self, headers, _, writer) -> bool:
        """Send a server error."""
        head = self.head(headers, "Content-Length: 4", status="500 Bad")
        writer.write(head + b"oops")
        return True

    async def do_reject(self, headers, _, writer) -> bool:
        """Refuse the request as not run."""
        writer.write(
            self.head(
                headers,
                "Content-Length: 0",
                "X-Not-Run: 1",
                status="503 Full",
            )
        )
        return True

    async def do_reset(self, _headers, _reader, writer) -> bool:
        """Reset the connection without a response."""
        writer.transport.abort()
        return False

    async def do_truncate(self, headers, _, writer) -> bool:
        """Close the connection in the middle of the body."""
        writer.write(self.head(headers, "Content-Length: 4") + b"do")
        await writer.drain()
        return False

    async def do_misattribute(self, _, _reader, writer) -> bool:
        """Send the response to another request."""
        other = {"x-request-id": "somebody-elses"}
        writer.write(self.head(other, "Content-Length: 4") + b"late")
        return True

    async def do_unsigned(self, headers, _, writer) -> bool:
        """Send a response without the endpoint's signature."""
        head = self.head(headers, "Content-Length: 4")
        writer.write(head.replace(b"X-Signature", b"X-Other") + b"fake")
        return True

    async def do_encoded(self, headers, _, writer) -> bool:
        """Send a body in an encoding that was not requested."""
        head = self.head(headers, "Content-Length: 4", "Content-Encoding: gzip")
        writer.write(head + b"zzzz")
        return True

    async def do_twice(self, headers, _, writer) -> bool:
        """Send a response, and a second one right after it."""
        writer.write(self.answer(headers) * 2)
        return True

    async def do_unframed(self, headers, _, writer) -> bool:
        """Send a response that ends with the connection, without a length."""
        writer.write(self.head(headers, "Connection: close") + b"done")
        return False

    async def do_unframed_stream(self, headers, _, writer) -> bool:
        """Send all events, and end the response with the connection."""
        first = int(headers.get("last-event-id", 0)) + 1
        writer.write(self.head(headers, "Connection: close"))
        for number in range(first, EVENTS + 1):
            writer.write(self.event(headers, number))
        return False

    async def do_cut_unframed_event(self, headers, _, writer) -> bool:
        """Close the connection in an event of a response without a length."""
        writer.write(self.head(headers, "Connection: close"))
        writer.write(self.event(headers, 1) + self.event(headers, 2)[:7])
        return False

    async def do_crash_in_unframed(self, headers, _, writer) -> bool:
        """Crash in the middle of a body without a length."""
        writer.write(self.head(headers, "Connection: close") + b"do")
        self.server.close()
        return False

    async def do_crash_between_events(self, headers, _, writer) -> bool:
        """Crash after two events of a response without a length."""
        writer.write(self.head(headers, "Connection: close"))
        writer.write(self.event(headers, 1) + self.event(headers, 2))
        self.server.close()
        return False

    async def do_hang(self, _headers, reader, _writer) -> bool:
        """Send nothing until the peer closes the connection."""
        if not await reader.read(1):
            self.hung_up.set()
        return False

    async def do_stream(self, headers, _, writer) -> bool:
        """Send all events after the last one that the caller has received."""
        first = int(headers.get("last-event-id", 0)) + 1
        writer.write(self.head(headers, "Transfer-Encoding: chunked"))
        for number in range(first, EVENTS + 1):
            write_chunk(writer, event(number))
        writer.write(b"0\r\n\r\n")
        return True

    async def do_stall(self, headers, reader, writer) -> bool:
        """Send two events and then nothing."""
        writer.write(self.head(headers, "Transfer-Encoding: chunked"))
        write_chunk(writer, self.event(headers, 1))
        write_chunk(writer, self.event(headers, 2))
        return await self.do_hang(headers, reader, writer)

    async def do_pause(self, headers, _, writer) -> bool:
        """Send two events, and the others after a pause."""
        writer.write(self.head(headers, "Transfer-Encoding: chunked"))
        for number in range(1, EVENTS + 1):
            if number == PAUSE_BEFORE:
                await writer.drain()
                await asyncio.sleep(self.pause_s)
            write_chunk(writer, self.event(headers, number))
        writer.write(b"0\r\n\r\n")
        return True

    async def do_pause_twice(self, headers, reader, writer) -> bool:
        """Send two events after a short pause, the others after another."""
        await asyncio.sleep(SHORT_PAUSE_S)
        return await self.do_pause(headers, reader, writer)

    async def do_die_in_event(self, headers, _, writer) -> bool:
        """Send two events and part of the third, then close the connection."""
        writer.write(self.head(headers, "Transfer-Encoding: chunked"))
        write_chunk(writer, self.event(headers, 1))
        write_chunk(writer, self.event(headers, 2))
        write_chunk(writer, self.event(headers, 3)[:7])
        await writer.drain()
        await asyncio.sleep(0.05)
        return False


def event(number: int) -> bytes:
    """Return one event."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def write_chunk(writer, data: bytes) -> None:
    """Write one chunk of a chunked body."""
    writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")


@attrs.frozen
class Answer:
    """The response that a caller got; `whole` if it was complete."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


def request_headers(deadline_ms: int, key: str) -> dict[str, str]:
    """Return the headers of a caller's request."""
    return {
        "Host": HOST,
        "X-Request-Id": "r-1",
        "X-Deadline-Ms": str(deadline_ms),
        "X-Api-Key": key,
    }


def ask(
    port: int,
    path: str,
    method: str = "POST",
    key: str = KEY,
    deadline_ms: int = 5_000,
    extra: dict[str, str] | None = None,
) -> Answer:
    """Send a request like a caller; blocks, so it runs in its own thread."""
    connection = http.client.HTTPConnection(
        "127.0.0.1", port, timeout=TIMEOUT_S
    )
    headers = request_headers(deadline_ms, key)
    try:
        connection.request(method, path, b"body", headers | (extra or {}))
        answer = connection.getresponse()
        fields = {k.lower(): v for k, v in answer.getheaders()}
        try:
            return Answer(answer.status, fields, answer.read(), True)
        except http.client.IncompleteRead as broken:
            return Answer(answer.status, fields, broken.partial, False)
    except (http.client.HTTPException, ConnectionError):
        return Answer(0, {}, b"", False)
    finally:
        connection.close()


def config(version: int = 1, **changes) -> routes.RouteConfig:
    """Return a route configuration with a route of each kind."""
    kinds = {
        "safe": routes.RequestKind.SAFE,
        "unsafe": routes.RequestKind.UNSAFE,
        "stream": routes.RequestKind.STREAM,
    }
    found = tuple(
        routes.Route(
            name=name,
            host=HOST,
            prefix=f"/{name}/",
            kind=kind,
            timeout_s=2.0,
            target_s=0.2,
            attempts=2,
            resumable=True,
            splits=(routes.Split(service="shop", weight=1),),
        )
        for name, kind in kinds.items()
    )
    document = {
        "version": version,
        "routes": found,
        "services": (routes.ServiceSpec(name="shop"),),
        "holders": (routes.KeyHolder(workspace="acme", keys=(KEY,)),),
    }
    return routes.RouteConfig(**(document | changes))


def settle_share(gateway: server_lib.Gateway, share: float) -> None:
    """Set a gateway's share of the retry slack as held for a long time."""
    floor = gateway.slack_share
    floor.proved_at = clocks.boot_time()
    floor.held = collections.deque([minimumshare.ShareInterval(share)])


class Bed:
    """A gateway whose view of the cluster is set by the test."""

    def __init__(self):
        self.port = ports.free_port()
        self.gateway = self.without_sockets("g1", port=self.port)
        self.gateway.front.listen(self.gateway.settings.listen)
        self.gateway.adopt(config())
        self.prove()
        settle_share(self.gateway, 1.0)
        self.gateway.start_up.done = True
        self.endpoints: list[ScriptedEndpoint] = []

    @staticmethod
    def without_sockets(
        name: str, zone: str = "", port: int = 1
    ) -> server_lib.Gateway:
        """Return a gateway that does not listen."""
        settings = settings_lib.GatewaySettings(
            gateway=name,
            availability_zone=zone,
            listen=f"127.0.0.1:{port}",
            ready_listen="127.0.0.1:1",
            directory_listen="127.0.0.1:1",
            peer_listen="127.0.0.1:1",
            retry_slack=100.0,
        )
        return server_lib.Gateway(
            settings, dialect.Dialect(), metrics.Metrics.start("test")
        )

    def prove(self, age_s: float = 0.0) -> None:
        """Set the age of the proof that the routes are current."""
        self.gateway.view.confirmed_at = clocks.boot_time() - age_s

    async def add(self, name: str, *script: str) -> ScriptedEndpoint:
        """Start an endpoint and announce it."""
        return await self.take(ScriptedEndpoint(name, list(script)))

    async def take(self, endpoint: ScriptedEndpoint) -> ScriptedEndpoint:
        """Start a given endpoint and announce it."""
        await endpoint.start()
        self.endpoints.append(endpoint)
        self.announce(endpoint)
        return endpoint

    def announce(self, endpoint: ScriptedEndpoint, **changes) -> None:
        """Announce an endpoint to the gateway."""
        fields = {
            "endpoint": endpoint.name,
            "incarnation": 1,
            "seq": 1,
            "service": "shop",
            "address": endpoint.address,
        }
        self.gateway.learn_endpoint(registry.Announcement(**(fields | changes)))

    async def ask(self, path: str, **options) -> Answer:
        """Send a request like a caller and return the response."""
        return await asyncio.to_thread(ask, self.port, path, **options)

    async def close(self) -> None:
        """Stop everything."""
        for endpoint in self.endpoints:
            endpoint.server.close()
        for pool in self.gateway.pools.values():
            pool.close()
        self.gateway.front.server.stop()
        await asyncio.sleep(0)
