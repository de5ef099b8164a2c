"""The configuration in force in one process."""

import threading
import time
from collections import deque
from collections.abc import Callable, Iterable
from typing import Final

from returns.result import Success

from ..ids import ConfigVersion
from ..observe.logs import log
from .changes import Change, apply
from .gate import ThawGate
from .model import EMPTY, Catalog

MAX_HISTORY: Final = 512
"""Changes retained for peers that lag, the most that the store retains."""
GATE_POLL_INTERVAL_S: Final = 0.05
"""Time between two checks of the gate by a waiting request."""

Listener = Callable[[Catalog], None]


class CatalogFeed:
    """Current catalog, whose version never decreases.

    A change may arrive from any source and any number of times. Only its number
    decides whether it applies, so a lagging peer cannot revert a change.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.RLock()
        self._catalog = EMPTY
        self._history: deque[Change] = deque(maxlen=MAX_HISTORY)
        self._listeners: list[Listener] = []
        self.gate = ThawGate(clock())
        self.ready = threading.Event()
        """Set once a source has confirmed a configuration."""

    @property
    def catalog(self) -> Catalog:
        """Return the newest catalog without waiting, whatever its age."""
        return self._catalog

    @property
    def version(self) -> ConfigVersion:
        """Return the version of the newest catalog."""
        return self._catalog.version

    def add_listener(self, listener: Listener) -> None:
        """Call ``listener`` with each new catalog, in order of versions."""
        self._listeners.append(listener)

    def active_catalog(self) -> Catalog:
        """Return the catalog that applies to a request.

        After a freeze, wait until a source has confirmed the catalog, for at most
        ``ISOLATION_TIMEOUT_S`` seconds.
        """
        while not self.gate.open(self._clock()):
            time.sleep(GATE_POLL_INTERVAL_S)
        return self._catalog

    def confirm(self, sent_at: float) -> None:
        """Record that a source answered a query sent at ``sent_at``."""
        self.gate.confirm(sent_at)
        if self.version and self.gate.confirmed(self._clock()):
            self.ready.set()

    def apply_changes(self, changes: Iterable[Change]) -> tuple[Change, ...]:
        """Apply the changes that follow the current version; return these changes."""
        applied = []
        with self._lock:
            for change in changes:
                result = apply(self._catalog, change)
                if not isinstance(result, Success):
                    continue
                self._history.append(change)
                applied.append(change)
                self._advance(result.unwrap())
        return tuple(applied)

    def apply_snapshot(self, catalog: Catalog) -> bool:
        """Replace the catalog by a newer one; return False if it is not newer."""
        with self._lock:
            if catalog.version <= self.version:
                return False
            self._history.clear()
            self._advance(catalog)
            return True

    def _advance(self, catalog: Catalog) -> None:
        self._catalog = catalog
        log("config_in_force", version=catalog.version)
        for listener in self._listeners:
            listener(catalog)

    def changes_after(self, version: ConfigVersion) -> tuple[Change, ...] | None:
        """Return the changes after a version, None if the history lacks any of them."""
        with self._lock:
            if version >= self.version:
                return ()
            if not self._history or self._history[0].number > version + 1:
                return None
            return tuple(change for change in self._history if change.number > version)
