"""Stands in for a replica on a VM without a disk.

A platform may start `colts-control` on VMs that have no disk. Nothing durable
can be kept there, so such a process takes no part in votes. It tells gateways
of its availability zone what is new, and whoever else asks where the leader is.
"""

import asyncio

from _coltsfootroad.control import messages
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import replicas
from _coltsfootroad.control import watchcache
from _coltsfootroad.control import watching
from _coltsfootroad.shell import dumps
from _coltsfootroad.shell import links
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import metrics as metrics_lib
from _coltsfootroad.shell import operators
from _coltsfootroad.shell import relayloop
from _coltsfootroad.shell import settings as settings_lib
from _coltsfootroad.shell import traffic
from _coltsfootroad.shell import watchdesk
from _coltsfootroad.shell import web
from _coltsfootroad.shell import wirecalls

LOG = logs.logger("relay")
# What it says of itself in place of a replica's role.
ROLE = "relay"


class ControlRelay:
    """Answers gateways from a copy, and others by naming the leader."""

    def __init__(
        self, settings: settings_lib.ControlSettings, relay: watching.Relay
    ):
        self.settings = settings
        self.link = links.GrpcControlLink(settings.peers())
        self.watch_cache = watchcache.WatchCache(relay)
        self.desk = watchdesk.WatchDesk(self.watch_cache, self.name_leader)
        self.broken: asyncio.Future = asyncio.get_running_loop().create_future()
        self.desk.relay = relayloop.RelayLoop(
            self.watch_cache,
            self.link,
            lambda: False,
            self.desk.wake,
            self.broken,
        )
        self.grpc_server = None
        self.http_server = None
        self.metrics = metrics_lib.Metrics.start("colts-control")
        self.add_metrics()

    def add_metrics(self) -> None:
        """Register the metrics of this relay."""
        self.metrics.gauge(
            "colts_control_config_version",
            "Configuration version served here",
            lambda: self.watch_cache.routes.version,
        )
        self.metrics.gauge(
            "colts_control_relay_connected",
            "1 while the leader answers this relay",
            lambda: self.desk.relay.connected,
        )
        traffic.PROCESS.add_metrics(self.metrics)

    def listen_admin(self) -> None:
        """Open the operators' listener."""
        routes = web.admin_routes(
            self.settings.admin_token, self.dump, self.metrics
        )
        self.http_server = web.listen(
            operators.application(routes),
            self.settings.admin_listen,
            operators.MAX_BODY_BYTES,
        )

    async def start(self) -> None:
        """Open the sockets and begin to watch the leader."""
        self.listen_admin()
        self.grpc_server = links.make_server(self.on_call, self.on_peer)
        links.listen(self.grpc_server, self.settings.listen)
        await self.grpc_server.start()
        self.desk.relay.start()
        LOG.info(
            "started",
            replica=self.settings.replica,
            listen=self.settings.listen,
            why="no data folder",
        )

    @property
    def leader(self) -> str:
        """Return the leader's address, empty if nobody leads."""
        return self.link.leader if self.desk.relay.connected else ""

    async def on_call(self, data: bytes) -> bytes:
        """Answer an encoded call."""
        decoded = wirecalls.CALLS.decode(data)
        if decoded.is_error():
            answer = outcomes.Refused(failure=decoded.error)
        elif isinstance(decoded.ok, watching.Watch):
            answer = await self.desk.answer(decoded.ok)
        elif isinstance(decoded.ok, messages.ReplicaHello):
            answer = self.info()
        else:
            answer = outcomes.NotLeader(hint=self.leader)
        return wirecalls.CALLS.encode(answer)

    async def name_leader(self, _: watchdesk.Question) -> outcomes.NotLeader:
        """Return who leads; never this process."""
        return outcomes.NotLeader(hint=self.leader)

    def on_peer(self, sender: str, _address: str, _data: bytes) -> None:
        """Drop a message of a replica, which takes this for another one."""
        LOG.info("peer message dropped", sender=sender)

    def info(self) -> messages.ReplicaInfo:
        """Return that this is no replica."""
        return messages.ReplicaInfo(
            replica=replicas.Replica(
                name=self.settings.replica,
                disk="",
                address=self.settings.address,
            ),
            role=ROLE,
            term=0,
            last_index=0,
            commit=0,
            leader=self.leader,
            version=-1,
        )

    def dump(self) -> bytes:
        """Return the state of the process for people."""
        return dumps.to_json(
            {
                "settings": self.settings,
                "info": self.info(),
                "mirror": self.watch_cache,
            }
        )

    def learn(self, addresses: tuple[str, ...]) -> None:
        """Take further addresses of replicas."""
        self.link.learn(addresses)

    async def stop(self) -> None:
        """Close everything."""
        self.desk.relay.stop()
        if self.http_server is not None:
            self.http_server.stop()
        if self.grpc_server is not None:
            await self.grpc_server.stop(grace=0.5)
        await self.link.close()
        LOG.info("stopped", replica=self.settings.replica)
