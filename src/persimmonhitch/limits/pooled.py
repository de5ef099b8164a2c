"""Token bucket of an account, replicated at every entry from the usage of all entries.

Load pattern: the callers of an account are spread unevenly over the entries, and an
account occasionally sends several times its rate. With a fixed share of the rate per
entry, an account would be refused at the entry that most of its callers reach while the
fleet as a whole has tokens left. Without an exchange between entries, an account would
get its full rate at each entry.

Every entry spends from a bucket with the full rate and deducts the usage that its peers
report. Usage that is not reported yet is estimated from the recent rate of the peers,
or from the full rate if that is higher, and reserved. Without the reserve, all entries
would find the last tokens of an account at the same moment and each would spend them,
with an overshoot that grows with the delay of updates and the number of entries. Usage
beyond the rate makes the level negative and is paid back before more requests are
admitted. An entry that is unresponsive for ``PEER_TIMEOUT_S`` is assumed to spend an
equal share of the rate and of the burst. So two halves of a partitioned fleet together
admit no more than the whole, and a process that has just started, without knowledge of
the usage of its peers, does not admit too much either.
"""

import math
from dataclasses import dataclass, field
from typing import Final

from ..ids import Tokens, Vm

UPDATE_INTERVAL_S: Final = 0.2
"""Interval between two status updates that an entry sends to its peers."""
RATE_WINDOW_S: Final = 0.2
"""Averaging time of the rate at which peers spend."""
PEER_TIMEOUT_S: Final = 1.0
"""Time without an update after which a peer is unresponsive: five missed updates."""


@dataclass
class PooledBucket:
    """Bucket of one account at one entry; times are monotonic seconds."""

    rate: float
    burst: float
    updated_at: float
    used: float = 0.0
    """Tokens spent at this entry since the process started."""
    level: float = 0.0
    _peer_rate: float = 0.0
    """Tokens per second that peers spent recently, as of ``_peer_rate_at``."""
    _peer_rate_at: float = 0.0
    _peer_used: dict[Vm, float] = field(default_factory=dict)
    """Tokens spent at each peer, as of its newest update."""
    _peers_used: float = 0.0
    """Tokens that peers have spent since their first updates."""

    _max_level: float = 0.0
    """Upper bound of the bucket level: the burst capacity less the share of
    unresponsive entries."""

    def __post_init__(self) -> None:
        self.level = self._max_level = self.burst

    def resize(self, rate: float, burst: float) -> None:
        """Apply a new rate and burst capacity; drop tokens above the capacity."""
        self.rate, self.burst = rate, burst
        self._max_level = burst
        self.level = min(self.level, burst)

    def advance(self, now: float, unresponsive: int, entry_count: int) -> None:
        """Refill the bucket up to ``now``, less the share of unresponsive entries."""
        elapsed_s = max(0.0, now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        unresponsive_share = unresponsive / max(1, entry_count)
        self._max_level = self.burst * (1 - unresponsive_share)
        refill = elapsed_s * self.rate * (1 - unresponsive_share)
        self.level = min(self._max_level, self.level + refill)

    def _decayed_rate(self, now: float) -> float:
        """Return the rate at which peers spend, decayed to ``now``."""
        elapsed_s = max(0.0, now - self._peer_rate_at)
        self._peer_rate_at = max(now, self._peer_rate_at)
        self._peer_rate *= math.exp(-elapsed_s / RATE_WINDOW_S)
        return self._peer_rate

    def spend(self, cost: Tokens, lag_s: float = 0.0) -> float | None:
        """Spend tokens; return None, or the seconds until enough are available.

        ``lag_s`` is the time for which the usage of peers is not reported yet.
        """
        if self.rate <= 0:
            return None
        level = self.level - max(self.rate, self._decayed_rate(self.updated_at)) * lag_s
        if cost <= level:
            self.level -= cost
            self.used += cost
            return None
        # A cost above the full level is admitted only when the bucket is full.
        if cost > self._max_level <= level:
            self.level -= cost
            self.used += cost
            return None
        return (min(cost, self._max_level) - level) / self.rate

    @property
    def total_used(self) -> float:
        """Return the tokens spent at all entries while they were known here."""
        return self.used + self._peers_used

    def refund(self, cost: Tokens) -> None:
        """Refund the tokens of a request that did not run."""
        if self.rate > 0:
            self.level = min(self.burst, self.level + cost)
            self.used -= cost

    def receive(self, vm: Vm, used: float, now: float = 0.0) -> None:
        """Deduct the tokens that a peer has spent since its previous update."""
        previous = self._peer_used.get(vm)
        self._peer_used[vm] = used
        if previous is None:
            # The total of a newly seen peer covers an unknown time span.
            return
        spent = used - previous
        if spent < -self.burst:
            # The peer restarted and counts from zero; refunds alone are smaller.
            spent = used
        self._peers_used += spent
        self.level = min(self.burst, self.level - spent)
        self._peer_rate = self._decayed_rate(now) + max(0.0, spent) / RATE_WINDOW_S
