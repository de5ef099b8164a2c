"""Measured service rate and latency of the upstream."""

import threading
import time

from ..decide.admission import ServiceRate
from ..decide.concurrency import ConcurrencyLimit


class LoadMeter:
    """Updates the service rate and the concurrency limit from measurements."""

    def __init__(self, max_running: int, adaptive: bool) -> None:
        self._max_running = max_running
        self._adaptive = adaptive
        self._concurrency = ConcurrencyLimit()
        self._service = ServiceRate()
        self._lock = threading.Lock()

    @property
    def limit(self) -> int:
        """Return the maximum number of concurrent requests at the upstream."""
        if not self._adaptive:
            return self._max_running
        return min(self._max_running, self._concurrency.limit)

    @property
    def first_token_p95(self) -> float:
        """Return the 95th percentile of the seconds to the first token."""
        return self._concurrency.first_token_p95

    @property
    def gap_p95(self) -> float:
        """Return the 95th percentile of the seconds between two tokens."""
        return self._concurrency.gap_p95

    def started(self, running: int) -> None:
        """Record the start of a request at the upstream."""
        with self._lock:
            self._concurrency.on_start(running)

    def ended(self, running: int) -> None:
        """Record the end of a request at the upstream."""
        with self._lock:
            self._concurrency.on_done(time.monotonic(), running)

    def refused(self) -> None:
        """Record that the upstream was full or refused a connection."""
        with self._lock:
            self._concurrency.on_error(time.monotonic())

    def first_token(self, seconds: float) -> None:
        """Record the time from a call to its first token."""
        with self._lock:
            self._concurrency.on_first_token(time.monotonic(), seconds)

    def token_gap(self, seconds: float) -> None:
        """Record the time between two tokens."""
        with self._lock:
            self._concurrency.on_gap(time.monotonic(), seconds)

    def left_queue(self, cost: float, waiting: int) -> None:
        """Record a request that leaves the queue, and the number that still wait."""
        with self._lock:
            self._service.on_start(time.monotonic(), cost, waiting)

    @property
    def service_rate(self) -> float:
        """Return the tokens per second served under load; 0 until first measured."""
        return self._service.rate
