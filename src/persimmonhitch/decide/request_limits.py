"""Rate of requests that all entries together send to an upstream that limits them.

Load pattern: an upstream states in its answers how many requests a second it accepts,
often fewer than there are entries. An equal share for each entry would be less than one
request in several seconds, and most of it would be unused at entries without callers.
Buckets that receive the usage of other entries late would all use the same free
capacity at the same moment.

One entry, the leader, therefore grants requests from a bucket at the rate of the
upstream. Its own load orders and inventory reports are charged to the same bucket.
Other entries ask for one request at a time; the reply is a grant or the time after
which to ask again. An entry that gets no reply falls back to an equal share of the rate
and starts with an empty bucket, since a failed leader may have granted the available
requests already. A grant expires after ``GRANT_TTL_S``, so that grants of several
seconds are not used in one burst.
"""

import math
from dataclasses import dataclass, field
from typing import Final

from ..ids import Tokens
from ..limits.pooled import PooledBucket

MIN_RATE_PER_S: Final = 0.5
"""Requests per second sent to an upstream that accepts fewer or none: without an answer
no entry would learn that the limit has been lifted."""
FALLBACK_RATE_PER_S: Final = 1.0
"""Requests per second if the stated limit is malformed."""
BURST_REQUESTS: Final = 1.0
BURST_S: Final = 0.25
"""Seconds of the request rate added to ``BURST_REQUESTS`` to get the capacity of a
bucket."""
MAX_ORDER_OVERDRAFT: Final = 1.0
"""Requests by which load orders may exceed the rate, since requests wait for the models
to be loaded."""
REPORT_INTERVAL_S: Final = 1.0
"""Seconds between inventory reports, which leaves most of the rate to requests."""
GRANT_TTL_S: Final = 0.6
REPLY_TIMEOUT_S: Final = 0.4
"""Seconds after which an entry stops waiting for the leader's reply."""
ONE_REQUEST: Final = Tokens(1.0)


def effective_rate(reported: float | None, previous: float | None = None) -> float:
    """Return the rate to apply; a malformed limit leaves the rate unchanged."""
    if reported is not None:
        return max(reported, MIN_RATE_PER_S)
    return FALLBACK_RATE_PER_S if previous is None else previous


@dataclass
class GrantBucket:
    """Bucket from which the leader grants requests to one upstream."""

    rate: float
    created_at: float
    reported_at: float = -math.inf
    _bucket: PooledBucket = field(init=False)

    def __post_init__(self) -> None:
        burst = BURST_REQUESTS + self.rate * BURST_S
        self._bucket = PooledBucket(self.rate, burst, self.created_at)
        self._bucket.level = min(BURST_REQUESTS, burst)

    def resize(self, rate: float) -> None:
        """Apply a new rate."""
        if rate != self.rate:
            self.rate = rate
            self._bucket.resize(rate, BURST_REQUESTS + rate * BURST_S)

    def grant_request(self, now: float) -> float:
        """Grant a request and return 0, or return the seconds until the next grant."""
        self._bucket.advance(now, 0, 1)
        return self._bucket.spend(ONE_REQUEST) or 0.0

    def grant_order(self, now: float) -> bool:
        """Charge one load order to the bucket; return whether the rate allows it."""
        self._bucket.advance(now, 0, 1)
        if self._bucket.level + MAX_ORDER_OVERDRAFT < ONE_REQUEST:
            return False
        self._bucket.level -= ONE_REQUEST
        return True

    def grant_report(self, now: float) -> bool:
        """Charge one report to the bucket; return whether the rate allows it."""
        if now - self.reported_at < REPORT_INTERVAL_S or self.grant_request(now) > 0:
            return False
        self.reported_at = now
        return True


@dataclass
class Allowance:
    """Requests that one entry may send to one upstream; times are monotonic seconds."""

    rate: float
    grant_expiries: list[float] = field(default_factory=list)
    """Expiry of each unused grant."""
    requested_at: float | None = None
    """When the entry asked for a grant, None if no reply is due."""
    next_grant_at: float = -math.inf
    _fallback: PooledBucket | None = None
    """Equal share of the rate, while the leader does not reply."""

    def can_send(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        self.grant_expiries = [until for until in self.grant_expiries if until > now]
        if not self.grant_expiries and self._fallback is not None:
            self._fallback.advance(now, 0, 1)
            if self._fallback.spend(ONE_REQUEST) is None:
                self.grant_expiries.append(now + GRANT_TTL_S)
        return bool(self.grant_expiries)

    def consume(self) -> None:
        """Use a grant for a request that is sent."""
        if self.grant_expiries:
            self.grant_expiries.pop(0)

    def should_ask(self, now: float, entries: int) -> bool:
        """Return whether to ask for a grant now, and record the time if so.

        ``entries`` is the number of entries that share the rate if the leader does not
        reply, 0 if this entry is none of them.
        """
        if self.requested_at is not None and now - self.requested_at < REPLY_TIMEOUT_S:
            return False
        if self.requested_at is not None:
            self._enter_fallback(now, entries)
        if now < self.next_grant_at:
            return False
        self.requested_at = now
        return True

    def _enter_fallback(self, now: float, entries: int) -> None:
        if entries == 0:
            return
        rate = self.rate / entries
        if self._fallback is None:
            self._fallback = PooledBucket(rate, ONE_REQUEST, now)
            self._fallback.level = 0.0
        self._fallback.resize(rate, ONE_REQUEST)

    def receive_reply(self, wait: float, now: float) -> None:
        """Apply the leader's reply: a grant, or the seconds until the next one."""
        self.requested_at, self._fallback = None, None
        if wait > 0:
            self.next_grant_at = now + wait
        else:
            self.grant_expiries.append(now + GRANT_TTL_S)

    def wait_time(self, now: float) -> float | None:
        """Return the seconds until a request may be sent, None if unknown."""
        if self.grant_expiries:
            return 0.0
        if self._fallback is not None:
            return max(0.0, 1.0 - self._fallback.level) / self._fallback.rate
        if now < self.next_grant_at:
            return self.next_grant_at - now
        return None
