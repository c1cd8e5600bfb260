"""Typed messages between entries and the control state."""

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
    """Change the configuration if its version is still `base_version`."""

    patch_id: str
    base_version: int
    patch: bytes


@attrs.frozen(kw_only=True)
class PatchAnswer:
    """Outcome of a patch: the new version, or why it was refused."""

    version: int
    failure: errors.Failure | None = None


class ClaimStatus(enum.Enum):
    """What the control state says of a key."""

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
    """Ask for the right to run a key.

    Attributes:
        workspace: Keys are separate per workspace.
        key: Idempotency key of the caller.
        key_time: When the key was made, unix seconds.
        body_hash: Hash of what is to be run.
        token: Request id of the asker; resends of this message repeat it.
        lease_s: Seconds after which the asker has surely given up.
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
    """Say how a claimed key ended; only the holder of the token may."""

    workspace: str
    key: str
    token: str
    ran: errors.Ran
    answer: request_lib.Answer | None = None


@attrs.frozen(kw_only=True)
class ConfigUpdate:
    """A configuration version, whole or as patches since `base_version`."""

    version: int
    document: bytes = b""
    base_version: int = -1
    patches: tuple[bytes, ...] = ()


@attrs.frozen(kw_only=True)
class Holding:
    """A share that an entry holds, for a new leader to learn of."""

    workspace: str
    grant: int
    tokens_per_s: float | None
    concurrency: int | None
    in_flight: int
    remaining_s: float


@attrs.frozen(kw_only=True)
class GroupReserve:
    """Reserve memory on several engines, all or nothing.

    `engines` maps engine names to tokens of KV cache. The reservation is a
    lease; renewing it uses the same `group`.
    """

    group: str
    service: str
    engines: dict[str, int]
    lease_s: float


@attrs.frozen(kw_only=True)
class GroupAnswer:
    """Whether a reservation holds; otherwise which engines are taken."""

    group: str
    granted: bool
    busy: tuple[str, ...] = ()
    retry_after_s: float = 0.2


@attrs.frozen(kw_only=True)
class GroupRelease:
    """End a reservation."""

    group: str


@attrs.frozen(kw_only=True)
class AgedLoad:
    """A load report and its age, since clocks differ between processes."""

    report: endpoints.LoadReport
    age_s: float


@attrs.frozen(kw_only=True)
class SyncRequest:
    """Heartbeat of an entry: who it is, what it knows, what it needs.

    Attributes:
        member: The entry itself.
        config_version: Version in force at the entry, -1 for none.
        epoch: Epoch of the registry that `registry_mark` belongs to.
        registry_mark: Position up to which the entry knows the registry.
        announcements: Announcements received since the last heartbeat.
        loads: Load reports received since the last heartbeat.
        demands: What could be used of the limits.
        holdings: Shares that are held.
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
        epoch: Changes when the registry started anew.
        registry_mark: Position that the entry knows after this reply.
        config: Newer configuration, if there is one.
        members: Live entries that changed since the entry's mark.
        lost_members: Entries that are gone since the mark.
        shares: New shares of the limits.
        announcements: Endpoints changed since the entry's mark.
        gone: Endpoints whose lease ended or that left, since the mark.
        loads: Load reports since the mark.
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
    """Ask for the configuration document."""


@attrs.frozen(kw_only=True)
class ReadStatus:
    """Ask for members, endpoints and replicas."""


@attrs.frozen(kw_only=True)
class Status:
    """What the leader knows of the fleet, as JSON for operators."""

    document: bytes


@attrs.frozen(kw_only=True)
class ReplicaHello:
    """Ask a replica who it is."""


@attrs.frozen(kw_only=True)
class ReplicaInfo:
    """Who a replica is and where it stands."""

    replica: replicas.Replica
    role: str
    term: int
    last_index: int
    commit: int
    leader: str
    version: int


class ReplicaAction(enum.Enum):
    """How the set of replicas is to change."""

    LEARN = "learn"
    PROMOTE = "promote"
    REMOVE = "remove"


@attrs.frozen(kw_only=True)
class ChangeReplicas:
    """Change the set of replicas.

    `LEARN` adds `replica` without a vote, `PROMOTE` gives it one and takes
    `replaces` out in the same step, `REMOVE` takes it out. `reason` is for
    the log.
    """

    action: ReplicaAction
    replica: replicas.Replica
    replaces: str = ""
    reason: str = ""


@attrs.frozen(kw_only=True)
class TakeSnapshot:
    """Ask for a copy of the whole state, for backup."""


@attrs.frozen(kw_only=True)
class SnapshotCopy:
    """The whole state at an index."""

    index: int
    data: bytes


@attrs.frozen(kw_only=True)
class PutRoutes:
    """Put a complete version of the routes in force, if it is the highest.

    `source` is the document as the operator sent it, for reading back.
    """

    config: routes_lib.RouteConfig
    source: bytes


@attrs.frozen(kw_only=True)
class ReadRoutes:
    """Ask for the document of the version in force."""


@attrs.frozen(kw_only=True)
class RoutesCopy:
    """The version in force, -1 for none, and its document."""

    version: int
    source: bytes = b""


@attrs.frozen(kw_only=True)
class Announce:
    """An endpoint's announcement, on its way to the leader."""

    announcement: registry.Announcement


@attrs.frozen(kw_only=True)
class JoinReplica:
    """A replica without a vote asks for one."""

    replica: replicas.Replica


@attrs.frozen(kw_only=True)
class LeaveReplica:
    """A replica is about to stop; its vote is given up if it can be spared."""

    replica: replicas.Replica
