"""What callers ask of each model, in tokens a second.

Load pattern: demand for a model rises from nothing to a third of all within seconds,
and calls for a rare one come once in a while. A slow average sees the first too late; a
fast one forgets the second between two calls and gives its place away. The larger of a
fast and a slow average is taken: ``FAST`` follows a rise within two seconds, ``SLOW``
with ``SLOW_PART`` of its figure keeps what was asked for in the last half minute.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from ..ids import Model, Vm

FAST: Final = 2.0
SLOW: Final = 15.0
"""Time constants in seconds."""
SLOW_PART: Final = 0.5


@dataclass
class _Track:
    fast: float = 0.0
    slow: float = 0.0


@dataclass
class Demand:
    """Demand of all entries, from the sums that they tell."""

    _sums: dict[tuple[Vm, Model], float] = field(default_factory=dict)
    _fresh: dict[Model, float] = field(default_factory=dict)
    _tracks: dict[Model, _Track] = field(default_factory=dict)
    _asked_at: dict[Model, float] = field(default_factory=dict)
    _at: float | None = None

    def hear(self, vm: Vm, asked: Mapping[Model, float], now: float) -> None:
        """Take the sums of one entry; an entry that starts anew begins at zero."""
        for model, total in asked.items():
            last = self._sums.get((vm, model), 0.0)
            new = total - last if total >= last else total
            self._sums[vm, model] = total
            self._fresh[model] = self._fresh.get(model, 0.0) + new
            if new > 0:
                self._asked_at[model] = now

    def asked_at(self) -> dict[Model, float]:
        """Return when each model was last asked for."""
        return dict(self._asked_at)

    def rates(self, now: float) -> dict[Model, float]:
        """Return the tokens a second of every model that was asked for."""
        passed = now - self._at if self._at is not None else 1.0
        self._at = now
        if passed > 0:
            for model in self._tracks.keys() | self._fresh.keys():
                rate = self._fresh.get(model, 0.0) / passed
                self._move(self._tracks.setdefault(model, _Track()), rate, passed)
            self._fresh = {}
        return {
            model: max(track.fast, track.slow * SLOW_PART)
            for model, track in self._tracks.items()
        }

    def _move(self, track: _Track, rate: float, passed: float) -> None:
        track.fast += (rate - track.fast) * -math.expm1(-passed / FAST)
        track.slow += (rate - track.slow) * -math.expm1(-passed / SLOW)
