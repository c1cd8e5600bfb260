"""Messages between entries, operators and the control state."""

import enum

import attrs

from _coltsfootroad.control import replicas
from _coltsfootroad.core import addresses
from _coltsfootroad.core import endpoints
from _coltsfootroad.core import errors
from _coltsfootroad.core import limits
from _coltsfootroad.core import registry
from _coltsfootroad.core import request as request_lib
from _coltsfootroad.core import routes as routes_lib


@attrs.frozen(kw_only=True)
class PatchConfig:
    """Patches the configuration if its version is still `base_version`."""

    patch_id: str
    base_version: int
    patch: bytes


@attrs.frozen(kw_only=True)
class PatchAnswer:
    """Outcome of a patch: the new version, or the reason for refusal."""

    version: int
    failure: errors.Failure | None = None


class ClaimStatus(enum.Enum):
    """Outcome of claiming an idempotency key."""

    GRANTED = "granted"
    IN_PROGRESS = "in_progress"
    DONE = "done"
    NOT_STORED = "not_stored"
    UNKNOWN = "unknown"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    FULL = "full"


@attrs.frozen(kw_only=True)
class TakeClaim:
    """Requests the right to run an idempotency key.

    Attributes:
        workspace: Namespace of the key.
        key: Idempotency key of the caller.
        key_time: When the caller created the key, in unix seconds.
        body_hash: Hash of the request.
        token: Request id of the claimant; resends of this message repeat it.
        lease_s: Seconds after which the claimant has certainly stopped.
    """

    workspace: str
    key: str
    key_time: float
    body_hash: str
    token: str
    lease_s: float


@attrs.frozen(kw_only=True)
class ClaimAnswer:
    """Answer to `TakeClaim`."""

    status: ClaimStatus
    answer: request_lib.Answer | None = None
    retry_after_s: float | None = None


@attrs.frozen(kw_only=True)
class SettleClaim:
    """Records the outcome of a claimed key; needs the token of the claim."""

    workspace: str
    key: str
    token: str
    ran: errors.Ran
    answer: request_lib.Answer | None = None


@attrs.frozen(kw_only=True)
class ConfigUpdate:
    """A configuration version: a document, or patches to `base_version`."""

    version: int
    document: bytes = b""
    base_version: int = -1
    patches: tuple[bytes, ...] = ()


@attrs.frozen(kw_only=True)
class Holding:
    """A share that an entry holds, reported for a new leader."""

    workspace: str
    grant: int
    tokens_per_s: float | None
    concurrency: int | None
    in_flight: int
    remaining_s: float


@attrs.frozen(kw_only=True)
class GroupReserve:
    """Reserves memory on several engines, all or nothing.

    `engines` maps engine names to tokens of KV cache. The reservation is a
    lease; a request with the same `group` renews it.
    """

    group: str
    service: str
    engines: dict[str, int]
    lease_s: float


@attrs.frozen(kw_only=True)
class GroupAnswer:
    """Outcome of a reservation; `busy` names the engines not available."""

    group: str
    granted: bool
    busy: tuple[str, ...] = ()
    retry_after_s: float = 0.2


@attrs.frozen(kw_only=True)
class GroupRelease:
    """Ends a reservation."""

    group: str


@attrs.frozen(kw_only=True)
class AgedLoad:
    """A load report and its age, since clocks differ between processes."""

    report: endpoints.LoadReport
    age_s: float


@attrs.frozen(kw_only=True)
class SyncRequest:
    """Heartbeat of an entry.

    Attributes:
        member: The entry itself.
        config_version: Configuration version at the entry, -1 for none.
        epoch: Epoch of the registry that `registry_mark` belongs to.
        registry_mark: Revision up to which the entry knows the registry.
        announcements: Announcements received since the last heartbeat.
        loads: Load reports received since the last heartbeat.
        demands: Demand for the workspaces' limits.
        holdings: Shares that the entry holds.
    """

    member: addresses.Member
    config_version: int
    epoch: str = ""
    registry_mark: int = 0
    announcements: tuple[registry.Announcement, ...] = ()
    loads: tuple[AgedLoad, ...] = ()
    demands: tuple[limits.Demand, ...] = ()
    holdings: tuple[Holding, ...] = ()


@attrs.frozen(kw_only=True)
class SyncReply:
    """Answer to a heartbeat.

    Attributes:
        epoch: Identifies the leader and term that assigned `registry_mark`.
        registry_mark: Revision that the entry knows after this reply.
        config: Newer configuration, None if there is none.
        members: Live entries that changed since the entry's revision.
        lost_members: Entries removed since that revision.
        shares: New shares of the limits.
        announcements: Endpoints changed since that revision.
        gone: Endpoints whose lease expired or that signed off since then.
        loads: Load reports received since that revision.
        group_holds: Tokens reserved by groups, per engine.
    """

    epoch: str
    registry_mark: int
    config: ConfigUpdate | None = None
    members: tuple[addresses.Member, ...] = ()
    lost_members: tuple[str, ...] = ()
    shares: tuple[limits.Share, ...] = ()
    announcements: tuple[registry.Announcement, ...] = ()
    gone: tuple[str, ...] = ()
    loads: tuple[AgedLoad, ...] = ()
    group_holds: dict[str, int] = attrs.Factory(dict)


@attrs.frozen(kw_only=True)
class ReadConfig:
    """Requests the configuration document."""


@attrs.frozen(kw_only=True)
class ReadStatus:
    """Requests the status of members, endpoints and replicas."""


@attrs.frozen(kw_only=True)
class Status:
    """Status of the fleet, as JSON for operators."""

    document: bytes


@attrs.frozen(kw_only=True)
class ReplicaHello:
    """Requests a replica's identity and Raft position."""


@attrs.frozen(kw_only=True)
class ReplicaInfo:
    """Identity and Raft position of a replica."""

    replica: replicas.Replica
    role: str
    term: int
    last_index: int
    commit: int
    leader: str
    version: int


class ReplicaAction(enum.Enum):
    """Kinds of changes to the set of replicas."""

    LEARN = "learn"
    PROMOTE = "promote"
    REMOVE = "remove"


@attrs.frozen(kw_only=True)
class ChangeReplicas:
    """Changes the set of replicas.

    `LEARN` adds `replica` as a learner. `PROMOTE` makes it a voter and
    removes `replaces` in the same step. `REMOVE` removes it. `reason` is for
    the log.
    """

    action: ReplicaAction
    replica: replicas.Replica
    replaces: str = ""
    reason: str = ""


@attrs.frozen(kw_only=True)
class TakeSnapshot:
    """Requests a snapshot of the complete state, for backup."""


@attrs.frozen(kw_only=True)
class SnapshotCopy:
    """Snapshot of the complete state at a log index."""

    index: int
    data: bytes


@attrs.frozen(kw_only=True)
class PutRoutes:
    """Applies a complete version of the routes if it is the highest.

    `source` is the document as the operator sent it, for `ReadRoutes`.
    """

    config: routes_lib.RouteConfig
    source: bytes


@attrs.frozen(kw_only=True)
class ReadRoutes:
    """Requests the document of the current version."""


@attrs.frozen(kw_only=True)
class RoutesCopy:
    """The current version, -1 for none, and its document."""

    version: int
    source: bytes = b""


@attrs.frozen(kw_only=True)
class Announce:
    """Forwards an endpoint's announcement to the leader."""

    announcement: registry.Announcement


@attrs.frozen(kw_only=True)
class JoinReplica:
    """Requests a vote for a replica that has none."""

    replica: replicas.Replica


@attrs.frozen(kw_only=True)
class LeaveReplica:
    """Announces that a replica stops; its vote is removed if possible."""

    replica: replicas.Replica
