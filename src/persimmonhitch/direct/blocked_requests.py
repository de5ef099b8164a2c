"""Stores blocked requests, for entries that start later or receive no updates."""

import threading
import time
from collections.abc import Callable
from typing import Final

from returns.result import Success

from ..ids import Cause
from ..observe.logs import log
from ..store.objects import Kind, ObjectStore, StoredObject, StoreError
from ..store.watcher import View
from .poison import PoisonGuard

POLL_INTERVAL_S: Final = 0.2
"""Interval at which blocked requests are compared with those in the store."""
WRITE_STAGGER_S: Final = 0.6
"""Write delay per preceding entry, so that usually a single entry writes."""
UNTIL_KEY: Final = "until"
"""Field of a stored object: Unix time in seconds at which the block ends."""


class BlockedRequests:
    """Synchronizes the blocked requests of this entry with the store.

    Missing objects are written again, since the store may be restored from an older
    copy.

    Parameters
    ----------
    rank : callable
        Returns the number of entries that write before this one.
    """

    def __init__(
        self,
        store: ObjectStore,
        guard: PoisonGuard,
        rank: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
        unix_time: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._guard = guard
        self._rank = rank
        self._clock = clock
        self._unix_time = unix_time
        self._stored: dict[str, StoredObject] = {}
        self._has_listing = False
        self._missing_since: dict[Cause, float] = {}
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start the synchronization."""
        threading.Thread(target=self._run, name="blocked-calls", daemon=True).start()

    def stop(self) -> None:
        """Stop the synchronization."""
        self._stopping.set()

    def update(self, view: View) -> None:
        """Apply the list of blocked requests in the store."""
        self._stored = dict(view.objects)
        self._has_listing = True
        clock_offset_s = self._clock() - self._unix_time()
        self._guard.receive_blocked(
            {
                Cause(name): float(obj.spec[UNTIL_KEY]) + clock_offset_s
                for name, obj in view.objects.items()
                if isinstance(obj.spec.get(UNTIL_KEY), int | float)
            }
        )

    def _run(self) -> None:
        while not self._stopping.wait(POLL_INTERVAL_S):
            try:
                self.sync()
            except Exception as exc:
                log("blocked_calls_failed", error=repr(exc))

    def sync(self) -> None:
        """Write missing blocks, delayed by rank; rank 0 also removes expired blocks."""
        if not self._has_listing:
            return
        now = self._clock()
        blocked = self._guard.blocked()
        missing = [key for key in blocked if key not in self._stored]
        self._missing_since = {f: self._missing_since.get(f, now) for f in missing}
        delay_s = self._rank() * WRITE_STAGGER_S
        for key in missing:
            if now - self._missing_since[key] >= delay_s:
                self._write(key, blocked[key])
        if self._rank() == 0:
            self._remove_expired()

    def _write(self, cause: Cause, until: float) -> None:
        unix_until = int(until - self._clock() + self._unix_time())
        result = self._store.create(Kind.BLOCKED, cause, {UNTIL_KEY: unix_until})
        if isinstance(result, Success):
            obj = result.unwrap()
            self._stored = {**self._stored, cause: obj}
        elif result.failure().error is not StoreError.EXISTS:
            log("block_not_stored", call=cause, detail=result.failure().detail)
            self._missing_since[cause] = self._clock()

    def _remove_expired(self) -> None:
        now = self._unix_time()
        for name, obj in list(self._stored.items()):
            until = obj.spec.get(UNTIL_KEY)
            if not isinstance(until, int | float) or until <= now:
                self._store.delete(obj)
                self._stored = {n: o for n, o in self._stored.items() if n != name}
