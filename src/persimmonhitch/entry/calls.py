"""Parsing and validation of HTTP requests from callers."""

import json
import math
from dataclasses import dataclass
from typing import Any, Final
from urllib.parse import unquote

from returns.result import Failure as Err
from returns.result import Result, Success

from ..ids import Model, Service
from ..limits.tokens import DEFAULT_MAX_TOKENS
from ..verdict import ErrorCode, Failure
from ..web import Request
from ..wire.messages import Priority

CHAT_PATH: Final = "/v1/chat/completions"
SERVICE_PREFIX: Final = "/v1/services/"
TIMEOUT_HEADER: Final = "x-request-timeout"
PRIORITY_HEADER: Final = "x-request-priority"
IDEMPOTENCY_HEADER: Final = "idempotency-key"
MAX_IDEMPOTENCY_KEY: Final = 255
# Largest max_tokens that a caller may request.
MAX_TOKENS_LIMIT: Final = 32768
# Headers of one connection, which a proxy must not forward.
HOP_BY_HOP_HEADERS: Final = frozenset(
    {"connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te"}
    | {"trailer", "transfer-encoding", "upgrade", "host", "content-length", "expect"}
)
# Headers that the entry evaluates itself and does not forward.
ENTRY_HEADERS: Final = frozenset(
    {"authorization", "cookie", "traceparent", "tracestate", "x-request-id"}
    | {TIMEOUT_HEADER, PRIORITY_HEADER}
)


@dataclass(frozen=True)
class Call:
    """Parsed contents of one request, before admission.

    A request for a service has an empty ``model``; a request for a model has None
    as its ``service``.
    """

    model: Model
    service: Service | None
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    stream: bool
    max_tokens: int
    timeout_s: float
    priority: Priority | None
    idempotency_key: str


def bearer_key(req: Request) -> str:
    """Return the API key of a request, or an empty string."""
    scheme, _, key = req.headers.get("authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _invalid(message: str) -> Err[Failure]:
    return Err(Failure(ErrorCode.BAD_REQUEST, message))


def read_timeout(req: Request, default: float, limit: float) -> Result[float, Failure]:
    """Return the timeout that the caller set, in seconds, or the default."""
    text = req.headers.get(TIMEOUT_HEADER)
    if text is None:
        return Success(default)
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0 < value <= limit:
        return _invalid(f"{TIMEOUT_HEADER} is seconds above 0 and at most {limit:g}")
    return Success(value)


def _read_priority(req: Request) -> Result[Priority | None, Failure]:
    text = req.headers.get(PRIORITY_HEADER)
    if text is None:
        return Success(None)
    try:
        return Success(Priority(text.lower()))
    except ValueError:
        return _invalid(f"{PRIORITY_HEADER} is interactive or batch")


def forwarded_headers(headers: dict[str, str], key: str) -> dict[str, str]:
    """Return the headers to forward to the upstream.

    Headers that contain the API key are dropped: the key could end up in the
    upstream's logs, and any reader of the logs could act as the account.
    """
    hop_names = headers.get("connection", "").lower().replace(" ", "").split(",")
    dropped = HOP_BY_HOP_HEADERS | ENTRY_HEADERS | frozenset(hop_names)
    return {
        name: text
        for name, text in headers.items()
        if name not in dropped and not (key and key in text)
    }


def forwarded_query(query: str, key: str) -> str:
    """Return the query string without parameters that contain the API key."""
    parts = [part for part in query.split("&") if part]
    return "&".join(p for p in parts if not (key and key in unquote(p)))


def read_call(req: Request, default: float, limit: float) -> Result[Call, Failure]:
    """Parse a request; the failure names the first invalid part."""
    timeout = read_timeout(req, default, limit)
    if not isinstance(timeout, Success):
        return Err(timeout.failure())
    priority = _read_priority(req)
    if not isinstance(priority, Success):
        return Err(priority.failure())
    idempotency_key = req.headers.get(IDEMPOTENCY_HEADER, "")
    if len(idempotency_key) > MAX_IDEMPOTENCY_KEY:
        return _invalid(
            f"{IDEMPOTENCY_HEADER} has at most {MAX_IDEMPOTENCY_KEY} characters"
        )
    key = bearer_key(req)
    if key and (key.encode() in req.body or key in unquote(req.path)):
        return _invalid("the key may stand in the Authorization header only")
    common = _Common(req, key, timeout.unwrap(), priority.unwrap(), idempotency_key)
    if req.path == CHAT_PATH:
        return _read_chat(common)
    return _read_service(common)


@dataclass(frozen=True)
class _Common:
    """Parts of a request that models and services have in common."""

    req: Request
    key: str
    timeout_s: float
    priority: Priority | None
    idempotency_key: str


def _read_service(common: _Common) -> Result[Call, Failure]:
    req = common.req
    name, _, path = req.path.removeprefix(SERVICE_PREFIX).partition("/")
    if not name:
        return Err(Failure(ErrorCode.NOT_FOUND, "no service is named"))
    query = forwarded_query(req.query, common.key)
    return Success(
        Call(
            model=Model(""),
            service=Service(unquote(name)),
            method=req.method,
            path=f"/{path}" + (f"?{query}" if query else ""),
            headers=forwarded_headers(req.headers, common.key),
            body=req.body,
            stream=False,
            max_tokens=0,
            timeout_s=common.timeout_s,
            priority=common.priority,
            idempotency_key=common.idempotency_key,
        )
    )


def _chat_error(body: Any) -> str | None:
    if not isinstance(body, dict):
        return "the body is a JSON object"
    if not isinstance(body.get("model"), str) or not body["model"]:
        return "model is a text"
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        return "messages is a list with at least one message"
    if not all(isinstance(m, dict) and "role" in m for m in messages):
        return "each message is an object with a role"
    limit = body.get("max_tokens", DEFAULT_MAX_TOKENS)
    if type(limit) is not int or not 1 <= limit <= MAX_TOKENS_LIMIT:
        return f"max_tokens is a whole number from 1 to {MAX_TOKENS_LIMIT}"
    if not isinstance(body.get("stream", False), bool):
        return "stream is true or false"
    return None


def _read_chat(common: _Common) -> Result[Call, Failure]:
    req = common.req
    try:
        body = json.loads(req.body)
    except (ValueError, RecursionError):
        return _invalid("the body is not JSON")
    error = _chat_error(body)
    if error is not None:
        return _invalid(error)
    limit = body.get("max_tokens", DEFAULT_MAX_TOKENS)
    # Always send the limit to the engine: an answer longer than the reserved
    # tokens would let the account exceed its rate.
    forwarded = {**body, "max_tokens": limit}
    return Success(
        Call(
            model=Model(body["model"]),
            service=None,
            method="POST",
            path=CHAT_PATH,
            headers={"content-type": "application/json"},
            body=json.dumps(forwarded).encode(),
            stream=body.get("stream", False),
            max_tokens=limit,
            timeout_s=common.timeout_s,
            priority=common.priority,
            idempotency_key=common.idempotency_key,
        )
    )
