"""Runs a replica on the event loop: gRPC, timers, HTTP for operators."""

import asyncio
import random
import time
import traceback

from expression import Ok

from _coltsfootroad.control import membership as membership_lib
from _coltsfootroad.control import messages
from _coltsfootroad.control import node as node_lib
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import peers
from _coltsfootroad.control import replicas
from _coltsfootroad.control import retrylending
from _coltsfootroad.control import watchcache
from _coltsfootroad.control import watching
from _coltsfootroad.shell import clientmemory
from _coltsfootroad.shell import clientserver
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import controlrelay
from _coltsfootroad.shell import disk as disk_lib
from _coltsfootroad.shell import dumps
from _coltsfootroad.shell import evacuationapi
from _coltsfootroad.shell import evacuationlogger
from _coltsfootroad.shell import leaderpoller
from _coltsfootroad.shell import links
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import metrics as metrics_lib
from _coltsfootroad.shell import operatorapi
from _coltsfootroad.shell import quarantineapi
from _coltsfootroad.shell import quarantinelogger
from _coltsfootroad.shell import quorumlogger
from _coltsfootroad.shell import retryloanlogger
from _coltsfootroad.shell import settings as settings_lib
from _coltsfootroad.shell import traffic
from _coltsfootroad.shell import watchserver
from _coltsfootroad.shell import web
from _coltsfootroad.shell import wireformats

LOG = logs.logger("control")
MIN_TICK_DELAY_S = 0.005
# Messages that no replica sends may arrive at any rate.
PEER_FAULT_LOG_LIMIT = logs.LogRateLimit(20, 10.0)
JOIN_TIMEOUT_S = 2.0
# How long a stopping replica waits for a leadership transfer and for its
# removal from the voters: ten times what both take, and an eighth of the usual
# time for stopping.
LEAVE_TIMEOUT_S = 1.0
LEAVE_RETRY_INTERVAL_S = 0.1


class ControlServer:
    """One replica with its listeners, connections and timers.

    Attributes:
        fatal_error: Set to the exception that has to end the process.
        reported_addresses: Addresses that senders of Raft messages stated, by
            identity.
        watched_state: What responses to watches depend on, as of the last
            check for changes.
    """

    def __init__(
        self,
        settings: settings_lib.ControlSettings,
        folder: disk_lib.DataFolder,
        metrics: metrics_lib.Metrics,
        clients: clientmemory.ClientMemory,
    ):
        self.settings = settings
        self.clients = clients
        self.folder = folder
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()
        self.clock = clocks.boot_time
        self.watched_state = None
        self.control_client = links.GrpcControlClient(settings.peers())
        self.join_task: asyncio.Task | None = None
        self.peer_links: dict[str, links.PeerLink] = {}
        self.reported_addresses: dict[str, str] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.is_processing_scheduled = False
        self.grpc_server = None
        self.http_server = None
        self.fatal_error: asyncio.Future = self.loop.create_future()
        self.node = node_lib.ControlNode(
            replica=replicas.Replica(
                name=settings.replica,
                disk=folder.disk,
                address=settings.address,
            ),
            storage=folder,
            send=self.send,
            wall_clock=time.time,
            rng=random.Random(),
            started_at=clocks.PROCESS_STARTED_AT,
            membership=membership_lib.Membership(settings.required_voters),
            watch_cache=watchcache.WatchCache(make_relay(settings)),
        )
        self.watch_server = watchserver.WatchServer(
            self.node.watch_cache, self.call_node
        )
        self.watch_server.leader_poller = leaderpoller.LeaderPoller(
            self.node.watch_cache,
            self.control_client,
            self.is_leading,
            self.watch_server.wake_watches,
            self.fatal_error,
            self.node.replica_addresses,
        )
        self.quorum_logger = quorumlogger.QuorumLogger(self.node)
        self.quarantine_logger = quarantinelogger.QuarantineLogger(self.node)
        self.evacuation_logger = evacuationlogger.EvacuationLogger(self.node)
        self.retry_loan_logger = retryloanlogger.RetryLoanLogger(self.node)
        self.add_metrics()

    # --- lifecycle -------------------------------------------------------

    async def start(self, listen_admin: bool = True) -> None:
        """Open the listeners and start timers and background tasks."""
        if listen_admin:
            self.listen_admin()
        self.grpc_server = links.make_server(
            self.on_call,
            self.on_peer,
            self.on_stream,
            max_connections=self.settings.peer_connection_limit,
        )
        links.listen(self.grpc_server, self.settings.listen)
        await self.grpc_server.start()
        self.open_peer_links()
        self.run_tick()
        self.watch_server.leader_poller.start()
        if self.settings.peers():
            self.join_task = asyncio.ensure_future(self.join_when_needed())
        LOG.info(
            "replica {} listens on {}, admin on {}",
            self.node.replica.identity,
            self.settings.listen,
            self.settings.admin_listen,
        )

    def listen_admin(self) -> None:
        """Open the listener for operators."""
        routes = [
            *operatorapi.routes(self),
            *quarantineapi.routes(self),
            *evacuationapi.routes(self),
            *web.admin_routes(
                self.settings.admin_token, self.dump, self.metrics
            ),
        ]
        app = operatorapi.make_application(routes)
        self.http_server = clientserver.listen(
            app,
            self.settings.admin_listen,
            operatorapi.MAX_BODY_BYTES,
            self.clients,
        )

    async def stop(self) -> None:
        """Leave the voters, then close all connections, listeners and files.

        Acknowledged data is on the disk already.
        """
        if self.join_task is not None:
            self.join_task.cancel()
        self.watch_server.leader_poller.stop()
        await self.leave()
        if self.timer is not None:
            self.timer.cancel()
        await self.control_client.close()
        if self.http_server is not None:
            self.http_server.stop()
        if self.grpc_server is not None:
            await self.grpc_server.stop(grace=0.5)
        for link in self.peer_links.values():
            await link.close()
        self.folder.close()
        LOG.info("replica {} stopped", self.node.replica.identity)

    async def leave(self) -> None:
        """Transfer leadership, and ask the leader to be removed as a voter.

        The leader removes it if the replica set is better off without it. The
        set then has its fault tolerance as soon as the process ends, not only
        after the replica has been found unresponsive.
        """
        node = self.node
        if not node.raft.peer_identities():
            return
        end = self.loop.time() + LEAVE_TIMEOUT_S
        self.run_critical(node.transfer_leadership, self.clock())
        self.check_changes()
        self.control_client.add_addresses(node.replica_addresses())
        message = messages.LeaveReplica(replica=node.replica)
        answer = None
        while self.loop.time() < end:
            remaining_s = end - self.loop.time()
            answer = await self.control_client.call(message, remaining_s)
            if answer.is_error() or isinstance(answer.ok, outcomes.Done):
                break
            # Another change of the replica set is in progress; each takes two
            # syncs to disk.
            await asyncio.sleep(LEAVE_RETRY_INTERVAL_S)
        LOG.info("leaves", replica=node.replica.identity, got=str(answer))

    def bootstrap(self) -> bool:
        """Become the only voter of a new system; return whether it did."""
        return self.node.bootstrap(self.clock())

    async def join_when_needed(self) -> None:
        """Request to join the voters whenever this replica is not one."""
        while True:
            if self.node.voter_monitor.should_join(self.clock()):
                await self.request_to_join()
            await asyncio.sleep(membership_lib.JOIN_INTERVAL_S)

    async def request_to_join(self) -> None:
        """Ask the leader for membership, or bootstrap as the first replica."""
        raft = self.node.raft
        if not raft.replica_set.voters and await self.can_bootstrap():
            LOG.info("bootstrapping a new system", replica=raft.identity)
            self.bootstrap()
            return
        self.control_client.add_addresses(self.node.replica_addresses())
        answer = await self.control_client.call(
            messages.JoinReplica(replica=self.node.replica), JOIN_TIMEOUT_S
        )
        LOG.info("asked for a vote", replica=raft.identity, got=str(answer))

    async def can_bootstrap(self) -> bool:
        """Return whether this is the first seed that can bootstrap the system.

        All seeds listed before it have to respond as relays, which have no
        disk and so cannot.
        """
        before = self.settings.preceding_seeds()
        if before is None:
            return False
        for address in before:
            answer = await self.control_client.call_replica(
                address, messages.ReplicaHello(), JOIN_TIMEOUT_S
            )
            role = answer.map(reported_role).default_value("")
            if role != controlrelay.ROLE:
                return False
        return True

    def run_critical(self, function, *arguments) -> None:
        """Run a step of the node; an exception in it ends the process.

        An incomplete step leaves a state in memory that the disk does not
        hold, and a timer that is not scheduled again.
        """
        try:
            function(*arguments)
        except Exception as error:  # noqa: BLE001
            LOG.critical("stopping on a fault", fault=traceback.format_exc())
            if not self.fatal_error.done():
                self.fatal_error.set_exception(error)

    # --- timers ----------------------------------------------------------

    def run_tick(self) -> None:
        """Run the node's timers and schedule the next tick."""
        self.timer = None
        self.run_critical(self.node.tick, self.clock())
        self.check_changes()
        self.quorum_logger.log_changes(self.clock())
        traffic.PROCESS.log_if_due(self.clock())
        self.schedule_tick()

    def schedule_tick(self) -> None:
        """Schedule the next tick, ahead of the scheduled one if necessary.

        A new leader's heartbeats are due long before the election time-out for
        which its tick was scheduled; without them, the other replicas would
        start another election.
        """
        wait_s = max(MIN_TICK_DELAY_S, self.node.next_wake() - self.clock())
        due = self.loop.time() + wait_s
        if self.timer is not None:
            if self.timer.when() <= due:
                return
            self.timer.cancel()
        self.timer = self.loop.call_at(due, self.run_tick)

    def schedule_processing(self) -> None:
        """Schedule one `process` for all calls of this loop iteration.

        They share one sync to disk.
        """
        if not self.is_processing_scheduled:
            self.is_processing_scheduled = True
            self.loop.call_soon(self.process)

    def process(self) -> None:
        """Process the commands of the calls of one loop iteration."""
        self.is_processing_scheduled = False
        self.run_critical(self.node.process, self.clock())
        self.check_changes()
        self.schedule_tick()

    def check_changes(self) -> None:
        """Check watches again if what their responses depend on changed."""
        self.quarantine_logger.log_changes()
        self.evacuation_logger.log_changes()
        coordinator = self.node.coordinator
        watched_state = (
            coordinator and coordinator.epoch,
            coordinator and coordinator.last_revision,
            self.node.state.routes.version,
        )
        if watched_state != self.watched_state:
            self.log_state_change(watched_state)
            self.watched_state = watched_state
            self.watch_server.wake_watches()

    def log_state_change(self, watched_state: tuple) -> None:
        """Log a change of leadership or of the applied route version."""
        before = self.watched_state or (None, None, None)
        epoch, _, version = watched_state
        raft = self.node.raft
        if epoch != before[0]:
            LOG.info(
                "leads" if epoch else "does not lead",
                epoch=epoch or "",
                term=raft.term,
                leader=raft.leader,
            )
        if version != before[2]:
            LOG.info(
                "routes applied",
                version=version,
                before=before[2],
                term=raft.term,
            )

    # --- messages --------------------------------------------------------

    def send(self, identity: str, message) -> None:
        """Send a Raft message to another replica, if its address is known."""
        replica = self.node.raft.replica_set.by_identity().get(identity)
        reported = self.reported_addresses.get(identity, "")
        address = replica.address if replica else reported
        if address:
            self.peer_link(address).send(message)

    def peer_link(self, address: str) -> links.PeerLink:
        """Return the link to another replica, opened if there is none."""
        if address not in self.peer_links:
            self.peer_links[address] = links.PeerLink(
                address, self.node.replica.identity, self.settings.address
            )
        return self.peer_links[address]

    def open_peer_links(self) -> None:
        """Open the links to all known voters.

        Replicas that start together need every voter's reply for an early
        election. The links tell the other replicas that this one runs, and
        save the first vote request the time to connect.
        """
        raft = self.node.raft
        replicas = raft.replica_set.by_identity()
        for identity in raft.peer_identities():
            self.peer_link(replicas[identity].address)

    def on_stream(self, sender: str, address: str) -> None:
        """Record that another replica runs and reconnect to it at once."""
        if self.reported_addresses.get(sender) != address:
            self.reported_addresses[sender] = address
            # With an empty disk and no reachable seed, a replica finds the
            # leader by this: the leader still sends messages to its address.
            self.control_client.add_addresses((address,) if address else ())
        if address in self.peer_links:
            self.peer_links[address].record_contact()

    def on_peer(self, sender: str, address: str, data: bytes) -> None:
        """Process a Raft message of another replica."""
        self.on_stream(sender, address)
        decoded = wireformats.PEERS.decode(data)
        fault = (
            decoded.error.message
            if decoded.is_error()
            else peers.fault_of(decoded.ok)
        )
        if fault:
            if PEER_FAULT_LOG_LIMIT.allows(self.clock()):
                LOG.warning("peer message dropped", sender=sender, fault=fault)
            return
        self.run_critical(self.node.on_peer, decoded.ok, self.clock())
        self.schedule_tick()

    async def on_call(self, data: bytes) -> bytes:
        """Answer an encoded call."""
        decoded = wireformats.CALLS.decode(data)
        if decoded.is_error():
            answer = outcomes.Refused(failure=decoded.error)
        else:
            answer = await self.call(decoded.ok)
        return wireformats.CALLS.encode(answer)

    async def call(self, message: object) -> object:
        """Answer a call; a watch is held until there are changes."""
        if isinstance(message, watching.Watch | watching.RelayWatch):
            return await self.watch_server.answer(message)
        answer = await self.call_node(message)
        if isinstance(message, retrylending.BorrowRetries):
            self.retry_loan_logger.log_answer(message, answer, self.clock())
        return answer

    def is_leading(self) -> bool:
        """Return whether this replica answers as the leader."""
        return self.node.coordinator is not None

    async def call_node(self, message: object) -> object:
        """Return the node's answer, once the call's command is applied."""
        future = self.loop.create_future()

        def reply(answer: object) -> None:
            if not future.done():
                future.set_result(answer)

        self.run_critical(self.node.call, message, self.clock(), reply)
        self.schedule_processing()
        return await future

    # --- dump and metrics ------------------------------------------------

    def dump(self) -> bytes:
        """Return the state of the process as JSON for operators."""
        raft = self.node.raft
        return dumps.to_json(
            {
                "settings": self.settings,
                "info": self.node.info(),
                "clients": self.clients.dump(),
                "replica_set": raft.replica_set,
                "quorum": self.node.voter_monitor.view(self.clock()),
                "progress": raft.progress,
                "log_entries": len(raft.log.entries),
                "snapshot_index": raft.log.snapshot.index,
                "config": self.node.state.configs.document,
                "claims": len(self.node.state.claims.claims),
                "leases": self.node.state.leases,
                "quarantine": list(self.node.state.quarantine.entries.values()),
                "evacuation": self.node.state.evacuation.orders,
                "hub": self.coordinator_dump(),
                "syncs": self.node.syncs,
            }
        )

    def coordinator_dump(self) -> dict | None:
        """Return the leader's in-memory state, None if this is no leader."""
        coordinator = self.node.coordinator
        if coordinator is None:
            return None
        return {
            "members": coordinator.members,
            "registry": coordinator.registry,
            "shares": coordinator.shares,
            "groups": coordinator.groups,
            "crashes": coordinator.crashes,
            "retries_lent": coordinator.retry_lender.outstanding(),
        }

    def add_metrics(self) -> None:
        """Register the metrics of this replica."""
        node = self.node
        raft = node.raft
        gauge, counter = self.metrics.gauge, self.metrics.counter
        gauge("colts_control_term", "Raft term", lambda: raft.term)
        gauge("colts_control_is_leader", "1 if leading", lambda: raft.is_leader)
        gauge(
            "colts_control_retries_lent",
            "Retries lent to gateways, of all services",
            self.retry_loan_logger.outstanding,
        )
        gauge(
            "colts_control_failures_tolerated",
            "Voters that may still fail with a quorum left, on the leader",
            self.failures_tolerated,
        )
        gauge("colts_control_commit", "Commit index", lambda: raft.commit)
        gauge(
            "colts_control_config_version",
            "Configuration version applied here",
            lambda: node.state.configs.version,
        )
        gauge(
            "colts_control_claims",
            "Idempotency keys kept",
            lambda: len(node.state.claims.claims),
        )
        gauge(
            "colts_control_evacuated_zones",
            "Evacuated zones in the state applied here",
            self.evacuation_logger.evacuated,
        )
        gauge(
            "colts_control_disk_full",
            "1 while a full disk stops this replica",
            lambda: node.is_blocked,
        )
        counter("colts_control_syncs", "Syncs to disk", lambda: node.syncs)
        traffic.PROCESS.add_metrics(self.metrics)

    def failures_tolerated(self) -> float | None:
        """Return how many voters may still fail; None if not the leader."""
        return self.node.voter_monitor.view(self.clock()).failures_tolerated


def reported_role(answer: object) -> str:
    """Return the role in a process's answer, empty if there is none."""
    return getattr(answer, "role", "")


def make_relay(settings: settings_lib.ControlSettings) -> watching.Relay:
    """Describe this process to gateways as a relay."""
    return watching.Relay(
        name=settings.replica,
        incarnation=time.time_ns(),
        address=settings.address,
        availability_zone=settings.availability_zone,
    )


class ForwardingControlClient(links.ControlClient):
    """Calls the replica in this process, else the leader that it names."""

    def __init__(self, server: ControlServer):
        self.server = server

    async def call(self, message, timeout_s):
        """Return the leader's response."""
        answer = await self.server.call(message)
        if not isinstance(answer, outcomes.NotLeader):
            return Ok(answer)
        client = self.server.control_client
        client.add_addresses(self.server.node.replica_addresses())
        if answer.hint:
            client.leader = answer.hint
        return await client.call(message, timeout_s)


class LocalControlClient(links.ControlClient):
    """Calls a replica in the same process, for `colts-standalone`."""

    def __init__(self, server: ControlServer):
        self.server = server

    async def call(self, message, timeout_s):
        """Return the replica's response."""
        answer = await asyncio.wait_for(self.server.call(message), timeout_s)
        if isinstance(answer, outcomes.NotLeader):
            return links.unreachable("the replica does not lead yet")
        return Ok(answer)
