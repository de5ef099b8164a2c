"""Failures of requests, with a verdict on whether the request may have run."""

from dataclasses import dataclass
from enum import Enum
from typing import Final


class Verdict(Enum):
    """Whether the upstream may have run the request."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class ErrorCode(Enum):
    """Reason of a failure, sent to callers in ``error.code``."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    NOT_PERMITTED = "not_permitted"
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    MODEL_LOADING = "model_loading"
    NO_UPSTREAM = "no_upstream"
    DEADLINE = "deadline"
    DUPLICATE = "duplicate"
    CRASHES_UPSTREAMS = "crashes_upstreams"
    VERSION_UNKNOWN = "version_unknown"
    STALE_CONFIG = "stale_config"
    STALE_INCARNATION = "stale_incarnation"
    SHUTTING_DOWN = "shutting_down"
    UPSTREAM_LOST = "upstream_lost"
    UPSTREAM_ERROR = "upstream_error"
    STORE_UNAVAILABLE = "store_unavailable"
    CONFLICT = "conflict"
    PROTOCOL = "protocol"
    INTERNAL = "internal"


HTTP_STATUS: Final = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.UNAUTHENTICATED: 401,
    ErrorCode.NOT_PERMITTED: 403,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.CONFLICT: 409,
    ErrorCode.DUPLICATE: 409,
    ErrorCode.TOO_LARGE: 413,
    ErrorCode.RATE_LIMITED: 429,
    ErrorCode.INTERNAL: 500,
    ErrorCode.UPSTREAM_ERROR: 502,
    ErrorCode.UPSTREAM_LOST: 502,
    ErrorCode.PROTOCOL: 502,
    ErrorCode.OVERLOADED: 503,
    ErrorCode.MODEL_LOADING: 503,
    ErrorCode.NO_UPSTREAM: 503,
    ErrorCode.CRASHES_UPSTREAMS: 503,
    ErrorCode.VERSION_UNKNOWN: 503,
    ErrorCode.STALE_CONFIG: 503,
    ErrorCode.STALE_INCARNATION: 503,
    ErrorCode.SHUTTING_DOWN: 503,
    ErrorCode.STORE_UNAVAILABLE: 503,
    ErrorCode.DEADLINE: 504,
}


@dataclass(frozen=True)
class Failure:
    """Reason why a request received no complete answer.

    Attributes
    ----------
    code : ErrorCode
        Reason of the failure.
    message : str
        One sentence for the caller; never contains a key or a prompt.
    verdict : Verdict
        Whether the upstream may have run the request.
    retry_after : float or None
        Seconds after which a retry may succeed; None if a retry does not help.
    """

    code: ErrorCode
    message: str
    verdict: Verdict = Verdict.NOT_RUN
    retry_after: float | None = None

    @property
    def http_status(self) -> int:
        """Return the HTTP status of the code."""
        return HTTP_STATUS[self.code]
