"""Follow one kind of object: list, then watch, for as long as the process runs.

Where another process watches and pushes what it sees, this one makes no calls for as
long as the pushes are fresh: dozens of entries that each watch for themselves make most
of the calls that the store gets.
"""

import math
import threading
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Final

from returns.result import Success

from ..observe.logs import log
from .era import era_of
from .objects import (
    Changes,
    Event,
    EventType,
    Kind,
    Listing,
    ObjectStore,
    StoredObject,
    StoreError,
    Version,
)

WATCH_SECONDS: Final = 30.0
"""Length of one watch; the platform counts each as one call."""
RETRY_FIRST: Final = 0.2
RETRY_MOST: Final = 5.0
"""Seconds between tries while the store is away; doubled from first to most."""
CONTACT_SLACK: Final = 0.5
"""Seconds beyond the length of a watch after which whoever makes it has lost the
store."""
REWRITE_TIME: Final = 2.5
"""Seconds after a copy of the store was listed in which its writers write again what it
lacks; upstreams take about two."""
PUSHED_LIFE: Final = 1.6
"""Seconds without a push after which this process watches for itself."""
LOOK_EVERY: Final = 0.2
"""Seconds between two looks at whether pushes are still fresh."""

Changed = Callable[[Kind, Version, Changes], None]
"""Takes what came after a version."""


@dataclass(frozen=True)
class View:
    """Objects of one kind by name, as last seen, and when."""

    objects: dict[str, StoredObject]
    seen_at: float
    """Monotonic seconds at which the store last answered."""


def _ignore() -> None:
    """Take the news that the store is away, for those whom it does not concern."""


def _drop(_kind: Kind, _since: Version, _changes: Changes) -> None:
    """Take changes that nobody else waits for."""


class Watcher:
    """Keeps a view of one kind and tells a listener of each new view.

    While the store is away the last view stays: what it says is then old, but
    acting on an empty view would cut every upstream off at once.
    """

    def __init__(
        self,
        store: ObjectStore,
        kind: Kind,
        listener: Callable[[View], None],
        wait: float = WATCH_SECONDS,
        retry_most: float = RETRY_MOST,
        away: Callable[[], None] = _ignore,
        pause: float = 0.0,
        changed: Changed = _drop,
    ) -> None:
        self._store = store
        self._kind = kind
        self._wait = wait
        self._retry_most = retry_most
        self._away = away
        self._pause = pause
        """Seconds after changes before the next watch, so that it brings several."""
        self._listener = listener
        self._changed = changed
        """Told of all that is seen, for those to whom this process pushes it."""
        self._lock = threading.RLock()
        self.version = Version(0)
        self.contact_at = 0.0
        """When the store last answered, to this process or to the one that pushes."""
        self.away_at = -math.inf
        """When it last did not."""
        self._pushed_at = -math.inf
        self._behind = False
        self._followed = False
        self._stopping = threading.Event()
        self._kept: dict[str, StoredObject] = {}
        """What a copy of the store lacked; it may be written again."""
        self.ready = threading.Event()
        self.view = View({}, 0.0)
        self._thread = threading.Thread(
            target=self._run, name=f"watch-{kind.value}", daemon=True
        )

    def start(self) -> None:
        """Follow from now on."""
        self._thread.start()

    def stop(self) -> None:
        """Follow no more; a watch that waits ends with its time."""
        self._stopping.set()

    def _run(self) -> None:
        pause = RETRY_FIRST
        while not self._stopping.is_set():
            if self.followed() and not self._behind:
                self._stopping.wait(LOOK_EVERY)
                continue
            started = time.monotonic()
            self._follow()
            if self.view.seen_at >= started:
                pause = RETRY_FIRST
            self._stopping.wait(pause)
            pause = min(pause * 2, self._retry_most)

    def _follow(self) -> None:
        result = self._store.list_all(self._kind)
        if not isinstance(result, Success):
            self._note_away(time.monotonic())
            log("store_away", kind=self._kind.value, detail=result.failure().detail)
            return
        listing = result.unwrap()
        after = listing.version
        self._take_listing(listing)
        while not self._stopping.is_set() and not self.followed():
            outcome = self._store.watch(self._kind, after, self._wait)
            if not isinstance(outcome, Success):
                self._log_end(outcome.failure().error, outcome.failure().detail)
                return
            changes = outcome.unwrap()
            self._take_changes(after, changes, time.monotonic())
            after = changes.version
            if changes.events:
                self._stopping.wait(self._pause)

    def _log_end(self, error: StoreError, detail: str) -> None:
        if error is StoreError.UNAVAILABLE:
            self._note_away(time.monotonic())
        log("watch_ended", kind=self._kind.value, error=error.value, detail=detail)

    def _note_away(self, at: float) -> None:
        self.away_at = at
        self._away()

    def restored(self) -> None:
        """Look anew at a store that has come back from a copy."""
        with self._lock:
            self._behind = True

    def followed(self) -> bool:
        """Return whether another process's pushes are fresh."""
        now = time.monotonic()
        fresh = (
            now - self._pushed_at < PUSHED_LIFE
            and now - self.contact_at < self._wait + CONTACT_SLACK
        )
        if fresh != self._followed:
            self._followed = fresh
            log("store_followed", kind=self._kind.value, followed=fresh)
        return fresh

    def hear(
        self,
        since: Version,
        changes: Changes,
        contact_at: float,
        away_at: float,
        whole: bool,
    ) -> None:
        """Take what another process saw after a version.

        ``whole`` is false where objects were too large to be pushed. What is missing
        here is then listed, as it is where earlier pushes were missed.
        """
        with self._lock:
            older = era_of(changes.version) < era_of(self.version)
            if older or not self.ready.is_set():
                return
            self._pushed_at = time.monotonic()
            if away_at > self.away_at:
                self._note_away(away_at)
            if since > self.version or (not whole and changes.version > self.version):
                self._behind = True
                return
            self._take_changes(since, changes, contact_at)

    def _take_listing(self, listing: Listing) -> None:
        with self._lock:
            self._behind = False
            self.contact_at = time.monotonic()
            if listing.version < self.version:
                return
            restored = self.version and era_of(listing.version) > era_of(self.version)
            self.version = listing.version
            found = {obj.name: obj for obj in listing.items}
            if restored:
                self._keep_missing(found)
            self._publish({**self._kept, **found})
            self._changed(self._kind, self.version, Changes(self.version, ()))

    def _keep_missing(self, found: Mapping[str, StoredObject]) -> None:
        """Keep for a while what the copy lacks and its writers write again."""
        objects = self.view.objects
        self._kept = {n: obj for n, obj in objects.items() if n not in found}
        log(
            "store_copy_listed",
            kind=self._kind.value,
            era=era_of(self.version),
            listed=len(found),
            kept=len(self._kept),
        )
        timer = threading.Timer(REWRITE_TIME, self._drop_missing, (self.version,))
        timer.daemon = True
        timer.start()

    def _drop_missing(self, version: Version) -> None:
        with self._lock:
            if era_of(self.version) != era_of(version):
                return
            kept, self._kept = self._kept, {}
            gone = {n for n, obj in kept.items() if self.view.objects.get(n) is obj}
            if not gone:
                return
            log("store_copy_lacked", kind=self._kind.value, given_up=len(gone))
            objects = self.view.objects
            self._publish({n: obj for n, obj in objects.items() if n not in gone})

    def _take_changes(self, since: Version, changes: Changes, seen_at: float) -> None:
        with self._lock:
            self.contact_at = max(self.contact_at, seen_at)
            if changes.events:
                self._apply(changes.events)
            self.view = replace(self.view, seen_at=self.contact_at)
            if changes.version > self.version:
                self._changed(self._kind, since, changes)
                self.version = changes.version

    def _apply(self, events: Iterable[Event]) -> None:
        objects = dict(self.view.objects)
        for event in events:
            obj = event.object
            known = objects.get(obj.name)
            if known is not None and known.version > obj.version:
                # Seen before, by another way.
                continue
            self._kept.pop(obj.name, None)
            if event.type is EventType.DELETED:
                objects.pop(obj.name, None)
            else:
                objects[obj.name] = obj
        if objects != self.view.objects:
            self._publish(objects)

    def _publish(self, objects: dict[str, StoredObject]) -> None:
        self.view = View(objects, time.monotonic())
        self._listener(self.view)
        self.ready.set()
