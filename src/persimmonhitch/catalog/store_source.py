"""Read changes from the store and follow them by a watch."""

import threading
import time
from collections.abc import Callable, Iterable
from typing import Final

from returns.result import Success

from ..observe.logs import log
from ..store.objects import (
    Changes,
    EventType,
    Kind,
    ObjectStore,
    StoredObject,
    StoreError,
    StoreFailure,
    Version,
)
from .changes import Change
from .feed import CatalogFeed
from .log import Tail, parse_change, read_tail
from .snapshots import INTERVAL, compact

WATCH_TIMEOUT_S: Final = 1.0
"""Of one watch. A watch is an answered question only once it has ended, and a
cut connection stays silent; longer ones would notice a cut later."""
MIN_RETRY_S: Final = 0.5
MAX_RETRY_S: Final = 3.0
"""Seconds between tries while the store is away, doubled from first to most. In
an outage all 360 entries come to try; every 3 s that is 120 calls a second for a
store that is just coming back."""
IDLE_POLL_S: Final = 0.25
"""Seconds between two looks of an entry that need not watch."""


def _ignore(_value: object) -> None:
    """Take news that concerns no other process."""


class StoreSource:
    """Follows the log while this process is to watch it.

    Parameters
    ----------
    store : ObjectStore
        The object API.
    feed : CatalogFeed
        Takes what is read.
    needed : callable
        Whether this process is to watch now.
    told : callable
        Gets the changes that were new here.
    reached : callable
        Gets whether the store answered.
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        store: ObjectStore,
        feed: CatalogFeed,
        needed: Callable[[], bool],
        on_changes: Callable[[tuple[Change, ...]], None] = _ignore,
        on_available: Callable[[bool], None] = _ignore,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._store = store
        self._feed = feed
        self._needed = needed
        self._on_changes = on_changes
        self._on_available = on_available
        self._clock = clock
        self._compact_at = INTERVAL
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="config", daemon=True)

    def start(self) -> None:
        """Follow the log from now on."""
        self._thread.start()

    def stop(self) -> None:
        """Follow it no more."""
        self._stopping.set()

    def _run(self) -> None:
        pause = MIN_RETRY_S
        while not self._stopping.is_set():
            if not self._needed():
                self._on_available(True)
                self._stopping.wait(IDLE_POLL_S)
                continue
            after = self.load()
            if after is None:
                self._stopping.wait(pause)
                pause = min(pause * 2, MAX_RETRY_S)
                continue
            pause = MIN_RETRY_S
            while after is not None and self._needed() and not self._stopping.is_set():
                after = self.watch_once(after)

    def load(self) -> Version | None:
        """Take all that is new; return where a watch goes on, None on failure."""
        asked_at = self._clock()
        result = read_tail(self._store, self._feed.version)
        if not isinstance(result, Success):
            self._on_failure(result.failure())
            return None
        tail: Tail = result.unwrap()
        if tail.snapshot is not None:
            self._feed.apply_snapshot(tail.snapshot)
        self._apply(tail.changes)
        self._confirm(asked_at)
        return tail.list_version

    def watch_once(self, after: Version) -> Version | None:
        """Watch once; return where the next watch goes on, None on failure."""
        asked_at = self._clock()
        outcome = self._store.watch(Kind.CHANGE, after, WATCH_TIMEOUT_S)
        if not isinstance(outcome, Success):
            self._on_failure(outcome.failure())
            return None
        changes: Changes = outcome.unwrap()
        for event in changes.events:
            if event.type is EventType.ADDED and not self._apply_added(event.object):
                return None
        self._confirm(asked_at)
        return changes.version

    def _apply_added(self, obj: StoredObject) -> bool:
        """Take one new change; return whether nothing before it is missing."""
        change = parse_change(obj)
        if not isinstance(change, Success):
            # A newer release wrote what this one can't read. The version stays
            # where it is; skipping one would let this entry and the others
            # diverge under one version number.
            log("change_unreadable", name=obj.name, error=change.failure())
            return False
        parsed: Change = change.unwrap()
        self._apply([parsed])
        return self._feed.version >= parsed.number

    def _apply(self, changes: Iterable[Change]) -> None:
        applied = self._feed.apply_changes(changes)
        if applied:
            self._on_changes(applied)

    def _confirm(self, asked_at: float) -> None:
        self._on_available(True)
        self._feed.confirm(asked_at)
        self._compact()

    def _on_failure(self, failure: StoreFailure) -> None:
        log("config_unread", error=failure.error.value, detail=failure.detail)
        if failure.error is StoreError.UNAVAILABLE:
            self._on_available(False)

    def _compact(self) -> None:
        """Write a snapshot when one is due; every watcher may, see ``compact``."""
        if self._feed.version < self._compact_at:
            return
        result = compact(self._store, self._feed.catalog)
        if isinstance(result, Success):
            self._compact_at = self._feed.version + INTERVAL
