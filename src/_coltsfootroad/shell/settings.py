"""Settings files of the programs, checked when they start."""

import json
import pathlib

import attrs
from expression import Error
from expression import Ok
from expression import Result

from _coltsfootroad.core import documents

MIN_TOKEN_LENGTH = 8
MAX_PORT = 65_535


def check_address(_, attribute, value) -> None:
    """Reject what is not `ip:port`."""
    host, _, port = value.rpartition(":")
    valid_port = port.isdigit() and int(port) <= MAX_PORT
    if not host or not valid_port:
        raise ValueError(f"{attribute.name} is {value!r}, must be ip:port")


def check_token(_, attribute, value) -> None:
    """Reject short secrets; an empty one switches the calls off."""
    if value and len(value) < MIN_TOKEN_LENGTH:
        raise ValueError(
            f"{attribute.name} is shorter than {MIN_TOKEN_LENGTH} characters"
        )


def check_name(_, attribute, value) -> None:
    """Reject names that would break identities and paths."""
    if not value or any(c in value for c in "/#| \n"):
        raise ValueError(
            f"{attribute.name} is {value!r}, must not be empty or hold"
            " any of / # | or blanks"
        )


LISTEN_ADDRESS = {"validator": check_address}


def peer_addresses(seeds: tuple[str, ...], port: int) -> tuple[str, ...]:
    """Return the seeds with another port, or as they are for port 0."""
    if not port:
        return seeds
    return tuple(f"{split_address(seed)[0]}:{port}" for seed in seeds)


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """Settings of `colts-gateway`.

    Attributes:
        gateway: Name, unique over the fleet and stable over restarts.
        availability_zone: Zone of the VM.
        listen: `ip:port` for callers.
        listen_early: Whether callers may connect while the program starts.
        ready_listen: `ip:port` that answers whether the gateway is ready.
        directory_listen: `ip:port` that answers which gateways to use.
        peer_listen: `ip:port` for datagrams of other gateways.
        metrics_listen: `ip:port` of the metrics, none if empty.
        seeds: `ip:port` of some replicas of the control state.
        control_port: Port at which the seeds listen for gateways, 0 if the
            seeds name it themselves.
        staleness_bound_s: Age of the proof that the routes are current past
            which nothing that needs a key is sent on.
        shutdown_grace_s: Longest wait for requests in progress.
        address_validity_s: Time for which callers may keep addresses.
        retry_ratio: Retries as a share of the requests for a service.
        retry_slack: Retries beyond that in one window, over all gateways.
        retry_window_s: Length of that window.
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
    log_level: str = "INFO"

    def control(self) -> tuple[str, ...]:
        """Return the addresses at which the replicas take calls."""
        return peer_addresses(self.seeds, self.control_port)


@attrs.frozen(kw_only=True)
class EntrySettings:
    """Settings of `colts-entry`.

    Attributes:
        entry: Name, unique over the fleet and stable over restarts.
        availability_zone: Zone of the VM.
        listen: `ip:port` for callers and endpoints.
        advertise: `ip:port` told to callers; `listen` if empty.
        peer_listen: `ip:port` for other entries; without one, they learn of
            this entry's dispatches only by load reports.
        admin_listen: `ip:port` of dump and metrics.
        admin_token: Secret of the admin listener.
        endpoint_token: Secret that endpoints present, none if empty.
        control: Addresses of the replicas of the control state.
        sync_interval_s: Seconds between heartbeats.
        bytes_per_token: For estimating prompt lengths.
        max_connections: Connections to endpoints at once.
        shutdown_grace_s: Longest wait for requests in progress.
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
class ControlSettings:
    """Settings of `colts-control`.

    Attributes:
        replica: Name of this replica.
        listen: `ip:port` for entries and other replicas.
        advertise: `ip:port` told to them, where something stands between;
            `listen` if empty.
        availability_zone: Zone of the VM; gateways of a zone ask the processes
            of theirs for news.
        admin_listen: `ip:port` of operators, dump and metrics.
        admin_token: Secret of operators.
        data_folder: Folder that holds all durable state; empty on a VM
            without a disk, where the process only shows the way.
        log_level: Least severe level that is logged.
        seeds: `ip:port` of some replicas, whatever they listen there for;
            empty where operators add replicas themselves.
        peer_port: Port at which the seeds listen for replicas, 0 if the
            seeds name it themselves.
        first_start: Whether the whole system starts for the first time; the
            first of the seeds in order then begins it.
        lost_at_once: Replicas that may be lost at the same time.
        api_listen: `ip:port` of a platform's own calls, where one is adapted.
        structured_logs: Whether logs are JSON lines on standard output.
    """

    replica: str = attrs.field(validator=check_name)
    listen: str = attrs.field(**LISTEN_ADDRESS)
    advertise: str = ""
    availability_zone: str = ""
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
        """Return the replicas that must hold what is acknowledged."""
        return 2 * self.lost_at_once + 1

    def peers(self) -> tuple[str, ...]:
        """Return the addresses at which the seeds listen for replicas."""
        return peer_addresses(self.seeds, self.peer_port)

    @property
    def address(self) -> str:
        """Return where others reach this replica."""
        return self.advertise or self.listen

    def bootstraps_system(self) -> bool:
        """Return whether this replica is the one that begins the system."""
        peers = sorted(self.peers())
        return self.first_start and bool(peers) and peers[0] == self.address

    def preceding_seeds(self) -> tuple[str, ...] | None:
        """Return the seeds that would begin the system before this one.

        None if this replica is no seed or does not start for the first time.
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
        admin_token: Secret of operators.
        timeout_s: Longest wait for one answer.
    """

    control: tuple[str, ...]
    admin_token: str = attrs.field(validator=check_token)
    timeout_s: float = attrs.field(
        default=10.0, validator=documents.check_positive
    )


@attrs.frozen(kw_only=True)
class StandaloneSettings:
    """Settings of `colts-standalone`: every role in one process.

    Attributes:
        listen: `ip:port` for callers and endpoints.
        admin_listen: `ip:port` of operators, dump and metrics.
        admin_token: Secret of operators.
        data_folder: Folder of the control state.
        fake_engines: Stand-in engines to start inside, for a first try.
        config: Configuration to start with when there is none yet.
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
    """Return checked settings, or one message naming file and key."""
    try:
        document = json.loads(pathlib.Path(path).read_bytes())
    except OSError as error:
        return Error(f"settings {path}: cannot be read: {error.strerror}")
    except ValueError as error:
        return Error(f"settings {path}: is not JSON: {error}")
    try:
        return Ok(documents.CONVERTER.structure(document, kind))
    except Exception as error:  # noqa: BLE001
        # cattrs raises groups of whatever the hooks and validators raise.
        errors = documents.explain(error, "$")
        return Error(f"settings {path}: {errors}")


def split_address(address: str) -> tuple[str, int]:
    """Return IP number and port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)
