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

AT_ONCE: Final = 2.0


@dataclass
class LoadRate:
    """Loads saved up; times are monotonic seconds."""

    _saved: float = 0.0
    _at: float | None = None

    def allowed(self, rate: float, now: float) -> bool:
        """Return whether a load may begin now."""
        last = now if self._at is None else self._at
        self._saved = min(AT_ONCE, self._saved + max(0.0, now - last) * rate)
        self._at = now
        return self._saved >= 1.0 or rate <= 0

    def take(self, rate: float, now: float) -> None:
        """Count a load that begins."""
        self.allowed(rate, now)
        self._saved -= 1.0
