"""The fleet configuration document and its validation."""

import enum
import json

import attrs
from attrs import validators
from expression import Error
from expression import Ok
from expression import Result

from _coltsfootroad.core import documents
from _coltsfootroad.core import errors
from _coltsfootroad.core import servicekind

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
HEX_SHA256_LENGTH = 64


class Objective(enum.Enum):
    """The objective that routing optimizes for a service."""

    SHORT_SLOWDOWN = "short_slowdown"
    TTFT_ALL_LENGTHS = "ttft_all_lengths"


def check_key_hashes(_, attribute, value) -> None:
    """Raise ValueError for values that are not SHA-256 in lower-case hex."""
    for item in value:
        hexadecimal = all(c in "0123456789abcdef" for c in item)
        if len(item) != HEX_SHA256_LENGTH or not hexadecimal:
            raise ValueError(
                f"{attribute.name} holds {item!r}, must be 64 hex digits"
            )


@attrs.frozen(kw_only=True)
class Service:
    """Settings of one service.

    Attributes:
        kind: Engine or plain.
        objective: Objective of routing; for engines only.
        model: Model that engines of this service must have loaded.
        max_queue: Maximum number of requests queued at one entry.
        default_deadline_s: Deadline of requests that do not state one.
        max_deadline_s: Longest deadline that a request may state.
        max_prompt_tokens: Longest prompt that is admitted.
        max_output_tokens: Most output tokens that a request may allow.
        max_body_bytes: Largest body that is accepted.
    """

    kind: servicekind.ServiceKind = servicekind.ServiceKind.ENGINE
    objective: Objective = Objective.SHORT_SLOWDOWN
    model: str = ""
    max_queue: int = attrs.field(
        default=1_000, validator=documents.check_positive
    )
    default_deadline_s: float = attrs.field(
        default=120.0, validator=documents.check_positive
    )
    max_deadline_s: float = attrs.field(
        default=3_600.0, validator=documents.check_positive
    )
    max_prompt_tokens: int = attrs.field(
        default=1_200_000, validator=documents.check_positive
    )
    max_output_tokens: int = attrs.field(
        default=8_192, validator=documents.check_positive
    )
    max_body_bytes: int = attrs.field(
        default=16 * 1024 * 1024, validator=documents.check_positive
    )


@attrs.frozen(kw_only=True)
class Workspace:
    """Settings of one workspace; limits apply to the entire fleet.

    Attributes:
        key_sha256: Hashes of the API keys of the workspace.
        services: Services that it may use.
        weight: Weight in the fair queue.
        priority: 0 (most urgent) to 9.
        tokens_per_s: Fleet-wide rate in tokens per second, no limit if null.
        concurrency: Fleet-wide requests in flight, no limit if null.
    """

    key_sha256: tuple[str, ...] = attrs.field(
        default=(), validator=check_key_hashes
    )
    services: tuple[str, ...] = ()
    weight: float = attrs.field(default=1.0, validator=documents.check_positive)
    priority: int = attrs.field(
        default=5, validator=[validators.ge(0), validators.le(9)]
    )
    tokens_per_s: float | None = attrs.field(
        default=None, validator=documents.check_positive
    )
    concurrency: int | None = attrs.field(
        default=None, validator=documents.check_positive
    )

    @property
    def is_limited(self) -> bool:
        """Return whether any fleet-wide limit is set."""
        return self.tokens_per_s is not None or self.concurrency is not None


@attrs.frozen(kw_only=True)
class EndpointKind:
    """Whether endpoints with a name prefix check fencing tokens of orders."""

    prefix: str
    checks_fencing: bool = False


@attrs.frozen(kw_only=True)
class Fleet:
    """Fleet-wide settings.

    Attributes:
        address_validity_s: How long callers may use an address answer.
        staleness_bound_s: Age of an entry's newest proof that its
            configuration is current, past which it fences itself.
        endpoint_lease_s: How long an announcement is valid without renewal.
        key_retention_s: Age of the oldest idempotency key that is admitted.
    """

    address_validity_s: float = attrs.field(
        default=10.0, validator=documents.check_positive
    )
    staleness_bound_s: float = attrs.field(
        default=8.0, validator=documents.check_positive
    )
    endpoint_lease_s: float = attrs.field(
        default=5.0, validator=documents.check_positive
    )
    key_retention_s: float = attrs.field(
        default=86_400.0, validator=documents.check_positive
    )


@attrs.frozen(kw_only=True)
class Config:
    """The complete configuration of one version."""

    services: dict[str, Service] = attrs.Factory(dict)
    workspaces: dict[str, Workspace] = attrs.Factory(dict)
    endpoint_kinds: tuple[EndpointKind, ...] = ()
    models: dict[str, "ModelPlacement"] = attrs.Factory(dict)
    fleet: Fleet = Fleet()


@attrs.frozen(kw_only=True)
class ModelPlacement:
    """Desired number of engines of a service that have a model loaded."""

    service: str
    copies: int = attrs.field(default=1, validator=documents.check_positive)
    version: str = "1"


attrs.resolve_types(Config, globals(), locals())


def merge_patch(target: object, patch: object) -> object:
    """Return `target` with a JSON Merge Patch (RFC 7396) applied."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for key, value in patch.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = merge_patch(merged.get(key), value)
    return merged


def invalid(message: str) -> Result[Config, errors.Failure]:
    """Return the failure of an invalid document."""
    return Error(errors.Failure(errors.ErrorCode.INVALID_CONFIG, message))


def parse(document: object) -> Result[Config, errors.Failure]:
    """Validate a JSON document and return it as a `Config`."""
    if len(json.dumps(document)) > MAX_DOCUMENT_BYTES:
        return invalid(f"config is larger than {MAX_DOCUMENT_BYTES} bytes")
    try:
        config = documents.CONVERTER.structure(document, Config)
    except Exception as error:  # pylint: disable=broad-except
        # cattrs raises exception groups of any errors of hooks and validators.
        return invalid(documents.describe_errors(error))
    for name, workspace in config.workspaces.items():
        for service in workspace.services:
            if service not in config.services:
                return invalid(
                    f"config.workspaces.{name}.services names {service!r},"
                    " which is no service"
                )
    return Ok(config)
