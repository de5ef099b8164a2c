"""Gradual shift of traffic to a new or returning copy.

Load pattern: a copy starts to serve while its model is busy. The copy has the least
load, so every entry would send all its requests there; its prefix cache is cold, and
callers would get slow first tokens from the copy that was added to relieve the others.
The copy's share of the traffic rises linearly over ``WARMUP_S``, the time in which a
cache that serves one request per second has seen the common prefixes.
"""

from typing import Final

WARMUP_S: Final = 10.0
MIN_SHARE: Final = 0.2


def warmup_share(
    age_s: float, duration_s: float = WARMUP_S, min_share: float = MIN_SHARE
) -> float:
    """Return the share of its normal traffic that a copy of ``age_s`` may get."""
    if age_s >= duration_s:
        return 1.0
    return min_share + (1.0 - min_share) * max(age_s, 0.0) / duration_s
