"""The control plane of a simulated fleet: a leader without replication."""

import attrs

from _coltsfootroad.control import coordinator as coordinator_lib
from _coltsfootroad.control import messages
from _coltsfootroad.control import state as state_lib
from _coltsfootroad.replay import network as network_lib

START_UNIX_S = 1_800_000_000.0


@attrs.define(eq=False)
class SimControl:
    """Durable state and the in-memory state of the current leader."""

    network: network_lib.Network
    state: state_lib.ControlState = attrs.Factory(state_lib.ControlState)
    coordinator: coordinator_lib.Coordinator | None = None
    is_up: bool = True
    epoch: int = 0

    def __attrs_post_init__(self):
        self.start_coordinator()

    def start_coordinator(self) -> None:
        """Start a new epoch with empty in-memory state."""
        self.epoch += 1
        name = f"epoch-{self.epoch}"
        self.coordinator = coordinator_lib.Coordinator(
            name, self.state, self.network.now
        )

    def unix_s(self) -> float:
        """Return the time in unix seconds."""
        return START_UNIX_S + self.network.now

    def patch(
        self, patch_id: str, base_version: int, patch: bytes
    ) -> messages.PatchAnswer:
        """Patch the configuration."""
        command = messages.PatchConfig(
            patch_id=patch_id, base_version=base_version, patch=patch
        )
        return self.state.apply(command, self.unix_s())

    def answer(self, message: object) -> object:
        """Return the leader's answer to an entry's message."""
        match message:
            case messages.SyncRequest():
                return self.coordinator.on_sync(message, self.network.now)
            case messages.GroupReserve():
                return self.coordinator.groups.reserve(
                    message, self.network.now
                )
            case messages.GroupRelease():
                return self.coordinator.groups.release(message.group)
        return self.state.apply(message, self.unix_s())

    def stop(self) -> None:
        """Stop the leader; acknowledged commands are durable."""
        self.is_up = False

    def start(self) -> None:
        """Restart with the durable state; the in-memory state is lost."""
        if not self.is_up:
            self.state = state_lib.load(state_lib.save(self.state))
            self.is_up = True
            self.start_coordinator()
