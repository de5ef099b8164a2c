"""Blocked calls in the store, for entries that start or that the others can't reach."""

import threading
import time
from collections.abc import Callable
from typing import Final

from returns.result import Success

from ..ids import Fingerprint
from ..observe.logs import log
from ..store.objects import Kind, ObjectStore, StoredObject, StoreError
from ..store.watcher import View
from .poison import PoisonGuard

LOOK_EVERY: Final = 0.2
"""Seconds between two looks at what the store lacks."""
PLACE_DELAY: Final = 0.6
"""Seconds that an entry leaves to each one before it, so that mostly one writes."""
UNTIL: Final = "until"
"""Field of an object: Unix seconds until which its call is blocked."""


class BlockedCalls:
    """Keeps the store's list of blocked calls equal to this entry's.

    Whatever the store lacks is written again: it may come back from an older copy.

    Parameters
    ----------
    place : callable
        Returns how many entries write before this one.
    """

    def __init__(
        self,
        store: ObjectStore,
        guard: PoisonGuard,
        place: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
        unix_time: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._guard = guard
        self._place = place
        self._clock = clock
        self._unix_time = unix_time
        self._stored: dict[str, StoredObject] = {}
        self._listed = False
        self._missing_since: dict[Fingerprint, float] = {}
        self._stopping = threading.Event()

    def start(self) -> None:
        """Write from now on."""
        threading.Thread(target=self._run, name="blocked-calls", daemon=True).start()

    def stop(self) -> None:
        """Write no more."""
        self._stopping.set()

    def update(self, view: View) -> None:
        """Take the store's list."""
        self._stored = dict(view.objects)
        self._listed = True
        shift = self._clock() - self._unix_time()
        self._guard.hear_blocked(
            {
                Fingerprint(name): float(obj.spec[UNTIL]) + shift
                for name, obj in view.objects.items()
                if isinstance(obj.spec.get(UNTIL), int | float)
            }
        )

    def _run(self) -> None:
        while not self._stopping.wait(LOOK_EVERY):
            try:
                self.look()
            except Exception as exc:
                log("blocked_calls_failed", error=repr(exc))

    def look(self) -> None:
        """Write what the store lacks and remove what is over, when it is time to."""
        if not self._listed:
            return
        now = self._clock()
        blocked = self._guard.blocked()
        missing = [call for call in blocked if call not in self._stored]
        self._missing_since = {c: self._missing_since.get(c, now) for c in missing}
        wait = self._place() * PLACE_DELAY
        for call in missing:
            if now - self._missing_since[call] >= wait:
                self._write(call, blocked[call])
        if self._place() == 0:
            self._remove_old()

    def _write(self, call: Fingerprint, until: float) -> None:
        unix_until = int(until - self._clock() + self._unix_time())
        made = self._store.create(Kind.BLOCKED, call, {UNTIL: unix_until})
        if isinstance(made, Success):
            obj = made.unwrap()
            self._stored = {**self._stored, call: obj}
        elif made.failure().error is not StoreError.EXISTS:
            log("block_not_stored", call=call, detail=made.failure().detail)
            self._missing_since[call] = self._clock()

    def _remove_old(self) -> None:
        now = self._unix_time()
        for name, obj in list(self._stored.items()):
            until = obj.spec.get(UNTIL)
            if not isinstance(until, int | float) or until <= now:
                self._store.delete(obj)
                self._stored = {n: o for n, o in self._stored.items() if n != name}
