"""Snapshots of the whole configuration, which allow old changes to be deleted."""

import hashlib
import json
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from returns.result import Failure as Err
from returns.result import Result, Success

from ..ids import ConfigVersion
from ..store.objects import (
    Kind,
    ObjectStore,
    StoredObject,
    StoreError,
    StoreFailure,
)
from .changes import Delta, apply_delta
from .model import EMPTY, Catalog
from .spec import from_spec, to_spec

INTERVAL: Final = 256
"""Changes between two snapshots.

At 26,000 changes a day this makes one snapshot in 14 minutes, on a store that
accepts hundreds of writes a second. A new process replays at most 512 changes.
"""
RETAINED: Final = 256
"""Changes retained before the snapshot, so that a process that lags by one or two
minutes at full size can still apply single changes."""
MAX_PART_BYTES: Final = 512 * 1024
"""Maximum size of a part: half the limit of the store, to leave room for an entry."""


@dataclass(frozen=True)
class SnapshotPart:
    """Part ``part`` of ``parts`` of the catalog at ``version``.

    ``digest`` is the digest of the whole content, so that parts written by two
    releases that split differently are never joined.
    """

    version: ConfigVersion
    digest: str
    part: int
    parts: int
    delta: Delta


def _split(catalog: Catalog) -> Iterator[Delta]:
    """Yield the entries as deltas that each fit into one part, in a fixed order."""
    fields = ("plans", "accounts", "models", "services", "keys")
    chunk: dict[str, list[object]] = defaultdict(list)
    size = 0
    for name in fields:
        entries = getattr(catalog, name)
        for key in sorted(entries):
            length = len(json.dumps(to_spec(entries[key])))
            if size and size + length > MAX_PART_BYTES:
                yield _to_delta(chunk)
                chunk, size = defaultdict(list), 0
            chunk[name].append(entries[key])
            size += length
    yield _to_delta(chunk)


def _to_delta(chunk: dict[str, list[object]]) -> Delta:
    return Delta(**{name: tuple(entries) for name, entries in chunk.items()})  # type: ignore[arg-type]


def make_parts(catalog: Catalog) -> tuple[SnapshotPart, ...]:
    """Return the parts of a snapshot of ``catalog``."""
    deltas = tuple(_split(catalog))
    text = json.dumps([to_spec(delta) for delta in deltas], sort_keys=True)
    digest = hashlib.sha256(text.encode()).hexdigest()[:16]
    return tuple(
        SnapshotPart(catalog.version, digest, part, len(deltas), delta)
        for part, delta in enumerate(deltas)
    )


def part_name(part: SnapshotPart) -> str:
    """Return the object name of a part."""
    return f"{part.version:012d}-{part.digest}-{part.part:04d}"


def join_parts(parts: list[SnapshotPart]) -> Catalog | None:
    """Return the newest catalog that has all its parts, or None."""
    groups: dict[tuple[int, str], dict[int, SnapshotPart]] = defaultdict(dict)
    for part in parts:
        groups[part.version, part.digest][part.part] = part
    for (version, _), group in sorted(groups.items(), reverse=True):
        if len(group) != next(iter(group.values())).parts:
            continue
        catalog = EMPTY
        for part in group.values():
            catalog = apply_delta(catalog, part.delta, ConfigVersion(version))
        return catalog
    return None


def _parse_parts(items: tuple[StoredObject, ...]) -> Result[list[SnapshotPart], str]:
    parts = []
    for obj in items:
        result = from_spec(SnapshotPart, obj.spec)
        if not isinstance(result, Success):
            return Err(f"{obj.name}: {result.failure()}")
        parts.append(result.unwrap())
    return Success(parts)


def read_snapshot(store: ObjectStore) -> Result[Catalog | None, StoreFailure]:
    """Return the newest complete snapshot, or None if there is none."""
    listing = store.list_all(Kind.SNAPSHOT)
    if not isinstance(listing, Success):
        return Err(listing.failure())
    parts = _parse_parts(listing.unwrap().items)
    if not isinstance(parts, Success):
        return Err(StoreFailure(StoreError.INVALID, parts.failure()))
    return Success(join_parts(parts.unwrap()))


def compact(store: ObjectStore, catalog: Catalog) -> Result[bool, StoreFailure]:
    """Write a snapshot of ``catalog`` if one is due, and delete superseded objects.

    Concurrent calls by several processes are safe: the name of a part depends on
    its content only, and changes are deleted only once all parts exist.

    Returns
    -------
    Result
        Whether a snapshot was due.
    """
    newest = read_snapshot(store)
    if not isinstance(newest, Success):
        return Err(newest.failure())
    previous = newest.unwrap() or EMPTY
    due = catalog.version - previous.version >= INTERVAL
    if due:
        for part in make_parts(catalog):
            created = store.create(Kind.SNAPSHOT, part_name(part), to_spec(part))
            if not isinstance(created, Success):
                failure = created.failure()
                if failure.error is not StoreError.EXISTS:
                    return Err(failure)
    return _delete_old(store).map(lambda _none: due)


def _delete_old(store: ObjectStore) -> Result[None, StoreFailure]:
    newest = read_snapshot(store)
    if not isinstance(newest, Success):
        return Err(newest.failure())
    version = (newest.unwrap() or EMPTY).version
    changes = _objects_below(store, Kind.CHANGE, version - RETAINED)
    if not isinstance(changes, Success):
        return Err(changes.failure())
    # Delete in ascending order, one after the other: a writer concludes from an
    # existing change that all later changes exist.
    deleted = _delete_each(store, changes.unwrap())
    if not isinstance(deleted, Success):
        return deleted
    snapshots = _objects_below(store, Kind.SNAPSHOT, version)
    return snapshots.bind(lambda found: _delete_each(store, found))


def _number(obj: StoredObject) -> int:
    number = obj.name.partition("-")[0]
    return int(number) if number.isdigit() else 0


def _objects_below(
    store: ObjectStore, kind: Kind, version: int
) -> Result[list[StoredObject], StoreFailure]:
    listing = store.list_all(kind)
    if not isinstance(listing, Success):
        return Err(listing.failure())
    items = sorted(listing.unwrap().items, key=lambda obj: obj.name)
    return Success([obj for obj in items if _number(obj) < version])


def _delete_each(
    store: ObjectStore, objects: list[StoredObject]
) -> Result[None, StoreFailure]:
    for obj in objects:
        deleted = store.delete(obj)
        if isinstance(deleted, Success):
            continue
        failure = deleted.failure()
        if failure.error is not StoreError.NOT_FOUND:
            return Err(failure)
    return Success(None)
