"""Event queue with a simulated clock."""

import heapq
from collections.abc import Callable
from itertools import count


class Clock:
    """Runs events in order of their time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def at(self, time: float, run: Callable[[], None]) -> None:
        """Schedule an event."""
        heapq.heappush(self._events, (time, next(self._numbers), run))

    def play(self) -> None:
        """Run all events."""
        while self._events:
            self.now, _, run = heapq.heappop(self._events)
            run()
