"""What a leader answers from memory while its lease holds."""

from collections.abc import Callable
import json

import attrs

from _coltsfootroad.control import coordinator as coordinator_lib
from _coltsfootroad.control import crashreports
from _coltsfootroad.control import electiontimer
from _coltsfootroad.control import messages
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import state as state_lib
from _coltsfootroad.control import watchcache
from _coltsfootroad.control import watching
from _coltsfootroad.core import errors
from _coltsfootroad.core import registry


def answer(node, message: object, now: float) -> object:
    """Return the leader's answer to a call that changes nothing durable."""
    found = ANSWERS.get(type(message))
    if found is None:
        return outcomes.Refused(
            failure=errors.Failure(
                errors.ErrorCode.BAD_REQUEST,
                f"{type(message).__name__} is no call",
            )
        )
    return found(node, message, now)


def on_sync(node, message: messages.SyncRequest, now: float) -> object:
    """Answer an entry's heartbeat."""
    return node.coordinator.on_sync(message, now)


def on_watch(node, message: watching.Watch, now: float) -> object:
    """Answer a gateway's watch, or send it to the relays of its zone."""
    near = watchcache.relays_in_zone(
        node.coordinator.fleet_state, message, node.watch_cache.relay
    )
    if near:
        return watching.AskElsewhere(relays=near)
    news = node.coordinator.on_watch(message, now)
    return attrs.evolve(news, replicas=node.replica_addresses())


def on_relay_watch(node, message: watching.RelayWatch, now: float) -> object:
    """Answer a relay's watch."""
    news = node.coordinator.on_relay_watch(message, now)
    return attrs.evolve(news, replicas=node.replica_addresses())


def on_announce(node, message: messages.Announce, now: float) -> object:
    """Take an endpoint's announcement."""
    node.coordinator.record_announcement(
        message.announcement, coordinator_lib.ANNOUNCEMENT_LEASE_S, now
    )
    return outcomes.Done()


def read_routes(node, _: messages.ReadRoutes, __: float) -> object:
    """Return the document of the version in force."""
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
    """Return what operators ask for."""
    return messages.Status(document=json.dumps(status(node, now)).encode())


def take_snapshot(node, _: messages.TakeSnapshot, __: float) -> object:
    """Return a copy of the whole state."""
    return messages.SnapshotCopy(
        index=node.raft.applied, data=state_lib.save(node.state)
    )


def read_quarantine(node, _: crashreports.ReadQuarantine, __: float) -> object:
    """Return what is refused."""
    entries = node.state.quarantine.entries.values()
    return crashreports.QuarantineCopy(entries=tuple(entries))


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
}


def status(node, now: float) -> dict:
    """Return the fleet as the leader sees it, as plain JSON values."""
    raft, coordinator = node.raft, node.coordinator
    return {
        "leader": node.replica.identity,
        "term": raft.term,
        "version": node.state.configs.version,
        "commit": raft.commit,
        "claims": len(node.state.claims.claims),
        "replicas": [
            replica_status(raft, identity, now)
            for identity in raft.replica_set.everyone()
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
    """Return where one replica stands and why it is behind."""
    replica = raft.replica_set.everyone()[identity]
    progress = raft.progress[identity]
    own = identity == raft.identity
    silent_s = 0.0 if own else now - progress.acked_at
    voter = identity in raft.replica_set.voter_identities()
    lag = raft.log.last_index - progress.match
    reason = "current"
    if silent_s > electiontimer.ELECTION_MAX_S:
        reason = "silent"
    elif progress.snapshot is not None:
        reason = "receiving a snapshot"
    elif lag:
        reason = "catching up"
    return {
        "identity": identity,
        "address": replica.address,
        "voter": voter,
        "behind": lag,
        "state": reason,
        "silent_s": round(silent_s, 1) if silent_s < 1e9 else None,
    }


def endpoint_status(announcement: registry.Announcement) -> dict:
    """Return an endpoint for operators."""
    return {
        "endpoint": announcement.endpoint,
        "service": announcement.service,
        "address": announcement.address,
        "state": announcement.state.value,
        "incarnation": announcement.incarnation,
        "availability_zone": announcement.availability_zone,
    }
