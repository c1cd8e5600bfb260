"""Runs a replica on the loop: gRPC, timers, operators' HTTP."""

import asyncio
import random
import time
import traceback

from expression import Ok

from _coltsfootroad.control import membership as membership_lib
from _coltsfootroad.control import messages
from _coltsfootroad.control import mirror as mirror_lib
from _coltsfootroad.control import node as node_lib
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import replicas
from _coltsfootroad.control import retrylending
from _coltsfootroad.control import watching
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import controlrelay
from _coltsfootroad.shell import disk as disk_lib
from _coltsfootroad.shell import dumps
from _coltsfootroad.shell import links
from _coltsfootroad.shell import loanlog
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import metrics as metrics_lib
from _coltsfootroad.shell import operators
from _coltsfootroad.shell import quarantineapi
from _coltsfootroad.shell import quarantinelog
from _coltsfootroad.shell import quorumlog
from _coltsfootroad.shell import relayloop
from _coltsfootroad.shell import settings as settings_lib
from _coltsfootroad.shell import traffic
from _coltsfootroad.shell import watchdesk
from _coltsfootroad.shell import web
from _coltsfootroad.shell import wirecalls

LOG = logs.logger("control")
MIN_WAKE_S = 0.005
JOIN_TIMEOUT_S = 2.0
# Longest that a stopping replica waits for another leader and for the end of
# its vote: ten times what both take, an eighth of the usual time to stop.
LEAVE_S = 1.0
LEAVE_RETRY_S = 0.1


class ControlServer:
    """One replica with its sockets and timers."""

    def __init__(
        self,
        settings: settings_lib.ControlSettings,
        folder: disk_lib.DataFolder,
        metrics: metrics_lib.Metrics,
    ):
        self.settings = settings
        self.folder = folder
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()
        self.clock = clocks.boot_time
        self.seen = None
        self.link = links.GrpcControlLink(settings.peers())
        self.join_task: asyncio.Task | None = None
        self.peer_links: dict[str, links.PeerLink] = {}
        self.learned_addresses: dict[str, str] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.process_planned = False
        self.grpc_server = None
        self.http_server = None
        self.broken: asyncio.Future = self.loop.create_future()
        self.node = node_lib.ControlNode(
            replica=replicas.Replica(
                name=settings.replica,
                disk=folder.disk,
                address=settings.address,
            ),
            storage=folder,
            send=self.send,
            wall=time.time,
            rng=random.Random(),
            started_at=clocks.PROCESS_STARTED_AT,
            membership=membership_lib.Membership(settings.required_voters),
            mirror=mirror_lib.Mirror(relay_of(settings)),
        )
        self.desk = watchdesk.WatchDesk(self.node.mirror, self.call_node)
        self.desk.relay = relayloop.RelayLoop(
            self.node.mirror,
            self.link,
            self.leads,
            self.desk.wake,
            self.broken,
            self.node.replica_addresses,
        )
        self.quorum_log = quorumlog.QuorumLog(self.node)
        self.quarantine_log = quarantinelog.QuarantineLog(self.node)
        self.loan_log = loanlog.LoanLog(self.node)
        self.add_metrics()

    # --- life ------------------------------------------------------------

    async def start(self, listen_admin: bool = True) -> None:
        """Open the sockets and start the timers."""
        if listen_admin:
            self.listen_admin()
        self.grpc_server = links.make_server(self.on_call, self.on_peer)
        links.listen(self.grpc_server, self.settings.listen)
        await self.grpc_server.start()
        self.wake()
        self.desk.relay.start()
        if self.settings.peers():
            self.join_task = asyncio.ensure_future(self.join())
        LOG.info(
            "replica {} listens on {}, admin on {}",
            self.node.replica.identity,
            self.settings.listen,
            self.settings.admin_listen,
        )

    def listen_admin(self) -> None:
        """Open the operators' listener."""
        routes = [
            *operators.routes(self),
            *quarantineapi.routes(self),
            *web.admin_routes(
                self.settings.admin_token, self.dump, self.metrics
            ),
        ]
        app = operators.application(routes)
        self.http_server = web.listen(
            app, self.settings.admin_listen, operators.MAX_BODY_BYTES
        )

    async def stop(self) -> None:
        """Close everything; whatever was acknowledged is on the disk."""
        if self.join_task is not None:
            self.join_task.cancel()
        self.desk.relay.stop()
        await self.leave()
        if self.timer is not None:
            self.timer.cancel()
        await self.link.close()
        if self.http_server is not None:
            self.http_server.stop()
        if self.grpc_server is not None:
            await self.grpc_server.stop(grace=0.5)
        for link in self.peer_links.values():
            await link.close()
        self.folder.close()
        LOG.info("replica {} stopped", self.node.replica.identity)

    async def leave(self) -> None:
        """Hand over, and give up the vote where the set is better without.

        The set is whole when the process ends, not a second later.
        """
        node = self.node
        if not node.raft.others():
            return
        end = self.loop.time() + LEAVE_S
        self.guard(node.hand_over, self.clock())
        self.note_changes()
        self.link.learn(node.replica_addresses())
        message = messages.LeaveReplica(replica=node.replica)
        answer = None
        while self.loop.time() < end:
            left_s = end - self.loop.time()
            answer = await self.link.call(message, left_s)
            if answer.is_error() or isinstance(answer.ok, outcomes.Done):
                break
            # Another change of the set is under way; each takes two syncs.
            await asyncio.sleep(LEAVE_RETRY_S)
        LOG.info("leaves", replica=node.replica.identity, got=str(answer))

    def bootstrap(self) -> bool:
        """Become the only voter of a new system."""
        return self.node.bootstrap(self.clock())

    async def join(self) -> None:
        """Ask the leader for a vote whenever this replica has none."""
        while True:
            if self.node.watch.has_no_vote(self.clock()):
                await self.ask_for_vote()
            await asyncio.sleep(membership_lib.JOIN_EVERY_S)

    async def ask_for_vote(self) -> None:
        """Ask the leader for a vote, or begin the system as its first."""
        raft = self.node.raft
        if not raft.replica_set.voters and await self.stands_first():
            LOG.info("begins the system", replica=raft.identity)
            self.bootstrap()
            return
        self.link.learn(self.node.replica_addresses())
        answer = await self.link.call(
            messages.JoinReplica(replica=self.node.replica), JOIN_TIMEOUT_S
        )
        LOG.info("asked for a vote", replica=raft.identity, got=str(answer))

    async def stands_first(self) -> bool:
        """Return whether the seeds before this one cannot begin the system."""
        before = self.settings.preceding_seeds()
        if before is None:
            return False
        for address in before:
            found = await self.link.call_one(
                address, messages.ReplicaHello(), JOIN_TIMEOUT_S
            )
            role = found.map(role_of).default_value("")
            if role != controlrelay.ROLE:
                return False
        return True

    def guard(self, function, *arguments) -> None:
        """Run a step; a fault ends the process.

        Half of a step leaves a state that the disk does not hold, and a timer
        that is not planned again.
        """
        try:
            function(*arguments)
        except Exception as error:  # noqa: BLE001
            LOG.critical("stopping on a fault", fault=traceback.format_exc())
            if not self.broken.done():
                self.broken.set_exception(error)

    # --- time ------------------------------------------------------------

    def wake(self) -> None:
        """Tick and plan the next tick."""
        self.timer = None
        self.guard(self.node.tick, self.clock())
        self.note_changes()
        self.quorum_log.note(self.clock())
        traffic.PROCESS.log(self.clock())
        self.plan_wake()

    def plan_wake(self) -> None:
        """Plan the next tick, sooner than before where that is due now.

        A vote makes a leader, whose heartbeats are due long before the end
        of the election that it had planned for; the others would begin
        another one meanwhile.
        """
        wait_s = max(MIN_WAKE_S, self.node.next_wake() - self.clock())
        due = self.loop.time() + wait_s
        if self.timer is not None:
            if self.timer.when() <= due:
                return
            self.timer.cancel()
        self.timer = self.loop.call_at(due, self.wake)

    def plan_process(self) -> None:
        """Process once after this turn of the loop: one sync for many."""
        if not self.process_planned:
            self.process_planned = True
            self.loop.call_soon(self.process)

    def process(self) -> None:
        """Carry out what the calls of this turn led to."""
        self.process_planned = False
        self.guard(self.node.process, self.clock())
        self.note_changes()
        self.plan_wake()

    def note_changes(self) -> None:
        """Wake the watches whose answer may have changed."""
        self.quarantine_log.note()
        hub = self.node.hub
        seen = (
            hub and hub.epoch,
            hub and hub.last_mark,
            self.node.state.routes.version,
        )
        if seen != self.seen:
            self.log_beliefs(seen)
            self.seen = seen
            self.desk.wake()

    def log_beliefs(self, seen: tuple) -> None:
        """Log a change of leadership or of the version in force."""
        before = self.seen or (None, None, None)
        epoch, _, version = seen
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
        """Send a message to another replica."""
        replica = self.node.raft.replica_set.everyone().get(identity)
        learned = self.learned_addresses.get(identity, "")
        address = replica.address if replica else learned
        if not address:
            return
        if address not in self.peer_links:
            self.peer_links[address] = links.PeerLink(
                address, self.node.replica.identity, self.settings.address
            )
        self.peer_links[address].send(message)

    def on_peer(self, sender: str, address: str, data: bytes) -> None:
        """Take a message of another replica."""
        if self.learned_addresses.get(sender) != address:
            self.learned_addresses[sender] = address
            # With an empty disk and seeds that are all gone, this is how a
            # replica finds the leader, which still writes to its address.
            self.link.learn((address,) if address else ())
        if address in self.peer_links:
            self.peer_links[address].note_heard()
        decoded = wirecalls.PEERS.decode(data)
        if decoded.is_error():
            LOG.warning("peer message dropped: {}", decoded.error.message)
            return
        self.guard(self.node.on_peer, decoded.ok, self.clock())
        self.plan_wake()

    async def on_call(self, data: bytes) -> bytes:
        """Answer an encoded call."""
        decoded = wirecalls.CALLS.decode(data)
        if decoded.is_error():
            answer = outcomes.Refused(failure=decoded.error)
        else:
            answer = await self.call(decoded.ok)
        return wirecalls.CALLS.encode(answer)

    async def call(self, message: object) -> object:
        """Answer a call; a watch is held back while there is no news."""
        if isinstance(message, watching.Watch | watching.RelayWatch):
            return await self.desk.answer(message)
        answer = await self.call_node(message)
        if isinstance(message, retrylending.BorrowRetries):
            self.loan_log.note(message, answer, self.clock())
        return answer

    def leads(self) -> bool:
        """Return whether this replica answers as the leader."""
        return self.node.hub is not None

    async def call_node(self, message: object) -> object:
        """Answer a call at once, or when its command is applied."""
        future = self.loop.create_future()

        def reply(answer: object) -> None:
            if not future.done():
                future.set_result(answer)

        self.guard(self.node.call, message, self.clock(), reply)
        self.plan_process()
        return await future

    # --- facts -----------------------------------------------------------

    def dump(self) -> bytes:
        """Return the state of the process for people."""
        raft = self.node.raft
        return dumps.to_json(
            {
                "settings": self.settings,
                "info": self.node.info(),
                "replica_set": raft.replica_set,
                "quorum": self.node.watch.view(self.clock()),
                "progress": raft.progress,
                "log_entries": len(raft.log.entries),
                "snapshot_index": raft.log.snapshot.index,
                "config": self.node.state.configs.document,
                "claims": len(self.node.state.claims.claims),
                "leases": self.node.state.leases,
                "quarantine": list(self.node.state.quarantine.entries.values()),
                "hub": self.hub_dump(),
                "syncs": self.node.syncs,
            }
        )

    def hub_dump(self) -> dict | None:
        """Return the soft state, if this replica leads."""
        hub = self.node.hub
        if hub is None:
            return None
        return {
            "members": hub.members,
            "registry": hub.registry,
            "shares": hub.shares,
            "groups": hub.groups,
            "crashes": hub.crashes,
            "retries_lent": hub.retry_lender.outstanding(),
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
            self.loan_log.outstanding,
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
            "colts_control_disk_full",
            "1 while a full disk stops this replica",
            lambda: node.is_blocked,
        )
        counter("colts_control_syncs", "Syncs to disk", lambda: node.syncs)
        traffic.PROCESS.add_metrics(self.metrics)

    def failures_tolerated(self) -> float | None:
        """Return the fault tolerance, None where only a leader knows it."""
        return self.node.watch.view(self.clock()).failures_tolerated


def role_of(answer: object) -> str:
    """Return the role that a process names, empty if it names none."""
    return getattr(answer, "role", "")


def relay_of(settings: settings_lib.ControlSettings) -> watching.Relay:
    """Return what gateways are told of this process."""
    return watching.Relay(
        name=settings.replica,
        incarnation=time.time_ns(),
        address=settings.address,
        availability_zone=settings.availability_zone,
    )


class LeaderLink(links.ControlLink):
    """Calls the replica in this process, or the leader it knows of."""

    def __init__(self, server: ControlServer):
        self.server = server

    async def call(self, message, timeout_s):
        """Return the leader's answer."""
        answer = await self.server.call(message)
        if not isinstance(answer, outcomes.NotLeader):
            return Ok(answer)
        link = self.server.link
        link.learn(self.server.node.replica_addresses())
        if answer.hint:
            link.leader = answer.hint
        return await link.call(message, timeout_s)


class LocalLink(links.ControlLink):
    """Calls a replica in the same process, for `colts-standalone`."""

    def __init__(self, server: ControlServer):
        self.server = server

    async def call(self, message, timeout_s):
        """Return the replica's answer."""
        answer = await asyncio.wait_for(self.server.call(message), timeout_s)
        if isinstance(answer, outcomes.NotLeader):
            return links.unreachable("the replica does not lead yet")
        return Ok(answer)
