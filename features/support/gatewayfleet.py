"""Gateways on loopback that reach endpoints over links that can be cut."""

import asyncio
import collections
import concurrent.futures
import contextlib
import itertools
import time

import attrs

from _coltsfootroad.core import addresses
from _coltsfootroad.core import registry
from _coltsfootroad.fakes import ports
from _coltsfootroad.gateway import dialect
from _coltsfootroad.gateway import server as server_lib
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import metrics
from _coltsfootroad.shell import settings as settings_lib
from features.soak import proxy as proxy_lib
from features.soak import unanswered
from features.support import gatewaybed

HOST = "127.0.0.1"
ZONE = "a"
PROOF_VALID_S = 1_000.0
CALLER_THREADS = 64
KINDS = ("safe", "unsafe", "stream")


@attrs.define(eq=False)
class Link:
    """The path from one gateway to one endpoint.

    A cut can reset connections, silence them, or only refuse new ones.
    """

    proxy: proxy_lib.Proxy
    silent: contextlib.ExitStack | None = None

    def cut(self, how: str) -> None:
        """Interrupt the path: "reset", "silent" or "refuse new"."""
        self.proxy.server.close()
        if how == "reset":
            self.proxy.set_mode("reset")
        elif how == "silent":
            self.proxy.set_mode("silence")
            self.silent = contextlib.ExitStack()
            self.silent.enter_context(unanswered.listener(self.proxy.port))

    async def heal(self) -> None:
        """Restore the path for new connections."""
        if self.silent is not None:
            self.silent.close()
            self.silent = None
        self.proxy.set_mode("")
        await self.proxy.start()

    async def close(self) -> None:
        """Close all sockets."""
        if self.silent is not None:
            self.silent.close()
        await self.proxy.close()


class PathEndpoint(gatewaybed.ScriptedEndpoint):
    """Streams on the stream route, else responds; counts runs by request."""

    def __init__(self, name: str):
        super().__init__(name, [])
        self.runs: collections.Counter = collections.Counter()
        # Overrides how requests are handled, for example "hang".
        self.act = ""

    async def serve_one(self, reader, writer) -> bool:
        """Serve one request according to its path."""
        seen = await self.read_request(reader)
        self.seen.append(seen)
        self.runs[seen.headers.get("x-request-id", "")] += 1
        is_stream = "/stream/" in seen.line
        act = self.act or ("stream" if is_stream else "answer")
        return await getattr(self, "do_" + act.replace(" ", "_"))(
            seen.headers, reader, writer
        )


@attrs.frozen
class Try:
    """One first try of a caller: when, where and what became of it."""

    request_id: str
    at: float
    gateway: str
    kind: str
    answer: gatewaybed.Answer
    took_s: float

    @property
    def served(self) -> bool:
        """Return whether the response was complete and successful."""
        return self.answer.status == 200 and self.answer.whole


class Fleet:
    """Gateways without control; members and routes are set by the test."""

    def __init__(self):
        self.gateways: dict[str, server_lib.Gateway] = {}
        self.endpoints: dict[str, PathEndpoint] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.tasks: list[asyncio.Task] = []
        self.threads = concurrent.futures.ThreadPoolExecutor(CALLER_THREADS)
        self.ids = itertools.count()
        self.tries: list[Try] = []

    async def start(self, gateways: int, endpoints: int) -> None:
        """Start gateways g1, g2, ... and endpoints e1, e2, ..."""
        for number in range(1, endpoints + 1):
            endpoint = PathEndpoint(f"e{number}")
            await endpoint.start()
            self.endpoints[endpoint.name] = endpoint
        for number in range(1, gateways + 1):
            await self.add_gateway(f"g{number}")
        self.learn_members()

    async def add_gateway(self, name: str) -> server_lib.Gateway:
        """Start a gateway with a link to each endpoint."""
        settings = settings_lib.GatewaySettings(
            gateway=name,
            availability_zone=ZONE,
            listen=f"{HOST}:{ports.free_port()}",
            ready_listen=f"{HOST}:1",
            directory_listen=f"{HOST}:1",
            peer_listen=f"{HOST}:{ports.free_port()}",
            retry_slack=100.0,
        )
        gateway = server_lib.Gateway(
            settings, dialect.Dialect(), metrics.Metrics.start("test")
        )
        self.gateways[name] = gateway
        gateway.front.listen(settings.listen)
        await gateway.gossip.start(settings.peer_listen)
        gateway.adopt(gatewaybed.config())
        gateway.view.confirmed_at = clocks.boot_time() + PROOF_VALID_S
        gatewaybed.settle_share(gateway, 1.0)
        gateway.start_up.done = True
        self.tasks.append(asyncio.ensure_future(gateway.tick()))
        for endpoint in self.endpoints.values():
            await self.add_link(gateway, endpoint)
        return gateway

    async def add_link(self, gateway, endpoint) -> None:
        """Connect a gateway to an endpoint through a proxy."""
        target = settings_lib.split_address(endpoint.address)
        link = Link(proxy_lib.Proxy(target))
        await link.proxy.start()
        self.links[gateway.settings.gateway, endpoint.name] = link
        self.announce(gateway, endpoint, 1)

    def announce(self, gateway, endpoint, incarnation: int) -> None:
        """Announce an endpoint to one gateway, by its link's address."""
        link = self.links[gateway.settings.gateway, endpoint.name]
        gateway.learn_endpoint(
            registry.Announcement(
                endpoint=endpoint.name,
                incarnation=incarnation,
                seq=1,
                service="shop",
                address=link.proxy.address,
            )
        )

    def learn_members(self) -> None:
        """Make all gateways known to each other."""
        members = tuple(
            addresses.Member(
                entry=name,
                incarnation=1,
                address=gateway.settings.listen,
                peer_address=gateway.settings.peer_listen,
                availability_zone=ZONE,
            )
            for name, gateway in self.gateways.items()
        )
        for gateway in self.gateways.values():
            gateway.view.member_view.learn(members, (), True, 100.0)

    def cut(self, names, how: str) -> None:
        """Cut gateways off from all endpoints."""
        for (gateway, _), link in self.links.items():
            if gateway in names:
                link.cut(how)

    async def heal(self, names, still_cut: str = "") -> None:
        """Restore all links of gateways but those to one endpoint."""
        for (gateway, endpoint), link in self.links.items():
            if gateway in names and endpoint != still_cut:
                await link.heal()

    async def ask(self, gateway: str, kind: str, **options) -> Try:
        """Send one request to a gateway and record what became of it."""
        port = int(self.gateways[gateway].settings.listen.rpartition(":")[2])
        request_id = f"r-{next(self.ids)}"
        extra = options.pop("extra", {}) | {"X-Request-Id": request_id}
        at = time.monotonic()
        answer = await asyncio.get_running_loop().run_in_executor(
            self.threads,
            lambda: gatewaybed.ask(port, f"/{kind}/x", extra=extra, **options),
        )
        took_s = time.monotonic() - at
        found = Try(request_id, at, gateway, kind, answer, took_s)
        self.tries.append(found)
        return found

    async def load(self, seconds: float, interval_s: float = 0.1) -> None:
        """Send requests of all kinds to all gateways for some time."""
        end = time.monotonic() + seconds
        asking = []
        for kind in itertools.cycle(KINDS):
            if time.monotonic() >= end:
                break
            asking += [
                asyncio.ensure_future(self.ask(gateway, kind))
                for gateway in self.gateways
            ]
            await asyncio.sleep(interval_s)
        await asyncio.gather(*asking)

    def runs(self) -> collections.Counter:
        """Return how often each request was run, over all endpoints."""
        total: collections.Counter = collections.Counter()
        for endpoint in self.endpoints.values():
            total.update(endpoint.runs)
        return total

    async def close(self) -> None:
        """Stop everything."""
        for task in self.tasks:
            task.cancel()
        for gateway in self.gateways.values():
            gateway.reach_monitor.stop()
            gateway.front.server.stop()
            gateway.gossip.close()
            for pool in gateway.pools.values():
                pool.close()
        for link in self.links.values():
            await link.close()
        for endpoint in self.endpoints.values():
            endpoint.server.close()
            endpoint.break_connections()
        self.threads.shutdown(wait=False, cancel_futures=True)
        # Lets the handlers of the closed connections end.
        await asyncio.sleep(0.01)
