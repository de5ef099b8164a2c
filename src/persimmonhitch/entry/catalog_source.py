"""The catalog in force on this entry, read from the store."""

import threading
from collections.abc import Callable
from typing import Final

from returns.result import Success

from ..catalog.log import read_head
from ..catalog.model import EMPTY, Catalog
from ..observe.logs import log
from ..platform.objects import ObjectStore

EVERY: Final = 1.0


class CatalogSource:
    """Reads the newest catalog over and over; it only moves forward."""

    def __init__(self, store: ObjectStore, listener: Callable[[Catalog], None]) -> None:
        self._store = store
        self._listener = listener
        self._stopping = threading.Event()
        self.ready = threading.Event()
        self.catalog = EMPTY
        self._thread = threading.Thread(target=self._run, name="catalog", daemon=True)

    def start(self) -> None:
        """Read from now on."""
        self._thread.start()

    def stop(self) -> None:
        """Read no more."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._read()
            self._stopping.wait(EVERY)

    def _read(self) -> None:
        result = read_head(self._store)
        if not isinstance(result, Success):
            log("catalog_unread", detail=result.failure().detail)
            return
        catalog = result.unwrap().catalog
        if catalog.version > self.catalog.version:
            self.catalog = catalog
            self._listener(catalog)
            log("catalog_in_force", version=catalog.version)
        if catalog.version > 0:
            self.ready.set()
