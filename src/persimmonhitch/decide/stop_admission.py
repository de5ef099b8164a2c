"""Decide which requests a stopping entry still takes.

Load pattern: a stopping entry gets new requests for seconds, until the load balancer
has seen that it is not ready. Most end within milliseconds. A long stream, or work of a
slow upstream, is still running when the process must end: it is cut, and may have run.
Refused at once, the same request runs at another entry.

A request is refused if its deadline is later than the end of the process and requests
of its route usually take longer than what is left. Nothing is known of a route without
recent requests; its requests are refused by their deadline alone. This is decided as a
request arrives, and again before it is sent: it may have waited while the stop began.
"""

import math
from collections import deque
from collections.abc import Callable, Hashable
from typing import Final

MAX_SAMPLES: Final = 64
"""Newest requests of a route that count."""
USUAL_QUANTILE: Final = 0.95
"""Part of the requests that end within the usual time. A refused request costs its
caller a connection, and one that is cut its answer."""


class RunTimes:
    """Durations of the newest requests of each route; written by many threads."""

    def __init__(self) -> None:
        self._samples: dict[Hashable, deque[float]] = {}

    def record(self, route: Hashable, seconds: float) -> None:
        """Record a request that ran."""
        samples = self._samples.get(route)
        if samples is None:
            samples = self._samples.setdefault(route, deque(maxlen=MAX_SAMPLES))
        samples.append(seconds)

    def usual_s(self, route: Hashable) -> float | None:
        """Return the seconds in which nearly all requests end; None if unknown."""
        samples = self._samples.get(route)
        if not samples:
            return None
        ordered = sorted(samples.copy())
        return ordered[min(len(ordered) - 1, int(len(ordered) * USUAL_QUANTILE))]


class StopAdmission:
    """Decides for a process that may be stopping.

    Parameters
    ----------
    ends_at : callable
        Monotonic time at which the process ends; infinite while it is not stopping.
    """

    def __init__(self, ends_at: Callable[[], float] = lambda: math.inf) -> None:
        self._ends_at = ends_at
        self.run_times = RunTimes()

    def allows(self, route: Hashable, deadline_at: float, now: float) -> bool:
        """Return whether a request can be expected to end before the process."""
        ends_at = self._ends_at()
        if ends_at == math.inf:
            return True
        usual_s = self.run_times.usual_s(route)
        return may_finish(ends_at - now, deadline_at - now, usual_s)


def may_finish(left_s: float, deadline_s: float, usual_s: float | None) -> bool:
    """Return whether a request can be expected to end before the process.

    Parameters
    ----------
    left_s, deadline_s : float
        Seconds to the end of the process, and to the request's deadline.
    usual_s : float or None
        Seconds in which nearly all requests of its route end; None if unknown.
    """
    if deadline_s <= left_s:
        return True
    return usual_s is not None and usual_s <= left_s
