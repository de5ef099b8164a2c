"""Tokens a second asked of each model at one upstream."""

import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Final

from ..ids import Model, Tokens

WINDOW: Final = 10.0
"""Seconds; long enough that one long prompt is not taken for a surge."""


class DemandMeter:
    """Sums the cost of requests by model, served or refused."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._asked: deque[tuple[float, Model, float]] = deque()
        self._lock = threading.Lock()

    def asked(self, model: Model, cost: Tokens) -> None:
        """Note a request."""
        with self._lock:
            self._asked.append((self._clock(), model, cost))

    def rates(self) -> dict[Model, float]:
        """Return tokens a second by model over the last window."""
        total: dict[Model, float] = {}
        with self._lock:
            oldest = self._clock() - WINDOW
            while self._asked and self._asked[0][0] < oldest:
                self._asked.popleft()
            for _, model, cost in self._asked:
                total[model] = total.get(model, 0.0) + cost / WINDOW
        return total
