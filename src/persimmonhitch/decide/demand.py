"""Demand for each model, in tokens per second.

Load pattern: demand for a model rises from nothing to a third of the total within
seconds, and requests for a rare model arrive at long intervals. A slow average follows
the rise too late; a fast average falls to zero between two requests for the rare model,
which is then evicted. The larger of a fast and a slow average is used: ``FAST_TAU_S``
follows a rise within two seconds, and ``SLOW_TAU_S``, weighted by ``SLOW_WEIGHT``,
retains the demand of the last half minute.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from ..ids import Model, Vm

FAST_TAU_S: Final = 2.0
SLOW_TAU_S: Final = 15.0
"""Time constants of the averages."""
SLOW_WEIGHT: Final = 0.5


@dataclass
class _Averages:
    fast: float = 0.0
    slow: float = 0.0


@dataclass
class DemandTracker:
    """Demand at all entries, from the running totals that they report."""

    _totals: dict[tuple[Vm, Model], float] = field(default_factory=dict)
    _new_tokens: dict[Model, float] = field(default_factory=dict)
    _rates: dict[Model, _Averages] = field(default_factory=dict)
    _requested_at: dict[Model, float] = field(default_factory=dict)
    _updated_at: float | None = None

    def receive(self, vm: Vm, totals: Mapping[Model, float], now: float) -> None:
        """Add the totals of one entry; a restarted entry counts from zero."""
        for model, total in totals.items():
            previous = self._totals.get((vm, model), 0.0)
            added = total - previous if total >= previous else total
            self._totals[vm, model] = total
            self._new_tokens[model] = self._new_tokens.get(model, 0.0) + added
            if added > 0:
                self._requested_at[model] = now

    def requested_at(self) -> dict[Model, float]:
        """Return the time of the last request for each model."""
        return dict(self._requested_at)

    def rates(self, now: float) -> dict[Model, float]:
        """Return the tokens per second of every model that was requested."""
        elapsed = now - self._updated_at if self._updated_at is not None else 1.0
        self._updated_at = now
        if elapsed > 0:
            for model in self._rates.keys() | self._new_tokens.keys():
                rate = self._new_tokens.get(model, 0.0) / elapsed
                self._update(self._rates.setdefault(model, _Averages()), rate, elapsed)
            self._new_tokens = {}
        return {
            model: max(average.fast, average.slow * SLOW_WEIGHT)
            for model, average in self._rates.items()
        }

    def _update(self, average: _Averages, rate: float, elapsed: float) -> None:
        average.fast += (rate - average.fast) * -math.expm1(-elapsed / FAST_TAU_S)
        average.slow += (rate - average.slow) * -math.expm1(-elapsed / SLOW_TAU_S)
