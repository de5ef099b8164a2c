"""Expected duration of an unload whose model still runs requests.

Load pattern: demand moves, and a busy model is evicted for another one. Its unload
waits for the requests that run, streams of seconds, and the engine accepts no other
order meanwhile; callers of the new model are refused for all that time. A model that
runs no request is unloaded at once. The duration is learned from completed unloads.
"""

from dataclasses import dataclass
from typing import Final

INITIAL_DRAIN_S: Final = 2.0
"""Estimate before the first unload: half the duration of a typical stream."""
NEWEST_DRAIN_WEIGHT: Final = 0.3
"""Weight of the newest unload in the estimate."""


@dataclass
class DrainEstimate:
    """Average duration of unloads that wait for requests."""

    expected_s: float = INITIAL_DRAIN_S

    def record(self, drain_s: float) -> None:
        """Record an unload that waited for requests."""
        self.expected_s += NEWEST_DRAIN_WEIGHT * (drain_s - self.expected_s)
