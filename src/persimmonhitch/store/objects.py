"""Types and interface of the object store."""

from dataclasses import dataclass
from enum import Enum
from typing import Any, Final, NewType, Protocol

from returns.result import Result

from ..json_input import fits, is_readable

Spec = dict[str, Any]
Version = NewType("Version", int)
"""Version of an object or a list; later writes have higher versions."""


class Kind(Enum):
    """Kinds of objects in the store."""

    CHANGE = "changes"
    SNAPSHOT = "snapshots"
    ENTRY = "entries"
    SIDECAR = "sidecars"
    SHARE = "shares"
    LEASE = "leases"
    CALL = "calls"
    VM = "vms"
    BLOCKED = "blocked-calls"
    """Requests that crashed upstreams, and until when they are refused."""
    UPSTREAM = "upstreams"
    """Registration records of upstreams; written by the platform."""
    FLEET = "fleet"
    """Configuration of the fleet; written by operators."""
    EVACUATION = "evacuated-zones"
    """Evacuated zones, named by the zone; written by operators."""


class StoreError(Enum):
    """Reason why a call to the store failed."""

    NOT_FOUND = "not_found"
    EXISTS = "exists"
    CONFLICT = "conflict"
    EXPIRED = "expired"
    """The store has no history since the version to watch from; list again."""
    INVALID = "invalid"
    UNAVAILABLE = "unavailable"
    """No valid reply; a write may have been applied nevertheless."""


@dataclass(frozen=True)
class StoreFailure:
    """Error of a call to the store, with a detail for the logs."""

    error: StoreError
    detail: str


@dataclass(frozen=True)
class StoredObject:
    """One object at one version."""

    kind: Kind
    name: str
    version: Version
    spec: Spec


@dataclass(frozen=True)
class Listing:
    """All objects of a kind at one version of the store."""

    version: Version
    items: tuple[StoredObject, ...]


@dataclass(frozen=True)
class Page:
    """Part of the objects of a kind, by name."""

    version: Version
    items: tuple[StoredObject, ...]
    """Objects of the page that can be read."""
    names: tuple[str, ...]
    """Names of all objects of the page, as far as they are texts."""
    has_more: bool
    """Whether objects follow whose names are beyond those of the page."""


RECORD_KINDS: Final = frozenset(
    {Kind.UPSTREAM, Kind.ENTRY, Kind.EVACUATION, Kind.BLOCKED}
)
"""Kinds with many small objects, of which a process keeps all in memory."""
MAX_RECORD_SIZE: Final = 65_536
"""Maximum parts and characters of such an object."""


def readable_spec(kind: Kind, value: Any) -> Spec:
    """Return the content of an object, empty if it can't be read or is too large.

    The content may come from any writer of the store.
    """
    if not isinstance(value, dict) or not is_readable(value):
        return {}
    if kind in RECORD_KINDS and not fits(value, MAX_RECORD_SIZE):
        return {}
    return value


class EventType(Enum):
    """Type of change to a watched object."""

    ADDED = "ADDED"
    MODIFIED = "MODIFIED"
    DELETED = "DELETED"


@dataclass(frozen=True)
class Event:
    """One change to a watched object."""

    type: EventType
    object: StoredObject


@dataclass(frozen=True)
class Changes:
    """Events of one watch, and the version from which the next watch continues."""

    version: Version
    events: tuple[Event, ...]


class ObjectStore(Protocol):
    """Object store with versions, conditional writes and watches."""

    def get(self, kind: Kind, name: str) -> Result[StoredObject, StoreFailure]:
        """Return one object."""

    def list_all(self, kind: Kind) -> Result[Listing, StoreFailure]:
        """Return all objects of a kind."""

    def create(
        self, kind: Kind, name: str, spec: Spec
    ) -> Result[StoredObject, StoreFailure]:
        """Create an object; fails with ``EXISTS`` if the name is in use."""

    def update(
        self, old: StoredObject, spec: Spec
    ) -> Result[StoredObject, StoreFailure]:
        """Replace an object; fails with ``CONFLICT`` if ``old`` is outdated."""

    def delete(self, old: StoredObject) -> Result[None, StoreFailure]:
        """Delete an object; fails with ``CONFLICT`` if ``old`` is outdated."""

    def watch(
        self, kind: Kind, after: Version, wait: float
    ) -> Result[Changes, StoreFailure]:
        """Return the changes after a version; wait up to ``wait`` seconds for any.

        Without changes in this time the result contains no events. The call fails with
        ``EXPIRED`` if the store no longer has the history since the version.
        """
