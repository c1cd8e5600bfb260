"""Settings files of the programs, validated when a program starts."""

import json
import pathlib
import typing

import attrs
from expression import Error
from expression import Ok
from expression import Result

from _coltsfootroad.core import clientlimits
from _coltsfootroad.core import documents
from _coltsfootroad.shell import machinememory

MIN_TOKEN_LENGTH = 8
MAX_PORT = 65_535


def check_address(_, attribute, value) -> None:
    """Reject values other than `ip:port`."""
    host, _, port = value.rpartition(":")
    valid_port = port.isdigit() and int(port) <= MAX_PORT
    if not host or not valid_port:
        raise ValueError(f"{attribute.name} is {value!r}, must be ip:port")


def check_token(_, attribute, value) -> None:
    """Reject short tokens; an empty one disables the calls that need it."""
    if value and len(value) < MIN_TOKEN_LENGTH:
        raise ValueError(
            f"{attribute.name} is shorter than {MIN_TOKEN_LENGTH} characters"
        )


def check_name(_, attribute, value) -> None:
    """Reject names that cannot be part of identities and paths."""
    if not value or any(c in value for c in "/#| \n"):
        raise ValueError(
            f"{attribute.name} is {value!r}, must not be empty or hold"
            " any of / # | or blanks"
        )


def check_share(_, attribute, value) -> None:
    """Reject values that are not above 0 and at most 1."""
    if not 0 < value <= 1:
        raise ValueError(
            f"{attribute.name} is {value!r}, must be above 0 and at most 1"
        )


LISTEN_ADDRESS = {"validator": check_address}
ZoneNames = typing.NewType("ZoneNames", tuple[str, ...])


def structure_zone_names(value, _) -> ZoneNames:
    """Return the names in a list of zones or of objects, or in a table.

    Platforms describe their zones in a table with more than the names.
    """
    if not isinstance(value, (list, dict)):
        raise TypeError(f"{value!r} is neither a list nor a table of zones")
    names = tuple(
        item.get("name") if isinstance(item, dict) else item for item in value
    )
    if not all(isinstance(name, str) and name for name in names):
        raise TypeError(f"{value!r} holds a zone without a name")
    return ZoneNames(names)


documents.CONVERTER.register_structure_hook(ZoneNames, structure_zone_names)


def peer_addresses(seeds: tuple[str, ...], port: int) -> tuple[str, ...]:
    """Return the seeds with another port, or unchanged if it is 0."""
    if not port:
        return seeds
    return tuple(f"{split_address(seed)[0]}:{port}" for seed in seeds)


@attrs.frozen(kw_only=True)
class ProcessSettings:
    """Settings of all programs that serve clients: what the process may use.

    Attributes:
        memory_mb: Memory that the process may use, in MB of 10^6 bytes; if 0,
            that of the VM, or a smaller limit of the process.
        file_descriptors: File descriptors that the process may use; if 0, the
            limit of the process.
        held_memory_share: Largest part of the memory that is used to hold
            requests and responses for clients, from 0 to 1.
        max_client_connections: Most connections of clients to all HTTP
            listeners; if 0, as many as memory and descriptors allow.
        body_timeout_s: Longest wait for the complete body of a request.
        max_peer_connections: Most connections of gateways, entries and replicas
            to the gRPC listener; if 0, a quarter of the descriptors.
    """

    memory_mb: int = attrs.field(default=0, validator=attrs.validators.ge(0))
    file_descriptors: int = attrs.field(
        default=0, validator=attrs.validators.ge(0)
    )
    # A process without load takes 50 to 80 MB; the smallest VMs have 200 MB.
    held_memory_share: float = attrs.field(default=0.2, validator=check_share)
    max_client_connections: int = attrs.field(
        default=0, validator=attrs.validators.ge(0)
    )
    # At 10 Mbit/s, 32 MB take 27 s.
    body_timeout_s: float = attrs.field(
        default=60.0, validator=documents.check_positive
    )
    max_peer_connections: int = attrs.field(
        default=0, validator=attrs.validators.ge(0)
    )

    @property
    def peer_connection_limit(self) -> int:
        """Return the most connections to the gRPC listener."""
        return self.max_peer_connections or clientlimits.max_peer_connections(
            machinememory.usable_descriptors(self.file_descriptors)
        )


@attrs.frozen(kw_only=True)
class GatewaySettings(ProcessSettings):
    """Settings of `colts-gateway`.

    Attributes:
        gateway: Name, unique in the fleet and stable across restarts.
        availability_zone: Zone of the VM.
        listen: `ip:port` for callers.
        listen_early: Whether callers can connect while the program starts.
        ready_listen: `ip:port` of the readiness probe.
        directory_listen: `ip:port` that lists the gateways to use.
        peer_listen: `ip:port` for datagrams of other gateways.
        metrics_listen: `ip:port` of the metrics; not served if empty.
        seeds: `ip:port` of some control replicas.
        control_port: Port at which the seeds listen for gateways; 0 if it is
            the port in the seeds.
        staleness_bound_s: Maximum age of the proof that the routes are current;
            after it no request that needs an API key is forwarded.
        shutdown_grace_s: Maximum wait for requests in flight.
        address_validity_s: Time for which callers may cache addresses.
        retry_ratio: Retries as a fraction of the requests for a service.
        retry_slack: Further retries in one window, over all gateways.
        retry_window_s: Length of the window.
        cold_overrun: Factor on the rate that a cold endpoint can handle.
        cold_slack: Further requests in one second to a cold endpoint, over all
            gateways.
        fair_admission: Whether workspaces share scarce capacity fairly also
            where all of them have the same priority.
        log_level: Least severe level that is logged.
    """

    gateway: str = attrs.field(validator=check_name)
    availability_zone: str = ""
    listen: str = attrs.field(**LISTEN_ADDRESS)
    listen_early: bool = False
    ready_listen: str = attrs.field(**LISTEN_ADDRESS)
    directory_listen: str = attrs.field(**LISTEN_ADDRESS)
    peer_listen: str = attrs.field(**LISTEN_ADDRESS)
    metrics_listen: str = ""
    seeds: tuple[str, ...] = ()
    control_port: int = 0
    staleness_bound_s: float = attrs.field(
        default=4.5, validator=documents.check_positive
    )
    shutdown_grace_s: float = attrs.field(
        default=8.0, validator=documents.check_positive
    )
    address_validity_s: float = attrs.field(
        default=2.0, validator=documents.check_positive
    )
    retry_ratio: float = 0.1
    retry_slack: float = 20.0
    retry_window_s: float = attrs.field(
        default=10.0, validator=documents.check_positive
    )
    cold_overrun: float = attrs.field(
        default=1.5, validator=documents.check_positive
    )
    cold_slack: float = attrs.field(
        default=5.0, validator=attrs.validators.ge(0)
    )
    fair_admission: bool = False
    log_level: str = "INFO"

    def control(self) -> tuple[str, ...]:
        """Return the addresses at which the seeds listen for gateways."""
        return peer_addresses(self.seeds, self.control_port)


@attrs.frozen(kw_only=True)
class EntrySettings(ProcessSettings):
    """Settings of `colts-entry`.

    Attributes:
        entry: Name, unique in the fleet and stable across restarts.
        availability_zone: Zone of the VM.
        listen: `ip:port` for callers and endpoints.
        advertise: `ip:port` published to callers; `listen` if empty.
        peer_listen: `ip:port` for other entries; if empty, they learn of this
            entry's dispatches only from load reports.
        admin_listen: `ip:port` of drain requests, state dump and metrics.
        admin_token: Token that the admin listener requires.
        endpoint_token: Token that endpoints must present; none if empty.
        control: Addresses of the control replicas.
        sync_interval_s: Interval between heartbeats.
        bytes_per_token: Estimated size of a token of a prompt.
        max_connections: Maximum concurrent connections to endpoints.
        shutdown_grace_s: Maximum wait for requests in flight.
        log_level: Least severe level that is logged.
    """

    entry: str = attrs.field(validator=check_name)
    availability_zone: str = ""
    listen: str = attrs.field(**LISTEN_ADDRESS)
    advertise: str = ""
    peer_listen: str = ""
    admin_listen: str = attrs.field(**LISTEN_ADDRESS)
    admin_token: str = attrs.field(validator=check_token)
    endpoint_token: str = ""
    control: tuple[str, ...] = ()
    sync_interval_s: float = attrs.field(
        default=0.5, validator=documents.check_positive
    )
    bytes_per_token: float = attrs.field(
        default=4.0, validator=documents.check_positive
    )
    max_connections: int = attrs.field(
        default=2_000, validator=documents.check_positive
    )
    shutdown_grace_s: float = attrs.field(
        default=3_600.0, validator=documents.check_positive
    )
    log_level: str = "INFO"


@attrs.frozen(kw_only=True)
class ControlSettings(ProcessSettings):
    """Settings of `colts-control`.

    Attributes:
        replica: Name of this replica.
        listen: `ip:port` for entries and other replicas.
        advertise: `ip:port` published to them, if it is another one, as behind
            a proxy; `listen` if empty.
        availability_zone: Zone of the VM; gateways watch the control plane
            through processes of their own zone.
        availability_zones: Zones of the deployment, the only ones that can be
            evacuated; any name is accepted if empty. A list of names or of
            objects with a `name`, or a table with the names as keys.
        admin_listen: `ip:port` of the operator API, state dump and metrics.
        admin_token: Token that the operator API requires.
        data_folder: Folder that holds all durable state; empty on a VM
            without a disk, where the process is only a relay.
        log_level: Least severe level that is logged.
        seeds: `ip:port` of some replicas, with any of their ports; empty if
            operators add replicas themselves.
        peer_port: Port at which the seeds listen for replicas; 0 if it is the
            port in the seeds.
        first_start: Whether the system starts for the first time; the first
            seed in sort order then bootstraps it.
        lost_at_once: Number of simultaneous replica failures to tolerate.
        api_listen: `ip:port` of the platform's own API, if there is one.
        structured_logs: Whether logs are JSON lines on standard output.
    """

    replica: str = attrs.field(validator=check_name)
    listen: str = attrs.field(**LISTEN_ADDRESS)
    advertise: str = ""
    availability_zone: str = ""
    availability_zones: ZoneNames = ZoneNames(())
    admin_listen: str = attrs.field(**LISTEN_ADDRESS)
    admin_token: str = attrs.field(validator=check_token)
    data_folder: str = ""
    log_level: str = "INFO"
    seeds: tuple[str, ...] = ()
    peer_port: int = 0
    first_start: bool = False
    lost_at_once: int = 0
    api_listen: str = ""
    structured_logs: bool = False

    @property
    def required_voters(self) -> int:
        """Return the voters needed to tolerate `lost_at_once` failures."""
        return 2 * self.lost_at_once + 1

    def peers(self) -> tuple[str, ...]:
        """Return the addresses at which the seeds listen for replicas."""
        return peer_addresses(self.seeds, self.peer_port)

    @property
    def address(self) -> str:
        """Return the address at which others reach this replica."""
        return self.advertise or self.listen

    def bootstraps_system(self) -> bool:
        """Return whether this replica bootstraps the system."""
        peers = sorted(self.peers())
        return self.first_start and bool(peers) and peers[0] == self.address

    def preceding_seeds(self) -> tuple[str, ...] | None:
        """Return the seeds that precede this one in bootstrapping the system.

        Returns None if this replica is not a seed or the system does not start
        for the first time.
        """
        peers = sorted(self.peers())
        if not self.first_start or self.address not in peers:
            return None
        return tuple(peers[: peers.index(self.address)])


@attrs.frozen(kw_only=True)
class CtlSettings:
    """Settings of `colts-ctl`.

    Attributes:
        control: Admin addresses of the replicas.
        admin_token: Token that the operator API requires.
        timeout_s: Maximum wait for one response.
    """

    control: tuple[str, ...]
    admin_token: str = attrs.field(validator=check_token)
    timeout_s: float = attrs.field(
        default=10.0, validator=documents.check_positive
    )


@attrs.frozen(kw_only=True)
class StandaloneSettings(ProcessSettings):
    """Settings of `colts-standalone`: every role in one process.

    Attributes:
        listen: `ip:port` for callers and endpoints.
        admin_listen: `ip:port` of the operator API, state dump and metrics.
        admin_token: Token that the operator API requires.
        data_folder: Folder of the control state.
        fake_engines: Number of simulated engines to start in the process.
        config: Initial configuration, used if none is stored.
        log_level: Least severe level that is logged.
    """

    listen: str = attrs.field(**LISTEN_ADDRESS)
    admin_listen: str = attrs.field(**LISTEN_ADDRESS)
    admin_token: str = attrs.field(validator=check_token)
    data_folder: str
    fake_engines: int = 2
    config: dict = attrs.Factory(dict)
    log_level: str = "INFO"


def load(path: str, kind: type) -> Result[object, str]:
    """Return validated settings, or a message that names file and key."""
    try:
        document = json.loads(pathlib.Path(path).read_bytes())
    except OSError as error:
        return Error(f"settings {path}: cannot be read: {error.strerror}")
    except ValueError as error:
        return Error(f"settings {path}: is not JSON: {error}")
    try:
        return Ok(documents.CONVERTER.structure(document, kind))
    except Exception as error:  # noqa: BLE001
        # cattrs wraps the exceptions of hooks and validators in groups.
        errors = documents.describe_errors(error, "$")
        return Error(f"settings {path}: {errors}")


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and port of an `ip:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)
