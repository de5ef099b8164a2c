"""When a load from the weight store may begin.

Load pattern: demand moves to models that no engine has had, and every engine is to load
at once. The weight store serves a few loads a second over all engines; beyond that each
takes longer and callers of all the models wait. Loads begin at the store's rate, with
``AT_ONCE`` saved up, which keeps any window of some seconds under the rate with room
for orders that engines carry out late. A new holder of the lease does not know what
began before it, and starts with nothing saved.
"""

from dataclasses import dataclass
from typing import Final

MAX_SAVED_LOADS: Final = 2.0


@dataclass
class LoadRateLimiter:
    """Loads saved up; times are monotonic seconds."""

    _saved: float = 0.0
    _refilled_at: float | None = None

    def may_start(self, rate: float, now: float) -> bool:
        """Return whether a load may begin now."""
        last = now if self._refilled_at is None else self._refilled_at
        self._saved = min(MAX_SAVED_LOADS, self._saved + max(0.0, now - last) * rate)
        self._refilled_at = now
        return self._saved >= 1.0 or rate <= 0

    def record_start(self, rate: float, now: float) -> None:
        """Count a load that begins."""
        self.may_start(rate, now)
        self._saved -= 1.0
