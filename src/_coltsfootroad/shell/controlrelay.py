"""Runs a relay: a control process without a disk.

A platform may start `colts-control` on a vm that has no disk. Such a process
cannot store anything durably, so it is no replica and does not vote. It answers
watches of gateways in its availability zone, and redirects all other calls to
the leader.
"""

import asyncio

from _coltsfootroad.control import messages
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import replicas
from _coltsfootroad.control import watchcache
from _coltsfootroad.control import watching
from _coltsfootroad.shell import clientmemory
from _coltsfootroad.shell import clientserver
from _coltsfootroad.shell import dumps
from _coltsfootroad.shell import leaderpoller
from _coltsfootroad.shell import links
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import metrics as metrics_lib
from _coltsfootroad.shell import operatorapi
from _coltsfootroad.shell import settings as settings_lib
from _coltsfootroad.shell import traffic
from _coltsfootroad.shell import watchserver
from _coltsfootroad.shell import web
from _coltsfootroad.shell import wireformats

LOG = logs.logger("relay")
# Value of `ReplicaInfo.role` that marks a relay.
ROLE = "relay"


class ControlRelay:
    """Answers gateways from a watch cache and other callers with a redirect."""

    def __init__(
        self,
        settings: settings_lib.ControlSettings,
        relay: watching.Relay,
        clients: clientmemory.ClientMemory,
    ):
        self.settings = settings
        self.clients = clients
        self.control_client = links.GrpcControlClient(settings.peers())
        self.watch_cache = watchcache.WatchCache(relay)
        self.watch_server = watchserver.WatchServer(
            self.watch_cache, self.redirect_to_leader
        )
        self.fatal_error: asyncio.Future = (
            asyncio.get_running_loop().create_future()
        )
        self.watch_server.leader_poller = leaderpoller.LeaderPoller(
            self.watch_cache,
            self.control_client,
            lambda: False,
            self.watch_server.wake_watches,
            self.fatal_error,
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
            lambda: self.watch_server.leader_poller.is_connected,
        )
        self.clients.add_metrics(self.metrics)
        traffic.PROCESS.add_metrics(self.metrics)

    def listen_admin(self) -> None:
        """Open the listener for operators."""
        routes = web.admin_routes(
            self.settings.admin_token, self.dump, self.metrics
        )
        self.http_server = clientserver.listen(
            operatorapi.make_application(routes),
            self.settings.admin_listen,
            operatorapi.MAX_BODY_BYTES,
            self.clients,
        )

    async def start(self) -> None:
        """Open the listeners and start polling the leader."""
        self.listen_admin()
        self.grpc_server = links.make_server(
            self.on_call,
            self.on_peer,
            max_connections=self.settings.peer_connection_limit,
        )
        links.listen(self.grpc_server, self.settings.listen)
        await self.grpc_server.start()
        self.watch_server.leader_poller.start()
        LOG.info(
            "started",
            replica=self.settings.replica,
            listen=self.settings.listen,
            why="no data folder",
        )

    @property
    def leader(self) -> str:
        """Return the leader's address, empty if none is known."""
        return (
            self.control_client.leader
            if self.watch_server.leader_poller.is_connected
            else ""
        )

    async def on_call(self, data: bytes) -> bytes:
        """Answer an encoded call."""
        decoded = wireformats.CALLS.decode(data)
        if decoded.is_error():
            answer = outcomes.Refused(failure=decoded.error)
        elif isinstance(decoded.ok, watching.Watch):
            answer = await self.watch_server.answer(decoded.ok)
        elif isinstance(decoded.ok, messages.ReplicaHello):
            answer = self.info()
        else:
            answer = outcomes.NotLeader(hint=self.leader)
        return wireformats.CALLS.encode(answer)

    async def redirect_to_leader(
        self, _: watchserver.WatchRequest
    ) -> outcomes.NotLeader:
        """Return a redirect to the leader."""
        return outcomes.NotLeader(hint=self.leader)

    def on_peer(self, sender: str, _address: str, _data: bytes) -> None:
        """Drop a Raft message; the sender assumes a replica here."""
        LOG.info("peer message dropped", sender=sender)

    def info(self) -> messages.ReplicaInfo:
        """Describe this process; its role shows that it is no replica."""
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
        """Return the state of the process as JSON for operators."""
        return dumps.to_json(
            {
                "settings": self.settings,
                "info": self.info(),
                "clients": self.clients.dump(),
                "mirror": self.watch_cache,
            }
        )

    def add_addresses(self, addresses: tuple[str, ...]) -> None:
        """Add addresses of replicas that are not known yet."""
        self.control_client.add_addresses(addresses)

    async def stop(self) -> None:
        """Stop polling and close all connections and listeners."""
        self.watch_server.leader_poller.stop()
        if self.http_server is not None:
            self.http_server.stop()
        if self.grpc_server is not None:
            await self.grpc_server.stop(grace=0.5)
        await self.control_client.close()
        LOG.info("stopped", replica=self.settings.replica)
