"""Speed of each engine relative to a typical one, for decisions that last for seconds.

Load pattern: engines of one service run on machines of different speed, which they
share with others. Some are slower than others by a factor of two for good, and any of
them is slow for some hundred milliseconds at a time. If copies are planned as if all
engines were alike, a busy model whose copies stand on slow engines is short of half of
its capacity. If copies are planned for the speed of the moment, models move back and
forth: a load takes seconds, and by its end the speed is another one.

Speeds are therefore averaged over ``SPEED_TAU_S``. As long as all engines of a service
are within ``TYPICAL_RATIO`` of the typical speed, they count as typical.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from ..ids import Upstream

SPEED_TAU_S: Final = 8.0
"""Time constant of the averages in seconds: the duration of a load from the weight
store, which is the longest."""
TYPICAL_RATIO: Final = 1.1
"""Ratio to the typical speed up to which speeds don't count; a tenth is less than what
``MIN_RELIEF_RATIO`` leaves for errors of the demand."""
SPEED_LIMITS: Final = (0.1, 10.0)
"""Lowest and highest speed that counts. A stated slowdown may be any number."""


@dataclass
class _Average:
    speed: float
    since: float


@dataclass
class EngineSpeeds:
    """Average speeds of the engines of one service; times are monotonic seconds."""

    _averages: dict[Upstream, _Average] = field(default_factory=dict)
    _updated_at: float = 0.0

    def update(
        self, speeds: Mapping[Upstream, float], now: float
    ) -> dict[Upstream, float]:
        """Add the speeds at a time; return the averages of the engines listed."""
        elapsed, self._updated_at = now - self._updated_at, now
        for name in self._averages.keys() - speeds.keys():
            del self._averages[name]
        for name, sample in speeds.items():
            speed = min(max(sample, SPEED_LIMITS[0]), SPEED_LIMITS[1])
            average = self._averages.setdefault(name, _Average(speed, now))
            # The average of an engine that is known for a short time is the mean.
            period = min(SPEED_TAU_S, now - average.since)
            if period > 0:
                weight = min(1.0, elapsed / period)
                average.speed += weight * (speed - average.speed)
        known = {name: average.speed for name, average in self._averages.items()}
        if all(1.0 / TYPICAL_RATIO < s < TYPICAL_RATIO for s in known.values()):
            return dict.fromkeys(known, 1.0)
        return known
