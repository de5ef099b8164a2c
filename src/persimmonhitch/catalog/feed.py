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
"""Changes kept for peers that lag: as many as the store keeps at most."""
GATE_POLL_INTERVAL_S: Final = 0.05
"""Seconds between two looks of a request that waits for the gate."""

Listener = Callable[[Catalog], None]


class CatalogFeed:
    """Holds one catalog that only moves forward.

    It does not matter from whom a change comes, nor how often: the number alone
    decides, so a peer that lags can't take anything back.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.RLock()
        self._catalog = EMPTY
        self._history: deque[Change] = deque(maxlen=MAX_HISTORY)
        self._listeners: list[Listener] = []
        self.gate = ThawGate(clock())
        self.ready = threading.Event()
        """Set once there is a configuration that a source has confirmed."""

    @property
    def catalog(self) -> Catalog:
        """Return the newest catalog at once, whatever its age."""
        return self._catalog

    @property
    def version(self) -> ConfigVersion:
        """Return the newest version."""
        return self._catalog.version

    def add_listener(self, listener: Listener) -> None:
        """Hand each new catalog to ``listener``, in order."""
        self._listeners.append(listener)

    def active_catalog(self) -> Catalog:
        """Return the catalog to decide a request by.

        Waits after a freeze until a source has confirmed the catalog, for
        ``ISOLATED_AFTER`` seconds at most.
        """
        while not self.gate.open(self._clock()):
            time.sleep(GATE_POLL_INTERVAL_S)
        return self._catalog

    def confirm(self, asked_at: float) -> None:
        """Note that a source answered a question asked at ``asked_at``."""
        self.gate.confirm(asked_at)
        if self.version and self.gate.confirmed(self._clock()):
            self.ready.set()

    def apply_changes(self, changes: Iterable[Change]) -> tuple[Change, ...]:
        """Apply the changes that come next; return those that were new."""
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
        """Take a catalog from a snapshot; return whether it is newer."""
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
        """Return the changes after a version, None if they are not all held."""
        with self._lock:
            if version >= self.version:
                return ()
            if not self._history or self._history[0].number > version + 1:
                return None
            return tuple(change for change in self._history if change.number > version)
