"""What the sidecar measures of its upstream: service rate and latency."""

import threading
import time

from ..decide.admission import ServiceRate
from ..decide.concurrency import ConcurrencyLimit


class LoadMeter:
    """Feeds the service rate and the concurrency limit with what is measured."""

    def __init__(self, most: int, adaptive: bool) -> None:
        self._most = most
        self._adaptive = adaptive
        self._concurrency = ConcurrencyLimit()
        self._service = ServiceRate()
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

    def left_queue(self, cost: float, waiting: int) -> None:
        """Note a request that leaves the queue, and how many wait behind it."""
        with self._lock:
            self._service.on_start(time.monotonic(), cost, waiting)

    @property
    def service_rate(self) -> float:
        """Return tokens a second served when busy; 0 until it was seen busy."""
        return self._service.rate
