"""How many requests an upstream runs at once.

Load pattern: saturation. A batching engine takes on more than it can serve in time:
every request added makes each step longer, so that all streams become slow together
and none keeps the promised 54 ms between tokens. A fixed limit is wrong as soon as
prompts, models or accelerators differ. This limit follows the latency measured:
it rises while it is in use and the aims are kept, and falls when they are not.

A window needs ``LEAST_SAMPLES`` for a 95th percentile to mean anything. The fall by a
tenth against a rise by one keeps the limit near the aim with small swings; before the
first fall the limit doubles, for an engine that has just started must not refuse a
burst for a minute.
"""

from dataclasses import dataclass
from typing import Final

LEAST_SAMPLES: Final = 40
PERCENTILE: Final = 0.95


@dataclass(frozen=True)
class Aims:
    """What callers are promised, for 95 in 100.

    Attributes
    ----------
    first_token : float
        Seconds from handing a request to the upstream until its first token.
    gap : float
        Seconds between tokens.
    """

    first_token: float = 0.75
    gap: float = 0.054


@dataclass(frozen=True)
class LimitRange:
    """Bounds and step sizes of a concurrency limit."""

    least: int = 8
    start: int = 24
    most: int = 256
    window: float = 0.5
    fall: float = 0.9
    error_fall: float = 0.7
    full: float = 1.0
    """Part of an aim above which the limit falls."""
    headroom: float = 0.95
    """Part of an aim below which there is room to rise."""


AIMS: Final = Aims()
RANGE: Final = LimitRange()


def percentile(samples: list[float], part: float = PERCENTILE) -> float:
    """Return the value below which ``part`` of the samples lie; 0 for none."""
    if not samples:
        return 0.0
    ranked = sorted(samples)
    return ranked[min(len(ranked) - 1, int(part * len(ranked)))]


class ConcurrencyLimit:
    """Limit on requests that run at once, from the latency they have.

    Parameters
    ----------
    aims : Aims
        What is promised.
    bounds : LimitRange
        Bounds and step sizes.
    """

    def __init__(self, aims: Aims = AIMS, bounds: LimitRange = RANGE) -> None:
        self._aims = aims
        self._bounds = bounds
        self._limit = float(bounds.start)
        self._starting = True
        self._window_from = 0.0
        self._running = 0
        self._peak = 0
        self._gaps: list[float] = []
        self._firsts: list[float] = []
        self.first_token_p95 = 0.0
        self.gap_p95 = 0.0

    @property
    def limit(self) -> int:
        """Return how many requests may run at once."""
        return int(self._limit)

    def on_start(self, running: int) -> None:
        """Note how many run; a limit that is not in use has no reason to rise."""
        self._running = running
        self._peak = max(self._peak, running)

    def on_first_token(self, now: float, seconds: float) -> None:
        """Note a time to the first token, measured from the upstream's start."""
        self._firsts.append(seconds)
        self._maybe_adjust(now)

    def on_gap(self, now: float, seconds: float) -> None:
        """Note a time between two tokens."""
        self._gaps.append(seconds)
        self._maybe_adjust(now)

    def on_done(self, now: float, running: int) -> None:
        """Note the end of a request, and how many still run."""
        self._running = running
        self._maybe_adjust(now)

    def on_error(self, now: float) -> None:
        """Fall at once when the upstream refuses or fails for want of room."""
        self._fall(self._bounds.error_fall)
        self._begin_window(now)

    def _maybe_adjust(self, now: float) -> None:
        if now - self._window_from < self._bounds.window:
            return
        if len(self._gaps) + len(self._firsts) < LEAST_SAMPLES:
            return
        self.gap_p95 = percentile(self._gaps)
        self.first_token_p95 = percentile(self._firsts)
        worst = max(
            self.gap_p95 / self._aims.gap,
            self.first_token_p95 / self._aims.first_token,
        )
        if worst > self._bounds.full:
            self._fall_once()
        elif worst <= self._bounds.headroom and self._peak >= self.limit:
            self._rise()
        self._begin_window(now)

    def _rise(self) -> None:
        step = self._limit if self._starting else 1.0
        self._limit = min(self._limit + step, float(self._bounds.most))

    def _fall_once(self) -> None:
        # After a fall more run than the limit allows until some have ended, and
        # they are as slow as before. Falling again for them would take the limit
        # down to one, and callers would queue before an engine with room.
        if self._running <= self.limit:
            self._fall(self._bounds.fall)

    def _fall(self, factor: float) -> None:
        self._starting = False
        # Fall from what ran, or an idle time at a high limit would have to be
        # walked down step by step while callers wait on slow streams.
        in_use = min(self._limit, float(max(self._peak, self._bounds.least)))
        self._limit = max(in_use * factor, float(self._bounds.least))

    def _begin_window(self, now: float) -> None:
        self._window_from = now
        self._peak = self._running
        self._gaps.clear()
        self._firsts.clear()
