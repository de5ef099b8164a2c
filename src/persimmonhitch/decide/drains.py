"""How long an unload takes whose model still runs calls.

Load pattern: demand moves and a busy model is to make room for another one. Its unload
waits for the calls that run, streams of seconds, and the engine takes no other order
meanwhile; callers of the new model are refused for all that time. A model that runs
nothing is gone at once. The time is learned from the unloads that were made.
"""

from dataclasses import dataclass
from typing import Final

FIRST_DRAIN: Final = 2.0
"""Seconds that are assumed before one was seen: half of a common stream's time."""
DRAIN_WEIGHT: Final = 0.3
"""Weight of the newest unload in the time that is expected."""


@dataclass
class DrainTime:
    """Seconds that unloads take which wait for calls."""

    expected: float = FIRST_DRAIN

    def saw(self, seconds: float) -> None:
        """Note an unload that waited for calls."""
        self.expected += DRAIN_WEIGHT * (seconds - self.expected)
