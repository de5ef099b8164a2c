"""The object API over HTTP, as the platform publishes it."""

import json
from collections.abc import Iterator
from typing import Any, Final

import urllib3
from returns.result import Failure as Err
from returns.result import Result, Success

from .objects import (
    Event,
    EventType,
    Kind,
    Listing,
    Spec,
    StoredObject,
    StoreError,
    StoreFailure,
    Version,
)

GROUP: Final = "persimmonhitch/v1"
STATUS_ERRORS: Final = {
    404: StoreError.NOT_FOUND,
    410: StoreError.EXPIRED,
    400: StoreError.INVALID,
    413: StoreError.INVALID,
    422: StoreError.INVALID,
}
REASON_EXISTS: Final = "AlreadyExists"
WATCH_SLACK: Final = 2.0
"""Seconds beyond a watch's own time before its connection counts as dead."""

Body = dict[str, Any]


def _failure(error: StoreError, detail: str) -> Err[StoreFailure]:
    return Err(StoreFailure(error, detail))


def _object(kind: Kind, body: Body) -> StoredObject:
    meta = body["metadata"]
    version = Version(int(meta["resourceVersion"]))
    return StoredObject(kind, meta["name"], version, body["spec"])


def _document(kind: Kind, name: str, spec: Spec, version: Version | None) -> bytes:
    meta: Body = {"name": name}
    if version is not None:
        meta["resourceVersion"] = str(version)
    body = {"apiVersion": GROUP, "kind": kind.value, "metadata": meta, "spec": spec}
    return json.dumps(body).encode()


class HttpObjectStore:
    """Client of the object API; safe to use from many threads.

    Parameters
    ----------
    url : str
        Base address, such as ``http://10.0.0.5:7000``.
    timeout : float
        Seconds for one call.
    """

    def __init__(self, url: str, timeout: float) -> None:
        self._base = f"{url.rstrip('/')}/apis/{GROUP}"
        self._timeout = timeout
        # Retries stay off: a write whose answer was lost may have taken effect,
        # and a blind second send would meet its own first one as a conflict.
        self._http = urllib3.PoolManager(retries=False, maxsize=16, timeout=timeout)

    def _path(self, kind: Kind, name: str = "") -> str:
        return f"{self._base}/{kind.value}" + (f"/{name}" if name else "")

    def _call(
        self, method: str, url: str, body: bytes | None = None
    ) -> Result[Body, StoreFailure]:
        headers = {"Content-Type": "application/json"}
        try:
            answer = self._http.request(method, url, body=body, headers=headers)
            parsed = json.loads(answer.data or b"{}")
        except (urllib3.exceptions.HTTPError, ValueError, OSError) as exc:
            return _failure(StoreError.UNAVAILABLE, repr(exc))
        return self._checked(answer.status, parsed)

    def _checked(self, status: int, body: Body) -> Result[Body, StoreFailure]:
        if status < 300:
            return Success(body)
        detail = f"{status} {body.get('message', '')}"
        if status == 409:
            exists = body.get("reason") == REASON_EXISTS
            return _failure(
                StoreError.EXISTS if exists else StoreError.CONFLICT, detail
            )
        return _failure(STATUS_ERRORS.get(status, StoreError.UNAVAILABLE), detail)

    def get(self, kind: Kind, name: str) -> Result[StoredObject, StoreFailure]:
        """Return one object."""
        result = self._call("GET", self._path(kind, name))
        return result.map(lambda body: _object(kind, body))

    def list_all(self, kind: Kind) -> Result[Listing, StoreFailure]:
        """Return all objects of a kind."""
        result = self._call("GET", self._path(kind))
        return result.map(lambda body: self._listing(kind, body))

    def _listing(self, kind: Kind, body: Body) -> Listing:
        version = Version(int(body["metadata"]["resourceVersion"]))
        return Listing(version, tuple(_object(kind, item) for item in body["items"]))

    def create(
        self, kind: Kind, name: str, spec: Spec
    ) -> Result[StoredObject, StoreFailure]:
        """Create an object."""
        document = _document(kind, name, spec, None)
        result = self._call("POST", self._path(kind), document)
        return result.map(lambda body: _object(kind, body))

    def update(
        self, old: StoredObject, spec: Spec
    ) -> Result[StoredObject, StoreFailure]:
        """Replace an object at the version given."""
        document = _document(old.kind, old.name, spec, old.version)
        result = self._call("PUT", self._path(old.kind, old.name), document)
        return result.map(lambda body: _object(old.kind, body))

    def delete(self, old: StoredObject) -> Result[None, StoreFailure]:
        """Delete an object at the version given."""
        condition = {"preconditions": {"resourceVersion": str(old.version)}}
        document = json.dumps(condition).encode()
        result = self._call("DELETE", self._path(old.kind, old.name), document)
        return result.map(lambda _body: None)

    def watch(
        self, kind: Kind, after: Version, timeout: float
    ) -> Iterator[Result[Event, StoreFailure]]:
        """Yield events until the platform ends the watch."""
        query = f"watch=1&resourceVersion={after}&timeoutSeconds={timeout}"
        try:
            answer = self._http.request(
                "GET",
                f"{self._path(kind)}?{query}",
                preload_content=False,
                timeout=timeout + WATCH_SLACK,
            )
            yield from self._events(kind, answer)
        except (urllib3.exceptions.HTTPError, ValueError, OSError, KeyError) as exc:
            yield _failure(StoreError.UNAVAILABLE, repr(exc))

    def _events(
        self, kind: Kind, answer: urllib3.BaseHTTPResponse
    ) -> Iterator[Result[Event, StoreFailure]]:
        if answer.status != 200:
            result = self._checked(answer.status, json.loads(answer.data or b"{}"))
            yield Err(result.failure())
            return
        try:
            for line in _lines(answer):
                item = json.loads(line)
                yield Success(
                    Event(EventType(item["type"]), _object(kind, item["object"]))
                )
        finally:
            answer.close()


def _lines(answer: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    rest = b""
    for part in answer.stream(65536):
        *whole, rest = (rest + part).split(b"\n")
        yield from (line for line in whole if line)
