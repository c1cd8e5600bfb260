"""Stands in for a replica on a VM without a disk: it shows the way.

A platform may start `colts-control` on VMs that have no disk. Nothing durable
can be kept there, so such a process takes no part in votes; it tells who asks
where the leader is, and passes a platform's own calls on to it.
"""

import asyncio

from _coltsfootroad.control import messages
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import replicas
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import dumps
from _coltsfootroad.shell import links
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import settings as settings_lib
from _coltsfootroad.shell import traffic
from _coltsfootroad.shell import wire

LOG = logs.logger("relay")
# How often it asks for the leader, well below the second after which callers
# of a platform move on; and how long it waits for an answer.
FIND_EVERY_S = 0.5
FIND_TIMEOUT_S = 1.0
# What it says of itself in place of a replica's role.
ROLE = "relay"


class ControlRelay:
    """Answers calls by naming the leader."""

    def __init__(self, settings: settings_lib.ControlSettings):
        self.settings = settings
        self.link = links.GrpcControlLink(settings.peers())
        self.grpc_server = None
        self.finder: asyncio.Task | None = None
        self.leader = ""

    async def start(self) -> None:
        """Open the socket and begin to look for the leader."""
        self.grpc_server = links.make_server(self.on_call, self.on_peer)
        self.grpc_server.add_insecure_port(self.settings.listen)
        await self.grpc_server.start()
        self.finder = asyncio.ensure_future(self.find())
        LOG.info(
            "started",
            replica=self.settings.replica,
            listen=self.settings.listen,
            why="no data folder",
        )

    async def find(self) -> None:
        """Keep the leader known until cancelled."""
        while True:
            answer = await self.link.call(messages.ReadConfig(), FIND_TIMEOUT_S)
            found = self.link.leader if answer.is_ok() else ""
            if found != self.leader:
                text = "leader regained" if found else "leader lost"
                LOG.info(text, leader=found, before=self.leader)
            self.leader = found
            traffic.PROCESS.log(clocks.boot_time())
            await asyncio.sleep(FIND_EVERY_S)

    async def on_call(self, data: bytes) -> bytes:
        """Answer an encoded call."""
        decoded = wire.CALLS.decode(data)
        if decoded.is_error():
            answer = outcomes.Refused(failure=decoded.error)
        elif isinstance(decoded.ok, messages.ReplicaHello):
            answer = self.info()
        else:
            answer = outcomes.NotLeader(hint=self.leader)
        return wire.CALLS.encode(answer)

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
        return dumps.to_json({"settings": self.settings, "info": self.info()})

    def learn(self, addresses: tuple[str, ...]) -> None:
        """Take further addresses of replicas."""
        self.link.learn(addresses)

    async def stop(self) -> None:
        """Close everything."""
        if self.finder is not None:
            self.finder.cancel()
        if self.grpc_server is not None:
            await self.grpc_server.stop(grace=0.5)
        await self.link.close()
        LOG.info("stopped", replica=self.settings.replica)
