"""The object API as the rest of the system sees it."""

from dataclasses import dataclass
from enum import Enum
from typing import Any, NewType, Protocol

from returns.result import Result

Spec = dict[str, Any]
Version = NewType("Version", int)
"""Version of an object or of a list; orders all writes of the store."""


class Kind(Enum):
    """The kinds of object that the system keeps."""

    CHANGE = "changes"
    SNAPSHOT = "snapshots"
    ENTRY = "entries"
    SIDECAR = "sidecars"
    SHARE = "shares"
    LEASE = "leases"
    CALL = "calls"
    VM = "vms"
    BLOCKED = "blocked-calls"
    """Calls that crashed upstreams, and until when they are sent to none."""
    UPSTREAM = "upstreams"
    """Upstreams as they report themselves; written by the platform."""
    FLEET = "fleet"
    """The operators' configuration of the fleet; written by them."""


class StoreError(Enum):
    """Why the store did not do what was asked."""

    NOT_FOUND = "not_found"
    EXISTS = "exists"
    CONFLICT = "conflict"
    EXPIRED = "expired"
    """The version to watch from is no longer held: list anew."""
    INVALID = "invalid"
    UNAVAILABLE = "unavailable"
    """No answer; a write may have taken effect all the same."""


@dataclass(frozen=True)
class StoreFailure:
    """An error of the store with a line for the logs."""

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
    """All objects of a kind, as of one version of the store."""

    version: Version
    items: tuple[StoredObject, ...]


class EventType(Enum):
    """What happened to a watched object."""

    ADDED = "ADDED"
    MODIFIED = "MODIFIED"
    DELETED = "DELETED"


@dataclass(frozen=True)
class Event:
    """One event of a watch."""

    type: EventType
    object: StoredObject


@dataclass(frozen=True)
class Changes:
    """What one watch saw, and the version from which the next one goes on."""

    version: Version
    events: tuple[Event, ...]


class ObjectStore(Protocol):
    """Versions, conditional updates and watches."""

    def get(self, kind: Kind, name: str) -> Result[StoredObject, StoreFailure]:
        """Return one object."""

    def list_all(self, kind: Kind) -> Result[Listing, StoreFailure]:
        """Return all objects of a kind."""

    def create(
        self, kind: Kind, name: str, spec: Spec
    ) -> Result[StoredObject, StoreFailure]:
        """Create an object; ``EXISTS`` when the name is taken."""

    def update(
        self, old: StoredObject, spec: Spec
    ) -> Result[StoredObject, StoreFailure]:
        """Replace an object; ``CONFLICT`` unless ``old`` is its newest version."""

    def delete(self, old: StoredObject) -> Result[None, StoreFailure]:
        """Delete an object; ``CONFLICT`` unless ``old`` is its newest version."""

    def watch(
        self, kind: Kind, after: Version, wait: float
    ) -> Result[Changes, StoreFailure]:
        """Return what happened after a version; wait for it up to ``wait`` seconds.

        Nothing happened if the changes hold no event. ``EXPIRED`` when the store no
        longer knows what came after the version.
        """
