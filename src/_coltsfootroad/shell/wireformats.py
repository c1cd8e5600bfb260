"""The sets of messages that control processes, gateways and entries exchange.

`CALLS` holds requests to the control plane and their responses, `PEERS` the
Raft messages between replicas, and `NOTES` the messages between entries.
"""

import attrs

from _coltsfootroad.control import crashreports
from _coltsfootroad.control import evacuations
from _coltsfootroad.control import fences
from _coltsfootroad.control import messages
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import peers
from _coltsfootroad.control import retrylending
from _coltsfootroad.control import watching
from _coltsfootroad.core import actions
from _coltsfootroad.shell import wire


@attrs.frozen(kw_only=True)
class NoteBatch:
    """A batch of dispatch notes from one entry to the others."""

    notes: tuple[actions.DispatchNote, ...]


CALLS = wire.WireFormat.of(
    messages.PatchConfig,
    messages.PatchAnswer,
    messages.TakeClaim,
    messages.ClaimAnswer,
    messages.SettleClaim,
    outcomes.Done,
    messages.ConfigUpdate,
    messages.GroupReserve,
    messages.GroupAnswer,
    messages.GroupRelease,
    messages.SyncRequest,
    messages.SyncReply,
    outcomes.NotLeader,
    messages.ReadConfig,
    messages.ReadStatus,
    messages.Status,
    messages.ReplicaHello,
    messages.ReplicaInfo,
    messages.ChangeReplicas,
    outcomes.Refused,
    messages.TakeSnapshot,
    messages.SnapshotCopy,
    messages.PutRoutes,
    messages.RoutesCopy,
    messages.ReadRoutes,
    messages.Announce,
    messages.JoinReplica,
    messages.LeaveReplica,
    watching.Watch,
    watching.News,
    watching.RelayWatch,
    watching.AskElsewhere,
    fences.TakeLease,
    fences.DropLease,
    fences.LeaseAnswer,
    crashreports.ReportCrashes,
    crashreports.Quarantine,
    crashreports.StartTrial,
    crashreports.TrialAnswer,
    crashreports.EndQuarantine,
    retrylending.BorrowRetries,
    retrylending.RetriesLent,
    evacuations.SetEvacuation,
    evacuations.EvacuationAnswer,
    evacuations.ReadEvacuations,
    evacuations.EvacuationsCopy,
)
NOTES = wire.WireFormat.of(NoteBatch)
PEERS = wire.WireFormat.of(
    peers.VoteRequest,
    peers.VoteReply,
    peers.Append,
    peers.AppendReply,
    peers.SnapshotChunk,
    peers.SnapshotReply,
    peers.TakeOver,
)
