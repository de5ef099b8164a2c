"""HTTP answers to callers, including failures."""

import json
import math
from typing import Any, Final

from ..ids import RequestId, new_request_id
from ..verdict import HTTP_STATUS, ErrorCode, Failure
from ..web import Answer, UnframedBody, json_answer
from ..wire.messages import CLOSE, CONNECTION

STREAM_HEADERS: Final = {
    "Content-Type": "text/event-stream",
    "Cache-Control": "no-store",
}
# Headers that describe the framing of the upstream's own HTTP connection.
FRAME_HEADERS: Final = frozenset({"content-length", "transfer-encoding", CONNECTION})


def error_body(exc: Failure, request: RequestId) -> dict[str, Any]:
    """Return the JSON object of a failure answer."""
    error = {
        "code": exc.code.value,
        "message": exc.message,
        "verdict": exc.verdict.value,
        "request_id": request,
        "retry_after_s": exc.retry_after,
    }
    return {"error": error}


def failure_answer(exc: Failure, request: RequestId) -> Answer:
    """Return the answer for a failure."""
    extra = {"X_Request_Id": str(request)}
    if exc.retry_after is not None:
        extra["Retry_After"] = str(max(1, math.ceil(exc.retry_after)))
    return json_answer(exc.http_status, error_body(exc, request), **extra)


def unreadable_answer(status: int) -> Answer:
    """Return the answer to a request that the web server failed to parse."""
    too_large = status == HTTP_STATUS[ErrorCode.TOO_LARGE]
    code = ErrorCode.TOO_LARGE if too_large else ErrorCode.BAD_REQUEST
    exc = Failure(code, "the request is too large or cannot be read")
    return failure_answer(exc, new_request_id())


def failure_event(exc: Failure, request: RequestId) -> bytes:
    """Return the server-sent event that ends a stream after a failure."""
    return b"data: " + json.dumps(error_body(exc, request)).encode() + b"\n\n"


def upstream_answer(
    status: int, headers: dict[str, str], body: bytes, request: RequestId
) -> Answer:
    """Return an upstream's buffered answer without its framing headers."""
    forwarded = {k: v for k, v in headers.items() if k not in FRAME_HEADERS}
    forwarded["X-Request-Id"] = str(request)
    if headers.get(CONNECTION) == CLOSE:
        return Answer(status, forwarded, UnframedBody([body]))
    forwarded["Content-Length"] = str(len(body))
    return Answer(status, forwarded, [body])
