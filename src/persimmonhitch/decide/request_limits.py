"""How many requests an upstream in need gets from all entries together.

Load pattern: an upstream says in its answers how many requests a second it takes, often
fewer than there are entries. A part of that for each entry would be less than one call
in seconds, most of it lying unused where no callers are; and buckets that learn late
what others have sent all find the same place at the same moment.

So one entry, the holder of the lease of orders, grants places: a bucket of the
upstream's rate, from which its own orders and reports are taken as well. The others ask
for one place at a time and are told when to ask again. An entry that gets no answer has
an equal part of the rate, and begins with nothing: a coordinator that has died has
granted the rest. A place that is not used within ``GRANT_LIFE`` lapses, so that places
of several seconds are not used at once.
"""

import math
from dataclasses import dataclass, field
from typing import Final

from ..ids import Tokens
from ..limits.pooled import PooledBucket

LEAST_RATE: Final = 0.5
"""Requests a second that are sent to an upstream that says it takes fewer, or none:
without an answer nobody would learn that its need is over."""
UNREADABLE_RATE: Final = 1.0
"""Requests a second where what an upstream says can't be read."""
BURST: Final = 1.0
BURST_SECONDS: Final = 0.25
"""A bucket holds ``BURST`` requests and those of so many seconds."""
ORDERS_AHEAD: Final = 1.0
"""Requests by which orders may be ahead of the rate; they bring the models that calls
wait for."""
REPORT_PAUSE: Final = 1.0
"""Seconds between two reports that are asked for, so that they leave room for calls."""
GRANT_LIFE: Final = 0.6
ANSWER_TIME: Final = 0.4
"""Seconds after which an entry that asked for a place no longer awaits an answer."""
ONE: Final = Tokens(1.0)


def rate_of(per_second: float | None, before: float | None = None) -> float:
    """Return the rate that is kept to; what can't be read stays as it was."""
    if per_second is not None:
        return max(per_second, LEAST_RATE)
    return UNREADABLE_RATE if before is None else before


@dataclass
class Grants:
    """Places of one upstream, as the coordinator gives them out."""

    rate: float
    now: float
    reported_at: float = -math.inf
    _bucket: PooledBucket = field(init=False)

    def __post_init__(self) -> None:
        burst = BURST + self.rate * BURST_SECONDS
        self._bucket = PooledBucket(self.rate, burst, self.now)
        self._bucket.level = min(BURST, burst)

    def resize(self, rate: float) -> None:
        """Take a new rate."""
        if rate != self.rate:
            self.rate = rate
            self._bucket.resize(rate, BURST + rate * BURST_SECONDS)

    def take(self, now: float) -> float:
        """Take a place for a call; return 0, or the seconds until there is one."""
        self._bucket.advance(now, 0, 1)
        return self._bucket.spend(ONE) or 0.0

    def take_order(self, now: float) -> bool:
        """Take a place for an order; return whether there is one."""
        self._bucket.advance(now, 0, 1)
        if self._bucket.level + ORDERS_AHEAD < ONE:
            return False
        self._bucket.level -= ONE
        return True

    def take_report(self, now: float) -> bool:
        """Take a place for a report; return whether there is one."""
        if now - self.reported_at < REPORT_PAUSE or self.take(now) > 0:
            return False
        self.reported_at = now
        return True


@dataclass
class Allowance:
    """What one entry may send to one upstream; times are monotonic seconds."""

    rate: float
    granted: list[float] = field(default_factory=list)
    """Until when each place may be used."""
    asked_at: float | None = None
    """When it asked for a place, if it waits for an answer."""
    closed_until: float = -math.inf
    _share: PooledBucket | None = None
    """Its own part, while no coordinator answers."""

    def has_place(self, now: float) -> bool:
        """Return whether a call may be sent now."""
        self.granted = [until for until in self.granted if until > now]
        if not self.granted and self._share is not None:
            self._share.advance(now, 0, 1)
            if self._share.spend(ONE) is None:
                self.granted.append(now + GRANT_LIFE)
        return bool(self.granted)

    def use(self) -> None:
        """Count a call that is sent."""
        if self.granted:
            self.granted.pop(0)

    def asks(self, now: float, entries: int) -> bool:
        """Return whether to ask for a place now, and note it."""
        if self.asked_at is not None and now - self.asked_at < ANSWER_TIME:
            return False
        if self.asked_at is not None:
            self._stand_alone(now, entries)
        if now < self.closed_until:
            return False
        self.asked_at = now
        return True

    def _stand_alone(self, now: float, entries: int) -> None:
        rate = self.rate / max(1, entries)
        if self._share is None:
            self._share = PooledBucket(rate, ONE, now)
            self._share.level = 0.0
        self._share.resize(rate, ONE)

    def answered(self, wait: float, now: float) -> None:
        """Take the coordinator's answer: a place, or the seconds until the next."""
        self.asked_at, self._share = None, None
        if wait > 0:
            self.closed_until = now + wait
        else:
            self.granted.append(now + GRANT_LIFE)

    def wait(self, now: float) -> float | None:
        """Return the seconds until a call may be sent, None if that is not known."""
        if self.granted:
            return 0.0
        if self._share is not None:
            return max(0.0, 1.0 - self._share.level) / self._share.rate
        if now < self.closed_until:
            return self.closed_until - now
        return None
