"""Follow one kind of object: list, then watch, for as long as the process runs."""

import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Final

from returns.result import Success

from ..observe.logs import log
from .objects import Event, EventType, Kind, ObjectStore, StoredObject, StoreError

WATCH_SECONDS: Final = 30.0
"""Length of one watch; the platform counts each as one call."""
RETRY_FIRST: Final = 0.2
RETRY_MOST: Final = 5.0
"""Seconds between tries while the store is away; doubled from first to most."""


@dataclass(frozen=True)
class View:
    """Objects of one kind by name, as last seen, and when."""

    objects: dict[str, StoredObject]
    seen_at: float
    """Monotonic seconds at which the store last answered."""


def _ignore() -> None:
    """Take the news that the store is away, for those whom it does not concern."""


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
    ) -> None:
        self._store = store
        self._kind = kind
        self._wait = wait
        self._retry_most = retry_most
        self._away = away
        self._pause = pause
        """Seconds after changes before the next watch, so that it brings several."""
        self._listener = listener
        self._stopping = threading.Event()
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
            started = time.monotonic()
            self._follow()
            if self.view.seen_at >= started:
                pause = RETRY_FIRST
            self._stopping.wait(pause)
            pause = min(pause * 2, self._retry_most)

    def _follow(self) -> None:
        result = self._store.list_all(self._kind)
        if not isinstance(result, Success):
            self._away()
            log("store_away", kind=self._kind.value, detail=result.failure().detail)
            return
        listing = result.unwrap()
        self._publish({obj.name: obj for obj in listing.items})
        after = listing.version
        while not self._stopping.is_set():
            outcome = self._store.watch(self._kind, after, self._wait)
            if not isinstance(outcome, Success):
                self._log_end(outcome.failure().error, outcome.failure().detail)
                return
            changes = outcome.unwrap()
            after = changes.version
            if changes.events:
                self._apply(changes.events)
                self._stopping.wait(self._pause)
            self.view = replace(self.view, seen_at=time.monotonic())

    def _log_end(self, error: StoreError, detail: str) -> None:
        if error is StoreError.UNAVAILABLE:
            self._away()
        log("watch_ended", kind=self._kind.value, error=error.value, detail=detail)

    def _apply(self, events: Iterable[Event]) -> None:
        objects = dict(self.view.objects)
        for event in events:
            if event.type is EventType.DELETED:
                objects.pop(event.object.name, None)
            else:
                objects[event.object.name] = event.object
        self._publish(objects)

    def _publish(self, objects: dict[str, StoredObject]) -> None:
        self.view = View(objects, time.monotonic())
        self._listener(self.view)
        self.ready.set()
