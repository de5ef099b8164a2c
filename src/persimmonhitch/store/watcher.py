"""Watch of one kind of object: list once, then watch until the process stops.

A process may follow the watch of another process, which pushes all changes. While
pushes are recent, the follower makes no calls to the store: if dozens of entries made
their own watches, these would be most of the store's load.
"""

import math
import threading
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Final

from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.threads import record_failure
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
    StoreFailure,
    Version,
)

WATCH_DURATION_S: Final = 30.0
"""Duration of a watch call; the platform counts each as one call."""
MIN_RETRY_S: Final = 0.2
MAX_RETRY_S: Final = 5.0
"""Delay between attempts while the store is unavailable; doubled up to the maximum."""
CONTACT_MARGIN_S: Final = 0.5
"""Time beyond the duration of a watch call without a reply of the store after which the
process that watches counts as disconnected from the store."""
MAX_FAILING_AGE_S: Final = 1.0
"""Age of the pushing process's last contact with the store above which its failing
calls make a follower watch for itself."""
REWRITE_DURATION_S: Final = 2.5
"""Time for writers to rewrite objects that a restored store lacks, from the first list
call on; upstreams need about two seconds."""
PUSH_TTL_S: Final = 1.6
"""Time without a push after which a follower starts its own watch."""
POLL_INTERVAL_S: Final = 0.2
"""Interval at which a follower checks whether pushes still arrive."""
CHECK_DURATION_S: Final = 0.001
"""Duration of a watch call that returns what the store has accepted until now."""

ChangeListener = Callable[[Kind, Version, Changes], None]
"""Receives the kind, the version before the changes, and the changes."""


@dataclass(frozen=True)
class View:
    """Newest known objects of one kind by name."""

    objects: dict[str, StoredObject]
    contact_at: float
    """Monotonic time of the last reply of the store."""
    unchanged_until: float = -math.inf
    """Last reply of the store that confirmed the view before this one."""
    available_since: float = -math.inf
    """First reply of the store after its last known failure."""
    complete_since: float = math.inf
    """Time since which each written object was in a view or among ``superseded``."""
    superseded: tuple[StoredObject, ...] = ()
    """Objects written after the view before this one and replaced or deleted since."""


def _ignore_changes(_kind: Kind, _since: Version, _changes: Changes) -> None:
    """Ignore changes; the default of ``on_change``."""


class Watcher:
    """Maintains a view of one kind and calls a listener with each new view.

    While the store is unavailable the last view is retained. An outdated view is better
    than an empty one, which would disconnect all upstreams at once.
    """

    def __init__(
        self,
        store: ObjectStore,
        kind: Kind,
        listener: Callable[[View], None],
        duration_s: float = WATCH_DURATION_S,
        max_retry_s: float = MAX_RETRY_S,
        pause_s: float = 0.0,
        on_change: ChangeListener = _ignore_changes,
        max_contact_age_s: float | None = None,
        needs_history: bool = False,
    ) -> None:
        self._max_contact_age_s = max_contact_age_s or duration_s + CONTACT_MARGIN_S
        """Age of the pushing process's last contact with the store above which this
        process watches for itself."""
        self._store = store
        self._kind = kind
        self._duration_s = duration_s
        self._max_retry_s = max_retry_s
        self._pause_s = pause_s
        """Delay of the next watch after changes, so that a watch returns several."""
        self._listener = listener
        self._on_change = on_change
        """Receives each list and change, for the relay to followers."""
        self._needs_history = needs_history
        """Whether views must also show objects that were written and deleted between
        two list calls."""
        self._lock = threading.RLock()
        self.version = Version(0)
        self.contact_at = 0.0
        """Time of the store's last reply to this process or to the pushing process."""
        self.failed_at = -math.inf
        """Time of the last failed call of this process or of the pushing process."""
        self._is_failing = False
        self._is_pusher_failing = False
        self._available_since = -math.inf
        self._push_received_at = -math.inf
        self._pusher_contact_at = -math.inf
        self._pusher_failed_at = -math.inf
        """Times of the pushing process's last contact with the store and last failure;
        this process's own calls do not make it follow again."""
        self._needs_listing = False
        self._was_following = False
        self._stopping = threading.Event()
        self.failing_since = math.inf
        """Time since which the listener has raised an error at each view."""
        self._complete_since = math.inf
        self.confirmed_from = -math.inf
        """Monotonic time at which the newest own call that succeeded began. The view
        shows all changes up to then, however late its reply was read."""
        self._retained: dict[str, StoredObject] = {}
        """Objects that a restored store lacks; their writers may write them again."""
        self.ready = threading.Event()
        self.view = View({}, 0.0)
        self._thread = threading.Thread(
            target=self._run, name=f"watch-{kind.value}", daemon=True
        )

    def start(self) -> None:
        """Start the thread that lists and watches."""
        self._thread.start()

    def stop(self) -> None:
        """Make the thread stop after its current watch call, without waiting for it."""
        self._stopping.set()

    def _run(self) -> None:
        pause = MIN_RETRY_S
        while not self._stopping.is_set():
            if self.is_following() and not self._needs_listing:
                self._stopping.wait(POLL_INTERVAL_S)
                continue
            started = time.monotonic()
            self._follow_store()
            if self.view.contact_at >= started:
                pause = MIN_RETRY_S
            self._stopping.wait(pause)
            pause = min(pause * 2, self._max_retry_s)

    def _follow_store(self) -> None:
        try:
            self._list_and_watch()
        except Exception as exc:
            # Without this thread the process would keep its last view for good.
            failures = record_failure(self._thread.name)
            log(
                "watch_failed",
                kind=self._kind.value,
                failures=failures,
                error=repr(exc),
            )

    def _list_and_watch(self) -> None:
        began_at = time.monotonic()
        result = self._store.list_all(self._kind)
        if not isinstance(result, Success):
            self._record_failure(time.monotonic())
            log("store_away", kind=self._kind.value, detail=result.failure().detail)
            return
        listing = result.unwrap()
        after = listing.version
        before, complete_since = self.version, self._complete_since
        self._apply_listing(listing)
        self._record_confirmation(began_at)
        if self._needs_history and complete_since < self._complete_since:
            self._recover_history(before, complete_since)
        while not self._stopping.is_set() and not self.is_following():
            began_at = time.monotonic()
            watched = self._store.watch(self._kind, after, self._duration_s)
            if not isinstance(watched, Success):
                self._log_end(watched.failure().error, watched.failure().detail)
                return
            changes = watched.unwrap()
            self._apply_changes(after, changes, time.monotonic())
            self._record_confirmation(began_at)
            after = changes.version
            if changes.events:
                self._stopping.wait(self._pause_s)

    def _recover_history(self, before: Version, complete_since: float) -> None:
        """Publish the objects that were written between two list calls."""
        result = self._store.watch(self._kind, before, CHECK_DURATION_S)
        if not isinstance(result, Success):
            log(
                "history_incomplete",
                kind=self._kind.value,
                detail=result.failure().detail,
            )
            return
        events = result.unwrap().events
        with self._lock:
            self._complete_since = complete_since
            written = (e.object for e in events if e.type is not EventType.DELETED)
            self._publish(self.view.objects, self._confirmed_at(), tuple(written))

    def check(self) -> Result[None, StoreFailure]:
        """Apply all changes that the store has accepted when the call begins."""
        if not self.ready.is_set():
            return Err(StoreFailure(StoreError.UNAVAILABLE, "not listed yet"))
        after, began_at = self.version, time.monotonic()
        result = self._store.watch(self._kind, after, CHECK_DURATION_S)
        if not isinstance(result, Success):
            return Err(result.failure())
        self._apply_changes(after, result.unwrap(), time.monotonic())
        self._record_confirmation(began_at)
        return Success(None)

    def _record_confirmation(self, began_at: float) -> None:
        self.confirmed_from = max(self.confirmed_from, began_at)

    def _log_end(self, error: StoreError, detail: str) -> None:
        if error is StoreError.UNAVAILABLE:
            self._record_failure(time.monotonic())
        log("watch_ended", kind=self._kind.value, error=error.value, detail=detail)

    def _record_failure(self, at: float) -> None:
        with self._lock:
            self.failed_at = max(self.failed_at, at)
            self._is_failing = True

    def _record_contact(self, at: float) -> None:
        if self._is_failing:
            self._available_since = at
        self._is_failing = self._is_pusher_failing = False

    def request_listing(self) -> None:
        """List all objects again, after a restore of the store from an older copy."""
        with self._lock:
            self._needs_listing = True

    def is_following(self) -> bool:
        """Return whether pushes of another process replace this process's watch."""
        now = time.monotonic()
        max_age_s = self._max_contact_age_s
        if self._pusher_failed_at > self._pusher_contact_at:
            max_age_s = min(max_age_s, MAX_FAILING_AGE_S)
        is_fresh = (
            now - self._push_received_at < PUSH_TTL_S
            and now - self._pusher_contact_at < max_age_s
        )
        if is_fresh != self._was_following:
            self._was_following = is_fresh
            log("store_followed", kind=self._kind.value, followed=is_fresh)
        return is_fresh

    def receive(
        self,
        since: Version,
        changes: Changes,
        contact_at: float,
        failed_at: float,
        full: bool,
    ) -> None:
        """Apply a push: changes after the version ``since``.

        Requests a new list if earlier pushes were missed or if objects were too large
        to push (``full`` is false).
        """
        with self._lock:
            is_older_era = era_of(changes.version) < era_of(self.version)
            if is_older_era or not self.ready.is_set():
                return
            self._push_received_at = time.monotonic()
            self._pusher_contact_at = max(self._pusher_contact_at, contact_at)
            self._pusher_failed_at = max(self._pusher_failed_at, failed_at)
            self._record_pusher_state(contact_at, failed_at)
            if since > self.version or (not full and changes.version > self.version):
                self._needs_listing = True
                return
            self._apply_changes(since, changes, contact_at)

    def _record_pusher_state(self, contact_at: float, failed_at: float) -> None:
        """Apply when the store last answered and last failed the pushing process.

        A store that fails that process and answers this one was available all the time.
        """
        self.failed_at = max(self.failed_at, failed_at)
        if failed_at > contact_at:
            self._is_pusher_failing = True
            return
        self._is_failing |= self._is_pusher_failing
        self._record_contact(contact_at)
        # Each push gives the same failure a slightly different time.
        self._available_since = max(self._available_since, failed_at)

    def _apply_listing(self, listing: Listing) -> None:
        with self._lock:
            self._needs_listing = False
            confirmed_at, self.contact_at = self._confirmed_at(), time.monotonic()
            self._record_contact(self.contact_at)
            if listing.version < self.version:
                return
            if listing.version > self.version or not self.ready.is_set():
                self._complete_since = self.contact_at
            restored = self.version and era_of(listing.version) > era_of(self.version)
            self.version = listing.version
            listed = {obj.name: obj for obj in listing.items}
            if restored:
                self._retain_missing(listed)
            self._publish({**self._retained, **listed}, confirmed_at)
            self._on_change(self._kind, self.version, Changes(self.version, ()))

    def _retain_missing(self, listed: Mapping[str, StoredObject]) -> None:
        """Retain for ``REWRITE_DURATION_S`` the objects that a restored store lacks."""
        objects = self.view.objects
        self._retained = {n: obj for n, obj in objects.items() if n not in listed}
        log(
            "store_copy_listed",
            kind=self._kind.value,
            era=era_of(self.version),
            listed=len(listed),
            kept=len(self._retained),
        )
        timer = threading.Timer(REWRITE_DURATION_S, self._drop_missing, (self.version,))
        timer.daemon = True
        timer.start()

    def _drop_missing(self, version: Version) -> None:
        with self._lock:
            if era_of(self.version) != era_of(version):
                return
            retained, self._retained = self._retained, {}
            lost = {n for n, obj in retained.items() if self.view.objects.get(n) is obj}
            if not lost:
                return
            log("store_copy_lacked", kind=self._kind.value, given_up=len(lost))
            objects = self.view.objects
            remaining = {n: obj for n, obj in objects.items() if n not in lost}
            self._publish(remaining, self._confirmed_at())

    def _apply_changes(self, since: Version, changes: Changes, seen_at: float) -> None:
        with self._lock:
            confirmed_at = self._confirmed_at()
            self.contact_at = max(self.contact_at, seen_at)
            if changes.events:
                self._apply_events(changes.events, confirmed_at)
            self.view = replace(self.view, contact_at=self.contact_at)
            if changes.version > self.version:
                self._on_change(self._kind, since, changes)
                self.version = changes.version

    def _confirmed_at(self) -> float:
        return self.contact_at if self.ready.is_set() else -math.inf

    def _apply_events(self, events: Iterable[Event], confirmed_at: float) -> None:
        objects = dict(self.view.objects)
        written: list[StoredObject] = []
        for event in events:
            obj = event.object
            current = objects.get(obj.name)
            if current is not None and current.version > obj.version:
                # A push, list or watch has already delivered a newer version.
                continue
            if event.type is EventType.DELETED:
                objects.pop(obj.name, None)
            elif obj.version <= self.version:
                # Already delivered; the object may have been deleted since.
                continue
            else:
                objects[obj.name] = obj
                written.append(obj)
            self._retained.pop(obj.name, None)
        superseded = tuple(obj for obj in written if objects.get(obj.name) is not obj)
        if superseded or objects != self.view.objects:
            self._publish(objects, confirmed_at, superseded)

    def _publish(
        self,
        objects: dict[str, StoredObject],
        confirmed_at: float,
        superseded: tuple[StoredObject, ...] = (),
    ) -> None:
        now = time.monotonic()
        self.view = View(
            objects,
            now,
            confirmed_at,
            self._available_since,
            self._complete_since,
            superseded,
        )
        try:
            self._listener(self.view)
        except Exception:
            self.failing_since = min(self.failing_since, now)
            raise
        self.failing_since = math.inf
        self.ready.set()
