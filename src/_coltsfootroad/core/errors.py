"""Typed failures that are returned as values and shown to callers."""

import enum

import attrs


class Ran(enum.Enum):
    """Whether a failed request ran at an endpoint."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorCode(enum.Enum):
    """Stable error codes of the caller and operator interfaces."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_SERVICE = "unknown_service"
    FORBIDDEN_SERVICE = "forbidden_service"
    KEY_WITHOUT_AGE = "key_without_age"
    KEY_EXPIRED = "key_expired"
    KEY_REUSED = "key_reused"
    IN_PROGRESS = "in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ANSWER_NOT_STORED = "answer_not_stored"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    RATE_LIMITED = "rate_limited"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    PROMPT_TOO_LONG = "prompt_too_long"
    NO_ENDPOINT = "no_endpoint"
    ENDPOINTS_UNREACHABLE = "endpoints_unreachable"
    ZONES_EVACUATED = "zones_evacuated"
    ENDPOINTS_COLD = "endpoints_cold"
    ENDPOINT_FAILED = "endpoint_failed"
    ENTRY_FENCED = "entry_fenced"
    ENTRY_DRAINING = "entry_draining"
    CALLER_GONE = "caller_gone"
    STALE_VERSION = "stale_version"
    INVALID_CONFIG = "invalid_config"
    PATCH_ID_REUSED = "patch_id_reused"
    NOT_FOUND = "not_found"
    QUARANTINED = "quarantined"
    UNAVAILABLE = "unavailable"
    INTERNAL = "internal"


HTTP_STATUS = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.TOO_LARGE: 413,
    ErrorCode.UNAUTHORIZED: 401,
    ErrorCode.UNKNOWN_SERVICE: 404,
    ErrorCode.FORBIDDEN_SERVICE: 403,
    ErrorCode.KEY_WITHOUT_AGE: 400,
    ErrorCode.KEY_EXPIRED: 410,
    ErrorCode.KEY_REUSED: 422,
    ErrorCode.IN_PROGRESS: 409,
    ErrorCode.OUTCOME_UNKNOWN: 409,
    ErrorCode.ANSWER_NOT_STORED: 409,
    ErrorCode.CLAIM_UNAVAILABLE: 503,
    ErrorCode.RATE_LIMITED: 429,
    ErrorCode.QUEUE_FULL: 503,
    ErrorCode.DEADLINE_UNREACHABLE: 503,
    ErrorCode.DEADLINE_EXCEEDED: 504,
    ErrorCode.PROMPT_TOO_LONG: 413,
    ErrorCode.NO_ENDPOINT: 503,
    ErrorCode.ENDPOINTS_UNREACHABLE: 503,
    ErrorCode.ZONES_EVACUATED: 503,
    ErrorCode.ENDPOINTS_COLD: 503,
    ErrorCode.ENDPOINT_FAILED: 502,
    ErrorCode.ENTRY_FENCED: 503,
    ErrorCode.ENTRY_DRAINING: 503,
    ErrorCode.CALLER_GONE: 499,
    ErrorCode.STALE_VERSION: 412,
    ErrorCode.INVALID_CONFIG: 400,
    ErrorCode.PATCH_ID_REUSED: 422,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.QUARANTINED: 503,
    ErrorCode.UNAVAILABLE: 503,
    ErrorCode.INTERNAL: 500,
}


@attrs.frozen
class Failure:
    """A refusal or failure.

    Attributes:
        code: Stable code for programs.
        message: One sentence for people that names the bad value.
        ran: Whether the request ran; `NO` only if that is proved.
        retry_after_s: Seconds after which a retry can succeed, if any.
    """

    code: ErrorCode
    message: str
    ran: Ran = Ran.NO
    retry_after_s: float | None = None

    @property
    def http_status(self) -> int:
        """Return the HTTP status of this failure."""
        return HTTP_STATUS[self.code]


class BrokenInvariantError(Exception):
    """A defect of the program; the process stops when it is raised."""
