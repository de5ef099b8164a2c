"""Gradual shift of traffic to a new or returning copy.

Load pattern: a copy is often added while its model is busy. Because the new copy has
the least load, every entry would send it all requests while its prefix cache is still
cold, and the time to the first token would rise. Its share of the traffic therefore
rises linearly over ``WARMUP_S``, the time in which a copy at one request per second
caches the common prefixes.
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
