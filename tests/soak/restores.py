"""A store that is away for a moment and comes back from a copy some seconds old."""

import random
import threading
import time
from collections import deque

GAP = 9.0
"""Mean seconds between two restores; some come twice in a row."""
COPY_EVERY, COPIES = 0.5, 8
AWAY = 0.2, 1.0
TWICE = 0.25


class Restores(threading.Thread):
    """Restores the store, with draws of its own."""

    def __init__(self, platform, records, seed, log):
        super().__init__(daemon=True)
        self._platform = platform
        self._records = records
        self._log = log
        self._rng = random.Random(f"restores {seed}")
        self._copies = deque(maxlen=COPIES)
        self._stopped = threading.Event()

    def stop(self):
        self._stopped.set()

    def run(self):
        next_at = time.monotonic() + self._rng.expovariate(1 / GAP)
        while not self._stopped.wait(COPY_EVERY):
            self._copies.append(self._platform.state.copy())
            if time.monotonic() < next_at:
                continue
            self._restore()
            if self._rng.random() < TWICE:
                self._restore()
            next_at = time.monotonic() + self._rng.expovariate(1 / GAP)

    def _restore(self):
        copy, seconds = self._rng.choice(self._copies), self._rng.uniform(*AWAY)
        self._log(f"store away for {seconds:.2f} s, then back from a copy")
        done = self._records.begin("restore", "store")
        faults = self._platform.state.faults
        faults.down = True
        time.sleep(seconds)
        self._platform.restore(copy)
        faults.down = False
        self._platform.operator.rewrite()
        done()
