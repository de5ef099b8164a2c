"""Adaptive limit on the requests that one upstream runs concurrently.

Load pattern: saturation. A batching engine accepts more requests than it can serve in
time: each additional request lengthens every step, until all streams are slow and none
meets the promised 54 ms between tokens. No fixed limit fits different prompts, models
and accelerators. This limit follows the measured latency: it increases while it is
fully used and the latency targets are met, and decreases when they are missed.

A window needs ``MIN_SAMPLES`` samples for a meaningful 95th percentile. Increases by
one and decreases by a tenth keep the limit near the target with small oscillations.
Until the first decrease the limit doubles, so that an engine that has just started does
not refuse a burst for a minute.
"""

from dataclasses import dataclass
from typing import Final

MIN_SAMPLES: Final = 40
PERCENTILE: Final = 0.95


@dataclass(frozen=True)
class LatencyTargets:
    """Latencies promised to callers, as 95th percentiles.

    Attributes
    ----------
    first_token_s : float
        Seconds from sending a request to the upstream until its first token.
    token_gap_s : float
        Seconds between tokens.
    """

    first_token_s: float = 0.75
    token_gap_s: float = 0.054


@dataclass(frozen=True)
class LimitRange:
    """Bounds and step sizes of a concurrency limit.

    Attributes
    ----------
    minimum, initial, maximum : int
        Number of concurrent requests.
    window_s : float
        Seconds over which latencies are collected before an adjustment.
    decrease_factor, error_decrease_factor : float
        Factors applied to the limit when a target is missed, and after an error.
    """

    minimum: int = 8
    initial: int = 24
    maximum: int = 256
    window_s: float = 0.5
    decrease_factor: float = 0.9
    error_decrease_factor: float = 0.7
    decrease_above: float = 1.0
    """Ratio of measured latency to its target above which the limit decreases."""
    increase_below: float = 0.95
    """Ratio of measured latency to its target up to which the limit may increase."""


LATENCY_TARGETS: Final = LatencyTargets()
LIMIT_RANGE: Final = LimitRange()


def percentile(samples: list[float], fraction: float = PERCENTILE) -> float:
    """Return the value below which ``fraction`` of the samples lie, 0 if empty."""
    if not samples:
        return 0.0
    ranked = sorted(samples)
    return ranked[min(len(ranked) - 1, int(fraction * len(ranked)))]


class ConcurrencyLimit:
    """Limit on concurrent requests, adapted to their measured latency.

    Parameters
    ----------
    targets : LatencyTargets
        Upper bounds of the measured latencies.
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
        """Return the maximum number of concurrent requests."""
        return int(self._limit)

    def on_start(self, running: int) -> None:
        """Record the number of running requests; an unused limit does not increase."""
        self._running = running
        self._peak = max(self._peak, running)

    def on_first_token(self, now: float, seconds: float) -> None:
        """Record the seconds from the start at the upstream to the first token."""
        self._first_tokens.append(seconds)
        self._adjust_if_due(now)

    def on_gap(self, now: float, seconds: float) -> None:
        """Record the seconds between two tokens."""
        self._token_gaps.append(seconds)
        self._adjust_if_due(now)

    def on_done(self, now: float, running: int) -> None:
        """Record the end of a request and the number still running."""
        self._running = running
        self._adjust_if_due(now)

    def on_error(self, now: float) -> None:
        """Decrease at once if the upstream refused or failed for lack of capacity."""
        self._decrease(self._bounds.error_decrease_factor)
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
        # After a decrease, more requests run than the new limit allows until some have
        # ended, and all remain slow until then. Further decreases for these requests
        # would reduce the limit to its minimum, and callers would queue in front of
        # an engine with spare capacity.
        if self._running <= self.limit:
            self._decrease(self._bounds.decrease_factor)

    def _decrease(self, factor: float) -> None:
        self._slow_start = False
        # Start from the peak of running requests. Otherwise an unused high limit would
        # require many decreases to reach the actual load, while callers wait on slow
        # streams.
        in_use = min(self._limit, float(max(self._peak, self._bounds.minimum)))
        self._limit = max(in_use * factor, float(self._bounds.minimum))

    def _start_window(self, now: float) -> None:
        self._window_start = now
        self._peak = self._running
        self._token_gaps.clear()
        self._first_tokens.clear()
