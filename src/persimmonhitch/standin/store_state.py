"""State of the simulated object API, also used by tests without HTTP."""

import json
import threading
import time
from collections import deque
from copy import deepcopy
from dataclasses import dataclass
from enum import Enum
from typing import Final

from returns.result import Failure as Err
from returns.result import Result, Success

from ..store.objects import (
    Changes,
    Event,
    EventType,
    Kind,
    Listing,
    Page,
    Spec,
    StoredObject,
    StoreError,
    StoreFailure,
    Version,
)

MAX_VALUE_BYTES: Final = 1024 * 1024
"""Maximum size of an object, as on the platform."""
MAX_EVENTS: Final = 4096
"""Events kept for watches; a watch from an older version fails with ``EXPIRED``."""
MAX_PAGE_ITEMS: Final = 500
"""Objects in a page of a list, as on the platform."""


class UnknownAfter(Enum):
    """What a list does if it is to continue after a name that no object has."""

    CONTINUE = "continue"
    """Continue with the next name in order."""
    REJECT = "reject"
    RESTART = "restart"
    """Begin with the first name again."""


@dataclass
class Faults:
    """Faults that a test can enable.

    ``lost_answers`` is the number of writes that take effect but get no answer;
    ``delay`` is the seconds before each call.
    """

    down: bool = False
    delay: float = 0.0
    lost_answers: int = 0


@dataclass(frozen=True)
class StoreCopy:
    """All objects at one version."""

    objects: dict[tuple[Kind, str], StoredObject]
    version: int


class StoreState:
    """Objects in memory with versions, conditional updates and watches."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.calls: dict[str, int] = {}
        self._objects: dict[tuple[Kind, str], StoredObject] = {}
        self._events: deque[Event] = deque(maxlen=MAX_EVENTS)
        self._version = 0
        self.era = 0
        """Rises each time that it comes back from a copy."""
        self.page_items = MAX_PAGE_ITEMS
        self.unknown_after = UnknownAfter.CONTINUE
        self._changed = threading.Condition()

    def _fault(self, call: str) -> StoreFailure | None:
        self.calls[call] = self.calls.get(call, 0) + 1
        if self.faults.delay:
            time.sleep(self.faults.delay)
        if self.faults.down:
            return StoreFailure(StoreError.UNAVAILABLE, "the store is down")
        return None

    def copy(self) -> "StoreCopy":
        """Return a copy of all objects, for a later ``restore``."""
        with self._changed:
            return StoreCopy(dict(self._objects), self._version)

    def restore(self, copy: "StoreCopy") -> None:
        """Restore a copy; later versions are assigned again."""
        with self._changed:
            self._objects = dict(copy.objects)
            self._version = copy.version
            self._events.clear()
            self.era += 1
            self._changed.notify_all()

    def get(self, kind: Kind, name: str) -> Result[StoredObject, StoreFailure]:
        """Return one object."""
        fault = self._fault("get")
        if fault:
            return Err(fault)
        found = self._objects.get((kind, name))
        if found is None:
            return Err(StoreFailure(StoreError.NOT_FOUND, name))
        return Success(deepcopy(found))

    def list_all(self, kind: Kind) -> Result[Listing, StoreFailure]:
        """Return all objects of a kind."""
        fault = self._fault("list")
        if fault:
            return Err(fault)
        with self._changed:
            items = [obj for (k, _), obj in self._objects.items() if k is kind]
            return Success(Listing(Version(self._version), tuple(deepcopy(items))))

    def list_page(self, kind: Kind, after: str | None) -> Result[Page, StoreFailure]:
        """Return the objects of a kind by name, beyond the name ``after``."""
        result = self.list_all(kind)
        if not isinstance(result, Success):
            return Err(result.failure())
        listing = result.unwrap()
        items = sorted(listing.items, key=lambda obj: obj.name)
        if after is not None and all(obj.name != after for obj in items):
            if self.unknown_after is UnknownAfter.REJECT:
                return Err(StoreFailure(StoreError.INVALID, f"no object {after!r}"))
            if self.unknown_after is UnknownAfter.RESTART:
                after = None
        if after is not None:
            items = [obj for obj in items if obj.name > after]
        page = items[: self.page_items]
        names = tuple(obj.name for obj in page)
        has_more = len(items) > len(page)
        return Success(Page(listing.version, tuple(page), names, has_more))

    def create(
        self, kind: Kind, name: str, spec: Spec
    ) -> Result[StoredObject, StoreFailure]:
        """Create an object."""
        fault = self._fault("create")
        if fault:
            return Err(fault)
        with self._changed:
            if (kind, name) in self._objects:
                return Err(StoreFailure(StoreError.EXISTS, name))
            return self._write(EventType.ADDED, kind, name, spec)

    def update(
        self, old: StoredObject, spec: Spec
    ) -> Result[StoredObject, StoreFailure]:
        """Replace an object at the version given."""
        fault = self._fault("update")
        if fault:
            return Err(fault)
        with self._changed:
            refused = self._stale(old)
            if refused:
                return Err(refused)
            return self._write(EventType.MODIFIED, old.kind, old.name, spec)

    def delete(self, old: StoredObject) -> Result[None, StoreFailure]:
        """Delete an object at the version given."""
        fault = self._fault("delete")
        if fault:
            return Err(fault)
        with self._changed:
            refused = self._stale(old)
            if refused:
                return Err(refused)
            result = self._write(EventType.DELETED, old.kind, old.name, old.spec)
            return result.map(lambda _obj: None)

    def _stale(self, old: StoredObject) -> StoreFailure | None:
        found = self._objects.get((old.kind, old.name))
        if found is None:
            return StoreFailure(StoreError.NOT_FOUND, old.name)
        if found.version != old.version:
            return StoreFailure(StoreError.CONFLICT, old.name)
        return None

    def _write(
        self, type: EventType, kind: Kind, name: str, spec: Spec
    ) -> Result[StoredObject, StoreFailure]:
        if len(json.dumps(spec)) > MAX_VALUE_BYTES:
            return Err(StoreFailure(StoreError.INVALID, "value over 1 MB"))
        self._version += 1
        obj = StoredObject(kind, name, Version(self._version), deepcopy(spec))
        if type is EventType.DELETED:
            del self._objects[kind, name]
        else:
            self._objects[kind, name] = obj
        self._events.append(Event(type, obj))
        self._changed.notify_all()
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            return Err(StoreFailure(StoreError.UNAVAILABLE, "the answer was lost"))
        return Success(deepcopy(obj))

    def watch(
        self, kind: Kind, after: Version, wait: float
    ) -> Result[Changes, StoreFailure]:
        """Return the events after a version; wait up to ``wait`` seconds for one."""
        fault = self._fault("watch")
        if fault:
            return Err(fault)
        return self._next_events(kind, after, time.monotonic() + wait)

    def _next_events(
        self, kind: Kind, after: Version, end: float
    ) -> Result[Changes, StoreFailure]:
        with self._changed:
            era = self.era
            while True:
                if after > self._version or era != self.era:
                    return Err(StoreFailure(StoreError.EXPIRED, str(after)))
                if self.faults.down:
                    return Err(StoreFailure(StoreError.UNAVAILABLE, "store is down"))
                if self._events and after < self._events[0].object.version - 1:
                    return Err(StoreFailure(StoreError.EXPIRED, str(after)))
                batch = [e for e in self._events if e.object.version > after]
                found = tuple(e for e in batch if e.object.kind is kind)
                left = end - time.monotonic()
                if found or left <= 0:
                    now = Version(max(after, self._version))
                    return Success(Changes(now, deepcopy(found)))
                # Short waits, so that an outage that begins meanwhile ends the watch.
                self._changed.wait(min(left, 0.1))
