"""Reading of a list that the store returns page by page."""

from collections.abc import Callable
from typing import Final

from returns.result import Failure as Err
from returns.result import Result, Success

from ..json_input import is_readable
from ..observe.logs import log
from .era import era_of
from .objects import (
    Kind,
    Listing,
    Page,
    StoredObject,
    StoreError,
    StoreFailure,
    Version,
)

MAX_MARKERS: Final = 8
"""Names of a page after which a list is continued, one at a time, until one works."""
MAX_LISTED: Final = 50_000
"""Objects of a kind; the largest fleet has some thousand processes."""
REJECTIONS: Final = frozenset({StoreError.INVALID, StoreError.NOT_FOUND})
"""Errors of a store that finds no object with the name to continue after."""

FetchPage = Callable[[str | None], Result[Page, StoreFailure]]
"""Returns the page beyond a name, or the first page."""


def read_list(kind: Kind, fetch: FetchPage) -> Result[Listing, StoreFailure]:
    """Return all objects of a kind, at the version of the first page.

    Changes during the reading are then part of a watch from that version. A list that
    makes no progress fails.

    Parameters
    ----------
    kind : Kind
        Kind of the objects, for the log.
    fetch : callable
        Returns the page beyond a name, or the first page for None.
    """
    return _ListReader(kind, fetch).read()


class _ListReader:
    def __init__(self, kind: Kind, fetch: FetchPage) -> None:
        self._kind = kind
        self._fetch = fetch
        self._version: Version | None = None
        self._items: dict[str, StoredObject] = {}
        self._names: set[str] = set()
        self._markers: list[str] = []
        """Names of the newest page, the next one to continue after at the end."""
        self._pages = 0

    def read(self) -> Result[Listing, StoreFailure]:
        result = self._fetch(None)
        while True:
            if isinstance(result, Success):
                listing = self._add(result.unwrap())
                if listing is not None:
                    return listing
            elif result.failure().error not in REJECTIONS or not self._markers:
                return Err(result.failure())
            if not self._markers:
                return self._fail(StoreError.UNAVAILABLE, "no progress")
            after = self._markers.pop()
            result = self._fetch(after)

    def _add(self, page: Page) -> Result[Listing, StoreFailure] | None:
        """Add a page; return the list if it is complete or has failed."""
        self._pages += 1
        if self._version is None:
            self._version = page.version
        if era_of(page.version) != era_of(self._version):
            return self._fail(StoreError.EXPIRED, "store restored between pages")
        self._items.update({obj.name: obj for obj in page.items})
        is_new = not self._names.issuperset(page.names)
        self._names.update(page.names)
        if not page.has_more:
            log(
                "store_listed",
                kind=self._kind.value,
                items=len(self._items),
                unreadable=len(self._names) - len(self._items),
                pages=self._pages,
                version=self._version,
            )
            return Success(Listing(self._version, tuple(self._items.values())))
        if len(self._names) > MAX_LISTED:
            return self._fail(StoreError.UNAVAILABLE, "too many objects")
        if is_new:
            self._markers = _markers(page)
        return None

    def _fail(self, error: StoreError, detail: str) -> Err[StoreFailure]:
        log(
            "list_failed",
            kind=self._kind.value,
            items=len(self._items),
            pages=self._pages,
            detail=detail,
        )
        return Err(StoreFailure(error, detail))


def _markers(page: Page) -> list[str]:
    """Return the last names of a page, in reverse order of their use.

    A name that is no text may not reach the store as it is, so that other names of the
    page come first. What follows them is then listed twice.
    """
    texts = [name for name in page.names if name and is_readable(name)]
    others = [name for name in page.names if name and not is_readable(name)]
    return [*others[-MAX_MARKERS:], *texts[-MAX_MARKERS:]]
