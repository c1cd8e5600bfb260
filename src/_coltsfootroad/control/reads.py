"""Calls that a leader answers from memory while it holds a lease."""

from collections.abc import Callable
import json

import attrs

from _coltsfootroad.control import coordinator as coordinator_lib
from _coltsfootroad.control import crashreports
from _coltsfootroad.control import electiontimer
from _coltsfootroad.control import evacuations
from _coltsfootroad.control import messages
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import state as state_lib
from _coltsfootroad.control import watchcache
from _coltsfootroad.control import watching
from _coltsfootroad.core import errors
from _coltsfootroad.core import registry


def answer(node, message: object, now: float) -> object:
    """Return the leader's reply to a call that changes no durable state."""
    handler = ANSWERS.get(type(message))
    if handler is None:
        return outcomes.Refused(
            failure=errors.Failure(
                errors.ErrorCode.BAD_REQUEST,
                f"{type(message).__name__} is no call",
            )
        )
    return handler(node, message, now)


def on_sync(node, message: messages.SyncRequest, now: float) -> object:
    """Handle the heartbeat of an entry."""
    return node.coordinator.on_sync(message, now)


def on_watch(node, message: watching.Watch, now: float) -> object:
    """Handle a gateway's watch, or refer it to the relays of its zone."""
    near = watchcache.relays_in_zone(
        node.coordinator.fleet_state, message, node.watch_cache.relay
    )
    if near:
        return watching.AskElsewhere(relays=near)
    response = node.coordinator.on_watch(message, now)
    return attrs.evolve(response, replicas=node.replica_addresses())


def on_relay_watch(node, message: watching.RelayWatch, now: float) -> object:
    """Handle the watch of a relay."""
    response = node.coordinator.on_relay_watch(message, now)
    return attrs.evolve(response, replicas=node.replica_addresses())


def on_announce(node, message: messages.Announce, now: float) -> object:
    """Register the announcement of an endpoint."""
    node.coordinator.record_announcement(
        message.announcement, coordinator_lib.ANNOUNCEMENT_LEASE_S, now
    )
    return outcomes.Done()


def read_routes(node, _: messages.ReadRoutes, __: float) -> object:
    """Return the current route configuration as its source document."""
    routes = node.state.routes
    return messages.RoutesCopy(version=routes.version, source=routes.source)


def reserve(node, message: messages.GroupReserve, now: float) -> object:
    """Reserve memory for a group."""
    return node.coordinator.groups.reserve(message, now)


def release(node, message: messages.GroupRelease, _: float) -> object:
    """Release the memory of a group."""
    node.coordinator.groups.release(message.group)
    return outcomes.Done()


def read_config(node, _: messages.ReadConfig, __: float) -> object:
    """Return the configuration."""
    configs = node.state.configs
    return messages.ConfigUpdate(
        version=configs.version,
        document=json.dumps(configs.document).encode(),
    )


def read_status(node, _: messages.ReadStatus, now: float) -> object:
    """Return the status of the control plane as JSON."""
    return messages.Status(document=json.dumps(status(node, now)).encode())


def take_snapshot(node, _: messages.TakeSnapshot, __: float) -> object:
    """Return a snapshot of the complete state."""
    return messages.SnapshotCopy(
        index=node.raft.applied, data=state_lib.save(node.state)
    )


def read_quarantine(node, _: crashreports.ReadQuarantine, __: float) -> object:
    """Return the requests in quarantine."""
    entries = node.state.quarantine.entries.values()
    return crashreports.QuarantineCopy(entries=tuple(entries))


def read_evacuations(node, _: evacuations.ReadEvacuations, __: float) -> object:
    """Return the newest order of each zone."""
    orders = node.state.evacuation.orders.values()
    return evacuations.EvacuationsCopy(orders=tuple(orders))


Answer = Callable[[object, object, float], object]
ANSWERS: dict[type, Answer] = {
    messages.SyncRequest: on_sync,
    watching.Watch: on_watch,
    watching.RelayWatch: on_relay_watch,
    messages.Announce: on_announce,
    messages.ReadRoutes: read_routes,
    messages.GroupReserve: reserve,
    messages.GroupRelease: release,
    messages.ReadConfig: read_config,
    messages.ReadStatus: read_status,
    messages.TakeSnapshot: take_snapshot,
    crashreports.ReadQuarantine: read_quarantine,
    evacuations.ReadEvacuations: read_evacuations,
}


def status(node, now: float) -> dict:
    """Return the leader's view of the fleet as JSON values."""
    raft, coordinator = node.raft, node.coordinator
    return {
        "leader": node.replica.identity,
        "term": raft.term,
        "version": node.state.configs.version,
        "commit": raft.commit,
        "claims": len(node.state.claims.claims),
        "replicas_joined": len(raft.replica_set.voters),
        "replicas_needed": node.membership.required_voters,
        "replicas": [
            replica_status(raft, identity, now)
            for identity in raft.replica_set.by_identity()
        ],
        "relays": [
            attrs.asdict(live.relay) for live in coordinator.relays.values()
        ],
        "entries": [
            attrs.asdict(live.member) | {"relay": live.relay}
            for live in coordinator.members.values()
        ],
        "endpoints": [
            endpoint_status(known.announcement)
            for known in coordinator.registry.registrations.values()
        ],
    }


def replica_status(raft, identity: str, now: float) -> dict:
    """Return the replication status of a replica and why it lags."""
    replica = raft.replica_set.by_identity()[identity]
    progress = raft.progress[identity]
    is_self = identity == raft.identity
    reply_age_s = 0.0 if is_self else now - progress.acked_at
    is_voter = identity in raft.replica_set.voter_identities()
    lag = raft.log.last_index - progress.match
    state = "current"
    if reply_age_s > electiontimer.ELECTION_TIMEOUT_MAX_S:
        state = "silent"
    elif progress.snapshot is not None:
        state = "receiving a snapshot"
    elif lag:
        state = "catching up"
    return {
        "identity": identity,
        "address": replica.address,
        "voter": is_voter,
        "behind": lag,
        "state": state,
        "silent_s": round(reply_age_s, 1) if reply_age_s < 1e9 else None,
    }


def endpoint_status(announcement: registry.Announcement) -> dict:
    """Return the status of an endpoint."""
    return {
        "endpoint": announcement.endpoint,
        "service": announcement.service,
        "address": announcement.address,
        "state": announcement.state.value,
        "incarnation": announcement.incarnation,
        "availability_zone": announcement.availability_zone,
    }
