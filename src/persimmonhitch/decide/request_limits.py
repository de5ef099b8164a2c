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

MIN_RATE_PER_S: Final = 0.5
"""Requests a second that are sent to an upstream that says it takes fewer, or none:
without an answer nobody would learn that its need is over."""
FALLBACK_RATE_PER_S: Final = 1.0
"""Requests a second where what an upstream says can't be read."""
BURST_REQUESTS: Final = 1.0
BURST_S: Final = 0.25
"""A bucket holds ``BURST`` requests and those of so many seconds."""
MAX_ORDER_OVERDRAFT: Final = 1.0
"""Requests by which orders may be ahead of the rate; they bring the models that calls
wait for."""
REPORT_INTERVAL_S: Final = 1.0
"""Seconds between two reports that are asked for, so that they leave room for calls."""
GRANT_TTL_S: Final = 0.6
REPLY_TIMEOUT_S: Final = 0.4
"""Seconds after which an entry that asked for a place no longer awaits an answer."""
ONE_REQUEST: Final = Tokens(1.0)


def effective_rate(reported: float | None, previous: float | None = None) -> float:
    """Return the rate that is kept to; what can't be read stays as it was."""
    if reported is not None:
        return max(reported, MIN_RATE_PER_S)
    return FALLBACK_RATE_PER_S if previous is None else previous


@dataclass
class GrantBucket:
    """Places of one upstream, as the coordinator gives them out."""

    rate: float
    created_at: float
    reported_at: float = -math.inf
    _bucket: PooledBucket = field(init=False)

    def __post_init__(self) -> None:
        burst = BURST_REQUESTS + self.rate * BURST_S
        self._bucket = PooledBucket(self.rate, burst, self.created_at)
        self._bucket.level = min(BURST_REQUESTS, burst)

    def resize(self, rate: float) -> None:
        """Take a new rate."""
        if rate != self.rate:
            self.rate = rate
            self._bucket.resize(rate, BURST_REQUESTS + rate * BURST_S)

    def take_request(self, now: float) -> float:
        """Take a place for a call; return 0, or the seconds until there is one."""
        self._bucket.advance(now, 0, 1)
        return self._bucket.spend(ONE_REQUEST) or 0.0

    def take_order(self, now: float) -> bool:
        """Take a place for an order; return whether there is one."""
        self._bucket.advance(now, 0, 1)
        if self._bucket.level + MAX_ORDER_OVERDRAFT < ONE_REQUEST:
            return False
        self._bucket.level -= ONE_REQUEST
        return True

    def take_report(self, now: float) -> bool:
        """Take a place for a report; return whether there is one."""
        if now - self.reported_at < REPORT_INTERVAL_S or self.take_request(now) > 0:
            return False
        self.reported_at = now
        return True


@dataclass
class Allowance:
    """What one entry may send to one upstream; times are monotonic seconds."""

    rate: float
    grant_expiries: list[float] = field(default_factory=list)
    """Until when each place may be used."""
    requested_at: float | None = None
    """When it asked for a place, if it waits for an answer."""
    next_grant_at: float = -math.inf
    _fallback: PooledBucket | None = None
    """Its own part, while no coordinator answers."""

    def can_send(self, now: float) -> bool:
        """Return whether a call may be sent now."""
        self.grant_expiries = [until for until in self.grant_expiries if until > now]
        if not self.grant_expiries and self._fallback is not None:
            self._fallback.advance(now, 0, 1)
            if self._fallback.spend(ONE_REQUEST) is None:
                self.grant_expiries.append(now + GRANT_TTL_S)
        return bool(self.grant_expiries)

    def consume(self) -> None:
        """Count a call that is sent."""
        if self.grant_expiries:
            self.grant_expiries.pop(0)

    def should_ask(self, now: float, entries: int) -> bool:
        """Return whether to ask for a place now, and note it."""
        if self.requested_at is not None and now - self.requested_at < REPLY_TIMEOUT_S:
            return False
        if self.requested_at is not None:
            self._enter_fallback(now, entries)
        if now < self.next_grant_at:
            return False
        self.requested_at = now
        return True

    def _enter_fallback(self, now: float, entries: int) -> None:
        rate = self.rate / max(1, entries)
        if self._fallback is None:
            self._fallback = PooledBucket(rate, ONE_REQUEST, now)
            self._fallback.level = 0.0
        self._fallback.resize(rate, ONE_REQUEST)

    def receive_reply(self, wait: float, now: float) -> None:
        """Take the coordinator's answer: a place, or the seconds until the next."""
        self.requested_at, self._fallback = None, None
        if wait > 0:
            self.next_grant_at = now + wait
        else:
            self.grant_expiries.append(now + GRANT_TTL_S)

    def wait_time(self, now: float) -> float | None:
        """Return the seconds until a call may be sent, None if that is not known."""
        if self.grant_expiries:
            return 0.0
        if self._fallback is not None:
            return max(0.0, 1.0 - self._fallback.level) / self._fallback.rate
        if now < self.next_grant_at:
            return self.next_grant_at - now
        return None
