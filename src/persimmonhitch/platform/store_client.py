"""HTTP client of the platform's object store."""

import json
from dataclasses import dataclass
from typing import Final

import urllib3
from returns.result import Failure as Err
from returns.result import Result, Success

from ..http_client import InvalidAnswer, bounded_pool, read_body
from ..json_input import parse_json
from ..store.era import Era, EraState, era_of, revision_of
from ..store.objects import (
    Changes,
    Kind,
    Listing,
    Page,
    Spec,
    StoredObject,
    StoreError,
    StoreFailure,
    Version,
)
from ..store.pages import read_list
from .headers import parse_era
from .objects_format import (
    Body,
    decode_changes,
    decode_object,
    decode_page,
    encode_object,
    page_path,
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
STORE_ERRORS: Final = (
    urllib3.exceptions.HTTPError,
    InvalidAnswer,
    ValueError,
    OSError,
)
"""Errors raised for a lost or a malformed reply."""
DECODE_ERRORS: Final = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    ArithmeticError,
)
"""Errors raised for a reply with fields missing or of a wrong type."""
WATCH_TIMEOUT_MARGIN_S: Final = 0.6
"""Time that a watch call may exceed its duration before its connection counts as dead.
A reply takes milliseconds; only this timeout reveals an unresponsive connection."""
RESTORED_DETAIL: Final = "store restored from an older copy"
MAX_REPLY_BYTES: Final = 8 * 1024 * 1024
"""Maximum size of a reply; the largest is a page of a list or a configuration."""
MAX_REPLY_S: Final = 10.0
"""Maximum time to read a reply; a link of a few Mbit/s takes seconds for a list."""
MAX_CONNECTIONS: Final = 16
"""Pooled connections: one watch per kind, the lease, and short calls."""


@dataclass(frozen=True)
class _Reply:
    body: Body
    era: Era


def _failure(error: StoreError, detail: str) -> Err[StoreFailure]:
    return Err(StoreFailure(error, detail))


class StoreClient:
    """Client of the object API; safe to use from many threads.

    Parameters
    ----------
    url : str
        Base URL, such as ``http://10.0.0.5:7000``.
    timeout : float
        Timeout in seconds of all calls except watches.
    eras : EraState or None
        Newest observed era; shared by all clients of a process.
    """

    def __init__(self, url: str, timeout: float, eras: EraState | None = None) -> None:
        self._eras = EraState() if eras is None else eras
        self._base = url.rstrip("/")
        self._timeout = timeout
        # No retries: a write whose reply was lost may have been applied, and a retry of
        # the write would then fail with a conflict.
        self._http = bounded_pool(maxsize=MAX_CONNECTIONS, timeout=timeout)

    def _request(
        self,
        method: str,
        path: str,
        body: Body | None = None,
        timeout: float | None = None,
    ) -> Result[_Reply, StoreFailure]:
        data = None if body is None else json.dumps(body).encode()
        try:
            reply = self._http.request(
                method,
                self._base + path,
                body=data,
                headers={"Content-Type": "application/json"},
                timeout=timeout or self._timeout,
                preload_content=False,
            )
            body_text = read_body(reply, MAX_REPLY_BYTES, MAX_REPLY_S)
            # The status of an error holds whatever its body is.
            parsed = parse_json(body_text or b"{}") if reply.status < 300 else None
        except STORE_ERRORS as exc:
            return _failure(StoreError.UNAVAILABLE, repr(exc))
        era = parse_era({k.lower(): v for k, v in reply.headers.items()})
        if not self._eras.observe(era):
            return _failure(StoreError.UNAVAILABLE, "reply of an older store era")
        if isinstance(parsed, dict):
            return Success(_Reply(parsed, self._eras.current if era is None else era))
        error = STATUS_ERRORS.get(reply.status, StoreError.UNAVAILABLE)
        return _failure(error, f"status {reply.status}")

    def get(self, kind: Kind, name: str) -> Result[StoredObject, StoreFailure]:
        """Return one object."""
        return self._decode_reply(kind, self._request("GET", path_of(kind, name)))

    def list_all(self, kind: Kind) -> Result[Listing, StoreFailure]:
        """Return all objects of a kind; request them page by page."""
        return read_list(kind, lambda after: self._get_page(kind, after))

    def _get_page(self, kind: Kind, after: str | None) -> Result[Page, StoreFailure]:
        result = self._request("GET", page_path(kind, after))
        if not isinstance(result, Success):
            return Err(result.failure())
        reply: _Reply = result.unwrap()
        try:
            return Success(decode_page(kind, reply.body, reply.era))
        except DECODE_ERRORS as exc:
            return _failure(StoreError.UNAVAILABLE, repr(exc))

    def create(
        self, kind: Kind, name: str, spec: Spec
    ) -> Result[StoredObject, StoreFailure]:
        """Create an object; fails with ``EXISTS`` if the name is in use."""
        body = encode_object(name, spec, None)
        result = self._request("POST", path_of(kind), body)
        if not isinstance(result, Success):
            failure = result.failure()
            if failure.error is StoreError.CONFLICT:
                return _failure(StoreError.EXISTS, failure.detail)
        return self._decode_reply(kind, result)

    def update(
        self, old: StoredObject, spec: Spec
    ) -> Result[StoredObject, StoreFailure]:
        """Replace an object if ``old`` is its current version."""
        if self._is_before_restore(old.version):
            return _failure(StoreError.CONFLICT, RESTORED_DETAIL)
        body = encode_object(old.name, spec, old.version)
        result = self._request("PUT", path_of(old.kind, old.name), body)
        if isinstance(result, Success) and result.unwrap().era != era_of(old.version):
            # The restored store has reused the revision for other content.
            return _failure(StoreError.CONFLICT, RESTORED_DETAIL)
        return self._decode_reply(old.kind, result)

    def _is_before_restore(self, version: Version) -> bool:
        """Return whether a version belongs to an era before the newest observed era."""
        return era_of(version) < self._eras.current

    def delete(self, old: StoredObject) -> Result[None, StoreFailure]:
        """Delete an object if ``old`` is its current version."""
        if self._is_before_restore(old.version):
            return _failure(StoreError.CONFLICT, RESTORED_DETAIL)
        revision = revision_of(old.version)
        path = f"{path_of(old.kind, old.name)}?revision={revision}"
        return self._request("DELETE", path).map(lambda _reply: None)

    def watch(
        self, kind: Kind, after: Version, wait: float
    ) -> Result[Changes, StoreFailure]:
        """Return the changes after a version; wait up to ``wait`` seconds for any."""
        if self._is_before_restore(after):
            return _failure(StoreError.EXPIRED, RESTORED_DETAIL)
        revision = revision_of(after)
        path = f"{path_of(kind)}?watch={revision}&wait_ms={int(wait * 1000)}"
        result = self._request("GET", path, timeout=wait + WATCH_TIMEOUT_MARGIN_S)
        if not isinstance(result, Success):
            return Err(result.failure())
        reply: _Reply = result.unwrap()
        if reply.era != era_of(after):
            return _failure(StoreError.EXPIRED, RESTORED_DETAIL)
        try:
            return Success(decode_changes(kind, reply.body, reply.era))
        except DECODE_ERRORS as exc:
            return _failure(StoreError.UNAVAILABLE, repr(exc))

    def _decode_reply(
        self, kind: Kind, result: Result[_Reply, StoreFailure]
    ) -> Result[StoredObject, StoreFailure]:
        if not isinstance(result, Success):
            return Err(result.failure())
        try:
            reply: _Reply = result.unwrap()
            return Success(decode_object(kind, reply.body, reply.era))
        except DECODE_ERRORS as exc:
            return _failure(StoreError.UNAVAILABLE, repr(exc))
