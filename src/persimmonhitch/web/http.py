"""Typed HTTP requests and responses on top of WSGI."""

import json
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Final
from urllib.parse import quote

from returns.result import Failure as Err
from returns.result import Result, Success

from ..verdict import ErrorCode, Failure
from .caller_conn import CallerConn

Body = Iterable[bytes]
Environ = dict[str, Any]
StartResponse = Callable[..., Any]

MAX_BODY_BYTES: Final = 4 * 1024 * 1024
"""Maximum request body; about the length of a prompt of a million tokens."""
ENVIRON_HEADER_PREFIX: Final = "HTTP_"


DROP: Final = "persimmonhitch.drop"
"""Key of the function that breaks off the connection of a request."""
CONN: Final = "persimmonhitch.conn"
"""Key of the connection of a request."""


def _never_disconnected() -> bool:
    return False


def _do_nothing() -> None:
    return


@dataclass(frozen=True)
class Request:
    """An HTTP request of a caller; header names are in lower case."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    disconnected: Callable[[], bool] = _never_disconnected
    target: str = ""
    """Path and query exactly as received, to be forwarded unchanged."""
    drop: Callable[[], None] = _do_nothing
    """Breaks off the connection, from any thread."""
    conn: CallerConn | None = None
    """The caller's connection; None in a program without a server."""


class UnframedBody:
    """A body that ends with its connection, without a length or chunks.

    The end promises nothing about whether the body is complete.
    """

    def __init__(self, parts: Body) -> None:
        self._parts = parts

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._parts)

    def close(self) -> None:
        """Close the parts, as the server does at the end of each answer."""
        close = getattr(self._parts, "close", None)
        if close is not None:
            close()


@dataclass(frozen=True)
class Answer:
    """Status, headers and body of an HTTP response."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: Body = ()

    def send(self, start_response: StartResponse) -> Body:
        """Call ``start_response`` and return the body, as WSGI requires."""
        reason = HTTPStatus(self.status).phrase if self.status in _STATUSES else "Other"
        start_response(f"{self.status} {reason}", list(self.headers.items()))
        return self.body


_STATUSES: Final = frozenset(int(status) for status in HTTPStatus)


def json_answer(status: int, value: Any, **headers: str) -> Answer:
    """Return a response with ``value`` as its JSON body and additional headers."""
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


def _read_body(received: Any) -> bytes:
    body: bytes = received.read(MAX_BODY_BYTES + 1)
    # WSGI promises no such method. The server's own buffer frees its copy of the body.
    close = getattr(received, "close", None)
    if close is not None:
        close()
    return body


def read_request(environ: Environ) -> Result[Request, Failure]:
    """Return the request of a WSGI environment, including its complete body."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > MAX_BODY_BYTES:
        return Err(
            Failure(ErrorCode.TOO_LARGE, f"a body holds at most {MAX_BODY_BYTES} bytes")
        )
    body = _read_body(environ["wsgi.input"])
    if len(body) > MAX_BODY_BYTES:
        return Err(
            Failure(ErrorCode.TOO_LARGE, f"a body holds at most {MAX_BODY_BYTES} bytes")
        )
    return Success(
        Request(
            method=environ["REQUEST_METHOD"],
            # WSGI passes the bytes of the path decoded as Latin-1.
            path=quote(environ["PATH_INFO"].encode("latin-1"), safe="/:@!$&'()*+,;=~"),
            query=environ.get("QUERY_STRING", ""),
            headers=_headers(environ),
            body=body,
            disconnected=environ.get(
                "waitress.client_disconnected", _never_disconnected
            ),
            target=environ.get("REQUEST_URI", ""),
            drop=environ.get(DROP, _do_nothing),
            conn=environ.get(CONN),
        )
    )
