"""Synchronisation of the configuration of one entry with peers and the store."""

import random
import threading
import time
from collections.abc import Callable
from typing import Final

from ..ids import ConfigVersion, Region, Vm
from ..store.objects import ObjectStore
from .exchange import Mesh, PeerExchange
from .feed import CatalogFeed
from .store_source import StoreSource

PULL_INTERVAL_S: Final = 1.0
"""Time between two pulls from peers; the next pull makes up for a lost push."""
MIN_PULL_INTERVAL_S: Final = 0.2
"""Time between two pulls while no source has confirmed the configuration; also the
minimum when many sidecars report a newer version."""


class CatalogSync:
    """Catalog feed, peer exchange and store source of one entry, with their threads."""

    def __init__(
        self,
        store: ObjectStore,
        mesh: Mesh,
        vm: Vm,
        region: Region,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._vm = vm
        self._clock = clock
        self.feed = CatalogFeed(clock)
        self.exchange = PeerExchange(self.feed, mesh, vm, region, rng, clock)
        self.source = StoreSource(
            store,
            self.feed,
            self.needed,
            self.exchange.push,
            self.exchange.set_store_available,
            clock,
        )
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="ask", daemon=True)

    @property
    def version(self) -> ConfigVersion:
        """Return the version of the newest catalog of this entry."""
        return self.feed.version

    def is_watcher(self) -> bool:
        """Return whether this entry watches the store for its region."""
        return self._vm in self.exchange.watchers()

    def needed(self) -> bool:
        """Return whether this entry must read the store.

        Watchers read the store, and so does an entry whose configuration no source
        has confirmed, after its start or after a freeze.
        """
        confirmed = self.feed.gate.confirmed(self._clock())
        return not confirmed or not self.feed.ready.is_set() or self.is_watcher()

    def start(self) -> None:
        """Start the threads that synchronise the configuration."""
        self.source.start()
        self._thread.start()

    def stop(self) -> None:
        """Stop pulling from peers and reading the store."""
        self._stopping.set()
        self._wake.set()
        self.source.stop()

    def pull_if_newer(self, version: ConfigVersion) -> None:
        """Pull at once if ``version``, reported by a sidecar, is newer."""
        if version > self.feed.version:
            self._wake.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self.exchange.pull()
            self._stopping.wait(MIN_PULL_INTERVAL_S)
            if self.feed.gate.confirmed(self._clock()):
                self._wake.wait(PULL_INTERVAL_S - MIN_PULL_INTERVAL_S)
            self._wake.clear()
