"""Read configuration changes from the store and watch for new ones."""

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
"""Duration of one watch. A watch confirms the configuration only once it ends, and
a cut connection gives no error, so longer watches would detect a cut later."""
MIN_RETRY_S: Final = 0.5
MAX_RETRY_S: Final = 3.0
"""Delay between attempts while the store is unavailable; doubles from minimum to
maximum. In an outage all 360 entries retry; at 3 s this makes 120 calls a second
when the store becomes available again."""
IDLE_POLL_S: Final = 0.25
"""Time between two checks whether an idle entry must read the store."""


def _ignore(_value: object) -> None:
    """Ignore a notification; default of the callbacks."""


class StoreSource:
    """Follows the change log while this process must read the store.

    Parameters
    ----------
    store : ObjectStore
        The object API.
    feed : CatalogFeed
        Applies the changes that were read.
    needed : callable
        Returns whether this process must read the store now.
    on_changes : callable
        Called with the changes that were applied.
    on_available : callable
        Called with whether the store answered.
    clock : callable
        Monotonic clock in seconds.
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
        """Start to follow the change log."""
        self._thread.start()

    def stop(self) -> None:
        """Stop following the change log."""
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
        """Apply all new changes; return where a watch starts, None on failure."""
        sent_at = self._clock()
        result = read_tail(self._store, self._feed.version)
        if not isinstance(result, Success):
            self._on_failure(result.failure())
            return None
        tail: Tail = result.unwrap()
        if tail.snapshot is not None:
            self._feed.apply_snapshot(tail.snapshot)
        self._apply(tail.changes)
        self._confirm(sent_at)
        return tail.list_version

    def watch_once(self, after: Version) -> Version | None:
        """Watch once; return where the next watch starts, None on failure."""
        sent_at = self._clock()
        outcome = self._store.watch(Kind.CHANGE, after, WATCH_TIMEOUT_S)
        if not isinstance(outcome, Success):
            self._on_failure(outcome.failure())
            return None
        changes: Changes = outcome.unwrap()
        for event in changes.events:
            if event.type is EventType.ADDED and not self._apply_added(event.object):
                return None
        self._confirm(sent_at)
        return changes.version

    def _apply_added(self, obj: StoredObject) -> bool:
        """Apply one new change; return False if it is unreadable or leaves a gap."""
        change = parse_change(obj)
        if not isinstance(change, Success):
            # A newer release wrote a change that this release cannot read. The
            # version stays; skipping the change would let this entry and the
            # others have different content under one version number.
            log("change_unreadable", name=obj.name, error=change.failure())
            return False
        parsed: Change = change.unwrap()
        self._apply([parsed])
        return self._feed.version >= parsed.number

    def _apply(self, changes: Iterable[Change]) -> None:
        applied = self._feed.apply_changes(changes)
        if applied:
            self._on_changes(applied)

    def _confirm(self, sent_at: float) -> None:
        self._on_available(True)
        self._feed.confirm(sent_at)
        self._compact()

    def _on_failure(self, failure: StoreFailure) -> None:
        log("config_unread", error=failure.error.value, detail=failure.detail)
        if failure.error is StoreError.UNAVAILABLE:
            self._on_available(False)

    def _compact(self) -> None:
        """Write a snapshot if one is due; concurrent watchers may, see ``compact``."""
        if self._feed.version < self._compact_at:
            return
        result = compact(self._store, self._feed.catalog)
        if isinstance(result, Success):
            self._compact_at = self._feed.version + INTERVAL
