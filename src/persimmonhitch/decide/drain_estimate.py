"""How long an unload takes whose model still runs calls.

Load pattern: demand moves and a busy model is to make room for another one. Its unload
waits for the calls that run, streams of seconds, and the engine takes no other order
meanwhile; callers of the new model are refused for all that time. A model that runs
nothing is gone at once. The time is learned from the unloads that were made.
"""

from dataclasses import dataclass
from typing import Final

INITIAL_DRAIN_S: Final = 2.0
"""Seconds that are assumed before one was seen: half of a common stream's time."""
NEWEST_DRAIN_WEIGHT: Final = 0.3
"""Weight of the newest unload in the time that is expected."""


@dataclass
class DrainEstimate:
    """Seconds that unloads take which wait for calls."""

    expected_s: float = INITIAL_DRAIN_S

    def record(self, drain_s: float) -> None:
        """Note an unload that waited for calls."""
        self.expected_s += NEWEST_DRAIN_WEIGHT * (drain_s - self.expected_s)
