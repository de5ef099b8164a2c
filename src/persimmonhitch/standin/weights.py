"""Simulated weight store: duration of a load under its limits."""

from dataclasses import dataclass, field


@dataclass
class WeightStore:
    """Loads start at ``rate`` per second and slow down above the concurrency limits.

    ``slow`` multiplies every load's time; ``down`` refuses new loads.
    """

    rate: float
    at_once: int
    adapters_at_once: int
    model_time: float = 20.0
    adapter_time: float = 2.0
    slow: float = 1.0
    down: bool = False
    _next_start: float = 0.0
    _models: list[float] = field(default_factory=list)
    _adapters: list[float] = field(default_factory=list)

    def begin(self, adapter: bool, now: float) -> float | None:
        """Start a load; return its seconds, or None while the store is down."""
        if self.down:
            return None
        start = max(now, self._next_start)
        self._next_start = start + 1.0 / self.rate
        ends = self._adapters if adapter else self._models
        limit = self.adapters_at_once if adapter else self.at_once
        ends[:] = [end for end in ends if end > start]
        crowding = max(1.0, (len(ends) + 1) / limit)
        base = self.adapter_time if adapter else self.model_time
        end = start + base * crowding * self.slow
        ends.append(end)
        return end - now

    def loading(self, now: float) -> int:
        """Return the number of loads in progress."""
        return sum(end > now for end in (*self._models, *self._adapters))
