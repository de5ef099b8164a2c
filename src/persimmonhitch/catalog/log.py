"""Reading and writing of the change log in the object API.

Change N is the object of that number. The writer of change N + 1 creates its
object conditionally, so exactly one of two operators succeeds and all changes
have one order.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Final

from returns.result import Failure as Err
from returns.result import Result, Success

from ..ids import ConfigVersion
from ..store.objects import (
    Kind,
    Listing,
    ObjectStore,
    StoredObject,
    StoreError,
    StoreFailure,
    Version,
)
from .changes import Change, ChangeId, Delta, apply, apply_delta, diff, new_change_id
from .model import EMPTY, Catalog
from .references import find_dangling
from .snapshots import read_snapshot
from .spec import from_spec, to_spec

NUMBER_DIGITS: Final = 12
"""Digits of an object name: 26,000 changes a day for 100,000 years."""
NO_CHANGE: Final = ChangeId("")
COMPACTED: Final = ChangeId("compacted")
MAX_ATTEMPTS: Final = 5
RETRY_PAUSE_S: Final = 0.4
"""Delay between attempts; five attempts outlast the restart of a store server."""
MAX_REBASES: Final = 16
"""At 26,000 changes a day, a writer loses 16 races in a row only due to a fault."""


@dataclass(frozen=True)
class Head:
    """Newest state of the log in one read.

    ``last_id`` is the id of the change at ``catalog.version``, by which a writer
    verifies that its own change follows the change that the read returned.
    """

    catalog: Catalog
    last_id: ChangeId


class CommitError(Enum):
    """Reason why a commit was not confirmed."""

    CONFLICT = "conflict"
    """Another change modified the same entries; nothing was written."""
    INVALID = "invalid"
    """After another change, the delta would leave references to missing entries."""
    UNAVAILABLE = "unavailable"
    """The store did not answer a read; nothing was written."""
    UNKNOWN = "unknown"
    """The store did not answer the write; the delta may or may not be in force."""


@dataclass(frozen=True)
class CommitFailure:
    """Reason and description of a failed commit, for the operator."""

    error: CommitError
    detail: str


def change_name(number: int) -> str:
    """Return the object name of a change."""
    return f"{number:0{NUMBER_DIGITS}d}"


def parse_change(obj: StoredObject) -> Result[Change, str]:
    """Return the change stored in an object, or a description of the error."""
    result = from_spec(Change, obj.spec)
    if isinstance(result, Success):
        number = result.unwrap().number
        if obj.name != change_name(number):
            return Err(f"object {obj.name} contains change {number}")
    return result


@dataclass(frozen=True)
class Tail:
    """Part of the log beyond the catalog of a process.

    ``snapshot`` is None if the changes directly follow that catalog. A watch
    starts at ``list_version``.
    """

    snapshot: Catalog | None
    changes: tuple[Change, ...]
    list_version: Version


def read_tail(store: ObjectStore, version: ConfigVersion) -> Result[Tail, StoreFailure]:
    """Return the part of the log beyond a version.

    Changes are read before snapshots. In reverse order, a snapshot written between
    the two reads could cause the deletion of changes that follow the older
    snapshot, and the log would appear to have a gap.
    """
    listing = store.list_all(Kind.CHANGE)
    if not isinstance(listing, Success):
        return Err(listing.failure())
    parsed = _parse_all(listing.unwrap(), version)
    if not isinstance(parsed, Success):
        return Err(parsed.failure())
    changes = parsed.unwrap()
    list_version = listing.unwrap().version
    # The changes continue the catalog if they start at its version or the next
    # one. Otherwise they were compacted into a newer snapshot.
    if version and changes and changes[0].number <= version + 1:
        return Success(Tail(None, changes, list_version))
    snapshot = read_snapshot(store)
    return snapshot.map(lambda found: Tail(found, changes, list_version))


def _parse_all(
    listing: Listing, version: ConfigVersion
) -> Result[tuple[Change, ...], StoreFailure]:
    """Return the changes from ``version`` on, in ascending order."""
    items = sorted(listing.items, key=lambda obj: obj.name)
    parsed = [parse_change(obj) for obj in items if obj.name >= change_name(version)]
    for result in parsed:
        if not isinstance(result, Success):
            return Err(StoreFailure(StoreError.INVALID, result.failure()))
    return Success(tuple(result.unwrap() for result in parsed))


def read_head(store: ObjectStore) -> Result[Head, StoreFailure]:
    """Return the newest catalog in the store."""
    return read_tail(store, ConfigVersion(0)).bind(_replay)


def _replay(tail: Tail) -> Result[Head, StoreFailure]:
    catalog = tail.snapshot or EMPTY
    last_id = NO_CHANGE
    for change in tail.changes:
        if change.number == catalog.version:
            last_id = change.id
        if change.number <= catalog.version:
            continue
        result = apply(catalog, change)
        if not isinstance(result, Success):
            return Err(StoreFailure(StoreError.INVALID, result.failure()))
        catalog, last_id = result.unwrap(), change.id
    return Success(Head(catalog, last_id))


class _Outcome(Enum):
    """Result of a conditional create."""

    OURS = "ours"
    OTHERS = "others"
    UNANSWERED = "unanswered"


class ChangeWriter:
    """Writer of the changes of one operator.

    Parameters
    ----------
    store : ObjectStore
        The object API.
    operator : str
        Name of the author of the changes, stored in the log.
    wall : callable
        Wall clock in seconds.
    sleep : callable
        Function that sleeps a number of seconds between two attempts.
    """

    def __init__(
        self,
        store: ObjectStore,
        operator: str,
        wall: Callable[[], float] = time.time,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._store = store
        self._operator = operator
        self._wall = wall
        self._sleep = sleep

    def commit(self, base: Catalog, delta: Delta) -> Result[Catalog, CommitFailure]:
        """Write a delta that was computed against ``base``.

        The delta is rebased onto later changes of other entries. A later change of
        the same entries is a conflict.

        Returns
        -------
        Result
            The catalog with the delta in force, or the reason of the failure.
        """
        for _ in range(MAX_REBASES):
            read = read_head(self._store)
            if not isinstance(read, Success):
                return _failed(CommitError.UNAVAILABLE, read.failure().detail)
            head = read.unwrap()
            if _contains(head.catalog, delta):
                return Success(head.catalog)
            failure = _check_rebase(base, head.catalog, delta)
            if failure:
                return Err(failure)
            outcome = self._append(head, delta)
            if outcome is _Outcome.UNANSWERED:
                return _failed(CommitError.UNKNOWN, "the store did not answer")
            if outcome is _Outcome.OURS:
                version = ConfigVersion(head.catalog.version + 1)
                return Success(apply_delta(head.catalog, delta, version))
        return _failed(CommitError.CONFLICT, "lost every race against other writers")

    def _append(self, head: Head, delta: Delta) -> _Outcome:
        number = ConfigVersion(head.catalog.version + 1)
        change = Change(number, new_change_id(), self._operator, self._wall(), delta)
        outcome = self._create(change)
        if outcome is not _Outcome.OURS:
            return outcome
        return self._verify_append(change, head.last_id)

    def _create(self, change: Change) -> _Outcome:
        """Create the object of a change; retry while answers are lost.

        A write without an answer may have taken effect or may take effect later.
        A retry with the same change and number is safe, since at most one create
        succeeds; the id of the stored change then identifies its writer.
        """
        name, spec = change_name(change.number), to_spec(change)
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                self._sleep(RETRY_PAUSE_S)
            result = self._store.create(Kind.CHANGE, name, spec)
            if isinstance(result, Success):
                return _Outcome.OURS
            if result.failure().error is StoreError.EXISTS:
                stored_id = self._change_id(change.number)
                if stored_id is not None:
                    return _Outcome.OURS if stored_id == change.id else _Outcome.OTHERS
        return _Outcome.UNANSWERED

    def _change_id(self, number: int) -> ChangeId | None:
        """Return the id of a change, None if the store does not answer."""
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                self._sleep(RETRY_PAUSE_S)
            stored = self._store.get(Kind.CHANGE, change_name(number))
            if isinstance(stored, Success):
                return ChangeId(str(stored.unwrap().spec.get("id")))
            if stored.failure().error is StoreError.NOT_FOUND:
                return NO_CHANGE
        return None

    def _predecessor_id(self, number: int) -> ChangeId | None:
        if number > 1:
            return self._change_id(number - 1)
        snapshot = read_snapshot(self._store)
        if not isinstance(snapshot, Success):
            return None
        return NO_CHANGE if snapshot.unwrap() is None else COMPACTED

    def _verify_append(self, change: Change, expected_id: ChangeId) -> _Outcome:
        """Verify that a created change continues the log.

        If a writer is frozen between its read and its create, the number may be
        free only because another change of that number was compacted meanwhile.
        The operator would then see a success although no process ever applies the
        change. In this case the predecessor is missing too, since compaction
        deletes in ascending order and retains the newest hundreds of changes.
        Change 1 has no predecessor; it is valid if no snapshot exists.
        """
        predecessor_id = self._predecessor_id(change.number)
        if predecessor_id is None:
            return _Outcome.UNANSWERED
        if predecessor_id == expected_id:
            return _Outcome.OURS
        stored = self._store.get(Kind.CHANGE, change_name(change.number))
        if isinstance(stored, Success) and stored.unwrap().spec.get("id") == change.id:
            self._store.delete(stored.unwrap())
        return _Outcome.OTHERS


def _failed(error: CommitError, detail: str) -> Err[CommitFailure]:
    return Err(CommitFailure(error, detail))


def _contains(head: Catalog, delta: Delta) -> bool:
    return not diff(head, apply_delta(head, delta, head.version))


def _check_rebase(base: Catalog, head: Catalog, delta: Delta) -> CommitFailure | None:
    """Return the reason why a delta against ``base`` cannot be applied to ``head``."""
    changed = delta.changed_refs()
    refs = sorted(str(ref) for ref in changed & diff(base, head).changed_refs())
    if refs:
        detail = f"changed by another since version {base.version}: {', '.join(refs)}"
        return CommitFailure(CommitError.CONFLICT, detail)
    dangling_refs = find_dangling(apply_delta(head, delta, head.version))
    if dangling_refs:
        return CommitFailure(CommitError.INVALID, "; ".join(map(str, dangling_refs)))
    return None
