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
LIFTED: Final = 0
"""Value of ``UNTIL_KEY`` of a block that was lifted before its end."""
LIFTED_KEEP_S: Final = 30.0
"""Seconds for which a lifted block stays in the store so that all entries see it."""


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
        self._lifted_since: dict[Cause, float] = {}
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
        ends = {Cause(name): _end_of(obj) for name, obj in view.objects.items()}
        for cause, end in ends.items():
            if end == LIFTED:
                self._guard.lift(cause)
        self._guard.receive_blocked(
            {cause: end + clock_offset_s for cause, end in ends.items() if end}
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
            self._lift_refuted()
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

    def _lift_refuted(self) -> None:
        """Lift the stored blocks of causes that completed after they were blocked."""
        clock_offset_s = self._clock() - self._unix_time()
        for name, obj in list(self._stored.items()):
            end = _end_of(obj)
            if end and self._guard.is_refuted(Cause(name), end + clock_offset_s):
                result = self._store.update(obj, {UNTIL_KEY: LIFTED})
                if isinstance(result, Success):
                    self._stored = {**self._stored, name: result.unwrap()}

    def _remove_expired(self) -> None:
        now, unix_now = self._clock(), self._unix_time()
        lifted = [n for n, obj in self._stored.items() if _end_of(obj) == LIFTED]
        self._lifted_since = {
            Cause(name): self._lifted_since.get(Cause(name), now) for name in lifted
        }
        for name, obj in list(self._stored.items()):
            end = _end_of(obj)
            if end == LIFTED and now - self._lifted_since[Cause(name)] < LIFTED_KEEP_S:
                continue
            if end is None or end <= unix_now:
                self._store.delete(obj)
                self._stored = {n: o for n, o in self._stored.items() if n != name}


def _end_of(obj: StoredObject) -> float | None:
    """Return the Unix time at which a stored block ends, None if it is invalid."""
    until = obj.spec.get(UNTIL_KEY)
    return float(until) if isinstance(until, int | float) else None
