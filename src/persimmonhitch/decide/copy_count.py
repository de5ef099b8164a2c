"""How many copies of each model the demand calls for.

Load pattern: demand for one model moves tenfold within an hour, and flickers by a
factor of two from one minute to the next.

Without this: a count that follows the demand of the moment loads a copy at each
peak and unloads it at each dip. Loads are what the weight store rations, so a model
that has just become unreachable would wait behind them, and each new copy starts
with a cold prefix cache.

Thresholds: demand rises with ``RISE`` (15 s), which reaches 90% of a step within
35 s, less than a load takes; it falls with ``FALL`` (15 min), longer than a dip
between two bursts and short against an hour. A copy is meant to be filled to
``FILL`` (0.7), so that the arrival of one more burst still meets the aim for the
first token; one is given up only when the rest would stay below ``FILL_AFTER``
(0.5), and one at a time, ``HOLD`` (120 s) apart. A model that fills a
``POPULAR`` (0.3) part of an upstream gets one spare, since the death of its only
copy would turn many callers away for as long as a load takes. The run that compares
them with a count that follows the demand is in docs/notes/placement.md.
"""

import math
from dataclasses import dataclass, field
from typing import Final

from ..ids import Model

RISE_S: Final = 15.0
FALL_S: Final = 900.0
TARGET_LOAD: Final = 0.7
REMOVAL_LOAD: Final = 0.5
REMOVAL_WAIT_S: Final = 120.0
SPARE_LOAD: Final = 0.3


@dataclass
class SmoothedDemand:
    """Demand for one model in tokens a second, fast up and slow down."""

    value: float = 0.0
    _updated_at: float | None = None

    def update(self, sample: float, now: float) -> float:
        """Take what was asked for in the last period; return the smoothed demand."""
        if self._updated_at is None:
            self.value = sample
        else:
            elapsed = max(0.0, now - self._updated_at)
            time_constant = RISE_S if sample > self.value else FALL_S
            self.value += (sample - self.value) * -math.expm1(-elapsed / time_constant)
        self._updated_at = now
        return self.value


@dataclass
class CopyCount:
    """Copies wanted of one model; rises at once, falls one by one."""

    wanted: int = 1
    floor: int = 1
    """Copies without the spare and without waiting for the demand to come back."""
    _changed_at: float = field(default=-math.inf)

    def update(self, demand: float, rate: float, now: float) -> int:
        """Return the copies wanted, where one upstream gives ``speed`` tokens/s."""
        spare = 1 if demand >= SPARE_LOAD * rate else 0
        self.floor = copies_for(demand, rate * TARGET_LOAD)
        kept = copies_for(demand, rate * REMOVAL_LOAD) + spare
        if self.floor + spare >= self.wanted:
            self.wanted = self.floor + spare
            self._changed_at = now
        elif kept < self.wanted and now - self._changed_at >= REMOVAL_WAIT_S:
            self.wanted -= 1
            self._changed_at = now
        return self.wanted


def copies_for(demand: float, per_copy: float) -> int:
    """Return how many copies carry ``demand`` at ``share`` each; at least one."""
    return max(1, math.ceil(demand / per_copy - 1e-9))


@dataclass
class CopyCounts:
    """Demand and copies wanted of all models."""

    rate: float
    _demands: dict[Model, SmoothedDemand] = field(default_factory=dict)
    _counts: dict[Model, CopyCount] = field(default_factory=dict)

    def smooth(self, samples: dict[Model, float], now: float) -> dict[Model, float]:
        """Return the smoothed demand of each model asked about."""
        demands = self._demands
        return {
            model: demands.setdefault(model, SmoothedDemand()).update(value, now)
            for model, value in samples.items()
        }

    def update(
        self, demand: dict[Model, float], bases: dict[Model, Model], now: float
    ) -> dict[Model, CopyCount]:
        """Return the copies wanted; a base carries its adapters' demand too."""
        total = dict(demand)
        for adapter, base in bases.items():
            total[base] = total.get(base, 0.0) + demand.get(adapter, 0.0)
        for model, value in total.items():
            count = self._counts.setdefault(model, CopyCount())
            count.update(value, self.rate, now)
        return {model: self._counts[model] for model in total}
