"""Expected duration of an unload whose model still runs requests.

Load pattern: demand moves, and a busy model is evicted for another one. The unload
waits until the running requests of the model, streams of several seconds, have ended.
The engine accepts no other order in this time, and callers of the new model are
refused. A model without running requests is unloaded at once. The duration is estimated
from completed unloads.
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
