"""Pace of the requests to upstreams that have just started.

Load pattern: the upstreams of a zone start together. Each is slow for some seconds and
crashes if it gets many requests in a second, from all entries together. It has no work,
so every entry would choose it first.

The leader grants requests to a cold upstream one by one, as it does for upstreams that
report a limit. If the leader does not reply, only ``FALLBACK_ENTRIES`` entries send
there, each an equal part of the pace. Entries choose themselves by a hash of upstream
and entry over the list of entries; entries with lists that differ slightly agree on
most of them.
"""

import hashlib
import math
from collections.abc import Iterable
from typing import Final

from ..ids import Upstream, Vm
from .request_limits import BURST_REQUESTS, BURST_S, GRANT_TTL_S, MIN_RATE_PER_S

FALLBACK_ENTRIES: Final = 3
LEADERS_PER_WINDOW: Final = 2
"""Leaders that may grant requests in one second; a new one knows no earlier grants."""
TRANSIT_S: Final = 0.2
"""Time by which requests of one second may be delayed into the next one."""


def cold_rate(tolerated: float, bound: float) -> float:
    """Return the requests per second to grant at a cold upstream.

    Parameters
    ----------
    tolerated : float
        Requests per second that a cold upstream tolerates.
    bound : float
        Most requests that may arrive in any second. All grants of a second arrive in
        it, and so may earlier ones that are still valid, those of a new leader and the
        first requests of entries without a leader.
    """
    window = 1.0 + GRANT_TTL_S + TRANSIT_S
    bursts = LEADERS_PER_WINDOW * BURST_REQUESTS + FALLBACK_ENTRIES
    rate = (bound - bursts) / (window + LEADERS_PER_WINDOW * BURST_S)
    return max(MIN_RATE_PER_S, min(tolerated, rate))


def may_fall_back(upstream: Upstream, vm: Vm, others: Iterable[Vm]) -> bool:
    """Return whether an entry may send to a cold upstream without grants."""
    own = _weight(upstream, vm)
    preceding = sum(_weight(upstream, other) > own for other in others)
    return preceding < FALLBACK_ENTRIES


def _weight(upstream: Upstream, vm: Vm) -> bytes:
    return hashlib.blake2b(f"{upstream}\0{vm}".encode(), digest_size=8).digest()


def cold_until(remaining_s: float, seen_at: float, previous: float) -> float:
    """Return until when an upstream counts as cold; ``previous`` is the last result.

    Records may arrive late, and then show a time that has passed in part. The time
    never falls, so that an older record ends no cold state.
    """
    until = seen_at + remaining_s if remaining_s > 0 else -math.inf
    return max(previous, until)
