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

MIN_SAMPLES: Final = 40
PERCENTILE: Final = 0.95


@dataclass(frozen=True)
class LatencyTargets:
    """What callers are promised, for 95 in 100.

    Attributes
    ----------
    first_token : float
        Seconds from handing a request to the upstream until its first token.
    gap : float
        Seconds between tokens.
    """

    first_token_s: float = 0.75
    token_gap_s: float = 0.054


@dataclass(frozen=True)
class LimitRange:
    """Bounds and step sizes of a concurrency limit."""

    minimum: int = 8
    initial: int = 24
    maximum: int = 256
    window_s: float = 0.5
    decrease: float = 0.9
    error_decrease: float = 0.7
    decrease_above: float = 1.0
    """Part of an aim above which the limit falls."""
    increase_below: float = 0.95
    """Part of an aim below which there is room to rise."""


LATENCY_TARGETS: Final = LatencyTargets()
LIMIT_RANGE: Final = LimitRange()


def percentile(samples: list[float], fraction: float = PERCENTILE) -> float:
    """Return the value below which ``part`` of the samples lie; 0 for none."""
    if not samples:
        return 0.0
    ranked = sorted(samples)
    return ranked[min(len(ranked) - 1, int(fraction * len(ranked)))]


class ConcurrencyLimit:
    """Limit on requests that run at once, from the latency they have.

    Parameters
    ----------
    aims : Aims
        What is promised.
    bounds : LimitRange
        Bounds and step sizes.
    """

    def __init__(
        self,
        targets: LatencyTargets = LATENCY_TARGETS,
        bounds: LimitRange = LIMIT_RANGE,
    ) -> None:
        self._targets = targets
        self._bounds = bounds
        self._limit = float(bounds.initial)
        self._slow_start = True
        self._window_start = 0.0
        self._running = 0
        self._peak = 0
        self._token_gaps: list[float] = []
        self._first_tokens: list[float] = []
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
        self._first_tokens.append(seconds)
        self._adjust_if_due(now)

    def on_gap(self, now: float, seconds: float) -> None:
        """Note a time between two tokens."""
        self._token_gaps.append(seconds)
        self._adjust_if_due(now)

    def on_done(self, now: float, running: int) -> None:
        """Note the end of a request, and how many still run."""
        self._running = running
        self._adjust_if_due(now)

    def on_error(self, now: float) -> None:
        """Fall at once when the upstream refuses or fails for want of room."""
        self._decrease(self._bounds.error_decrease)
        self._start_window(now)

    def _adjust_if_due(self, now: float) -> None:
        if now - self._window_start < self._bounds.window_s:
            return
        if len(self._token_gaps) + len(self._first_tokens) < MIN_SAMPLES:
            return
        self.gap_p95 = percentile(self._token_gaps)
        self.first_token_p95 = percentile(self._first_tokens)
        worst_ratio = max(
            self.gap_p95 / self._targets.token_gap_s,
            self.first_token_p95 / self._targets.first_token_s,
        )
        if worst_ratio > self._bounds.decrease_above:
            self._decrease_if_settled()
        elif worst_ratio <= self._bounds.increase_below and self._peak >= self.limit:
            self._increase()
        self._start_window(now)

    def _increase(self) -> None:
        step = self._limit if self._slow_start else 1.0
        self._limit = min(self._limit + step, float(self._bounds.maximum))

    def _decrease_if_settled(self) -> None:
        # After a fall more run than the limit allows until some have ended, and
        # they are as slow as before. Falling again for them would take the limit
        # down to one, and callers would queue before an engine with room.
        if self._running <= self.limit:
            self._decrease(self._bounds.decrease)

    def _decrease(self, factor: float) -> None:
        self._slow_start = False
        # Fall from what ran, or an idle time at a high limit would have to be
        # walked down step by step while callers wait on slow streams.
        in_use = min(self._limit, float(max(self._peak, self._bounds.minimum)))
        self._limit = max(in_use * factor, float(self._bounds.minimum))

    def _start_window(self, now: float) -> None:
        self._window_start = now
        self._peak = self._running
        self._token_gaps.clear()
        self._first_tokens.clear()
