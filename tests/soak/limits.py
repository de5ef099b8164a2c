"""Upstreams that announce a request rate limit for some seconds."""

import random
import threading
import time
from dataclasses import dataclass

MEAN_GAP_S = 3.0
"""Mean seconds between two announcements."""
DURATION_S = 5.0, 9.0
"""Shortest and longest duration of a limit."""
RATES_PER_S = (0.5, 1.0, 2.0, 4.0)


@dataclass
class LimitSpan:
    """An announced limit in requests a second; times are monotonic seconds."""

    upstream: str
    rate: float
    begin: float
    end: float


class LimitFaults(threading.Thread):
    """Makes upstreams announce limits.

    Uses its own random generator, so that the other faults of a seed do not change.
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
        # The limit of an upstream ends early if the upstream crashes.
        upstream.closed.wait(span.end - time.monotonic())
        upstream.limit = None
        span.end = time.monotonic()
