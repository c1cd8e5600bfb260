"""Replicated state machine: the same commands result in the same state."""

import json

import attrs

from _coltsfootroad.control import claims as claims_lib
from _coltsfootroad.control import codec
from _coltsfootroad.control import configstore
from _coltsfootroad.control import crashreports
from _coltsfootroad.control import evacuations
from _coltsfootroad.control import fences
from _coltsfootroad.control import messages
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import routestore
from _coltsfootroad.core import errors
from _coltsfootroad.core import evacuation as evacuation_lib
from _coltsfootroad.core import quarantine as quarantine_lib
from _coltsfootroad.core import routes as routes_lib

COMMANDS = codec.Codec.of(
    messages.PatchConfig,
    messages.PutRoutes,
    messages.TakeClaim,
    messages.SettleClaim,
    fences.TakeLease,
    fences.DropLease,
    crashreports.Quarantine,
    crashreports.StartTrial,
    crashreports.EndQuarantine,
)


@attrs.define
class ControlState:
    """Configuration, routes, claims, leases, quarantine and evacuated zones.

    `now` is the time of the newest applied log entry, in unix seconds of the
    leader that appended it, and never decreases.
    """

    now: float = 0.0
    configs: configstore.ConfigStore = attrs.Factory(configstore.ConfigStore)
    routes: routestore.RouteStore = attrs.Factory(routestore.RouteStore)
    claims: claims_lib.ClaimTable = attrs.Factory(claims_lib.ClaimTable)
    leases: fences.LeaseTable = attrs.Factory(fences.LeaseTable)
    quarantine: quarantine_lib.QuarantineTable = attrs.Factory(
        quarantine_lib.QuarantineTable
    )
    evacuation: evacuation_lib.EvacuationTable = attrs.Factory(
        evacuation_lib.EvacuationTable
    )

    def apply(self, command: object, now: float) -> object:
        """Apply a command and return its reply."""
        self.now = max(self.now, now)
        match command:
            case messages.PatchConfig():
                return self.configs.patch(command)
            case messages.PutRoutes():
                return self.routes.put(command)
            case messages.TakeClaim():
                retention_s = self.configs.config.fleet.key_retention_s
                return self.claims.take(command, retention_s, self.now)
            case messages.SettleClaim():
                self.claims.settle(command)
                return outcomes.Done()
            case fences.TakeLease():
                return self.leases.take(command, self.now)
            case fences.DropLease():
                self.leases.drop(command)
                return outcomes.Done()
            case evacuations.SetEvacuation():
                return evacuations.apply(
                    self.evacuation, self.leases, command, self.now
                )
        return self.apply_to_quarantine(command)

    def apply_to_quarantine(self, command: object) -> object:
        """Apply a command on the quarantine and return its reply."""
        match command:
            case crashreports.Quarantine():
                return self.add_to_quarantine(command)
            case crashreports.StartTrial():
                return crashreports.TrialAnswer(
                    granted=self.quarantine.start_trial(
                        command.fingerprint, self.now
                    )
                )
            case crashreports.EndQuarantine():
                return self.end_quarantine(command)
        raise errors.BrokenInvariantError(f"no such command: {command!r}")

    def add_to_quarantine(self, command: crashreports.Quarantine) -> object:
        """Quarantine a request, so that it is refused from now on."""
        self.quarantine.add(
            command.fingerprint,
            command.reason,
            command.crashes,
            command.endpoints,
            self.now,
        )
        return outcomes.Done()

    def end_quarantine(self, command: crashreports.EndQuarantine) -> object:
        """Release a request from quarantine; refuse if it is not in it."""
        if self.quarantine.end(command.fingerprint):
            return outcomes.Done()
        return outcomes.Refused(
            failure=errors.Failure(
                errors.ErrorCode.NOT_FOUND,
                f"no request {command.fingerprint.text!r} of workspace"
                f" {command.fingerprint.workspace!r} is in quarantine",
            )
        )


@attrs.frozen(kw_only=True)
class SavedClaim:
    """A claim in a snapshot."""

    workspace: str
    key: str
    claim: claims_lib.Claim


@attrs.frozen(kw_only=True)
class SavedPatch:
    """The reply to a patch in a snapshot."""

    patch_id: str
    record: configstore.PatchRecord


@attrs.frozen(kw_only=True)
class SavedState:
    """The complete state in a snapshot."""

    format: int
    now: float
    version: int
    document: bytes
    history: tuple[tuple[int, bytes], ...]
    patches: tuple[SavedPatch, ...]
    claims: tuple[SavedClaim, ...]
    leases: tuple[fences.Lease, ...]
    last_fence: int
    routes: routes_lib.RouteConfig | None = None
    routes_source: bytes = b""
    quarantine: tuple[quarantine_lib.Entry, ...] = ()


# Snapshots of format 1 have no routes and can still be read.
FORMAT = 2
READABLE_FORMATS = (1, 2)


def save(state: ControlState) -> bytes:
    """Return the encoded snapshot of a state."""
    saved = SavedState(
        format=FORMAT,
        now=state.now,
        version=state.configs.version,
        document=json.dumps(state.configs.document).encode(),
        history=tuple(state.configs.history.items()),
        patches=tuple(
            SavedPatch(patch_id=name, record=record)
            for name, record in state.configs.answers.items()
        ),
        claims=tuple(
            SavedClaim(workspace=key[0], key=key[1], claim=claim)
            for key, claim in state.claims.claims.items()
        ),
        leases=tuple(state.leases.leases.values()),
        last_fence=state.leases.last_fence,
        routes=state.routes.config,
        routes_source=state.routes.source,
        quarantine=tuple(state.quarantine.entries.values()),
    )
    return codec.encode(saved)


def load(data: bytes) -> ControlState:
    """Return the state decoded from a snapshot."""
    saved = codec.decode(data, SavedState)
    if saved.format not in READABLE_FORMATS:
        raise errors.BrokenInvariantError(
            f"snapshot has format {saved.format}, this program reads"
            f" {READABLE_FORMATS}"
        )
    state = ControlState(now=saved.now)
    state.routes.config = saved.routes
    state.routes.source = saved.routes_source
    state.quarantine.restore(saved.quarantine)
    restore_configs(state.configs, saved)
    restore_claims(state.claims, saved)
    for lease in saved.leases:
        state.leases.leases[lease.name] = lease
    state.leases.last_fence = saved.last_fence
    evacuations.restore(state.evacuation, state.leases)
    return state


def restore_configs(store: configstore.ConfigStore, saved: SavedState) -> None:
    """Restore a configuration store from a snapshot."""
    store.version = saved.version
    store.document = configstore.read_json(saved.document)
    store.config = configstore.parse_document(store.document).ok
    store.history.update(saved.history)
    for patch in saved.patches:
        store.answers[patch.patch_id] = patch.record


def restore_claims(table: claims_lib.ClaimTable, saved: SavedState) -> None:
    """Restore a claim table from a snapshot."""
    for item in sorted(saved.claims, key=lambda c: c.claim.forget_at):
        key = (item.workspace, item.key)
        table.claims[key] = item.claim
        table.by_age.append((item.claim.forget_at, key))
        if item.claim.answer is not None:
            table.answers.append(key)
            table.answer_bytes += len(item.claim.answer.body)
