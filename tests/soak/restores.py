"""Short store outages, each ended by a restore from a copy some seconds old."""

import random
import threading
import time
from collections import deque

MEAN_GAP_S = 9.0
"""Mean seconds between two restores; some are followed by a second one at once."""
COPY_INTERVAL_S, MAX_COPIES = 0.5, 8
OUTAGE_S = 0.2, 1.0
"""Shortest and longest outage before a restore."""
SECOND_RESTORE_RATE = 0.25


class StoreRestorer(threading.Thread):
    """Restores the store at random times, with its own random generator."""

    def __init__(self, platform, records, seed, log):
        super().__init__(daemon=True)
        self._platform = platform
        self._records = records
        self._log = log
        self._rng = random.Random(f"restores {seed}")
        self._copies = deque(maxlen=MAX_COPIES)
        self._stopped = threading.Event()

    def stop(self):
        self._stopped.set()

    def run(self):
        next_at = time.monotonic() + self._rng.expovariate(1 / MEAN_GAP_S)
        while not self._stopped.wait(COPY_INTERVAL_S):
            self._copies.append(self._platform.state.copy())
            if time.monotonic() < next_at:
                continue
            self._restore()
            if self._rng.random() < SECOND_RESTORE_RATE:
                self._restore()
            next_at = time.monotonic() + self._rng.expovariate(1 / MEAN_GAP_S)

    def _restore(self):
        copy, seconds = self._rng.choice(self._copies), self._rng.uniform(*OUTAGE_S)
        self._log(f"store down for {seconds:.2f} s, then restored from a copy")
        end_span = self._records.open_span("restore", "store")
        faults = self._platform.state.faults
        faults.down = True
        time.sleep(seconds)
        self._platform.restore(copy)
        faults.down = False
        self._platform.operator.republish()
        end_span()
