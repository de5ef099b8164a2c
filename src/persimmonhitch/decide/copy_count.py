"""Number of copies of each model that its demand requires.

Load pattern: demand for one model changes tenfold within an hour, and fluctuates by a
factor of two from one minute to the next.

A count that followed the instantaneous demand would load a copy at each peak and unload
it at each dip. The weight store limits the rate of loads, so these loads would delay
that of a model that has just become unreachable, and each new copy starts with a cold
prefix cache.

Thresholds: rising demand is smoothed with ``RISE_S`` (15 s), which reaches 90% of a
step within 35 s, less than a load takes. Falling demand is smoothed with ``FALL_S`` (15
min), longer than a dip between two bursts and short compared to an hour. Copies are
planned for ``TARGET_LOAD`` (0.7 of an upstream's rate), so that one more burst still
meets the latency target for the first token. Copies are removed one at a time,
``REMOVAL_WAIT_S`` (120 s) apart, and only if the load of the remaining copies stays
below ``REMOVAL_LOAD`` (0.5). A model that fills ``SPARE_LOAD`` (0.3) of an upstream
gets one spare copy, since after the loss of its only copy many callers would be refused
for the duration of a load. docs/notes/placement.md compares these thresholds with a
count that follows the demand.
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
    """Smoothed demand for one model in tokens per second: fast rise, slow decay."""

    value: float = 0.0
    _updated_at: float | None = None

    def update(self, sample: float, now: float) -> float:
        """Add the demand of the last period and return the smoothed demand."""
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
    """Wanted number of copies of one model; rises immediately, falls one by one."""

    wanted: int = 1
    floor: int = 1
    """Copies that the current demand requires, without a spare or delayed removals."""
    _changed_at: float = field(default=-math.inf)

    def update(self, demand: float, rate: float, now: float) -> int:
        """Return the wanted copies if each serves ``rate`` tokens per second."""
        spare = 1 if demand >= SPARE_LOAD * rate else 0
        self.floor = copies_for(demand, rate * TARGET_LOAD)
        retained = copies_for(demand, rate * REMOVAL_LOAD) + spare
        if self.floor + spare >= self.wanted:
            self.wanted = self.floor + spare
            self._changed_at = now
        elif retained < self.wanted and now - self._changed_at >= REMOVAL_WAIT_S:
            self.wanted -= 1
            self._changed_at = now
        return self.wanted


def copies_for(demand: float, per_copy: float) -> int:
    """Return the copies that serve ``demand`` at ``per_copy`` each, at least one."""
    return max(1, math.ceil(demand / per_copy - 1e-9))


@dataclass
class CopyCounts:
    """Smoothed demand and wanted copies of all models."""

    rate: float
    """Tokens per second that one upstream serves."""
    _demands: dict[Model, SmoothedDemand] = field(default_factory=dict)
    _counts: dict[Model, CopyCount] = field(default_factory=dict)

    def smooth(self, samples: dict[Model, float], now: float) -> dict[Model, float]:
        """Return the smoothed demand of each sampled model."""
        demands = self._demands
        return {
            model: demands.setdefault(model, SmoothedDemand()).update(value, now)
            for model, value in samples.items()
        }

    def update(
        self, demand: dict[Model, float], bases: dict[Model, Model], now: float
    ) -> dict[Model, CopyCount]:
        """Return the wanted copies; a base model also serves its adapters' demand."""
        total = dict(demand)
        for adapter, base in bases.items():
            total[base] = total.get(base, 0.0) + demand.get(adapter, 0.0)
        for model, value in total.items():
            count = self._counts.setdefault(model, CopyCount())
            count.update(value, self.rate, now)
        return {model: self._counts[model] for model in total}
