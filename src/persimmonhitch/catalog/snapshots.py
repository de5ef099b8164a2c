"""Snapshots of the whole configuration, so that old changes can be deleted."""

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

At 26,000 changes a day that is one snapshot in 14 minutes, against a store that
takes hundreds of writes a second; a newcomer replays 512 changes at most.
"""
RETAINED: Final = 256
"""Changes before the snapshot that stay, so that a process which lags by a
minute or two at full size still follows change by change."""
MAX_PART_BYTES: Final = 512 * 1024
"""Of one part: half of the store's limit, so that one entry more fits."""


@dataclass(frozen=True)
class SnapshotPart:
    """One of ``parts`` parts of the catalog at ``version``.

    ``digest`` stands for the whole content, so that parts written by two
    releases which split differently are never put together.
    """

    version: ConfigVersion
    digest: str
    part: int
    parts: int
    delta: Delta


def _split(catalog: Catalog) -> Iterator[Delta]:
    """Yield the entries in pieces that each fit one part, in a fixed order."""
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
    """Return the parts that hold a catalog."""
    deltas = tuple(_split(catalog))
    text = json.dumps([to_spec(delta) for delta in deltas], sort_keys=True)
    digest = hashlib.sha256(text.encode()).hexdigest()[:16]
    return tuple(
        SnapshotPart(catalog.version, digest, part, len(deltas), delta)
        for part, delta in enumerate(deltas)
    )


def part_name(part: SnapshotPart) -> str:
    """Return the name of the object that holds a part."""
    return f"{part.version:012d}-{part.digest}-{part.part:04d}"


def join_parts(parts: list[SnapshotPart]) -> Catalog | None:
    """Return the newest catalog of which all parts are there, or None."""
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
    """Return the newest whole snapshot, or None when there is none."""
    listing = store.list_all(Kind.SNAPSHOT)
    if not isinstance(listing, Success):
        return Err(listing.failure())
    parts = _parse_parts(listing.unwrap().items)
    if not isinstance(parts, Success):
        return Err(StoreFailure(StoreError.INVALID, parts.failure()))
    return Success(join_parts(parts.unwrap()))


def compact(store: ObjectStore, catalog: Catalog) -> Result[bool, StoreFailure]:
    """Write a snapshot of ``catalog`` if one is due, and delete what it replaces.

    Any process may call it at any time, also several at once: parts have names
    that follow from their content, and changes go only once all parts are there.

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
    # Upwards, and none before the one below it is gone: a writer concludes from
    # a change that is there that all later ones are there.
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
