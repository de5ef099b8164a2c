"""How fast traffic moves to a new or returned copy.

Load pattern: a copy comes up while its model is busy. It has the least work of all, so
every entry would send it everything at once; its prefix cache is cold, and callers
would see slow first tokens from the very copy that was to help. Its part of the
traffic rises in a straight line over ``WARMUP_SECONDS``, the time in which a cache that
serves a request a second has seen the common prefixes.
"""

from typing import Final

WARMUP_S: Final = 10.0
MIN_SHARE: Final = 0.2


def warmup_share(
    age_s: float, duration_s: float = WARMUP_S, min_share: float = MIN_SHARE
) -> float:
    """Return the part of its usual traffic that a copy of this age may get."""
    if age_s >= duration_s:
        return 1.0
    return min_share + (1.0 - min_share) * max(age_s, 0.0) / duration_s
