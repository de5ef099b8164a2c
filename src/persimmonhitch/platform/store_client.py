"""The platform's store over HTTP: the one client that the system has."""

import json
from typing import Final

import urllib3
from returns.result import Failure as Err
from returns.result import Result, Success

from ..store.objects import (
    Changes,
    Kind,
    Listing,
    Spec,
    StoredObject,
    StoreError,
    StoreFailure,
    Version,
)
from .objects_format import (
    Body,
    decode_changes,
    decode_object,
    decode_page,
    encode_object,
    path_of,
)

STATUS_ERRORS: Final = {
    404: StoreError.NOT_FOUND,
    409: StoreError.CONFLICT,
    410: StoreError.EXPIRED,
    400: StoreError.INVALID,
    413: StoreError.INVALID,
    422: StoreError.INVALID,
}
WATCH_SLACK: Final = 0.6
"""Seconds beyond a watch's own time before its connection counts as dead. An answer
takes milliseconds; a connection that went silent shows by nothing else."""
MOST_CONNS: Final = 16
"""Kept connections: a watch a kind, the lease, and short calls."""


def _failure(error: StoreError, detail: str) -> Err[StoreFailure]:
    return Err(StoreFailure(error, detail))


class StoreClient:
    """Client of the object API; safe to use from many threads.

    Parameters
    ----------
    url : str
        Base address, such as ``http://10.0.0.5:7000``.
    timeout : float
        Seconds for one call.
    """

    def __init__(self, url: str, timeout: float) -> None:
        self._base = url.rstrip("/")
        self._timeout = timeout
        # Retries stay off: a write whose answer was lost may have taken effect,
        # and a blind second send would meet its own first one as a conflict.
        self._http = urllib3.PoolManager(
            retries=False, maxsize=MOST_CONNS, timeout=timeout
        )

    def _call(
        self,
        method: str,
        path: str,
        body: Body | None = None,
        timeout: float | None = None,
    ) -> Result[Body, StoreFailure]:
        data = None if body is None else json.dumps(body).encode()
        try:
            answer = self._http.request(
                method,
                self._base + path,
                body=data,
                headers={"Content-Type": "application/json"},
                timeout=timeout or self._timeout,
            )
            parsed = json.loads(answer.data or b"{}")
        except (urllib3.exceptions.HTTPError, ValueError, OSError) as exc:
            return _failure(StoreError.UNAVAILABLE, repr(exc))
        if answer.status < 300 and isinstance(parsed, dict):
            return Success(parsed)
        error = STATUS_ERRORS.get(answer.status, StoreError.UNAVAILABLE)
        return _failure(error, f"status {answer.status}")

    def get(self, kind: Kind, name: str) -> Result[StoredObject, StoreFailure]:
        """Return one object."""
        return self._object(kind, self._call("GET", path_of(kind, name)))

    def list_all(self, kind: Kind) -> Result[Listing, StoreFailure]:
        """Return all objects of a kind, page by page."""
        items: list[StoredObject] = []
        query = ""
        while True:
            result = self._call("GET", path_of(kind) + query)
            if not isinstance(result, Success):
                return Err(result.failure())
            try:
                page, version, more = decode_page(kind, result.unwrap())
            except (KeyError, TypeError, ValueError) as exc:
                return _failure(StoreError.UNAVAILABLE, repr(exc))
            items += page
            if not more or not page:
                return Success(Listing(version, tuple(items)))
            query = f"?after={page[-1].name}"

    def create(
        self, kind: Kind, name: str, spec: Spec
    ) -> Result[StoredObject, StoreFailure]:
        """Create an object."""
        body = encode_object(name, spec, None)
        result = self._call("POST", path_of(kind), body)
        if not isinstance(result, Success):
            exc = result.failure()
            if exc.error is StoreError.CONFLICT:
                return _failure(StoreError.EXISTS, exc.detail)
        return self._object(kind, result)

    def update(
        self, old: StoredObject, spec: Spec
    ) -> Result[StoredObject, StoreFailure]:
        """Replace an object at the version given."""
        body = encode_object(old.name, spec, old.version)
        return self._object(
            old.kind, self._call("PUT", path_of(old.kind, old.name), body)
        )

    def delete(self, old: StoredObject) -> Result[None, StoreFailure]:
        """Delete an object at the version given."""
        path = f"{path_of(old.kind, old.name)}?revision={old.version}"
        return self._call("DELETE", path).map(lambda _body: None)

    def watch(
        self, kind: Kind, after: Version, wait: float
    ) -> Result[Changes, StoreFailure]:
        """Return what happened after a version, waiting up to ``wait`` seconds."""
        path = f"{path_of(kind)}?watch={after}&wait_ms={int(wait * 1000)}"
        result = self._call("GET", path, timeout=wait + WATCH_SLACK)
        if not isinstance(result, Success):
            return Err(result.failure())
        try:
            return Success(decode_changes(kind, result.unwrap()))
        except (KeyError, TypeError, ValueError) as exc:
            return _failure(StoreError.UNAVAILABLE, repr(exc))

    def _object(
        self, kind: Kind, result: Result[Body, StoreFailure]
    ) -> Result[StoredObject, StoreFailure]:
        if not isinstance(result, Success):
            return Err(result.failure())
        try:
            return Success(decode_object(kind, result.unwrap()))
        except (KeyError, TypeError, ValueError) as exc:
            return _failure(StoreError.UNAVAILABLE, repr(exc))
