"""What the sidecar measures of its upstream: token rate and latency."""

import threading
import time
from collections import deque
from typing import Final

from ..decide.concurrency import ConcurrencyLimit

WINDOW: Final = 5.0
"""Seconds over which the token rate is taken: several steps of a batch, and short
enough that a report of each second follows a change of load."""


class LoadMeter:
    """Counts served tokens and feeds the concurrency limit with latencies."""

    def __init__(self, most: int, adaptive: bool) -> None:
        self._most = most
        self._adaptive = adaptive
        self._concurrency = ConcurrencyLimit()
        self._served: deque[tuple[float, float]] = deque()
        self._total = 0.0
        self._lock = threading.Lock()

    @property
    def limit(self) -> int:
        """Return how many requests may be at the upstream at once."""
        if not self._adaptive:
            return self._most
        return min(self._most, self._concurrency.limit)

    @property
    def first_token_p95(self) -> float:
        """Return seconds to the first token, for 95 in 100."""
        return self._concurrency.first_token_p95

    @property
    def gap_p95(self) -> float:
        """Return seconds between two tokens, for 95 in 100."""
        return self._concurrency.gap_p95

    def started(self, running: int) -> None:
        """Note that a request went to the upstream."""
        with self._lock:
            self._concurrency.on_start(running)

    def ended(self, running: int) -> None:
        """Note that a request came back."""
        with self._lock:
            self._concurrency.on_done(time.monotonic(), running)

    def refused(self) -> None:
        """Note that the upstream had no room or took no connection."""
        with self._lock:
            self._concurrency.on_error(time.monotonic())

    def first_token(self, seconds: float) -> None:
        """Take the time from a call to its first token."""
        with self._lock:
            self._concurrency.on_first_token(time.monotonic(), seconds)

    def token_gap(self, seconds: float) -> None:
        """Take the time between two tokens."""
        with self._lock:
            self._concurrency.on_gap(time.monotonic(), seconds)

    def tokens(self, count: float) -> None:
        """Count tokens that were served."""
        now = time.monotonic()
        with self._lock:
            self._served.append((now, count))
            self._total += count
            self._drop_old(now)

    def token_rate(self) -> float:
        """Return tokens a second over the last window."""
        with self._lock:
            self._drop_old(time.monotonic())
            return self._total / WINDOW

    def _drop_old(self, now: float) -> None:
        while self._served and now - self._served[0][0] > WINDOW:
            self._total -= self._served.popleft()[1]
        if not self._served:
            self._total = 0.0
