"""Rate limit of loads from the weight store.

Load pattern: demand moves to models that no engine has cached, and every engine is to
load at once. The weight store serves a few loads per second for all engines together;
above that rate each load takes longer, and callers of all these models wait. Loads
start at the rate of the store, and up to ``MAX_SAVED_LOADS`` unused loads are saved.
This keeps the loads in any window of some seconds below the rate, with a margin for
orders that engines execute late. A new leader has no record of earlier loads and
therefore starts without saved loads.
"""

from dataclasses import dataclass
from typing import Final

MAX_SAVED_LOADS: Final = 2.0


@dataclass
class LoadRateLimiter:
    """Token bucket of loads; times are monotonic seconds."""

    _saved: float = 0.0
    _refilled_at: float | None = None

    def may_start(self, rate: float, now: float) -> bool:
        """Return whether a load may start now."""
        last = now if self._refilled_at is None else self._refilled_at
        self._saved = min(MAX_SAVED_LOADS, self._saved + max(0.0, now - last) * rate)
        self._refilled_at = now
        return self._saved >= 1.0 or rate <= 0

    def record_start(self, rate: float, now: float) -> None:
        """Record the start of a load."""
        self.may_start(rate, now)
        self._saved -= 1.0
