"""Rendering of the output of the commands."""

from collections.abc import Iterable, Iterator, Sequence

from ..catalog.changes import Delta, EntryKind, Ref, find_entry
from ..catalog.model import Catalog, Entry, KeyEntry
from ..catalog.spec import to_spec
from ..store.objects import StoredObject

SHOWN_HASH = 16
"""Characters of a hash in lists; they identify a key for ``key withdraw``."""


def shown_hash(key: KeyEntry) -> str:
    """Return the part of a key's hash that identifies it in lists."""
    return key.hash[:SHOWN_HASH]


def table(rows: Iterable[Sequence[object]]) -> str:
    """Return rows as aligned columns."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    lines = ("  ".join(map(str.ljust, row, widths)).rstrip() for row in texts)
    return "\n".join(lines)


def _name(ref: Ref) -> str:
    shown = ref.name[:SHOWN_HASH] if ref.kind is EntryKind.KEY else ref.name
    return f"{ref.kind.value} {shown}"


def _fields(old: Entry, new: Entry) -> Iterator[str]:
    before, after = to_spec(old), to_spec(new)
    for name, value in after.items():
        if before[name] != value:
            yield f"    {name}: {_plain(before[name])} -> {_plain(value)}"


def _plain(value: object) -> str:
    if isinstance(value, list):
        return ", ".join(map(_plain, value)) or "-"
    if isinstance(value, dict):
        return " ".join(map(_plain, value.values()))
    if isinstance(value, bool):
        return "yes" if value else "no"
    return "-" if value is None else str(value)


def render_delta(old: Catalog, delta: Delta) -> str:
    """Return a delta line by line: + added, ~ changed, - deleted."""
    lines = []
    for ref, entry in delta.upserts():
        before = find_entry(old, ref)
        lines.append(f"{'+' if before is None else '~'} {_name(ref)}")
        if before is not None:
            lines += _fields(before, entry)
    lines += [f"- {_name(ref)}" for ref in delta.deleted]
    return "\n".join(lines)


def render_keys(catalog: Catalog) -> str:
    """Return all keys, by account."""
    keys = sorted(catalog.keys.values(), key=lambda key: (key.account, key.hash))
    rows = [(shown_hash(key), key.account, key.state.value) for key in keys]
    return table([("HASH", "ACCOUNT", "STATE"), *rows])


def render_objects(
    title: str, fields: Sequence[str], objects: Iterable[StoredObject]
) -> str:
    """Return a table of some fields of store objects."""
    found = sorted(objects, key=lambda obj: obj.name)
    head = (title, *(field.upper() for field in fields))
    rows = [(obj.name, *(_cell(obj.spec.get(f)) for f in fields)) for obj in found]
    return table([head, *rows])


def _cell(value: object) -> str:
    if isinstance(value, dict):
        pairs = (f"{key}={_cell(item)}" for key, item in sorted(value.items()))
        return ",".join(pairs) or "-"
    if isinstance(value, list):
        return ",".join(map(_cell, value)) or "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return "-" if value in (None, "") else str(value)
