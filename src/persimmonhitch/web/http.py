"""Typed requests and answers on top of WSGI."""

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Final
from urllib.parse import quote

from returns.result import Failure as Err
from returns.result import Result, Success

from ..verdict import ErrorCode, Failure

Body = Iterable[bytes]
Environ = dict[str, Any]
StartResponse = Callable[..., Any]

MAX_BODY_BYTES: Final = 4 * 1024 * 1024
"""Bytes of a caller's body; a prompt of a million tokens is about this long."""
ENVIRON_HEADER_PREFIX: Final = "HTTP_"


def _not_disconnected() -> bool:
    return False


@dataclass(frozen=True)
class Request:
    """A caller's request; header names are in lower case."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    disconnected: Callable[[], bool] = _not_disconnected
    target: str = ""
    """Path and query as the caller sent them, to be passed on unchanged."""


@dataclass(frozen=True)
class Answer:
    """Status, headers and body of an answer."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: Body = ()

    def send(self, start_response: StartResponse) -> Body:
        """Start the answer and return its body."""
        reason = HTTPStatus(self.status).phrase if self.status in _STATUSES else "Other"
        start_response(f"{self.status} {reason}", list(self.headers.items()))
        return self.body


_STATUSES: Final = frozenset(int(status) for status in HTTPStatus)


def json_answer(status: int, value: Any, **headers: str) -> Answer:
    """Return an answer whose body is ``value`` as JSON."""
    data = json.dumps(value).encode()
    standard = {"Content-Type": "application/json", "Content-Length": str(len(data))}
    extra = {name.replace("_", "-"): text for name, text in headers.items()}
    return Answer(status, {**standard, **extra}, [data])


def _headers(environ: Environ) -> dict[str, str]:
    headers = {
        name[len(ENVIRON_HEADER_PREFIX) :].replace("_", "-").lower(): str(value)
        for name, value in environ.items()
        if name.startswith(ENVIRON_HEADER_PREFIX)
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    return headers


def read_request(environ: Environ) -> Result[Request, Failure]:
    """Return the request of a WSGI environment, its body read whole."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > MAX_BODY_BYTES:
        return Err(
            Failure(ErrorCode.TOO_LARGE, f"a body holds at most {MAX_BODY_BYTES} bytes")
        )
    body = environ["wsgi.input"].read(MAX_BODY_BYTES + 1)
    if len(body) > MAX_BODY_BYTES:
        return Err(
            Failure(ErrorCode.TOO_LARGE, f"a body holds at most {MAX_BODY_BYTES} bytes")
        )
    return Success(
        Request(
            method=environ["REQUEST_METHOD"],
            # The server hands the path over as Latin-1 text of its bytes.
            path=quote(environ["PATH_INFO"].encode("latin-1"), safe="/:@!$&'()*+,;=~"),
            query=environ.get("QUERY_STRING", ""),
            headers=_headers(environ),
            body=body,
            disconnected=environ.get("waitress.client_disconnected", _not_disconnected),
            target=environ.get("REQUEST_URI", ""),
        )
    )
