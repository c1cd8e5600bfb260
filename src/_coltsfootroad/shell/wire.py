"""The messages of our processes as bytes on a connection."""

import attrs
from expression import Result

from _coltsfootroad.control import codec
from _coltsfootroad.control import fences
from _coltsfootroad.control import messages
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import packing
from _coltsfootroad.control import peers
from _coltsfootroad.control import watching
from _coltsfootroad.core import actions
from _coltsfootroad.core import errors
from _coltsfootroad.shell import traffic

# Shorter messages fit one packet or two; compressing them saves no packet.
MIN_COMPRESSED_BYTES = 1_500


@attrs.define
class Wire:
    """Encodes a closed set of messages, long ones compressed, and counts."""

    messages: codec.Codec

    @classmethod
    def of(cls, *classes: type) -> "Wire":
        """Return the wire form of the given attrs classes."""
        return cls(codec.Codec.of(*classes))

    def encode(self, message: object) -> bytes:
        """Return the bytes to send."""
        data = packing.pack(self.messages.encode(message), MIN_COMPRESSED_BYTES)
        traffic.sent(type(message).__name__, len(data))
        return data

    def decode(self, data: bytes) -> Result[object, errors.Failure]:
        """Return the message that was received, or what is wrong with it."""
        decoded = packing.unpack(data).bind(self.messages.decode)
        kind = type(decoded.ok).__name__ if decoded.is_ok() else "unreadable"
        traffic.received(kind, len(data))
        return decoded


@attrs.frozen(kw_only=True)
class NoteBatch:
    """Dispatches that an entry tells other entries of."""

    notes: tuple[actions.DispatchNote, ...]


CALLS = Wire.of(
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
)
NOTES = Wire.of(NoteBatch)
PEERS = Wire.of(
    peers.VoteRequest,
    peers.VoteReply,
    peers.Append,
    peers.AppendReply,
    peers.SnapshotChunk,
    peers.SnapshotReply,
    peers.TakeOver,
)
