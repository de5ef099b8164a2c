"""The platform's store over HTTP: the one client that the system has."""

import json
from dataclasses import dataclass
from typing import Final

import urllib3
from returns.result import Failure as Err
from returns.result import Result, Success

from ..store.era import Era, Eras, era_of, revision_of
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
from .headers import read_era
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
RESTORED: Final = "the store has come back from a copy"
MOST_CONNS: Final = 16
"""Kept connections: a watch a kind, the lease, and short calls."""


@dataclass(frozen=True)
class _Answer:
    body: Body
    era: Era


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
    eras : Eras or None
        What is known of the store's eras; clients of one process share it.
    """

    def __init__(self, url: str, timeout: float, eras: Eras | None = None) -> None:
        self._eras = Eras() if eras is None else eras
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
    ) -> Result[_Answer, StoreFailure]:
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
        era = read_era({k.lower(): v for k, v in answer.headers.items()})
        if not self._eras.note(era):
            return _failure(StoreError.UNAVAILABLE, "an answer of an older era")
        if answer.status < 300 and isinstance(parsed, dict):
            return Success(_Answer(parsed, self._eras.current if era is None else era))
        error = STATUS_ERRORS.get(answer.status, StoreError.UNAVAILABLE)
        return _failure(error, f"status {answer.status}")

    def get(self, kind: Kind, name: str) -> Result[StoredObject, StoreFailure]:
        """Return one object."""
        return self._object(kind, self._call("GET", path_of(kind, name)))

    def list_all(self, kind: Kind) -> Result[Listing, StoreFailure]:
        """Return all objects of a kind, page by page."""
        items: list[StoredObject] = []
        query = ""
        first: Era | None = None
        while True:
            result = self._call("GET", path_of(kind) + query)
            if not isinstance(result, Success):
                return Err(result.failure())
            answer: _Answer = result.unwrap()
            first = answer.era if first is None else first
            if answer.era != first:
                return _failure(StoreError.EXPIRED, "restored between two pages")
            try:
                page, version, more = decode_page(kind, answer.body, answer.era)
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
        if self._is_over(old.version):
            return _failure(StoreError.CONFLICT, RESTORED)
        body = encode_object(old.name, spec, old.version)
        result = self._call("PUT", path_of(old.kind, old.name), body)
        if isinstance(result, Success) and result.unwrap().era != era_of(old.version):
            # Its revision was given out again, to another content.
            return _failure(StoreError.CONFLICT, RESTORED)
        return self._object(old.kind, result)

    def _is_over(self, version: Version) -> bool:
        """Return whether a version is of an era before the newest."""
        return era_of(version) < self._eras.current

    def delete(self, old: StoredObject) -> Result[None, StoreFailure]:
        """Delete an object at the version given."""
        if self._is_over(old.version):
            return _failure(StoreError.CONFLICT, RESTORED)
        revision = revision_of(old.version)
        path = f"{path_of(old.kind, old.name)}?revision={revision}"
        return self._call("DELETE", path).map(lambda _answer: None)

    def watch(
        self, kind: Kind, after: Version, wait: float
    ) -> Result[Changes, StoreFailure]:
        """Return what happened after a version, waiting up to ``wait`` seconds."""
        if self._is_over(after):
            return _failure(StoreError.EXPIRED, RESTORED)
        since = revision_of(after)
        path = f"{path_of(kind)}?watch={since}&wait_ms={int(wait * 1000)}"
        result = self._call("GET", path, timeout=wait + WATCH_SLACK)
        if not isinstance(result, Success):
            return Err(result.failure())
        answer: _Answer = result.unwrap()
        if answer.era != era_of(after):
            return _failure(StoreError.EXPIRED, RESTORED)
        try:
            return Success(decode_changes(kind, answer.body, answer.era))
        except (KeyError, TypeError, ValueError) as exc:
            return _failure(StoreError.UNAVAILABLE, repr(exc))

    def _object(
        self, kind: Kind, result: Result[_Answer, StoreFailure]
    ) -> Result[StoredObject, StoreFailure]:
        if not isinstance(result, Success):
            return Err(result.failure())
        try:
            answer: _Answer = result.unwrap()
            return Success(decode_object(kind, answer.body, answer.era))
        except (KeyError, TypeError, ValueError) as exc:
            return _failure(StoreError.UNAVAILABLE, repr(exc))
