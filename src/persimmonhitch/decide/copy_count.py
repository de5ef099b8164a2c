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

RISE: Final = 15.0
FALL: Final = 900.0
FILL: Final = 0.7
FILL_AFTER: Final = 0.5
HOLD: Final = 120.0
POPULAR: Final = 0.3


@dataclass
class DemandTrack:
    """Demand for one model in tokens a second, fast up and slow down."""

    value: float = 0.0
    _last: float | None = None

    def update(self, asked: float, now: float) -> float:
        """Take what was asked for in the last period; return the smoothed demand."""
        if self._last is None:
            self.value = asked
        else:
            elapsed = max(0.0, now - self._last)
            time_constant = RISE if asked > self.value else FALL
            self.value += (asked - self.value) * -math.expm1(-elapsed / time_constant)
        self._last = now
        return self.value


@dataclass
class CopyCount:
    """Copies wanted of one model; rises at once, falls one by one."""

    wanted: int = 1
    least: int = 1
    """Copies without the spare and without waiting for the demand to come back."""
    _fell_at: float = field(default=-math.inf)

    def update(self, demand: float, speed: float, now: float) -> int:
        """Return the copies wanted, where one upstream gives ``speed`` tokens/s."""
        spare = 1 if demand >= POPULAR * speed else 0
        self.least = copies_for(demand, speed * FILL)
        enough = copies_for(demand, speed * FILL_AFTER) + spare
        if self.least + spare >= self.wanted:
            self.wanted = self.least + spare
            self._fell_at = now
        elif enough < self.wanted and now - self._fell_at >= HOLD:
            self.wanted -= 1
            self._fell_at = now
        return self.wanted


def copies_for(demand: float, share: float) -> int:
    """Return how many copies carry ``demand`` at ``share`` each; at least one."""
    return max(1, math.ceil(demand / share - 1e-9))


@dataclass
class CopyCounts:
    """Demand and copies wanted of all models."""

    speed: float
    _tracks: dict[Model, DemandTrack] = field(default_factory=dict)
    _counts: dict[Model, CopyCount] = field(default_factory=dict)

    def demand(self, asked: dict[Model, float], now: float) -> dict[Model, float]:
        """Return the smoothed demand of each model asked about."""
        tracks = self._tracks
        return {
            model: tracks.setdefault(model, DemandTrack()).update(value, now)
            for model, value in asked.items()
        }

    def wanted(
        self, demand: dict[Model, float], bases: dict[Model, Model], now: float
    ) -> dict[Model, CopyCount]:
        """Return the copies wanted; a base carries its adapters' demand too."""
        total = dict(demand)
        for adapter, base in bases.items():
            total[base] = total.get(base, 0.0) + demand.get(adapter, 0.0)
        for model, value in total.items():
            count = self._counts.setdefault(model, CopyCount())
            count.update(value, self.speed, now)
        return {model: self._counts[model] for model in total}
