"""Upstreams that announce a request rate limit for some seconds."""

import time
from dataclasses import dataclass

from soak.upstream_faults import UpstreamFaults

MEAN_GAP_S = 3.0
"""Mean seconds between two announcements."""
DURATION_S = 5.0, 9.0
"""Shortest and longest duration of a limit."""
RATES_PER_S = (0.5, 1.0, 2.0, 4.0)


@dataclass
class LimitSpan:
    """An announced limit in requests a second; times are monotonic seconds."""

    upstream: str
    rate: float
    begin: float
    end: float


class LimitFaults(UpstreamFaults):
    """Makes upstreams announce limits."""

    def __init__(self, platform, records, seed):
        super().__init__("limits", platform, seed, MEAN_GAP_S)
        self._records = records

    def _change(self, upstream):
        if upstream.limit is None:
            self._announce(upstream)

    def _announce(self, upstream):
        rate, seconds = self._rng.choice(RATES_PER_S), self._rng.uniform(*DURATION_S)
        now = time.monotonic()
        span = LimitSpan(upstream.spec.name, rate, now, now + seconds)
        upstream.limit = str(rate)
        self._records.limits.append(span)
        self._start(self._lift, upstream, span)

    def _lift(self, upstream, span):
        # The limit of an upstream ends early if the upstream crashes.
        upstream.closed.wait(span.end - time.monotonic())
        upstream.limit = None
        span.end = time.monotonic()
