"""Part of the slack of retries that one entry may use.

Load pattern: an upstream fails, and each entry retries at once. Every process that
counted the slack as its own would send it, so that the retries grow with the number of
entries and with each restart.

The slack is divided equally by the number of entries, some of it kept for requests and
retries that are under way when a window begins. The parts must add up to the slack at
all times, also while entries disagree about their number:

- An entry that joins uses its part once all others that are in touch with the store
  have known it for a window. Until then its own requests alone allow retries, which is
  also right for a process that restarts and doesn't know what its predecessor sent.
- After an entry has left, the others keep their smaller parts for the same time.
- An entry that can't tell who has joined, or is stopping, uses one retry of its part.

A part below one retry would never be of use. If there are more entries than retries in
the slack, those that come first in the order of their names get one retry each, and the
others none.
"""

import math
from dataclasses import dataclass, field
from typing import Final

from .retries import RetryBound

USED_SLACK: Final = 0.9
"""Share of the slack that is divided."""
LEARN_S: Final = 2.5
"""Default for the seconds without contact to the store after which an entry counts as
out of touch."""


@dataclass
class _Fleet:
    entries: int
    position: int
    """Number of entries that precede this one."""
    until: float = math.inf
    """When it was replaced; monotonic seconds."""


@dataclass
class SlackShare:
    """Part of one entry; times are monotonic seconds."""

    bound: RetryBound
    learn_s: float = LEARN_S
    """Seconds in which all other entries that are in touch learn of a new one."""
    _joined_at: float = math.inf
    """When this entry first knew the fleet and was listed in it."""
    _fleets: list[_Fleet] = field(default_factory=list)
    """The fleet as known now, last, and as known within the hold."""

    @property
    def _hold_s(self) -> float:
        return self.bound.window_s + self.learn_s

    def update(self, entries: int, position: int, now: float) -> None:
        """Apply the number of entries, and of those that precede this one."""
        self._joined_at = min(self._joined_at, now)
        last = self._fleets[-1] if self._fleets else None
        if last is not None and (last.entries, last.position) == (entries, position):
            return
        if last is not None:
            last.until = now
        self._fleets = [f for f in self._fleets if f.until > now - self._hold_s]
        self._fleets.append(_Fleet(entries, position))

    def slack(self, now: float, in_touch: bool) -> float:
        """Return the retries of the slack that this entry may use."""
        held = [f for f in self._fleets if f.until > now - self._hold_s]
        entries = max((f.entries for f in held), default=1)
        position = max((f.position for f in held), default=0)
        usable = self.bound.slack * USED_SLACK
        if position >= math.floor(usable):
            return 0.0
        if not in_touch or now - self._joined_at < self._hold_s:
            return 1.0
        return max(1.0, usable / entries)
