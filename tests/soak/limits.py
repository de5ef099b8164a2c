"""Upstreams that say for a while how few requests they take."""

import random
import threading
import time
from dataclasses import dataclass

MEAN_GAP_S = 3.0
"""Mean seconds between two begins."""
DURATION_S = 5.0, 9.0
RATES_PER_S = (0.5, 1.0, 2.0, 4.0)


@dataclass
class LimitSpan:
    """An upstream's need; times are monotonic seconds."""

    upstream: str
    rate: float
    begin: float
    end: float


class LimitFaults(threading.Thread):
    """Has upstreams name limits.

    Its draws are its own, so that the faults of a seed stay as they are.
    """

    def __init__(self, platform, records, seed):
        super().__init__(daemon=True)
        self._platform = platform
        self._records = records
        self._rng = random.Random(f"limits {seed}")
        self._stopped = threading.Event()

    def stop(self):
        self._stopped.set()

    def run(self):
        while not self._stopped.wait(self._rng.expovariate(1 / MEAN_GAP_S)):
            upstream = self._rng.choice(sorted(self._platform.upstreams.items()))[1]
            if upstream.limit is None:
                self._announce(upstream)

    def _announce(self, upstream):
        rate, seconds = self._rng.choice(RATES_PER_S), self._rng.uniform(*DURATION_S)
        now = time.monotonic()
        span = LimitSpan(upstream.spec.name, rate, now, now + seconds)
        upstream.limit = str(rate)
        self._records.limits.append(span)
        threading.Thread(target=self._lift, args=(upstream, span), daemon=True).start()

    def _lift(self, upstream, span):
        # An upstream that crashes meanwhile has no need any more.
        upstream.closed.wait(span.end - time.monotonic())
        upstream.limit = None
        span.end = time.monotonic()
