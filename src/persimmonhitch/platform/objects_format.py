"""JSON encoding of store objects, used by the client and by the stand-in store."""

from collections.abc import Mapping
from typing import Any, Final
from urllib.parse import quote, unquote

from ..json_input import is_readable
from ..observe.logs import log
from ..store.era import Era, revision_of, version_of
from ..store.objects import (
    Changes,
    Event,
    EventType,
    Kind,
    Page,
    Spec,
    StoredObject,
    Version,
    readable_spec,
)
from .names import OBJECTS_PATH

Body = dict[str, Any]
NO_ERA: Final = Era(0)
"""Era of a store that was never restored from an older copy, or that reports none."""

PLATFORM_KIND_NAMES: Final = {
    Kind.UPSTREAM: "servers",
    Kind.FLEET: "config",
    Kind.EVACUATION: "evacuations",
}
"""Names of the kinds that the platform defines; all others are their enum values."""
_KINDS: Final = {PLATFORM_KIND_NAMES.get(kind, kind.value): kind for kind in Kind}


def path_of(kind: Kind, name: str | None = None) -> str:
    """Return the path of a kind, or of one of its objects."""
    path = f"{OBJECTS_PATH}/{PLATFORM_KIND_NAMES.get(kind, kind.value)}"
    return path if name is None else f"{path}/{_quote(name)}"


def page_path(kind: Kind, after: str | None) -> str:
    """Return the path of the objects of a kind whose names are beyond ``after``."""
    path = path_of(kind)
    return path if after is None else f"{path}?after={_quote(after)}"


def _quote(name: str) -> str:
    """Return a name as part of a path or a query, from which it is read unchanged."""
    try:
        raw = name.encode("utf-8", "surrogateescape")
    except UnicodeEncodeError:
        raw = name.encode("utf-8", "surrogatepass")
    quoted = quote(raw, safe="")
    # A client would drop these names as steps within the path.
    return quoted.replace(".", "%2E") if name in (".", "..") else quoted


def parse_path(path: str) -> tuple[Kind | None, str]:
    """Return the kind, if known, and the object name of a path."""
    kind, _, name = path.removeprefix(f"{OBJECTS_PATH}/").partition("/")
    return _KINDS.get(kind), unquote(name, errors="surrogateescape")


def encode_object(name: str, spec: Spec, version: Version | None) -> Body:
    """Return the body of a write, conditional on ``version`` if not None."""
    meta: Body = {"name": name}
    if version is not None:
        meta["revision"] = revision_of(version)
    return {"metadata": meta, "specification": spec}


def decode_object(
    kind: Kind, body: Mapping[str, Any], era: Era = NO_ERA
) -> StoredObject:
    """Return the object in a reply that the store sent in the given era."""
    meta = body["metadata"]
    name = meta["name"]
    if not isinstance(name, str):
        raise TypeError(f"name {name!r} is no text")
    # A malformed object must not make the other objects of its kind unreadable.
    spec = readable_spec(kind, body.get("specification"))
    version = version_of(era, int(meta.get("revision", 0)))
    return StoredObject(kind, name, version, spec)


def encode_page(page: Page) -> Body:
    """Return the body of a list reply."""
    items = [encode_object(o.name, o.spec, o.version) for o in page.items]
    return {"items": items, "has_more": page.has_more, "at_revision": page.version}


def decode_page(kind: Kind, body: Body, era: Era = NO_ERA) -> Page:
    """Return a page of a list; the names include those of unreadable objects."""
    items = tuple(obj for item in body["items"] if (obj := _object(kind, item, era)))
    names = tuple(name for item in body["items"] if (name := _name(item)) is not None)
    version = version_of(era, int(body["at_revision"]))
    return Page(version, items, names, bool(body.get("has_more")))


def _name(item: Any) -> str | None:
    """Return the name of an object in a list, None if it has none."""
    meta = item.get("metadata") if isinstance(item, dict) else None
    name = meta.get("name") if isinstance(meta, dict) else None
    return name if isinstance(name, str) else None


def encode_changes(changes: Changes) -> Body:
    """Return the body of a watch reply."""
    events = [_encode_event(event) for event in changes.events]
    return {"events": events, "at_revision": changes.version}


def _encode_event(event: Event) -> Body:
    obj = event.object
    body = encode_object(obj.name, obj.spec, obj.version)
    if event.type is EventType.ADDED:
        body["metadata"]["created_revision"] = obj.version
    return {"object": body, "deleted": event.type is EventType.DELETED}


def decode_changes(kind: Kind, body: Body, era: Era = NO_ERA) -> Changes:
    """Return the changes in a watch reply."""
    events = tuple(
        event
        for item in body.get("events") or ()
        if (event := _decode_event(kind, item, era))
    )
    return Changes(version_of(era, int(body["at_revision"])), events)


def _object(kind: Kind, item: Any, era: Era) -> StoredObject | None:
    """Return the object of a list or a watch, None if it has no readable name."""
    try:
        obj = decode_object(kind, item, era)
    except (KeyError, TypeError, ValueError, AttributeError, ArithmeticError) as exc:
        log("object_unreadable", kind=kind.value, error=repr(exc))
        return None
    if not is_readable(obj.name):
        log("object_unreadable", kind=kind.value, error=repr(obj.name))
        return None
    return obj


def _decode_event(kind: Kind, item: Mapping[str, Any], era: Era) -> Event | None:
    obj = _object(kind, item["object"], era)
    if obj is None:
        return None
    meta = item["object"]["metadata"]
    if item.get("deleted"):
        return Event(EventType.DELETED, obj)
    is_first_version = meta.get("created_revision") == meta["revision"]
    return Event(EventType.ADDED if is_first_version else EventType.MODIFIED, obj)
