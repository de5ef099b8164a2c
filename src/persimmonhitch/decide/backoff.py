"""Backoffs of upstreams, and the return of requests after them.

Load pattern: an overloaded upstream rejects requests, and asks each entry that it
rejects for some seconds without further ones. Entries that it rejected at the same
moment would return at the same moment, with all requests that have arrived since, and
overload it again.

An entry therefore sends nothing within the period and extends it by a random time, so
that entries return one after the other. The number of requests at the upstream then
rises over ``RAMP_UP_S``, counted over all entries. The upstream may ask for another
period meanwhile. Periods overlap: a short one does not end an earlier, longer one.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

MAX_BACKOFF_S: Final = 60.0
"""Longest period that is respected; a malformed value would exclude an upstream for
good."""
JITTER_SHARE: Final = 0.2
MAX_JITTER_S: Final = 0.5
"""Largest random extension of a period, as a share of it and in seconds."""
RAMP_UP_S: Final = 1.0
MIN_TRAFFIC_SHARE: Final = 0.01
"""Share at which an upstream gets one request at a time."""


@dataclass
class Backoff:
    """Time without requests to one upstream; times are monotonic seconds."""

    until: float = -math.inf

    def extend(
        self, seconds: float, now: float, draw: Callable[[], float] = random.random
    ) -> None:
        """Apply a period that an upstream asks for; ``draw`` returns 0 to 1."""
        backoff = min(seconds, MAX_BACKOFF_S)
        jitter = draw() * min(backoff * JITTER_SHARE, MAX_JITTER_S)
        self.until = max(self.until, now + backoff + jitter)

    def wait_s(self, now: float) -> float:
        """Return the seconds until a request may be sent."""
        return max(0.0, self.until - now)

    def traffic_share(self, now: float) -> float:
        """Return the share of the usual traffic, from 0 to 1."""
        if now < self.until:
            return 0.0
        return min(1.0, max(MIN_TRAFFIC_SHARE, (now - self.until) / RAMP_UP_S))
