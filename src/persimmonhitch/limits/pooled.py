"""One token bucket of an account, kept by every entry from what all of them spend.

Load pattern: an account's callers are spread unevenly over the entries, and one account
now and then sends several times its rate. With a fixed part of the rate for each entry
an account would be refused at the entry that most of its callers reach, though the
fleet as a whole has tokens left; its users see refusals below their rate. With no
exchange it would get its rate once for each entry.

Every entry spends from a bucket of the whole rate and takes off what the others say
they spent. What they have spent since then is not known; it is taken to be what they
spent a moment ago in as much time, or the whole rate if that is more, and held back.
Without that, all entries find the last tokens of an account at the same moment, and
each spends them: the overshoot grows with the lateness of news and the number of
entries. What is spent beyond the rate all the same takes the level below zero and is
paid back before anything more is admitted. Of an entry that has said nothing for
``SILENT_AFTER`` it is assumed that it spends an equal part of the rate and of the
burst: two halves of a fleet that don't hear each other then admit no more than both
together, and neither does a process that has just started and does not know yet what
others have spent.
"""

import math
from dataclasses import dataclass, field
from typing import Final

from ..ids import Tokens, Vm

UPDATE_INTERVAL_S: Final = 0.2
"""Seconds between two messages of an entry."""
RATE_WINDOW_S: Final = 0.2
"""Seconds over which the rate is averaged at which the others spend."""
PEER_TIMEOUT_S: Final = 1.0
"""Seconds; five messages missed in a row."""


@dataclass
class PooledBucket:
    """Level of one account, as one entry knows it; times are monotonic seconds."""

    rate: float
    burst: float
    updated_at: float
    used: float = 0.0
    """Tokens spent here since the process started."""
    level: float = 0.0
    _peer_rate: float = 0.0
    """Tokens a second that the others spent of late, as of ``_others_at``."""
    _peer_rate_at: float = 0.0
    _peer_used: dict[Vm, float] = field(default_factory=dict)

    _max_level: float = 0.0
    """The level that can be reached: the burst less the part of silent entries."""

    def __post_init__(self) -> None:
        self.level = self._max_level = self.burst

    def resize(self, rate: float, burst: float) -> None:
        """Take a new rate and burst; what no longer fits is lost."""
        self.rate, self.burst = rate, burst
        self._max_level = burst
        self.level = min(self.level, burst)

    def advance(self, now: float, unresponsive: int, entry_count: int) -> None:
        """Refill up to ``now``, less the part of entries that say nothing."""
        elapsed_s = max(0.0, now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        unresponsive_share = unresponsive / max(1, entry_count)
        self._max_level = self.burst * (1 - unresponsive_share)
        refill = elapsed_s * self.rate * (1 - unresponsive_share)
        self.level = min(self._max_level, self.level + refill)

    def _decayed_rate(self, now: float) -> float:
        """Return the rate at which the others spend now."""
        elapsed_s = max(0.0, now - self._peer_rate_at)
        self._peer_rate_at = max(now, self._peer_rate_at)
        self._peer_rate *= math.exp(-elapsed_s / RATE_WINDOW_S)
        return self._peer_rate

    def spend(self, cost: Tokens, lag_s: float = 0.0) -> float | None:
        """Spend tokens here; return None, or the seconds until they are there.

        ``late`` are the seconds for which the others may have spent unheard.
        """
        if self.rate <= 0:
            return None
        level = self.level - max(self.rate, self._decayed_rate(self.updated_at)) * lag_s
        if cost <= level:
            self.level -= cost
            self.used += cost
            return None
        # More than a full bucket never comes; it is let in alone on one.
        if cost > self._max_level <= level:
            self.level -= cost
            self.used += cost
            return None
        return (min(cost, self._max_level) - level) / self.rate

    def refund(self, cost: Tokens) -> None:
        """Give back the tokens of a request that has not run."""
        if self.rate > 0:
            self.level = min(self.burst, self.level + cost)
            self.used -= cost

    def receive(self, vm: Vm, used: float, now: float = 0.0) -> None:
        """Take off what a peer has spent since it was last heard."""
        previous = self._peer_used.get(vm)
        self._peer_used[vm] = used
        if previous is None:
            # What it spent before this process knew it is not known by time.
            return
        spent = used - previous
        if spent < -self.burst:
            # It started anew and counts from zero; refunds alone are smaller.
            spent = used
        self.level = min(self.burst, self.level - spent)
        self._peer_rate = self._decayed_rate(now) + max(0.0, spent) / RATE_WINDOW_S
