"""All that keeps one entry's configuration up to date."""

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
"""Seconds between two questions to peers; a lost push is made good by the next."""
MIN_PULL_INTERVAL_S: Final = 0.2
"""Seconds between two while nobody has confirmed the configuration, and the
least between any two, however many sidecars hint at a newer version."""


class CatalogSync:
    """Feed, peers and store of one entry, with the threads that drive them."""

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
        """Return the newest version known here."""
        return self.feed.version

    def is_watcher(self) -> bool:
        """Return whether this entry watches the store for its region."""
        return self._vm in self.exchange.watchers()

    def needed(self) -> bool:
        """Return whether this entry is to read the store.

        Besides a watcher it is one whose configuration nobody has confirmed:
        after its start, and after a freeze.
        """
        confirmed = self.feed.gate.confirmed(self._clock())
        return not confirmed or not self.feed.ready.is_set() or self.is_watcher()

    def start(self) -> None:
        """Keep up to date from now on."""
        self.source.start()
        self._thread.start()

    def stop(self) -> None:
        """Stop asking and watching."""
        self._stopping.set()
        self._wake.set()
        self.source.stop()

    def pull_if_newer(self, version: ConfigVersion) -> None:
        """Ask at once if a sidecar knows a newer version."""
        if version > self.feed.version:
            self._wake.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self.exchange.pull()
            self._stopping.wait(MIN_PULL_INTERVAL_S)
            if self.feed.gate.confirmed(self._clock()):
                self._wake.wait(PULL_INTERVAL_S - MIN_PULL_INTERVAL_S)
            self._wake.clear()
