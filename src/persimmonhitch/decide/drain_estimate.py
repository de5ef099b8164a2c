"""Expected duration of an unload whose model still runs requests.

Load pattern: demand moves, and a busy model is evicted for another one. The unload
waits until the running requests of the model, streams of several seconds, have ended.
Callers of both models are refused in this time. A model without running requests is
unloaded at once.

The unload waits for the last of the requests. With durations that are distributed
exponentially, the last of n requests ends after the n-th harmonic number times the mean
duration; the mean is estimated from completed unloads.
"""

from dataclasses import dataclass
from typing import Final

INITIAL_REQUEST_S: Final = 1.0
"""Mean time to the end of a running request, before the first unload."""
NEWEST_DRAIN_WEIGHT: Final = 0.3
"""Weight of the newest unload in the estimate."""


@dataclass
class DrainEstimate:
    """Mean time to the end of a running request, from unloads that waited for them."""

    request_s: float = INITIAL_REQUEST_S

    def expected_s(self, requests: int) -> float:
        """Return the expected seconds until the last of some requests has ended."""
        return self.request_s * _harmonic(requests)

    def record(self, drain_s: float, requests: int) -> None:
        """Record an unload that waited for a number of requests."""
        sample = drain_s / _harmonic(max(1, requests))
        self.request_s += NEWEST_DRAIN_WEIGHT * (sample - self.request_s)


def _harmonic(count: int) -> float:
    return sum(1.0 / n for n in range(1, count + 1))
