"""One token bucket of an account, kept by every entry from what all of them spend.

Load pattern: an account's callers are spread unevenly over the entries, and one account
now and then sends several times its rate. With a fixed part of the rate for each entry
an account would be refused at the entry that most of its callers reach, though the
fleet as a whole has tokens left; its users see refusals below their rate. With no
exchange it would get its rate once for each entry.

Every entry spends from a bucket of the whole rate and takes off what the others say
they spent. News are ``NEWS_EVERY`` old at most, so the fleet overshoots by what it
admits in that time; the level goes below zero then and the overshoot is paid back
before anything more is admitted. Of an entry that has said nothing for ``SILENT_AFTER``
it is assumed that it spends an equal part of the rate: two halves of a fleet that don't
hear each other then admit no more than the rate together.
"""

from dataclasses import dataclass, field
from typing import Final

from ..ids import Tokens, Vm

NEWS_EVERY: Final = 0.2
"""Seconds between two messages to each peer; a hot account at several times its rate
overshoots by about one second's rate in that time, which its level pays back."""
SILENT_AFTER: Final = 1.0
"""Seconds; five messages missed in a row."""


@dataclass
class PooledBucket:
    """Level of one account, as one entry knows it; times are monotonic seconds."""

    rate: float
    burst: float
    now: float
    used: float = 0.0
    """Tokens spent here since the process started."""
    level: float = 0.0
    _heard: dict[Vm, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.level = self.burst

    def resize(self, rate: float, burst: float) -> None:
        """Take a new rate and burst; what no longer fits is lost."""
        self.rate, self.burst = rate, burst
        self.level = min(self.level, burst)

    def advance(self, now: float, silent: int, fleet: int) -> None:
        """Refill up to ``now``, less the part of entries that say nothing."""
        passed = max(0.0, now - self.now)
        self.now = max(now, self.now)
        part = self.rate * silent / max(1, fleet)
        self.level = min(self.burst, self.level + passed * (self.rate - part))

    def take(self, cost: Tokens) -> float | None:
        """Spend tokens here; return None, or the seconds until they are there."""
        if self.rate <= 0:
            return None
        if cost <= self.level:
            self.level -= cost
            self.used += cost
            return None
        # More than the burst never comes; it is let in alone on a full bucket.
        if cost > self.burst <= self.level:
            self.level -= cost
            self.used += cost
            return None
        return (min(cost, self.burst) - self.level) / self.rate

    def refund(self, cost: Tokens) -> None:
        """Give back the tokens of a request that has not run."""
        if self.rate > 0:
            self.level = min(self.burst, self.level + cost)
            self.used -= cost

    def hear(self, vm: Vm, used: float) -> None:
        """Take off what a peer has spent since it was last heard."""
        last = self._heard.get(vm)
        self._heard[vm] = used
        if last is None:
            # What it spent before this process knew it is not known by time.
            return
        spent = used - last
        if spent < -self.burst:
            # It started anew and counts from zero; refunds alone are smaller.
            spent = used
        self.level = min(self.burst, self.level - spent)
