"""Settings files of the programs, checked when they start."""

import json
import pathlib

import attrs
from expression import Error
from expression import Ok
from expression import Result

from _coltsfootroad.core import config as config_lib

MIN_TOKEN_LENGTH = 8
MAX_PORT = 65_535


def check_listen(_, attribute, value) -> None:
    """Reject what is not `ip:port`."""
    host, _, port = value.rpartition(":")
    valid_port = port.isdigit() and int(port) <= MAX_PORT
    if not host or not valid_port:
        raise ValueError(f"{attribute.name} is {value!r}, must be ip:port")


def check_token(_, attribute, value) -> None:
    """Reject short secrets."""
    if len(value) < MIN_TOKEN_LENGTH:
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


LISTEN = {"validator": check_listen}


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
    listen: str = attrs.field(**LISTEN)
    advertise: str = ""
    peer_listen: str = ""
    admin_listen: str = attrs.field(**LISTEN)
    admin_token: str = attrs.field(validator=check_token)
    endpoint_token: str = ""
    control: tuple[str, ...] = ()
    sync_interval_s: float = attrs.field(
        default=0.5, validator=config_lib.check_positive
    )
    bytes_per_token: float = attrs.field(
        default=4.0, validator=config_lib.check_positive
    )
    max_connections: int = attrs.field(
        default=2_000, validator=config_lib.check_positive
    )
    shutdown_grace_s: float = attrs.field(
        default=3_600.0, validator=config_lib.check_positive
    )
    log_level: str = "INFO"


@attrs.frozen(kw_only=True)
class ControlSettings:
    """Settings of `colts-control`.

    Attributes:
        replica: Name of this replica.
        listen: `ip:port` for entries and other replicas.
        admin_listen: `ip:port` of operators, dump and metrics.
        admin_token: Secret of operators.
        data_folder: Folder that holds all durable state.
        log_level: Least severe level that is logged.
    """

    replica: str = attrs.field(validator=check_name)
    listen: str = attrs.field(**LISTEN)
    admin_listen: str = attrs.field(**LISTEN)
    admin_token: str = attrs.field(validator=check_token)
    data_folder: str
    log_level: str = "INFO"


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
        default=10.0, validator=config_lib.check_positive
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

    listen: str = attrs.field(**LISTEN)
    admin_listen: str = attrs.field(**LISTEN)
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
        return Ok(config_lib.CONVERTER.structure(document, kind))
    except Exception as error:  # noqa: BLE001
        # cattrs raises groups of whatever the hooks and validators raise.
        faults = config_lib.explain(error, "$")
        return Error(f"settings {path}: {faults}")


def split_address(address: str) -> tuple[str, int]:
    """Return IP number and port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)
