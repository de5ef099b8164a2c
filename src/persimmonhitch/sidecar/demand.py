"""Requested tokens per second of each model at one upstream."""

import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Final

from ..ids import Model, Tokens

WINDOW_S: Final = 10.0
"""Averaging window, so that a single long prompt does not count as a surge."""


class DemandMeter:
    """Sums the cost of requests by model, whether served or refused."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._requests: deque[tuple[float, Model, float]] = deque()
        self._lock = threading.Lock()

    def record(self, model: Model, cost: Tokens) -> None:
        """Record a request."""
        with self._lock:
            self._requests.append((self._clock(), model, cost))

    def rates(self) -> dict[Model, float]:
        """Return the tokens per second by model over the last window."""
        total: dict[Model, float] = {}
        with self._lock:
            oldest = self._clock() - WINDOW_S
            while self._requests and self._requests[0][0] < oldest:
                self._requests.popleft()
            for _, model, cost in self._requests:
                total[model] = total.get(model, 0.0) + cost / WINDOW_S
        return total
